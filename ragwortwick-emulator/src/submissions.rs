//! Submission and cancellation of jobs.

use std::sync::Arc;

use ragwortwick_area::Admission;
use ragwortwick_core::DurationMs;

use crate::simulation::{SimEvent, Simulation};
use crate::store::StoredJob;

/// Spread of the times to come back; a fixed one leaves the random numbers of other draws as they are.
const MEAN_SPREAD: f64 = 0.5;

impl Simulation {
    pub(crate) fn submit_job(&mut self, index: usize) {
        if self.store.is_unavailable {
            self.schedule_after(200, SimEvent::SubmitJob(index));
            return;
        }
        if let Some(retry_after_ms) = self.refusal_of(index) {
            self.schedule_after(retry_after_ms.0.max(1), SimEvent::SubmitJob(index));
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

    /// Returns after which time a job comes back that a host would refuse now.
    fn refusal_of(&self, index: usize) -> Option<DurationMs> {
        if !self.options.workload.policies.sheds_load {
            return None;
        }
        let record = &self.arrivals[index].record;
        let customer = self.desired_state.customers.get(&record.customer);
        let guaranteed = customer.map_or(0, |customer| customer.guaranteed_accelerators);
        let age_ms = self.now.since(self.store.load_heard_at);
        let picture = &self.store.load;
        match picture.admit(age_ms, record, guaranteed, MEAN_SPREAD) {
            Admission::Accepted => None,
            Admission::Refused { retry_after_ms } => Some(retry_after_ms),
        }
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
