//! The decisions of ragwortwick as deterministic state machines: no I/O, no clock, no threads.
//!
//! Each machine takes the present time and one event and returns the actions to carry out, so that
//! a run can be replayed event by event and compared with a naive twin.

mod request;
mod table;
mod zone;

pub use table::validate_table;
pub use zone::{
    OrderId, RackCapacity, WorkerInfo, ZoneAction, ZoneCapacity, ZoneEvent, ZoneNotice,
    ZoneOptions, ZonePlacer, check_guarantees_pack,
};
