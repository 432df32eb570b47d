//! Watches on the state that all components follow: table, host list, store, zone and process.

use std::sync::Arc;

use ragwortwick_border::{AcceptedTable, CustomerJobs, HostList};
use ragwortwick_core::Epoch;
use tokio::sync::watch;

/// `Lifecycle` is the state of the process as a whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lifecycle {
    /// The process serves requests.
    Running,
    /// A planned stop is under way: the load balancer's check fails, and work in progress is completed.
    Stopping,
}

/// `StateWatches` holds receivers of the latest values; clones receive the same values.
#[derive(Clone, Debug)]
pub struct StateWatches {
    /// Table in force; `None` until one is known.
    pub table: watch::Receiver<Option<Arc<AcceptedTable>>>,
    /// The platform's list of hosts; empty until it is first read.
    pub hosts: watch::Receiver<Arc<HostList>>,
    /// Whether the store replied to the last call.
    pub is_store_reachable: watch::Receiver<bool>,
    /// Epoch under which this host owns its zone; none if it does not own it.
    pub owned_epoch: watch::Receiver<Option<Epoch>>,
    /// Waiting jobs of the zone that this host owns, by customer; empty if it owns none.
    pub waiting_jobs: watch::Receiver<Arc<Vec<CustomerJobs>>>,
    /// State of the process.
    pub lifecycle: watch::Receiver<Lifecycle>,
}
