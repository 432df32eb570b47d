//! Nonces that distinguish the writes of this process from all others.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use ragwortwick_core::HostName;

/// `NonceGenerator` generates texts that no other writer uses; clones share one counter.
#[derive(Clone, Debug)]
pub(crate) struct NonceGenerator {
    prefix: Arc<str>,
    count: Arc<AtomicU64>,
}

impl NonceGenerator {
    /// `new` creates the generator of one incarnation of the process.
    pub(crate) fn new(host: &HostName, incarnation: u64) -> Self {
        Self {
            prefix: Arc::from(format!("{host}-{incarnation}")),
            count: Arc::default(),
        }
    }

    /// `next` returns a new nonce.
    pub(crate) fn next(&self) -> String {
        let number = self.count.fetch_add(1, Ordering::Relaxed);
        format!("{}-{number}", self.prefix)
    }
}
