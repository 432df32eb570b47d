//! Events that the coordinator receives and actions that it requests.

use std::fmt;
use std::sync::Arc;

use ragwortwick_core::{
    DurationMs, JobId, LabelName, PoolName, RackName, TimeMs, WorkerName, ZoneName,
};

use crate::accounting::{JobAccounting, RunEndReason};
use crate::admission::LoadPicture;
use crate::desired::DesiredState;
use crate::evacuation::{EvacuatedZones, EvacuationChange};
use crate::job::{JobRecord, Resources, StepId, TaskId};
use crate::losses::WorkerLossReport;
use crate::preemption::Preemption;
use crate::progress::JobProgress;
use crate::speed_record::SpeedRecord;
use crate::unstored_results::RunResult;
use crate::untracked_runs::UntrackedRun;

/// `WorkerEntry` is the entry of a worker in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerEntry {
    /// Name of this incarnation of the worker; a restarted worker has a new one, at times with its identity.
    pub name: WorkerName,
    /// Address of the worker's API as ip:port.
    pub address: Arc<str>,
    /// Pool that the worker belongs to.
    pub pool: PoolName,
    /// Availability zone.
    pub zone: ZoneName,
    /// Rack.
    pub rack: RackName,
    /// Labels of the worker.
    pub labels: Arc<[LabelName]>,
    /// Total resources of the worker.
    pub capacity: Resources,
    /// Whether the worker is about to leave.
    pub is_draining: bool,
    /// Minimum time until a draining worker leaves.
    pub remaining_ms: Option<DurationMs>,
    /// The worker's clock when it wrote the entry.
    pub clock_ms: Option<u64>,
}

/// `EndKind` is how a run ended according to its worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndKind {
    /// The run completed its work.
    Done,
    /// The run failed, because of the task or the worker.
    Failed,
    /// The run was stopped by an order.
    Stopped,
    /// The lease of the worker expired.
    LeaseExpired,
    /// Another member of its gang ended.
    GangBroken,
    /// The other members of the gang did not start in time.
    GangIncomplete,
}

/// `RunningTask` is one run in progress on a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunningTask {
    /// The task.
    pub task: TaskId,
    /// Number of the run.
    pub run: u32,
    /// Newest checkpoint, empty if there is none.
    pub checkpoint: Arc<str>,
    /// Completed share of the work in per cent.
    pub percent: u32,
    /// Approximate load over the last half second: the tail latency in milliseconds of a latency-sensitive
    /// task, or the processor use of any other task in thousandths of a core.
    pub load: u32,
}

/// `EndedTask` is a run end that a worker reports until the coordinator acknowledges it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndedTask {
    /// Sequence number in the worker's list of run ends.
    pub sequence: u64,
    /// The task.
    pub task: TaskId,
    /// Number of the run.
    pub run: u32,
    /// How the run ended.
    pub kind: EndKind,
    /// Newest checkpoint, empty if there is none.
    pub checkpoint: Arc<str>,
}

/// `WorkerReport` is the reply of a worker to a poll.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WorkerReport {
    /// The worker's clock.
    pub clock_ms: u64,
    /// All runs in progress.
    pub running: Vec<RunningTask>,
    /// Run ends that are not acknowledged yet, the earliest first.
    pub ended: Vec<EndedTask>,
    /// Whether the worker may have run ends that it lists only once those in `ended` are acknowledged.
    pub has_more_ends: bool,
}

/// `PollFailure` is why a poll returned no report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PollFailure {
    /// Another incarnation of the worker replied at the address.
    WrongLife,
    /// A later incarnation replied that shares the worker's identity, so that it accepts the worker's orders.
    Restarted,
    /// The worker has received a fencing token of a later term.
    Fenced,
    /// The connection was refused or closed by the remote host.
    Closed,
    /// No reply arrived in time, or the reply could not be decoded.
    NoAnswer,
}

/// `OrderReply` is the result of an order to a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderReply {
    /// The worker accepted the order.
    Accepted {
        /// The worker's clock.
        clock_ms: u64,
    },
    /// The worker refused the order and will never execute it.
    Refused(RefusalCause),
    /// Another incarnation of the worker replied at the address.
    WrongLife,
    /// No reply arrived; the worker may execute the order, even later.
    Unknown,
}

/// `RefusalCause` is why a worker refused an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalCause {
    /// The worker has received a higher fencing token from another coordinator.
    Fenced,
    /// The run number is not higher than that of a run that ended or was stopped there.
    StaleRun,
    /// The lease in the order has expired.
    LeaseOver,
    /// The free capacity is insufficient.
    NoRoom,
    /// The worker is unhealthy and ignored the order.
    Unhealthy,
    /// The start carries no ticket that is valid on this worker.
    NoTicket,
    /// The order is malformed or not permitted on this worker.
    Invalid,
}

/// `AdviceReply` is the result of an advice request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AdviceReply {
    /// The listed workers may run the step, each with its ticket; the others may not.
    Given {
        /// Workers and their tickets.
        allowed: Vec<(WorkerName, Arc<str>)>,
        /// Validity of the tickets, if the reply specifies it.
        valid_ms: Option<DurationMs>,
    },
    /// No usable reply arrived; the request may be repeated.
    Failed,
}

/// `Event` is an input to the coordinator.
#[derive(Clone, Debug)]
pub enum Event {
    /// A desired state has come into force.
    DesiredState(Arc<DesiredState>),
    /// A worker has written its entry.
    WorkerUpdated(WorkerEntry),
    /// A worker's entry was removed.
    WorkerRemoved(WorkerName),
    /// The list of workers is confirmed to be complete up to now.
    WorkersConfirmed,
    /// The set of evacuated zones is known to have been complete at a point in time.
    EvacuationsConfirmed {
        /// The evacuated zones.
        zones: EvacuatedZones,
        /// When the read or watch that returned the set was sent.
        as_of: TimeMs,
    },
    /// A job was accepted.
    JobAccepted(Arc<JobRecord>),
    /// A client cancelled a job.
    JobCancelled(JobId),
    /// The store has committed a batch.
    BatchStored {
        /// Number of the batch.
        batch: u64,
    },
    /// An earlier coordinator learned how a run ended and could not store it.
    ResultHandedOver(RunResult),
    /// A worker replied to a start order, or no reply arrived.
    StartReplied {
        /// The worker.
        worker: WorkerName,
        /// The task.
        task: TaskId,
        /// Its run.
        run: u32,
        /// The reply.
        reply: OrderReply,
    },
    /// A worker replied to a stop order, or no reply arrived.
    StopReplied {
        /// The worker.
        worker: WorkerName,
        /// The task.
        task: TaskId,
        /// Its run.
        run: u32,
        /// The reply.
        reply: OrderReply,
    },
    /// A worker replied to a poll.
    PollReplied {
        /// The worker.
        worker: WorkerName,
        /// When the poll was sent.
        sent_at: TimeMs,
        /// The reply.
        report: WorkerReport,
    },
    /// A poll failed.
    PollFailed {
        /// The worker.
        worker: WorkerName,
        /// Why the poll failed.
        failure: PollFailure,
    },
    /// A worker did not confirm a change of a run's pace.
    PaceFailed {
        /// The worker.
        worker: WorkerName,
        /// The task.
        task: TaskId,
        /// Its run.
        run: u32,
    },
    /// The advisor replied to a request, or the request failed.
    AdviceReplied {
        /// The step of the request.
        step: StepId,
        /// The workers of the request.
        asked: Vec<WorkerName>,
        /// The reply.
        reply: AdviceReply,
    },
    /// The coordinator's own lease was extended.
    LeaseExtended {
        /// When the lease ends; no orders may be sent after that.
        until: TimeMs,
    },
}

/// `ProgressRecord` is the progress of one job to store.
#[derive(Clone, Debug)]
pub struct ProgressRecord {
    /// The job.
    pub job_id: JobId,
    /// Its progress.
    pub progress: JobProgress,
    /// Whether the phase visible to clients differs from the last record.
    pub has_new_phase: bool,
    /// Accounting of the job, only in the record of its end; it is logged and not stored.
    pub accounting: Option<JobAccounting>,
}

/// `RunEndEvidence` is what shows that a run has ended, or that it never starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunEndEvidence {
    /// Its worker listed the end.
    Listed(EndKind),
    /// Its worker doesn't report it once a confirmed stop must have ended it, and has listed no end of it.
    NotReported,
    /// Its worker refused the only start order.
    StartRefused,
    /// No start order was sent.
    StartNotSent,
    /// Its worker is out of reach, and every lease granted there has expired.
    LeasesExpired,
    /// Another incarnation replied at the address of its worker.
    OtherIncarnation,
    /// A later incarnation of its worker confirmed the stop, and stopping has had its time.
    StoppedAfterRestart,
    /// An earlier coordinator handed its result over.
    HandedOver,
}

impl fmt::Display for RunEndEvidence {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Listed(kind) => write!(f, "Listed{kind:?}"),
            evidence => write!(f, "{evidence:?}"),
        }
    }
}

/// `RunEnded` is the log entry for an ended run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunEnded {
    /// The worker.
    pub worker: WorkerName,
    /// The task.
    pub task: TaskId,
    /// Its run.
    pub run: u32,
    /// Why the run ended.
    pub reason: RunEndReason,
    /// What shows that it has ended.
    pub evidence: RunEndEvidence,
    /// Start orders that this coordinator sent.
    pub start_orders: u32,
    /// Start orders that the worker replied to; the others may be carried out late.
    pub start_replies: u32,
    /// Time since the worker's last reply; none if it has not replied to this coordinator.
    pub reply_age_ms: Option<DurationMs>,
    /// How long the run lasted, if its worker had confirmed the start.
    pub ran_ms: Option<DurationMs>,
    /// Lost work that has to be repeated, in core-equivalents times milliseconds.
    pub lost_core_ms: u64,
}

/// `Action` is an output of the coordinator that its host executes.
#[derive(Clone, Debug)]
pub enum Action {
    /// Store the records in one transaction and report `Event::BatchStored`.
    Store {
        /// Number of the batch.
        batch: u64,
        /// At most `MAX_BATCH_RECORDS` records.
        records: Vec<ProgressRecord>,
    },
    /// Tell the hosts which queues are short of capacity.
    PublishLoad(LoadPicture),
    /// Store the speeds of the workers for the next coordinator; nothing depends on the result.
    StoreSpeeds(SpeedRecord),
    /// Order a worker to start a run.
    Start {
        /// The worker.
        worker: WorkerName,
        /// Its address.
        address: Arc<str>,
        /// The task.
        task: TaskId,
        /// Its run.
        run: u32,
        /// Payload of the task.
        payload: Arc<str>,
        /// Checkpoint to resume from, or empty.
        checkpoint: Arc<str>,
        /// End of the worker's lease, on its own clock.
        lease_until_ms: u64,
        /// Ticket of the advisor, if the queue requires one.
        ticket: Option<Arc<str>>,
    },
    /// Limit the pace of a run, and report `Event::PaceFailed` if the worker does not confirm it.
    SetPace {
        /// The worker.
        worker: WorkerName,
        /// Its address.
        address: Arc<str>,
        /// The task.
        task: TaskId,
        /// Its run.
        run: u32,
        /// Share of the full speed, from 0 to 100.
        percent: u32,
    },
    /// Request advice on which of the workers may run a step, and report `Event::AdviceReplied`.
    RequestAdvice {
        /// The step.
        step: StepId,
        /// The workers.
        workers: Vec<WorkerName>,
        /// Maximum time that the advisor takes to reply if it has no other request.
        answer_ms: DurationMs,
    },
    /// Order a worker to stop a run.
    Stop {
        /// The worker.
        worker: WorkerName,
        /// Its address.
        address: Arc<str>,
        /// The task.
        task: TaskId,
        /// Its run.
        run: u32,
    },
    /// Renew the lease of a worker and request its report.
    Poll {
        /// The worker.
        worker: WorkerName,
        /// Its address.
        address: Arc<str>,
        /// End of the lease on the worker's clock; none if the lease is not renewed.
        lease_until_ms: Option<u64>,
        /// Highest sequence number of a run end whose effect is stored.
        acked_end: u64,
        /// How long the worker may wait for a run end before it replies.
        wait_ms: DurationMs,
    },
    /// Log the end of a run.
    LogRunEnd(RunEnded),
    /// Log that a task or a gang is stopped in favor of another step.
    LogPreemption(Preemption),
    /// Log the loss of a worker that had runs.
    LogWorkerLoss(WorkerLossReport),
    /// Log a run that a worker reports without an allocation.
    LogUntrackedRun(UntrackedRun),
    /// Log that a zone is evacuated, or no longer is.
    LogEvacuation(EvacuationChange),
    /// Stop coordinating, because a worker has received a fencing token of a later term.
    Resign,
    /// Delete the records of a job whose retention has ended.
    DeleteJob(JobId),
}
