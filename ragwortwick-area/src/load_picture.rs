//! When a coordinator tells the hosts of queues that are short of capacity.

use std::collections::BTreeMap;

use ragwortwick_core::{ClassName, DurationMs, TimeMs};

use crate::admission::{Backlogs, LoadPicture};
use crate::coordinator::Coordinator;
use crate::messages::Action;
use crate::progress::JobPhase;

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
    /// Returns the picture to publish, if one is due: at intervals during a shortage, and once when it ends.
    fn due_picture(&mut self, now: TimeMs) -> Option<LoadPicture> {
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

impl Coordinator {
    /// Counts the jobs that wait for their first start, and publishes the shortage if there is one.
    pub(crate) fn publish_load(&mut self, now: TimeMs) {
        let is_due = now.since(self.load.counted_at) >= COUNT_INTERVAL_MS;
        let is_used = self.limits.sheds_load || self.limits.shares_fairly;
        if !is_used || !is_due || !self.has_valid_lease(now) {
            return;
        }
        self.load.counted_at = now;
        let mut waiting: BTreeMap<ClassName, usize> = BTreeMap::new();
        let open_jobs = self.open_jobs.iter().filter_map(|id| self.jobs.get(id));
        for job in open_jobs {
            if job.phase == JobPhase::Queued && job.record.schedule.is_none() {
                *waiting.entry(job.record.queue.clone()).or_default() += 1;
            }
        }
        self.load.backlogs.update(now, &waiting);
        if self.limits.sheds_load
            && let Some(picture) = self.load.due_picture(now)
        {
            self.actions.push(Action::PublishLoad(picture));
        }
    }
}
