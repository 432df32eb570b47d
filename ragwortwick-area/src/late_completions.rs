//! Completions that a worker reports after their runs were abandoned.
//!
//! A worker may be unreachable for longer than the coordinator waits for its runs. A run may have completed
//! before its lease ended, and its task must not be executed again.

use ragwortwick_core::TimeMs;

use crate::accounting::RunEndReason;
use crate::coordinator::Coordinator;
use crate::job::TaskId;
use crate::job_state::TaskState;

impl Coordinator {
    /// Marks the task of an abandoned run as done and stops the runs that were started for it since.
    pub(crate) fn complete_late(&mut self, now: TimeMs, task: &TaskId) {
        let Some(job) = self.jobs.get_mut(&task.job_id) else {
            return;
        };
        let is_long_running = job.spec(task.step).is_none_or(|spec| spec.is_long_running);
        let is_done = job
            .task(task)
            .is_none_or(|task| task.state == TaskState::Done);
        if job.phase.is_final() || is_long_running || is_done {
            return;
        }
        let is_job_ended = job.mark_done(task);
        self.stop_with_gang(now, task, RunEndReason::DoneBefore);
        if is_job_ended {
            self.end_job(now, &task.job_id);
        }
        self.records.mark_dirty(&task.job_id);
        self.needs_pass = true;
    }
}
