//! Waiting times between retries: exponential, jittered, bounded.

use ragwortwick_core::{DurationMs, common};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// `BackoffOptions` sets the bounds of the waiting times.
#[common]
#[derive(Copy)]
pub struct BackoffOptions {
    /// Longest first wait.
    pub first_ms: DurationMs,
    /// Longest wait at all.
    pub longest_ms: DurationMs,
}

impl Default for BackoffOptions {
    /// The store answers in milliseconds, so 50 ms spares it; 2 s keeps a table within its 8 s.
    fn default() -> Self {
        Self {
            first_ms: DurationMs(50),
            longest_ms: DurationMs(2_000),
        }
    }
}

/// `Backoff` gives the next waiting time after each failure.
#[derive(Clone, Debug)]
pub struct Backoff {
    options: BackoffOptions,
    ceiling_ms: u64,
    rng: SmallRng,
}

impl Backoff {
    /// `new` starts at the first wait; `seed` drives the jitter.
    #[must_use]
    pub fn new(options: BackoffOptions, seed: u64) -> Self {
        Self {
            options,
            ceiling_ms: options.first_ms.0.max(1),
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// `next_wait` gives a wait between half the ceiling and the ceiling, and doubles the ceiling.
    ///
    /// Hosts that lost the store at the same moment must not come back at the same moment: without
    /// the jitter each retry of the fleet arrives as one peak.
    pub fn next_wait(&mut self) -> DurationMs {
        let ceiling_ms = self.ceiling_ms;
        let longest_ms = self.options.longest_ms.0.max(1);
        self.ceiling_ms = ceiling_ms.saturating_mul(2).min(longest_ms);
        DurationMs(self.rng.random_range(ceiling_ms.div_ceil(2)..=ceiling_ms))
    }

    /// `reset` starts over after a success.
    pub fn reset(&mut self) {
        self.ceiling_ms = self.options.first_ms.0.max(1);
    }

    /// `spread` gives a time between three quarters of the interval and the interval.
    pub fn spread(&mut self, interval_ms: DurationMs) -> DurationMs {
        let least = interval_ms.0 - interval_ms.0 / 4;
        DurationMs(self.rng.random_range(least..=interval_ms.0))
    }
}
