//! Whether the store can be reached from this host, as seen from all its calls.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use ragwortwick_adapter::StoreError;
use ragwortwick_core::{DurationMs, TimeMs, log_event};

use crate::Clock;

/// Without an answer for so long the store counts as away; a watch answers or ends within it.
const AWAY_AFTER_MS: DurationMs = DurationMs(2_600);

/// Without an answer for so long, and with the newest call failed, nothing new is sent for callers.
///
/// A watch brings an answer every second, so this is more than one lost answer.
const SILENT_AFTER_MS: DurationMs = DurationMs(1_300);

/// `StoreHealth` remembers the last answer; clones share it.
#[derive(Clone, Debug)]
pub(super) struct StoreHealth {
    clock: Clock,
    last_answer_ms: Arc<AtomicU64>,
    /// Whether the newest call failed.
    is_failing: Arc<AtomicBool>,
}

impl StoreHealth {
    pub(super) fn open(clock: Clock) -> Self {
        Self {
            clock,
            last_answer_ms: Arc::default(),
            is_failing: Arc::default(),
        }
    }

    /// Notes how a call went.
    pub(super) fn record<T>(&self, result: &Result<T, StoreError>) {
        let is_answer = match result {
            Ok(_) | Err(StoreError::LeaseNotFound) => true,
            Err(failure) => failure.is_relist_required(),
        };
        let was_failing = self.is_failing.swap(!is_answer, Ordering::Relaxed);
        if is_answer {
            self.last_answer_ms
                .store(self.clock.now().0, Ordering::Relaxed);
        }
        if was_failing == is_answer {
            let cause = result.as_ref().err().map(ToString::to_string);
            log_event!(
                Info,
                "store_reachable",
                is_reachable = is_answer,
                cause = cause.unwrap_or_default()
            );
        }
    }

    /// Whether the store answered lately.
    pub(super) fn has_answered_recently(&self) -> bool {
        let last = TimeMs(self.last_answer_ms.load(Ordering::Relaxed));
        self.clock.now().since(last) <= AWAY_AFTER_MS
    }

    /// Whether a call for a caller would be in vain.
    pub(super) fn is_unavailable(&self) -> bool {
        let last = TimeMs(self.last_answer_ms.load(Ordering::Relaxed));
        self.is_failing() && self.clock.now().since(last) > SILENT_AFTER_MS
    }

    /// Whether the newest call failed.
    fn is_failing(&self) -> bool {
        self.is_failing.load(Ordering::Relaxed)
    }
}
