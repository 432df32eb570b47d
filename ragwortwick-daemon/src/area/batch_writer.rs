//! What a term writes: batches of progress, and the removal of old jobs.

use std::collections::HashSet;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use ragwortwick_area::{Event, JobAccounting, JobRecord, ProgressRecord};
use ragwortwick_core::{DurationMs, JobId, log_event};
use tokio::sync::mpsc;
use tokio::task::JoinSet;

use super::coordinator_handler::EventSender;
use super::metrics::AreaMetrics;
use super::progress_store::{ProgressStore, TermLost};
use super::replica::JobReplica;
use super::unstored_completions::UnstoredCompletions;
use crate::unix_now;

/// `StoreWrite` is a change that the store has to take.
pub(super) enum StoreWrite {
    /// Records of jobs.
    Batch {
        batch: u64,
        records: Vec<ProgressRecord>,
    },
    /// A job that ended long ago.
    DeleteJob(JobId),
}

/// `JobEndReporter` tells of jobs that came to their end, once that is stored; clones share what was told.
#[derive(Clone)]
pub(super) struct JobEndReporter {
    replica: JobReplica,
    metrics: AreaMetrics,
    /// Jobs whose end was told, by this term or before it.
    told: Arc<Mutex<HashSet<JobId>>>,
}

impl JobEndReporter {
    /// `told` are the jobs whose end was told before this term.
    pub(super) fn open(replica: JobReplica, metrics: AreaMetrics, told: HashSet<JobId>) -> Self {
        Self {
            replica,
            metrics,
            told: Arc::new(Mutex::new(told)),
        }
    }

    fn told(&self) -> MutexGuard<'_, HashSet<JobId>> {
        self.told.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn forget(&self, job_id: &JobId) {
        self.told().remove(job_id);
    }

    pub(super) fn report(&self, stored: &ProgressRecord) {
        let phase = stored.progress.phase;
        if !phase.is_final() {
            return;
        }
        // A record is stored again while runs of an ended job still stop; that is no second end. The
        // replica can't tell: its watch may have shown the stored end before this is reached.
        if !self.told().insert(stored.job_id.clone()) {
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
        let timed = self.metrics.job_end_seconds.with_label_values(&labels);
        timed.observe(took_ms.as_secs_f64());
        if let Some(account) = &stored.accounting {
            log_account(&record, &phase, took_ms, account);
            self.time_parts(&record, account);
        } else {
            log_event!(Info, "job_over", job_id = stored.job_id, phase = phase);
        }
    }

    fn time_parts(&self, record: &JobRecord, account: &JobAccounting) {
        // What an earlier coordinator saw of the job is missing in the others.
        if !account.is_complete {
            return;
        }
        let parts = [
            ("room", account.queued_ms),
            ("again", account.requeued_ms),
            ("begin", account.starting_ms),
            ("run", account.running_ms),
        ];
        for (part, spent_ms) in parts {
            let labels = [record.customer.as_str(), record.queue.as_str(), part];
            let timed = self.metrics.job_part_seconds.with_label_values(&labels);
            timed.observe(spent_ms.as_secs_f64());
        }
    }
}

/// One line for each job, whatever else is left out: what `ragwortwick ends` reads.
fn log_account(record: &JobRecord, phase: &str, took_ms: DurationMs, account: &JobAccounting) {
    let losses: Vec<String> = account
        .lost_work
        .iter()
        .map(|(why, loss)| format!("{why}:{}:{}", loss.runs, loss.core_ms))
        .collect();
    let displaced_by = account.preempted_by.as_ref().map_or("-", JobId::as_str);
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
        is_whole = account.is_complete,
        room_ms = account.queued_ms,
        again_ms = account.requeued_ms,
        begin_ms = account.starting_ms,
        run_ms = account.running_ms,
        lost_ms = account.lost_ms,
        starts = account.starts,
        losses = losses.join(","),
        displaced_by = displaced_by
    );
}

/// `BatchWriter` writes a term's batches, several side by side: they hold records of different jobs.
#[derive(Clone)]
pub(super) struct BatchWriter {
    pub(super) progress_store: ProgressStore,
    pub(super) events: EventSender,
    pub(super) ends: JobEndReporter,
    pub(super) unstored: UnstoredCompletions,
}

impl BatchWriter {
    /// Writes what comes until the key is lost; tells then.
    pub(super) async fn run(
        self,
        mut writes: mpsc::UnboundedReceiver<StoreWrite>,
        end: mpsc::Sender<&'static str>,
    ) {
        let mut batches = JoinSet::new();
        loop {
            tokio::select! {
                write = writes.recv() => match write {
                    None => return,
                    Some(StoreWrite::Batch { batch, records }) => {
                        batches.spawn(self.clone().store(batch, records));
                    }
                    Some(StoreWrite::DeleteJob(job_id)) => self.forget(&job_id).await,
                },
                Some(written) = batches.join_next() => {
                    if !matches!(written, Ok(Ok(()))) {
                        let _ = end.send("the key is lost").await;
                        return;
                    }
                }
            }
        }
    }

    async fn store(self, batch: u64, records: Vec<ProgressRecord>) -> Result<(), TermLost> {
        self.progress_store.store(&records).await?;
        self.unstored.remove_batch(batch);
        for record in &records {
            self.ends.report(record);
        }
        self.events.send(Event::BatchStored { batch }).await;
        Ok(())
    }

    async fn forget(&self, job_id: &JobId) {
        self.progress_store.delete_job(job_id).await;
        self.ends.forget(job_id);
    }
}
