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

/// Deviations added to the mean where work must surely end in time.
const SURE_DEVIATIONS: f64 = 3.0;

/// `RunTime` estimates how long a class's requests take on a runner.
#[derive(Clone, Debug, Default)]
pub(super) struct RunTime {
    mean_ms: f64,
    deviation_ms: f64,
    as_of: TimeMs,
}

impl RunTime {
    pub(super) fn observe(&mut self, now: TimeMs, took_ms: DurationMs) {
        let took = ms_as_f64(took_ms);
        if self.mean_ms > 0.0 {
            let off = took - self.mean_ms;
            self.mean_ms += off * NEWEST;
            self.deviation_ms += (off.abs() - self.deviation_ms) * NEWEST;
        } else {
            self.mean_ms = took;
            self.deviation_ms = took / 4.0;
        }
        self.as_of = now;
    }

    /// `mean_ms` is the time that a request probably takes.
    pub(super) fn mean_ms(&self, now: TimeMs) -> DurationMs {
        self.faded_ms(now, self.mean_ms)
    }

    /// `sure_ms` is the time in which a request almost surely ends.
    pub(super) fn sure_ms(&self, now: TimeMs) -> DurationMs {
        self.faded_ms(now, self.mean_ms + self.deviation_ms * SURE_DEVIATIONS)
    }

    fn faded_ms(&self, now: TimeMs, span_ms: f64) -> DurationMs {
        let halvings = ms_as_f64(now.since(self.as_of)) / ms_as_f64(HALF_LIFE_MS);
        f64_as_ms(span_ms * (-halvings.floor()).exp2())
    }
}

/// A pace that was seen longer ago says nothing of the present.
const PACE_FRESH_MS: DurationMs = DurationMs(1_000);

/// `Pace` estimates how fast a line moves while requests wait in it.
#[derive(Clone, Debug, Default)]
pub(super) struct Pace {
    interval_ms: f64,
    last_start_at: Option<TimeMs>,
}

impl Pace {
    pub(super) fn on_start(&mut self, now: TimeMs, is_more_waiting: bool) {
        if let Some(last) = self.last_start_at {
            let interval = ms_as_f64(now.since(last));
            self.interval_ms += (interval - self.interval_ms) * NEWEST / 4.0;
        }
        self.last_start_at = is_more_waiting.then_some(now);
    }

    /// `wait_ms` is the time until a request behind so many others probably starts.
    pub(super) fn wait_ms(&self, now: TimeMs, ahead: u32) -> DurationMs {
        let is_fresh = self
            .last_start_at
            .is_some_and(|at| now.since(at) < PACE_FRESH_MS);
        if !is_fresh {
            return DurationMs(0);
        }
        f64_as_ms(self.interval_ms * f64::from(ahead))
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
