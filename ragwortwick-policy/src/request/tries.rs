//! What the end of a try means for its request and its runner.

use ragwortwick_core::{HostName, NotRunReason, TimeMs};

use super::dispatcher::{Dispatcher, notice};
use super::entry::Ending;
use super::lifecycle::Happening;
use super::messages::{RefusalSeen, RequestAction, RunnerLoadSeen, Ticket, TryOutcome};

/// Tries of one request; more would keep one that is refused everywhere circling.
const MAX_TRIES: u32 = 8;

impl Dispatcher {
    pub(super) fn on_try_ended(
        &mut self,
        now: TimeMs,
        ticket: Ticket,
        outcome: &TryOutcome,
        out: &mut Vec<RequestAction>,
    ) {
        let Some(name) = self.requests.get(&ticket).and_then(|r| r.runner.clone()) else {
            return;
        };
        self.release_slot(ticket);
        self.judge(now, &name, outcome, out);
        let back_ms = self.back_after_ms(now);
        let (happening, reason) = match outcome {
            TryOutcome::Answered { .. } => {
                self.observe(now, ticket);
                (Happening::Answered, NotRunReason::NoRunner)
            }
            TryOutcome::Refused { reason, .. } => {
                let reason = match reason {
                    RefusalSeen::Busy => NotRunReason::RunnersBusy,
                    RefusalSeen::Leaving | RefusalSeen::Failing => NotRunReason::NoRunner,
                };
                (Happening::NotStarted, reason)
            }
            TryOutcome::Unreachable => (Happening::NotStarted, NotRunReason::NoRunner),
            TryOutcome::TooLate => (Happening::NotStarted, NotRunReason::DeadlineUnmeetable),
            TryOutcome::NoAnswer { .. } => (Happening::OutcomeLost, NotRunReason::NoRunner),
        };
        let may_retry = self.may_retry(now, ticket, outcome);
        if let Some(request) = self.requests.get_mut(&ticket) {
            request.tried.push(name);
            request.is_retry = may_retry;
            request.may_have_run |= matches!(outcome, TryOutcome::NoAnswer { .. });
        }
        let ending = Ending::new(reason, back_ms);
        self.step(now, ticket, happening, Some(ending), out);
    }

    /// Takes in what a try tells of its runner.
    fn judge(
        &mut self,
        now: TimeMs,
        name: &HostName,
        outcome: &TryOutcome,
        out: &mut Vec<RequestAction>,
    ) {
        let Some(runner) = self.runners.get_mut(name) else {
            return;
        };
        if let TryOutcome::Answered { load } | TryOutcome::Refused { load, .. } = outcome {
            runner.report(now, *load);
            let is_leaving = load.is_leaving
                || matches!(
                    outcome,
                    TryOutcome::Refused {
                        reason: RefusalSeen::Leaving,
                        ..
                    }
                );
            if is_leaving {
                out.extend(runner.standing.on_own_leaving(now, name).map(notice));
            }
        }
        let slots = runner.slots();
        let change = match outcome {
            TryOutcome::Answered { .. } => runner.standing.on_success(name, slots),
            TryOutcome::Refused {
                reason: RefusalSeen::Busy,
                ..
            } => {
                runner.mark_full(now);
                None
            }
            TryOutcome::Refused {
                reason: RefusalSeen::Failing,
                ..
            }
            | TryOutcome::Unreachable
            | TryOutcome::NoAnswer { .. } => {
                let random = &mut self.random;
                runner.standing.on_failure(now, name, random)
            }
            TryOutcome::Refused { .. } | TryOutcome::TooLate => None,
        };
        out.extend(change.map(notice));
    }

    /// Only tries that certainly did not start, or work that may be repeated, get another one.
    ///
    /// A try that reached a failing runner is paid from the customer's retry budget; a busy or
    /// leaving runner and one that can't be reached did no work for it, so these are only counted.
    fn may_retry(&mut self, now: TimeMs, ticket: Ticket, outcome: &TryOutcome) -> bool {
        let Some(request) = self.requests.get_mut(&ticket) else {
            return false;
        };
        let is_safe = match outcome {
            TryOutcome::NoAnswer { .. } => request.is_repeatable,
            TryOutcome::Answered { .. } | TryOutcome::TooLate => false,
            TryOutcome::Refused { .. } | TryOutcome::Unreachable => true,
        };
        let is_late = now >= request.deadline;
        if !is_safe || is_late || request.tries >= MAX_TRIES {
            return false;
        }
        let needs_budget = matches!(
            outcome,
            TryOutcome::NoAnswer { .. }
                | TryOutcome::Refused {
                    reason: RefusalSeen::Failing,
                    ..
                }
        );
        let customer = self.queue.customer(&request.key.customer);
        !needs_budget || customer.is_some_and(|c| c.budget.take())
    }

    pub(super) fn on_probed(
        &mut self,
        now: TimeMs,
        name: &HostName,
        load: Option<RunnerLoadSeen>,
        out: &mut Vec<RequestAction>,
    ) {
        let Some(runner) = self.runners.get_mut(name) else {
            return;
        };
        if let Some(load) = load {
            runner.report(now, load);
        }
        let is_leaving = load.map(|l| l.is_leaving);
        let random = &mut self.random;
        let change = runner.standing.on_probed(now, name, is_leaving, random);
        out.extend(change.map(notice));
    }

    fn observe(&mut self, now: TimeMs, ticket: Ticket) {
        let Some(request) = self.requests.get(&ticket) else {
            return;
        };
        if let Some(line) = self.queue.line(&request.key) {
            line.run_time.observe(now, now.since(request.sent_at));
        }
    }
}
