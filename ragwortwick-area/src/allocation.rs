//! Resources of a worker that are allocated to one run, and the state of that run as far as it is known.

use std::sync::Arc;

use ragwortwick_core::{DurationMs, TimeMs};

use crate::accounting::RunEndReason;
use crate::colocation::ColocationRole;
use crate::crashes::CrashHistory;
use crate::job::{Resources, StepSpec};
use crate::progress_tracker::ProgressTracker;
use crate::stop_progress::StopProgress;

/// `AllocationPhase` is what the coordinator knows about a run on its worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AllocationPhase {
    /// The start order waits until the run is recorded in the store.
    AwaitingRecord,
    /// The start order was sent, and no reply has arrived yet.
    StartSent {
        /// When the start order was last sent.
        sent_at: TimeMs,
        /// Whether a reply is pending.
        in_flight: bool,
    },
    /// An earlier coordinator recorded the run; the next poll determines whether it exists.
    Recovered,
    /// The worker confirmed the start.
    Running {
        /// When the confirmation arrived.
        since: TimeMs,
    },
    /// The run has to stop.
    Stopping {
        /// Why the run has to stop.
        reason: RunEndReason,
        /// How far the stop has got.
        progress: StopProgress,
    },
}

impl AllocationPhase {
    /// A stop whose order was not sent yet.
    pub(crate) fn stop_pending(reason: RunEndReason) -> Self {
        Self::Stopping {
            reason,
            progress: StopProgress::PENDING,
        }
    }
}

/// `Allocation` is one run and the resources that it takes on a worker.
#[derive(Clone, Debug)]
pub(crate) struct Allocation {
    pub(crate) run: u32,
    pub(crate) resources: Resources,
    pub(crate) phase: AllocationPhase,
    /// Zero is the highest priority; runs with higher numbers may be preempted.
    pub(crate) priority: u32,
    /// When the run was placed.
    pub(crate) placed_at: TimeMs,
    /// When this coordinator first sent the start order; none if it did not.
    pub(crate) ordered_at: Option<TimeMs>,
    /// When the worker confirmed the start.
    pub(crate) started_at: Option<TimeMs>,
    /// Newest checkpoint that was reported.
    pub(crate) checkpoint: Arc<str>,
    /// Whether the run resumes from a checkpoint, or may have started before this coordinator's term.
    pub(crate) is_resumed: bool,
    /// Number of start orders that were sent.
    pub(crate) start_attempts: u32,
    /// Number of start orders that were replied to; the others may be carried out late.
    pub(crate) start_replies: u32,
    /// Worker crashes attributed to the task before this run.
    pub(crate) crash_history: CrashHistory,
    /// How the run affects others on the same worker.
    pub(crate) role: ColocationRole,
    /// Whether the task resumes from a checkpoint after it is stopped.
    pub(crate) saves_checkpoints: bool,
    /// Duration of the run as estimated by the customer.
    pub(crate) expected_ms: DurationMs,
    /// Whether progress is meaningful: long-running tasks have none, and fillers are slowed down on purpose.
    pub(crate) is_tracked: bool,
    /// Progress as of the last report.
    pub(crate) tracker: Option<ProgressTracker>,
    /// Load as of the last report.
    pub(crate) load: u32,
    /// Pace that the worker has confirmed; none if it is uncertain.
    pub(crate) confirmed_pace_percent: Option<u32>,
}

impl Allocation {
    /// A run whose start order waits until the run is recorded.
    pub(crate) fn awaiting_record(now: TimeMs, spec: &StepSpec, run: u32, priority: u32) -> Self {
        Self {
            run,
            resources: spec.demand(),
            phase: AllocationPhase::AwaitingRecord,
            priority,
            placed_at: now,
            ordered_at: None,
            started_at: None,
            checkpoint: "".into(),
            is_resumed: false,
            start_attempts: 0,
            start_replies: 0,
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

    /// Whether a start order was sent and its effect is not known.
    pub(crate) fn awaits_start_reply(&self) -> bool {
        matches!(self.phase, AllocationPhase::StartSent { .. })
    }

    /// Whether a start order had no reply, so that it may be carried out late.
    pub(crate) fn has_unanswered_start(&self) -> bool {
        self.start_replies < self.start_attempts
    }

    pub(crate) fn is_stopping(&self) -> bool {
        matches!(self.phase, AllocationPhase::Stopping { .. })
    }

    /// Running time that is wasted if the run ends now without completing its work.
    pub(crate) fn wasted_ms(&self, now: TimeMs, restore_ms: DurationMs) -> DurationMs {
        let ran_ms = self.started_at.map_or(DurationMs(0), |at| now.since(at));
        if self.saves_checkpoints {
            ran_ms.min(restore_ms)
        } else {
            ran_ms
        }
    }
}
