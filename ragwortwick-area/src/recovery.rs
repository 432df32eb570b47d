//! Recovery of jobs from the store by a new coordinator, with the runs that may still be on workers.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::accounting::RunEndReason;
use crate::allocation::{Allocation, AllocationPhase};
use crate::coordinator::{
    Coordinator, Now, RENEWAL_AFTER_LEASE_LOSS_MS, RecoveredJob, unix_to_steady,
};
use crate::job_state::{JobState, TaskState};
use crate::worker::{Worker, max_lease_ms};

impl Coordinator {
    /// Recovers one job; its recorded runs count as running until a poll or the end of the lease decides.
    pub(crate) fn recover_job(&mut self, now: Now, recovered: RecoveredJob) {
        let job_id = recovered.record.job_id.clone();
        let accepted_at = unix_to_steady(now, recovered.record.accepted_unix_ms);
        let mut job = JobState::new(recovered.record, accepted_at);
        let mut recovered_runs = Vec::new();
        let mut addresses = BTreeMap::new();
        if let Some(progress) = recovered.progress {
            recovered_runs = job.restore(now.steady, &progress);
            addresses = progress.addresses;
        }
        self.record_submitted_work(&job);
        let is_ended = job.phase.is_final();
        for (task, worker_name) in recovered_runs {
            let (Some(spec), Some(state)) = (job.spec(task.step), job.task(&task)) else {
                continue;
            };
            let priority = self.queue_policy(&job).priority;
            let allocation = Allocation {
                phase: if is_ended {
                    AllocationPhase::stop_pending(RunEndReason::JobOver)
                } else if state.state == TaskState::Done {
                    AllocationPhase::stop_pending(RunEndReason::DoneBefore)
                } else {
                    AllocationPhase::Recovered
                },
                checkpoint: Arc::clone(&state.checkpoint),
                is_resumed: true,
                start_attempts: 1,
                crash_history: state.crash_history,
                confirmed_pace_percent: None,
                ..Allocation::awaiting_record(now.steady, spec, state.last_run, priority)
            };
            let lease_expires_by =
                now.steady + RENEWAL_AFTER_LEASE_LOSS_MS + max_lease_ms(&self.limits);
            let address = addresses.get(&worker_name).cloned().unwrap_or_default();
            let worker = self
                .workers
                .entry(worker_name.clone())
                .or_insert_with(|| Worker::unlisted(now.steady, worker_name, address));
            worker.lease_expires_by = lease_expires_by;
            worker.allocate(task, allocation);
        }
        if !is_ended {
            self.open_jobs.insert(job_id.clone());
        }
        self.jobs.insert(job_id.clone(), job);
        if recovered.is_cancelled {
            self.cancel_job(now.steady, &job_id);
        }
    }
}
