//! Submission and cancellation of jobs.

use std::sync::Arc;

use crate::simulation::{SimEvent, Simulation};
use crate::store::StoredJob;

impl Simulation {
    pub(crate) fn submit_job(&mut self, index: usize) {
        if self.store.is_unavailable {
            self.schedule_after(200, SimEvent::SubmitJob(index));
            return;
        }
        let mut record = (*self.arrivals[index].record).clone();
        record.accepted_unix_ms = self.now;
        let job = StoredJob {
            record: Arc::new(record),
            progress: None,
            cancelled_at: None,
        };
        self.store.jobs.insert(job.record.job_id.clone(), job);
    }

    pub(crate) fn cancel_job(&mut self, index: usize) {
        let job_id = self.arrivals[index].record.job_id.clone();
        let is_unavailable = self.store.is_unavailable;
        match self.store.jobs.get_mut(&job_id) {
            Some(job) if !is_unavailable => {
                job.cancelled_at = Some(self.now);
                self.ground_truth.record_cancellation(self.now, &job_id);
            }
            _ => self.schedule_after(200, SimEvent::CancelJob(index)),
        }
    }
}
