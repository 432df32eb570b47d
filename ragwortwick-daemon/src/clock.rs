//! The one clock of the process: Unix time at start, advanced by the monotonic clock.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use ragwortwick_core::{DurationMs, TimeMs};

/// `Clock` gives times that never go back, comparable with Unix time in records.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
    start_ms: TimeMs,
}

impl Clock {
    /// `open` reads the system's clock once; later steps of that clock have no effect.
    #[must_use]
    pub fn open() -> Self {
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Self {
            start: Instant::now(),
            start_ms: TimeMs(saturating_ms(unix.as_millis())),
        }
    }

    /// `now` gives the present time.
    #[must_use]
    pub fn now(&self) -> TimeMs {
        self.start_ms + DurationMs(saturating_ms(self.start.elapsed().as_millis()))
    }

    /// `incarnation` tells this start of the process from any other.
    #[must_use]
    pub fn incarnation(&self) -> u64 {
        self.start_ms.0
    }
}

fn saturating_ms(ms: u128) -> u64 {
    u64::try_from(ms).unwrap_or(u64::MAX)
}
