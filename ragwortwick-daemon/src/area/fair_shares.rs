//! Divides a limited amount among customers, so that one customer alone can't exhaust it.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use ragwortwick_core::CustomerName;

/// `FairShares` is what each customer uses of an amount.
#[derive(Clone, Debug, Default)]
pub(super) struct FairShares {
    total: usize,
    by_customer: HashMap<CustomerName, usize>,
}

impl FairShares {
    pub(super) fn total(&self) -> usize {
        self.total
    }

    /// Whether a customer may use more of an amount: each may use as much as is left for all others.
    ///
    /// The bound follows from what is free (a dynamic threshold), so it needs no number of customers. It leaves half of
    /// the amount to the others of one customer, a third to those of two, and so on.
    pub(super) fn admits(&self, customer: &CustomerName, amount: usize, limit: usize) -> bool {
        let free = limit.saturating_sub(self.total);
        let used = self.by_customer.get(customer).copied().unwrap_or(0);
        amount <= free.saturating_sub(used)
    }

    pub(super) fn add(&mut self, customer: &CustomerName, amount: usize) {
        self.total += amount;
        *self.by_customer.entry(customer.clone()).or_default() += amount;
    }

    pub(super) fn remove(&mut self, customer: &CustomerName, amount: usize) {
        self.total = self.total.saturating_sub(amount);
        if let Some(used) = self.by_customer.get_mut(customer) {
            *used = used.saturating_sub(amount);
            if *used == 0 {
                self.by_customer.remove(customer);
            }
        }
    }
}

/// `StoreCallSlots` bounds the requests of clients that use the store at the same time; clones share them.
#[derive(Clone, Debug)]
pub(super) struct StoreCallSlots {
    limit: usize,
    shares: Arc<Mutex<FairShares>>,
}

/// `StoreCallSlot` is the slot of one request until it is dropped.
#[derive(Debug)]
pub(super) struct StoreCallSlot {
    slots: StoreCallSlots,
    customer: CustomerName,
}

impl StoreCallSlots {
    pub(super) fn new(limit: usize) -> Self {
        Self {
            limit,
            shares: Arc::default(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, FairShares> {
        self.shares.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes a slot for a request of the customer; none if they are in use.
    pub(super) fn take(&self, customer: &CustomerName) -> Option<StoreCallSlot> {
        let mut shares = self.lock();
        shares.admits(customer, 1, self.limit).then(|| {
            shares.add(customer, 1);
            StoreCallSlot {
                slots: self.clone(),
                customer: customer.clone(),
            }
        })
    }
}

impl Drop for StoreCallSlot {
    fn drop(&mut self) {
        self.slots.lock().remove(&self.customer, 1);
    }
}
