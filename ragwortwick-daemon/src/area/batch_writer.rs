//! Writes of a term to the store: batches of job progress, and the deletion of old jobs.

use std::collections::HashSet;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use ragwortwick_area::{Event, JobAccounting, JobRecord, LoadPicture, ProgressRecord, SpeedRecord};
use ragwortwick_core::{DurationMs, JobId, log_event};
use tokio::sync::mpsc;
use tokio::task::JoinSet;

use super::coordinator_handler::EventSender;
use super::handover::SharedUnstoredResults;
use super::metrics::AreaMetrics;
use super::progress_store::{ProgressStore, TermLost};
use super::replica::JobReplica;
use crate::unix_now;

/// `StoreWrite` is a write that a term queues for the store.
pub(super) enum StoreWrite {
    /// A batch of progress records.
    Batch {
        batch: u64,
        records: Vec<ProgressRecord>,
    },
    /// The speeds of the workers, for the next coordinator.
    Speeds(SpeedRecord),
    /// The queues that are short of capacity, for all hosts.
    Load(LoadPicture),
    /// Deletion of a job whose retention has ended.
    DeleteJob(JobId),
}

/// `JobEndReporter` logs and counts each job's end once, after it is stored; clones share the reported jobs.
#[derive(Clone)]
pub(super) struct JobEndReporter {
    replica: JobReplica,
    metrics: AreaMetrics,
    /// Jobs whose end was reported, in this term or before it.
    reported: Arc<Mutex<HashSet<JobId>>>,
}

impl JobEndReporter {
    /// `reported` holds the jobs whose end was reported before this term.
    pub(super) fn open(
        replica: JobReplica,
        metrics: AreaMetrics,
        reported: HashSet<JobId>,
    ) -> Self {
        Self {
            replica,
            metrics,
            reported: Arc::new(Mutex::new(reported)),
        }
    }

    fn reported(&self) -> MutexGuard<'_, HashSet<JobId>> {
        self.reported.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn remove(&self, job_id: &JobId) {
        self.reported().remove(job_id);
    }

    pub(super) fn report(&self, stored: &ProgressRecord) {
        let phase = stored.progress.phase;
        if !phase.is_final() {
            return;
        }
        // A record is stored again while runs of an ended job are still stopping; its end is reported once.
        // The replica can't detect the repeat: its watch may have delivered the stored end already.
        if !self.reported().insert(stored.job_id.clone()) {
            return;
        }
        let view = self.replica.view(&stored.job_id);
        let phase = format!("{phase:?}");
        let Some(record) = view.and_then(|view| view.record) else {
            log_event!(Info, "job_over", job_id = stored.job_id, phase = phase);
            return;
        };
        let took_ms = unix_now().since(record.accepted_unix_ms);
        let labels = [record.customer.as_str(), phase.as_str()];
        let histogram = self.metrics.job_end_seconds.with_label_values(&labels);
        histogram.observe(took_ms.as_secs_f64());
        if let Some(accounting) = &stored.accounting {
            log_accounting(&record, &phase, took_ms, accounting);
            self.observe_parts(&record, accounting);
        } else {
            log_event!(Info, "job_over", job_id = stored.job_id, phase = phase);
        }
    }

    fn observe_parts(&self, record: &JobRecord, accounting: &JobAccounting) {
        // Incomplete accounting lacks the time under an earlier coordinator.
        if !accounting.is_complete {
            return;
        }
        let parts = [
            ("room", accounting.queued_ms),
            ("again", accounting.requeued_ms),
            ("begin", accounting.starting_ms),
            ("run", accounting.running_ms),
        ];
        for (part, spent_ms) in parts {
            let labels = [record.customer.as_str(), record.queue.as_str(), part];
            let histogram = self.metrics.job_part_seconds.with_label_values(&labels);
            histogram.observe(spent_ms.as_secs_f64());
        }
    }
}

/// Logs one line for each job, without a rate limit, because `ragwortwick ends` reads it.
fn log_accounting(
    record: &JobRecord,
    phase: &str,
    took_ms: DurationMs,
    accounting: &JobAccounting,
) {
    let losses: Vec<String> = accounting
        .lost_work
        .iter()
        .map(|(reason, loss)| format!("{reason}:{}:{}", loss.runs, loss.core_ms))
        .collect();
    let preempted_by = accounting.preempted_by.as_ref().map_or("-", JobId::as_str);
    log_event!(
        Info,
        "job_over",
        job_id = record.job_id,
        phase = phase,
        customer = record.customer,
        queue = record.queue,
        took_ms = took_ms,
        stretch = record.policy.stretch,
        target_ms = record.policy.target_latency_ms,
        has_set_times = record.schedule.is_some(),
        is_whole = accounting.is_complete,
        room_ms = accounting.queued_ms,
        again_ms = accounting.requeued_ms,
        begin_ms = accounting.starting_ms,
        run_ms = accounting.running_ms,
        lost_ms = accounting.lost_ms,
        starts = accounting.starts,
        losses = losses.join(","),
        displaced_by = preempted_by
    );
}

/// `BatchWriter` writes a term's batches, several concurrently, because they contain records of different
/// jobs.
#[derive(Clone)]
pub(super) struct BatchWriter {
    pub(super) progress_store: ProgressStore,
    pub(super) events: EventSender,
    pub(super) job_ends: JobEndReporter,
    pub(super) unstored: SharedUnstoredResults,
}

impl BatchWriter {
    /// Writes until the coordinator key is lost, and then ends the term.
    pub(super) async fn run(
        self,
        mut writes: mpsc::UnboundedReceiver<StoreWrite>,
        end_sender: mpsc::Sender<&'static str>,
    ) {
        let mut batches = JoinSet::new();
        loop {
            tokio::select! {
                write = writes.recv() => match write {
                    None => return,
                    Some(StoreWrite::Batch { batch, records }) => {
                        batches.spawn(self.clone().store(batch, records));
                    }
                    Some(StoreWrite::Load(picture)) => {
                        let progress_store = self.progress_store.clone();
                        tokio::spawn(async move { progress_store.store_load(&picture).await });
                    }
                    Some(StoreWrite::Speeds(record)) => {
                        let progress_store = self.progress_store.clone();
                        tokio::spawn(async move { progress_store.store_speeds(&record).await });
                    }
                    Some(StoreWrite::DeleteJob(job_id)) => self.delete_job(&job_id).await,
                },
                Some(written) = batches.join_next() => {
                    if !matches!(written, Ok(Ok(()))) {
                        let _ = end_sender.send("the coordinator key is lost").await;
                        return;
                    }
                }
            }
        }
    }

    async fn store(self, batch: u64, records: Vec<ProgressRecord>) -> Result<(), TermLost> {
        self.progress_store.store(&records).await?;
        self.unstored.lock().remove_batch(batch);
        for record in &records {
            self.job_ends.report(record);
        }
        self.events.send(Event::BatchStored { batch }).await;
        Ok(())
    }

    async fn delete_job(&self, job_id: &JobId) {
        self.progress_store.delete_job(job_id).await;
        self.job_ends.remove(job_id);
    }
}
