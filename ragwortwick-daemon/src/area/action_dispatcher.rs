//! Where the actions of a term's coordinator go: the store, the workers, logs and metrics.

use ragwortwick_area::{Action, RunEndReason, RunEnded, WorkerLossReport};
use ragwortwick_core::{DurationMs, log_event};
use tokio::sync::mpsc;
use tokio::task::JoinSet;

use super::batch_writer::StoreWrite;
use super::log_rate_limiter::LogRateLimiter;
use super::metrics::AreaMetrics;
use super::order_sender::OrderSender;
use super::unstored_completions::UnstoredCompletions;

/// `ActionDispatcher` routes the coordinator's actions to the store, workers, logs and metrics.
pub(super) struct ActionDispatcher {
    writes: mpsc::UnboundedSender<StoreWrite>,
    sender: OrderSender,
    run_end_log_limiter: LogRateLimiter,
    metrics: AreaMetrics,
    pub(super) unstored: UnstoredCompletions,
}

impl ActionDispatcher {
    pub(super) fn open(
        writes: mpsc::UnboundedSender<StoreWrite>,
        sender: OrderSender,
        metrics: AreaMetrics,
        unstored: UnstoredCompletions,
    ) -> Self {
        Self {
            writes,
            sender,
            run_end_log_limiter: LogRateLimiter::new("run_over"),
            metrics,
            unstored,
        }
    }

    /// Sends actions on their way; tells whether the term goes on.
    pub(super) fn dispatch(&self, batch: Vec<Action>, orders: &mut JoinSet<()>) -> bool {
        for action in batch {
            match action {
                Action::Store { batch, records } => {
                    self.unstored.assign_batch(batch, &records);
                    self.write(StoreWrite::Batch { batch, records });
                }
                Action::DeleteJob(job_id) => self.write(StoreWrite::DeleteJob(job_id)),
                Action::Resign => return false,
                Action::LogRunEnd(over) => self.report(&over),
                Action::LogWorkerLoss(lost) => self.report_loss(&lost),
                order => {
                    orders.spawn(self.sender.clone().execute(order));
                }
            }
        }
        true
    }

    fn write(&self, write: StoreWrite) {
        // The writer ends first only if the key is lost, which ends the term as well.
        let _ = self.writes.send(write);
    }

    fn report(&self, over: &RunEnded) {
        if over.reason == RunEndReason::Done {
            self.unstored.add(&over.task, over.run);
        }
        let cause = over.reason.to_string();
        let labels = [cause.as_str()];
        self.metrics.runs_ended.with_label_values(&labels).inc();
        let lost = self.metrics.lost_core_seconds.with_label_values(&labels);
        lost.inc_by(DurationMs(over.lost_core_ms).as_secs_f64());
        if self.run_end_log_limiter.admit(self.sender.clock.now()) {
            log_event!(
                Info,
                "run_over",
                task = over.task,
                run = over.run,
                worker = over.worker,
                term = self.sender.term,
                cause = cause,
                ran_ms = shown(over.ran_ms),
                lost_core_ms = over.lost_core_ms
            );
        }
    }

    /// Tells what operators need to see whether the task or the worker was at fault.
    fn report_loss(&self, lost: &WorkerLossReport) {
        let cause = lost.cause.to_string();
        let labels = [cause.as_str()];
        self.metrics.workers_lost.with_label_values(&labels).inc();
        let ages = lost.runs.iter().map(|(_, age_ms)| *age_ms);
        let youngest = lost.runs.iter().min_by_key(|(_, age_ms)| *age_ms);
        log_event!(
            Info,
            "worker_lost",
            worker = lost.worker,
            rack = lost.rack,
            term = self.sender.term,
            cause = cause,
            silence = lost.contact_loss.map_or_else(
                || "none".to_owned(),
                |silence| format!("{:?}", silence.kind)
            ),
            runs = lost.runs.len(),
            youngest = youngest.map_or_else(String::new, |(task, _)| task.to_string()),
            youngest_ms = shown(ages.min().flatten()),
            lost_together = lost.lost_together,
            blamed = blamed(lost)
        );
    }
}

/// The tasks that a crash counts against, as logs show them; `none` for none.
fn blamed(lost: &WorkerLossReport) -> String {
    let tasks = lost.suspects.iter();
    let tasks: Vec<String> = tasks
        .map(|(task, count)| format!("{task}:{count}"))
        .collect();
    if tasks.is_empty() {
        "none".to_owned()
    } else {
        tasks.join(",")
    }
}

/// A span as logs show it; `unknown` for none.
fn shown(span_ms: Option<DurationMs>) -> String {
    span_ms.map_or_else(|| "unknown".to_owned(), |span_ms| span_ms.to_string())
}
