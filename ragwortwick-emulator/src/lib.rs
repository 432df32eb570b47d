//! A model of the systems around the area coordinator, in virtual time and by seed.
//!
//! It holds a store, workers under leases, a network that loses and delays, and hosts that
//! coordinate in turn. After each event it checks what must always hold, from what workers see.

mod advisor;
mod arrivals;
mod callers;
mod check;
mod coordination;
mod faults;
mod host;
mod load;
mod network;
mod pool;
mod runs;
mod store;
mod time;
mod troubles;
mod worker;
mod world;
mod worth;

pub use arrivals::Arrivals;
pub use faults::{Fault, FaultKind, draw_faults};
pub use load::{Burst, Load, NeedLoad, QueueLoad};
pub use world::{Options, Report, World};
pub use worth::{Account, LossCause, Outcome, WasteCause, Worth};
