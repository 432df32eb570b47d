//! Placement of work on workers of different speed.
//!
//! The load: urgent gangs with little slack beside patient work, on workers of which some take several times as
//! long as others. A gang is as late as its slowest member, so one slow worker makes it late however early it
//! starts, while patient work ends in time on slow workers as well.

use ragwortwick_core::common;

/// Smallest difference from the normal speed, as the logarithm of the duration ratio, that is acted on.
const MIN_LOG_RATIO: f64 = 0.10;

/// Width of the classes of speed that count as equal, as the logarithm of the duration ratio.
const RANK_LOG_WIDTH: f64 = 0.15;

/// Logarithm of the duration ratio from which a worker is taken to be faulty: it is the last choice for any work.
const VERY_SLOW_LOG_RATIO: f64 = 0.7;

/// Rank of a worker that would finish the work too late; it is behind those of all speeds.
const TOO_LATE_RANK: i32 = 1_000;

/// Rank of a worker that is taken to be faulty.
const VERY_SLOW_RANK: i32 = 10_000;

/// `SpeedEstimate` is the speed of a worker relative to others, with its uncertainty.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct SpeedEstimate {
    /// Logarithm of the factor by which work takes longer there than on other workers.
    pub(crate) log_ratio: f64,
    /// Variance of the logarithm.
    pub(crate) variance: f64,
}

impl SpeedEstimate {
    /// The estimate for a worker of which nothing is known: half of all workers are within a third of the mean.
    pub(crate) const UNKNOWN: Self = Self {
        log_ratio: 0.0,
        variance: 0.16,
    };

    /// The logarithm if the worker is known to differ from others, and zero otherwise.
    pub(crate) fn known_log_ratio(self) -> f64 {
        let threshold = MIN_LOG_RATIO.max(self.variance.sqrt());
        if self.log_ratio.abs() >= threshold {
            self.log_ratio
        } else {
            0.0
        }
    }

    fn is_very_slow(self) -> bool {
        self.known_log_ratio() >= VERY_SLOW_LOG_RATIO
    }

    /// Class of speed; workers of one class count as equally fast, and a slower class is higher.
    fn class(self) -> i32 {
        let classes = self.known_log_ratio() / RANK_LOG_WIDTH;
        // Rounding away from zero keeps workers that are known to differ out of the normal class.
        truncate(classes.abs().ceil()) * if classes < 0.0 { -1 } else { 1 }
    }
}

/// `SpeedPreference` is which workers a step prefers.
#[common]
#[derive(Copy, Default)]
pub(crate) enum SpeedPreference {
    /// Workers that aren't slow; others are left to work that isn't urgent.
    #[default]
    NotSlow,
    /// Slow workers, so that the others are left to urgent work.
    Slow,
    /// The fastest workers.
    Fastest,
    /// The slowest workers on which the work ends in time.
    SlowestInTime {
        /// Largest factor, in per cent, by which the work may take longer and still end in time.
        max_slowdown_percent: u32,
    },
}

impl SpeedPreference {
    /// Whether the finish of the work on each worker decides, before the history of failures there.
    pub(crate) fn is_by_finish(self) -> bool {
        matches!(self, Self::Fastest | Self::SlowestInTime { .. })
    }

    /// Returns the rank of a worker; lower ranks are preferred.
    pub(crate) fn rank(self, speed: SpeedEstimate) -> i32 {
        if speed.is_very_slow() {
            return VERY_SLOW_RANK;
        }
        let is_slow = speed.known_log_ratio() >= MIN_LOG_RATIO;
        match self {
            Self::NotSlow => i32::from(is_slow),
            Self::Slow => i32::from(!is_slow),
            Self::Fastest => speed.class(),
            Self::SlowestInTime {
                max_slowdown_percent,
            } => {
                if is_in_time(speed, max_slowdown_percent) {
                    -speed.class()
                } else {
                    TOO_LATE_RANK + speed.class()
                }
            }
        }
    }
}

/// Whether work that may take the given factor longer ends in time on a worker.
pub(crate) fn is_in_time(speed: SpeedEstimate, max_slowdown_percent: u32) -> bool {
    speed.known_log_ratio().exp() * 100.0 <= f64::from(max_slowdown_percent)
}

#[expect(
    clippy::cast_possible_truncation,
    reason = "classes of speed are small whole numbers"
)]
fn truncate(number: f64) -> i32 {
    number.min(1_000.0) as i32
}
