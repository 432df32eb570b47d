//! How far a run is by what its worker tells, and what that says of its rest.

use ragwortwick_core::DurationMs;

/// Least share of its expected duration, in per cent, after which a run that stands still is noticed:
/// progress comes in whole per cents.
const LEAST_EXPECTED_PERCENT: u64 = 8;

/// Least time between two figures that are compared; looks that follow an end come milliseconds apart.
const LEAST_SPAN_MS: u64 = 400;

/// `Told` is a run's progress as its worker told it at a time of its own clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Told {
    clock_ms: u64,
    percent: u32,
}

/// `ProgressTracker` follows the progress of one run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ProgressTracker {
    first: Told,
    /// The figure that the next one is compared with.
    last: Told,
    /// When the run was last known to move on.
    moved_clock_ms: u64,
    /// Whether its duration was compared with others.
    pub(crate) is_speed_sampled: bool,
}

/// `ProgressChange` is what two figures of a run's progress show.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ProgressChange {
    /// They lie too close together.
    Inconclusive,
    /// It stands still.
    Stalled,
    /// It moves on, or is done and waits for others of its gang.
    Advancing,
}

impl ProgressTracker {
    /// A run that was at the given progress at a time of its worker's clock.
    pub(crate) fn new(clock_ms: u64, percent: u32) -> Self {
        let told = Told { clock_ms, percent };
        Self {
            first: told,
            last: told,
            moved_clock_ms: clock_ms,
            is_speed_sampled: false,
        }
    }

    /// Takes in a further figure.
    pub(crate) fn record(
        &mut self,
        clock_ms: u64,
        percent: u32,
        expected_ms: DurationMs,
    ) -> ProgressChange {
        let is_moving = percent > self.last.percent || percent >= 100;
        let span_ms = clock_ms.saturating_sub(self.last.clock_ms);
        let least_ms = expected_ms.0 * LEAST_EXPECTED_PERCENT / 100;
        if !is_moving && span_ms < least_ms.max(LEAST_SPAN_MS) {
            return ProgressChange::Inconclusive;
        }
        self.last = Told { clock_ms, percent };
        if is_moving {
            self.moved_clock_ms = clock_ms;
            ProgressChange::Advancing
        } else {
            ProgressChange::Stalled
        }
    }

    /// How long it has stood still when it was last heard of.
    pub(crate) fn stalled_ms(&self) -> DurationMs {
        DurationMs(self.last.clock_ms.saturating_sub(self.moved_clock_ms))
    }

    /// Share of its work that was seen to be done, in per cent.
    pub(crate) fn observed_percent(&self) -> u32 {
        self.last.percent.saturating_sub(self.first.percent)
    }

    /// How long its whole work takes at the speed seen so far; none before it has moved.
    pub(crate) fn total_ms(&self) -> Option<DurationMs> {
        let moved = u64::from(self.last.percent.saturating_sub(self.first.percent));
        let span_ms = self.moved_clock_ms.saturating_sub(self.first.clock_ms);
        (moved > 0).then(|| DurationMs(span_ms * 100 / moved))
    }

    /// Time that its present progress took or would take again.
    pub(crate) fn completed_work_ms(&self, expected_ms: DurationMs) -> DurationMs {
        let whole_ms = self.total_ms().unwrap_or(expected_ms);
        DurationMs(whole_ms.0 * u64::from(self.last.percent) / 100)
    }

    /// What is left at a time of its worker's clock, at the speed seen so far.
    pub(crate) fn remaining_ms(&self, clock_ms: u64) -> Option<DurationMs> {
        let whole_ms = self.total_ms()?;
        let left_ms = whole_ms.0 * u64::from(100 - self.last.percent.min(100)) / 100;
        let since_ms = clock_ms.saturating_sub(self.last.clock_ms);
        Some(DurationMs(left_ms.saturating_sub(since_ms)))
    }
}
