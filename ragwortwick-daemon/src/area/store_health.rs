//! Tracks, from the results of all calls of this host, whether the store is available.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use ragwortwick_adapter::StoreError;
use ragwortwick_core::{DurationMs, TimeMs, log_event};

use crate::Clock;

/// Without a reply for this time the host is not ready. A watch returns or times out within it.
const NOT_READY_AFTER_MS: DurationMs = DurationMs(2_600);

/// Without a reply for this time, and with the newest call failed, no more calls are made for clients.
///
/// A watch brings a reply every second, so this is more than one lost reply.
const UNAVAILABLE_AFTER_MS: DurationMs = DurationMs(1_300);

/// `StoreHealth` records the last reply and whether the newest call failed; clones share it.
#[derive(Clone, Debug)]
pub(super) struct StoreHealth {
    clock: Clock,
    last_reply_at_ms: Arc<AtomicU64>,
    is_failing: Arc<AtomicBool>,
}

impl StoreHealth {
    pub(super) fn open(clock: Clock) -> Self {
        Self {
            clock,
            last_reply_at_ms: Arc::default(),
            is_failing: Arc::default(),
        }
    }

    /// Records the result of a call.
    pub(super) fn record<T>(&self, result: &Result<T, StoreError>) {
        let is_reply = match result {
            Ok(_) | Err(StoreError::LeaseNotFound) => true,
            Err(error) => error.is_relist_required(),
        };
        let was_failing = self.is_failing.swap(!is_reply, Ordering::Relaxed);
        if is_reply {
            self.last_reply_at_ms
                .store(self.clock.now().0, Ordering::Relaxed);
        }
        if was_failing == is_reply {
            let cause = result.as_ref().err().map(ToString::to_string);
            log_event!(
                Info,
                "store_reachable",
                is_reachable = is_reply,
                cause = cause.unwrap_or_default()
            );
        }
    }

    /// Whether the store has replied within `NOT_READY_AFTER_MS`.
    pub(super) fn has_replied_recently(&self) -> bool {
        let last_reply_at = TimeMs(self.last_reply_at_ms.load(Ordering::Relaxed));
        self.clock.now().since(last_reply_at) <= NOT_READY_AFTER_MS
    }

    /// Whether a call for a client would most likely fail.
    pub(super) fn is_unavailable(&self) -> bool {
        let last_reply_at = TimeMs(self.last_reply_at_ms.load(Ordering::Relaxed));
        self.is_failing() && self.clock.now().since(last_reply_at) > UNAVAILABLE_AFTER_MS
    }

    /// How long the store has not replied; zero while the newest call succeeded.
    pub(super) fn outage_ms(&self) -> DurationMs {
        if !self.is_failing() {
            return DurationMs(0);
        }
        let last_reply_at = TimeMs(self.last_reply_at_ms.load(Ordering::Relaxed));
        self.clock.now().since(last_reply_at)
    }

    /// Whether the newest call failed.
    fn is_failing(&self) -> bool {
        self.is_failing.load(Ordering::Relaxed)
    }
}
