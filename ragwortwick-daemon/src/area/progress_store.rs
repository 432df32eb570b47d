//! The coordinator's writes of job progress: fenced by the coordinator key and retried until their
//! outcome is certain.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use ragwortwick_adapter::{
    KeyValue, Precondition, StoreClient, StoreError, Txn, TxnReply, WriteItem,
};
use ragwortwick_area::{LoadPicture, ProgressRecord, SpeedRecord};
use ragwortwick_core::{DurationMs, JobId, Revision, log_event};
use serde::Serialize;

use super::keys::{COORDINATOR_KEY, JobKeyKind, LOAD_KEY, SPEEDS_KEY, progress_key};
use super::store_health::StoreHealth;

/// Delay before a write with an unknown outcome is sent again.
const RETRY_DELAY_MS: DurationMs = DurationMs(100);

/// `TermLost` is the error of a term that no longer holds the coordinator key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct TermLost;

/// `ProgressStore` writes job progress during one term; clones share the revisions.
#[derive(Clone, Debug)]
pub(super) struct ProgressStore {
    store: StoreClient,
    health: StoreHealth,
    /// Revision of the coordinator key, the fencing token: it changes when another host takes the key.
    term_revision: Revision,
    /// Revision of each job's progress.
    revisions: Arc<Mutex<HashMap<JobId, Revision>>>,
}

impl ProgressStore {
    /// `open` creates the store of a term from its coordinator key's revision and the last revision of each
    /// job's progress.
    pub(super) fn open(
        store: StoreClient,
        health: StoreHealth,
        term_revision: Revision,
        revisions: HashMap<JobId, Revision>,
    ) -> Self {
        Self {
            store,
            health,
            term_revision,
            revisions: Arc::new(Mutex::new(revisions)),
        }
    }

    fn revisions(&self) -> MutexGuard<'_, HashMap<JobId, Revision>> {
        self.revisions
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Stores a batch of records; returns once it is certain that they are stored.
    ///
    /// The same transaction is sent again after an unknown outcome. If the first one took effect, the
    /// second one conflicts, and the conflicting values are those of this batch.
    ///
    /// # Errors
    ///
    /// Fails if the term has ended.
    pub(super) async fn store(&self, records: &[ProgressRecord]) -> Result<(), TermLost> {
        let txn = self.txn(records);
        loop {
            let reply = self.store.commit(&txn).await;
            self.health.record(&reply);
            match reply {
                Ok(TxnReply::Committed(revision)) => {
                    let mut revisions = self.revisions();
                    for record in records {
                        revisions.insert(record.job_id.clone(), revision);
                    }
                    return Ok(());
                }
                Ok(TxnReply::Conflict(items)) => {
                    return self.resolve_conflict(&txn, &items, records);
                }
                Err(StoreError::LeaseNotFound) => return Err(TermLost),
                Err(error) => {
                    log_event!(
                        Warn,
                        "progress_write_retried",
                        records = records.len(),
                        cause = error
                    );
                    tokio::time::sleep(RETRY_DELAY_MS.into()).await;
                }
            }
        }
    }

    fn txn(&self, records: &[ProgressRecord]) -> Txn {
        let mut txn = Txn {
            preconditions: vec![Precondition {
                key: COORDINATOR_KEY.to_owned(),
                revision: self.term_revision,
            }],
            ..Txn::default()
        };
        let revisions = self.revisions();
        for record in records {
            let key = progress_key(&record.job_id);
            let revision = revisions.get(&record.job_id).copied();
            txn.preconditions.push(Precondition {
                key: key.clone(),
                revision: revision.unwrap_or_default(),
            });
            txn.writes.push(write_item(key, &record.progress));
            if record.has_new_phase {
                let key = JobKeyKind::Phase.key_of(&record.job_id);
                txn.writes.push(write_item(key, &record.progress.phase));
            }
        }
        txn
    }

    fn resolve_conflict(
        &self,
        txn: &Txn,
        items: &[KeyValue],
        records: &[ProgressRecord],
    ) -> Result<(), TermLost> {
        let find = |key: &str| items.iter().find(|item| item.key == key);
        let is_key_held =
            find(COORDINATOR_KEY).is_some_and(|item| item.revision == self.term_revision);
        if !is_key_held {
            return Err(TermLost);
        }
        for record in records {
            let key = progress_key(&record.job_id);
            let written = txn.writes.iter().find(|write| write.key == key);
            let is_written =
                |item: &&KeyValue| written.is_some_and(|write| item.value == write.value);
            let Some(item) = find(&key).filter(is_written) else {
                // Only the current term writes these keys, so any other value means that this term is lost.
                log_event!(Error, "progress_conflict", key = key);
                return Err(TermLost);
            };
            self.revisions()
                .insert(record.job_id.clone(), item.revision);
        }
        Ok(())
    }

    /// Stores the speeds of the workers.
    pub(super) async fn store_speeds(&self, record: &SpeedRecord) {
        self.store_hint(write_item(SPEEDS_KEY.to_owned(), record))
            .await;
    }

    /// Stores the queues that are short of capacity.
    pub(super) async fn store_load(&self, picture: &LoadPicture) {
        self.store_hint(write_item(LOAD_KEY.to_owned(), picture))
            .await;
    }

    /// Stores a value on which no correctness depends. A failed write is not repeated: a newer value follows.
    async fn store_hint(&self, write: WriteItem) {
        let key = write.key.clone();
        let txn = Txn {
            preconditions: vec![Precondition {
                key: COORDINATOR_KEY.to_owned(),
                revision: self.term_revision,
            }],
            writes: vec![write],
            removes: Vec::new(),
        };
        let reply = self.store.commit(&txn).await;
        self.health.record(&reply);
        if let Err(error) = reply {
            log_event!(Info, "hint_not_stored", key = key, cause = error);
        }
    }

    /// Deletes all keys of a job whose retention has ended; a later term retries a failed deletion.
    pub(super) async fn delete_job(&self, job_id: &JobId) {
        let mut removes: Vec<String> = JobKeyKind::ALL
            .iter()
            .map(|kind| kind.key_of(job_id))
            .collect();
        removes.push(progress_key(job_id));
        let txn = Txn {
            preconditions: vec![Precondition {
                key: COORDINATOR_KEY.to_owned(),
                revision: self.term_revision,
            }],
            writes: Vec::new(),
            removes,
        };
        let reply = self.store.commit(&txn).await;
        self.health.record(&reply);
        if let Err(error) = reply {
            log_event!(Warn, "job_not_forgotten", job_id = job_id, cause = error);
        }
        self.revisions().remove(job_id);
    }
}

fn write_item(key: String, value: &impl Serialize) -> WriteItem {
    let value = match serde_json::to_vec(value) {
        Ok(value) => value,
        Err(error) => unreachable!("records have only plain fields, which serialize: {error}"),
    };
    WriteItem {
        key,
        value,
        lease: None,
    }
}
