//! One run that takes room on a worker, and how sure it is that it is there.

use std::sync::Arc;

use ragwortwick_core::{DurationMs, TimeMs};

use crate::accounting::RunEndReason;
use crate::colocation::ColocationRole;
use crate::crashes::CrashHistory;
use crate::job::{Resources, StepSpec};
use crate::progress_tracker::ProgressTracker;

/// `AllocationPhase` tells how sure it is that a run is on its worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AllocationPhase {
    /// Its start waits until the store has the record of it.
    AwaitingRecord,
    /// Its start was sent and not answered yet.
    StartSent {
        /// When the start was last sent.
        sent_at: TimeMs,
        /// Whether an answer is still awaited.
        in_flight: bool,
    },
    /// An earlier coordinator recorded it; a look will tell.
    Recovered,
    /// The worker confirmed the start.
    Running {
        /// When the confirmation arrived.
        since: TimeMs,
    },
    /// It has to stop.
    Stopping {
        /// Why.
        why: RunEndReason,
        /// When the stop was last sent; none before the first.
        sent_at: Option<TimeMs>,
        /// Whether an answer is still awaited.
        in_flight: bool,
        /// When the worker confirmed the stop.
        confirmed_at: Option<TimeMs>,
    },
}

impl AllocationPhase {
    /// A stop that was not sent yet.
    pub(crate) fn stop_pending(why: RunEndReason) -> Self {
        Self::Stopping {
            why,
            sent_at: None,
            in_flight: false,
            confirmed_at: None,
        }
    }
}

/// `Allocation` is one run that takes room on a worker.
#[derive(Clone, Debug)]
pub(crate) struct Allocation {
    pub(crate) run: u32,
    pub(crate) resources: Resources,
    pub(crate) phase: AllocationPhase,
    /// Zero comes first; what has a higher number may be preempted.
    pub(crate) priority: u32,
    /// When the start was decided.
    pub(crate) placed_at: TimeMs,
    /// When the worker confirmed the start.
    pub(crate) started_at: Option<TimeMs>,
    /// Newest checkpoint seen.
    pub(crate) checkpoint: Arc<str>,
    /// Whether it goes on from a checkpoint, or may have begun before this coordinator's term.
    pub(crate) is_resumed: bool,
    /// How often its start was sent.
    pub(crate) start_attempts: u32,
    /// Crashes of workers under its task before it began.
    pub(crate) crash_history: CrashHistory,
    /// What it is to others on its worker.
    pub(crate) role: ColocationRole,
    /// Whether it goes on from a checkpoint if it is stopped.
    pub(crate) saves_checkpoints: bool,
    /// How long it takes by its customer's estimate.
    pub(crate) expected_ms: DurationMs,
    /// Whether its progress tells something: what lasts has none, and fillers are slowed down.
    pub(crate) is_tracked: bool,
    /// Its progress as last told.
    pub(crate) tracker: Option<ProgressTracker>,
    /// The load that its worker told last.
    pub(crate) load: u32,
    /// The pace that its worker knows of; none if that is in doubt.
    pub(crate) confirmed_pace_percent: Option<u32>,
}

impl Allocation {
    /// A run whose start waits to be stored.
    pub(crate) fn awaiting_record(now: TimeMs, spec: &StepSpec, run: u32, priority: u32) -> Self {
        Self {
            run,
            resources: spec.demand(),
            phase: AllocationPhase::AwaitingRecord,
            priority,
            placed_at: now,
            started_at: None,
            checkpoint: "".into(),
            is_resumed: false,
            start_attempts: 0,
            crash_history: CrashHistory::default(),
            role: ColocationRole::of(spec),
            saves_checkpoints: spec.saves_checkpoints,
            expected_ms: spec.estimate_ms,
            is_tracked: !spec.is_long_running && !spec.is_filler,
            tracker: None,
            load: 0,
            confirmed_pace_percent: Some(100),
        }
    }

    pub(crate) fn is_stopping(&self) -> bool {
        matches!(self.phase, AllocationPhase::Stopping { .. })
    }

    /// How long it has run in vain if it is over now without having done its work.
    pub(crate) fn wasted_ms(&self, now: TimeMs, restore_ms: DurationMs) -> DurationMs {
        let ran_ms = self.started_at.map_or(DurationMs(0), |at| now.since(at));
        if self.saves_checkpoints {
            ran_ms.min(restore_ms)
        } else {
            ran_ms
        }
    }
}
