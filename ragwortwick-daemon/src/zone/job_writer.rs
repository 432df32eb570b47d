//! Writes the records that the placer asks for, each until it is in the store or overtaken.

use std::collections::{BTreeMap, VecDeque};

use ragwortwick_border::{JobPhase, JobRecord};
use ragwortwick_core::{Epoch, JobId, log_event};
use ragwortwick_platform::{StoreClient, StoreError, StoreWrite, WriteOutcome};
use tokio::sync::mpsc;
use tokio::task::{JoinHandle, JoinSet};

use super::Tenure;
use super::job_ledger::{JobLedger, StoredJob, decode_job, is_final};
use super::zone_event::{ZoneDutyEvent, deliver};
use crate::nonce::NonceGenerator;
use crate::{Clock, EventLoopSender, keys};

/// `RecordOrder` is a record to write under an epoch.
#[derive(Clone, Debug)]
pub(crate) struct RecordOrder {
    /// Epoch under which it was asked for.
    pub(crate) epoch: Epoch,
    /// The record.
    pub(crate) record: JobRecord,
}

/// `JobWriter` writes records, one at a time for each job.
#[derive(Clone, Debug)]
pub(crate) struct JobWriter {
    /// The store.
    pub(crate) store: StoreClient,
    /// Records seen.
    pub(crate) ledger: JobLedger,
    /// The permission to act.
    pub(crate) tenure: Tenure,
    /// The process's clock.
    pub(crate) clock: Clock,
    /// Nonces of this process.
    pub(crate) nonces: NonceGenerator,
    /// The zone duty.
    pub(crate) ring: EventLoopSender<ZoneDutyEvent>,
}

/// `Attempted` tells what became of one try.
enum Attempted {
    /// The record is in the store.
    Recorded,
    /// Another writer was there first and its record says more than ours.
    Overtaken(Box<JobRecord>),
    /// This host may not act any more.
    Dropped,
    /// To be tried again.
    Again,
}

impl JobWriter {
    /// `spawn` starts writing what arrives on `orders`, until its other end is dropped.
    pub(crate) fn spawn(self, orders: mpsc::Receiver<RecordOrder>) -> JoinHandle<()> {
        tokio::spawn(self.run(orders))
    }

    async fn run(self, mut orders: mpsc::Receiver<RecordOrder>) {
        let mut waiting: BTreeMap<JobId, VecDeque<RecordOrder>> = BTreeMap::new();
        let mut writes: JoinSet<JobId> = JoinSet::new();
        loop {
            tokio::select! {
                order = orders.recv() => {
                    let Some(order) = order else { return };
                    let job_id = order.record.job_id.clone();
                    if let Some(queue) = waiting.get_mut(&job_id) {
                        queue.push_back(order);
                    } else {
                        waiting.insert(job_id, VecDeque::new());
                        writes.spawn(self.clone().write(order));
                    }
                }
                Some(Ok(job_id)) = writes.join_next() => {
                    match waiting.get_mut(&job_id).and_then(VecDeque::pop_front) {
                        Some(order) => drop(writes.spawn(self.clone().write(order))),
                        None => drop(waiting.remove(&job_id)),
                    }
                }
            }
        }
    }

    async fn write(self, order: RecordOrder) -> JobId {
        let mut backoff = self.store.backoff();
        let job_id = order.record.job_id.clone();
        loop {
            match self.attempt(&order).await {
                Ok(Attempted::Recorded) => {
                    let recorded = ZoneDutyEvent::JobRecorded {
                        epoch: order.epoch,
                        job_id: job_id.clone(),
                        attempt: order.record.attempt,
                    };
                    deliver(&self.ring, recorded).await;
                    return job_id;
                }
                Ok(Attempted::Overtaken(found)) => {
                    log_event!(
                        Warn,
                        "job_record_overtaken",
                        job_id = job_id,
                        phase = found.phase
                    );
                    deliver(&self.ring, ZoneDutyEvent::JobFound(*found)).await;
                    return job_id;
                }
                Ok(Attempted::Dropped) => return job_id,
                Ok(Attempted::Again) | Err(_) => {
                    tokio::time::sleep(backoff.next_wait().into()).await;
                }
            }
        }
    }

    async fn attempt(&self, order: &RecordOrder) -> Result<Attempted, StoreError> {
        // A record of an ownership that has ended says what its placer believed, not what is.
        if !self.may_write(order) {
            return Ok(if self.tenure.is_current(order.epoch) {
                Attempted::Again
            } else {
                Attempted::Dropped
            });
        }
        let Some(base) = self.base(&order.record.job_id).await? else {
            // A job that is not in the store was never accepted, or was removed for good.
            return Ok(Attempted::Dropped);
        };
        if is_overtaken(&base.record, &order.record) {
            return Ok(Attempted::Overtaken(Box::new(base.record)));
        }
        let mut record = order.record.clone();
        record.nonce = self.nonces.next();
        record.cancel_requested |= base.record.cancel_requested;
        let write = StoreWrite {
            key: keys::job(&record.job_id),
            expected_revision: base.revision,
            value: Some(encode(&record)?),
            lease_id: None,
        };
        match self
            .store
            .write_while(&write, || self.may_write(order))
            .await?
        {
            WriteOutcome::Written(revision) => {
                self.ledger.take_in(StoredJob { revision, record });
                Ok(Attempted::Recorded)
            }
            WriteOutcome::Conflict { found, .. } => {
                let Some(found) = found.as_ref().and_then(decode_job) else {
                    return Ok(Attempted::Dropped);
                };
                Ok(self.settle(&base.record, found))
            }
        }
    }

    fn may_write(&self, order: &RecordOrder) -> bool {
        let now = self.clock.now();
        if order.record.phase == JobPhase::Starting {
            self.tenure.may_record_start(now, order.epoch)
        } else {
            self.tenure.may_act(now, order.epoch)
        }
    }

    /// A wish to cancel is merged; any other change means that another owner wrote the record.
    fn settle(&self, base: &JobRecord, found: StoredJob) -> Attempted {
        let record = found.record.clone();
        self.ledger.take_in(found);
        if differs_in_cancel_only(base, &record) {
            Attempted::Again
        } else {
            Attempted::Overtaken(Box::new(record))
        }
    }

    async fn base(&self, job_id: &JobId) -> Result<Option<StoredJob>, StoreError> {
        if let Some(known) = self.ledger.get(job_id) {
            return Ok(Some(known));
        }
        let entry = self.store.get(&keys::job(job_id)).await?;
        Ok(entry.as_ref().and_then(decode_job))
    }
}

/// A start must raise the attempt: two owners that both record the start of attempt 1 would
/// otherwise both believe that they may start it. A final record is never reopened.
fn is_overtaken(base: &JobRecord, record: &JobRecord) -> bool {
    let is_start = record.phase == JobPhase::Starting;
    is_final(base.phase)
        || base.attempt > record.attempt
        || (is_start && base.attempt >= record.attempt)
}

fn differs_in_cancel_only(base: &JobRecord, found: &JobRecord) -> bool {
    let mut same = found.clone();
    same.nonce.clone_from(&base.nonce);
    same.cancel_requested = base.cancel_requested;
    same.reason.clone_from(&base.reason);
    &same == base
}

/// `encode` writes a record for the store.
fn encode(record: &JobRecord) -> Result<String, StoreError> {
    serde_json::to_string(record).map_err(|e| StoreError::Refused(e.to_string()))
}
