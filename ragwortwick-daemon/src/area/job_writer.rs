//! Taking jobs in and cancelling them: stored before they are confirmed.

use std::sync::Arc;

use ragwortwick_adapter::{Precondition, StoreClient, StoreError, Txn, TxnReply, WriteItem};
use ragwortwick_area::JobRecord;
use ragwortwick_core::{DurationMs, JobId, Revision, TimeMs};

use super::keys::JobKeyKind;
use super::replica::{JobReplica, JobView};
use super::store_health::StoreHealth;
use crate::Clock;

/// Pause before a write without a certain outcome is sent again.
const RETRY_MS: DurationMs = DurationMs(60);

/// `WriteOutcome` is how a write for a caller went.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum WriteOutcome {
    /// It is stored.
    Stored,
    /// It is certainly not stored and never will be.
    NotStored(String),
    /// It may be stored, or may be later.
    Unknown(String),
    /// There is no such job.
    NoSuchJob,
}

impl WriteOutcome {
    /// `name` is the outcome as a label of a metric.
    pub(super) fn name(&self) -> &'static str {
        match self {
            Self::Stored => "stored",
            Self::NotStored(_) => "not_stored",
            Self::Unknown(_) => "unknown",
            Self::NoSuchJob => "no_such_job",
        }
    }
}

/// `JobWriter` stores what callers ask for; clones share everything.
#[derive(Clone, Debug)]
pub(super) struct JobWriter {
    pub(super) store: StoreClient,
    pub(super) health: StoreHealth,
    pub(super) replica: JobReplica,
    pub(super) clock: Clock,
}

impl JobWriter {
    /// Stores a job under "does not exist": the same id handed in again remains one job.
    pub(super) async fn accept(&self, record: JobRecord, until: TimeMs) -> WriteOutcome {
        let record = Arc::new(record);
        let key = JobKeyKind::Record.key_of(&record.job_id);
        let value = match serde_json::to_vec(&*record) {
            Ok(value) => value,
            Err(error) => return WriteOutcome::NotStored(error.to_string()),
        };
        let txn = Txn {
            preconditions: vec![absent(&key)],
            writes: vec![WriteItem {
                key,
                value,
                lease: None,
            }],
            removes: Vec::new(),
        };
        let outcome = self.settle(&txn, until).await;
        if let Settled::Done(revision) = outcome {
            self.replica.insert_accepted(&record, revision);
        }
        outcome.into()
    }

    /// Stores the wish to cancel a job.
    pub(super) async fn cancel(&self, job_id: &JobId, until: TimeMs) -> WriteOutcome {
        match self.find(job_id).await {
            Ok(Some(view)) if view.reported_phase().is_final() => return WriteOutcome::Stored,
            Ok(Some(_)) => {}
            Ok(None) => return WriteOutcome::NoSuchJob,
            Err(error) => return WriteOutcome::NotStored(error.to_string()),
        }
        let key = JobKeyKind::Cancel.key_of(job_id);
        let txn = Txn {
            preconditions: vec![absent(&key)],
            writes: vec![WriteItem {
                key,
                value: b"{}".to_vec(),
                lease: None,
            }],
            removes: Vec::new(),
        };
        let outcome: WriteOutcome = self.settle(&txn, until).await.into();
        if outcome == WriteOutcome::Stored {
            self.replica.mark_cancelled(job_id);
        }
        outcome
    }

    /// Finds a job here or, if it is not known yet, in the store.
    pub(super) async fn find(&self, job_id: &JobId) -> Result<Option<JobView>, StoreError> {
        if let Some(view) = self.replica.view(job_id) {
            return Ok(Some(view));
        }
        // Another host may have accepted it a moment ago.
        let found = self.store.get(&JobKeyKind::Record.key_of(job_id)).await;
        self.health.record(&found);
        let Some(item) = found? else {
            return Ok(None);
        };
        self.replica
            .apply(&ragwortwick_adapter::WatchEvent::Written(item));
        Ok(self.replica.view(job_id))
    }

    /// Sends a create until its outcome is certain or the caller's time is over.
    async fn settle(&self, txn: &Txn, until: TimeMs) -> Settled {
        if self.health.is_unavailable() {
            // Nothing is sent, so the caller learns at once, and truly, that nothing was done.
            return Settled::NotDone("the store is out of reach".to_owned());
        }
        let mut doubt: Option<String> = None;
        loop {
            let left_ms = until.since(self.clock.now()).max(RETRY_MS);
            let reply = self.store.commit_within(txn, left_ms).await;
            self.health.record(&reply);
            let error = match reply {
                Ok(TxnReply::Committed(revision)) => return Settled::Done(revision),
                // It exists: an earlier try of ours took effect, or somebody else's did.
                Ok(TxnReply::Conflict(_)) => return Settled::Exists,
                Err(StoreError::Refused(cause)) if doubt.is_none() => {
                    return Settled::NotDone(cause);
                }
                Err(error) => error.to_string(),
            };
            doubt = Some(error.clone());
            if self.clock.now() + RETRY_MS >= until {
                return Settled::Unknown(error);
            }
            tokio::time::sleep(RETRY_MS.into()).await;
        }
    }
}

/// `Settled` is the outcome of a create.
enum Settled {
    Done(Revision),
    Exists,
    NotDone(String),
    Unknown(String),
}

impl From<Settled> for WriteOutcome {
    fn from(settled: Settled) -> Self {
        match settled {
            Settled::Done(_) | Settled::Exists => Self::Stored,
            Settled::NotDone(cause) => Self::NotStored(cause),
            Settled::Unknown(cause) => Self::Unknown(cause),
        }
    }
}

fn absent(key: &str) -> Precondition {
    Precondition {
        key: key.to_owned(),
        revision: Revision(0),
    }
}
