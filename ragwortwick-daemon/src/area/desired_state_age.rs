//! Whether the desired state in force here is known to be the newest.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use ragwortwick_core::{DurationMs, TimeMs};

/// Without a confirmation for so long, versions may be missing; more than one watch that got no answer.
const UNCONFIRMED_AFTER_MS: DurationMs = DurationMs(2_600);

/// `DesiredStateAge` remembers when the store last told that nothing newer exists; clones share it.
#[derive(Clone, Debug, Default)]
pub(super) struct DesiredStateAge {
    confirmed_at_ms: Arc<AtomicU64>,
}

impl DesiredStateAge {
    /// Notes that what is in force is the newest.
    pub(super) fn confirm(&self, now: TimeMs) {
        self.confirmed_at_ms.store(now.0, Ordering::Relaxed);
    }

    /// Time since it was last known to be the newest.
    pub(super) fn age_ms(&self, now: TimeMs) -> DurationMs {
        now.since(TimeMs(self.confirmed_at_ms.load(Ordering::Relaxed)))
    }

    /// Whether a queue or key that is unknown here does not exist.
    pub(super) fn is_fresh(&self, now: TimeMs) -> bool {
        self.age_ms(now) <= UNCONFIRMED_AFTER_MS
    }
}
