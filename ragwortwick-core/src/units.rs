//! Newtypes for instants, durations, epochs and revisions.

use std::fmt;
use std::ops::{Add, Sub};

use serde::{Deserialize, Serialize};

use crate::common;

/// `TimeMs` is an instant in milliseconds on the clock that the caller of a function chooses.
///
/// Functions that make decisions get the monotonic clock of the process. Records that outlive the process
/// hold Unix time.
#[common(key)]
#[derive(Default, Serialize, Deserialize)]
#[serde(transparent)]
pub struct TimeMs(pub u64);

/// `DurationMs` is a duration in milliseconds.
#[common(key)]
#[derive(Default, Serialize, Deserialize)]
#[serde(transparent)]
pub struct DurationMs(pub u64);

/// `Epoch` numbers the ownerships of a zone; workers reject any epoch below the highest one seen.
#[common(key)]
#[derive(Default, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Epoch(pub u64);

/// `Revision` numbers the versions of a value in the store; zero stands for an absent value.
#[common(key)]
#[derive(Default, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Revision(pub u64);

impl TimeMs {
    /// `since` returns the duration since `earlier`, or zero if `earlier` is later.
    #[must_use]
    pub fn since(self, earlier: Self) -> DurationMs {
        DurationMs(self.0.saturating_sub(earlier.0))
    }
}

impl Add<DurationMs> for TimeMs {
    type Output = Self;

    fn add(self, rhs: DurationMs) -> Self {
        Self(self.0.saturating_add(rhs.0))
    }
}

impl Sub<DurationMs> for TimeMs {
    type Output = Self;

    fn sub(self, rhs: DurationMs) -> Self {
        Self(self.0.saturating_sub(rhs.0))
    }
}

impl Add for DurationMs {
    type Output = Self;

    fn add(self, rhs: Self) -> Self {
        Self(self.0.saturating_add(rhs.0))
    }
}

impl DurationMs {
    /// `as_secs_f64` converts the duration to seconds.
    #[must_use]
    pub fn as_secs_f64(self) -> f64 {
        std::time::Duration::from(self).as_secs_f64()
    }

    /// `scaled` multiplies the duration; a negative factor gives zero.
    #[must_use]
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        clippy::cast_precision_loss,
        reason = "spans of hours in milliseconds are exact in a float, and the factor is cut to positive"
    )]
    pub fn scaled(self, factor: f64) -> Self {
        Self((self.0 as f64 * factor.max(0.0)) as u64)
    }
}

impl From<DurationMs> for std::time::Duration {
    fn from(duration: DurationMs) -> Self {
        Self::from_millis(duration.0)
    }
}

macro_rules! display_number {
    ($($name:ident),*) => {
        $(impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{}", self.0)
            }
        })*
    };
}

display_number!(TimeMs, DurationMs, Epoch, Revision);
