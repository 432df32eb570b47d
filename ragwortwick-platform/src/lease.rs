//! Leases of the platform's store.

use ragwortwick_border::{LeaseGrant, LeaseRenew, LeaseReply};
use ragwortwick_core::DurationMs;

use crate::{StoreCallKind, StoreClient, StoreError};

impl StoreClient {
    /// `grant_lease` asks for a lease; one whose answer is lost lapses unused.
    ///
    /// # Errors
    ///
    /// Fails if the store gives no answer.
    pub async fn grant_lease(&self, ttl_ms: DurationMs) -> Result<LeaseReply, StoreError> {
        self.call(StoreCallKind::LeaseGrant, &LeaseGrant { ttl_ms })
            .await
    }

    /// `renew_lease` keeps a lease alive; the reply tells whether it still was.
    ///
    /// # Errors
    ///
    /// Fails if the store gives no answer.
    pub async fn renew_lease(&self, lease_id: u64) -> Result<LeaseReply, StoreError> {
        self.call(StoreCallKind::LeaseRenew, &LeaseRenew { lease_id })
            .await
    }

    /// `revoke_lease` gives a lease up with the keys that it holds.
    ///
    /// # Errors
    ///
    /// Fails if the store gives no answer; the lease lapses by itself then.
    pub async fn revoke_lease(&self, lease_id: u64) -> Result<LeaseReply, StoreError> {
        self.call(StoreCallKind::LeaseRevoke, &LeaseRenew { lease_id })
            .await
    }
}
