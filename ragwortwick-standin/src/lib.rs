//! Small stand-ins for the platform, workers and runners, with fault knobs; never shipped.

mod admin;
mod area;
mod body;
mod clock;
mod faults;
mod fleet;
mod relay;
mod runners;
mod start_log;
mod store;
mod usage;
mod workers;

pub use area::{
    AreaFleet, AreaOptions, AreaStore, AreaWorkers, KvItem, RepeatedRun, StartedRun, StoreFault,
    WorkerPoolOptions, area_job, desired, wide_job,
};
pub use clock::now;
pub use faults::{Faults, Gate};
pub use fleet::{
    Caller, Daemon, DaemonOptions, Fleet, FleetError, FleetOptions, PathBytes, ZonePaths,
    sample_accept, sample_answer, sample_job, sample_request, sample_table, wait_until,
};
pub use relay::{Relay, RelayMode};
pub use runners::{Runner, RunnerOptions, Runners, RunnersOptions};
pub use start_log::{LogEntry, LogEvent, StartLog};
pub use store::{Store, StoreState};
pub use usage::{processor_seconds, resident_kb};
pub use workers::{WorkerSpec, Workers, WorkersState};
