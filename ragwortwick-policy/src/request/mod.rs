//! Decisions on short requests: admission, order, runner choice, retries, and ids of one home.

mod dispatcher;
mod entry;
mod home_ids;
mod lifecycle;
mod limits;
mod messages;
mod queue;
mod retry;
mod run_log;
mod runners;
mod standing;
mod steps;
mod tries;

pub use dispatcher::{Dispatcher, DispatcherLoad, DispatcherOptions};
pub use home_ids::{HOME_WINDOW_MS, IssuedId, IssuedIdState};
pub use messages::{
    Arrival, ClaimOutcome, RefusalSeen, RequestAction, RequestEvent, RequestNotice, RunnerInfo,
    RunnerLoadSeen, Ticket, TryOutcome,
};
pub use run_log::{Begin, RunKey, RunLog, RunLogOptions, Settlement};
