//! Placement of gangs in one zone: the state machine that the owning host of the zone runs.

#[cfg(feature = "test-util")]
mod audit;
mod bindings;
mod capacity;
mod cells;
mod claims;
mod defrag;
mod gang;
mod jobs;
mod ledger;
mod lifecycle;
mod members;
mod messages;
mod orders;
mod placer;
mod places;
mod pool;
mod quarantine;
mod queue;
mod recovery;
mod report;
mod settle;
mod start;
mod timers;
mod tradeoff;
mod workers;

#[cfg(feature = "test-util")]
pub use audit::{AuditedWorker, GuaranteeAudit, UnusedCell};
pub use capacity::{RackCapacity, ZoneCapacity, check_guarantees_pack};
pub use messages::{OrderId, WorkerInfo, ZoneAction, ZoneEvent, ZoneNotice};
pub use placer::{ZoneOptions, ZonePlacer};
