//! Placement of gangs in one zone: the state machine that the zone's owner drives.

#[cfg(feature = "test-util")]
mod audit;
mod capacity;
mod cells;
mod defrag;
mod gang;
mod homes;
mod jobs;
mod ledger;
mod lifecycle;
mod messages;
mod orders;
mod placer;
mod pool;
mod quarantine;
mod queue;
mod recovery;
mod report;
mod start;
mod timers;
mod workers;

#[cfg(feature = "test-util")]
pub use audit::{AuditedWorker, GuaranteeAudit, UnusedCell};
pub use capacity::{RackCapacity, ZoneCapacity, check_guarantees_pack};
pub use messages::{OrderId, WorkerInfo, ZoneAction, ZoneEvent, ZoneNotice};
pub use placer::{ZoneOptions, ZonePlacer};
