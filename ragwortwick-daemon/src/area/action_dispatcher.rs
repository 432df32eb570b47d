//! Dispatches the actions of a term's coordinator to the store, the workers, the logs and the metrics.

use ragwortwick_area::{
    Action, EvacuationChange, LoadPicture, Preemption, RunEnded, SpeedRecord, UntrackedRun,
    WorkerLossReport,
};
use ragwortwick_core::{DurationMs, log_event};
use tokio::sync::mpsc;
use tokio::task::JoinSet;

use super::batch_writer::StoreWrite;
use super::handover::SharedUnstoredResults;
use super::log_rate_limiter::{CauseLogLimiter, LogRateLimiter};
use super::metrics::AreaMetrics;
use super::order_sender::OrderSender;

/// `ActionDispatcher` dispatches the actions of one term.
pub(super) struct ActionDispatcher {
    writes: mpsc::UnboundedSender<StoreWrite>,
    order_sender: OrderSender,
    run_end_log_limiter: CauseLogLimiter,
    preemption_log_limiter: CauseLogLimiter,
    untracked_log_limiter: LogRateLimiter,
    metrics: AreaMetrics,
    pub(super) unstored: SharedUnstoredResults,
}

impl ActionDispatcher {
    pub(super) fn open(
        writes: mpsc::UnboundedSender<StoreWrite>,
        order_sender: OrderSender,
        metrics: AreaMetrics,
        unstored: SharedUnstoredResults,
    ) -> Self {
        Self {
            writes,
            order_sender,
            run_end_log_limiter: CauseLogLimiter::new("run_over"),
            preemption_log_limiter: CauseLogLimiter::new("step_preempted"),
            untracked_log_limiter: LogRateLimiter::new("run_untracked"),
            metrics,
            unstored,
        }
    }

    /// Dispatches a batch of actions; returns whether the term continues.
    pub(super) fn dispatch(&self, batch: Vec<Action>, orders: &mut JoinSet<()>) -> bool {
        for action in batch {
            self.unstored.lock().record_action(&action);
            match action {
                Action::Store { batch, records } => {
                    self.write(StoreWrite::Batch { batch, records });
                }
                Action::PublishLoad(picture) => {
                    self.report_load(&picture);
                    self.write(StoreWrite::Load(picture));
                }
                Action::StoreSpeeds(record) => {
                    self.report_speeds(&record);
                    self.write(StoreWrite::Speeds(record));
                }
                Action::DeleteJob(job_id) => self.write(StoreWrite::DeleteJob(job_id)),
                Action::Resign => return false,
                Action::LogRunEnd(ended) => self.report_run_end(&ended),
                Action::LogPreemption(preemption) => self.report_preemption(&preemption),
                Action::LogWorkerLoss(lost) => self.report_worker_loss(&lost),
                Action::LogUntrackedRun(untracked) => self.report_untracked_run(&untracked),
                Action::LogEvacuation(change) => self.report_evacuation(&change),
                order => {
                    orders.spawn(self.order_sender.clone().execute(order));
                }
            }
        }
        true
    }

    fn write(&self, write: StoreWrite) {
        // The writer ends before the term only if the coordinator key is lost, which ends the term as well.
        let _ = self.writes.send(write);
    }

    fn report_run_end(&self, ended: &RunEnded) {
        let cause = ended.reason.to_string();
        let labels = [cause.as_str()];
        self.metrics.runs_ended.with_label_values(&labels).inc();
        let lost_work = self.metrics.lost_core_seconds.with_label_values(&labels);
        lost_work.inc_by(DurationMs(ended.lost_core_ms).as_secs_f64());
        let evidence = ended.evidence.to_string();
        let labels = [evidence.as_str()];
        self.metrics
            .run_end_evidence
            .with_label_values(&labels)
            .inc();
        let now = self.order_sender.clock.now();
        if self
            .run_end_log_limiter
            .admit(now, &format!("{cause}/{evidence}"))
        {
            log_event!(
                Info,
                "run_over",
                task = ended.task,
                run = ended.run,
                worker = ended.worker,
                term = self.order_sender.term,
                cause = cause,
                evidence = evidence,
                start_orders = ended.start_orders,
                start_replies = ended.start_replies,
                reply_age_ms = format_ms(ended.reply_age_ms),
                ran_ms = format_ms(ended.ran_ms),
                lost_core_ms = ended.lost_core_ms
            );
        }
    }

    fn report_preemption(&self, preemption: &Preemption) {
        let kind = preemption.kind.to_string();
        let is_guaranteed = preemption.is_guaranteed.to_string();
        let labels = [kind.as_str(), is_guaranteed.as_str()];
        self.metrics.preemptions.with_label_values(&labels).inc();
        let now = self.order_sender.clock.now();
        if self.preemption_log_limiter.admit(now, &kind) {
            log_event!(
                Info,
                "step_preempted",
                step = preemption.step,
                kind = kind,
                accelerators = preemption.accelerators,
                preemptor = preemption.preemptor,
                is_guaranteed = is_guaranteed,
                accelerators_needed = preemption.accelerators_needed,
                term = self.order_sender.term
            );
        }
    }

    fn report_load(&self, picture: &LoadPicture) {
        self.metrics.set_queue_waits(picture);
        for (queue, load) in &picture.queues {
            log_event!(
                Info,
                "queue_short",
                queue = queue,
                wait_ms = load.wait_ms,
                duration_percent = load.duration_percent,
                term = self.order_sender.term
            );
        }
        if picture.queues.is_empty() {
            log_event!(Info, "queues_caught_up", term = self.order_sender.term);
        }
    }

    fn report_speeds(&self, record: &SpeedRecord) {
        let counts = record.counts();
        self.metrics.set_workers_by_speed(counts);
        log_event!(
            Info,
            "speeds_learned",
            fast = counts.fast,
            normal = counts.normal,
            slow = counts.slow,
            is_uneven = record.is_uneven,
            term = self.order_sender.term
        );
    }

    fn report_untracked_run(&self, untracked: &UntrackedRun) {
        let job_phase = untracked
            .job_phase
            .map_or_else(|| "Unknown".to_owned(), |phase| format!("{phase:?}"));
        let counter = &self.metrics.untracked_runs;
        counter.with_label_values(&[job_phase.as_str()]).inc();
        if self
            .untracked_log_limiter
            .admit(self.order_sender.clock.now())
        {
            log_event!(
                Info,
                "run_untracked",
                task = untracked.task,
                run = untracked.run,
                worker = untracked.worker,
                term = self.order_sender.term,
                job_phase = job_phase
            );
        }
    }

    /// Logs how many workers get no new runs from now on, or get them again.
    fn report_evacuation(&self, change: &EvacuationChange) {
        log_event!(
            Info,
            "zone_evacuated",
            zone = change.zone,
            is_evacuated = change.is_evacuated,
            workers = change.workers,
            runs = change.runs,
            term = self.order_sender.term
        );
    }

    /// Logs a lost worker with what operators need to find out whether a task or the worker was at fault.
    fn report_worker_loss(&self, lost: &WorkerLossReport) {
        let cause = lost.cause.to_string();
        let labels = [cause.as_str()];
        self.metrics.workers_lost.with_label_values(&labels).inc();
        let youngest = lost.runs.iter().min_by_key(|run| run.age_ms);
        log_event!(
            Info,
            "worker_lost",
            worker = lost.worker,
            rack = lost.rack,
            term = self.order_sender.term,
            cause = cause,
            silence = lost.contact_loss.map_or_else(
                || "none".to_owned(),
                |contact_loss| format!("{:?}", contact_loss.kind)
            ),
            runs = lost.runs.len(),
            youngest = youngest.map_or_else(String::new, |run| run.task.to_string()),
            youngest_ms = format_ms(youngest.and_then(|run| run.age_ms)),
            lost_together = lost.lost_together,
            blamed = format_blamed(lost)
        );
    }
}

/// Formats the tasks that a crash is attributed to for the log; `none` if there are none.
fn format_blamed(lost: &WorkerLossReport) -> String {
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

/// Formats a duration for the log; `unknown` if there is none.
fn format_ms(span_ms: Option<DurationMs>) -> String {
    span_ms.map_or_else(|| "unknown".to_owned(), |span_ms| span_ms.to_string())
}
