//! Invariants, checked against what workers observe and the store holds.

use std::collections::{BTreeMap, BTreeSet};

use ragwortwick_area::{EndKind, JobPhase, TaskId};
use ragwortwick_core::{DurationMs, JobId, TimeMs, WorkerName};

/// Time after a worker starts to drain in which runs may still start there.
const MAX_START_AFTER_DRAIN_MS: DurationMs = DurationMs(2_000);

/// Time after the evacuation of a zone in which runs may still start there.
const MAX_START_AFTER_EVACUATION_MS: DurationMs = DurationMs(5_000);

/// Time after a job is cancelled in which its runs may still start.
pub(crate) const MAX_START_AFTER_CANCEL_MS: DurationMs = DurationMs(3_000);

/// Worker crashes by one task after which its starts are counted, and the count that is a violation.
const TOLERATED_CRASHES: u32 = 3;
const EXCESSIVE_STARTS: u32 = 3;

/// Worker crashes by one task after which its job may fail.
const CRASHES_FOR_FAILURE: u32 = 2;

/// `GroundTruth` records what really happened, independently of any coordinator's view.
#[derive(Debug, Default)]
pub(crate) struct GroundTruth {
    /// Tasks with an acknowledged completion.
    pub(crate) acked_done: BTreeSet<TaskId>,
    /// Tasks with a completed run.
    pub(crate) done: BTreeSet<TaskId>,
    /// Failed runs that are acknowledged, by task; those of a gang by its first member.
    pub(crate) acked_failed: BTreeMap<TaskId, BTreeSet<u32>>,
    /// Failed runs, by task; those of a gang by its first member.
    failed: BTreeMap<TaskId, BTreeSet<u32>>,
    /// Worker crashes by a task, and its starts after the tolerated number of crashes.
    crashes: BTreeMap<TaskId, (u32, u32)>,
    /// When the cancellation of a job was acknowledged.
    pub(crate) cancelled_at: BTreeMap<JobId, TimeMs>,
    /// Runs of cancelled jobs that were reported as going on.
    reported_runs: BTreeSet<(TaskId, u32)>,
    pub(crate) violations: Vec<String>,
    pub(crate) starts: u64,
    pub(crate) stopped: u64,
    pub(crate) expired: u64,
    pub(crate) counts_by_job: BTreeMap<JobId, RunCounts>,
}

/// `RunCounts` counts the runs of one job by how they ended, and records its first start.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RunCounts {
    pub(crate) first_start_at: Option<TimeMs>,
    pub(crate) stopped: u32,
    pub(crate) failed: u32,
    pub(crate) expired: u32,
}

/// `ObservedStart` is the start of a run, as observed on its worker.
#[derive(Debug)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each flag is one independent observation"
)]
pub(crate) struct ObservedStart<'a> {
    pub(crate) now: TimeMs,
    pub(crate) worker: &'a WorkerName,
    pub(crate) task: &'a TaskId,
    pub(crate) run: u32,
    pub(crate) is_late: bool,
    /// Workers that are up and run the same task.
    pub(crate) other_workers: Vec<WorkerName>,
    pub(crate) is_over_capacity: bool,
    pub(crate) has_label: bool,
    pub(crate) draining_since: Option<TimeMs>,
    pub(crate) evacuated_since: Option<TimeMs>,
    pub(crate) cancelled_at: Option<TimeMs>,
    pub(crate) is_step_ready: bool,
    pub(crate) is_due: bool,
    pub(crate) same_step_count: u32,
    pub(crate) max_per_worker: Option<u32>,
    pub(crate) attempts: u32,
    pub(crate) is_gang: bool,
    pub(crate) has_own_payload: bool,
    pub(crate) has_own_checkpoint: bool,
}

impl GroundTruth {
    fn add_violation(&mut self, now: TimeMs, text: &str) {
        self.violations.push(format!("at {now} ms: {text}"));
    }

    pub(crate) fn check_start(&mut self, start: &ObservedStart<'_>) {
        self.starts += 1;
        let counts = self
            .counts_by_job
            .entry(start.task.job_id.clone())
            .or_default();
        counts.first_start_at.get_or_insert(start.now);
        let (task, run, worker) = (start.task, start.run, start.worker);
        let mut violations: Vec<String> = Vec::new();
        if !start.other_workers.is_empty() {
            violations.push(format!("runs twice, also on {:?}", start.other_workers));
        }
        if self.acked_done.contains(task) {
            violations.push("started after its completion was acknowledged".to_owned());
        }
        if start.is_over_capacity {
            violations.push("exceeds the worker's capacity".to_owned());
        }
        if !start.has_label {
            violations.push("the worker lacks the required label".to_owned());
        }
        if !start.is_step_ready {
            violations.push("started before earlier steps were done".to_owned());
        }
        if !start.is_due {
            violations.push("started before its scheduled time".to_owned());
        }
        if start
            .max_per_worker
            .is_some_and(|limit| start.same_step_count > limit)
        {
            violations.push("more tasks of the step on the worker than allowed".to_owned());
        }
        let first_member = TaskId {
            index: 0,
            ..task.clone()
        };
        let failed = |id: &TaskId| self.acked_failed.get(id).map_or(0, BTreeSet::len);
        let failures = if start.is_gang {
            failed(&first_member)
        } else {
            failed(task)
        };
        if failures >= start.attempts as usize {
            violations.push(format!("started after {failures} failed runs"));
        }
        if !start.has_own_payload || !start.has_own_checkpoint {
            violations.push("has a payload or checkpoint of another task".to_owned());
        }
        if !start.is_late
            && let Some((crashes, starts)) = self.crashes.get_mut(task)
            && *crashes >= TOLERATED_CRASHES
        {
            *starts += 1;
            if *starts >= EXCESSIVE_STARTS {
                violations.push(format!(
                    "started {starts} times more after {crashes} crashes"
                ));
            }
        }
        if !start.is_late {
            let is_overdue =
                |since: Option<TimeMs>, bound| since.is_some_and(|at| start.now.since(at) > bound);
            if is_overdue(start.draining_since, MAX_START_AFTER_DRAIN_MS) {
                violations.push("started on a draining worker".to_owned());
            }
            if is_overdue(start.evacuated_since, MAX_START_AFTER_EVACUATION_MS) {
                violations.push("started in an evacuated zone".to_owned());
            }
            if is_overdue(start.cancelled_at, MAX_START_AFTER_CANCEL_MS) {
                violations.push("started after its job was cancelled".to_owned());
            }
        }
        for violation in violations {
            let text = format!("{task} run {run} on {worker}: {violation}");
            self.add_violation(start.now, &text);
        }
    }

    /// Records that the cancellation of a job was acknowledged.
    pub(crate) fn record_cancellation(&mut self, now: TimeMs, job_id: &JobId) {
        self.cancelled_at.entry(job_id.clone()).or_insert(now);
    }

    /// Reports a run of a cancelled job that goes on, once for each run.
    pub(crate) fn report_cancelled_run(
        &mut self,
        now: TimeMs,
        (task, run): (&TaskId, u32),
        worker: &WorkerName,
        calm_since: TimeMs,
    ) {
        if self.reported_runs.insert((task.clone(), run)) {
            let text = format!(
                "{task} run {run} on {worker}: goes on after its job was cancelled, calm since \
                 {calm_since} ms"
            );
            self.add_violation(now, &text);
        }
    }

    /// Records that a task crashed its worker.
    pub(crate) fn record_crash(&mut self, task: &TaskId) {
        self.crashes.entry(task.clone()).or_default().0 += 1;
    }

    /// Checks a job that is reported as failed: one of its tasks or gangs must have failed as often as its
    /// queue allows, or have crashed workers.
    pub(crate) fn check_failed_phase(&mut self, now: TimeMs, job_id: &JobId, attempts: u32) {
        let of_job = |task: &TaskId| task.job_id == *job_id;
        let mut failed = self.failed.iter();
        let has_failed = failed.any(|(task, runs)| of_job(task) && runs.len() >= attempts as usize);
        let mut crashes = self.crashes.iter();
        let has_crashed =
            crashes.any(|(task, (crashes, _))| of_job(task) && *crashes >= CRASHES_FOR_FAILURE);
        if !has_failed && !has_crashed {
            self.add_violation(
                now,
                &format!("{job_id} is reported as failed without cause"),
            );
        }
    }

    pub(crate) fn record_end(&mut self, task: &TaskId, run: u32, kind: EndKind, is_gang: bool) {
        if kind == EndKind::Failed {
            self.failed
                .entry(failure_key(task, is_gang))
                .or_default()
                .insert(run);
        }
        let counts = self.counts_by_job.entry(task.job_id.clone()).or_default();
        match kind {
            EndKind::Stopped => counts.stopped += 1,
            EndKind::Failed => counts.failed += 1,
            EndKind::LeaseExpired => counts.expired += 1,
            EndKind::Done | EndKind::GangBroken | EndKind::GangIncomplete => {}
        }
        match kind {
            EndKind::Done => {
                self.done.insert(task.clone());
            }
            EndKind::Stopped => self.stopped += 1,
            EndKind::LeaseExpired => self.expired += 1,
            EndKind::Failed | EndKind::GangBroken | EndKind::GangIncomplete => {}
        }
    }

    /// Records that a run end was acknowledged to its worker.
    pub(crate) fn record_ack(&mut self, task: &TaskId, run: u32, kind: EndKind, is_gang: bool) {
        match kind {
            EndKind::Done => {
                self.acked_done.insert(task.clone());
            }
            EndKind::Failed => {
                let id = failure_key(task, is_gang);
                self.acked_failed.entry(id).or_default().insert(run);
            }
            _ => {}
        }
    }

    pub(crate) fn check_phase(
        &mut self,
        now: TimeMs,
        job_id: &JobId,
        phase: JobPhase,
        is_all_done: bool,
    ) {
        if phase == JobPhase::Completed && !is_all_done {
            self.add_violation(
                now,
                &format!("{job_id} is reported as completed, but is not"),
            );
        }
    }

    pub(crate) fn report_unfinished(&mut self, now: TimeMs, job_id: &JobId, phase: JobPhase) {
        self.add_violation(
            now,
            &format!("{job_id} is still {phase:?} at the end of the simulation"),
        );
    }
}

/// Returns the task for which the run's failure is counted; a gang's failures count for its first member.
fn failure_key(task: &TaskId, is_gang: bool) -> TaskId {
    let index = if is_gang { 0 } else { task.index };
    TaskId {
        index,
        ..task.clone()
    }
}
