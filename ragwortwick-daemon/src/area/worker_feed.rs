//! Reports changes of the worker list to the coordinator, from a watch of the workers' entries.

use std::collections::{BTreeMap, BTreeSet};

use ragwortwick_adapter::{
    KeyValue, StoreClient, StoreError, WORKERS_PREFIX, WatchEvent, decode_worker_entry,
    worker_identity_from_key,
};
use ragwortwick_area::{Event, WorkerEntry};
use ragwortwick_core::{DurationMs, PoolName, Revision, WorkerName, log_event};

use super::coordinator_handler::EventSender;
use super::feed_monitor::FeedMonitor;
use super::metrics::AreaMetrics;
use super::replica_feed::read_prefix;
use super::store_health::StoreHealth;
use crate::Clock;

/// Delay between two watches. Every heartbeat of a worker changes its entry, so without a delay each watch
/// would return at once. With this one, a leaving worker is still detected well before it must get no
/// new runs.
const WATCH_DELAY_MS: DurationMs = DurationMs(400);

/// Longest wait of one watch. Some worker writes all the time, so a watch without changes suggests that
/// the store has dropped its history without an error, and the list is read again.
const WATCH_WAIT_MS: DurationMs = DurationMs(600);

/// Delay after a failed call.
const FAILURE_DELAY_MS: DurationMs = DurationMs(150);

/// `WorkerFeed` reads and watches the workers' entries for one term.
#[derive(Debug)]
pub(super) struct WorkerFeed {
    pub(super) store: StoreClient,
    pub(super) health: StoreHealth,
    pub(super) events: EventSender,
    /// Workers reported to the coordinator.
    pub(super) known: KnownWorkers,
    pub(super) clock: Clock,
    pub(super) metrics: AreaMetrics,
}

/// `KnownWorkers` holds the workers reported to the coordinator, by identity.
#[derive(Debug, Default)]
pub(super) struct KnownWorkers(BTreeMap<String, KnownWorker>);

/// `KnownWorker` is the latest incarnation of a worker, and the pool that it belongs to all its life.
#[derive(Debug)]
struct KnownWorker {
    name: WorkerName,
    pool: PoolName,
}

/// `EntryChange` is what a worker's entry says about the worker, given what is known of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum EntryChange {
    /// The worker is new.
    New,
    /// The worker has restarted under its identity.
    Restarted,
    /// The same incarnation has written its entry again.
    Updated,
    /// An earlier incarnation or another writer wrote it.
    Foreign,
}

impl KnownWorkers {
    /// The workers in the entries that a term begins with.
    pub(super) fn of(entries: &[WorkerEntry]) -> Self {
        let mut known = Self::default();
        for entry in entries {
            known.record(entry);
        }
        known
    }

    pub(super) fn len(&self) -> usize {
        self.0.len()
    }

    fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Records an entry, unless it is foreign.
    pub(super) fn record(&mut self, entry: &WorkerEntry) -> EntryChange {
        let change = match self.0.get(entry.name.identity()) {
            None => EntryChange::New,
            Some(known) if entry.name.is_restart_of(&known.name) => EntryChange::Restarted,
            Some(known) if known.name == entry.name && known.pool == entry.pool => {
                EntryChange::Updated
            }
            Some(_) => EntryChange::Foreign,
        };
        if matches!(change, EntryChange::New | EntryChange::Restarted) {
            let known = KnownWorker {
                name: entry.name.clone(),
                pool: entry.pool.clone(),
            };
            self.0.insert(entry.name.identity().to_owned(), known);
        }
        change
    }

    /// Forgets a worker; returns the name under which it was reported.
    pub(super) fn remove(&mut self, identity: &str) -> Option<WorkerName> {
        self.0.remove(identity).map(|known| known.name)
    }

    /// Identities that are not among those with a key.
    fn missing_from(&self, present: &BTreeSet<&str>) -> Vec<String> {
        let identities = self.0.keys();
        let missing = identities.filter(|identity| !present.contains(identity.as_str()));
        missing.cloned().collect()
    }
}

/// Reads the current entries of all workers.
pub(super) async fn read_workers(
    store: &StoreClient,
    health: &StoreHealth,
) -> Result<(Vec<WorkerEntry>, Revision), StoreError> {
    let (items, as_of) = read_prefix(store, health, WORKERS_PREFIX).await?;
    Ok((items.iter().filter_map(parse_entry).collect(), as_of))
}

fn parse_entry(item: &KeyValue) -> Option<WorkerEntry> {
    let identity = worker_identity_from_key(&item.key)?;
    match decode_worker_entry(identity, &item.value) {
        Ok(entry) => Some(entry),
        Err(error) => {
            log_event!(
                Warn,
                "worker_entry_unreadable",
                worker = identity,
                revision = item.revision,
                cause = error
            );
            None
        }
    }
}

impl WorkerFeed {
    /// Runs until the term ends.
    pub(super) async fn run(mut self, mut position: Option<Revision>) {
        let mut monitor = FeedMonitor::open("workers", self.clock, &self.metrics);
        loop {
            let result = match position {
                None => self.read().await,
                Some(after) => self.watch(after).await,
            };
            match result {
                Ok(next) => {
                    monitor.record_reply(self.known.len());
                    position = next;
                    if !self.events.send(Event::WorkersConfirmed).await {
                        return;
                    }
                    tokio::time::sleep(WATCH_DELAY_MS.into()).await;
                }
                Err(error) => {
                    monitor.record_failure(&error);
                    if error.is_relist_required() {
                        position = None;
                    } else {
                        tokio::time::sleep(FAILURE_DELAY_MS.into()).await;
                    }
                }
            }
        }
    }

    async fn read(&mut self) -> Result<Option<Revision>, StoreError> {
        let (items, as_of) = read_prefix(&self.store, &self.health, WORKERS_PREFIX).await?;
        // A worker whose entry can't be read is still there; its next heartbeat replaces the entry.
        let present: BTreeSet<&str> = items
            .iter()
            .filter_map(|item| worker_identity_from_key(&item.key))
            .collect();
        for identity in self.known.missing_from(&present) {
            self.remove(&identity).await;
        }
        for entry in items.iter().filter_map(parse_entry) {
            self.update(entry).await;
        }
        Ok(Some(as_of))
    }

    async fn watch(&mut self, after: Revision) -> Result<Option<Revision>, StoreError> {
        let reply = self.store.watch(WORKERS_PREFIX, after, WATCH_WAIT_MS).await;
        self.health.record(&reply);
        let reply = reply?;
        if reply.events.is_empty() && !self.known.is_empty() {
            return self.read().await;
        }
        for event in &reply.events {
            match event {
                WatchEvent::Written(item) => {
                    if let Some(entry) = parse_entry(item) {
                        self.update(entry).await;
                    }
                }
                WatchEvent::Removed { key, .. } => self.remove_key(key).await,
            }
        }
        Ok(Some(reply.as_of))
    }

    async fn update(&mut self, entry: WorkerEntry) {
        match self.known.record(&entry) {
            EntryChange::Updated => {}
            EntryChange::Foreign => {
                log_event!(
                    Warn,
                    "worker_entry_foreign",
                    worker = entry.name,
                    pool = entry.pool
                );
                return;
            }
            change @ (EntryChange::New | EntryChange::Restarted) => {
                log_event!(
                    Info,
                    "worker_seen",
                    worker = entry.name,
                    pool = entry.pool,
                    rack = entry.rack,
                    is_draining = entry.is_draining,
                    is_restarted = change == EntryChange::Restarted
                );
            }
        }
        self.events.send(Event::WorkerUpdated(entry)).await;
    }

    async fn remove_key(&mut self, key: &str) {
        if let Some(identity) = worker_identity_from_key(key) {
            self.remove(identity).await;
        }
    }

    async fn remove(&mut self, identity: &str) {
        if let Some(name) = self.known.remove(identity) {
            log_event!(Info, "worker_gone", worker = name);
            self.events.send(Event::WorkerRemoved(name)).await;
        }
    }
}
