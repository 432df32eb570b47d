//! Rate limits and estimates of run time per customer and class.

use ragwortwick_core::{DurationMs, TimeMs};

/// `RateLimit` is a token bucket that holds up to one second's worth of requests.
#[derive(Clone, Debug)]
pub(super) struct RateLimit {
    rate_per_s: f64,
    tokens: f64,
    as_of: TimeMs,
}

impl RateLimit {
    pub(super) fn new(now: TimeMs, rate_per_s: f64) -> Self {
        Self {
            rate_per_s,
            tokens: rate_per_s.max(1.0),
            as_of: now,
        }
    }

    /// `set_rate` keeps what was used, so that an edit of the table gives no second burst.
    pub(super) fn set_rate(&mut self, rate_per_s: f64) {
        self.rate_per_s = rate_per_s;
        self.tokens = self.tokens.min(rate_per_s.max(1.0));
    }

    /// `take` lets a request pass or tells when the next one may.
    pub(super) fn take(&mut self, now: TimeMs) -> Result<(), DurationMs> {
        let gained = ms_as_f64(now.since(self.as_of)) / 1_000.0 * self.rate_per_s;
        self.tokens = (self.tokens + gained).min(self.rate_per_s.max(1.0));
        self.as_of = now;
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return Ok(());
        }
        let missing_ms = (1.0 - self.tokens) / self.rate_per_s.max(0.001) * 1_000.0;
        Err(f64_as_ms(missing_ms.ceil()))
    }
}

/// Weight of the newest observation.
const NEWEST: f64 = 0.2;

/// Without observations the estimate halves in this time: a class whose work is all refused as too
/// late would otherwise never be tried again, however fast the runners have become.
const HALF_LIFE_MS: DurationMs = DurationMs(5_000);

/// `RunTime` estimates how long a class's requests take on a runner.
#[derive(Clone, Debug, Default)]
pub(super) struct RunTime {
    mean_ms: f64,
    as_of: TimeMs,
}

impl RunTime {
    pub(super) fn observe(&mut self, now: TimeMs, took_ms: DurationMs) {
        let took = ms_as_f64(took_ms);
        self.mean_ms = if self.mean_ms > 0.0 {
            self.mean_ms + (took - self.mean_ms) * NEWEST
        } else {
            took
        };
        self.as_of = now;
    }

    pub(super) fn estimate_ms(&self, now: TimeMs) -> DurationMs {
        let halvings = ms_as_f64(now.since(self.as_of)) / ms_as_f64(HALF_LIFE_MS);
        f64_as_ms(self.mean_ms * (-halvings.floor()).exp2())
    }
}

#[expect(
    clippy::cast_precision_loss,
    reason = "spans are far below 2^52 milliseconds"
)]
pub(super) fn ms_as_f64(span_ms: DurationMs) -> f64 {
    span_ms.0 as f64
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the cast saturates, and spans are never negative"
)]
pub(super) fn f64_as_ms(span_ms: f64) -> DurationMs {
    DurationMs(span_ms.max(0.0) as u64)
}
