//! Events that reach the dispatcher and actions that it asks for.

use std::sync::Arc;

use ragwortwick_border::{AcceptedTable, RunnerLoad, RunnerRefusalReason};
use ragwortwick_core::{
    ClassName, CustomerName, DurationMs, HostName, TimeMs, Verdict, ZoneName, common,
};

/// `Ticket` numbers the requests of one dispatcher; each submission gets a fresh one.
#[common(key)]
pub struct Ticket(pub u64);

/// `RunnerInfo` is what the platform's host list says of a runner.
#[common]
pub struct RunnerInfo {
    /// Name of the runner.
    pub runner: HostName,
    /// Its zone.
    pub zone: ZoneName,
    /// Requests it runs at once.
    pub slots: u32,
    /// Whether the list shows it as leaving.
    pub is_leaving: bool,
}

/// `Arrival` is a request that asks for admission.
#[common]
pub struct Arrival {
    /// Its number.
    pub ticket: Ticket,
    /// Whom it belongs to.
    pub customer: CustomerName,
    /// Class of the work.
    pub class: ClassName,
    /// Time from now until its answer is worthless; the class's deadline if absent.
    pub deadline_ms: Option<DurationMs>,
    /// Whether it may run more than once.
    pub is_repeatable: bool,
    /// Whether its id must be claimed in the store before it is sent.
    pub needs_claim: bool,
}

/// `ClaimOutcome` is the result of claiming a request id in the store.
#[common]
#[derive(Copy)]
pub enum ClaimOutcome {
    /// The claim is in the store under our nonce.
    Made,
    /// Another entry host holds it and may have run the request.
    HeldElsewhere,
    /// The store gave no certain answer.
    StoreAway,
}

/// `TryOutcome` is how one try on one runner ended.
#[common]
pub enum TryOutcome {
    /// The whole answer came.
    Answered {
        /// The runner's load after it.
        load: RunnerLoadSeen,
    },
    /// The runner said that it did not start the request.
    Refused {
        /// Why.
        reason: RefusalSeen,
        /// The runner's load.
        load: RunnerLoadSeen,
    },
    /// No byte left, because no connection could be had.
    Unreachable,
    /// No byte left, because the deadline or the claim had run out just before sending.
    TooLate,
    /// Bytes left and no whole answer came.
    NoAnswer {
        /// What was seen, as one sentence.
        reason: String,
    },
}

/// `RunnerLoadSeen` is a load that a runner reported.
#[common(key)]
pub struct RunnerLoadSeen {
    /// Slots in all.
    pub slots: u32,
    /// Slots in use.
    pub busy: u32,
    /// Whether it takes no new work.
    pub is_leaving: bool,
}

impl From<&RunnerLoad> for RunnerLoadSeen {
    fn from(load: &RunnerLoad) -> Self {
        Self {
            slots: load.slots,
            busy: load.busy,
            is_leaving: load.is_leaving,
        }
    }
}

/// `RefusalSeen` is why a runner did not start a request.
#[common(key)]
pub enum RefusalSeen {
    /// All slots are in use.
    Busy,
    /// It takes no new work.
    Leaving,
    /// It can't start anything now.
    Failing,
}

impl From<RunnerRefusalReason> for RefusalSeen {
    fn from(reason: RunnerRefusalReason) -> Self {
        match reason {
            RunnerRefusalReason::Busy => Self::Busy,
            RunnerRefusalReason::Leaving => Self::Leaving,
            RunnerRefusalReason::Failing => Self::Failing,
        }
    }
}

/// `RequestEvent` is something that the dispatcher learns.
#[derive(Clone, Debug, PartialEq)]
pub enum RequestEvent {
    /// A table is in force here.
    TableInForce(Arc<AcceptedTable>),
    /// The platform's list of runners, whole.
    RunnersListed(Vec<RunnerInfo>),
    /// Entry hosts that share the runners, this one included.
    EntryHostsKnown(u32),
    /// A peer saw this runner leaving.
    LeavingSeenByPeer(HostName),
    /// A request asks for admission.
    Arrived(Arrival),
    /// A claim that was asked for is decided.
    ClaimDecided {
        /// The request.
        ticket: Ticket,
        /// The outcome.
        outcome: ClaimOutcome,
    },
    /// A try ended.
    TryEnded {
        /// The request.
        ticket: Ticket,
        /// How.
        outcome: TryOutcome,
    },
    /// The caller went away; a request that was not sent yet is dropped.
    CallerLeft(Ticket),
    /// The runner closed an idle connection.
    ConnectionClosed(HostName),
    /// A probe that was asked for ended.
    Probed {
        /// The runner.
        runner: HostName,
        /// Its load, if it answered.
        load: Option<RunnerLoadSeen>,
    },
    /// Time passed.
    Tick,
}

/// `RequestAction` is something that the dispatcher asks its host to do.
#[derive(Clone, Debug, PartialEq)]
pub enum RequestAction {
    /// Claim the request's id in the store and answer `ClaimDecided`.
    Claim {
        /// The request.
        ticket: Ticket,
        /// When the claim is worthless.
        decide_by: TimeMs,
    },
    /// Remove the claim: the request was not run.
    ReleaseClaim(Ticket),
    /// Send the request and answer `TryEnded`.
    Send {
        /// The request.
        ticket: Ticket,
        /// The runner.
        runner: HostName,
        /// When to stop waiting for the answer.
        answer_by: TimeMs,
        /// When the request's answer is worthless.
        deadline: TimeMs,
    },
    /// Ask the runner for its load over a fresh connection and answer `Probed`.
    Probe(HostName),
    /// Give the caller its final answer.
    Finish {
        /// The request.
        ticket: Ticket,
        /// The verdict; the whole answer of `Done` came with the last try.
        verdict: Verdict<()>,
    },
    /// Log and count.
    Notice(RequestNotice),
}

/// `RequestNotice` is a fact for logs and metrics.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestNotice {
    /// A runner's standing changed.
    RunnerJudged {
        /// The runner.
        runner: HostName,
        /// `live`, `leaving`, `left_out` or `returning`.
        state: &'static str,
        /// The evidence.
        reason: &'static str,
    },
    /// A request goes to another try.
    Retried {
        /// The customer.
        customer: CustomerName,
        /// The class.
        class: ClassName,
    },
}
