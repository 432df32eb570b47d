//! Tombstones of jobs that were cancelled before they were created.
//!
//! A cancel may overtake the creation of its job: the store carries the creation out late, or its host sends
//! it again. Each creation expects the job's cancel key to be absent, so a tombstone under that key prevents
//! it. Tombstones are bound to a lease that is never renewed: the store removes them, also if their host is
//! gone.

use std::sync::Arc;

use ragwortwick_adapter::{StoreClient, StoreError};
use ragwortwick_core::{DurationMs, TimeMs};
use tokio::sync::Mutex;

use super::store_health::StoreHealth;
use crate::Clock;

/// Time to live of the leases. New tombstones are bound to a lease during the first half, so each one lasts
/// for at least the other half; creations are carried out or repeated within seconds.
const LEASE_TTL_MS: DurationMs = DurationMs(120_000);

/// Maximum number of tombstones bound to one lease, so that a client that cancels jobs that don't exist
/// can't fill the store.
pub(super) const MAX_TOMBSTONES_PER_LEASE: u32 = 250;

/// `TombstoneLease` is the lease to which new tombstones are bound.
#[derive(Clone, Copy, Debug)]
struct TombstoneLease {
    lease_id: u64,
    /// New tombstones need another lease from this time on.
    usable_until: TimeMs,
    tombstones: u32,
}

/// `TombstoneLeases` grants the leases of this host's tombstones; clones share them.
#[derive(Clone, Debug)]
pub(super) struct TombstoneLeases {
    store: StoreClient,
    health: StoreHealth,
    clock: Clock,
    current: Arc<Mutex<Option<TombstoneLease>>>,
}

impl TombstoneLeases {
    pub(super) fn open(store: StoreClient, health: StoreHealth, clock: Clock) -> Self {
        Self {
            store,
            health,
            clock,
            current: Arc::default(),
        }
    }

    /// Returns the lease for one more tombstone; requests a lease if the current one is too old.
    pub(super) async fn reserve(&self) -> Result<u64, StoreError> {
        // Concurrent cancels wait for one lease instead of requesting several.
        let mut current = self.current.lock().await;
        let now = self.clock.now();
        let mut lease = match current.filter(|lease| now < lease.usable_until) {
            Some(lease) => lease,
            None => self.request_lease(now).await?,
        };
        if lease.tombstones >= MAX_TOMBSTONES_PER_LEASE {
            let cause = "too many cancels of jobs that don't exist";
            return Err(StoreError::Refused(cause.to_owned()));
        }
        lease.tombstones += 1;
        *current = Some(lease);
        Ok(lease.lease_id)
    }

    async fn request_lease(&self, now: TimeMs) -> Result<TombstoneLease, StoreError> {
        let granted = self.store.grant_lease(LEASE_TTL_MS).await;
        self.health.record(&granted);
        let (lease_id, ttl_ms) = granted?;
        Ok(TombstoneLease {
            lease_id,
            usable_until: now + DurationMs(ttl_ms.0 / 2),
            tombstones: 0,
        })
    }

    /// Returns a reservation that was not used.
    pub(super) async fn release(&self, lease_id: u64) {
        let mut current = self.current.lock().await;
        if let Some(lease) = current.as_mut().filter(|lease| lease.lease_id == lease_id) {
            lease.tombstones = lease.tombstones.saturating_sub(1);
        }
    }

    /// Discards a lease that the store no longer knows.
    pub(super) async fn discard(&self, lease_id: u64) {
        let mut current = self.current.lock().await;
        if current.is_some_and(|lease| lease.lease_id == lease_id) {
            *current = None;
        }
    }
}
