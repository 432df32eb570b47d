//! Core types shared by all packages: ids, units, verdicts, errors, log lines and state charts.

mod chart;
mod error;
mod ids;
mod log_line;
mod units;
mod verdict;

pub use chart::{ChartSymbol, StateChart, Transition};
pub use error::{Error, Result};
pub use ids::{
    ClassName, CustomerName, GangId, HostName, JobId, LabelName, PoolName, RackName, RequestId,
    WorkerName, ZoneName,
};
pub use log_line::LogValue;
pub use ragwortwick_macros::common;
pub use units::{DurationMs, Epoch, Revision, TimeMs};
pub use verdict::{NotRunReason, Verdict};

#[doc(hidden)]
pub use log;
