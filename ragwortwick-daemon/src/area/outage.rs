//! What a host does with calls that need the store while the store is away.
//!
//! The load: an outage of seconds during which callers go on arriving, each with a few seconds of patience and a few
//! retries. A refusal at once spends a retry and tells the caller nothing of when the store is back; many callers who are
//! told the same time return together. A call therefore waits for a part of its caller's time, so that it is carried out
//! as soon as the store is back, and leaves enough of it to try another host, which may still reach the store.

use ragwortwick_core::DurationMs;

/// Shortest pause between two tries of a call that waits.
const MIN_PAUSE_MS: DurationMs = DurationMs(40);

/// Longest pause between two tries. Pauses are spread, so that the calls that wait do not arrive together.
const MAX_PAUSE_MS: DurationMs = DurationMs(120);

/// Share of the outage so far that callers are told to stay away for; most outages that have lasted for some time last
/// for as long again.
const AWAY_PER_OUTAGE: f64 = 0.25;

/// Shortest time that callers are told to stay away for: they come back a few times only.
const MIN_RETRY_AFTER_MS: DurationMs = DurationMs(1_000);

/// Longest time that callers are told to stay away for.
const MAX_RETRY_AFTER_MS: DurationMs = DurationMs(30_000);

/// `OutagePolicy` says how long calls wait for the store and when refused callers may come back.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct OutagePolicy {
    /// Share of its caller's time for which a call waits, from 0 to 0.5; zero refuses at once.
    pub(super) hold_share: f64,
}

impl OutagePolicy {
    /// Returns how long a call may wait whose caller still has the given time.
    pub(super) fn hold_ms(self, left_ms: DurationMs) -> DurationMs {
        left_ms.scaled(self.hold_share)
    }

    /// Returns the pause before the next try of a call that waits; `spread` is a random number from 0 to 1.
    pub(super) fn pause_ms(spread: f64) -> DurationMs {
        let range_ms = DurationMs(MAX_PAUSE_MS.0 - MIN_PAUSE_MS.0);
        MIN_PAUSE_MS + range_ms.scaled(spread)
    }

    /// Returns the seconds after which a refused caller may come back.
    ///
    /// Where calls wait, callers stay away for longer the longer the outage has lasted. `spread` is a random number
    /// from 0 to 1.
    pub(super) fn retry_after_s(self, outage_ms: DurationMs, spread: f64) -> u64 {
        if self.hold_share <= 0.0 {
            return MIN_RETRY_AFTER_MS.0 / 1_000;
        }
        let away_ms = outage_ms.scaled(AWAY_PER_OUTAGE * (0.5 + spread));
        away_ms.clamp(MIN_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS).0 / 1_000
    }
}
