//! The simulated network: orders and replies that are delayed or lost.

use ragwortwick_area::{Action, Event, OrderReply, PollFailure, RefusalCause};
use ragwortwick_core::{TimeMs, WorkerName};
use rand::Rng;

use crate::simulation::{SimEvent, Simulation};

/// Largest additional delay of a message where messages overtake each other. An order and its reply stay
/// within the timeout of an order.
const MAX_REORDERING_MS: u64 = 290;

/// `Delivery` is how an order or a poll travels to a worker.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Delivery {
    pub(crate) sent_at: TimeMs,
    /// Whether it arrives seconds after it was sent.
    pub(crate) is_late: bool,
    /// Whether the sender still waits for the reply when it arrives.
    pub(crate) wants_reply: bool,
}

impl Simulation {
    pub(crate) fn send_to_worker(
        &mut self,
        host: usize,
        term: u64,
        action: Action,
        has_waited: bool,
    ) {
        let is_order = !matches!(action, Action::Poll { .. });
        let is_removing = self.starter_removal.is_some() && matches!(action, Action::Start { .. });
        let late_share = if is_order {
            self.options.workload.late_order_share
        } else {
            self.options.workload.late_poll_share
        };
        let is_late = is_removing
            || (self.is_delaying_orders && late_share > 0.0 && self.rng.random_bool(late_share));
        let worker = match &action {
            Action::Start { worker, .. }
            | Action::Stop { worker, .. }
            | Action::Poll { worker, .. } => worker.clone(),
            _ => return,
        };
        if !self.hosts[host].reaches(&worker) {
            self.reply_timeout(host, term, &action);
            return;
        }
        if let Some(until) = self.orders_held_until(&worker) {
            self.hold_order(host, term, action, until);
            return;
        }
        if is_late {
            self.reply_timeout(host, term, &action);
        }
        let delay_ms = if is_late {
            self.rng.random_range(2_000..12_000)
        } else {
            self.rng.random_range(1..4) + self.draw_reordering_ms()
        };
        let deliver = SimEvent::DeliverToWorker {
            host,
            term,
            action,
            delivery: Delivery {
                sent_at: self.now,
                is_late: is_late || has_waited,
                wants_reply: !is_late,
            },
        };
        self.schedule_after(delay_ms, deliver);
    }

    /// Draws the additional delay of a message by which others may overtake it.
    fn draw_reordering_ms(&mut self) -> u64 {
        if self.is_reordering_messages {
            self.rng.random_range(0..MAX_REORDERING_MS)
        } else {
            0
        }
    }

    pub(crate) fn reply_timeout(&mut self, host: usize, term: u64, action: &Action) {
        let (event, delay_ms) = match action {
            Action::Start {
                worker, task, run, ..
            } => {
                let event = Event::StartReplied {
                    worker: worker.clone(),
                    task: task.clone(),
                    run: *run,
                    reply: OrderReply::Unknown,
                };
                (event, 600)
            }
            Action::Stop {
                worker, task, run, ..
            } => {
                let event = Event::StopReplied {
                    worker: worker.clone(),
                    task: task.clone(),
                    run: *run,
                    reply: OrderReply::Unknown,
                };
                (event, 600)
            }
            Action::Poll {
                worker, wait_ms, ..
            } => {
                let event = Event::PollFailed {
                    worker: worker.clone(),
                    failure: PollFailure::NoAnswer,
                };
                (event, 700 + wait_ms.0)
            }
            _ => return,
        };
        self.schedule_after(delay_ms, SimEvent::DeliverEvent { host, term, event });
    }

    /// Replies as the machine of a crashed worker does, which refuses connections.
    pub(crate) fn reply_connection_refused(&mut self, host: usize, term: u64, action: &Action) {
        if let Action::Poll { worker, .. } = action {
            let event = Event::PollFailed {
                worker: worker.clone(),
                failure: PollFailure::Closed,
            };
            self.reply(host, term, worker, event);
        } else {
            self.reply_timeout(host, term, action);
        }
    }

    /// Replies as an unhealthy worker does, which ignores the request.
    pub(crate) fn reply_unhealthy(&mut self, host: usize, term: u64, action: &Action) {
        let reply = OrderReply::Refused(RefusalCause::Unhealthy);
        let (worker, event) = match action {
            Action::Start {
                worker, task, run, ..
            } => {
                let event = Event::StartReplied {
                    worker: worker.clone(),
                    task: task.clone(),
                    run: *run,
                    reply,
                };
                (worker, event)
            }
            Action::Stop {
                worker, task, run, ..
            } => {
                let event = Event::StopReplied {
                    worker: worker.clone(),
                    task: task.clone(),
                    run: *run,
                    reply,
                };
                (worker, event)
            }
            Action::Poll { worker, .. } => {
                let event = Event::PollFailed {
                    worker: worker.clone(),
                    failure: PollFailure::NoAnswer,
                };
                (worker, event)
            }
            _ => return,
        };
        self.reply(host, term, worker, event);
    }

    /// Sends a reply to the coordinator, or a timeout if replies are dropped.
    pub(crate) fn reply(&mut self, host: usize, term: u64, worker: &WorkerName, event: Event) {
        let is_lost = self.hosts[host].loses_replies
            || !self.hosts[host].reaches(worker)
            || self.replies_held_until(worker).is_some();
        let (event, delay_ms) = if is_lost {
            (as_timeout(event), 600)
        } else {
            (event, 1 + self.draw_reordering_ms())
        };
        let delay_ms = delay_ms + self.draw_queueing_ms();
        self.schedule_after(delay_ms, SimEvent::DeliverEvent { host, term, event });
    }
}

/// Returns the event that a coordinator receives in place of a lost reply.
pub(crate) fn as_timeout(event: Event) -> Event {
    match event {
        Event::StartReplied {
            worker, task, run, ..
        } => Event::StartReplied {
            worker,
            task,
            run,
            reply: OrderReply::Unknown,
        },
        Event::StopReplied {
            worker, task, run, ..
        } => Event::StopReplied {
            worker,
            task,
            run,
            reply: OrderReply::Unknown,
        },
        Event::PollReplied { worker, .. } | Event::PollFailed { worker, .. } => Event::PollFailed {
            worker,
            failure: PollFailure::NoAnswer,
        },
        event => event,
    }
}
