//! Relative speed of workers, estimated from the durations of similar tasks.
//!
//! This matters when urgent gangs have little slack and workers differ in speed, because a gang is as late as
//! its slowest member. Tasks of one step are similar, so the duration of one relative to the others shows the
//! speed of its worker, however wrong the customer's estimate is.

use ragwortwick_core::DurationMs;

use crate::progress_tracker::ProgressTracker;

/// Smallest observed share of a run, in per cent, from which its total duration is estimated.
const MIN_OBSERVED_PERCENT: u32 = 25;

/// Shortest duration that is compared: a shorter one consists largely of the time for start and report.
const MIN_DURATION_MS: DurationMs = DurationMs(500);

/// Weight, in samples, of the prior assumption of normal speed.
const PRIOR_SAMPLES: f64 = 2.0;

/// Number of samples after which older ones decay, so that a worker that becomes slow is detected soon.
const MAX_SAMPLES: f64 = 12.0;

/// Logarithm of the duration ratio from which a worker counts as slow.
const SLOW_LOG_RATIO: f64 = 0.10;

/// Logarithm of the duration ratio from which a worker counts as very slow.
const VERY_SLOW_LOG_RATIO: f64 = 0.7;

/// `Speed` is the speed of a worker relative to others.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Speed {
    /// As fast as most workers, as far as is known.
    #[default]
    Normal,
    /// Slower than most workers.
    Slow,
    /// Several times slower.
    VerySlow,
}

/// `SpeedEstimate` averages how long similar tasks took on a worker relative to others.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct SpeedEstimate {
    /// Sum of the logarithms of the duration ratios.
    log_sum: f64,
    samples: f64,
}

impl SpeedEstimate {
    pub(crate) fn add_sample(&mut self, log_ratio: f64) {
        if self.samples >= MAX_SAMPLES {
            let decay = (MAX_SAMPLES - 1.0) / self.samples;
            self.log_sum *= decay;
            self.samples *= decay;
        }
        self.log_sum += log_ratio;
        self.samples += 1.0;
    }

    pub(crate) fn speed(&self) -> Speed {
        let log_ratio = self.log_sum / (self.samples + PRIOR_SAMPLES);
        if log_ratio >= VERY_SLOW_LOG_RATIO {
            Speed::VerySlow
        } else if log_ratio >= SLOW_LOG_RATIO {
            Speed::Slow
        } else {
            Speed::Normal
        }
    }
}

/// `StepDurations` averages how long the tasks of a step took.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct StepDurations {
    log_sum: f64,
    count: f64,
}

impl StepDurations {
    /// Adds a duration; returns the logarithm of its ratio to the mean of the others, if it is long enough to
    /// compare and there are any.
    #[expect(
        clippy::cast_precision_loss,
        reason = "spans of hours in milliseconds are exact in a float"
    )]
    pub(crate) fn add_duration(&mut self, duration_ms: DurationMs) -> Option<f64> {
        if duration_ms < MIN_DURATION_MS {
            return None;
        }
        let log = (duration_ms.0 as f64).ln();
        let ratio = (self.count > 0.0).then(|| log - self.log_sum / self.count);
        self.log_sum += log;
        self.count += 1.0;
        ratio
    }
}

impl ProgressTracker {
    /// Returns the estimated total duration once, after enough of the run was observed.
    pub(crate) fn take_duration(&mut self) -> Option<DurationMs> {
        if self.is_speed_sampled || self.observed_percent() < MIN_OBSERVED_PERCENT {
            return None;
        }
        let total_ms = self.total_ms()?;
        self.is_speed_sampled = true;
        Some(total_ms)
    }
}
