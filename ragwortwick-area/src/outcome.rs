//! What the outcome of a run means for its step: a task on its own, or a gang that ends as one.

use std::sync::Arc;

use crate::job_state::{StepState, TaskState};
use crate::losses::WorkerLossCause;

/// `RunOutcome` is how a run is over for good.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RunOutcome {
    /// It did its work.
    Done,
    /// It failed.
    Failed,
    /// It ended without a verdict on the task: stopped, lapsed or never begun.
    NoVerdict,
    /// It was lost with its worker.
    Lost(WorkerLossCause),
}

/// `FollowUp` tells what a run's outcome means for the rest of the job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FollowUp {
    /// Nothing else has to be done.
    None,
    /// The other members of the gang have to stop.
    StopGang,
    /// The job has come to its end; runs that are left have to stop.
    EndJob,
}

/// A task on its own: it is done, waits again, or has failed too often.
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
            task.failures += 1;
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

/// A gang ends as one: one member done is all done, and anything else ends the run for all.
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
        // The checkpoint of any member is good for all, and all have to resume from the same one.
        for task in &mut step.tasks {
            task.checkpoint = Arc::clone(checkpoint);
        }
    }
    step.tasks[index].state = TaskState::AwaitingGang;
    match outcome {
        RunOutcome::Done => {
            // Members whose end is not listed yet keep their room on their workers until it is.
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
    step.gang_failures += u32::from(has_failed);
    for task in &mut step.tasks {
        task.state = TaskState::Waiting;
    }
    if has_failed && step.gang_failures >= attempts {
        FollowUp::EndJob
    } else {
        FollowUp::None
    }
}
