//! Keeps the desired state up to date: reads it at the start and after each gap, then watches it.
//! An older version never replaces a newer one.

use std::sync::Arc;

use ragwortwick_adapter::{
    DESIRED_KEY, KeyValue, StoreClient, StoreError, WatchEvent, decode_desired_state,
};
use ragwortwick_area::DesiredState;
use ragwortwick_core::{DurationMs, Revision, log_event};
use tokio::sync::watch;

use super::desired_state_age::DesiredStateAge;
use super::feed_monitor::FeedMonitor;
use super::metrics::AreaMetrics;
use super::store_health::StoreHealth;
use crate::Clock;

/// Longest wait of one watch. An accepted version has to be in force within two seconds, even if a
/// connection became unresponsive meanwhile.
const WATCH_WAIT_MS: DurationMs = DurationMs(1_000);

/// Delay after a failed call.
const FAILURE_DELAY_MS: DurationMs = DurationMs(150);

/// `DesiredStateFeed` reads and watches the desired state.
#[derive(Debug)]
pub(super) struct DesiredStateFeed {
    pub(super) store: StoreClient,
    pub(super) health: StoreHealth,
    pub(super) desired: watch::Sender<Option<Arc<DesiredState>>>,
    pub(super) age: DesiredStateAge,
    pub(super) clock: Clock,
    pub(super) metrics: AreaMetrics,
}

/// `FeedReply` is the result of a read or a watch.
struct FeedReply {
    /// Revision after which the next watch begins.
    as_of: Revision,
    entries: usize,
}

impl DesiredStateFeed {
    /// Runs until the process ends.
    pub(super) async fn run(self) {
        let mut monitor = FeedMonitor::open("desired", self.clock, &self.metrics);
        let mut position: Option<Revision> = None;
        loop {
            let result = match position {
                None => self.read().await,
                Some(after) => self.watch(after).await,
            };
            match result {
                Ok(reply) => {
                    monitor.record_reply(reply.entries);
                    self.age.confirm(self.clock.now());
                    position = Some(reply.as_of);
                }
                Err(error) => {
                    monitor.record_failure(&error);
                    // Read the newest version instead of the missed changes. The changes contain every
                    // missed version, so on a slow link their transfer can exceed the call's timeout,
                    // and each retry asks for more. A single version doesn't grow with the gap.
                    position = None;
                    if !error.is_relist_required() {
                        tokio::time::sleep(FAILURE_DELAY_MS.into()).await;
                    }
                }
            }
        }
    }

    async fn read(&self) -> Result<FeedReply, StoreError> {
        let page = self.store.list_page(DESIRED_KEY, None).await;
        self.health.record(&page);
        let page = page?;
        for item in &page.items {
            self.apply(item);
        }
        Ok(FeedReply {
            as_of: page.as_of,
            entries: page.items.len(),
        })
    }

    async fn watch(&self, after: Revision) -> Result<FeedReply, StoreError> {
        let reply = self.store.watch(DESIRED_KEY, after, WATCH_WAIT_MS).await;
        self.health.record(&reply);
        let reply = reply?;
        for event in &reply.events {
            if let WatchEvent::Written(item) = event {
                self.apply(item);
            }
        }
        Ok(FeedReply {
            as_of: reply.as_of,
            entries: reply.events.len(),
        })
    }

    fn apply(&self, item: &KeyValue) {
        if item.key != DESIRED_KEY {
            return;
        }
        match decode_desired_state(&item.value) {
            Ok(state) => self.put_in_force(state, item.revision),
            Err(error) => {
                log_event!(
                    Error,
                    "desired_state_unreadable",
                    revision = item.revision,
                    cause = error
                );
            }
        }
    }

    fn put_in_force(&self, state: DesiredState, revision: Revision) {
        let version = state.version;
        let is_new = self.desired.send_if_modified(|current| {
            // Reads and watches may overlap; an older version must never replace a newer one.
            let is_new = current
                .as_ref()
                .is_none_or(|current| current.version < version);
            if is_new {
                *current = Some(Arc::new(state));
            }
            is_new
        });
        if is_new {
            let metric_version = i64::try_from(version).unwrap_or(i64::MAX);
            self.metrics.desired_version.set(metric_version);
            log_event!(
                Info,
                "desired_state_in_force",
                version = version,
                revision = revision
            );
        }
    }
}
