//! What reaches the zone duty's ring.

use std::sync::Arc;
use std::time::Duration;

use ragwortwick_border::{AcceptedTable, HostList, JobRecord, WorkerReply, ZoneStatus};
use ragwortwick_core::{Epoch, JobId, WorkerName};
use ragwortwick_policy::OrderId;
use tokio::sync::oneshot;

use crate::EventLoopSender;

/// `ZoneDutyEvent` is something that the zone duty learns or is asked.
#[derive(Debug)]
pub(crate) enum ZoneDutyEvent {
    /// This host owns the zone from now on.
    Gained(Epoch),
    /// This host owns the zone no longer.
    Lost,
    /// A table is in force.
    Table(Arc<AcceptedTable>),
    /// The platform's list of hosts changed.
    Hosts(Arc<HostList>),
    /// A worker answered an order, or did not within the time.
    Answered(OrderAnswer),
    /// A job of the zone is in the store.
    JobFound(JobRecord),
    /// A job is to be cancelled.
    JobCancelled(JobId),
    /// A record asked for is in the store.
    JobRecorded {
        /// Epoch under which it was asked for.
        epoch: Epoch,
        /// The job.
        job_id: JobId,
        /// Attempt in the record.
        attempt: u32,
    },
    /// Someone asks for the owner's view.
    Status(oneshot::Sender<Option<ZoneStatus>>),
    /// Someone asks why a job waits.
    Why(JobId, oneshot::Sender<Option<String>>),
}

/// `OrderAnswer` is the answer to one order, or its absence.
#[derive(Debug)]
pub(crate) struct OrderAnswer {
    /// Epoch under which the order was given.
    pub(crate) epoch: Epoch,
    /// The worker.
    pub(crate) worker: WorkerName,
    /// The order.
    pub(crate) order: OrderId,
    /// The answer; `None` if there was none in time.
    pub(crate) reply: Option<WorkerReply>,
}

/// Pause before another try at a full ring; short against every interval of the zone.
const FULL_RING_PAUSE: Duration = Duration::from_millis(5);

/// `deliver` waits, without holding up the runtime, until the ring has a place.
///
/// An answer of a worker that got lost here would leave accelerators held for nobody.
pub(crate) async fn deliver(ring: &EventLoopSender<ZoneDutyEvent>, mut event: ZoneDutyEvent) {
    while let Err(full) = ring.try_send(event) {
        if ring.is_closed() {
            return;
        }
        event = full.0;
        tokio::time::sleep(FULL_RING_PAUSE).await;
    }
}
