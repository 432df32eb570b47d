//! The duty that drives the dispatcher and carries out its actions.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use arc_swap::ArcSwap;
use ragwortwick_border::RunnerRequest;
use ragwortwick_core::{DurationMs, HostName, TimeMs, Verdict, log_event};
use ragwortwick_policy::{
    Arrival, ClaimOutcome, Dispatcher, RequestAction, RequestEvent, RequestNotice, RunnerLoadSeen,
    Ticket,
};
use tokio::runtime::Handle;
use tokio::sync::oneshot;

use super::claims::ClaimStore;
use super::handle::RequestLoad;
use super::sender::{Sender, Try, TryEnd};
use crate::event_loop::{EventHandler, EventLoopSender};
use crate::peers::{LocalLoad, PeerClient};

/// Shortest time between two updates of what others see of this duty.
const PUBLISH_INTERVAL_MS: DurationMs = DurationMs(100);

/// Wait before another try to put an event into a full ring.
const RING_RETRY: Duration = Duration::from_millis(1);

/// `DutyEvent` is what the duty's ring carries.
#[derive(Debug)]
pub(super) enum DutyEvent {
    /// A request asks for admission.
    Arrived(Box<Submission>),
    /// A try ended.
    TryEnded { ticket: Ticket, end: TryEnd },
    /// The dispatcher learns something that needs no more than itself.
    Policy(RequestEvent),
}

/// `Submission` is a request with the place for its final verdict.
#[derive(Debug)]
pub(super) struct Submission {
    pub(super) arrival: Arrival,
    pub(super) request: Arc<RunnerRequest>,
    pub(super) claim: Option<Claim>,
    pub(super) reply: oneshot::Sender<Verdict<String>>,
}

/// `Claim` is the id and nonce that a request is claimed under.
#[derive(Clone, Debug)]
pub(super) struct Claim {
    pub(super) id: String,
    pub(super) nonce: String,
    /// Set once the store says that another host holds it.
    pub(super) is_held_elsewhere: Arc<AtomicBool>,
    /// Set once the store gave no certain answer.
    pub(super) is_store_away: Arc<AtomicBool>,
}

/// `DutyRing` reaches the duty from its own tasks; it is set once the duty runs.
#[derive(Clone, Debug, Default)]
pub(super) struct DutyRing(Arc<OnceLock<EventLoopSender<DutyEvent>>>);

impl DutyRing {
    pub(super) fn set(&self, ring: EventLoopSender<DutyEvent>) {
        // It is set in one place only, before any task that uses it is started.
        drop(self.0.set(ring));
    }

    /// `offer` gives the event back if the ring is full.
    pub(super) fn offer(&self, event: DutyEvent) -> Result<(), DutyEvent> {
        match self.0.get() {
            Some(ring) => ring.try_send(event).map_err(|full| full.0),
            None => Err(event),
        }
    }

    /// `deliver` waits for a place without holding a thread; for events that must not be lost.
    pub(super) async fn deliver(&self, event: DutyEvent) {
        let mut event = event;
        while let Err(back) = self.offer(event) {
            event = back;
            tokio::time::sleep(RING_RETRY).await;
        }
    }

    /// `send` delivers from a place that can't wait.
    pub(super) fn send(&self, event: DutyEvent) {
        if let Err(event) = self.offer(event) {
            let ring = self.clone();
            tokio::spawn(async move { ring.deliver(event).await });
        }
    }
}

/// `RequestMachine` joins the dispatcher with the tasks that send and claim.
#[derive(Debug)]
pub(super) struct RequestMachine<C> {
    pub(super) host: HostName,
    pub(super) dispatcher: Dispatcher,
    pub(super) sender: Sender,
    pub(super) claims: C,
    pub(super) ring: DutyRing,
    pub(super) runtime: Handle,
    pub(super) peers: PeerClient,
    pub(super) load: Arc<ArcSwap<RequestLoad>>,
    pub(super) open: BTreeMap<Ticket, OpenRequest>,
    pub(super) published_at: TimeMs,
    pub(super) is_changed: bool,
    pub(super) next_tick: Option<TimeMs>,
}

/// `OpenRequest` is a request without a final verdict.
#[derive(Debug)]
pub(super) struct OpenRequest {
    request: Arc<RunnerRequest>,
    claim: Option<Claim>,
    reply: oneshot::Sender<Verdict<String>>,
    answer: Option<String>,
}

impl<C: ClaimStore> EventHandler for RequestMachine<C> {
    type Event = DutyEvent;

    fn on_event(&mut self, now: TimeMs, event: DutyEvent) {
        let event = match event {
            DutyEvent::Arrived(submission) => self.open(*submission),
            DutyEvent::TryEnded { ticket, end } => {
                if let Some(open) = self.open.get_mut(&ticket) {
                    open.answer = end.answer;
                }
                RequestEvent::TryEnded {
                    ticket,
                    outcome: end.outcome,
                }
            }
            DutyEvent::Policy(event) => event,
        };
        if let RequestEvent::CallerLeft(ticket) = &event {
            self.open.remove(ticket);
        }
        self.drive(now, event);
    }

    fn on_wakeup(&mut self, now: TimeMs) {
        self.drive(now, RequestEvent::Tick);
    }

    fn next_wakeup(&self) -> Option<TimeMs> {
        let publish = self
            .is_changed
            .then(|| self.published_at + PUBLISH_INTERVAL_MS);
        self.next_tick.into_iter().chain(publish).min()
    }
}

impl<C: ClaimStore> RequestMachine<C> {
    fn open(&mut self, submission: Submission) -> RequestEvent {
        let ticket = submission.arrival.ticket;
        self.open.insert(
            ticket,
            OpenRequest {
                request: submission.request,
                claim: submission.claim,
                reply: submission.reply,
                answer: None,
            },
        );
        RequestEvent::Arrived(submission.arrival)
    }

    fn drive(&mut self, now: TimeMs, event: RequestEvent) {
        for action in self.dispatcher.on_event(now, event) {
            self.carry_out(action);
        }
        self.next_tick = self.dispatcher.next_wakeup(now);
        self.is_changed = true;
        if now.since(self.published_at) >= PUBLISH_INTERVAL_MS {
            self.publish(now);
        }
    }

    fn carry_out(&mut self, action: RequestAction) {
        match action {
            RequestAction::Claim { ticket, .. } => self.claim(ticket),
            RequestAction::ReleaseClaim(ticket) => self.release(ticket),
            RequestAction::Send {
                ticket,
                runner,
                answer_by,
                deadline,
            } => self.send(ticket, runner, answer_by, deadline),
            RequestAction::Probe(runner) => self.probe(runner),
            RequestAction::Finish { ticket, verdict } => self.finish(ticket, verdict),
            RequestAction::Notice(notice) => note(&notice),
        }
    }

    fn claim(&self, ticket: Ticket) {
        let Some(claim) = self.open.get(&ticket).and_then(|open| open.claim.clone()) else {
            return;
        };
        let (claims, ring, host) = (self.claims.clone(), self.ring.clone(), self.host.clone());
        self.runtime.spawn(async move {
            let outcome = claims.claim(&claim.id, &host, &claim.nonce).await;
            let is_held = outcome == ClaimOutcome::HeldElsewhere;
            claim.is_held_elsewhere.store(is_held, Ordering::Release);
            let is_away = outcome == ClaimOutcome::StoreAway;
            claim.is_store_away.store(is_away, Ordering::Release);
            let event = RequestEvent::ClaimDecided { ticket, outcome };
            ring.deliver(DutyEvent::Policy(event)).await;
        });
    }

    fn release(&self, ticket: Ticket) {
        let Some(claim) = self.open.get(&ticket).and_then(|open| open.claim.clone()) else {
            return;
        };
        let claims = self.claims.clone();
        self.runtime
            .spawn(async move { claims.release(&claim.id, &claim.nonce).await });
    }

    fn send(&self, ticket: Ticket, runner: HostName, answer_by: TimeMs, deadline: TimeMs) {
        let Some(open) = self.open.get(&ticket) else {
            // Its caller left after it was picked: nothing is sent, and the slot is given back.
            let event = RequestEvent::TryEnded {
                ticket,
                outcome: ragwortwick_policy::TryOutcome::TooLate,
            };
            return self.ring.send_from(&self.runtime, DutyEvent::Policy(event));
        };
        let attempt = Try {
            runner,
            request: Arc::clone(&open.request),
            answer_by,
            deadline,
        };
        let (sender, ring) = (self.sender.clone(), self.ring.clone());
        self.runtime.spawn(async move {
            let end = sender.run(attempt).await;
            ring.deliver(DutyEvent::TryEnded { ticket, end }).await;
        });
    }

    fn probe(&self, runner: HostName) {
        let (sender, ring) = (self.sender.clone(), self.ring.clone());
        self.runtime.spawn(async move {
            let load = sender.probe(&runner).await;
            let load = load.as_ref().map(RunnerLoadSeen::from);
            let event = RequestEvent::Probed { runner, load };
            ring.deliver(DutyEvent::Policy(event)).await;
        });
    }

    fn finish(&mut self, ticket: Ticket, verdict: Verdict<()>) {
        let Some(open) = self.open.remove(&ticket) else {
            return;
        };
        let verdict = match (verdict, open.answer) {
            (Verdict::Done(()), Some(answer)) => Verdict::Done(answer),
            (Verdict::Done(()), None) => Verdict::MayHaveRun {
                reason: "the answer was lost on this host".to_owned(),
            },
            (Verdict::MayHaveRun { reason }, _) => Verdict::MayHaveRun { reason },
            (
                Verdict::NotRun {
                    reason,
                    retry_after_ms,
                },
                _,
            ) => Verdict::NotRun {
                reason,
                retry_after_ms,
            },
        };
        // A caller that went away takes no answer.
        drop(open.reply.send(verdict));
    }

    fn publish(&mut self, now: TimeMs) {
        let counts = self.dispatcher.load();
        self.peers.publish(LocalLoad {
            running: counts.running,
            waiting: counts.waiting,
            leaving_runners: self.dispatcher.leaving_runners(),
        });
        self.load.store(Arc::new(RequestLoad {
            running: counts.running,
            waiting: counts.waiting,
            runners: self.dispatcher.runners(now),
        }));
        self.published_at = now;
        self.is_changed = false;
    }
}

impl DutyRing {
    /// `send_from` delivers from a thread outside the runtime.
    fn send_from(&self, runtime: &Handle, event: DutyEvent) {
        let ring = self.clone();
        runtime.spawn(async move { ring.deliver(event).await });
    }
}

fn note(notice: &RequestNotice) {
    match notice {
        RequestNotice::RunnerJudged {
            runner,
            state,
            reason,
        } => log_event!(
            Info,
            "runner_judged",
            runner = runner,
            state = state,
            reason = reason
        ),
        RequestNotice::Retried { customer, class } => {
            log_event!(Debug, "request_retried", customer = customer, class = class);
        }
    }
}
