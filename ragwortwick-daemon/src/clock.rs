//! The one clock of the process: Unix time at start, advanced by the clock since boot.

use std::time::{SystemTime, UNIX_EPOCH};

use ragwortwick_core::{DurationMs, TimeMs};
use rustix::time::{ClockId, clock_gettime};

/// `Clock` gives times that never go back, comparable with Unix time in records.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    boot_at_start_ms: u64,
    start_ms: TimeMs,
}

impl Clock {
    /// `open` reads the system's clock once; later steps of that clock have no effect.
    #[must_use]
    pub fn open() -> Self {
        Self {
            boot_at_start_ms: since_boot_ms(),
            start_ms: unix_now(),
        }
    }

    /// `now` gives the present time.
    #[must_use]
    pub fn now(&self) -> TimeMs {
        self.start_ms + DurationMs(since_boot_ms().saturating_sub(self.boot_at_start_ms))
    }

    /// `incarnation` tells this start of the process from any other.
    #[must_use]
    pub fn incarnation(&self) -> u64 {
        self.start_ms.0
    }
}

/// `unix_now` reads the system's clock, which may step.
#[must_use]
pub fn unix_now() -> TimeMs {
    let unix = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    TimeMs(saturating_ms(unix.as_millis()))
}

/// The clock since boot goes on while the machine is suspended, unlike the monotonic one: a process
/// that wakes must not believe in a lease that ran out meanwhile.
fn since_boot_ms() -> u64 {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    let nanoseconds = u64::try_from(time.tv_nsec).unwrap_or(0);
    seconds * 1_000 + nanoseconds / 1_000_000
}

fn saturating_ms(ms: u128) -> u64 {
    u64::try_from(ms).unwrap_or(u64::MAX)
}
