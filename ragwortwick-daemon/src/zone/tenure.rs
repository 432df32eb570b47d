//! The permission to act in the zone, checked by every thread right before an order leaves.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use ragwortwick_core::{Epoch, TimeMs};

/// `Tenure` holds the epoch and the end of the permission to act; clones share it.
#[derive(Clone, Debug, Default)]
pub struct Tenure {
    inner: Arc<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    epoch: AtomicU64,
    act_until_ms: AtomicU64,
    record_until_ms: AtomicU64,
}

impl Tenure {
    /// `set` gives the permission for one epoch until a time, under a live lease.
    pub fn set(&self, epoch: Epoch, act_until: TimeMs) {
        self.hold(epoch, act_until);
        self.inner
            .record_until_ms
            .store(act_until.0, Ordering::SeqCst);
    }

    /// `hold` goes on with the permission to act while the store is away and the lease has lapsed.
    pub fn hold(&self, epoch: Epoch, act_until: TimeMs) {
        self.inner.epoch.store(epoch.0, Ordering::SeqCst);
        self.inner.act_until_ms.store(act_until.0, Ordering::SeqCst);
    }

    /// `clear` takes the permission away.
    pub fn clear(&self) {
        self.inner.epoch.store(0, Ordering::SeqCst);
        self.inner.act_until_ms.store(0, Ordering::SeqCst);
        self.inner.record_until_ms.store(0, Ordering::SeqCst);
    }

    /// `may_record_start` tells whether the start of a job may be recorded now.
    ///
    /// An owner that goes on without the store can be replaced the moment the store is back. A start
    /// that it records then is found by the next owner, which can't rule out that the job ran and
    /// ends it as "may have run". Under a live lease there is no next owner yet.
    #[must_use]
    pub fn may_record_start(&self, now: TimeMs, epoch: Epoch) -> bool {
        self.may_act(now, epoch) && now.0 < self.inner.record_until_ms.load(Ordering::SeqCst)
    }

    /// `may_act` tells whether an order under the epoch may leave now.
    ///
    /// The lease can lapse while this process is frozen; the symptom is two owners in one zone.
    /// Asking right before each order bounds the window to the time between this check and the
    /// send, and an order that slips through it is refused by workers that saw the next epoch.
    #[must_use]
    pub fn may_act(&self, now: TimeMs, epoch: Epoch) -> bool {
        self.is_current(epoch) && now.0 < self.inner.act_until_ms.load(Ordering::SeqCst)
    }

    /// `is_current` tells whether the epoch is the one that this host took last.
    #[must_use]
    pub fn is_current(&self, epoch: Epoch) -> bool {
        self.inner.epoch.load(Ordering::SeqCst) == epoch.0
    }

    /// `owned_epoch` gives the epoch if this host may act now.
    #[must_use]
    pub fn owned_epoch(&self, now: TimeMs) -> Option<Epoch> {
        let epoch = Epoch(self.inner.epoch.load(Ordering::SeqCst));
        self.may_act(now, epoch).then_some(epoch)
    }
}
