//! Writes of submitted jobs and of cancellations, which are stored before they are confirmed.

use std::sync::Arc;

use ragwortwick_adapter::{
    KeyValue, Precondition, StoreClient, StoreError, Txn, TxnReply, WriteItem,
};
use ragwortwick_area::JobRecord;
use ragwortwick_core::{DurationMs, JobId, Revision, TimeMs};
use tokio::time::timeout;

use super::host_budget::HostLimit;
use super::job_view::{CancelValue, JobView};
use super::keys::JobKeyKind;
use super::outage::OutagePolicy;
use super::replica::JobReplica;
use super::store_health::StoreHealth;
use super::tombstones::TombstoneLeases;
use crate::{Clock, unix_now};

/// Delay before a write with an unknown outcome is sent again.
const RETRY_DELAY_MS: DurationMs = DurationMs(60);

/// `WriteOutcome` is the outcome of a write for a client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum WriteOutcome {
    /// The write is stored.
    Stored,
    /// The write is not stored and never will be.
    NotStored(String),
    /// The write may be stored, now or later.
    Unknown(String),
    NoSuchJob,
    /// The job was cancelled before it was created, and is not created.
    Cancelled,
    /// The request is refused: a limit of the host is reached.
    Overloaded(HostLimit),
    /// The job is refused: no capacity is expected for it in time.
    Shed {
        /// Time after which capacity is expected for it.
        retry_after_ms: DurationMs,
    },
}

impl WriteOutcome {
    /// `name` returns the outcome as a metric label.
    pub(super) fn name(&self) -> &'static str {
        match self {
            Self::Stored => "stored",
            Self::NotStored(_) => "not_stored",
            Self::Unknown(_) => "unknown",
            Self::NoSuchJob => "no_such_job",
            Self::Cancelled => "cancelled",
            Self::Overloaded(_) => "overloaded",
            Self::Shed { .. } => "shed",
        }
    }
}

/// `JobWriter` stores the jobs and cancellations that clients submit; clones share its state.
#[derive(Clone, Debug)]
pub(super) struct JobWriter {
    pub(super) store: StoreClient,
    pub(super) health: StoreHealth,
    pub(super) replica: JobReplica,
    pub(super) tombstones: TombstoneLeases,
    pub(super) clock: Clock,
    pub(super) outage_policy: OutagePolicy,
}

impl JobWriter {
    /// Stores a job if its id doesn't exist yet: a job submitted again under the same id remains one job.
    pub(super) async fn accept(&self, record: JobRecord, deadline: TimeMs) -> WriteOutcome {
        let record = Arc::new(record);
        let key = JobKeyKind::Record.key_of(&record.job_id);
        let value = match serde_json::to_vec(&*record) {
            Ok(value) => value,
            Err(error) => return WriteOutcome::NotStored(error.to_string()),
        };
        let stored_bytes = value.len();
        let txn = Txn {
            preconditions: vec![
                expect_absent(&key),
                expect_absent(&JobKeyKind::Cancel.key_of(&record.job_id)),
            ],
            writes: vec![WriteItem {
                key: key.clone(),
                value,
                lease: None,
            }],
            removes: Vec::new(),
        };
        match self.create(&txn, deadline).await {
            CreateOutcome::Stored(revision) => {
                self.replica
                    .insert_accepted(&record, stored_bytes, revision);
                WriteOutcome::Stored
            }
            CreateOutcome::Conflict(items) if contains(&items, &key) => WriteOutcome::Stored,
            CreateOutcome::Conflict(_) => WriteOutcome::Cancelled,
            outcome => outcome.into(),
        }
    }

    /// Stores a cancel request.
    pub(super) async fn cancel(&self, job_id: &JobId, deadline: TimeMs) -> WriteOutcome {
        match self.find(job_id).await {
            Ok(Some(view)) if view.reported_phase().is_final() => return WriteOutcome::Stored,
            Ok(Some(_)) => {}
            Ok(None) => {
                let outcome = self.prevent_creation(job_id, deadline).await;
                if let Some(outcome) = outcome {
                    return outcome;
                }
            }
            Err(error) => return WriteOutcome::NotStored(error.to_string()),
        }
        let txn = Txn {
            preconditions: vec![expect_absent(&JobKeyKind::Cancel.key_of(job_id))],
            writes: vec![cancel_item(job_id, None)],
            removes: Vec::new(),
        };
        let outcome = self.create(&txn, deadline).await;
        let revision = match &outcome {
            CreateOutcome::Stored(revision) => Some(*revision),
            CreateOutcome::Conflict(items) => items.first().map(|item| item.revision),
            _ => None,
        };
        if let Some(revision) = revision {
            self.replica.mark_cancelled(job_id, revision);
        }
        outcome.into()
    }

    /// Stores a tombstone, so that a creation of the job that is under way does not take effect; returns none
    /// if the job has been created meanwhile.
    async fn prevent_creation(&self, job_id: &JobId, deadline: TimeMs) -> Option<WriteOutcome> {
        let record_key = JobKeyKind::Record.key_of(job_id);
        let cancel_key = JobKeyKind::Cancel.key_of(job_id);
        let mut expected_cancel = expect_absent(&cancel_key);
        loop {
            let left_ms = deadline.since(self.clock.now());
            let lease_id = match timeout(left_ms.into(), self.tombstones.reserve()).await {
                Ok(Ok(lease_id)) => lease_id,
                Ok(Err(error)) => return Some(WriteOutcome::NotStored(error.to_string())),
                Err(elapsed) => return Some(WriteOutcome::NotStored(elapsed.to_string())),
            };
            let txn = Txn {
                preconditions: vec![expect_absent(&record_key), expected_cancel.clone()],
                writes: vec![cancel_item(job_id, Some(lease_id))],
                removes: Vec::new(),
            };
            match self.create(&txn, deadline).await {
                CreateOutcome::Stored(_) => return Some(WriteOutcome::NoSuchJob),
                CreateOutcome::Conflict(items) => {
                    self.tombstones.release(lease_id).await;
                    if contains(&items, &record_key) {
                        return None;
                    }
                    let earlier = items.iter().find(|item| item.key == cancel_key);
                    if earlier.is_some_and(|item| tombstone_lease(item) == Some(lease_id)) {
                        return Some(WriteOutcome::NoSuchJob);
                    }
                    // A tombstone with an earlier lease is replaced: this cancel has to hold as long as any other.
                    expected_cancel.revision = earlier.map_or(Revision(0), |item| item.revision);
                }
                CreateOutcome::LeaseNotFound => self.tombstones.discard(lease_id).await,
                outcome => return Some(outcome.into()),
            }
        }
    }

    /// Finds a job in the replica or, if it is not there yet, in the store.
    pub(super) async fn find(&self, job_id: &JobId) -> Result<Option<JobView>, StoreError> {
        if let Some(view) = self.replica.view(job_id) {
            return Ok(Some(view));
        }
        // Another host may have accepted the job a moment ago.
        let found = self.store.get(&JobKeyKind::Record.key_of(job_id)).await;
        self.health.record(&found);
        let Some(item) = found? else {
            return Ok(None);
        };
        self.replica
            .apply(&ragwortwick_adapter::WatchEvent::Written(item));
        Ok(self.replica.view(job_id))
    }

    /// Sends a create until its outcome is certain or the client's deadline has passed.
    async fn create(&self, txn: &Txn, deadline: TimeMs) -> CreateOutcome {
        let hold_ms = self.outage_policy.hold_ms(deadline.since(self.clock.now()));
        let hold_until = self.clock.now() + hold_ms;
        let mut unknown_cause: Option<String> = None;
        loop {
            if unknown_cause.is_none() && self.health.is_unavailable() {
                // Nothing is sent, so it is certain that nothing is stored.
                if self.pause_within(hold_until).await {
                    continue;
                }
                return CreateOutcome::NotStored("the store is out of reach".to_owned());
            }
            let left_ms = deadline.since(self.clock.now()).max(RETRY_DELAY_MS);
            let reply = self.store.commit_within(txn, left_ms).await;
            self.health.record(&reply);
            let error = match reply {
                Ok(TxnReply::Committed(revision)) => return CreateOutcome::Stored(revision),
                // A key exists: an earlier try of this call or another call created it.
                Ok(TxnReply::Conflict(items)) => return CreateOutcome::Conflict(items),
                Err(StoreError::LeaseNotFound) => return CreateOutcome::LeaseNotFound,
                Err(StoreError::Refused(cause)) if unknown_cause.is_none() => {
                    if self.pause_within(hold_until).await {
                        continue;
                    }
                    return CreateOutcome::NotStored(cause);
                }
                Err(error) => error.to_string(),
            };
            unknown_cause = Some(error.clone());
            if self.clock.now() + RETRY_DELAY_MS >= deadline {
                return CreateOutcome::Unknown(error);
            }
            tokio::time::sleep(RETRY_DELAY_MS.into()).await;
        }
    }
}

impl JobWriter {
    /// Pauses before the next try of a call that waits; returns whether there is time for another.
    async fn pause_within(&self, hold_until: TimeMs) -> bool {
        let pause_ms = OutagePolicy::pause_ms(rand::random());
        let has_time = self.clock.now() + pause_ms < hold_until;
        if has_time {
            tokio::time::sleep(pause_ms.into()).await;
        }
        has_time
    }
}

/// `CreateOutcome` is the outcome of a create.
enum CreateOutcome {
    Stored(Revision),
    /// Some of the keys that must not exist do; contains these.
    Conflict(Vec<KeyValue>),
    /// The lease of a key has ended.
    LeaseNotFound,
    NotStored(String),
    Unknown(String),
}

impl From<CreateOutcome> for WriteOutcome {
    fn from(outcome: CreateOutcome) -> Self {
        match outcome {
            CreateOutcome::Stored(_) | CreateOutcome::Conflict(_) => Self::Stored,
            CreateOutcome::LeaseNotFound => Self::NotStored("the lease has ended".to_owned()),
            CreateOutcome::NotStored(cause) => Self::NotStored(cause),
            CreateOutcome::Unknown(cause) => Self::Unknown(cause),
        }
    }
}

fn cancel_item(job_id: &JobId, lease: Option<u64>) -> WriteItem {
    WriteItem {
        key: JobKeyKind::Cancel.key_of(job_id),
        value: cancel_value(unix_now(), lease),
        lease,
    }
}

/// The lease of a stored tombstone; none of a cancel without one.
fn tombstone_lease(item: &KeyValue) -> Option<u64> {
    let value: CancelValue = serde_json::from_slice(&item.value).ok()?;
    value.tombstone_lease
}

fn cancel_value(requested_unix_ms: TimeMs, tombstone_lease: Option<u64>) -> Vec<u8> {
    let value = CancelValue {
        requested_unix_ms: Some(requested_unix_ms),
        tombstone_lease,
    };
    match serde_json::to_vec(&value) {
        Ok(value) => value,
        Err(error) => unreachable!("a cancel has only plain fields, which serialize: {error}"),
    }
}

fn contains(items: &[KeyValue], key: &str) -> bool {
    items.iter().any(|item| item.key == key)
}

fn expect_absent(key: &str) -> Precondition {
    Precondition {
        key: key.to_owned(),
        revision: Revision(0),
    }
}
