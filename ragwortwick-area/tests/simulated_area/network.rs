//! Requests to the simulated workers, their replies and their faults.

use std::collections::VecDeque;

use ragwortwick_area::{Action, Event, OrderReply, PollFailure, RefusalCause, TaskId};
use ragwortwick_core::WorkerName;

use super::World;
use super::schedule::{Fate, RequestKind};

/// Time that a request or a reply takes.
const TRANSIT_MS: u64 = 5;

/// Time after which an order counts as unanswered.
const ORDER_TIMEOUT_MS: u64 = 300;

/// Time beyond its wait after which a poll counts as unanswered.
const POLL_MARGIN_MS: u64 = 700;

/// Longest wait of an order for earlier ones to the same worker; it is not sent after that.
const MAX_ORDER_WAIT_MS: u64 = 300;

/// Delay of the orders to a silent worker.
const SILENT_DELAY_MS: u16 = 2_500;

/// A message that is under way.
#[derive(Debug)]
pub enum Message {
    /// A request arrives at its worker.
    Request { request: u64, is_late: bool },
    /// The reply to a request arrives at its coordinator.
    Reply { request: u64, event: Event },
    /// A request counts as unanswered if it still is.
    Timeout { request: u64 },
    /// An order has waited too long for earlier ones.
    WaitOver { request: u64 },
    /// An event of the store arrives at a coordinator.
    Event { term: u64, event: Event },
    /// The store commits a batch.
    Commit { term: u64, batch: u64 },
    /// The reply to a commit arrives at its coordinator.
    Stored { term: u64, batch: u64 },
}

/// A request to a worker.
#[derive(Clone, Debug)]
pub struct PendingRequest {
    pub term: u64,
    pub action: Action,
    pub sent_at: u64,
    /// Whether the coordinator has got an outcome.
    pub is_settled: bool,
    /// Whether its reply is lost.
    pub is_reply_lost: bool,
    pub reply_ms: u64,
}

/// The orders of a term to one worker.
#[derive(Debug, Default)]
pub struct OrderQueue {
    in_flight: Option<u64>,
    waiting: VecDeque<u64>,
}

/// The worker, task and run of an order; none for a poll.
fn order_of(action: &Action) -> Option<(&WorkerName, &TaskId, u32)> {
    match action {
        Action::Start {
            worker, task, run, ..
        }
        | Action::Stop {
            worker, task, run, ..
        } => Some((worker, task, *run)),
        _ => None,
    }
}

pub fn worker_of(action: &Action) -> Option<&WorkerName> {
    match action {
        Action::Start { worker, .. }
        | Action::Stop { worker, .. }
        | Action::Poll { worker, .. } => Some(worker),
        _ => None,
    }
}

fn kind_of(action: &Action) -> RequestKind {
    match action {
        Action::Start { .. } => RequestKind::Start,
        Action::Stop { .. } => RequestKind::Stop,
        _ => RequestKind::Poll,
    }
}

/// The event for an order's reply.
pub fn order_event(action: &Action, reply: OrderReply) -> Option<Event> {
    let (worker, task, run) = order_of(action)?;
    let (worker, task) = (worker.clone(), task.clone());
    Some(if kind_of(action) == RequestKind::Start {
        Event::StartReplied {
            worker,
            task,
            run,
            reply,
        }
    } else {
        Event::StopReplied {
            worker,
            task,
            run,
            reply,
        }
    })
}

/// The event for a request that its worker did not handle.
pub fn failure_event(action: &Action, reply: OrderReply, failure: PollFailure) -> Option<Event> {
    order_event(action, reply).or_else(|| {
        Some(Event::PollFailed {
            worker: worker_of(action)?.clone(),
            failure,
        })
    })
}

pub fn describe(action: &Action) -> String {
    let kind = kind_of(action);
    match (order_of(action), worker_of(action)) {
        (Some((worker, task, run)), _) => format!("{kind:?} {task} run {run} at {worker}"),
        (None, Some(worker)) => format!("{kind:?} of {worker}"),
        (None, None) => String::new(),
    }
}

impl World {
    pub fn send_at(&mut self, at: u64, message: Message) {
        self.last_number += 1;
        self.messages.insert((at, self.last_number), message);
    }

    /// Sends a request of a term. Orders to a worker are sent one at a time.
    pub fn send_request(&mut self, term: u64, action: Action) {
        self.last_number += 1;
        let request = self.last_number;
        let order = order_of(&action);
        let order = order.map(|(worker, task, run)| (worker.clone(), task.clone(), run));
        self.requests.insert(
            request,
            PendingRequest {
                term,
                action,
                sent_at: self.now,
                is_settled: false,
                is_reply_lost: false,
                reply_ms: TRANSIT_MS,
            },
        );
        if let Some((worker, task, run)) = order {
            self.check_order(term, &worker, &task, run);
            let queue = self.order_queues.entry((term, worker)).or_default();
            if queue.in_flight.is_some() {
                queue.waiting.push_back(request);
                let at = self.now + MAX_ORDER_WAIT_MS;
                self.send_at(at, Message::WaitOver { request });
                return;
            }
            queue.in_flight = Some(request);
        }
        self.transmit(request);
    }

    /// Reports an order that still waits as unanswered.
    pub fn drop_waiting_order(&mut self, request: u64) {
        let mut queues = self.order_queues.values();
        if !queues.any(|queue| queue.waiting.contains(&request)) {
            return;
        }
        let pending = self.requests.get(&request);
        let event = pending.and_then(|pending| {
            failure_event(&pending.action, OrderReply::Unknown, PollFailure::NoAnswer)
        });
        if let Some(event) = event {
            self.settle(request, event);
        }
    }

    /// Sends the next order to a worker, if the one in flight has an outcome.
    pub fn send_next_order(&mut self, request: u64) {
        let Some(pending) = self.requests.get(&request) else {
            return;
        };
        let Some((worker, _, _)) = order_of(&pending.action) else {
            return;
        };
        let key = (pending.term, worker.clone());
        let Some(queue) = self.order_queues.get_mut(&key) else {
            return;
        };
        queue.waiting.retain(|waiting| *waiting != request);
        if queue.in_flight == Some(request) {
            queue.in_flight = queue.waiting.pop_front();
            if let Some(next) = queue.in_flight {
                self.transmit(next);
            }
        }
    }

    /// The fate of a request: the next one for its kind, or that of orders to a silent worker.
    fn take_fate(&mut self, action: &Action) -> Option<Fate> {
        let now = self.now;
        let fates = self.fates.get_mut(&kind_of(action));
        let fate = fates.and_then(VecDeque::pop_front);
        if fate.is_some() {
            return fate;
        }
        let (worker, _, _) = order_of(action)?;
        let target = self.workers.iter_mut().find(|other| other.name == *worker);
        let is_delayed = target.is_some_and(|target| target.delays_order(now));
        is_delayed.then_some(Fate::Late {
            after_ms: SILENT_DELAY_MS,
        })
    }

    /// Puts a request on its way.
    fn transmit(&mut self, request: u64) {
        let Some(action) = self.requests.get(&request).map(|it| it.action.clone()) else {
            return;
        };
        let has_fate = self
            .fates
            .get(&kind_of(&action))
            .is_some_and(|fates| !fates.is_empty());
        let fate = self.take_fate(&action);
        let Some(pending) = self.requests.get_mut(&request) else {
            return;
        };
        let term = pending.term;
        pending.sent_at = self.now;
        let timeout_ms = match &action {
            Action::Poll { wait_ms, .. } => wait_ms.0 + POLL_MARGIN_MS,
            _ => ORDER_TIMEOUT_MS,
        };
        let mut arrives_at = Some(self.now + TRANSIT_MS);
        let mut late_at = None;
        let mut refusal = None;
        match fate {
            None => {}
            Some(Fate::Lost) => arrives_at = None,
            Some(Fate::ReplyLost) => pending.is_reply_lost = true,
            Some(Fate::Late { after_ms }) => {
                late_at = Some(self.now + u64::from(after_ms));
                arrives_at = None;
            }
            Some(Fate::Refused) => {
                arrives_at = None;
                let reply = OrderReply::Refused(RefusalCause::Unhealthy);
                refusal = failure_event(&action, reply, PollFailure::NoAnswer);
            }
            Some(Fate::Slow {
                request_ms,
                reply_ms,
            }) => {
                arrives_at = Some(self.now + u64::from(request_ms));
                pending.reply_ms = u64::from(reply_ms);
            }
        }
        if kind_of(&action) != RequestKind::Poll || fate.is_some() {
            self.log(format!("term {term} sends {}: {fate:?}", describe(&action)));
        }
        if has_fate {
            self.impair_until(late_at.unwrap_or(self.now + timeout_ms));
        }
        let arrivals = [(arrives_at, false), (late_at, true)];
        for (at, is_late) in arrivals {
            if let Some(at) = at {
                self.send_at(at, Message::Request { request, is_late });
            }
        }
        if let Some(event) = refusal {
            let at = self.now + 2 * TRANSIT_MS;
            self.send_at(at, Message::Reply { request, event });
        }
        self.send_at(self.now + timeout_ms, Message::Timeout { request });
    }

    /// Drops a term's requests that have not arrived, except those that are carried out late.
    pub fn drop_prompt_requests(&mut self, term: u64) {
        let requests = &self.requests;
        self.messages.retain(|_, message| match message {
            Message::Request {
                request,
                is_late: false,
            } => requests
                .get(request)
                .is_none_or(|pending| pending.term != term),
            _ => true,
        });
    }
}
