//! Exponential backoff of a job whose starts are refused.
//!
//! If every worker refuses a start because of the order itself, the start would otherwise be sent again with
//! each placement pass.

use ragwortwick_core::{DurationMs, TimeMs};

/// Delay after the first refusal; it doubles with each further consecutive refusal.
const FIRST_DELAY_MS: u64 = 250;

/// Longest delay; the cause of the refusals may have been fixed meanwhile.
const MAX_DELAY_MS: u64 = 8_000;

/// `StartBackoff` delays the next start of one job after refusals.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct StartBackoff {
    consecutive_refusals: u32,
    retry_at: TimeMs,
}

impl StartBackoff {
    /// When the job may start again; none if it may start now.
    pub(crate) fn retry_at(&self, now: TimeMs) -> Option<TimeMs> {
        (now < self.retry_at).then_some(self.retry_at)
    }

    /// Counts a refusal; refused starts of the same gang count once.
    pub(crate) fn on_refused(&mut self, now: TimeMs) {
        if now < self.retry_at {
            return;
        }
        let delay_ms = FIRST_DELAY_MS.saturating_mul(1 << self.consecutive_refusals.min(16));
        self.retry_at = now + DurationMs(delay_ms.min(MAX_DELAY_MS));
        self.consecutive_refusals += 1;
    }

    pub(crate) fn reset(&mut self) {
        *self = Self::default();
    }
}
