//! A token bucket that bounds the store calls of one process.

use ragwortwick_core::{DurationMs, TimeMs, common};

/// `CallBudgetOptions` sets the rate of store calls.
#[common]
#[derive(Copy)]
pub struct CallBudgetOptions {
    /// Calls a second in the long run.
    pub calls_per_s: u32,
    /// Calls that may be made at once.
    pub burst: u32,
}

impl Default for CallBudgetOptions {
    /// 9 hosts at 40 calls a second stay under the several hundred writes that the store takes.
    fn default() -> Self {
        Self {
            calls_per_s: 40,
            burst: 40,
        }
    }
}

/// Thousandths of a call, so that the bucket needs no floating point.
const MILLI: u64 = 1_000;

/// `CallBudget` is a token bucket over the time that the caller passes in.
#[common]
pub struct CallBudget {
    options: CallBudgetOptions,
    milli_tokens: u64,
    filled_at: TimeMs,
}

impl CallBudget {
    /// `new` makes a full bucket.
    #[must_use]
    pub fn new(now: TimeMs, options: CallBudgetOptions) -> Self {
        Self {
            options,
            milli_tokens: u64::from(options.burst) * MILLI,
            filled_at: now,
        }
    }

    /// `take` takes one call out of the bucket.
    ///
    /// # Errors
    ///
    /// Gives the time to wait if the bucket is empty.
    pub fn take(&mut self, now: TimeMs) -> Result<(), DurationMs> {
        let rate = u64::from(self.options.calls_per_s.max(1));
        let most = u64::from(self.options.burst.max(1)) * MILLI;
        // One call a second is one thousandth of a call a millisecond.
        let gained = now.since(self.filled_at).0.saturating_mul(rate);
        self.milli_tokens = self.milli_tokens.saturating_add(gained).min(most);
        self.filled_at = self.filled_at.max(now);
        if self.milli_tokens >= MILLI {
            self.milli_tokens -= MILLI;
            return Ok(());
        }
        Err(DurationMs((MILLI - self.milli_tokens).div_ceil(rate)))
    }
}
