//! What becomes of a job when its gang has ended.

use ragwortwick_border::{GangRef, JobPhase, WorkerCommand};
use ragwortwick_core::{DurationMs, GangId, JobId, TimeMs};

use super::gang::{EndCause, Gang, MemberState};
use super::homes::Home;
use super::{ZoneNotice, ZonePlacer};

/// Wait after a refusal before the job is tried again.
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
            self.unmark_homes(gang_id, gang.parts());
            // Homes lie around covered work, so one that was short may find its place now.
            self.is_assign_due |= self.homes.list.iter().any(Home::is_short);
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
                self.forget_on(now, worker, gang_id);
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
        // A start that an earlier owner recorded may have run on a worker that is silent now. Seeing
        // only reservations proves nothing then, and a second start could run the job twice.
        let may_have_run = gang.may_have_run || (gang.is_found && job.start_is_on_record());
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
        job.hold_until = now + REFUSED_BACKOFF_MS;
        // No commit was sent, so even a start that was recorded may be tried again.
        let was_recorded = job.start_is_on_record();
        self.requeue(job_id, reason, was_recorded);
    }

    /// Puts a job back into the queue; recorded where the store knows more than its acceptance.
    pub(super) fn requeue(&mut self, job_id: &JobId, reason: &str, is_recorded: bool) {
        let Some(job) = self.jobs.get_mut(job_id) else {
            return;
        };
        job.record.phase = JobPhase::Waiting;
        job.record.attempt = job.attempt;
        job.record.reason = format!("it waits again: {reason}");
        job.why.clone_from(&job.record.reason);
        self.is_place_due = true;
        if is_recorded {
            let record = job.record.clone();
            self.record(record);
        }
    }

    /// Records a job's end; it is forgotten once the record is in the store.
    pub(super) fn end_job(&mut self, job_id: &JobId, phase: JobPhase, reason: &str) {
        let Some(job) = self.jobs.get_mut(job_id) else {
            return;
        };
        job.is_done = true;
        job.record.phase = phase;
        job.record.attempt = job.attempt;
        reason.clone_into(&mut job.record.reason);
        reason.clone_into(&mut job.why);
        let record = job.record.clone();
        self.ended_jobs.insert(job_id, phase);
        self.record(record);
    }

    pub(super) fn forget_on(&mut self, now: TimeMs, worker: usize, gang_id: &GangId) {
        let gang_id = gang_id.clone();
        self.order(now, worker, WorkerCommand::Forget(GangRef { gang_id }));
    }
}
