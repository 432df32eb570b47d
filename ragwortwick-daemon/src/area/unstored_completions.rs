//! Ends of tasks that a coordinator heard and could not store, left for its successor.
//!
//! A coordinator that loses the store goes on hearing workers for seconds. An end that it hears then
//! is in no record, and if its worker leaves, nobody else ever hears it: the task would be done a
//! second time, after every lease there has run out.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use ragwortwick_adapter::{StoreClient, Txn, WriteItem};
use ragwortwick_area::{ProgressRecord, TaskId};
use ragwortwick_core::{DurationMs, JobId, log_event};
use serde::{Deserialize, Serialize};

use super::keys::JobKeyKind;
use super::store_health::StoreHealth;

/// Pause before ends that could not be left are tried again.
const RETRY_MS: DurationMs = DurationMs(200);

/// Tries to leave them, over half a minute at least: any lease has run out by then.
const TRIES: u32 = 150;

/// Jobs whose ends are left in one transaction.
const JOBS_AT_ONCE: usize = 32;

/// `HandedOverCompletion` is a task of one job that came to its end, and the run that did.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct HandedOverCompletion {
    occurrence: u32,
    step: u32,
    index: u32,
    run: u32,
}

impl HandedOverCompletion {
    /// The task, of the job that the end was left for, and the run.
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

/// `UnstoredCompletions` are the ends of a term that no stored record has yet; clones share them.
#[derive(Clone, Debug, Default)]
pub(super) struct UnstoredCompletions(Arc<Mutex<Vec<UnstoredCompletion>>>);

#[derive(Debug)]
struct UnstoredCompletion {
    job_id: JobId,
    end: HandedOverCompletion,
    /// The batch that stores it, once there is one.
    batch: Option<u64>,
}

impl UnstoredCompletions {
    fn lock(&self) -> MutexGuard<'_, Vec<UnstoredCompletion>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Notes that a run has done its work.
    pub(super) fn add(&self, task: &TaskId, run: u32) {
        self.lock().push(UnstoredCompletion {
            job_id: task.job_id.clone(),
            end: HandedOverCompletion {
                occurrence: task.occurrence,
                step: task.step,
                index: task.index,
                run,
            },
            batch: None,
        });
    }

    /// Notes that a batch holds the records of these jobs as they are now.
    pub(super) fn assign_batch(&self, batch: u64, records: &[ProgressRecord]) {
        for end in self.lock().iter_mut() {
            let is_held = records.iter().any(|record| record.job_id == end.job_id);
            if is_held && end.batch.is_none() {
                end.batch = Some(batch);
            }
        }
    }

    /// Notes that a batch is stored.
    pub(super) fn remove_batch(&self, batch: u64) {
        self.lock().retain(|end| end.batch != Some(batch));
    }

    /// Takes all that is left, by job.
    pub(super) fn take(&self) -> BTreeMap<JobId, Vec<HandedOverCompletion>> {
        let mut by_job: BTreeMap<JobId, Vec<HandedOverCompletion>> = BTreeMap::new();
        for left in self.lock().drain(..) {
            by_job.entry(left.job_id).or_default().push(left.end);
        }
        by_job
    }
}

/// Leaves ends in the store, where the next coordinator finds them; gives up after a while.
pub(super) async fn hand_over(
    store: StoreClient,
    health: StoreHealth,
    ends: BTreeMap<JobId, Vec<HandedOverCompletion>>,
) {
    let ends: Vec<(JobId, Vec<HandedOverCompletion>)> = ends.into_iter().collect();
    for jobs in ends.chunks(JOBS_AT_ONCE) {
        let writes = jobs.iter().filter_map(|(job_id, ends)| {
            let value = serde_json::to_vec(ends).ok()?;
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
        let is_left = write(&store, &health, &txn).await;
        log_event!(Info, "ends_left", jobs = jobs.len(), is_left = is_left);
    }
}

async fn write(store: &StoreClient, health: &StoreHealth, txn: &Txn) -> bool {
    for _ in 0..TRIES {
        let reply = store.commit(txn).await;
        health.record(&reply);
        if reply.is_ok() {
            return true;
        }
        tokio::time::sleep(RETRY_MS.into()).await;
    }
    false
}
