//! Invariants, checked against what workers observe and the store holds.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use ragwortwick_area::{EndKind, EndedTask, JobPhase, Preemption, StepId, TaskId};
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

/// Turns in which two steps may preempt each other within the span: one each way.
const MAX_PREEMPTION_TURNS: usize = 2;

/// Span in which the turns of two steps are counted.
const PREEMPTION_TURNS_MS: DurationMs = DurationMs(1_000);

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
    /// Completed runs that are not acknowledged, each with the starts of its task since.
    starts_since_done: BTreeMap<(TaskId, u32), Vec<String>>,
    /// Starts after too many failed runs, some of which were not acknowledged; those of a gang by its first member.
    starts_since_failures: BTreeMap<TaskId, Vec<StartAfterFailures>>,
    /// Failed runs whose end was acknowledged before the lease lapsed; those of a gang by its first member.
    failed_within_lease: BTreeMap<TaskId, BTreeSet<u32>>,
    /// Worker crashes by a task, and its starts after the tolerated number of crashes.
    crashes: BTreeMap<TaskId, (u32, u32)>,
    /// When the cancellation of a job was acknowledged.
    pub(crate) cancelled_at: BTreeMap<JobId, TimeMs>,
    /// Runs of cancelled jobs that were reported as going on.
    reported_runs: BTreeSet<(TaskId, u32)>,
    /// Preemptions between two steps in one term.
    preemption_turns: BTreeMap<(u64, StepId, StepId), PreemptionTurns>,
    pub(crate) violations: Vec<String>,
    pub(crate) starts: u64,
    pub(crate) stopped: u64,
    pub(crate) expired: u64,
    pub(crate) counts_by_job: BTreeMap<JobId, RunCounts>,
}

/// `PreemptionTurns` holds the recent changes of direction between two steps that preempt each other.
#[derive(Debug, Default)]
struct PreemptionTurns {
    /// Whether the last stop was of the first of the two.
    is_first_stopped: Option<bool>,
    recent: Vec<TimeMs>,
    is_reported: bool,
}

impl PreemptionTurns {
    /// Counts a preemption; returns whether there are too many turns within the span.
    fn add(&mut self, now: TimeMs, is_first_stopped: bool) -> bool {
        if self.is_first_stopped.replace(is_first_stopped) != Some(is_first_stopped) {
            self.recent
                .retain(|at| now.since(*at) < PREEMPTION_TURNS_MS);
            self.recent.push(now);
        }
        self.recent.len() > MAX_PREEMPTION_TURNS
    }
}

/// `StartAfterFailures` is a start after failed runs that may be acknowledged later.
#[derive(Debug)]
struct StartAfterFailures {
    failed_runs: BTreeSet<u32>,
    attempts: u32,
    start: String,
}

/// `RunCounts` counts the runs of one job by how they ended, and records its first start.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RunCounts {
    pub(crate) first_start_at: Option<TimeMs>,
    pub(crate) stopped: u32,
    pub(crate) failed: u32,
    pub(crate) expired: u32,
}

/// `OtherRun` is a run of a task while another one starts.
#[derive(Debug)]
pub(crate) struct OtherRun {
    pub(crate) worker: WorkerName,
    pub(crate) run: u32,
    pub(crate) is_stopping: bool,
    pub(crate) is_late: bool,
}

impl fmt::Display for OtherRun {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (run, worker) = (self.run, &self.worker);
        let progress = if self.is_stopping {
            "stopping"
        } else {
            "not stopped"
        };
        let order = if self.is_late { "late" } else { "in time" };
        write!(f, "run {run} on {worker} ({progress}, ordered {order})")
    }
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
    /// Runs of the same task on workers that are up.
    pub(crate) other_runs: Vec<OtherRun>,
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

impl fmt::Display for ObservedStart<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (task, run, worker) = (self.task, self.run, self.worker);
        write!(f, "{task} run {run} on {worker}")
    }
}

impl GroundTruth {
    fn add_violation(&mut self, now: TimeMs, text: &str) {
        self.violations.push(format!("at {now} ms: {text}"));
    }

    /// Checks that no step preempts itself, and that two steps do not preempt each other again and again.
    ///
    /// One turn back is allowed, and others later: a borrower comes within its customer's share when other runs end.
    pub(crate) fn check_preemption(&mut self, now: TimeMs, term: u64, preemption: &Preemption) {
        let (step, preemptor) = (&preemption.step, &preemption.preemptor);
        let is_first_stopped = step <= preemptor;
        let (first, second) = if is_first_stopped {
            (step, preemptor)
        } else {
            (preemptor, step)
        };
        let pair = (term, first.clone(), second.clone());
        let turns = self.preemption_turns.entry(pair).or_default();
        let is_excessive = step == preemptor || turns.add(now, is_first_stopped);
        if is_excessive && !std::mem::replace(&mut turns.is_reported, true) {
            self.add_violation(now, &format!("{preemptor} and {step} preempt each other"));
        }
    }

    pub(crate) fn check_start(&mut self, start: &ObservedStart<'_>) {
        self.starts += 1;
        let counts = self
            .counts_by_job
            .entry(start.task.job_id.clone())
            .or_default();
        counts.first_start_at.get_or_insert(start.now);
        let task = start.task;
        let mut violations: Vec<String> = Vec::new();
        if !start.other_runs.is_empty() {
            let others: Vec<String> = start.other_runs.iter().map(OtherRun::to_string).collect();
            violations.push(format!("runs twice, also as {}", others.join(", ")));
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
        } else {
            self.record_start_after_failures(start);
        }
        self.record_start_after_done(start);
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
            self.add_violation(start.now, &format!("{start}: {violation}"));
        }
    }

    fn record_start_after_done(&mut self, start: &ObservedStart<'_>) {
        let runs_of_task = (start.task.clone(), 0)..=(start.task.clone(), u32::MAX);
        for (_, starts) in self.starts_since_done.range_mut(runs_of_task) {
            starts.push(start.to_string());
        }
    }

    fn record_start_after_failures(&mut self, start: &ObservedStart<'_>) {
        let key = failure_key(start.task, start.is_gang);
        let failed = self
            .failed
            .get(&key)
            .filter(|runs| runs.len() >= start.attempts as usize);
        if let Some(failed_runs) = failed.cloned() {
            let starts = self.starts_since_failures.entry(key).or_default();
            starts.push(StartAfterFailures {
                failed_runs,
                attempts: start.attempts,
                start: start.to_string(),
            });
        }
    }

    /// Checks an end that is acknowledged before its worker's lease has lapsed: no run may have started since it that
    /// it forbids, although the end was not acknowledged at the time.
    pub(crate) fn check_starts_before_ack(&mut self, now: TimeMs, end: &EndedTask, is_gang: bool) {
        let starts = self.starts_since_done.remove(&(end.task.clone(), end.run));
        for start in starts.unwrap_or_default() {
            let text = format!("{start}: started after run {} had completed", end.run);
            self.add_violation(now, &text);
        }
        if end.kind != EndKind::Failed {
            return;
        }
        let key = failure_key(&end.task, is_gang);
        let acked = self.failed_within_lease.entry(key.clone()).or_default();
        acked.insert(end.run);
        let starts = self.starts_since_failures.entry(key).or_default();
        let is_excess = |start: &mut StartAfterFailures| {
            let failures = start.failed_runs.intersection(acked).count();
            failures >= start.attempts as usize
        };
        let excess: Vec<_> = starts.extract_if(.., is_excess).collect();
        for StartAfterFailures { start, .. } in excess {
            let text = format!("{start}: started after too many failed runs");
            self.add_violation(now, &text);
        }
    }

    /// Forgets completions that a worker had listed when it restarted: they can't be acknowledged any more.
    pub(crate) fn forget_unacked_ends(&mut self, lost: &[EndedTask]) {
        for end in lost.iter().filter(|end| end.kind == EndKind::Done) {
            self.starts_since_done.remove(&(end.task.clone(), end.run));
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
                self.starts_since_done
                    .insert((task.clone(), run), Vec::new());
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
