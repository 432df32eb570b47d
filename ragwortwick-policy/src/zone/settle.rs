//! Settlement of a job after its gang has ended.

use ragwortwick_border::{GangRef, JobPhase, WorkerCommand};
use ragwortwick_core::{DurationMs, GangId, JobId, TimeMs};

use super::bindings::CellBinding;
use super::gang::{EndCause, Gang, MemberState};
use super::{ZoneNotice, ZonePlacer};

/// Delay after a refusal before the job is placed again.
const REFUSED_BACKOFF_MS: DurationMs = DurationMs(500);

impl ZonePlacer {
    pub(super) fn settle(&mut self, now: TimeMs, gang_id: &GangId) {
        let Some(gang) = self.gangs.remove(gang_id) else {
            return;
        };
        for member in &gang.members {
            self.ledger.release(member.part.worker, gang_id);
        }
        if !gang.is_borrowed {
            self.mark_cells_unused(gang_id, gang.parts());
            // Cells are bound around guaranteed work, so an unbound cell may fit now.
            self.is_rebind_due |= self.bindings.list.iter().any(CellBinding::is_unbound);
        }
        self.is_place_due = true;
        let cause = gang.cause.clone().unwrap_or(EndCause::Finished);
        if gang.may_have_run {
            self.notice(ZoneNotice::GangEnded {
                gang_id: gang_id.clone(),
                customer: gang.spec.customer.clone(),
                reason: cause.to_string(),
            });
        }
        self.settle_job(now, &gang, &cause);
    }

    pub(super) fn settle_job(&mut self, now: TimeMs, gang: &Gang, cause: &EndCause) {
        let gang_id = &gang.spec.gang_id;
        let ended: Vec<usize> = gang
            .members
            .iter()
            .filter(|member| matches!(member.state, MemberState::Ended(_)))
            .map(|member| member.part.worker)
            .collect();
        let Some(job) = self.jobs.get_mut(&gang.job_id) else {
            for worker in ended {
                self.order_forget(now, worker, gang_id);
            }
            return;
        };
        let to_forget = ended.into_iter().map(|worker| (worker, gang_id.clone()));
        job.to_forget.extend(to_forget);
        if job.active.as_ref() != Some(gang_id) {
            return;
        }
        job.active = None;
        let is_repeatable = job.record.spec.repeatable;
        // A start that an earlier owner recorded may have run on a worker that is unresponsive now.
        // Reservations alone do not disprove that, and a second start could run the job twice.
        let may_have_run = gang.may_have_run || (gang.is_recovered && job.has_recorded_start());
        match cause {
            EndCause::Finished => {
                self.end_job(&gang.job_id, JobPhase::Finished, "it finished");
            }
            EndCause::Cancelled => {
                self.end_job(&gang.job_id, JobPhase::Cancelled, "its caller cancelled it");
            }
            EndCause::Failed(reason) if !is_repeatable => {
                self.end_job(&gang.job_id, JobPhase::Failed, reason);
            }
            EndCause::Failed(reason) => self.retry_failed(now, &gang.job_id, reason),
            EndCause::Reclaimed
            | EndCause::Moved
            | EndCause::MemberLost(_)
            | EndCause::Refused(_)
                if may_have_run && !is_repeatable =>
            {
                let reason = format!("it was started and its outcome is unknown: {cause}");
                self.end_job(&gang.job_id, JobPhase::MayHaveRun, &reason);
            }
            EndCause::Refused(reason) => self.retry_refused(now, &gang.job_id, reason),
            EndCause::Reclaimed | EndCause::Moved | EndCause::MemberLost(_) => {
                self.requeue(&gang.job_id, &cause.to_string(), may_have_run);
            }
        }
    }

    pub(super) fn retry_refused(&mut self, now: TimeMs, job_id: &JobId, reason: &str) {
        let Some(job) = self.jobs.get_mut(job_id) else {
            return;
        };
        job.retry_at = now + REFUSED_BACKOFF_MS;
        // No commit was sent, so even a recorded start can be repeated.
        let was_recorded = job.has_recorded_start();
        self.requeue(job_id, reason, was_recorded);
    }

    /// Requeues a job, and records that where the store has a later state than its acceptance.
    pub(super) fn requeue(&mut self, job_id: &JobId, reason: &str, is_recorded: bool) {
        let Some(job) = self.jobs.get_mut(job_id) else {
            return;
        };
        job.record.phase = JobPhase::Waiting;
        job.record.attempt = job.attempt;
        job.record.reason = format!("it waits again: {reason}");
        job.explanation.clone_from(&job.record.reason);
        self.is_place_due = true;
        if is_recorded {
            let record = job.record.clone();
            self.record(record);
        }
    }

    /// Records a job's end; the job is removed once the record is stored.
    pub(super) fn end_job(&mut self, job_id: &JobId, phase: JobPhase, reason: &str) {
        let Some(job) = self.jobs.get_mut(job_id) else {
            return;
        };
        job.is_done = true;
        job.record.phase = phase;
        job.record.attempt = job.attempt;
        reason.clone_into(&mut job.record.reason);
        reason.clone_into(&mut job.explanation);
        let record = job.record.clone();
        self.ended_jobs.insert(job_id, phase);
        self.record(record);
    }

    pub(super) fn order_forget(&mut self, now: TimeMs, worker: usize, gang_id: &GangId) {
        let gang_id = gang_id.clone();
        self.order(now, worker, WorkerCommand::Forget(GangRef { gang_id }));
    }
}
