//! Keeps the desired state in force: read at start and after each gap, then watched; a version
//! never goes back.

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

/// Longest wait of one watch: an accepted version has to be in force two seconds later, also if a
/// connection went silent meanwhile.
const WATCH_WAIT_MS: DurationMs = DurationMs(1_000);

/// Pause after a failed call.
const FAILED_PAUSE_MS: DurationMs = DurationMs(150);

/// `DesiredStateFeed` runs the watch.
#[derive(Debug)]
pub(super) struct DesiredStateFeed {
    pub(super) store: StoreClient,
    pub(super) health: StoreHealth,
    pub(super) desired: watch::Sender<Option<Arc<DesiredState>>>,
    pub(super) age: DesiredStateAge,
    pub(super) clock: Clock,
    pub(super) metrics: AreaMetrics,
}

/// `Answer` is what a call brought.
struct Answer {
    /// Where the next watch begins.
    as_of: Revision,
    entries: usize,
}

impl DesiredStateFeed {
    /// Runs until the process ends.
    pub(super) async fn run(self) {
        let mut log = FeedMonitor::open("desired", self.clock, &self.metrics);
        let mut position: Option<Revision> = None;
        loop {
            let result = match position {
                None => self.read().await,
                Some(after) => self.watch(after).await,
            };
            match result {
                Ok(answer) => {
                    log.record_answer(answer.entries);
                    self.age.confirm(self.clock.now());
                    position = Some(answer.as_of);
                }
                Err(error) => {
                    log.record_failure(&error);
                    // The changes of a gap hold every version that it missed, and may be more than
                    // the path carries before the call ends, the next time more still. The newest
                    // version alone is always of one size.
                    position = None;
                    if !error.is_relist_required() {
                        tokio::time::sleep(FAILED_PAUSE_MS.into()).await;
                    }
                }
            }
        }
    }

    async fn read(&self) -> Result<Answer, StoreError> {
        let page = self.store.list_page(DESIRED_KEY, None).await;
        self.health.record(&page);
        let page = page?;
        for item in &page.items {
            self.take(item);
        }
        Ok(Answer {
            as_of: page.as_of,
            entries: page.items.len(),
        })
    }

    async fn watch(&self, after: Revision) -> Result<Answer, StoreError> {
        let reply = self.store.watch(DESIRED_KEY, after, WATCH_WAIT_MS).await;
        self.health.record(&reply);
        let reply = reply?;
        for change in &reply.events {
            if let WatchEvent::Written(item) = change {
                self.take(item);
            }
        }
        Ok(Answer {
            as_of: reply.as_of,
            entries: reply.events.len(),
        })
    }

    fn take(&self, item: &KeyValue) {
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
        let is_new = self.desired.send_if_modified(|known| {
            // Pages and watches may overlap; an older version must never come back.
            let is_new = known.as_ref().is_none_or(|known| known.version < version);
            if is_new {
                *known = Some(Arc::new(state));
            }
            is_new
        });
        if is_new {
            let version_shown = i64::try_from(version).unwrap_or(i64::MAX);
            self.metrics.desired_version.set(version_shown);
            log_event!(
                Info,
                "desired_state_in_force",
                version = version,
                revision = revision
            );
        }
    }
}
