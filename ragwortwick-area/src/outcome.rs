//! Effect of a run's outcome on its step, for single tasks and for gangs, which end as a unit.

use std::sync::Arc;

use crate::job_state::{StepState, TaskState};
use crate::losses::WorkerLossCause;

/// `RunOutcome` is the final outcome of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RunOutcome {
    /// The run completed its work.
    Done,
    /// The run failed.
    Failed,
    /// The run was stopped, expired or never started, which counts neither for nor against the task.
    NoVerdict,
    /// The run was lost with its worker.
    Lost(WorkerLossCause),
}

/// `FollowUp` is what a run's outcome requires for the rest of the job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FollowUp {
    /// Nothing is required.
    None,
    /// The other members of the gang have to stop.
    StopGang,
    /// The job has failed, and its remaining runs have to stop, or it has completed.
    EndJob,
}

/// Applies the outcome of a single task's run: the task is done, waits again, or has failed too often.
pub(crate) fn apply_task_outcome(
    step: &mut StepState,
    index: usize,
    outcome: RunOutcome,
    attempts: u32,
) -> FollowUp {
    let task = &mut step.tasks[index];
    match outcome {
        RunOutcome::Done => {
            task.state = TaskState::Done;
            step.done_count += 1;
            FollowUp::None
        }
        RunOutcome::Failed => {
            task.state = TaskState::Waiting;
            task.failures = task.failures.saturating_add(1);
            if task.failures >= attempts {
                FollowUp::EndJob
            } else {
                FollowUp::None
            }
        }
        RunOutcome::NoVerdict | RunOutcome::Lost(_) => {
            task.state = TaskState::Waiting;
            FollowUp::None
        }
    }
}

/// Applies the outcome of a gang member's run: a completed member completes the gang, and any other outcome
/// ends the run of all members.
pub(crate) fn apply_gang_outcome(
    step: &mut StepState,
    index: usize,
    outcome: RunOutcome,
    checkpoint: &Arc<str>,
    attempts: u32,
) -> FollowUp {
    if step.is_done() {
        return FollowUp::None;
    }
    if !checkpoint.is_empty() {
        // A checkpoint of any member is valid for the gang, and all members must resume from the same one.
        for task in &mut step.tasks {
            task.checkpoint = Arc::clone(checkpoint);
        }
    }
    step.tasks[index].state = TaskState::AwaitingGang;
    match outcome {
        RunOutcome::Done => {
            // Members keep their resources until their workers report the end of their runs.
            for task in &mut step.tasks {
                task.state = TaskState::Done;
            }
            step.done_count = step.tasks.len();
            step.placed_count = 0;
            step.is_gang_ending = false;
            return FollowUp::None;
        }
        RunOutcome::Failed => step.has_failed_member = true,
        RunOutcome::NoVerdict | RunOutcome::Lost(_) => {}
    }
    let is_first = !step.is_gang_ending;
    step.is_gang_ending = true;
    if step.placed_count > 0 {
        return if is_first {
            FollowUp::StopGang
        } else {
            FollowUp::None
        };
    }
    step.is_gang_ending = false;
    let has_failed = std::mem::take(&mut step.has_failed_member);
    step.gang_failures = step.gang_failures.saturating_add(u32::from(has_failed));
    let run = step.tasks[index].last_run;
    for task in &mut step.tasks {
        task.state = TaskState::Waiting;
        if has_failed {
            // The failure of the run is counted, whichever members list it later.
            task.abandoned_runs.retain(|abandoned| *abandoned != run);
        }
    }
    if has_failed && step.gang_failures >= attempts {
        FollowUp::EndJob
    } else {
        FollowUp::None
    }
}
