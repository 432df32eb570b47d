//! What must always hold, judged by what workers see and the store keeps.

use std::collections::{BTreeMap, BTreeSet};

use ragwortwick_area::{EndKind, JobPhase, TaskId};
use ragwortwick_core::{DurationMs, JobId, TimeMs, WorkerName};

/// Bound on new work for a worker that leaves.
const DRAIN_MS: DurationMs = DurationMs(2_000);

/// Bound on new work of a cancelled job.
const CANCEL_MS: DurationMs = DurationMs(3_000);

/// Crashes of workers under one task after which its starts are counted, and starts that break the bound.
const TOLERATED_CRASHES: u32 = 3;
const EXCESSIVE_STARTS: u32 = 3;

/// Crashes of workers under one task for which its job may be given up.
const CRASHES_FOR_FAILURE: u32 = 2;

/// `GroundTruth` is what really happened, beside what any coordinator believes.
#[derive(Debug, Default)]
pub(crate) struct GroundTruth {
    /// Tasks of which an end `done` is known for good.
    pub(crate) acked_done: BTreeSet<TaskId>,
    /// Tasks of which a run ended `done`.
    pub(crate) done: BTreeSet<TaskId>,
    /// Failed runs that are known for good, by task; of a gang, by its first member and run.
    pub(crate) acked_failed: BTreeMap<TaskId, BTreeSet<u32>>,
    /// Runs that ended failed, by task; of a gang, by its first member.
    failed: BTreeMap<TaskId, BTreeSet<u32>>,
    /// Crashes of workers that a task caused, and its starts after as many as are borne.
    crashes: BTreeMap<TaskId, (u32, u32)>,
    pub(crate) violations: Vec<String>,
    pub(crate) starts: u64,
    pub(crate) stopped: u64,
    pub(crate) expired: u64,
    pub(crate) by_job: BTreeMap<JobId, RunCounts>,
}

/// `RunCounts` is what befell the runs of one job.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RunCounts {
    pub(crate) first_start: Option<TimeMs>,
    pub(crate) stopped: u32,
    pub(crate) failed: u32,
    pub(crate) expired: u32,
}

/// `ObservedStart` is a run that a worker begins.
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
    pub(crate) others: Vec<WorkerName>,
    pub(crate) is_over_capacity: bool,
    pub(crate) has_label: bool,
    pub(crate) draining_since: Option<TimeMs>,
    pub(crate) cancelled_at: Option<TimeMs>,
    pub(crate) is_step_open: bool,
    pub(crate) is_due: bool,
    pub(crate) same_step_here: u32,
    pub(crate) max_per_worker: Option<u32>,
    pub(crate) attempts: u32,
    pub(crate) is_payload_right: bool,
    pub(crate) is_checkpoint_right: bool,
}

impl GroundTruth {
    fn report(&mut self, now: TimeMs, text: &str) {
        self.violations.push(format!("at {now} ms: {text}"));
    }

    pub(crate) fn check_start(&mut self, start: &ObservedStart<'_>) {
        self.starts += 1;
        let counts = self.by_job.entry(start.task.job_id.clone()).or_default();
        counts.first_start.get_or_insert(start.now);
        let (task, run, worker) = (start.task, start.run, start.worker);
        let mut problems: Vec<String> = Vec::new();
        if !start.others.is_empty() {
            problems.push(format!("runs twice, also on {:?}", start.others));
        }
        if self.acked_done.contains(task) {
            problems.push("started after its end was known".to_owned());
        }
        if start.is_over_capacity {
            problems.push("is over the worker's capacity".to_owned());
        }
        if !start.has_label {
            problems.push("the worker lacks its label".to_owned());
        }
        if !start.is_step_open {
            problems.push("started before earlier steps were done".to_owned());
        }
        if !start.is_due {
            problems.push("started before its time".to_owned());
        }
        if start
            .max_per_worker
            .is_some_and(|most| start.same_step_here > most)
        {
            problems.push("too many of its step on the worker".to_owned());
        }
        let first = TaskId {
            index: 0,
            ..task.clone()
        };
        let failed = |id: &TaskId| self.acked_failed.get(id).map_or(0, BTreeSet::len);
        let failures = failed(task).max(failed(&first));
        if failures >= start.attempts as usize {
            problems.push(format!("started after {failures} failed runs"));
        }
        if !start.is_payload_right || !start.is_checkpoint_right {
            problems.push("has a payload or checkpoint of another task".to_owned());
        }
        if !start.is_late
            && let Some((crashes, starts)) = self.crashes.get_mut(task)
            && *crashes >= TOLERATED_CRASHES
        {
            *starts += 1;
            if *starts >= EXCESSIVE_STARTS {
                problems.push(format!(
                    "started {starts} times more after {crashes} crashes"
                ));
            }
        }
        if !start.is_late {
            let is_past =
                |since: Option<TimeMs>, bound| since.is_some_and(|at| start.now.since(at) > bound);
            if is_past(start.draining_since, DRAIN_MS) {
                problems.push("started on a worker that leaves".to_owned());
            }
            if is_past(start.cancelled_at, CANCEL_MS) {
                problems.push("started after its job was cancelled".to_owned());
            }
        }
        for problem in problems {
            let text = format!("{task} run {run} on {worker}: {problem}");
            self.report(start.now, &text);
        }
    }

    /// A task crashed its worker.
    pub(crate) fn record_crash(&mut self, task: &TaskId) {
        self.crashes.entry(task.clone()).or_default().0 += 1;
    }

    /// A job is shown as failed: a task or gang of it must have failed as often as its queue allows, or
    /// have crashed workers.
    pub(crate) fn check_failed_phase(&mut self, now: TimeMs, job_id: &JobId, attempts: u32) {
        let of_job = |task: &TaskId| task.job_id == *job_id;
        let mut failed = self.failed.iter();
        let has_failed = failed.any(|(task, runs)| of_job(task) && runs.len() >= attempts as usize);
        let mut crashes = self.crashes.iter();
        let has_crashed =
            crashes.any(|(task, (crashes, _))| of_job(task) && *crashes >= CRASHES_FOR_FAILURE);
        if !has_failed && !has_crashed {
            self.report(now, &format!("{job_id} is shown as failed without cause"));
        }
    }

    pub(crate) fn record_end(&mut self, task: &TaskId, run: u32, kind: EndKind, is_gang: bool) {
        if kind == EndKind::Failed {
            self.failed
                .entry(failure_key(task, is_gang))
                .or_default()
                .insert(run);
        }
        let counts = self.by_job.entry(task.job_id.clone()).or_default();
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

    /// A worker was told that an end is known.
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
            self.report(now, &format!("{job_id} is shown as completed and is not"));
        }
    }

    pub(crate) fn report_unfinished(&mut self, now: TimeMs, job_id: &JobId, phase: JobPhase) {
        self.report(
            now,
            &format!("{job_id} is left {phase:?} with everything calm"),
        );
    }
}

/// The task that a run's failure counts for: a gang's members fail as one.
fn failure_key(task: &TaskId, is_gang: bool) -> TaskId {
    let index = if is_gang { 0 } else { task.index };
    TaskId {
        index,
        ..task.clone()
    }
}
