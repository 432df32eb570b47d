//! Carries out the coordinator's orders to workers and reports how they went.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};

use ragwortwick_adapter::{
    AdvisorClient, PaceRequest, PollReply, PollRequest, StartRequest, WorkerClient,
};
use ragwortwick_area::{Action, AdviceReply, Event, OrderReply, PollFailure, StepId, TaskId};
use ragwortwick_core::{DurationMs, Epoch, WorkerName, log_event};

use tokio::sync::Mutex as AsyncMutex;
use tokio::time::timeout;

use super::coordinator_handler::EventSender;
use super::log_rate_limiter::LogRateLimiter;
use crate::Clock;

/// Longest wait of an order for those before it.
///
/// Orders to a worker that hangs would else be sent seconds after they were decided, to one that is
/// leaving by then or for a job that was cancelled meanwhile. What waited in vain is decided anew.
const LANE_WAIT_MS: DurationMs = DurationMs(300);

/// `OrderLocks` lets one order after the other go to a worker.
///
/// A worker that gets eight tasks at once would else be sent eight orders over eight connections, of
/// which all but two are closed again.
#[derive(Clone, Debug, Default)]
pub(super) struct OrderLocks(Arc<Mutex<HashMap<WorkerName, Arc<AsyncMutex<()>>>>>);

impl OrderLocks {
    fn lock_of(&self, worker: &WorkerName) -> Arc<AsyncMutex<()>> {
        let mut order_locks = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        Arc::clone(order_locks.entry(worker.clone()).or_default())
    }
}

/// `OrderSender` sends orders in the name of one term; clones share its connections.
#[derive(Clone, Debug)]
pub(super) struct OrderSender {
    pub(super) workers: WorkerClient,
    pub(super) advisor: AdvisorClient,
    pub(super) term: Epoch,
    pub(super) clock: Clock,
    pub(super) events: EventSender,
    pub(super) order_locks: OrderLocks,
    pub(super) start_log_limiter: LogRateLimiter,
    pub(super) stop_log_limiter: LogRateLimiter,
    pub(super) pace_log_limiter: LogRateLimiter,
}

impl OrderSender {
    /// Opens connections of its own for a term.
    pub(super) fn open(
        clock: Clock,
        advice_address: Option<&str>,
        term: Epoch,
        events: EventSender,
    ) -> Self {
        Self {
            workers: WorkerClient::open(),
            advisor: AdvisorClient::open(advice_address),
            term,
            clock,
            events,
            order_locks: OrderLocks::default(),
            start_log_limiter: LogRateLimiter::new("run_started"),
            stop_log_limiter: LogRateLimiter::new("run_stopped"),
            pace_log_limiter: LogRateLimiter::new("run_paced"),
        }
    }

    /// Sends one order and reports its outcome as an event.
    pub(super) async fn execute(self, action: Action) {
        let event = match action {
            Action::Start {
                worker,
                address,
                task,
                run,
                payload,
                checkpoint,
                lease_until_ms,
                ticket,
            } => {
                let order = StartRequest {
                    task,
                    run,
                    payload,
                    checkpoint,
                    lease_until_ms,
                    ticket,
                };
                self.start(worker, &address, order).await
            }
            Action::Stop {
                worker,
                address,
                task,
                run,
            } => self.stop(worker, &address, task, run).await,
            Action::Poll {
                worker,
                address,
                lease_until_ms,
                acked_end,
                wait_ms,
            } => {
                let order = PollRequest {
                    lease_until_ms,
                    acked_end,
                    wait_ms,
                };
                self.look(worker, &address, &order).await
            }
            Action::SetPace {
                worker,
                address,
                task,
                run,
                percent,
            } => {
                let order = PaceRequest { task, run, percent };
                if self.pace(&worker, &address, &order).await {
                    return;
                }
                Event::PaceFailed {
                    worker,
                    task: order.task,
                    run: order.run,
                }
            }
            Action::RequestAdvice {
                step,
                workers,
                answer_ms,
            } => self.ask(step, workers, answer_ms).await,
            Action::Store { .. }
            | Action::Resign
            | Action::DeleteJob(_)
            | Action::LogRunEnd(_)
            | Action::LogWorkerLoss(_) => return,
        };
        self.events.send(event).await;
    }

    /// Waits for the orders to the worker before this one, and makes the call; none if it waited in
    /// vain and nothing was sent.
    async fn in_turn<R>(&self, worker: &WorkerName, call: impl Future<Output = R>) -> Option<R> {
        let lane = self.order_locks.lock_of(worker);
        let _turn = timeout(LANE_WAIT_MS.into(), lane.lock()).await.ok()?;
        Some(call.await)
    }

    async fn start(&self, worker: WorkerName, address: &str, order: StartRequest) -> Event {
        let call = self.workers.start(&worker, address, self.term, &order);
        let reply = self.in_turn(&worker, call).await;
        let reply = reply.unwrap_or(OrderReply::Unknown);
        if matches!(reply, OrderReply::Accepted { .. }) {
            if self.start_log_limiter.admit(self.clock.now()) {
                log_event!(
                    Info,
                    "run_started",
                    task = order.task,
                    run = order.run,
                    worker = worker,
                    term = self.term,
                    has_checkpoint = !order.checkpoint.is_empty()
                );
            }
        } else {
            log_event!(
                Info,
                "start_not_accepted",
                task = order.task,
                run = order.run,
                worker = worker,
                term = self.term,
                reply = format!("{reply:?}")
            );
        }
        Event::StartReplied {
            worker,
            task: order.task,
            run: order.run,
            reply,
        }
    }

    /// Tells whether the worker confirmed the pace. Orders of a worker go one after the other, so that
    /// an earlier pace does not arrive after a later one.
    async fn pace(&self, worker: &WorkerName, address: &str, order: &PaceRequest) -> bool {
        let call = self.workers.set_pace(worker, address, self.term, order);
        let is_told = self.in_turn(worker, call).await.unwrap_or(false);
        if self.pace_log_limiter.admit(self.clock.now()) {
            log_event!(
                Info,
                "run_paced",
                task = order.task,
                run = order.run,
                worker = worker,
                term = self.term,
                percent = order.percent,
                is_told = is_told
            );
        }
        is_told
    }

    async fn ask(&self, step: StepId, workers: Vec<WorkerName>, answer_ms: DurationMs) -> Event {
        let asked_at = self.clock.now();
        let reply = self
            .advisor
            .request_advice(&step, &workers, answer_ms)
            .await;
        let took_ms = self.clock.now().since(asked_at);
        let reply = match reply {
            Ok(reply) => {
                let allowed = match &reply {
                    AdviceReply::Given { allowed, .. } => allowed.len(),
                    AdviceReply::Failed => 0,
                };
                log_event!(
                    Info,
                    "advice_given",
                    step = step,
                    asked = workers.len(),
                    allowed = allowed,
                    took_ms = took_ms.0
                );
                reply
            }
            Err(cause) => {
                log_event!(
                    Warn,
                    "advice_failed",
                    step = step,
                    asked = workers.len(),
                    took_ms = took_ms.0,
                    cause = cause
                );
                AdviceReply::Failed
            }
        };
        Event::AdviceReplied {
            step,
            asked: workers,
            reply,
        }
    }

    async fn stop(&self, worker: WorkerName, address: &str, task: TaskId, run: u32) -> Event {
        let call = self.workers.stop(&worker, address, self.term, &task, run);
        let reply = self.in_turn(&worker, call).await;
        let reply = reply.unwrap_or(OrderReply::Unknown);
        if self.stop_log_limiter.admit(self.clock.now()) {
            log_event!(
                Info,
                "run_stopped",
                task = task,
                run = run,
                worker = worker,
                term = self.term,
                reply = format!("{reply:?}")
            );
        }
        Event::StopReplied {
            worker,
            task,
            run,
            reply,
        }
    }

    async fn look(&self, worker: WorkerName, address: &str, order: &PollRequest) -> Event {
        let sent_at = self.clock.now();
        let reply = self.workers.poll(&worker, address, self.term, order).await;
        let failure = match reply {
            PollReply::Report(report) => {
                return Event::PollReplied {
                    worker,
                    sent_at,
                    report,
                };
            }
            PollReply::WrongLife => PollFailure::WrongLife,
            PollReply::Fenced => PollFailure::Fenced,
            PollReply::Closed(_) => PollFailure::Closed,
            PollReply::Failed(_) => PollFailure::NoAnswer,
        };
        log_event!(
            Info,
            "look_failed",
            worker = worker,
            term = self.term,
            reply = format!("{reply:?}")
        );
        Event::PollFailed { worker, failure }
    }
}
