//! When the backlogs are counted, and when the hosts are told of queues that are short of capacity.

use std::collections::BTreeMap;

use ragwortwick_core::{ClassName, DurationMs, TimeMs};

use crate::admission::{Backlogs, LoadPicture};

/// Interval between two counts of the waiting jobs.
const COUNT_INTERVAL_MS: DurationMs = DurationMs(250);

/// Interval between two pictures while a queue is short of capacity; hosts ignore one that is a few times older.
const PUBLISH_INTERVAL_MS: DurationMs = DurationMs(1_000);

/// `LoadPublisher` holds the backlogs and what the hosts were told last.
#[derive(Debug, Default)]
pub(crate) struct LoadPublisher {
    pub(crate) backlogs: Backlogs,
    counted_at: TimeMs,
    published_at: TimeMs,
    published: LoadPicture,
}

impl LoadPublisher {
    /// Whether the waiting jobs are to be counted again.
    pub(crate) fn is_count_due(&self, now: TimeMs) -> bool {
        now.since(self.counted_at) >= COUNT_INTERVAL_MS
    }

    /// Records the number of jobs that wait for their first start, by queue.
    pub(crate) fn record_count(&mut self, now: TimeMs, waiting: &BTreeMap<ClassName, usize>) {
        self.counted_at = now;
        self.backlogs.update(now, waiting);
    }

    /// Returns the picture to publish, if one is due: at intervals during a shortage, and once when it ends.
    pub(crate) fn due_picture(&mut self, now: TimeMs) -> Option<LoadPicture> {
        let picture = self.backlogs.picture(now);
        let is_over = picture.queues.is_empty() && !self.published.queues.is_empty();
        let is_due =
            !picture.queues.is_empty() && now.since(self.published_at) >= PUBLISH_INTERVAL_MS;
        if !is_over && !is_due {
            return None;
        }
        self.published_at = now;
        self.published = picture.clone();
        Some(picture)
    }
}
