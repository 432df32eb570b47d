//! Accounting of one job under one coordinator: how long it spent in each stage, and the work it lost.

use std::collections::BTreeMap;
use std::fmt;

use ragwortwick_core::{DurationMs, JobId, TimeMs, common};

use crate::losses::WorkerLossCause;

/// `RunEndReason` is why a run ended.
#[common(key)]
pub enum RunEndReason {
    /// It did its work.
    Done,
    /// It failed.
    Failed,
    /// It was stopped: its resources go to other work that preempted it.
    Displaced,
    /// It was stopped: its worker is about to leave.
    WorkerLeaves,
    /// It was stopped: it was stalled.
    Stalled,
    /// It was stopped: another member of its gang had ended.
    GangEnded,
    /// It was stopped: an earlier run, abandoned before, had done the work.
    DoneBefore,
    /// It was stopped: its job had ended.
    JobOver,
    /// It was stopped: it was unknown whether its start had been carried out.
    StartInDoubt,
    /// Its worker crashed: another incarnation replies at its address, and no leave was announced.
    WorkerCrashed,
    /// Its worker left, as it had announced.
    WorkerLeft,
    /// Its worker is unresponsive, and every lease granted there has expired.
    WorkerSilent,
    /// It never started, or its worker no longer has it.
    NotThere,
}

impl From<WorkerLossCause> for RunEndReason {
    fn from(cause: WorkerLossCause) -> Self {
        match cause {
            WorkerLossCause::Crashed => Self::WorkerCrashed,
            WorkerLossCause::Left => Self::WorkerLeft,
            WorkerLossCause::OutOfReach => Self::WorkerSilent,
        }
    }
}

impl fmt::Display for RunEndReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{self:?}")
    }
}

/// `LostWork` sums the runs that ended before their work was done.
#[common]
#[derive(Copy, Default)]
pub struct LostWork {
    /// Number of runs.
    pub runs: u32,
    /// Work that has to be repeated, in core-equivalents times milliseconds.
    pub core_ms: u64,
}

/// Stage of a job that its time is counted for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// No run has been placed yet.
    Queued,
    /// Runs were placed before, and none is now.
    Requeued,
    /// A run is placed, and no worker has confirmed one.
    Starting,
    /// A worker has confirmed a run.
    Running,
    /// The job has ended.
    Ended,
}

/// `JobAccounting` holds how a job spent its time under one coordinator.
///
/// The four stages follow one another; their times add up to the time from acceptance, or from the start
/// of the term, to the end. For a job with a schedule, `requeued_ms` includes the time between occurrences.
#[common]
pub struct JobAccounting {
    /// Whether this coordinator knew the job from its acceptance.
    pub is_complete: bool,
    /// Time before the first run was placed.
    pub queued_ms: DurationMs,
    /// Later time in which no run was placed.
    pub requeued_ms: DurationMs,
    /// Time in which a run was placed and no worker had confirmed one.
    pub starting_ms: DurationMs,
    /// Time from the first run that a worker confirmed until no run was placed any more.
    pub running_ms: DurationMs,
    /// Part of `running_ms` whose work the whole job had to repeat.
    pub lost_ms: DurationMs,
    /// Number of runs that were placed.
    pub starts: u32,
    /// Runs that ended before their work was done, by reason.
    pub lost_work: BTreeMap<RunEndReason, LostWork>,
    /// The job that preempted it last.
    pub preempted_by: Option<JobId>,
    /// Longest time that one run lost since the job last had no run placed.
    wasted_ms: DurationMs,
    stage: Stage,
    stage_since: TimeMs,
}

impl JobAccounting {
    /// `new` starts the accounting of a job that may start at the given time.
    pub(crate) fn new(start_at: TimeMs) -> Self {
        Self {
            is_complete: true,
            queued_ms: DurationMs(0),
            requeued_ms: DurationMs(0),
            starting_ms: DurationMs(0),
            running_ms: DurationMs(0),
            lost_ms: DurationMs(0),
            starts: 0,
            lost_work: BTreeMap::new(),
            preempted_by: None,
            wasted_ms: DurationMs(0),
            stage: Stage::Queued,
            stage_since: start_at,
        }
    }

    /// `recovered` starts the accounting of a job that an earlier coordinator accounted for until now.
    pub(crate) fn recovered(now: TimeMs, has_run: bool) -> Self {
        Self {
            is_complete: false,
            stage: if has_run {
                Stage::Running
            } else {
                Stage::Queued
            },
            ..Self::new(now)
        }
    }

    fn enter_stage(&mut self, now: TimeMs, stage: Stage) {
        let spent_ms = now.since(self.stage_since);
        let total_ms = match self.stage {
            Stage::Queued => &mut self.queued_ms,
            Stage::Requeued => &mut self.requeued_ms,
            Stage::Starting => &mut self.starting_ms,
            Stage::Running => &mut self.running_ms,
            Stage::Ended => return,
        };
        *total_ms = *total_ms + spent_ms;
        self.stage = stage;
        self.stage_since = self.stage_since.max(now);
    }

    /// `on_placed` records that a run was placed.
    pub(crate) fn on_placed(&mut self, now: TimeMs) {
        self.starts += 1;
        if matches!(self.stage, Stage::Queued | Stage::Requeued) {
            self.enter_stage(now, Stage::Starting);
        }
    }

    /// `on_confirmed` records that a worker confirmed a run.
    pub(crate) fn on_confirmed(&mut self, now: TimeMs) {
        if self.stage == Stage::Starting {
            self.enter_stage(now, Stage::Running);
        }
    }

    /// `on_run_lost` records a run that ended before its work was done, with its lost time and work.
    pub(crate) fn on_run_lost(
        &mut self,
        reason: RunEndReason,
        wasted_ms: DurationMs,
        core_ms: u64,
    ) {
        let lost = self.lost_work.entry(reason).or_default();
        lost.runs += 1;
        lost.core_ms += core_ms;
        self.wasted_ms = self.wasted_ms.max(wasted_ms);
    }

    /// `on_idle` records that no run of the job is placed any more.
    pub(crate) fn on_idle(&mut self, now: TimeMs) {
        self.lost_ms = self.lost_ms + std::mem::take(&mut self.wasted_ms);
        if matches!(self.stage, Stage::Starting | Stage::Running) {
            self.enter_stage(now, Stage::Requeued);
        }
    }

    /// `on_job_ended` records that the job has ended.
    pub(crate) fn on_job_ended(&mut self, now: TimeMs) {
        self.enter_stage(now, Stage::Ended);
    }
}
