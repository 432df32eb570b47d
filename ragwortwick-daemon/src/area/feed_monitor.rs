//! Tells in logs and metrics when a reader of the store is behind, and how it caught up.

use prometheus::IntCounter;
use ragwortwick_adapter::StoreError;
use ragwortwick_core::{TimeMs, log_event};

use super::metrics::AreaMetrics;
use crate::Clock;

/// `FeedMonitor` follows one reader from answer to answer; a gap makes two lines, however long it is.
#[derive(Debug)]
pub(super) struct FeedMonitor {
    feed: &'static str,
    clock: Clock,
    answered_at: TimeMs,
    failures: u64,
    failed_calls: IntCounter,
}

impl FeedMonitor {
    pub(super) fn open(feed: &'static str, clock: Clock, metrics: &AreaMetrics) -> Self {
        Self {
            feed,
            clock,
            answered_at: clock.now(),
            failures: 0,
            failed_calls: metrics.feed_failures.with_label_values(&[feed]),
        }
    }

    /// Notes a call without a usable answer.
    pub(super) fn record_failure(&mut self, cause: &StoreError) {
        self.failed_calls.inc();
        self.failures += 1;
        if self.failures == 1 {
            log_event!(Info, "feed_behind", feed = self.feed, cause = cause);
        }
    }

    /// Notes an answer and how many changes or items it held.
    pub(super) fn record_answer(&mut self, entries: usize) {
        let now = self.clock.now();
        if self.failures > 0 {
            log_event!(
                Info,
                "feed_caught_up",
                feed = self.feed,
                gap_ms = now.since(self.answered_at),
                failures = self.failures,
                entries = entries
            );
        }
        self.failures = 0;
        self.answered_at = now;
    }
}
