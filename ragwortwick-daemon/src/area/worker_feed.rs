//! Tells the coordinator which workers there are, by a paced watch of their entries.

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

/// Pause between two watches. Every worker's heartbeat changes its entry, so a watch sent at once is
/// answered at once; a leaving worker is still seen well before it must get no more work.
const PAUSE_MS: DurationMs = DurationMs(400);

/// A watch that brings nothing for so long is suspect, since some worker writes all the time: the
/// store may have dropped its history without telling, and the list is read again.
const WATCH_WAIT_MS: DurationMs = DurationMs(600);

/// Pause after a failed call.
const FAILED_PAUSE_MS: DurationMs = DurationMs(150);

/// `WorkerFeed` follows the workers' entries for one term.
#[derive(Debug)]
pub(super) struct WorkerFeed {
    pub(super) store: StoreClient,
    pub(super) health: StoreHealth,
    pub(super) events: EventSender,
    /// Workers that the coordinator was told of.
    pub(super) known: BTreeSet<WorkerName>,
    pub(super) clock: Clock,
    pub(super) metrics: AreaMetrics,
}

/// Reads all entries as they are now.
pub(super) async fn read_workers(
    store: &StoreClient,
    health: &StoreHealth,
) -> Result<(Vec<WorkerEntry>, Revision), StoreError> {
    let (items, as_of) = read_prefix(store, health, WORKERS_PREFIX).await?;
    Ok((items.iter().filter_map(entry).collect(), as_of))
}

fn entry(item: &KeyValue) -> Option<WorkerEntry> {
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
        let mut log = FeedMonitor::open("workers", self.clock, &self.metrics);
        loop {
            let result = match position {
                None => self.read().await,
                Some(after) => self.watch(after).await,
            };
            match result {
                Ok(next) => {
                    log.record_answer(self.known.len());
                    position = next;
                    if !self.events.send(Event::WorkersConfirmed).await {
                        return;
                    }
                    tokio::time::sleep(PAUSE_MS.into()).await;
                }
                Err(error) => {
                    log.record_failure(&error);
                    if error.is_relist_required() {
                        position = None;
                    } else {
                        tokio::time::sleep(FAILED_PAUSE_MS.into()).await;
                    }
                }
            }
        }
    }

    async fn read(&mut self) -> Result<Option<Revision>, StoreError> {
        let (entries, as_of) = read_workers(&self.store, &self.health).await?;
        let present: BTreeSet<WorkerName> =
            entries.iter().map(|entry| entry.name.clone()).collect();
        let gone: Vec<WorkerName> = self.known.difference(&present).cloned().collect();
        for name in gone {
            self.gone(name).await;
        }
        for entry in entries {
            self.seen(entry).await;
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
        for change in &reply.events {
            match change {
                WatchEvent::Written(item) => match entry(item) {
                    Some(entry) => self.seen(entry).await,
                    None => self.gone_key(&item.key).await,
                },
                WatchEvent::Removed { key, .. } => self.gone_key(key).await,
            }
        }
        Ok(Some(reply.as_of))
    }

    async fn seen(&mut self, entry: WorkerEntry) {
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

    async fn gone_key(&mut self, key: &str) {
        if let Some(name) = worker_name_from_key(key) {
            self.gone(name).await;
        }
    }

    async fn gone(&mut self, name: WorkerName) {
        if self.known.remove(&name) {
            log_event!(Info, "worker_gone", worker = name);
            self.events.send(Event::WorkerRemoved(name)).await;
        }
    }
}
