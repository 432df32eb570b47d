//! Facts that every duty follows: the table in force, the host list and the process's own state.

use std::sync::Arc;

use ragwortwick_border::{AcceptedTable, CustomerJobs, HostList};
use ragwortwick_core::Epoch;
use tokio::sync::watch;

/// `Lifecycle` is the state of the process as a whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lifecycle {
    /// Serving.
    Running,
    /// A planned stop is under way: the balancer's check fails, begun work is finished.
    Stopping,
}

/// `StateWatches` gives receivers that always hold the latest fact; clones follow the same facts.
#[derive(Clone, Debug)]
pub struct StateWatches {
    /// The table in force; `None` until one was seen.
    pub table: watch::Receiver<Option<Arc<AcceptedTable>>>,
    /// The platform's list of hosts; empty until it was read.
    pub hosts: watch::Receiver<Arc<HostList>>,
    /// Whether the store answered the last call.
    pub is_store_reachable: watch::Receiver<bool>,
    /// Epoch under which this host owns its zone.
    pub owned_epoch: watch::Receiver<Option<Epoch>>,
    /// Waiting jobs of the zone that this host owns, by customer; empty if it owns none.
    pub waiting_jobs: watch::Receiver<Arc<Vec<CustomerJobs>>>,
    /// State of the process.
    pub lifecycle: watch::Receiver<Lifecycle>,
}
