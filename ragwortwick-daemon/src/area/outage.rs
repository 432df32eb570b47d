//! What a host does with calls that need the store while the store is away.
//!
//! The load: an outage of seconds during which callers go on arriving, each with a few seconds of patience and a few
//! retries. A refusal at once spends a retry and tells the caller nothing of when the store is back; many callers who are
//! told the same time return together. A call therefore waits for a part of its caller's time, so that it is carried out
//! as soon as the store is back, and leaves enough of it to try another host, which may still reach the store.

use ragwortwick_core::DurationMs;

/// Shortest pause between two tries of a call that waits.
const MIN_PAUSE_MS: u64 = 40;

/// Longest pause between two tries. Pauses are spread, so that the calls that wait do not arrive together.
const MAX_PAUSE_MS: u64 = 120;

/// Share of the outage so far that callers are told to stay away for; most outages that have lasted for some time last
/// for as long again.
const AWAY_PER_OUTAGE: f64 = 0.25;

/// Shortest time that callers are told to stay away for: they come back a few times only.
const MIN_RETRY_AFTER_S: f64 = 1.0;

/// Longest time that callers are told to stay away for.
const MAX_RETRY_AFTER_S: f64 = 30.0;

/// Seconds that callers are told to stay away for where calls do not wait.
const FIXED_RETRY_AFTER_S: u64 = 1;

/// `OutagePolicy` says how long calls wait for the store and when refused callers may come back.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct OutagePolicy {
    /// Share of its caller's time for which a call waits, from 0 to 0.5; zero refuses at once.
    pub(super) hold_share: f64,
}

impl OutagePolicy {
    /// Returns how long a call may wait whose caller still has the given time.
    pub(super) fn hold_ms(self, left_ms: DurationMs) -> DurationMs {
        DurationMs(truncate(to_f64(left_ms) * self.hold_share))
    }

    /// Returns the pause before the next try of a call that waits; `spread` is a random number from 0 to 1.
    pub(super) fn pause_ms(spread: f64) -> DurationMs {
        let range = to_f64(DurationMs(MAX_PAUSE_MS - MIN_PAUSE_MS));
        DurationMs(MIN_PAUSE_MS + truncate(range * spread))
    }

    /// Returns the seconds after which a refused caller may come back.
    ///
    /// In a long outage they stay away for longer the longer it has lasted. `spread` is a random number from 0 to 1.
    pub(super) fn retry_after_s(self, outage_ms: DurationMs, spread: f64) -> u64 {
        if self.hold_share <= 0.0 {
            return FIXED_RETRY_AFTER_S;
        }
        let away_s = outage_ms.as_secs_f64() * AWAY_PER_OUTAGE * (0.5 + spread);
        truncate(away_s.clamp(MIN_RETRY_AFTER_S, MAX_RETRY_AFTER_S))
    }
}

#[expect(
    clippy::cast_precision_loss,
    reason = "spans in milliseconds are exact in a float"
)]
fn to_f64(span_ms: DurationMs) -> f64 {
    span_ms.0 as f64
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "spans are not negative, and days at most"
)]
fn truncate(number: f64) -> u64 {
    number as u64
}
