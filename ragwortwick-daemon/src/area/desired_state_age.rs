//! Tracks whether the desired state in force on this host is known to be the newest.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use ragwortwick_core::{DurationMs, TimeMs};

/// Without a confirmation for this time the state may be stale. Longer than one watch without a reply.
const STALE_AFTER_MS: DurationMs = DurationMs(2_600);

/// `DesiredStateAge` records when the store last confirmed that no newer version exists; clones share it.
#[derive(Clone, Debug, Default)]
pub(super) struct DesiredStateAge {
    confirmed_at_ms: Arc<AtomicU64>,
}

impl DesiredStateAge {
    /// Records that the version in force is the newest.
    pub(super) fn confirm(&self, now: TimeMs) {
        self.confirmed_at_ms.store(now.0, Ordering::Relaxed);
    }

    /// Time since the version in force was last known to be the newest.
    pub(super) fn age_ms(&self, now: TimeMs) -> DurationMs {
        now.since(TimeMs(self.confirmed_at_ms.load(Ordering::Relaxed)))
    }

    /// Whether the state is recent enough that a queue or key unknown on this host does not exist.
    pub(super) fn is_fresh(&self, now: TimeMs) -> bool {
        self.age_ms(now) <= STALE_AFTER_MS
    }
}
