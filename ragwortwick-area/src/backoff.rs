//! How long a job waits whose starts workers refuse as they are.
//!
//! Answers the load in which each worker refuses a start, wherever it is sent: it would go out again with
//! each pass.

use ragwortwick_core::{DurationMs, TimeMs};

/// Pause after the first refusal; it doubles with each further one in a row.
const FIRST_MS: u64 = 250;

/// Longest pause: the reason may have been mended meanwhile.
const MOST_MS: u64 = 8_000;

/// `StartBackoff` is the pause of one job.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct StartBackoff {
    refusals_in_row: u32,
    until: TimeMs,
}

impl StartBackoff {
    /// When the job may start again; none if it may now.
    pub(crate) fn retry_at(&self, now: TimeMs) -> Option<TimeMs> {
        (now < self.until).then_some(self.until)
    }

    /// Takes in a refusal; the starts of a gang that are refused together count as one.
    pub(crate) fn on_refused(&mut self, now: TimeMs) {
        if now < self.until {
            return;
        }
        let pause_ms = FIRST_MS.saturating_mul(1 << self.refusals_in_row.min(16));
        self.until = now + DurationMs(pause_ms.min(MOST_MS));
        self.refusals_in_row += 1;
    }

    pub(crate) fn reset(&mut self) {
        *self = Self::default();
    }
}
