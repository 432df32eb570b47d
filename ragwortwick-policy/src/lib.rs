//! The decisions of ragwortwick as deterministic state machines: no I/O, no clock, no threads.
//!
//! Each machine takes the present time and one event and returns the actions to carry out, so that
//! a run can be replayed event by event and compared with a naive twin.

mod request;
mod table;
mod zone;

pub use request::{
    Arrival, Begin, ClaimOutcome, Dispatcher, DispatcherLoad, DispatcherOptions, HOME_WINDOW_MS,
    IssuedId, IssuedIdState, RefusalSeen, RequestAction, RequestEvent, RequestNotice, RunKey,
    RunLog, RunLogOptions, RunnerInfo, RunnerLoadSeen, Settlement, Ticket, TryOutcome,
};
pub use table::{Packing, review_packing, table_changes, table_effects, validate_table};
#[cfg(feature = "test-util")]
pub use zone::{AuditedWorker, GuaranteeAudit, UnusedCell};
pub use zone::{
    OrderId, RackCapacity, WorkerInfo, ZoneAction, ZoneCapacity, ZoneEvent, ZoneNotice,
    ZoneOptions, ZonePlacer, check_guarantees_pack,
};
