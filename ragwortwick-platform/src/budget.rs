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
const MILLI: i64 = 1_000;

/// `CallBudget` is a token bucket over the time that the caller passes in.
#[common]
pub struct CallBudget {
    options: CallBudgetOptions,
    /// Below zero while calls wait for tokens that they have taken in advance.
    milli_tokens: i64,
    filled_at: TimeMs,
}

impl CallBudget {
    /// `new` makes a full bucket.
    #[must_use]
    pub fn new(now: TimeMs, options: CallBudgetOptions) -> Self {
        Self {
            options,
            milli_tokens: i64::from(options.burst) * MILLI,
            filled_at: now,
        }
    }

    /// `take` takes one call out of the bucket and tells how long it has to wait.
    ///
    /// A call that waits has its place: those that come later wait longer, so that no call is
    /// overtaken again and again in a burst.
    ///
    /// # Errors
    ///
    /// Gives the time to wait if it is above `longest_wait_ms`; nothing is taken then.
    pub fn take(
        &mut self,
        now: TimeMs,
        longest_wait_ms: DurationMs,
    ) -> Result<DurationMs, DurationMs> {
        let rate = i64::from(self.options.calls_per_s.max(1));
        let most = i64::from(self.options.burst.max(1)) * MILLI;
        // One call a second is one thousandth of a call a millisecond.
        let elapsed_ms = i64::try_from(now.since(self.filled_at).0).unwrap_or(i64::MAX);
        let gained = elapsed_ms.saturating_mul(rate);
        self.milli_tokens = self.milli_tokens.saturating_add(gained).min(most);
        self.filled_at = self.filled_at.max(now);
        let missing = u64::try_from(MILLI - self.milli_tokens).unwrap_or(0);
        let wait_ms = DurationMs(missing.div_ceil(rate.unsigned_abs()));
        if wait_ms > longest_wait_ms {
            return Err(wait_ms);
        }
        self.milli_tokens -= MILLI;
        Ok(wait_ms)
    }
}
