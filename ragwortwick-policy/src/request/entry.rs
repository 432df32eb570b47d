//! One request that has no final answer yet, and how it ends without a runner's answer.

use ragwortwick_core::{DurationMs, HostName, NotRunReason, TimeMs, Verdict};

use super::dispatcher::RETRY_AFTER_UNKNOWN_MS;
use super::lifecycle::Phase;
use super::messages::{RequestAction, Ticket};
use super::queue::ClassKey;

/// `Request` is a request between its admission and its final answer.
#[derive(Debug)]
pub(super) struct Request {
    pub(super) key: ClassKey,
    pub(super) phase: Phase,
    pub(super) deadline: TimeMs,
    pub(super) is_repeatable: bool,
    pub(super) claim: ClaimState,
    /// A try was sent and its outcome is unknown, so `NotRun` would no longer be true.
    pub(super) may_have_run: bool,
    pub(super) is_retry: bool,
    pub(super) tries: u32,
    pub(super) runner: Option<HostName>,
    pub(super) tried: Vec<HostName>,
    pub(super) sent_at: TimeMs,
}

/// `ClaimState` is whether a request's id is claimed in the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ClaimState {
    NotNeeded,
    Needed,
    Held,
}

/// `Ending` is why a request gets no answer of a runner.
#[derive(Clone, Copy, Debug)]
pub(super) struct Ending {
    reason: NotRunReason,
    retry_after_ms: DurationMs,
}

impl Request {
    /// The answer must leave before the deadline, so the wait ends a little earlier; work that may
    /// be repeated keeps some of its time for a second try, if a first one has surely ended by then.
    pub(super) fn answer_by(&self, now: TimeMs, sure_ms: DurationMs) -> TimeMs {
        let left_ms = self.deadline.since(now).0;
        let margin_ms = (left_ms / 20).clamp(5, 500);
        let whole = self.deadline - DurationMs(margin_ms);
        if self.is_repeatable && !self.may_have_run {
            let first_ms = DurationMs(left_ms * 6 / 10).max(sure_ms);
            return whole.min(now + first_ms);
        }
        whole
    }

    /// A request of which an earlier try has an unknown outcome must not be called `NotRun`, even
    /// if its last try was refused: the caller would repeat it elsewhere and it could run twice.
    pub(super) fn finish_not_run(
        &self,
        ticket: Ticket,
        ending: Option<Ending>,
        out: &mut Vec<RequestAction>,
    ) {
        let ending = ending.unwrap_or(Ending::new(
            NotRunReason::NoRunner,
            DurationMs(RETRY_AFTER_UNKNOWN_MS),
        ));
        let verdict = if self.may_have_run {
            may_have_run("an earlier try gave no whole answer")
        } else {
            if self.claim == ClaimState::Held {
                out.push(RequestAction::ReleaseClaim(ticket));
            }
            ending.verdict()
        };
        out.push(RequestAction::Finish { ticket, verdict });
    }
}

impl Ending {
    pub(super) fn new(reason: NotRunReason, retry_after_ms: DurationMs) -> Self {
        Self {
            reason,
            retry_after_ms,
        }
    }

    pub(super) fn verdict(self) -> Verdict<()> {
        Verdict::NotRun {
            reason: self.reason,
            retry_after_ms: self.retry_after_ms,
        }
    }
}

pub(super) fn may_have_run(reason: &str) -> Verdict<()> {
    Verdict::MayHaveRun {
        reason: reason.to_owned(),
    }
}
