//! Test doubles of the users' platform, built from its published protocol: store, workers and advisor.

mod advisor;
mod completions;
mod fleet;
mod store;
mod store_routes;
mod worker_routes;
mod workers;

pub use completions::RepeatedRun;
pub use fleet::{AreaFleet, AreaOptions, area_job, desired, wide_job};
pub use store::{AreaStore, KvItem, StoreFault};
pub use workers::{AreaWorkers, StartedRun, WorkerPoolOptions};
