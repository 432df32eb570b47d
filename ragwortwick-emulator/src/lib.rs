//! Deterministic simulation of the systems around the area coordinator, in virtual time and by seed.
//!
//! It models a store, workers under leases, a network that loses and delays messages, and hosts of which one
//! is elected coordinator. Invariants are checked at each start on a worker and each write to the store.

mod advisor;
mod arrivals;
mod cancelled_runs;
mod coordination;
mod delays;
mod fault_injection;
mod faults;
mod host;
mod invariants;
mod network;
mod orders;
mod runs;
mod simulation;
mod store;
mod submissions;
mod ticks;
mod trace;
mod value;
mod worker;
mod workload;

pub use arrivals::Arrivals;
pub use faults::{Fault, FaultKind, draw_faults, draw_faults_of};
pub use simulation::{Simulation, SimulationOptions, SimulationReport};
pub use value::{JobOutcome, LostWorkCause, ValueAccount, ValueLossCause, ValueReport};
pub use workload::{Burst, Policies, QueueWorkload, TaskDemand, WorkerBehavior, Workload};
