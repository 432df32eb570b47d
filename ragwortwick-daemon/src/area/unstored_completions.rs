//! Completions that a coordinator received but could not store, handed over to the next coordinator.
//!
//! A coordinator that loses the store receives replies from workers for some more seconds. A completion
//! received in that time is in no record. If its worker then leaves, no other host receives it, and the
//! task would run a second time once all leases on that worker have expired.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use ragwortwick_adapter::{StoreClient, Txn, WriteItem};
use ragwortwick_area::{ProgressRecord, TaskId};
use ragwortwick_core::{DurationMs, JobId, log_event};
use serde::{Deserialize, Serialize};

use super::keys::JobKeyKind;
use super::store_health::StoreHealth;

/// Delay before a failed handover is retried.
const RETRY_DELAY_MS: DurationMs = DurationMs(200);

/// Tries of a handover, over half a minute at least: all leases have expired by then.
const MAX_TRIES: u32 = 150;

/// Jobs whose completions are handed over in one transaction.
const JOBS_PER_TXN: usize = 32;

/// `HandedOverCompletion` is a completed task of one job, and the run that completed it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct HandedOverCompletion {
    occurrence: u32,
    step: u32,
    index: u32,
    run: u32,
}

impl HandedOverCompletion {
    /// The task, given the job that it belongs to, and its run.
    pub(super) fn task_and_run(&self, job_id: &JobId) -> (TaskId, u32) {
        let task = TaskId {
            job_id: job_id.clone(),
            occurrence: self.occurrence,
            step: self.step,
            index: self.index,
        };
        (task, self.run)
    }
}

/// `UnstoredCompletions` holds a term's completions that no stored record contains yet; clones share them.
#[derive(Clone, Debug, Default)]
pub(super) struct UnstoredCompletions(Arc<Mutex<Vec<UnstoredCompletion>>>);

#[derive(Debug)]
struct UnstoredCompletion {
    job_id: JobId,
    completion: HandedOverCompletion,
    /// The batch that contains it, once there is one.
    batch: Option<u64>,
}

impl UnstoredCompletions {
    fn lock(&self) -> MutexGuard<'_, Vec<UnstoredCompletion>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that a run has completed its task.
    pub(super) fn add(&self, task: &TaskId, run: u32) {
        self.lock().push(UnstoredCompletion {
            job_id: task.job_id.clone(),
            completion: HandedOverCompletion {
                occurrence: task.occurrence,
                step: task.step,
                index: task.index,
                run,
            },
            batch: None,
        });
    }

    /// Records that a batch contains the current records of these jobs.
    pub(super) fn assign_batch(&self, batch: u64, records: &[ProgressRecord]) {
        for unstored in self.lock().iter_mut() {
            let is_contained = records
                .iter()
                .any(|record| record.job_id == unstored.job_id);
            if is_contained && unstored.batch.is_none() {
                unstored.batch = Some(batch);
            }
        }
    }

    /// Removes the completions of a stored batch.
    pub(super) fn remove_batch(&self, batch: u64) {
        self.lock().retain(|unstored| unstored.batch != Some(batch));
    }

    /// Takes all unstored completions, by job.
    pub(super) fn take(&self) -> BTreeMap<JobId, Vec<HandedOverCompletion>> {
        let mut by_job: BTreeMap<JobId, Vec<HandedOverCompletion>> = BTreeMap::new();
        for unstored in self.lock().drain(..) {
            by_job
                .entry(unstored.job_id)
                .or_default()
                .push(unstored.completion);
        }
        by_job
    }
}

/// Writes completions to the store, where the next coordinator reads them; gives up after `MAX_TRIES`.
pub(super) async fn hand_over(
    store: StoreClient,
    health: StoreHealth,
    completions: BTreeMap<JobId, Vec<HandedOverCompletion>>,
) {
    let completions: Vec<(JobId, Vec<HandedOverCompletion>)> = completions.into_iter().collect();
    for jobs in completions.chunks(JOBS_PER_TXN) {
        let writes = jobs.iter().filter_map(|(job_id, completions)| {
            let value = serde_json::to_vec(completions).ok()?;
            Some(WriteItem {
                key: JobKeyKind::HandedOverCompletions.key_of(job_id),
                value,
                lease: None,
            })
        });
        let txn = Txn {
            writes: writes.collect(),
            ..Txn::default()
        };
        let is_stored = write(&store, &health, &txn).await;
        log_event!(Info, "ends_left", jobs = jobs.len(), is_left = is_stored);
    }
}

async fn write(store: &StoreClient, health: &StoreHealth, txn: &Txn) -> bool {
    for _ in 0..MAX_TRIES {
        let reply = store.commit(txn).await;
        health.record(&reply);
        if reply.is_ok() {
            return true;
        }
        tokio::time::sleep(RETRY_DELAY_MS.into()).await;
    }
    false
}
