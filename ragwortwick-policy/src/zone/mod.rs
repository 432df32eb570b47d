//! Placement of gangs in one zone: the state machine that the zone's owner drives.

mod messages;
mod placer;

pub use messages::{OrderId, WorkerInfo, ZoneAction, ZoneEvent, ZoneNotice};
pub use placer::{ZoneOptions, ZonePlacer};
