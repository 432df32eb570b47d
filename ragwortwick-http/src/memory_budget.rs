//! An amount of memory that requests share.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use tokio::sync::Notify;
use tokio::sync::futures::Notified;

/// `MemoryBudget` is the memory that the requests of a process may hold together; clones share it.
#[derive(Clone, Debug)]
pub struct MemoryBudget(Arc<Shared>);

#[derive(Debug)]
struct Shared {
    limit_bytes: usize,
    used_bytes: AtomicUsize,
    released: Notify,
}

impl MemoryBudget {
    /// `new` creates a budget of the given size.
    #[must_use]
    pub fn new(limit_bytes: usize) -> Self {
        Self(Arc::new(Shared {
            limit_bytes,
            used_bytes: AtomicUsize::new(0),
            released: Notify::new(),
        }))
    }

    /// `used_bytes` returns how much is reserved.
    #[must_use]
    pub fn used_bytes(&self) -> usize {
        self.0.used_bytes.load(Ordering::Relaxed)
    }

    /// Starts a reservation that holds nothing yet.
    pub(crate) fn reservation(&self) -> MemoryReservation {
        MemoryReservation {
            budget: self.clone(),
            bytes: 0,
        }
    }

    /// Completes once memory is released after this call.
    pub(crate) fn released(&self) -> Notified<'_> {
        self.0.released.notified()
    }

    fn take(&self, bytes: usize) -> bool {
        let limit_bytes = self.0.limit_bytes;
        let used = &self.0.used_bytes;
        let taken = used.fetch_update(Ordering::AcqRel, Ordering::Acquire, |used| {
            used.checked_add(bytes).filter(|&used| used <= limit_bytes)
        });
        taken.is_ok()
    }
}

/// `MemoryReservation` is the part of a budget that one request holds until it is dropped.
#[derive(Debug)]
pub struct MemoryReservation {
    budget: MemoryBudget,
    bytes: usize,
}

impl MemoryReservation {
    /// `bytes` returns how much it holds.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// `try_resize` changes how much it holds; returns whether the budget allows that.
    pub fn try_resize(&mut self, bytes: usize) -> bool {
        if bytes > self.bytes {
            if !self.budget.take(bytes - self.bytes) {
                return false;
            }
        } else {
            self.release(self.bytes - bytes);
        }
        self.bytes = bytes;
        true
    }

    fn release(&self, bytes: usize) {
        if bytes > 0 {
            let shared = &self.budget.0;
            shared.used_bytes.fetch_sub(bytes, Ordering::AcqRel);
            shared.released.notify_waiters();
        }
    }
}

impl Drop for MemoryReservation {
    fn drop(&mut self) {
        self.release(self.bytes);
    }
}
