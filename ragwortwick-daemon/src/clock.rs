//! Clock of the process: Unix time at start, advanced by the time since boot.

use std::time::{SystemTime, UNIX_EPOCH};

use ragwortwick_core::{DurationMs, TimeMs};
use rustix::time::{ClockId, clock_gettime};

/// `Clock` returns monotonic times that are comparable with the Unix times in records.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    boot_at_start_ms: u64,
    start_ms: TimeMs,
}

impl Clock {
    /// `open` reads the system clock once; later steps of that clock have no effect.
    #[must_use]
    pub fn open() -> Self {
        Self {
            boot_at_start_ms: since_boot_ms(),
            start_ms: unix_now(),
        }
    }

    /// `now` returns the current time.
    #[must_use]
    pub fn now(&self) -> TimeMs {
        self.start_ms + DurationMs(since_boot_ms().saturating_sub(self.boot_at_start_ms))
    }

    /// `incarnation` distinguishes this start of the process from all others.
    #[must_use]
    pub fn incarnation(&self) -> u64 {
        self.start_ms.0
    }
}

/// `unix_now` reads the system clock, which may step.
#[must_use]
pub fn unix_now() -> TimeMs {
    let unix = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    TimeMs(saturating_ms(unix.as_millis()))
}

/// Reads the boot-time clock, which continues while the machine is suspended, unlike the monotonic clock:
/// after a resume, a process must not rely on a lease that expired meanwhile.
fn since_boot_ms() -> u64 {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    let nanoseconds = u64::try_from(time.tv_nsec).unwrap_or(0);
    seconds * 1_000 + nanoseconds / 1_000_000
}

fn saturating_ms(ms: u128) -> u64 {
    u64::try_from(ms).unwrap_or(u64::MAX)
}
