//! Reports changes of the worker list to the coordinator, from a watch of the workers' entries.

use std::collections::BTreeSet;

use ragwortwick_adapter::{
    KeyValue, StoreClient, StoreError, WORKERS_PREFIX, WatchEvent, decode_worker_entry,
    worker_name_from_key,
};
use ragwortwick_area::{Event, WorkerEntry};
use ragwortwick_core::{DurationMs, Revision, WorkerName, log_event};

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
    pub(super) known: BTreeSet<WorkerName>,
    pub(super) clock: Clock,
    pub(super) metrics: AreaMetrics,
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
    let name = worker_name_from_key(&item.key)?;
    match decode_worker_entry(&name, &item.value) {
        Ok(entry) => Some(entry),
        Err(error) => {
            log_event!(
                Warn,
                "worker_entry_unreadable",
                worker = name,
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
        let (entries, as_of) = read_workers(&self.store, &self.health).await?;
        let present: BTreeSet<WorkerName> =
            entries.iter().map(|entry| entry.name.clone()).collect();
        let removed: Vec<WorkerName> = self.known.difference(&present).cloned().collect();
        for name in removed {
            self.remove(name).await;
        }
        for entry in entries {
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
                WatchEvent::Written(item) => match parse_entry(item) {
                    Some(entry) => self.update(entry).await,
                    None => self.remove_key(&item.key).await,
                },
                WatchEvent::Removed { key, .. } => self.remove_key(key).await,
            }
        }
        Ok(Some(reply.as_of))
    }

    async fn update(&mut self, entry: WorkerEntry) {
        if self.known.insert(entry.name.clone()) {
            log_event!(
                Info,
                "worker_seen",
                worker = entry.name,
                pool = entry.pool,
                rack = entry.rack,
                is_draining = entry.is_draining
            );
        }
        self.events.send(Event::WorkerUpdated(entry)).await;
    }

    async fn remove_key(&mut self, key: &str) {
        if let Some(name) = worker_name_from_key(key) {
            self.remove(name).await;
        }
    }

    async fn remove(&mut self, name: WorkerName) {
        if self.known.remove(&name) {
            log_event!(Info, "worker_gone", worker = name);
            self.events.send(Event::WorkerRemoved(name)).await;
        }
    }
}
