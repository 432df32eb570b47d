//! Estimate of how long workers take to reply to orders, which sets the timeout of the next ones.
//!
//! This matters when a share of the orders goes without a reply while urgent gangs arrive: a gang waits for
//! its last member, whose order is repeated only after its timeout. Replies take milliseconds on an idle host
//! and many times as long on a busy one, so the timeout follows the observed times and their deviation.

use ragwortwick_core::DurationMs;

/// Shortest timeout of an order: a placement pass may delay the processing of replies for this long.
const MIN_TIMEOUT_MS: f64 = 150.0;

/// Longest timeout of an order.
pub(super) const MAX_TIMEOUT_MS: f64 = 600.0;

/// Share of a new sample in the smoothed reply time.
const TIME_GAIN: f64 = 0.125;

/// Share of a new sample in the smoothed deviation.
const DEVIATION_GAIN: f64 = 0.25;

/// Number of deviations above the smoothed time at which an order times out.
const DEVIATIONS: f64 = 4.0;

/// Number of timeouts without any reply between them after which the timeout doubles: the host itself may be
/// too slow for it.
const TIMEOUTS_PER_DOUBLING: i32 = 32;

/// `ReplyTimeEstimate` smooths the reply times of workers and their deviation.
#[derive(Clone, Copy, Debug)]
pub(super) struct ReplyTimeEstimate {
    time_ms: f64,
    deviation_ms: f64,
    timeouts_in_a_row: i32,
}

impl Default for ReplyTimeEstimate {
    fn default() -> Self {
        Self {
            time_ms: 0.0,
            deviation_ms: MAX_TIMEOUT_MS / DEVIATIONS,
            timeouts_in_a_row: 0,
        }
    }
}

impl ReplyTimeEstimate {
    /// Records the time until a reply.
    #[expect(clippy::cast_precision_loss, reason = "reply times are below a minute")]
    pub(super) fn record_reply(&mut self, reply_ms: DurationMs) {
        let error_ms = reply_ms.0 as f64 - self.time_ms;
        self.time_ms += TIME_GAIN * error_ms;
        self.deviation_ms += DEVIATION_GAIN * (error_ms.abs() - self.deviation_ms);
        self.timeouts_in_a_row = 0;
    }

    /// Records an order that timed out. It is no sample of the reply time, since it may have been lost.
    pub(super) fn record_timeout(&mut self) {
        self.timeouts_in_a_row = self.timeouts_in_a_row.saturating_add(1);
    }

    /// Returns the timeout of the next order.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the timeout lies between its positive bounds"
    )]
    pub(super) fn timeout_ms(&self) -> DurationMs {
        let expected_ms = (self.time_ms + DEVIATIONS * self.deviation_ms).max(MIN_TIMEOUT_MS);
        let doublings = f64::from(self.timeouts_in_a_row / TIMEOUTS_PER_DOUBLING);
        let timeout_ms = (expected_ms * doublings.exp2()).min(MAX_TIMEOUT_MS);
        DurationMs(timeout_ms as u64)
    }
}
