//! Placement of gangs in one zone: the state machine that the zone's owner drives.

mod capacity;
mod cells;
mod messages;
mod placer;
mod pool;

pub use capacity::{RackCapacity, ZoneCapacity, check_guarantees_pack};
pub use messages::{OrderId, WorkerInfo, ZoneAction, ZoneEvent, ZoneNotice};
pub use placer::{ZoneOptions, ZonePlacer};
