//! Events that a zone's placer processes and actions that it returns.

use std::sync::Arc;

use ragwortwick_border::{AcceptedTable, JobRecord, WorkerCommand, WorkerReply};
use ragwortwick_core::{
    CustomerName, DurationMs, Epoch, GangId, JobId, RackName, WorkerName, common,
};

/// `OrderId` matches an order to a worker with its reply; it increases within one ownership.
#[common(key)]
#[derive(Default)]
pub struct OrderId(pub u64);

/// `WorkerInfo` is a worker's entry in the platform's host list.
#[common]
pub struct WorkerInfo {
    /// Name of the worker.
    pub worker: WorkerName,
    /// Rack of the worker.
    pub rack: RackName,
    /// Number of its accelerators.
    pub accelerators: u32,
}

/// `ZoneEvent` is an input to the placer.
#[derive(Clone, Debug, PartialEq)]
pub enum ZoneEvent {
    /// A table took effect on this host.
    TableInForce(Arc<AcceptedTable>),
    /// This host now owns the zone under this epoch; no gang is known to it yet.
    OwnershipGained {
        /// Epoch of the ownership.
        epoch: Epoch,
    },
    /// This host no longer owns the zone; the placer drops all its state.
    OwnershipLost,
    /// The platform lists a live worker.
    WorkerListed(WorkerInfo),
    /// The platform lists the worker as leaving: it gets no new gang, running gangs finish.
    WorkerLeaving(WorkerName),
    /// The platform no longer lists the worker.
    WorkerUnlisted(WorkerName),
    /// A worker replied to an order.
    WorkerReplied {
        /// The worker.
        worker: WorkerName,
        /// The order that the reply belongs to.
        order: OrderId,
        /// The worker's reply.
        reply: WorkerReply,
    },
    /// An order was not sent or got no reply in time; the worker may or may not have executed it.
    OrderTimedOut {
        /// The worker.
        worker: WorkerName,
        /// The order without a reply.
        order: OrderId,
    },
    /// A job of this zone was read from the store; the event may repeat without effect.
    JobFound(JobRecord),
    /// The client cancelled the job.
    JobCancelled(JobId),
    /// The store has the record that `RecordJob` asked to write.
    JobRecorded {
        /// The job.
        job_id: JobId,
        /// Attempt number in the written record.
        attempt: u32,
    },
    /// Time passed.
    Tick,
}

/// `ZoneAction` is an action that the host carries out for the placer.
#[derive(Clone, Debug, PartialEq)]
pub enum ZoneAction {
    /// Send the command to the worker under the current epoch; the reply carries the order's id.
    Order {
        /// Matches the order with its reply.
        order: OrderId,
        /// The worker.
        worker: WorkerName,
        /// The command.
        command: WorkerCommand,
    },
    /// Write the job's record, retrying until it is stored, then send `JobRecorded`.
    RecordJob(JobRecord),
    /// Write the notice to the log and the metrics.
    Notice(ZoneNotice),
}

/// `ZoneNotice` is an event for logs and metrics.
#[derive(Clone, Debug, PartialEq)]
pub enum ZoneNotice {
    /// All members of a gang run.
    GangStarted {
        /// The gang.
        gang_id: GangId,
        /// Its customer.
        customer: CustomerName,
        /// Time since the job was accepted.
        wait_ms: DurationMs,
        /// Whether it runs beyond the guarantee.
        is_borrowed: bool,
    },
    /// A gang ended.
    GangEnded {
        /// The gang.
        gang_id: GangId,
        /// Its customer.
        customer: CustomerName,
        /// End reason as one sentence.
        reason: String,
    },
    /// Borrowed work was stopped and its accelerators went to a guarantee.
    Reclaimed {
        /// Customer whose guarantee was reclaimed.
        customer: CustomerName,
        /// Time from the claim until its accelerators were free.
        reclaim_ms: DurationMs,
    },
    /// A guarantee does not fit the usable workers, or fits again when `cells_short` is 0.
    GuaranteeShort {
        /// The customer.
        customer: CustomerName,
        /// Cells that do not fit.
        cells_short: u32,
    },
    /// A worker was quarantined because of failures, put on trial or trusted again.
    WorkerHealthChanged {
        /// The worker.
        worker: WorkerName,
        /// Its new state.
        state: &'static str,
        /// Why the state changed.
        reason: String,
    },
    /// A worker reported a higher epoch: another host owns the zone.
    Fenced {
        /// The higher epoch.
        epoch: Epoch,
    },
}
