//! Attribution of worker crashes to tasks, and the number of crashes at which a task fails.
//!
//! A faulty task may crash each worker that starts it, among harmless tasks and workers that are lost for
//! other reasons. Such a task crashes its workers at one point of its work, mostly right at the start, and
//! the tasks that run beside it differ from crash to crash. A first crash is therefore counted against all
//! tasks that ran on the worker; a later one counts in favour of those at another point of their work.

use ragwortwick_core::{DurationMs, TimeMs};

use crate::allocation::Allocation;
use crate::coordinator::Coordinator;
use crate::job::TaskId;
use crate::job_state::TaskState;
use crate::worker::Worker;

/// Number of crashes at the same point of its work at which a task fails.
const MAX_CRASHES: u32 = 3;

/// Age up to which a run counts as starting.
const STARTING_MS: DurationMs = DurationMs(1_000);

/// Tolerance, in addition to a quarter of the lower run age, within which two crashes count as being at the
/// same point of a task's work.
const SAME_POINT_TOLERANCE_MS: DurationMs = DurationMs(250);

/// Maximum difference between the run ages of two crashes that makes them a close match.
const CLOSE_MATCH_MS: DurationMs = DurationMs(50);

/// `CrashHistory` holds the worker crashes that are attributed to one task.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct CrashHistory {
    /// Crashes at the same point of its work, minus those at other points.
    pub(crate) count: u32,
    /// Age of its run at the last of them with a known age; none if none is known.
    pub(crate) run_age_ms: Option<DurationMs>,
    /// Number of the last run whose crash was counted.
    pub(crate) last_run: u32,
}

impl CrashHistory {
    /// Whether no other run may start on the worker together with the task, so that only the task is
    /// starting there.
    pub(crate) fn needs_isolation(self) -> bool {
        let is_past_start = self.run_age_ms.is_some_and(|age_ms| age_ms >= STARTING_MS);
        self.count > u32::from(is_past_start)
    }

    pub(crate) fn is_at_limit(self) -> bool {
        self.count >= MAX_CRASHES
    }

    /// Whether a crash at the given run age repeats the last one; if either age is unknown, it may.
    fn is_repeated_at(self, age_ms: Option<DurationMs>) -> bool {
        let is_same_point = |(point_ms, age_ms): (DurationMs, DurationMs)| {
            let (lower, higher) = (point_ms.min(age_ms), point_ms.max(age_ms));
            higher < STARTING_MS || higher.0 <= lower.0 + lower.0 / 4 + SAME_POINT_TOLERANCE_MS.0
        };
        self.count > 0 && self.run_age_ms.zip(age_ms).is_none_or(is_same_point)
    }

    /// How much the given run age differs from that of the last crash; the most that counts as the same point
    /// if either age is unknown.
    fn distance_ms(self, age_ms: Option<DurationMs>) -> DurationMs {
        match (self.run_age_ms, age_ms) {
            (Some(point_ms), Some(age_ms)) => DurationMs(point_ms.0.abs_diff(age_ms.0)),
            _ => SAME_POINT_TOLERANCE_MS,
        }
    }

    /// Whether a run of the given age had just started, and the task crashes its workers only later.
    fn is_before_point(self, age_ms: Option<DurationMs>) -> bool {
        self.run_age_ms.is_some_and(|point| point >= STARTING_MS)
            && age_ms.is_some_and(|age_ms| age_ms < STARTING_MS)
    }

    /// Counts a crash attributed to the task; one at another point of its work lowers a count above one,
    /// unless the run had not reached the point of the last crash.
    pub(crate) fn count_crash(&mut self, run: u32, age_ms: Option<DurationMs>) {
        self.last_run = run;
        if self.count > 1 && !self.is_repeated_at(age_ms) {
            self.count -= u32::from(!self.is_before_point(age_ms));
            return;
        }
        if !self.is_repeated_at(age_ms) {
            self.count = 0;
        }
        self.count = self.count.saturating_add(1);
        self.run_age_ms = age_ms.or(self.run_age_ms);
    }
}

/// `RunAtLoss` is a run that was, or may have been, on a worker when that worker was lost.
#[derive(Clone, Debug)]
pub(crate) struct RunAtLoss {
    pub(crate) task: TaskId,
    pub(crate) run: u32,
    /// Age of the run; none if it is unknown.
    pub(crate) age_ms: Option<DurationMs>,
    pub(crate) crash_history: CrashHistory,
}

impl RunAtLoss {
    fn is_starting(&self) -> bool {
        self.age_ms.is_some_and(|age_ms| age_ms < STARTING_MS)
    }

    fn distance_ms(&self) -> DurationMs {
        self.crash_history.distance_ms(self.age_ms)
    }

    fn is_repetition(&self) -> bool {
        self.crash_history.is_repeated_at(self.age_ms)
    }

    /// Whether it repeats a crash at a point where the task is unlikely to be by chance: its start, or a
    /// point of more than one earlier crash.
    fn is_likely(&self) -> bool {
        let may_be_starting = self.age_ms.is_none_or(|age_ms| age_ms < STARTING_MS);
        self.is_repetition() && (may_be_starting || self.crash_history.count > 1)
    }
}

/// Whether one of the runs is a likely cause for the loss of their worker.
pub(crate) fn has_likely_cause(runs: &[RunAtLoss]) -> bool {
    let mut runs = runs.iter();
    runs.any(|run| run.is_repetition() || run.is_starting())
}

/// The runs that a crash is attributed to: the likely causes, or all runs if there are none.
///
/// A task crashes its workers at the same point within milliseconds. Where the point of one of the likely
/// causes is matched closely, those that only match within the tolerance are unlikely.
pub(crate) fn suspect_runs(runs: &[RunAtLoss]) -> Vec<&RunAtLoss> {
    let likely: Vec<&RunAtLoss> = runs.iter().filter(|run| run.is_likely()).collect();
    let closest_ms = likely.iter().map(|run| run.distance_ms()).min();
    match closest_ms {
        None => runs.iter().collect(),
        Some(closest_ms) if closest_ms <= CLOSE_MATCH_MS => likely
            .into_iter()
            .filter(|run| run.distance_ms() <= closest_ms + CLOSE_MATCH_MS)
            .collect(),
        Some(_) => likely,
    }
}

impl Allocation {
    /// Whether the run is starting or has just started.
    fn is_starting(&self, now: TimeMs) -> bool {
        self.started_at.is_none_or(|at| now.since(at) < STARTING_MS)
    }
}

impl Worker {
    /// Whether no run has started here lately, so that a crash would be attributed to the next start alone.
    pub(crate) fn has_no_recent_start(&self, now: TimeMs) -> bool {
        !self
            .allocations
            .values()
            .any(|allocation| allocation.is_starting(now))
    }

    /// Whether a suspect task is starting here, beside which no other run may start.
    pub(crate) fn is_isolating_suspect(&self, now: TimeMs) -> bool {
        let mut allocations = self.allocations.values();
        allocations.any(|allocation| {
            allocation.crash_history.needs_isolation() && allocation.is_starting(now)
        })
    }
}

impl Coordinator {
    /// Counts a crash for a task and stores it; returns the task's count, or none if the task is unknown or
    /// done, or the crash of this run was counted before.
    pub(crate) fn count_crash(
        &mut self,
        now: TimeMs,
        task: &TaskId,
        run: u32,
        run_age_ms: Option<DurationMs>,
    ) -> Option<u32> {
        let job = self.jobs.get_mut(&task.job_id)?;
        let state = job.task(task)?;
        if state.state == TaskState::Done || run <= state.crash_history.last_run {
            return None;
        }
        let is_failed = job.count_crash(task, run, run_age_ms);
        let count = job.task(task).map_or(0, |task| task.crash_history.count);
        let placed = job.task(task).and_then(|task| match &task.state {
            TaskState::Placed(worker) => Some((worker.clone(), task.crash_history)),
            _ => None,
        });
        if let Some((worker, crash_history)) = placed
            && let Some(worker) = self.workers.get_mut(&worker)
            && let Some(allocation) = worker.allocations.get_mut(task)
        {
            allocation.crash_history = crash_history;
        }
        self.records.mark_dirty(&task.job_id);
        if is_failed {
            self.end_job(now, &task.job_id);
        }
        Some(count)
    }
}
