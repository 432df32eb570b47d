//! Clients of the platform: store, leases, watches, host list and worker agents.
//!
//! Every call is bounded in time and counted, and every failure says whether the call may have had
//! an effect.

mod budget;
mod counts;
mod host_list;
mod lease;
mod retry;
mod store_client;
mod store_error;
mod watch;
mod worker_client;
mod write;

pub use budget::{CallBudget, CallBudgetOptions};
pub use counts::{CallCounts, StoreCallKind};
pub use host_list::{HostListOptions, HostListPoller};
pub use retry::{Backoff, BackoffOptions};
pub use store_client::{Listing, StoreClient, StoreOptions};
pub use store_error::StoreError;
pub use watch::{PrefixWatch, WatchNews};
pub use worker_client::{WorkerClient, WorkerClientOptions};
pub use write::{StoreWrite, WriteOutcome};
