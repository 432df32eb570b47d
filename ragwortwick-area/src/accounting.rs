//! What became of a job under one coordinator: what it waited for, and what its stops cost.

use std::collections::BTreeMap;
use std::fmt;

use ragwortwick_core::{DurationMs, JobId, TimeMs, common};

use crate::losses::WorkerLossCause;

/// `RunEndReason` is how a run came to be over.
#[common(key)]
pub enum RunEndReason {
    /// It did its work.
    Done,
    /// It failed.
    Failed,
    /// It was told to stop: its room goes to other work.
    Displaced,
    /// It was told to stop: its worker leaves.
    WorkerLeaves,
    /// It was told to stop: it stood still.
    Stalled,
    /// It was told to stop: another member of its gang has ended.
    GangEnded,
    /// It was told to stop: an earlier run, given up before, had done the work.
    DoneBefore,
    /// It was told to stop: its job is over.
    JobOver,
    /// It was told to stop: whether it ever began was in doubt.
    StartInDoubt,
    /// Its worker's address answers as another life, and the worker had not said that it would leave.
    WorkerCrashed,
    /// Its worker had said that it would leave, and is gone.
    WorkerLeft,
    /// Its worker no longer answers, and every lease there has run out.
    WorkerSilent,
    /// It never began, or its worker no longer has it.
    NotThere,
}

impl From<WorkerLossCause> for RunEndReason {
    fn from(loss: WorkerLossCause) -> Self {
        match loss {
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

/// `LostWork` is what runs that were over without having done their work had taken.
#[common]
#[derive(Copy, Default)]
pub struct LostWork {
    /// Number of runs.
    pub runs: u32,
    /// Work that has to be done again, in core-equivalents times milliseconds.
    pub core_ms: u64,
}

/// What a job is doing, for the account of its time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// Nothing of it is placed, and nothing ever was.
    New,
    /// Nothing of it is placed any more.
    Again,
    /// Something is placed, and no worker has confirmed it.
    Beginning,
    /// A worker has confirmed a run.
    Running,
    /// It is over.
    Over,
}

/// `JobAccounting` tells how a job spent its time under one coordinator.
///
/// The four spans follow one another and add up to the time from acceptance, or from the beginning of the
/// term, to the end. A job with set times also spends the time between them as `again_ms`.
#[common]
pub struct JobAccounting {
    /// Whether this coordinator knew the job from its acceptance.
    pub is_complete: bool,
    /// Time before its first run was placed.
    pub queued_ms: DurationMs,
    /// Later time in which nothing of it was placed.
    pub requeued_ms: DurationMs,
    /// Time in which something was placed and no worker had confirmed it.
    pub starting_ms: DurationMs,
    /// Time from the first run that a worker confirmed until nothing was placed any more.
    pub running_ms: DurationMs,
    /// Part of `run_ms` whose work had to be done again by the whole job.
    pub lost_ms: DurationMs,
    /// Runs that were placed.
    pub starts: u32,
    /// Runs over without having done their work, by cause.
    pub lost_work: BTreeMap<RunEndReason, LostWork>,
    /// The job that took its room last.
    pub preempted_by: Option<JobId>,
    /// The longest that a run was in vain since something was placed last.
    vain_ms: DurationMs,
    stage: Stage,
    since: TimeMs,
}

impl JobAccounting {
    /// `new` opens the account of a job that may start at the given time.
    pub(crate) fn new(since: TimeMs) -> Self {
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
            vain_ms: DurationMs(0),
            stage: Stage::New,
            since,
        }
    }

    /// `recovered` opens the account of a job that an earlier coordinator accounted for until now.
    pub(crate) fn recovered(now: TimeMs, has_run: bool) -> Self {
        Self {
            is_complete: false,
            stage: if has_run { Stage::Running } else { Stage::New },
            ..Self::new(now)
        }
    }

    fn enter(&mut self, now: TimeMs, stage: Stage) {
        let spent_ms = now.since(self.since);
        let total = match self.stage {
            Stage::New => &mut self.queued_ms,
            Stage::Again => &mut self.requeued_ms,
            Stage::Beginning => &mut self.starting_ms,
            Stage::Running => &mut self.running_ms,
            Stage::Over => return,
        };
        *total = *total + spent_ms;
        self.stage = stage;
        self.since = self.since.max(now);
    }

    /// `on_placed` records that a run was placed.
    pub(crate) fn on_placed(&mut self, now: TimeMs) {
        self.starts += 1;
        if matches!(self.stage, Stage::New | Stage::Again) {
            self.enter(now, Stage::Beginning);
        }
    }

    /// `on_confirmed` records that a worker confirmed a run.
    pub(crate) fn on_confirmed(&mut self, now: TimeMs) {
        if self.stage == Stage::Beginning {
            self.enter(now, Stage::Running);
        }
    }

    /// `on_run_lost` records a run that is over without having done its work, after so long in vain.
    pub(crate) fn on_run_lost(&mut self, why: RunEndReason, vain_ms: DurationMs, core_ms: u64) {
        let loss = self.lost_work.entry(why).or_default();
        loss.runs += 1;
        loss.core_ms += core_ms;
        self.vain_ms = self.vain_ms.max(vain_ms);
    }

    /// `on_idle` records that nothing of the job is placed any more.
    pub(crate) fn on_idle(&mut self, now: TimeMs) {
        self.lost_ms = self.lost_ms + std::mem::take(&mut self.vain_ms);
        if matches!(self.stage, Stage::Beginning | Stage::Running) {
            self.enter(now, Stage::Again);
        }
    }

    /// `on_job_ended` records that the job is over.
    pub(crate) fn on_job_ended(&mut self, now: TimeMs) {
        self.enter(now, Stage::Over);
    }
}
