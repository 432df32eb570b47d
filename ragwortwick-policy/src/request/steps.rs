//! Moves requests along their state chart and carries out its effects.

use ragwortwick_core::{DurationMs, TimeMs, Verdict};

use super::dispatcher::Dispatcher;
use super::entry::{ClaimState, Ending, may_have_run};
use super::lifecycle::{Condition, Effect, Happening, Phase};
use super::messages::{RequestAction, RequestNotice, Ticket};

impl Dispatcher {
    pub(super) fn release_slot(&mut self, ticket: Ticket) {
        let Some(request) = self.requests.get_mut(&ticket) else {
            return;
        };
        let Some(name) = request.runner.take() else {
            return;
        };
        if let Some(runner) = self.runners.get_mut(&name) {
            runner.end();
        }
        self.queue.end(&request.key);
        self.running -= 1;
    }

    /// Moves a request on by the state chart and carries out the effects.
    pub(super) fn step(
        &mut self,
        now: TimeMs,
        ticket: Ticket,
        happening: Happening,
        ending: Option<Ending>,
        out: &mut Vec<RequestAction>,
    ) {
        let Some(request) = self.requests.get_mut(&ticket) else {
            return;
        };
        let holds = |condition| match condition {
            Condition::NeedsClaim => request.claim == ClaimState::Needed,
            Condition::MayRetry => request.is_retry,
        };
        let Some(step) = self.chart.transition(request.phase, happening, holds) else {
            return;
        };
        let was_waiting = request.phase == Phase::Waiting;
        request.phase = step.next;
        let (next, effects) = (step.next, step.actions.to_vec());
        if was_waiting && next == Phase::Settled {
            self.queue.remove(&request.key, request.deadline, ticket);
        }
        for effect in effects {
            self.carry_out(now, ticket, effect, ending, out);
        }
        if self.chart.is_final(next) {
            self.requests.remove(&ticket);
        }
    }

    fn carry_out(
        &mut self,
        now: TimeMs,
        ticket: Ticket,
        effect: Effect,
        ending: Option<Ending>,
        out: &mut Vec<RequestAction>,
    ) {
        let Some(request) = self.requests.get_mut(&ticket) else {
            return;
        };
        match effect {
            Effect::Claim => out.push(RequestAction::Claim {
                ticket,
                decide_by: request.deadline,
            }),
            Effect::Send => {
                let Some(runner) = request.runner.clone() else {
                    return;
                };
                request.sent_at = now;
                let line = self.queue.line(&request.key);
                let sure_ms = line.map_or(DurationMs(0), |line| line.run_time.sure_ms(now));
                out.push(RequestAction::Send {
                    ticket,
                    runner,
                    answer_by: request.answer_by(now, sure_ms),
                    deadline: request.deadline,
                });
            }
            Effect::Enqueue => {
                out.push(RequestAction::Notice(RequestNotice::Retried {
                    customer: request.key.customer.clone(),
                    class: request.key.class.clone(),
                }));
                let (key, deadline) = (request.key.clone(), request.deadline);
                self.queue.push(&key, deadline, ticket);
            }
            Effect::FinishDone => out.push(RequestAction::Finish {
                ticket,
                verdict: Verdict::Done(()),
            }),
            Effect::FinishHeld => out.push(RequestAction::Finish {
                ticket,
                verdict: may_have_run("another entry host has taken this request id"),
            }),
            Effect::FinishMayHaveRun => out.push(RequestAction::Finish {
                ticket,
                verdict: may_have_run("the runner gave no whole answer"),
            }),
            Effect::FinishNotRun => request.finish_not_run(ticket, ending, out),
        }
    }
}
