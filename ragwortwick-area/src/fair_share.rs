//! Weighted fair sharing, among customers, of the capacity that no guarantee covers.
//!
//! The load: a backlog to which one customer contributes most, or whose work is worth more for each accelerator.
//! Ordered by value alone, that customer gets all capacity as it becomes free, and jobs of others wait behind its flood. The
//! customer with the smallest dominant share (the largest of its shares of processors, memory and accelerators)
//! is next in turn, with its most valuable step, so that a flood delays the customer that sends it.

use std::collections::{BTreeMap, VecDeque};

use ragwortwick_core::CustomerName;

use crate::job::Resources;

/// `CustomerWeights` are the customers' weights; one that is not named has weight 1.
pub type CustomerWeights = BTreeMap<CustomerName, f64>;

/// `Contender` is a step that waits for capacity.
#[derive(Clone, Debug)]
pub(crate) struct Contender<T> {
    pub(crate) customer: CustomerName,
    /// Resources that all its waiting tasks need.
    pub(crate) demand: Resources,
    pub(crate) step: T,
}

/// Returns the steps in the order in which they get capacity; those of one customer keep their order.
pub(crate) fn in_turn<T>(
    contenders: Vec<Contender<T>>,
    mut used: BTreeMap<CustomerName, Resources>,
    capacity: Resources,
    weights: &CustomerWeights,
) -> Vec<T> {
    let count = contenders.len();
    let mut queues: BTreeMap<CustomerName, VecDeque<Contender<T>>> = BTreeMap::new();
    for contender in contenders {
        let queue = queues.entry(contender.customer.clone()).or_default();
        queue.push_back(contender);
    }
    let mut ordered = Vec::with_capacity(count);
    while let Some(customer) = next_in_turn(&queues, &used, capacity, weights) {
        let Some(queue) = queues.get_mut(&customer) else {
            break;
        };
        if let Some(contender) = queue.pop_front() {
            let used = used.entry(customer.clone()).or_default();
            *used = used.plus(contender.demand);
            ordered.push(contender.step);
        }
        if queue.is_empty() {
            queues.remove(&customer);
        }
    }
    ordered
}

/// Returns the customer with waiting steps whose weighted dominant share is the smallest.
fn next_in_turn<T>(
    queues: &BTreeMap<CustomerName, VecDeque<Contender<T>>>,
    used: &BTreeMap<CustomerName, Resources>,
    capacity: Resources,
    weights: &CustomerWeights,
) -> Option<CustomerName> {
    let share = |customer: &CustomerName| {
        let used = used.get(customer).copied().unwrap_or_default();
        let weight = weights.get(customer).copied().unwrap_or(1.0);
        used.dominant_share(capacity) / weight
    };
    let customers = queues.keys();
    let next = customers.min_by(|a, b| share(a).total_cmp(&share(b)));
    next.cloned()
}
