//! Hands the run results that a term learned but could not store over to the next term, through the store.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use ragwortwick_adapter::{KeyValue, Precondition, StoreClient, Txn, TxnReply, WriteItem};
use ragwortwick_area::{RunResult, RunResultKind, TaskId, UnstoredResults};
use ragwortwick_core::{DurationMs, JobId, Revision, log_event};
use serde::{Deserialize, Serialize};
use serde_json::Value;

use super::keys::JobKeyKind;
use super::store_health::StoreHealth;

/// Delay before a failed write of the results is retried.
const RETRY_DELAY_MS: DurationMs = DurationMs(200);

/// Tries of a write of the results, over half a minute at least: all leases have expired by then.
const MAX_TRIES: u32 = 150;

/// Jobs whose results are handed over in one transaction: each has two keys at most, and each key a condition
/// and a write, of 32 entries in all.
const JOBS_PER_TXN: usize = 8;

/// `SharedUnstoredResults` is a term's unstored results; clones share them.
#[derive(Clone, Debug, Default)]
pub(super) struct SharedUnstoredResults(Arc<Mutex<UnstoredResults>>);

impl SharedUnstoredResults {
    pub(super) fn lock(&self) -> MutexGuard<'_, UnstoredResults> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// `CompletionValue` is a completed task of one job, and the run that completed it, as stored.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct CompletionValue {
    occurrence: u32,
    step: u32,
    index: u32,
    run: u32,
}

impl CompletionValue {
    fn of(result: &RunResult) -> Self {
        Self {
            occurrence: result.task.occurrence,
            step: result.task.step,
            index: result.task.index,
            run: result.run,
        }
    }

    /// The result, given the job that it belongs to.
    pub(super) fn to_result(&self, job_id: &JobId) -> RunResult {
        RunResult {
            task: TaskId {
                job_id: job_id.clone(),
                occurrence: self.occurrence,
                step: self.step,
                index: self.index,
            },
            run: self.run,
            kind: RunResultKind::Completed,
        }
    }
}

/// `ResultValue` is a run of one job that failed or was lost in a crash, as stored.
///
/// It has a key of its own: hosts of earlier versions take each entry beside the completions for one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct ResultValue {
    #[serde(flatten)]
    run: CompletionValue,
    kind: ResultValueKind,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
enum ResultValueKind {
    Failed,
    Crashed {
        is_suspect: bool,
        run_age_ms: Option<u64>,
    },
}

impl ResultValue {
    /// The stored form of a result; none for a completion.
    fn of(result: &RunResult) -> Option<Self> {
        let kind = match result.kind {
            RunResultKind::Completed => return None,
            RunResultKind::Failed => ResultValueKind::Failed,
            RunResultKind::Crashed {
                is_suspect,
                run_age_ms,
            } => ResultValueKind::Crashed {
                is_suspect,
                run_age_ms: run_age_ms.map(|age_ms| age_ms.0),
            },
        };
        let run = CompletionValue::of(result);
        Some(Self { run, kind })
    }

    /// The result, given the job that it belongs to.
    pub(super) fn to_result(&self, job_id: &JobId) -> RunResult {
        let kind = match self.kind {
            ResultValueKind::Failed => RunResultKind::Failed,
            ResultValueKind::Crashed {
                is_suspect,
                run_age_ms,
            } => RunResultKind::Crashed {
                is_suspect,
                run_age_ms: run_age_ms.map(DurationMs),
            },
        };
        RunResult {
            kind,
            ..self.run.to_result(job_id)
        }
    }
}

/// `HandoverKey` is one key to write, with the rows that its list must contain.
struct HandoverKey {
    key: String,
    rows: Vec<Value>,
    /// Revision of the value that `rows` includes; zero if the key does not exist.
    revision: Revision,
}

impl HandoverKey {
    /// A key for the values; none if there are no values.
    fn new(kind: JobKeyKind, job_id: &JobId, values: &[impl Serialize]) -> Option<Self> {
        let rows: Vec<Value> = values
            .iter()
            .filter_map(|value| serde_json::to_value(value).ok())
            .collect();
        (!rows.is_empty()).then(|| Self {
            key: kind.key_of(job_id),
            rows,
            revision: Revision(0),
        })
    }

    /// Adds the rows that an earlier term handed over.
    fn merge(&mut self, stored: &KeyValue) {
        let mut rows: Vec<Value> = match serde_json::from_slice(&stored.value) {
            Ok(rows) => rows,
            Err(error) => {
                log_event!(Error, "record_unreadable", key = self.key, cause = error);
                Vec::new()
            }
        };
        let added = self.rows.drain(..).filter(|row| !rows.contains(row));
        let added: Vec<Value> = added.collect();
        rows.extend(added);
        self.rows = rows;
        self.revision = stored.revision;
    }

    fn precondition(&self) -> Precondition {
        Precondition {
            key: self.key.clone(),
            revision: self.revision,
        }
    }

    fn write(&self) -> WriteItem {
        WriteItem {
            key: self.key.clone(),
            value: Value::from(self.rows.clone()).to_string().into_bytes(),
            lease: None,
        }
    }
}

/// Writes results to the store, where the next coordinator reads them; gives up after `MAX_TRIES`.
pub(super) async fn hand_over(
    store: StoreClient,
    health: StoreHealth,
    results: BTreeMap<JobId, Vec<RunResult>>,
) {
    let results: Vec<(JobId, Vec<RunResult>)> = results.into_iter().collect();
    for jobs in results.chunks(JOBS_PER_TXN) {
        let keys = jobs
            .iter()
            .flat_map(|(job_id, results)| keys_of(job_id, results));
        let is_stored = write(&store, &health, keys.collect()).await;
        log_event!(Info, "ends_left", jobs = jobs.len(), is_left = is_stored);
    }
}

fn keys_of(job_id: &JobId, results: &[RunResult]) -> impl Iterator<Item = HandoverKey> {
    let is_completion = |result: &&RunResult| result.kind == RunResultKind::Completed;
    let completions = results.iter().filter(is_completion);
    let completions: Vec<CompletionValue> = completions.map(CompletionValue::of).collect();
    let others: Vec<ResultValue> = results.iter().filter_map(ResultValue::of).collect();
    let keys = [
        HandoverKey::new(JobKeyKind::HandedOverCompletions, job_id, &completions),
        HandoverKey::new(JobKeyKind::HandedOverResults, job_id, &others),
    ];
    keys.into_iter().flatten()
}

async fn write(store: &StoreClient, health: &StoreHealth, mut keys: Vec<HandoverKey>) -> bool {
    for _ in 0..MAX_TRIES {
        let txn = Txn {
            preconditions: keys.iter().map(HandoverKey::precondition).collect(),
            writes: keys.iter().map(HandoverKey::write).collect(),
            ..Txn::default()
        };
        let reply = store.commit(&txn).await;
        health.record(&reply);
        match reply {
            Ok(TxnReply::Committed(_)) => return true,
            Ok(TxnReply::Conflict(items)) => {
                for key in &mut keys {
                    match items.iter().find(|item| item.key == key.key) {
                        Some(stored) => key.merge(stored),
                        None => key.revision = Revision(0),
                    }
                }
            }
            Err(_) => tokio::time::sleep(RETRY_DELAY_MS.into()).await,
        }
    }
    false
}
