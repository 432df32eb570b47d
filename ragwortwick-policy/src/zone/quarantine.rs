//! Evidence against workers and jobs, so that neither is blamed for the other.

use std::collections::BTreeSet;

use ragwortwick_border::JobPhase;
use ragwortwick_core::{DurationMs, JobId, TimeMs};

use super::ledger::Judgement;
use super::{ZoneNotice, ZonePlacer};

/// Different jobs that must fail on a worker, with none succeeding between, to put it aside.
const JOBS_AGAINST_WORKER: usize = 3;

/// Different trusted workers on which a job must fail to be stopped.
const WORKERS_AGAINST_JOB: usize = 3;

/// First quarantine; each further one lasts twice as long, up to the bound below.
const QUARANTINE_MS: DurationMs = DurationMs(5 * 60_000);

/// Doublings of the quarantine at most: a mended worker is back within hours.
const MAX_DOUBLINGS: u32 = 5;

/// Wait before a failed job is tried on another worker.
const RETRY_MS: DurationMs = DurationMs(1_000);

impl ZonePlacer {
    /// Notes that a job failed on a worker.
    pub(super) fn blame(&mut self, now: TimeMs, index: usize, job_id: &JobId, reason: &str) {
        if let Some(job) = self.jobs.get_mut(job_id) {
            job.failed_on.insert(index);
        }
        let entry = &mut self.ledger.workers[index];
        entry.evidence.insert(job_id.clone());
        let is_guilty = match entry.judgement {
            Judgement::Trusted => entry.evidence.len() >= JOBS_AGAINST_WORKER,
            Judgement::Trial => true,
            Judgement::Quarantined { .. } => false,
        };
        if !is_guilty {
            return;
        }
        let doublings = entry.quarantines.min(MAX_DOUBLINGS);
        entry.quarantines += 1;
        let trial_at = now + DurationMs(QUARANTINE_MS.0 << doublings);
        let jobs = entry.evidence.len();
        let text = format!("{jobs} different jobs failed on it, the last one: {reason}");
        self.judge(index, Judgement::Quarantined { trial_at }, &text);
    }

    /// Notes that a job succeeded on a worker.
    pub(super) fn clear_worker(&mut self, _now: TimeMs, index: usize) {
        let entry = &mut self.ledger.workers[index];
        entry.evidence.clear();
        if entry.judgement != Judgement::Trusted {
            entry.quarantines = 0;
            self.judge(index, Judgement::Trusted, "a job succeeded on it");
        }
    }

    pub(super) fn judge(&mut self, index: usize, judgement: Judgement, reason: &str) {
        let entry = &mut self.ledger.workers[index];
        entry.judgement = judgement;
        let worker = entry.name.clone();
        let state = entry.state();
        self.is_assign_due = true;
        self.is_place_due = true;
        self.notice(ZoneNotice::WorkerHealthChanged {
            worker,
            state,
            reason: reason.to_owned(),
        });
    }

    /// Tries a failed job elsewhere, or stops it and clears the workers that it failed on.
    pub(super) fn retry_failed(&mut self, now: TimeMs, job_id: &JobId, reason: &str) {
        let Some(job) = self.jobs.get_mut(job_id) else {
            return;
        };
        let failed_on: BTreeSet<usize> = job.failed_on.clone();
        let trusted = failed_on
            .iter()
            .filter(|index| self.ledger.workers[**index].judgement == Judgement::Trusted)
            .count();
        if trusted < WORKERS_AGAINST_JOB {
            job.hold_until = now + RETRY_MS;
            let text = format!("it failed on {} workers: {reason}", failed_on.len());
            self.requeue(job_id, &text, true);
            return;
        }
        for index in &failed_on {
            self.ledger.workers[*index].evidence.remove(job_id);
        }
        let text = format!("it failed on {} workers: {reason}", failed_on.len());
        self.end_job(job_id, JobPhase::Failed, &text);
    }
}
