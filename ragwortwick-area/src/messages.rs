//! What the coordinator learns and what it asks for.

use std::sync::Arc;

use ragwortwick_core::{
    DurationMs, JobId, LabelName, PoolName, RackName, TimeMs, WorkerName, ZoneName,
};

use crate::accounting::{JobAccounting, RunEndReason};
use crate::desired::DesiredState;
use crate::job::{JobRecord, Resources, StepId, TaskId};
use crate::losses::WorkerLossReport;
use crate::progress::JobProgress;

/// `WorkerEntry` is what a worker tells of itself in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerEntry {
    /// Name of this life of the worker; a restarted worker has another.
    pub name: WorkerName,
    /// ip:port of its calls.
    pub address: Arc<str>,
    /// Pool that it works for.
    pub pool: PoolName,
    /// Availability zone.
    pub zone: ZoneName,
    /// Rack.
    pub rack: RackName,
    /// All its labels.
    pub labels: Arc<[LabelName]>,
    /// What it has in total.
    pub capacity: Resources,
    /// Whether it is about to leave.
    pub is_draining: bool,
    /// Least time until a draining worker leaves.
    pub remaining_ms: Option<DurationMs>,
    /// Its own clock when it wrote the entry.
    pub clock_ms: Option<u64>,
}

/// `EndKind` tells how a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndKind {
    /// It did its work.
    Done,
    /// It failed, through its own fault or the worker's.
    Failed,
    /// It was told to stop.
    Stopped,
    /// Its worker's lease ran out.
    LeaseExpired,
    /// Another member of its gang ended.
    GangBroken,
    /// It waited in vain for the other members of its gang.
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
    /// Share of its work that is done.
    pub percent: u32,
    /// A rough figure of the last half second: the tail latency in milliseconds of a task that serves
    /// users, thousandths of a core in use for any other.
    pub load: u32,
}

/// `EndedTask` is one end that a worker lists until it is told that the end is known.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndedTask {
    /// Position in the worker's list of ends.
    pub sequence: u64,
    /// The task.
    pub task: TaskId,
    /// Number of the run.
    pub run: u32,
    /// How it ended.
    pub kind: EndKind,
    /// Newest checkpoint, empty if there is none.
    pub checkpoint: Arc<str>,
}

/// `WorkerReport` is a worker's answer to a look at what runs there.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WorkerReport {
    /// The worker's clock.
    pub clock_ms: u64,
    /// What runs.
    pub running: Vec<RunningTask>,
    /// What ended and is not yet forgotten.
    pub ended: Vec<EndedTask>,
}

/// `PollFailure` is why a look told nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PollFailure {
    /// The address answered that this life of the worker is over.
    WrongLife,
    /// The worker knows a coordinator of a later term.
    Fenced,
    /// The other end refused or closed the connection.
    Closed,
    /// There was no answer in time, or none that could be read.
    NoAnswer,
}

/// `OrderReply` is how an order to a worker went.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderReply {
    /// It is carried out.
    Accepted {
        /// The worker's clock.
        clock_ms: u64,
    },
    /// It was not and never will be carried out.
    Refused(RefusalCause),
    /// Another life of the worker answers at that address.
    WrongLife,
    /// There is no answer; the order may be carried out, also later.
    Unknown,
}

/// `RefusalCause` is why a worker did not carry out an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalCause {
    /// It has seen a higher fencing token: another coordinator is in charge.
    Fenced,
    /// The run is not higher than one that ended or was stopped there.
    StaleRun,
    /// The lease in the order has run out.
    LeaseOver,
    /// There is not enough room.
    NoRoom,
    /// The worker is unhealthy and did nothing.
    Unhealthy,
    /// The start carries no ticket that holds there.
    NoTicket,
    /// The order is malformed or not allowed there.
    Invalid,
}

/// `AdviceReply` is how a question to the advisor went.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AdviceReply {
    /// These workers may run the step, each with its ticket; the others may not.
    Given {
        /// Workers and their tickets.
        allowed: Vec<(WorkerName, Arc<str>)>,
        /// How long the tickets hold, if the answer tells.
        valid_ms: Option<DurationMs>,
    },
    /// There is no usable answer; the same question may be asked again.
    Failed,
}

/// `Event` is what the coordinator learns.
#[derive(Clone, Debug)]
pub enum Event {
    /// A desired state came into force.
    DesiredState(Arc<DesiredState>),
    /// A worker wrote its entry.
    WorkerUpdated(WorkerEntry),
    /// A worker's entry was removed.
    WorkerRemoved(WorkerName),
    /// The list of workers was confirmed as complete up to now.
    WorkersConfirmed,
    /// A job was accepted.
    JobAccepted(Arc<JobRecord>),
    /// A caller cancelled a job.
    JobCancelled(JobId),
    /// The store has kept the batch.
    BatchStored {
        /// Number of the batch.
        batch: u64,
    },
    /// An earlier coordinator heard that a run did its work, and could not store it.
    CompletionHandedOver {
        /// The task.
        task: TaskId,
        /// Its run.
        run: u32,
    },
    /// A start was answered, or not.
    StartReplied {
        /// The worker.
        worker: WorkerName,
        /// The task.
        task: TaskId,
        /// Its run.
        run: u32,
        /// The answer.
        reply: OrderReply,
    },
    /// A stop was answered, or not.
    StopReplied {
        /// The worker.
        worker: WorkerName,
        /// The task.
        task: TaskId,
        /// Its run.
        run: u32,
        /// The answer.
        reply: OrderReply,
    },
    /// A look was answered.
    PollReplied {
        /// The worker.
        worker: WorkerName,
        /// When the look was sent.
        sent_at: TimeMs,
        /// What it told.
        report: WorkerReport,
    },
    /// A look was not answered, or by another life of the worker.
    PollFailed {
        /// The worker.
        worker: WorkerName,
        /// Why it told nothing.
        failure: PollFailure,
    },
    /// A worker did not confirm the pace of a run.
    PaceFailed {
        /// The worker.
        worker: WorkerName,
        /// The task.
        task: TaskId,
        /// Its run.
        run: u32,
    },
    /// The advisor answered a question, or did not.
    AdviceReplied {
        /// The step that was asked about.
        step: StepId,
        /// The workers that were asked about.
        asked: Vec<WorkerName>,
        /// The answer.
        reply: AdviceReply,
    },
    /// The lease as coordinator holds until then.
    LeaseExtended {
        /// Last moment at which orders may be sent.
        until: TimeMs,
    },
}

/// `ProgressRecord` is one record to store.
#[derive(Clone, Debug)]
pub struct ProgressRecord {
    /// The job.
    pub job_id: JobId,
    /// Its progress.
    pub progress: JobProgress,
    /// Whether callers see another phase than the last record told.
    pub has_new_phase: bool,
    /// How the job spent its time, with the record of its end; it isn't stored.
    pub accounting: Option<JobAccounting>,
}

/// `RunEnded` tells that a run is over, for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunEnded {
    /// The worker.
    pub worker: WorkerName,
    /// The task.
    pub task: TaskId,
    /// Its run.
    pub run: u32,
    /// How it is over.
    pub why: RunEndReason,
    /// How long it ran, if its worker had confirmed it.
    pub ran_ms: Option<DurationMs>,
    /// Work that it had done and that has to be done again, in core-equivalents times milliseconds.
    pub lost_core_ms: u64,
}

/// `Action` is what the coordinator asks for.
#[derive(Clone, Debug)]
pub enum Action {
    /// Store the records in one transaction and report `Event::BatchStored`.
    Store {
        /// Number of the batch.
        batch: u64,
        /// At most `MAX_BATCH_RECORDS` records.
        records: Vec<ProgressRecord>,
    },
    /// Tell a worker to start a run.
    Start {
        /// The worker.
        worker: WorkerName,
        /// Its address.
        address: Arc<str>,
        /// The task.
        task: TaskId,
        /// Its run.
        run: u32,
        /// Text for the task.
        payload: Arc<str>,
        /// Checkpoint to resume from, empty for none.
        checkpoint: Arc<str>,
        /// End of the worker's lease, on its own clock.
        lease_until_ms: u64,
        /// The advisor's ticket, on queues that need one.
        ticket: Option<Arc<str>>,
    },
    /// Let a run work at a share of its speed, and report `Event::PaceFailed` if that is not confirmed.
    SetPace {
        /// The worker.
        worker: WorkerName,
        /// Its address.
        address: Arc<str>,
        /// The task.
        task: TaskId,
        /// Its run.
        run: u32,
        /// From 0 to 100.
        percent: u32,
    },
    /// Ask the advisor which of the workers may run a step, and report `Event::AdviceReplied`.
    RequestAdvice {
        /// The step.
        step: StepId,
        /// The workers.
        workers: Vec<WorkerName>,
        /// Longest time that the answer takes if nothing else is asked.
        answer_ms: DurationMs,
    },
    /// Tell a worker to stop a run.
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
    /// Renew a worker's lease and ask what runs there.
    Poll {
        /// The worker.
        worker: WorkerName,
        /// Its address.
        address: Arc<str>,
        /// End of the lease on the worker's clock; none leaves it as it is.
        lease_until_ms: Option<u64>,
        /// Highest number of an end that is stored.
        acked_end: u64,
        /// How long the worker may wait for an end before it answers.
        wait_ms: DurationMs,
    },
    /// Log that a run is over.
    LogRunEnd(RunEnded),
    /// Log that a worker is lost, with runs.
    LogWorkerLoss(WorkerLossReport),
    /// A worker knows a coordinator of a later term: stop coordinating.
    Resign,
    /// Forget the records of a job that ended long ago.
    DeleteJob(JobId),
}
