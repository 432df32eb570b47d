//! Attribution of failures to workers or jobs, so that neither is penalised for the other.

use std::collections::BTreeSet;

use ragwortwick_border::JobPhase;
use ragwortwick_core::{DurationMs, JobId, TimeMs};

use super::ledger::WorkerHealth;
use super::{ZoneNotice, ZonePlacer};

/// Different jobs that must fail on a worker, with none succeeding in between, to quarantine it.
const JOBS_AGAINST_WORKER: usize = 3;

/// Different trusted workers on which a job must fail for it to end as failed.
const WORKERS_AGAINST_JOB: usize = 3;

/// Length of the first quarantine; each further one is twice as long, up to `MAX_DOUBLINGS`.
const QUARANTINE_MS: DurationMs = DurationMs(5 * 60_000);

/// Maximum doublings of the quarantine, so that a repaired worker is back within hours.
const MAX_DOUBLINGS: u32 = 5;

/// Delay before a failed job is placed on another worker.
const RETRY_MS: DurationMs = DurationMs(1_000);

impl ZonePlacer {
    /// Records that a job failed on a worker and quarantines the worker where that is due.
    pub(super) fn attribute_failure(
        &mut self,
        now: TimeMs,
        index: usize,
        job_id: &JobId,
        reason: &str,
    ) {
        if let Some(job) = self.jobs.get_mut(job_id) {
            job.failed_on.insert(index);
        }
        let entry = &mut self.ledger.workers[index];
        entry.failed_jobs.insert(job_id.clone());
        let is_faulty = match entry.health {
            WorkerHealth::Trusted => entry.failed_jobs.len() >= JOBS_AGAINST_WORKER,
            WorkerHealth::Trial => true,
            WorkerHealth::Quarantined { .. } => false,
        };
        if !is_faulty {
            return;
        }
        let doublings = entry.quarantines.min(MAX_DOUBLINGS);
        entry.quarantines += 1;
        let trial_at = now + DurationMs(QUARANTINE_MS.0 << doublings);
        let jobs = entry.failed_jobs.len();
        let text = format!("{jobs} different jobs failed on it, the last one: {reason}");
        self.set_health(index, WorkerHealth::Quarantined { trial_at }, &text);
    }

    /// Clears a worker's failures after a job succeeded on it.
    pub(super) fn clear_failures(&mut self, _now: TimeMs, index: usize) {
        let entry = &mut self.ledger.workers[index];
        entry.failed_jobs.clear();
        if entry.health != WorkerHealth::Trusted {
            entry.quarantines = 0;
            self.set_health(index, WorkerHealth::Trusted, "a job succeeded on it");
        }
    }

    pub(super) fn set_health(&mut self, index: usize, health: WorkerHealth, reason: &str) {
        let entry = &mut self.ledger.workers[index];
        entry.health = health;
        let worker = entry.name.clone();
        let state = entry.state();
        self.is_rebind_due = true;
        self.is_place_due = true;
        self.notice(ZoneNotice::WorkerHealthChanged {
            worker,
            state,
            reason: reason.to_owned(),
        });
    }

    /// Retries a failed job on another worker, or fails it and clears it from its workers' failures.
    pub(super) fn retry_failed(&mut self, now: TimeMs, job_id: &JobId, reason: &str) {
        let Some(job) = self.jobs.get_mut(job_id) else {
            return;
        };
        let failed_on: BTreeSet<usize> = job.failed_on.clone();
        let trusted = failed_on
            .iter()
            .filter(|index| self.ledger.workers[**index].health == WorkerHealth::Trusted)
            .count();
        if trusted < WORKERS_AGAINST_JOB {
            job.retry_at = now + RETRY_MS;
            let text = format!("it failed on {} workers: {reason}", failed_on.len());
            self.requeue(job_id, &text, true);
            return;
        }
        for index in &failed_on {
            self.ledger.workers[*index].failed_jobs.remove(job_id);
        }
        let text = format!("it failed on {} workers: {reason}", failed_on.len());
        self.end_job(job_id, JobPhase::Failed, &text);
    }
}
