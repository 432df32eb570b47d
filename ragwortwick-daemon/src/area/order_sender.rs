//! Sends the coordinator's orders to workers and reports their outcomes to the coordinator.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use ragwortwick_adapter::{
    AdvisorClient, PaceRequest, PollReply, PollRequest, StartRequest, StopRequest, WorkerClient,
};
use ragwortwick_area::{
    Action, AdviceReply, Event, OrderReply, PollFailure, StepId, TaskId, WorkerReport,
};
use ragwortwick_core::{DurationMs, Epoch, WorkerName, log_event};

use tokio::sync::Mutex as AsyncMutex;
use tokio::time::timeout;

use super::coordinator_handler::EventSender;
use super::log_rate_limiter::LogRateLimiter;
use super::reply_time::ReplyTimeEstimate;
use crate::Clock;

/// Longest wait of an order for earlier orders to the same worker.
///
/// Without a limit, orders to an unresponsive worker would be sent seconds after they were decided, when
/// the worker may be leaving or the job cancelled. The coordinator decides again about an order
/// that was not sent.
const MAX_ORDER_WAIT_MS: DurationMs = DurationMs(300);

/// `OrderLocks` serializes the orders to each worker.
///
/// Otherwise eight tasks for one worker would be ordered over eight connections at once, of which all but
/// two would be closed afterwards.
#[derive(Clone, Debug, Default)]
pub(super) struct OrderLocks(Arc<Mutex<HashMap<WorkerName, Arc<AsyncMutex<()>>>>>);

impl OrderLocks {
    fn lock_of(&self, worker: &WorkerName) -> Arc<AsyncMutex<()>> {
        let mut locks = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        Arc::clone(locks.entry(worker.clone()).or_default())
    }
}

/// `OrderSender` sends the orders of one term; clones share its connections.
#[derive(Clone, Debug)]
pub(super) struct OrderSender {
    pub(super) workers: WorkerClient,
    pub(super) advisor: AdvisorClient,
    pub(super) term: Epoch,
    pub(super) clock: Clock,
    pub(super) events: EventSender,
    pub(super) order_locks: OrderLocks,
    reply_times: Arc<Mutex<ReplyTimeEstimate>>,
    pub(super) start_log_limiter: LogRateLimiter,
    pub(super) stop_log_limiter: LogRateLimiter,
    pub(super) pace_log_limiter: LogRateLimiter,
    pub(super) poll_log_limiter: LogRateLimiter,
    pub(super) partial_report_log_limiter: LogRateLimiter,
}

impl OrderSender {
    /// Creates a sender for a term, with its own connections.
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
            reply_times: Arc::default(),
            start_log_limiter: LogRateLimiter::new("run_started"),
            stop_log_limiter: LogRateLimiter::new("run_stopped"),
            pace_log_limiter: LogRateLimiter::new("run_paced"),
            poll_log_limiter: LogRateLimiter::new("look_failed"),
            partial_report_log_limiter: LogRateLimiter::new("run_ends_listed_in_part"),
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
                let request = StartRequest {
                    task,
                    run,
                    payload,
                    checkpoint,
                    lease_until_ms,
                    ticket,
                };
                self.start(worker, &address, request).await
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
                let request = PollRequest {
                    lease_until_ms,
                    acked_end,
                    wait_ms,
                };
                self.poll(worker, &address, &request).await
            }
            Action::SetPace {
                worker,
                address,
                task,
                run,
                percent,
            } => {
                let request = PaceRequest { task, run, percent };
                if self.set_pace(&worker, &address, &request).await {
                    return;
                }
                Event::PaceFailed {
                    worker,
                    task: request.task,
                    run: request.run,
                }
            }
            Action::RequestAdvice {
                step,
                workers,
                answer_ms,
            } => self.request_advice(step, workers, answer_ms).await,
            Action::Store { .. }
            | Action::StoreSpeeds(_)
            | Action::PublishLoad(_)
            | Action::Resign
            | Action::DeleteJob(_)
            | Action::LogRunEnd(_)
            | Action::LogWorkerLoss(_)
            | Action::LogPreemption(_)
            | Action::LogUntrackedRun(_)
            | Action::LogEvacuation(_) => return,
        };
        self.events.send(event).await;
    }

    /// Makes a call after the earlier orders to the worker; returns `None`, with nothing sent, if the wait
    /// for them times out.
    async fn call_in_order<R>(
        &self,
        worker: &WorkerName,
        call: impl AsyncFnOnce(DurationMs) -> R,
    ) -> Option<R> {
        let lock = self.order_locks.lock_of(worker);
        let _guard = timeout(MAX_ORDER_WAIT_MS.into(), lock.lock()).await.ok()?;
        let timeout_ms = self.reply_times().timeout_ms();
        Some(call(timeout_ms).await)
    }

    /// Records the time until an order is replied to, or that it times out.
    async fn measured(&self, reply: impl Future<Output = OrderReply>) -> OrderReply {
        let sent_at = self.clock.now();
        let reply = reply.await;
        match reply {
            OrderReply::Unknown => self.reply_times().record_timeout(),
            OrderReply::Accepted { .. } | OrderReply::Refused(_) | OrderReply::WrongLife => {
                let reply_ms = self.clock.now().since(sent_at);
                self.reply_times().record_reply(reply_ms);
            }
        }
        reply
    }

    fn reply_times(&self) -> MutexGuard<'_, ReplyTimeEstimate> {
        self.reply_times
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    async fn start(&self, worker: WorkerName, address: &str, request: StartRequest) -> Event {
        let call = async |timeout_ms| {
            let workers = &self.workers;
            let reply = workers.start(&worker, address, self.term, &request, timeout_ms);
            self.measured(reply).await
        };
        let reply = self.call_in_order(&worker, call).await;
        let reply = reply.unwrap_or(OrderReply::Unknown);
        if matches!(reply, OrderReply::Accepted { .. }) {
            if self.start_log_limiter.admit(self.clock.now()) {
                log_event!(
                    Info,
                    "run_started",
                    task = request.task,
                    run = request.run,
                    worker = worker,
                    term = self.term,
                    has_checkpoint = !request.checkpoint.is_empty()
                );
            }
        } else {
            log_event!(
                Info,
                "start_not_accepted",
                task = request.task,
                run = request.run,
                worker = worker,
                term = self.term,
                reply = format!("{reply:?}")
            );
        }
        Event::StartReplied {
            worker,
            task: request.task,
            run: request.run,
            reply,
        }
    }

    /// Sets a run's pace and returns whether the worker confirmed it. Orders to a worker are sent one at a
    /// time, so an earlier pace can't arrive after a later one.
    async fn set_pace(&self, worker: &WorkerName, address: &str, request: &PaceRequest) -> bool {
        let call = async |timeout_ms| {
            let workers = &self.workers;
            let reply = workers.set_pace(worker, address, self.term, request, timeout_ms);
            reply.await
        };
        let is_confirmed = self.call_in_order(worker, call).await.unwrap_or(false);
        if self.pace_log_limiter.admit(self.clock.now()) {
            log_event!(
                Info,
                "run_paced",
                task = request.task,
                run = request.run,
                worker = worker,
                term = self.term,
                percent = request.percent,
                is_told = is_confirmed
            );
        }
        is_confirmed
    }

    async fn request_advice(
        &self,
        step: StepId,
        workers: Vec<WorkerName>,
        answer_ms: DurationMs,
    ) -> Event {
        let requested_at = self.clock.now();
        let reply = self
            .advisor
            .request_advice(&step, &workers, answer_ms)
            .await;
        let took_ms = self.clock.now().since(requested_at);
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
        let request = StopRequest { task, run };
        let ordered_at = self.clock.now();
        let call = async |timeout_ms| {
            let workers = &self.workers;
            let reply = workers.stop(&worker, address, self.term, &request, timeout_ms);
            self.measured(reply).await
        };
        let reply = self.call_in_order(&worker, call).await;
        let StopRequest { task, run } = request;
        let is_sent = reply.is_some();
        let reply = reply.unwrap_or(OrderReply::Unknown);
        let now = self.clock.now();
        if self.stop_log_limiter.admit(now) {
            log_event!(
                Info,
                "run_stopped",
                task = task,
                run = run,
                worker = worker,
                term = self.term,
                reply = format!("{reply:?}"),
                is_sent = is_sent,
                took_ms = now.since(ordered_at)
            );
        }
        Event::StopReplied {
            worker,
            task,
            run,
            reply,
        }
    }

    async fn poll(&self, worker: WorkerName, address: &str, request: &PollRequest) -> Event {
        let sent_at = self.clock.now();
        let reply = self
            .workers
            .poll(&worker, address, self.term, request)
            .await;
        let failure = match reply {
            PollReply::Report(report) => {
                self.log_partial_report(&worker, request, &report);
                return Event::PollReplied {
                    worker,
                    sent_at,
                    report,
                };
            }
            PollReply::WrongLife => PollFailure::WrongLife,
            PollReply::Restarted => PollFailure::Restarted,
            PollReply::Fenced => PollFailure::Fenced,
            PollReply::Closed(_) => PollFailure::Closed,
            PollReply::Failed(_) => PollFailure::NoAnswer,
        };
        if self.poll_log_limiter.admit(self.clock.now()) {
            log_event!(
                Info,
                "look_failed",
                worker = worker,
                term = self.term,
                reply = format!("{reply:?}")
            );
        }
        Event::PollFailed { worker, failure }
    }

    /// Logs that a worker has more run ends than it listed.
    fn log_partial_report(
        &self,
        worker: &WorkerName,
        request: &PollRequest,
        report: &WorkerReport,
    ) {
        if report.has_more_ends && self.partial_report_log_limiter.admit(self.clock.now()) {
            log_event!(
                Info,
                "run_ends_listed_in_part",
                worker = worker,
                term = self.term,
                acked_end = request.acked_end,
                listed = report.ended.len(),
                running = report.running.len()
            );
        }
    }
}
