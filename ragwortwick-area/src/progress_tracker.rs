//! Progress of a run from the samples that its worker reports, and the remaining time estimated from it.

use ragwortwick_core::DurationMs;

use crate::speed_model::ObservedDuration;

/// Minimum time without progress, as a percentage of the expected duration, after which a run counts as
/// stalled: progress is reported in whole per cent.
const STALL_PERCENT_OF_EXPECTED: u64 = 8;

/// Minimum time between two samples that are compared; polls that follow a run end are milliseconds apart.
const MIN_SAMPLE_INTERVAL_MS: u64 = 400;

/// `ProgressSample` is the progress of a run that its worker reported, with the time on the worker's clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct ProgressSample {
    clock_ms: u64,
    percent: u32,
}

/// `ProgressTracker` tracks the progress of one run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ProgressTracker {
    first: ProgressSample,
    /// The sample that the next one is compared with.
    last: ProgressSample,
    /// Time of the last sample that showed progress.
    advanced_clock_ms: u64,
}

/// `ProgressChange` is what two progress samples of a run show.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ProgressChange {
    /// The samples are too close together.
    Inconclusive,
    /// The run has made no progress.
    Stalled,
    /// The run has made progress, or is done and waits for other members of its gang.
    Advancing,
}

impl ProgressTracker {
    /// Starts tracking a run at the given progress and time on its worker's clock.
    pub(crate) fn new(clock_ms: u64, percent: u32) -> Self {
        let sample = ProgressSample { clock_ms, percent };
        Self {
            first: sample,
            last: sample,
            advanced_clock_ms: clock_ms,
        }
    }

    /// Records a further sample.
    pub(crate) fn record(
        &mut self,
        clock_ms: u64,
        percent: u32,
        expected_ms: DurationMs,
    ) -> ProgressChange {
        let is_advancing = percent > self.last.percent || percent >= 100;
        let span_ms = clock_ms.saturating_sub(self.last.clock_ms);
        let min_stall_ms = expected_ms.0.saturating_mul(STALL_PERCENT_OF_EXPECTED) / 100;
        if !is_advancing && span_ms < min_stall_ms.max(MIN_SAMPLE_INTERVAL_MS) {
            return ProgressChange::Inconclusive;
        }
        self.last = ProgressSample { clock_ms, percent };
        if is_advancing {
            self.advanced_clock_ms = clock_ms;
            ProgressChange::Advancing
        } else {
            ProgressChange::Stalled
        }
    }

    /// How long the run had made no progress at the last sample.
    pub(crate) fn stalled_ms(&self) -> DurationMs {
        DurationMs(self.last.clock_ms.saturating_sub(self.advanced_clock_ms))
    }

    /// What the progress so far tells of the duration of the whole run.
    pub(crate) fn observed_duration(&self) -> ObservedDuration {
        let span_ms = DurationMs(self.advanced_clock_ms.saturating_sub(self.first.clock_ms));
        let percent = self.last.percent.saturating_sub(self.first.percent);
        if self.last.percent >= 100 {
            // The work ended some time before the report that shows it.
            ObservedDuration::AtMost(DurationMs(
                span_ms.0.saturating_mul(100) / u64::from(percent.max(1)),
            ))
        } else {
            ObservedDuration::Progress { span_ms, percent }
        }
    }

    /// Estimated duration of the whole work at the speed so far; none before any progress.
    pub(crate) fn total_ms(&self) -> Option<DurationMs> {
        let observed = u64::from(self.last.percent.saturating_sub(self.first.percent));
        let span_ms = self.advanced_clock_ms.saturating_sub(self.first.clock_ms);
        (observed > 0).then(|| DurationMs(span_ms.saturating_mul(100) / observed))
    }

    /// Time that the progress so far took, which is also the time to repeat it.
    pub(crate) fn completed_work_ms(&self, expected_ms: DurationMs) -> DurationMs {
        let total_ms = self.total_ms().unwrap_or(expected_ms);
        DurationMs(total_ms.0.saturating_mul(u64::from(self.last.percent)) / 100)
    }

    /// Estimated remaining time at the given time on the worker's clock, at the speed so far.
    pub(crate) fn remaining_ms(&self, clock_ms: u64) -> Option<DurationMs> {
        let total_ms = self.total_ms()?;
        let remaining_percent = u64::from(100 - self.last.percent.min(100));
        let remaining_ms = total_ms.0.saturating_mul(remaining_percent) / 100;
        let since_ms = clock_ms.saturating_sub(self.last.clock_ms);
        Some(DurationMs(remaining_ms.saturating_sub(since_ms)))
    }
}
