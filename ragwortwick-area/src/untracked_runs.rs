//! Runs that a worker reports and that the coordinator holds no allocation for.

use ragwortwick_core::{WorkerName, common};

use crate::job::TaskId;
use crate::progress::JobPhase;

/// `UntrackedRun` is a run without an allocation, for the log.
#[common]
pub struct UntrackedRun {
    /// The worker that reports it.
    pub worker: WorkerName,
    /// The task.
    pub task: TaskId,
    /// Number of the run.
    pub run: u32,
    /// Phase of its job; none if the coordinator doesn't know the job.
    pub job_phase: Option<JobPhase>,
}
