//! Conversion of a job's state to its stored form and back.

use std::collections::BTreeSet;
use std::sync::Arc;

use ragwortwick_core::{TimeMs, WorkerName};

use crate::accounting::JobAccounting;
use crate::crashes::CrashHistory;
use crate::job::TaskId;
use crate::job_state::{JobState, TaskState};
use crate::progress::{GangProgress, JobProgress, TaskProgress};

impl JobState {
    /// Restores the state that an earlier coordinator stored; returns the runs that may be on workers.
    pub(crate) fn restore(
        &mut self,
        now: TimeMs,
        stored: &JobProgress,
    ) -> Vec<(TaskId, WorkerName)> {
        self.phase = stored.phase;
        self.recorded_phase = stored.phase;
        self.ended_at = stored.phase.is_final().then_some(now);
        for gang in &stored.gangs {
            if let Some(step) = self.step_mut(gang.occurrence, gang.step) {
                step.gang_failures = gang.failures;
                step.has_failed_member = gang.is_failing;
            }
        }
        let mut recovered_runs = Vec::new();
        let mut restored = BTreeSet::new();
        for task in &stored.tasks {
            let id = self.task_id(task.occurrence, task.step, task.index);
            // A second entry of a task would count it twice among those that are done or placed.
            if !restored.insert(id.clone()) {
                continue;
            }
            let Some(step) = self.step_mut(task.occurrence, task.step) else {
                continue;
            };
            let Some(state) = step.tasks.get_mut(task.index as usize) else {
                continue;
            };
            state.last_run = task.last_run;
            state.failures = task.failures;
            state.abandoned_runs.clone_from(&task.abandoned_runs);
            state.crash_history = CrashHistory {
                count: task.crashes,
                run_age_ms: task.crash_age_ms,
                last_run: task.crash_run,
            };
            state.checkpoint = Arc::clone(&task.checkpoint);
            if task.is_done {
                state.state = TaskState::Done;
                step.done_count += 1;
            }
            if let Some(worker) = &task.worker {
                recovered_runs.push((id.clone(), worker.clone()));
                if task.is_done {
                    self.superseded_runs.insert(id, worker.clone());
                } else {
                    state.state = TaskState::Placed(worker.clone());
                    step.placed_count += 1;
                }
            }
        }
        self.mark_partial_gangs_ending();
        self.accounting = JobAccounting::recovered(now, !recovered_runs.is_empty());
        recovered_runs
    }

    /// Marks a gang as ending if only some of its members are recorded as placed.
    ///
    /// Such a gang was ending when the record was written; its other members wait for the placed ones to end.
    fn mark_partial_gangs_ending(&mut self) {
        let record = Arc::clone(&self.record);
        for occurrence in &mut self.occurrences {
            for (step, spec) in occurrence.iter_mut().zip(&record.steps) {
                if !spec.is_gang || step.placed_count == 0 || step.placed_count == step.tasks.len()
                {
                    continue;
                }
                step.is_gang_ending = true;
                for task in &mut step.tasks {
                    if task.state == TaskState::Waiting {
                        task.state = TaskState::AwaitingGang;
                    }
                }
            }
        }
    }

    /// Returns the progress to store, with the worker of each task that may be running and its address.
    pub(crate) fn to_progress(
        &self,
        address_of: impl Fn(&WorkerName) -> Option<Arc<str>>,
    ) -> JobProgress {
        let mut progress = JobProgress {
            phase: self.phase,
            ..JobProgress::default()
        };
        for (occurrence, steps) in (0..).zip(&self.occurrences) {
            for (number, step) in (0..).zip(steps) {
                let has_failed = step.gang_failures > 0 || step.has_failed_member;
                if has_failed && !self.phase.is_final() {
                    progress.gangs.push(GangProgress {
                        occurrence,
                        step: number,
                        failures: step.gang_failures,
                        is_failing: step.has_failed_member,
                    });
                }
                for (index, task) in (0..).zip(&step.tasks) {
                    let worker = match &task.state {
                        TaskState::Placed(worker) => Some(worker.clone()),
                        TaskState::Done if !self.superseded_runs.is_empty() => {
                            let id = self.task_id(occurrence, number, index);
                            self.superseded_runs.get(&id).cloned()
                        }
                        _ => None,
                    };
                    if let Some(worker) = &worker
                        && !progress.addresses.contains_key(worker)
                        && let Some(address) = address_of(worker)
                    {
                        progress.addresses.insert(worker.clone(), address);
                    }
                    let is_done = task.state == TaskState::Done;
                    let is_unchanged = task.last_run == 0 && task.failures == 0 && !is_done;
                    // For a job that has ended, only runs that still have to stop are stored.
                    if is_unchanged || (self.phase.is_final() && worker.is_none()) {
                        continue;
                    }
                    progress.tasks.push(TaskProgress {
                        occurrence,
                        step: number,
                        index,
                        last_run: task.last_run,
                        failures: task.failures,
                        abandoned_runs: task.abandoned_runs.clone(),
                        crashes: task.crash_history.count,
                        crash_age_ms: task.crash_history.run_age_ms,
                        crash_run: task.crash_history.last_run,
                        is_done,
                        worker,
                        checkpoint: Arc::clone(&task.checkpoint),
                    });
                }
            }
        }
        progress
    }
}
