//! The coordinator's view of one job: the states of its tasks, steps and gangs.

use std::collections::BTreeMap;
use std::sync::Arc;

use ragwortwick_core::{DurationMs, TimeMs, WorkerName};

use crate::accounting::JobAccounting;
use crate::backoff::StartBackoff;
use crate::crashes::CrashHistory;
use crate::job::{JobRecord, StepSpec, TaskId};
use crate::outcome::{FollowUp, RunOutcome, apply_gang_outcome, apply_task_outcome};
use crate::progress::JobPhase;

/// `TaskState` is the scheduling state of one task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum TaskState {
    /// It waits to be placed.
    Waiting,
    /// A run of it is, or may be, on the worker.
    Placed(WorkerName),
    /// Its run has ended, and runs of other members of its gang have not.
    AwaitingGang,
    /// A run of it has done its work.
    Done,
}

#[derive(Clone, Debug)]
pub(crate) struct Task {
    pub(crate) state: TaskState,
    pub(crate) last_run: u32,
    pub(crate) failures: u32,
    /// Runs that were abandoned on unreachable workers, whose results are unknown.
    pub(crate) abandoned_runs: Vec<u32>,
    pub(crate) crash_history: CrashHistory,
    pub(crate) checkpoint: Arc<str>,
}

impl Task {
    /// Whether an end of an earlier run may still be listed that decides how the task goes on.
    pub(crate) fn has_abandoned_runs(&self) -> bool {
        !self.abandoned_runs.is_empty()
    }
}

/// `StepState` is the state of one step of one occurrence.
#[derive(Clone, Debug)]
pub(crate) struct StepState {
    pub(crate) tasks: Vec<Task>,
    pub(crate) done_count: usize,
    pub(crate) placed_count: usize,
    /// Number of failed runs of the whole gang.
    pub(crate) gang_failures: u32,
    /// Whether the gang's run is ending and some of its members have not ended yet.
    pub(crate) is_gang_ending: bool,
    pub(crate) has_failed_member: bool,
}

impl StepState {
    fn new(spec: &StepSpec) -> Self {
        let task = Task {
            state: TaskState::Waiting,
            last_run: 0,
            failures: 0,
            abandoned_runs: Vec::new(),
            crash_history: CrashHistory::default(),
            checkpoint: "".into(),
        };
        Self {
            tasks: vec![task; spec.count as usize],
            done_count: 0,
            placed_count: 0,
            gang_failures: 0,
            is_gang_ending: false,
            has_failed_member: false,
        }
    }

    pub(crate) fn is_done(&self) -> bool {
        self.done_count == self.tasks.len()
    }

    pub(crate) fn waiting_count(&self) -> usize {
        self.tasks
            .iter()
            .filter(|task| task.state == TaskState::Waiting)
            .count()
    }
}

/// `JobState` is the state of one accepted job.
#[derive(Clone, Debug)]
pub(crate) struct JobState {
    pub(crate) record: Arc<JobRecord>,
    pub(crate) phase: JobPhase,
    /// Phase in the last record that was sent to the store.
    pub(crate) recorded_phase: JobPhase,
    /// Steps by occurrence and number.
    pub(crate) occurrences: Vec<Vec<StepState>>,
    /// Workers of superseded runs: an earlier run, or another member of the gang, has completed their task.
    pub(crate) superseded_runs: BTreeMap<TaskId, WorkerName>,
    /// Time of acceptance on the coordinator's clock.
    pub(crate) accepted_at: TimeMs,
    pub(crate) ended_at: Option<TimeMs>,
    /// When a run of it last ended; the time of acceptance before that.
    pub(crate) last_run_ended_at: TimeMs,
    /// Backoff after refused starts.
    pub(crate) backoff: StartBackoff,
    /// Number of times that a stalled run of it was stopped to restart on another worker.
    pub(crate) stall_restarts: u32,
    pub(crate) accounting: JobAccounting,
}

impl JobState {
    pub(crate) fn new(record: Arc<JobRecord>, accepted_at: TimeMs) -> Self {
        let steps: Vec<StepState> = record.steps.iter().map(StepState::new).collect();
        Self {
            occurrences: vec![steps; record.occurrence_count() as usize],
            record,
            phase: JobPhase::Queued,
            recorded_phase: JobPhase::Queued,
            superseded_runs: BTreeMap::new(),
            accepted_at,
            ended_at: None,
            last_run_ended_at: accepted_at,
            backoff: StartBackoff::default(),
            stall_restarts: 0,
            accounting: JobAccounting::new(accepted_at),
        }
    }

    pub(crate) fn task_id(&self, occurrence: u32, step: u32, index: u32) -> TaskId {
        TaskId {
            job_id: self.record.job_id.clone(),
            occurrence,
            step,
            index,
        }
    }

    pub(crate) fn step_mut(&mut self, occurrence: u32, step: u32) -> Option<&mut StepState> {
        self.occurrences
            .get_mut(occurrence as usize)?
            .get_mut(step as usize)
    }

    pub(crate) fn step(&self, occurrence: u32, step: u32) -> Option<&StepState> {
        self.occurrences
            .get(occurrence as usize)?
            .get(step as usize)
    }

    pub(crate) fn spec(&self, step: u32) -> Option<&StepSpec> {
        self.record.steps.get(step as usize)
    }

    /// Whether all steps that the given step depends on are done.
    pub(crate) fn is_step_ready(&self, occurrence: u32, step: u32) -> bool {
        let Some(spec) = self.spec(step) else {
            return false;
        };
        spec.after.iter().all(|&earlier| {
            self.step(occurrence, earlier)
                .is_some_and(StepState::is_done)
        })
    }

    /// Records that a run of the task is placed on the worker.
    pub(crate) fn mark_placed(&mut self, id: &TaskId, worker: &WorkerName, run: u32) {
        if self.phase == JobPhase::Queued {
            self.phase = JobPhase::Running;
        }
        let Some(step) = self.step_mut(id.occurrence, id.step) else {
            return;
        };
        step.placed_count += 1;
        let task = &mut step.tasks[id.index as usize];
        task.last_run = run;
        task.state = TaskState::Placed(worker.clone());
    }

    /// Applies the outcome of a run that has ended; returns what has to follow for the rest of the job.
    pub(crate) fn apply_outcome(
        &mut self,
        id: &TaskId,
        run: u32,
        outcome: RunOutcome,
        checkpoint: &Arc<str>,
        attempts: u32,
    ) -> FollowUp {
        let Some(spec) = self.spec(id.step).cloned() else {
            return FollowUp::None;
        };
        let has_ended = self.phase.is_final();
        let Some(step) = self.step_mut(id.occurrence, id.step) else {
            return FollowUp::None;
        };
        let Some(task) = step.tasks.get_mut(id.index as usize) else {
            return FollowUp::None;
        };
        if task.last_run != run || !matches!(task.state, TaskState::Placed(_)) {
            return FollowUp::None;
        }
        step.placed_count -= 1;
        if !checkpoint.is_empty() {
            task.checkpoint = Arc::clone(checkpoint);
        }
        // A long-running task is started again however its run ended.
        let outcome = match outcome {
            RunOutcome::Done | RunOutcome::Failed if spec.is_long_running => RunOutcome::NoVerdict,
            outcome => outcome,
        };
        if spec.is_gang && outcome == RunOutcome::Done {
            self.supersede_other_members(id);
        }
        let Some(step) = self.step_mut(id.occurrence, id.step) else {
            return FollowUp::None;
        };
        let follow_up = if spec.is_gang {
            apply_gang_outcome(step, id.index as usize, outcome, checkpoint, attempts)
        } else {
            apply_task_outcome(step, id.index as usize, outcome, attempts)
        };
        if has_ended {
            return FollowUp::None;
        }
        match follow_up {
            FollowUp::EndJob => {
                self.phase = JobPhase::Failed;
                FollowUp::EndJob
            }
            _ if self.all_done() => {
                self.phase = JobPhase::Completed;
                FollowUp::EndJob
            }
            follow_up => follow_up,
        }
    }

    /// Records the workers of the other members of a gang that a member has completed.
    fn supersede_other_members(&mut self, id: &TaskId) {
        let Some(step) = self.step(id.occurrence, id.step) else {
            return;
        };
        let members = (0..).zip(&step.tasks);
        let others = members.filter(|(index, _)| *index != id.index);
        let placed: Vec<_> = others
            .filter_map(|(index, task)| match &task.state {
                TaskState::Placed(worker) => Some((
                    TaskId {
                        index,
                        ..id.clone()
                    },
                    worker.clone(),
                )),
                _ => None,
            })
            .collect();
        self.superseded_runs.extend(placed);
    }

    pub(crate) fn task(&self, id: &TaskId) -> Option<&Task> {
        self.step(id.occurrence, id.step)?
            .tasks
            .get(id.index as usize)
    }

    /// Whether it still matters how the run that is placed for a task ends.
    pub(crate) fn awaits_run_end(&self, id: &TaskId) -> bool {
        let task = self.task(id);
        let is_placed = task.is_some_and(|task| matches!(task.state, TaskState::Placed(_)));
        is_placed && !self.phase.is_final()
    }

    pub(crate) fn task_mut(&mut self, id: &TaskId) -> Option<&mut Task> {
        let step = self.step_mut(id.occurrence, id.step)?;
        step.tasks.get_mut(id.index as usize)
    }

    /// Records that a task, or its whole gang, has done its work, even if runs of it are still placed.
    /// Returns whether that completes the job.
    pub(crate) fn mark_done(&mut self, id: &TaskId) -> bool {
        let is_gang = self.spec(id.step).is_some_and(|spec| spec.is_gang);
        let step = self.occurrences.get_mut(id.occurrence as usize);
        let Some(step) = step.and_then(|steps| steps.get_mut(id.step as usize)) else {
            return false;
        };
        let members = (0..).zip(&mut step.tasks);
        for (index, task) in members.filter(|(index, _)| is_gang || *index == id.index) {
            let previous = std::mem::replace(&mut task.state, TaskState::Done);
            step.done_count += usize::from(previous != TaskState::Done);
            if let TaskState::Placed(worker) = previous {
                step.placed_count -= 1;
                let superseded = TaskId {
                    index,
                    ..id.clone()
                };
                self.superseded_runs.insert(superseded, worker);
            }
        }
        step.is_gang_ending &= !is_gang;
        let is_completed = !self.phase.is_final() && self.all_done();
        if is_completed {
            self.phase = JobPhase::Completed;
        }
        is_completed
    }

    /// Counts a worker crash that is attributed to the task; returns whether that fails the job.
    pub(crate) fn count_crash(
        &mut self,
        id: &TaskId,
        run: u32,
        run_age_ms: Option<DurationMs>,
    ) -> bool {
        let has_ended = self.phase.is_final();
        let Some(step) = self.step_mut(id.occurrence, id.step) else {
            return false;
        };
        let Some(task) = step.tasks.get_mut(id.index as usize) else {
            return false;
        };
        task.crash_history.count_crash(run, run_age_ms);
        let is_failed = task.crash_history.is_at_limit() && !has_ended;
        if is_failed {
            self.phase = JobPhase::Failed;
        }
        is_failed
    }

    /// Whether the phase differs from the one in the last record, so that clients still see the old one.
    pub(crate) fn has_unrecorded_phase(&self) -> bool {
        self.phase != self.recorded_phase
    }

    /// Whether no run of the job is placed on any worker.
    pub(crate) fn is_idle(&self) -> bool {
        let mut steps = self.occurrences.iter().flatten();
        steps.all(|step| step.placed_count == 0)
    }

    fn all_done(&self) -> bool {
        self.occurrences
            .iter()
            .all(|steps| steps.iter().all(StepState::is_done))
    }
}
