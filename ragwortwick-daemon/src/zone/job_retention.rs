//! Removes the records of jobs that ended long ago, so that the store does not fill up.

use std::collections::BTreeMap;

use ragwortwick_border::JobRecord;
use ragwortwick_core::{DurationMs, JobId, TimeMs};

use super::job_ledger::is_final;

/// How long the record of an ended job is kept, for its caller to read and for a repeat of its id
/// to be recognised. A repeat that comes later is a new job; callers give up long before.
pub(crate) const KEEP_MS: DurationMs = DurationMs(24 * 60 * 60 * 1_000);

/// Most records removed at once, so that an owner that finds many does not flood the store.
const MAX_REMOVED: usize = 20;

/// `JobRetention` remembers since when each ended job is known to have ended.
#[derive(Debug)]
pub(crate) struct JobRetention {
    keep_ms: DurationMs,
    ended_since: BTreeMap<JobId, TimeMs>,
}

impl JobRetention {
    /// `new` starts without memory; a new owner counts the time anew.
    pub(crate) fn new(keep_ms: DurationMs) -> Self {
        Self {
            keep_ms,
            ended_since: BTreeMap::new(),
        }
    }

    /// `note` takes in a record as it was read.
    pub(crate) fn note(&mut self, now: TimeMs, record: &JobRecord) {
        if is_final(record.phase) {
            let job_id = record.job_id.clone();
            self.ended_since.entry(job_id).or_insert(now);
        }
    }

    /// `take_expired` gives jobs whose records may go, and forgets them.
    pub(crate) fn take_expired(&mut self, now: TimeMs) -> Vec<JobId> {
        let expired: Vec<JobId> = self
            .ended_since
            .iter()
            .filter(|(_, since)| now.since(**since) >= self.keep_ms)
            .map(|(job_id, _)| job_id.clone())
            .take(MAX_REMOVED)
            .collect();
        for job_id in &expired {
            self.ended_since.remove(job_id);
        }
        expired
    }
}
