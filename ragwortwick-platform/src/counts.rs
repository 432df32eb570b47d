//! Counts of store calls by kind.

use std::sync::atomic::{AtomicU64, Ordering};

use ragwortwick_core::common;

/// `StoreCallKind` is the kind of a store call.
#[common(key)]
pub enum StoreCallKind {
    /// Read of one key.
    Get,
    /// Read of a prefix.
    List,
    /// Conditional write.
    Cas,
    /// Wait for changes.
    Watch,
    /// Grant of a lease.
    LeaseGrant,
    /// Renewal of a lease.
    LeaseRenew,
    /// Revocation of a lease.
    LeaseRevoke,
}

impl StoreCallKind {
    /// Every kind, in the order of the counters.
    pub const ALL: [Self; 7] = [
        Self::Get,
        Self::List,
        Self::Cas,
        Self::Watch,
        Self::LeaseGrant,
        Self::LeaseRenew,
        Self::LeaseRevoke,
    ];

    /// `path` gives the path that serves the kind.
    #[must_use]
    pub fn path(self) -> &'static str {
        match self {
            Self::Get => "/v1/get",
            Self::List => "/v1/list",
            Self::Cas => "/v1/cas",
            Self::Watch => "/v1/watch",
            Self::LeaseGrant => "/v1/lease/grant",
            Self::LeaseRenew => "/v1/lease/renew",
            Self::LeaseRevoke => "/v1/lease/revoke",
        }
    }

    /// `label` gives the kind's name in metrics.
    #[must_use]
    pub fn label(self) -> &'static str {
        match self {
            Self::Get => "get",
            Self::List => "list",
            Self::Cas => "cas",
            Self::Watch => "watch",
            Self::LeaseGrant => "lease_grant",
            Self::LeaseRenew => "lease_renew",
            Self::LeaseRevoke => "lease_revoke",
        }
    }
}

/// `CallCounts` counts the calls sent by kind.
#[derive(Debug, Default)]
pub struct CallCounts([AtomicU64; StoreCallKind::ALL.len()]);

impl CallCounts {
    /// `add` counts one call.
    pub fn add(&self, kind: StoreCallKind) {
        self.0[kind as usize].fetch_add(1, Ordering::Relaxed);
    }

    /// `of` gives the calls of a kind so far.
    #[must_use]
    pub fn of(&self, kind: StoreCallKind) -> u64 {
        self.0[kind as usize].load(Ordering::Relaxed)
    }
}
