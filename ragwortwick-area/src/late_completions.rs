//! Ends that a worker lists after their runs were given up.
//!
//! Answers the load in which a worker is out of reach for longer than a run is waited for: the run may have
//! done its work before its lease ran out, and its task must not be done again.

use ragwortwick_core::TimeMs;

use crate::accounting::RunEndReason;
use crate::coordinator::Coordinator;
use crate::job::TaskId;
use crate::job_state::TaskState;

impl Coordinator {
    /// A run that is no longer held has done its work: its task is done, and what was started for it since
    /// has to stop.
    pub(crate) fn complete_late(&mut self, now: TimeMs, task: &TaskId) {
        let Some(job) = self.jobs.get_mut(&task.job_id) else {
            return;
        };
        let is_lasting = job.spec(task.step).is_none_or(|spec| spec.is_long_running);
        let is_done = job
            .task(task)
            .is_none_or(|known| known.state == TaskState::Done);
        if job.phase.is_final() || is_lasting || is_done {
            return;
        }
        let is_over = job.mark_done(task);
        self.stop_with_gang(now, task, RunEndReason::DoneBefore);
        if is_over {
            self.end_job(now, &task.job_id);
        }
        self.records.mark_dirty(&task.job_id);
        self.needs_pass = true;
    }
}
