//! The words of the request's state chart, `charts/request.json`.

use ragwortwick_core::{ChartSymbol, StateChart, common};

const CHART: &str = include_str!("../../charts/request.json");

/// `Phase` is where a request stands.
#[common(key)]
pub(super) enum Phase {
    /// In the queue.
    Waiting,
    /// A runner is set aside while the id is claimed in the store.
    Claiming,
    /// On its way to a runner or running there.
    Sent,
    /// The final answer is given.
    Settled,
}

/// `Happening` is what moves a request on.
#[common(key)]
pub(super) enum Happening {
    Picked,
    GivenUp,
    CallerLeft,
    ClaimMade,
    ClaimHeld,
    Answered,
    NotStarted,
    OutcomeLost,
}

/// `Condition` is asked where a happening has two ways on.
#[common(key)]
pub(super) enum Condition {
    NeedsClaim,
    MayRetry,
}

/// `Effect` is what a step does.
#[common(key)]
pub(super) enum Effect {
    Claim,
    Send,
    Enqueue,
    FinishDone,
    FinishNotRun,
    FinishHeld,
    FinishMayHaveRun,
}

pub(super) type Lifecycle = StateChart<Phase, Happening, Condition, Effect>;

impl ChartSymbol for Phase {
    const ALL: &'static [(&'static str, Self)] = &[
        ("waiting", Self::Waiting),
        ("claiming", Self::Claiming),
        ("sent", Self::Sent),
        ("settled", Self::Settled),
    ];
}

impl ChartSymbol for Happening {
    const ALL: &'static [(&'static str, Self)] = &[
        ("picked", Self::Picked),
        ("given_up", Self::GivenUp),
        ("caller_left", Self::CallerLeft),
        ("claim_made", Self::ClaimMade),
        ("claim_held", Self::ClaimHeld),
        ("answered", Self::Answered),
        ("not_started", Self::NotStarted),
        ("outcome_lost", Self::OutcomeLost),
    ];
}

impl ChartSymbol for Condition {
    const ALL: &'static [(&'static str, Self)] = &[
        ("needs_claim", Self::NeedsClaim),
        ("may_retry", Self::MayRetry),
    ];
}

impl ChartSymbol for Effect {
    const ALL: &'static [(&'static str, Self)] = &[
        ("claim", Self::Claim),
        ("send", Self::Send),
        ("enqueue", Self::Enqueue),
        ("finish_done", Self::FinishDone),
        ("finish_not_run", Self::FinishNotRun),
        ("finish_held", Self::FinishHeld),
        ("finish_may_have_run", Self::FinishMayHaveRun),
    ];
}

/// `lifecycle` reads the chart that is built into the program.
pub(super) fn lifecycle() -> Lifecycle {
    match Lifecycle::parse(CHART) {
        Ok(chart) => chart,
        Err(error) => unreachable!("the chart is part of the program: {error}"),
    }
}
