//! Nonces that tell the writes of this process from all others.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use ragwortwick_core::HostName;

/// `NonceGenerator` gives texts that no other writer uses; clones count together.
#[derive(Clone, Debug)]
pub(crate) struct NonceGenerator {
    prefix: Arc<str>,
    count: Arc<AtomicU64>,
}

impl NonceGenerator {
    /// `new` starts the count of one start of the process.
    pub(crate) fn new(host: &HostName, incarnation: u64) -> Self {
        Self {
            prefix: Arc::from(format!("{host}-{incarnation}")),
            count: Arc::default(),
        }
    }

    /// `next` gives a fresh nonce.
    pub(crate) fn next(&self) -> String {
        let number = self.count.fetch_add(1, Ordering::Relaxed);
        format!("{}-{number}", self.prefix)
    }
}
