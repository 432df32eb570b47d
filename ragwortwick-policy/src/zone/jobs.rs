//! Events of jobs: found in the store, cancelled and recorded.

use ragwortwick_border::{JobPhase, JobRecord};
use ragwortwick_core::{GangId, JobId, TimeMs};

use super::ZonePlacer;
use super::gang::{EndCause, GangEvent, GangState};
use super::placer::Ownership;
use super::queue::{Job, is_final};

impl ZonePlacer {
    pub(super) fn on_job_found(&mut self, now: TimeMs, record: JobRecord) {
        let job_id = record.job_id.clone();
        let is_not_owner = self.ownership == Ownership::NotOwner;
        if is_not_owner || is_final(record.phase) || self.ended_jobs.get(&job_id).is_some() {
            return;
        }
        let is_cancelled = record.cancel_requested;
        if !self.jobs.contains_key(&job_id) {
            let is_recovering = self.ownership == Ownership::Recovering;
            let job = Job::new(record, now, is_recovering);
            self.jobs.insert(job_id.clone(), job);
            self.attach_recovered_gangs(now, &job_id);
            self.is_place_due = true;
            if !is_recovering && self.reject_oversized(&job_id) {
                return;
            }
        }
        if is_cancelled {
            self.on_job_cancelled(now, &job_id);
        }
    }

    /// Fails a job that does not fit the zone's listed workers even when all are empty.
    fn reject_oversized(&mut self, job_id: &JobId) -> bool {
        let Some(job) = self.jobs.get(job_id) else {
            return false;
        };
        let shape = job.record.spec.shape.clone();
        if job.active.is_some() || self.can_ever_fit(&shape) {
            return false;
        }
        let reason = format!(
            "{} cells of {} accelerators do not fit this zone even when it is empty",
            shape.cells, shape.cell_accelerators
        );
        self.end_job(job_id, JobPhase::Failed, &reason);
        true
    }

    pub(super) fn on_job_cancelled(&mut self, now: TimeMs, job_id: &JobId) {
        let Some(job) = self.jobs.get_mut(job_id) else {
            return;
        };
        job.record.cancel_requested = true;
        if job.is_done {
            return;
        }
        let Some(gang_id) = job.active.clone() else {
            // A recorded start without a gang is settled by recovery, not by the cancellation.
            if !job.has_recorded_start() {
                self.end_job(job_id, JobPhase::Cancelled, "its caller cancelled it");
            }
            return;
        };
        // A gang that ends for another reason must not requeue the cancelled job.
        if let Some(gang) = self.gangs.get_mut(&gang_id)
            && gang.cause != Some(EndCause::Finished)
        {
            gang.cause = Some(EndCause::Cancelled);
        }
        self.abort(now, &gang_id, EndCause::Cancelled);
    }

    pub(super) fn on_job_recorded(&mut self, now: TimeMs, job_id: &JobId, attempt: u32) {
        let Some(job) = self.jobs.get_mut(job_id) else {
            return;
        };
        let to_forget = std::mem::take(&mut job.to_forget);
        let is_done = job.is_done;
        let active = job.active.clone();
        if is_done {
            self.jobs.remove(job_id);
        }
        for (worker, gang_id) in to_forget {
            self.order_forget(now, worker, &gang_id);
        }
        if let Some(gang_id) = active {
            self.on_start_recorded(now, &gang_id, attempt);
        }
    }

    fn on_start_recorded(&mut self, now: TimeMs, gang_id: &GangId, attempt: u32) {
        let Some(gang) = self.gangs.get_mut(gang_id) else {
            return;
        };
        if gang.state != GangState::Recording || gang.spec.attempt != attempt {
            return;
        }
        let is_fresh = self
            .gangs
            .get(gang_id)
            .is_some_and(|gang| self.are_reservations_fresh(now, gang));
        if !is_fresh {
            let cause =
                EndCause::Refused("the record took longer than the reservations".to_owned());
            if let Some(gang) = self.gangs.get_mut(gang_id) {
                gang.cause.get_or_insert(cause);
            }
        }
        self.fire(now, gang_id, GangEvent::Recorded);
        self.check_gang(now, gang_id);
    }
}
