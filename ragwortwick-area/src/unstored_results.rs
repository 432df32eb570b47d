//! Results of runs that a coordinator learned but could not store, handed over to the next coordinator.
//!
//! A coordinator that loses the store receives replies from workers for some more seconds. What it learns in
//! that time is in no record. If the worker then leaves or has crashed, no other coordinator can learn it: a
//! completed task would run again, and a crash would not count against the task that caused it.

use std::collections::BTreeMap;

use ragwortwick_core::{DurationMs, JobId, TimeMs, common};

use crate::accounting::RunEndReason;
use crate::coordinator::Coordinator;
use crate::job::TaskId;
use crate::job_state::TaskState;
use crate::losses::{WorkerLossCause, WorkerLossReport};
use crate::messages::{Action, RunEndEvidence};
use crate::outcome::RunOutcome;
use crate::worker::Worker;

/// `RunResultKind` is what a coordinator learned about the end of a run.
#[common]
#[derive(Copy)]
pub enum RunResultKind {
    /// The run completed its work.
    Completed,
    /// The run failed.
    Failed,
    /// The worker crashed while it ran.
    Crashed {
        /// Whether the crash was attributed to the task.
        is_suspect: bool,
        /// Age of the run at the crash; none if it is unknown.
        run_age_ms: Option<DurationMs>,
    },
}

/// `RunResult` is the end of one run.
#[common]
pub struct RunResult {
    /// The task.
    pub task: TaskId,
    /// Number of the run.
    pub run: u32,
    /// How it ended.
    pub kind: RunResultKind,
}

/// `UnstoredResults` holds a term's run results that no stored record contains yet.
#[derive(Debug, Default)]
pub struct UnstoredResults(Vec<UnstoredResult>);

#[derive(Debug)]
struct UnstoredResult {
    result: RunResult,
    /// The batch that contains it, once there is one.
    batch: Option<u64>,
}

impl UnstoredResults {
    /// `record_action` records the results that an action reports, or the batch that contains them.
    ///
    /// The actions of a coordinator must be recorded in their order.
    pub fn record_action(&mut self, action: &Action) {
        match action {
            Action::LogRunEnd(ended) => {
                let kind = match ended.reason {
                    RunEndReason::Done => RunResultKind::Completed,
                    RunEndReason::Failed => RunResultKind::Failed,
                    _ => return,
                };
                self.add(RunResult {
                    task: ended.task.clone(),
                    run: ended.run,
                    kind,
                });
            }
            Action::LogWorkerLoss(report) => self.add_crashed_runs(report),
            Action::Store { batch, records } => {
                let unassigned = self
                    .0
                    .iter_mut()
                    .filter(|unstored| unstored.batch.is_none());
                for unstored in unassigned {
                    let job_id = &unstored.result.task.job_id;
                    if records.iter().any(|record| record.job_id == *job_id) {
                        unstored.batch = Some(*batch);
                    }
                }
            }
            _ => {}
        }
    }

    fn add(&mut self, result: RunResult) {
        self.0.push(UnstoredResult {
            result,
            batch: None,
        });
    }

    fn add_crashed_runs(&mut self, report: &WorkerLossReport) {
        if report.cause != WorkerLossCause::Crashed {
            return;
        }
        for lost in &report.runs {
            let mut suspects = report.suspects.iter();
            let kind = RunResultKind::Crashed {
                is_suspect: suspects.any(|(task, _)| *task == lost.task),
                run_age_ms: lost.age_ms,
            };
            self.add(RunResult {
                task: lost.task.clone(),
                run: lost.run,
                kind,
            });
        }
    }

    /// `remove_batch` removes the results that a stored batch contains.
    pub fn remove_batch(&mut self, batch: u64) {
        self.0.retain(|unstored| unstored.batch != Some(batch));
    }

    /// `take` takes all unstored results, by job.
    pub fn take(&mut self) -> BTreeMap<JobId, Vec<RunResult>> {
        let mut by_job: BTreeMap<JobId, Vec<RunResult>> = BTreeMap::new();
        for UnstoredResult { result, .. } in self.0.drain(..) {
            let of_job = by_job.entry(result.task.job_id.clone()).or_default();
            of_job.push(result);
        }
        by_job
    }
}

impl Coordinator {
    /// Applies a result that an earlier coordinator handed over, unless its effect is known.
    pub(crate) fn on_result_handed_over(&mut self, now: TimeMs, result: &RunResult) {
        let RunResult { task, run, kind } = result;
        let outcome = match kind {
            RunResultKind::Completed => RunOutcome::Done,
            RunResultKind::Failed => RunOutcome::Failed,
            RunResultKind::Crashed { .. } => RunOutcome::Lost(WorkerLossCause::Crashed),
        };
        let is_ended = self.end_placed_run(now, task, *run, outcome);
        match *kind {
            RunResultKind::Completed if !is_ended && self.is_abandoned(task, *run) => {
                self.complete_late(now, task);
            }
            RunResultKind::Crashed {
                is_suspect: true,
                run_age_ms,
            } => {
                self.count_crash(now, task, *run, run_age_ms);
            }
            _ => {}
        }
    }

    /// Ends a run if it is the one that is placed; returns whether it was.
    fn end_placed_run(
        &mut self,
        now: TimeMs,
        task: &TaskId,
        run: u32,
        outcome: RunOutcome,
    ) -> bool {
        let state = self.jobs.get(&task.job_id).and_then(|job| job.task(task));
        let Some(state) = state.filter(|state| state.last_run == run) else {
            return false;
        };
        let TaskState::Placed(worker) = &state.state else {
            return false;
        };
        let worker = worker.clone();
        let evidence = RunEndEvidence::HandedOver;
        self.end_run(now, &worker, task, run, outcome, evidence);
        if self
            .workers
            .get(&worker)
            .is_some_and(Worker::can_be_removed)
        {
            self.workers.remove(&worker);
        }
        true
    }

    /// Whether a run was started before and is no longer placed.
    fn is_abandoned(&self, task: &TaskId, run: u32) -> bool {
        let state = self.jobs.get(&task.job_id).and_then(|job| job.task(task));
        state.is_some_and(|state| (1..=state.last_run).contains(&run))
    }
}
