//! Logs and counts when a change feed of the store falls behind, and when it has caught up.

use prometheus::IntCounter;
use ragwortwick_adapter::StoreError;
use ragwortwick_core::{TimeMs, log_event};

use super::metrics::AreaMetrics;
use crate::Clock;

/// `FeedMonitor` logs one line at the start and one at the end of a feed's gap, however long it is.
#[derive(Debug)]
pub(super) struct FeedMonitor {
    feed: &'static str,
    clock: Clock,
    replied_at: TimeMs,
    failures: u64,
    failed_calls: IntCounter,
}

impl FeedMonitor {
    pub(super) fn open(feed: &'static str, clock: Clock, metrics: &AreaMetrics) -> Self {
        Self {
            feed,
            clock,
            replied_at: clock.now(),
            failures: 0,
            failed_calls: metrics.feed_failures.with_label_values(&[feed]),
        }
    }

    /// Records a call without a usable reply.
    pub(super) fn record_failure(&mut self, cause: &StoreError) {
        self.failed_calls.inc();
        self.failures += 1;
        if self.failures == 1 {
            log_event!(Info, "feed_behind", feed = self.feed, cause = cause);
        }
    }

    /// Records a reply and the number of changes or items in it.
    pub(super) fn record_reply(&mut self, entries: usize) {
        let now = self.clock.now();
        if self.failures > 0 {
            log_event!(
                Info,
                "feed_caught_up",
                feed = self.feed,
                gap_ms = now.since(self.replied_at),
                failures = self.failures,
                entries = entries
            );
        }
        self.failures = 0;
        self.replied_at = now;
    }
}
