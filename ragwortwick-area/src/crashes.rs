//! Which tasks a crashed worker tells against, and when a task is given up for it.
//!
//! Answers the load in which a task crashes each worker that starts it, between tasks that do no harm and
//! workers that are lost for other reasons. Such a task crashes its workers at one point of its work, mostly
//! at once, and the tasks beside it differ from crash to crash. A first crash tells against all that ran
//! there; the next one for those that were at another point when it came.

use ragwortwick_core::{DurationMs, TimeMs};

use crate::allocation::Allocation;
use crate::job::TaskId;
use crate::worker::Worker;

/// Crashes at the same point of its work until a task is given up.
const MOST_CRASHES: u32 = 3;

/// How long a run counts as starting.
const STARTING_MS: DurationMs = DurationMs(1_000);

/// How far apart crashes at the same point of a task's work may lie, beside a quarter of the time to it.
const SAME_POINT_MS: DurationMs = DurationMs(250);

/// `CrashHistory` is the evidence against one task.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct CrashHistory {
    /// Crashes at the same point of its work, less those at other points.
    pub(crate) count: u32,
    /// How long its run had been going at the last one.
    pub(crate) run_age_ms: DurationMs,
}

impl CrashHistory {
    /// Whether the task is to start with nothing else, so that no other is at the same point as it.
    pub(crate) fn needs_isolation(self) -> bool {
        self.count > u32::from(self.run_age_ms >= STARTING_MS)
    }

    pub(crate) fn is_at_limit(self) -> bool {
        self.count >= MOST_CRASHES
    }

    /// Whether a crash at the given age repeats the last one; one at an age that is not known may.
    fn is_repeated_at(self, age_ms: Option<DurationMs>) -> bool {
        let is_same_point = |age_ms: DurationMs| {
            let (less, more) = (self.run_age_ms.min(age_ms), self.run_age_ms.max(age_ms));
            more < STARTING_MS || more.0 <= less.0 + less.0 / 4 + SAME_POINT_MS.0
        };
        self.count > 0 && age_ms.is_none_or(is_same_point)
    }

    /// Takes in a crash that counts against the task, or for it if it came at another point of its work.
    pub(crate) fn count_crash(&mut self, age_ms: Option<DurationMs>) {
        if self.count > 1 && !self.is_repeated_at(age_ms) {
            self.count -= 1;
            return;
        }
        if !self.is_repeated_at(age_ms) {
            self.count = 0;
        }
        self.count += 1;
        self.run_age_ms = age_ms.unwrap_or(self.run_age_ms);
    }
}

/// `RunAtLoss` is a run that was or may have been on a worker when that was lost.
#[derive(Clone, Debug)]
pub(crate) struct RunAtLoss {
    pub(crate) task: TaskId,
    /// How long it had been going; none if that is not known.
    pub(crate) age_ms: Option<DurationMs>,
    pub(crate) crash_history: CrashHistory,
}

impl RunAtLoss {
    fn is_starting(&self) -> bool {
        self.age_ms.is_some_and(|age_ms| age_ms < STARTING_MS)
    }

    fn is_repetition(&self) -> bool {
        self.crash_history.is_repeated_at(self.age_ms)
    }

    /// Whether it repeats a crash at a point that it is unlikely to be at by chance: its start, or one at
    /// which it was more than once.
    fn is_likely(&self) -> bool {
        let may_be_starting = self.age_ms.is_none_or(|age_ms| age_ms < STARTING_MS);
        self.is_repetition() && (may_be_starting || self.crash_history.count > 1)
    }
}

/// Whether one of the runs is reason enough for the loss of its worker.
pub(crate) fn has_likely_cause(runs: &[RunAtLoss]) -> bool {
    let mut runs = runs.iter();
    runs.any(|run| run.is_repetition() || run.is_starting())
}

/// The runs that a crash is noted for: those that are likely to be the reason, or all.
pub(crate) fn suspects(runs: &[RunAtLoss]) -> Vec<&RunAtLoss> {
    let likely: Vec<&RunAtLoss> = runs.iter().filter(|run| run.is_likely()).collect();
    if likely.is_empty() {
        runs.iter().collect()
    } else {
        likely
    }
}

impl Allocation {
    /// Whether it begins or has just begun.
    fn is_starting(&self, now: TimeMs) -> bool {
        self.started_at.is_none_or(|at| now.since(at) < STARTING_MS)
    }
}

impl Worker {
    /// Whether nothing has begun here lately, so that a crash would tell against what begins next alone.
    pub(crate) fn has_no_recent_start(&self, now: TimeMs) -> bool {
        !self.allocations.values().any(|held| held.is_starting(now))
    }

    /// Whether a task begins here beside which nothing else is to begin.
    pub(crate) fn is_isolating_suspect(&self, now: TimeMs) -> bool {
        let mut held = self.allocations.values();
        held.any(|held| held.crash_history.needs_isolation() && held.is_starting(now))
    }
}
