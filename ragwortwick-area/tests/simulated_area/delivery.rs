//! Requests at the simulated workers, and their outcomes at the coordinators.

use ragwortwick_area::{Action, Event, OrderReply, PollFailure, RefusalCause, TaskId};
use ragwortwick_core::{TimeMs, WorkerName};

use super::World;
use super::network::{Message, PendingRequest, describe, failure_event, order_event, worker_of};
use super::worker::WaitingPoll;

impl World {
    pub fn deliver_due_messages(&mut self) {
        while let Some(entry) = self.messages.first_entry() {
            if entry.key().0 > self.now {
                return;
            }
            match entry.remove() {
                Message::Request { request, is_late } => self.deliver(request, is_late),
                Message::Reply { request, event } => self.settle(request, event),
                Message::Timeout { request } => {
                    let pending = self.requests.get(&request);
                    let event = pending.and_then(|pending| {
                        failure_event(&pending.action, OrderReply::Unknown, PollFailure::NoAnswer)
                    });
                    if let Some(event) = event {
                        self.settle(request, event);
                    }
                }
                Message::WaitOver { request } => self.drop_waiting_order(request),
                Message::Event { term, event } => self.on_event(term, event),
                Message::Commit { term, batch } => self.commit(term, batch),
                Message::Stored { term, batch } => self.on_stored(term, batch),
            }
        }
    }

    /// Passes the outcome of a request to its coordinator, unless it has got one.
    pub fn settle(&mut self, request: u64, event: Event) {
        let Some(pending) = self.requests.get_mut(&request) else {
            return;
        };
        if !std::mem::replace(&mut pending.is_settled, true) {
            let term = pending.term;
            self.send_next_order(request);
            self.on_event(term, event);
        }
    }

    /// Sends the reply to a request, unless it is lost.
    fn reply(&mut self, request: u64, index: usize, event: Event) {
        let is_cut = self.workers[index].is_cut(self.now);
        let Some(pending) = self.requests.get(&request) else {
            return;
        };
        if !pending.is_reply_lost && !is_cut {
            let at = self.now + pending.reply_ms;
            self.send_at(at, Message::Reply { request, event });
        }
    }

    /// A request arrives at its worker.
    fn deliver(&mut self, request: u64, is_late: bool) {
        let Some(PendingRequest { term, action, .. }) = self.requests.get(&request).cloned() else {
            return;
        };
        let machine = |name: &WorkerName| name.as_str().split('-').next().map(str::to_owned);
        let target = worker_of(&action);
        let index = self.workers.iter().position(|worker| {
            let own = machine(&worker.name);
            target.is_some_and(|target| machine(target) == own)
        });
        let Some(index) = index else { return };
        let now = self.now;
        if self.workers[index].is_cut(now) && !is_late {
            return;
        }
        let failure = if target != Some(&self.workers[index].name) {
            failure_event(&action, OrderReply::WrongLife, PollFailure::WrongLife)
        } else if self.workers[index].refuses(now) {
            let reply = OrderReply::Refused(RefusalCause::Unhealthy);
            failure_event(&action, reply, PollFailure::NoAnswer)
        } else {
            None
        };
        if let Some(event) = failure {
            self.reply(request, index, event);
            return;
        }
        let event = match &action {
            Action::Start {
                task,
                run,
                lease_until_ms,
                ..
            } => {
                let reply = self.start_run(index, term, &(task.clone(), *run), *lease_until_ms);
                if is_late {
                    self.log(format!("late {}: {reply:?}", describe(&action)));
                    self.impair_until(now);
                }
                order_event(&action, reply)
            }
            Action::Stop { task, run, .. } => {
                let reply = self.workers[index].stop(now, term, (task.clone(), *run));
                order_event(&action, reply)
            }
            Action::Poll {
                lease_until_ms,
                acked_end,
                wait_ms,
                ..
            } => match self.workers[index].poll(now, term, *lease_until_ms, *acked_end) {
                Ok(()) => {
                    self.workers[index].polls.push(WaitingPoll {
                        request,
                        until: now + wait_ms.0,
                        acked_end: *acked_end,
                    });
                    None
                }
                Err(_) => failure_event(&action, OrderReply::Unknown, PollFailure::Fenced),
            },
            _ => None,
        };
        if let Some(event) = event {
            self.reply(request, index, event);
        }
    }

    fn start_run(
        &mut self,
        index: usize,
        term: u64,
        run: &(TaskId, u32),
        lease_until: u64,
    ) -> OrderReply {
        let Some(new_run) = self.new_run(run) else {
            return OrderReply::Refused(RefusalCause::Invalid);
        };
        let worker = &mut self.workers[index];
        let (reply, has_begun) = worker.start(self.now, term, run.clone(), lease_until, new_run);
        if has_begun {
            let name = self.workers[index].name.clone();
            self.log(format!("{} run {} begins at {name}", run.0, run.1));
            self.join_gang(run);
        }
        reply
    }

    pub fn answer_due_polls(&mut self) {
        for index in 0..self.workers.len() {
            for poll in self.workers[index].take_due_polls(self.now) {
                let Some(pending) = self.requests.get(&poll.request) else {
                    continue;
                };
                let event = Event::PollReplied {
                    worker: self.workers[index].name.clone(),
                    sent_at: TimeMs(pending.sent_at),
                    report: self.workers[index].report(self.now),
                };
                self.reply(poll.request, index, event);
            }
        }
    }
}
