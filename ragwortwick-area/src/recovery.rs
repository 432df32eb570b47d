//! What a new coordinator takes over: a job as the store has it, and the runs that may be on workers.

use std::sync::Arc;

use crate::accounting::RunEndReason;
use crate::allocation::{Allocation, AllocationPhase};
use crate::coordinator::{
    Coordinator, Now, RENEWAL_AFTER_LEASE_LOSS_MS, RecoveredJob, unix_to_steady,
};
use crate::job_state::JobState;
use crate::worker::{Worker, max_lease_ms};

impl Coordinator {
    /// Takes over one job; its recorded runs count as running until a look, or time, tells.
    pub(crate) fn recover_job(&mut self, now: Now, known: RecoveredJob) {
        let job_id = known.record.job_id.clone();
        let accepted_at = unix_to_steady(now, known.record.accepted_unix_ms);
        let mut job = JobState::new(known.record, accepted_at);
        let mut inherited = Vec::new();
        if let Some(progress) = &known.progress {
            inherited = job.restore(now.steady, progress);
        }
        self.record_work(&job);
        let is_over = job.phase.is_final();
        for (task, worker_name) in inherited {
            let (Some(spec), Some(state)) = (job.spec(task.step), job.task(&task)) else {
                continue;
            };
            let priority = self.queue_policy(&job).priority;
            let held = Allocation {
                phase: if is_over {
                    AllocationPhase::stop_pending(RunEndReason::JobOver)
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
            let bound = now.steady + RENEWAL_AFTER_LEASE_LOSS_MS + max_lease_ms(&self.limits);
            let worker = self
                .workers
                .entry(worker_name.clone())
                .or_insert_with(|| Worker::unlisted(now.steady, worker_name));
            worker.lease_expires_by = bound;
            worker.allocate(task, held);
        }
        if !is_over {
            self.open_jobs.insert(job_id.clone());
        }
        self.jobs.insert(job_id.clone(), job);
        if known.is_cancelled {
            self.cancel(now.steady, &job_id);
        }
    }
}
