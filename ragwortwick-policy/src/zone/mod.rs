//! Placement of gangs in one zone: the state machine that the zone's owner drives.

mod capacity;
mod cells;
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

pub use capacity::{RackCapacity, ZoneCapacity, check_guarantees_pack};
pub use messages::{OrderId, WorkerInfo, ZoneAction, ZoneEvent, ZoneNotice};
pub use placer::{ZoneOptions, ZonePlacer};
