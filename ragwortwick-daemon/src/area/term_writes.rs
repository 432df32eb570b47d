//! What a term writes: batches of progress, in order, and the removal of old jobs.

use std::collections::HashSet;
use std::time::Duration;

use ragwortwick_area::{Event, StoredProgress};
use ragwortwick_core::{JobId, log_event};
use tokio::sync::mpsc;

use super::coordination::EventSender;
use super::job_store::JobStore;
use super::metrics::AreaMetrics;
use super::replica::Replica;
use super::unstored_ends::UnstoredEnds;
use crate::unix_now;

/// `Write` is a change that the store has to take.
pub(super) enum Write {
    /// Records of jobs.
    Batch {
        batch: u64,
        records: Vec<StoredProgress>,
    },
    /// A job that ended long ago.
    Forget(JobId),
}

/// `EndedJobs` tells of jobs that came to their end, once that is stored.
pub(super) struct EndedJobs {
    pub(super) replica: Replica,
    pub(super) metrics: AreaMetrics,
    /// Jobs whose end was told, by this term or before it.
    pub(super) told: HashSet<JobId>,
}

impl EndedJobs {
    pub(super) fn tell(&mut self, stored: &StoredProgress) {
        let phase = stored.progress.phase;
        if !phase.is_final() {
            return;
        }
        // A record is stored again while runs of an ended job still stop; that is no second end. The
        // replica can't tell: its watch may have shown the stored end before this is reached.
        if !self.told.insert(stored.job_id.clone()) {
            return;
        }
        let view = self.replica.view(&stored.job_id);
        let phase = format!("{phase:?}");
        log_event!(Info, "job_over", job_id = stored.job_id, phase = phase);
        if let Some(record) = view.and_then(|view| view.record) {
            let taken = Duration::from(unix_now().since(record.accepted_unix_ms));
            let labels = [record.customer.as_str(), phase.as_str()];
            let timed = self.metrics.end_seconds.with_label_values(&labels);
            timed.observe(taken.as_secs_f64());
        }
    }
}

/// Writes batch after batch until the key is lost.
pub(super) async fn write_batches(
    mut job_store: JobStore,
    mut batches: mpsc::UnboundedReceiver<Write>,
    events: EventSender,
    end: mpsc::Sender<&'static str>,
    mut ends: EndedJobs,
    unstored: UnstoredEnds,
) {
    while let Some(write) = batches.recv().await {
        match write {
            Write::Batch { batch, records } => {
                if job_store.store(&records).await.is_err() {
                    let _ = end.send("the key is lost").await;
                    return;
                }
                unstored.stored(batch);
                for record in &records {
                    ends.tell(record);
                }
                events.send(Event::Stored { batch }).await;
            }
            Write::Forget(job_id) => {
                job_store.forget(&job_id).await;
                ends.told.remove(&job_id);
            }
        }
    }
}
