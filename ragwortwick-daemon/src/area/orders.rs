//! Carries out the coordinator's orders to workers and reports how they went.

use ragwortwick_adapter::{LookReply, StartOrder, WorkerClient};
use ragwortwick_area::{Action, Event, OrderReply};
use ragwortwick_core::{Epoch, log_event};

use super::coordination::EventSender;
use crate::Clock;

/// `OrderSender` sends orders in the name of one term; clones share its connections.
#[derive(Clone, Debug)]
pub(super) struct OrderSender {
    pub(super) workers: WorkerClient,
    pub(super) term: Epoch,
    pub(super) clock: Clock,
    pub(super) events: EventSender,
}

impl OrderSender {
    /// Sends one order and reports its outcome as an event.
    pub(super) async fn carry_out(self, action: Action) {
        let event = match action {
            Action::Start {
                worker,
                address,
                task,
                run,
                payload,
                checkpoint,
                lease_until_ms,
            } => {
                let order = StartOrder {
                    task,
                    run,
                    payload,
                    checkpoint,
                    lease_until_ms,
                };
                let reply = self
                    .workers
                    .start(&worker, &address, self.term, &order)
                    .await;
                if !matches!(reply, OrderReply::Accepted { .. }) {
                    log_event!(
                        Info,
                        "start_not_accepted",
                        task = order.task,
                        run = run,
                        worker = worker,
                        term = self.term,
                        reply = format!("{reply:?}")
                    );
                }
                Event::StartReplied {
                    worker,
                    task: order.task,
                    run,
                    reply,
                }
            }
            Action::Stop {
                worker,
                address,
                task,
                run,
            } => {
                let reply = self
                    .workers
                    .stop(&worker, &address, self.term, &task, run)
                    .await;
                log_event!(
                    Info,
                    "run_stopped",
                    task = task,
                    run = run,
                    worker = worker,
                    term = self.term,
                    reply = format!("{reply:?}")
                );
                Event::StopReplied {
                    worker,
                    task,
                    run,
                    reply,
                }
            }
            Action::Look {
                worker,
                address,
                lease_until_ms,
                noted,
                wait_ms,
            } => {
                let sent_at = self.clock.now();
                let reply = self
                    .workers
                    .look(&worker, &address, self.term, lease_until_ms, noted, wait_ms)
                    .await;
                match reply {
                    LookReply::Seen(look) => Event::Looked {
                        worker,
                        sent_at,
                        look,
                    },
                    LookReply::WrongLife | LookReply::Fenced | LookReply::Failed(_) => {
                        let is_fenced = matches!(reply, LookReply::Fenced);
                        let is_wrong_life = matches!(reply, LookReply::WrongLife);
                        log_event!(
                            Info,
                            "look_failed",
                            worker = worker,
                            term = self.term,
                            reply = format!("{reply:?}")
                        );
                        Event::LookFailed {
                            worker,
                            is_wrong_life,
                            is_fenced,
                        }
                    }
                }
            }
            Action::Store { .. } | Action::Resign | Action::Forget(_) => return,
        };
        self.events.send(event).await;
    }
}
