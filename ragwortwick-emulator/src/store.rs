//! The simulated store: jobs, their progress, and the coordinator's key under a lease.

use std::collections::BTreeMap;
use std::sync::Arc;

use ragwortwick_area::{
    Event, JobProgress, JobRecord, LoadPicture, RecoveredJob, RunResult, SpeedRecord,
};
use ragwortwick_core::{DurationMs, JobId, TimeMs, ZoneName};

/// Time to live of the coordinator's lease.
pub(crate) const LEASE_TTL_MS: DurationMs = DurationMs(2_000);

/// `Store` holds the durable state.
#[derive(Debug, Default)]
pub(crate) struct Store {
    pub(crate) jobs: BTreeMap<JobId, StoredJob>,
    /// Results that terms handed over, by job.
    pub(crate) handed_over: BTreeMap<JobId, Vec<RunResult>>,
    /// Evacuated zones, with when the evacuation was acknowledged.
    pub(crate) evacuated: BTreeMap<ZoneName, TimeMs>,
    /// Queues that are short of capacity, as the coordinator tells the hosts.
    pub(crate) load: LoadPicture,
    /// When the hosts heard of them.
    pub(crate) load_heard_at: TimeMs,
    /// Speeds of the workers, as the last coordinator stored them.
    pub(crate) speeds: Option<SpeedRecord>,
    pub(crate) revision: u64,
    /// Term of the elected coordinator, and when its lease expires.
    pub(crate) coordinator: Option<(u64, TimeMs)>,
    pub(crate) is_unavailable: bool,
    pub(crate) loses_replies: bool,
}

/// `StoredJob` is the stored state of one job.
#[derive(Clone, Debug)]
pub(crate) struct StoredJob {
    pub(crate) record: Arc<JobRecord>,
    pub(crate) progress: Option<JobProgress>,
    pub(crate) cancelled_at: Option<TimeMs>,
}

impl Store {
    /// Returns the term that holds the coordinator's key, unless its lease has expired.
    pub(crate) fn holder(&self, now: TimeMs) -> Option<u64> {
        self.coordinator
            .filter(|(_, until)| now < *until)
            .map(|(term, _)| term)
    }

    pub(crate) fn acquire_coordinator_key(&mut self, now: TimeMs) -> Option<u64> {
        if self.is_unavailable || self.holder(now).is_some() {
            return None;
        }
        self.revision += 1;
        self.coordinator = Some((self.revision, now + LEASE_TTL_MS));
        Some(self.revision)
    }

    /// Renews the lease; returns whether the term still holds it.
    pub(crate) fn renew(&mut self, now: TimeMs, term: u64) -> bool {
        if self.holder(now) != Some(term) {
            return false;
        }
        self.coordinator = Some((term, now + LEASE_TTL_MS));
        true
    }

    /// Returns the set of evacuated zones, as a read at the given time does.
    pub(crate) fn evacuation_report(&self, now: TimeMs) -> Event {
        Event::EvacuationsConfirmed {
            zones: Arc::new(self.evacuated.keys().cloned().collect()),
            as_of: now,
        }
    }

    /// Adds the results that a term hands over to those of earlier terms.
    pub(crate) fn add_handed_over(&mut self, job_id: JobId, results: Vec<RunResult>) {
        let of_job = self.handed_over.entry(job_id).or_default();
        for result in results {
            if !of_job.contains(&result) {
                of_job.push(result);
            }
        }
    }

    pub(crate) fn recovered_jobs(&self) -> Vec<RecoveredJob> {
        self.jobs
            .values()
            .map(|job| RecoveredJob {
                record: Arc::clone(&job.record),
                progress: job.progress.clone(),
                is_cancelled: job.cancelled_at.is_some(),
            })
            .collect()
    }
}
