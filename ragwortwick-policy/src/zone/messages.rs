//! Events that reach a zone's placer and actions that it asks for.

use std::sync::Arc;

use ragwortwick_border::{AcceptedTable, JobRecord, WorkerCommand, WorkerReply};
use ragwortwick_core::{
    CustomerName, DurationMs, Epoch, GangId, JobId, RackName, WorkerName, common,
};

/// `OrderId` pairs an order to a worker with its answer; it counts up within one ownership.
#[common(key)]
#[derive(Default)]
pub struct OrderId(pub u64);

/// `WorkerInfo` is what the platform's host list says of a worker.
#[common]
pub struct WorkerInfo {
    /// Name of the worker.
    pub worker: WorkerName,
    /// Rack that it stands in.
    pub rack: RackName,
    /// Number of its accelerators.
    pub accelerators: u32,
}

/// `ZoneEvent` is something that the placer learns.
#[derive(Clone, Debug, PartialEq)]
pub enum ZoneEvent {
    /// A table is in force here.
    TableInForce(Arc<AcceptedTable>),
    /// This host owns the zone from now on under this epoch; nothing about gangs is known yet.
    OwnershipGained {
        /// Epoch of the ownership.
        epoch: Epoch,
    },
    /// This host owns the zone no longer; all that was known is dropped.
    OwnershipLost,
    /// The platform lists a live worker.
    WorkerListed(WorkerInfo),
    /// The platform lists the worker as leaving: no new gang, running ones finish.
    WorkerLeaving(WorkerName),
    /// The platform no longer lists the worker.
    WorkerUnlisted(WorkerName),
    /// A worker answered an order.
    WorkerReplied {
        /// The worker.
        worker: WorkerName,
        /// The order answered.
        order: OrderId,
        /// Its answer.
        reply: WorkerReply,
    },
    /// An order was not sent or got no reply in time; the worker may or may not have executed it.
    OrderTimedOut {
        /// The worker.
        worker: WorkerName,
        /// The order without a reply.
        order: OrderId,
    },
    /// A job of this zone is in the store, new or found again; repeats of an event are harmless.
    JobFound(JobRecord),
    /// The caller cancels the job.
    JobCancelled(JobId),
    /// The write that `RecordJob` asked for is in the store.
    JobRecorded {
        /// The job.
        job_id: JobId,
        /// Attempt in the record that was written.
        attempt: u32,
    },
    /// Time passed.
    Tick,
}

/// `ZoneAction` is something that the placer asks its host to do.
#[derive(Clone, Debug, PartialEq)]
pub enum ZoneAction {
    /// Send the command to the worker under the current epoch and answer with the order's id.
    Order {
        /// Pairs the order with its answer.
        order: OrderId,
        /// The worker.
        worker: WorkerName,
        /// The command.
        command: WorkerCommand,
    },
    /// Write the job's record and answer `JobRecorded`; retried until written.
    RecordJob(JobRecord),
    /// Log and count.
    Notice(ZoneNotice),
}

/// `ZoneNotice` is a fact for logs and metrics.
#[derive(Clone, Debug, PartialEq)]
pub enum ZoneNotice {
    /// A gang runs whole.
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
        /// Why, as one sentence.
        reason: String,
    },
    /// Borrowed work made room for a guarantee.
    Reclaimed {
        /// Customer that got its guarantee back.
        customer: CustomerName,
        /// Time from the call to free accelerators.
        reclaim_ms: DurationMs,
    },
    /// A guarantee no longer fits on the workers that are left.
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
        /// The failures or the success that led to the state.
        reason: String,
    },
    /// A worker saw a higher epoch: another host owns the zone.
    Fenced {
        /// The higher epoch.
        epoch: Epoch,
    },
}
