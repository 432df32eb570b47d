//! Batches of job records for the store, and the starts and acknowledgements that wait for them.
//!
//! Under load, the store replies slowly, and far more jobs change meanwhile than one transaction holds.
//! Batches of different jobs are therefore sent in parallel.

use std::collections::BTreeMap;
use std::sync::Arc;

use ragwortwick_core::{DurationMs, JobId, TimeMs, WorkerName};

use crate::coordinator::Coordinator;
use crate::job::TaskId;
use crate::job_state::JobState;
use crate::messages::{Action, ProgressRecord};

/// Transaction entries of one record: a condition and a write. A new phase adds one more write.
const ENTRIES_PER_RECORD: usize = 2;

/// Maximum number of entries of the records in a batch. The store accepts 32 entries in a transaction,
/// and one of them is the condition on the coordinator's own key.
const MAX_BATCH_ENTRIES: usize = 31;

/// Maximum number of records in a batch.
pub const MAX_BATCH_RECORDS: usize = MAX_BATCH_ENTRIES / ENTRIES_PER_RECORD;

/// Maximum number of batches in flight.
const MAX_BATCHES_IN_FLIGHT: usize = 8;

/// Delay after a batch is sent before a batch that is not full may follow. If the store replies within
/// this time, the changes collected meanwhile are sent in one call.
const PARTIAL_BATCH_DELAY_MS: DurationMs = DurationMs(15);

/// Time for which the record of an ended job is kept beyond the retention time.
const DELETE_MARGIN_MS: DurationMs = DurationMs(180_000);

/// Highest sequence number of a run end to acknowledge to each worker once its effect is stored.
type EndAcks = BTreeMap<WorkerName, u64>;

/// `RecordBatches` tracks the changes that are not stored yet.
#[derive(Debug, Default)]
pub(crate) struct RecordBatches {
    dirty: DirtyJobs,
    /// Starts that wait for the record of their job.
    pending_starts: BTreeMap<JobId, Vec<PendingStart>>,
    /// Received run ends whose effect is not in a batch yet.
    pending_acks: EndAcks,
    in_flight: BTreeMap<u64, BatchInFlight>,
    /// Run ends whose effect is in this batch or an earlier one, by batch.
    acks_by_batch: BTreeMap<u64, EndAcks>,
    last_batch: u64,
    last_sent_at: TimeMs,
}

/// `PendingStart` is a start that may be sent once the record of its job is stored.
#[derive(Clone, Debug)]
struct PendingStart {
    worker: WorkerName,
    task: TaskId,
    run: u32,
}

#[derive(Debug)]
struct BatchInFlight {
    /// Sorted, for binary search.
    jobs: Vec<JobId>,
    starts: Vec<PendingStart>,
}

/// `DirtyJobs` queues the jobs that have changed since their last record, in the order of their first change.
#[derive(Debug, Default)]
struct DirtyJobs {
    positions: BTreeMap<JobId, u64>,
    order: BTreeMap<u64, JobId>,
    last_position: u64,
}

impl DirtyJobs {
    fn insert(&mut self, job_id: &JobId) {
        if !self.positions.contains_key(job_id) {
            self.last_position += 1;
            self.positions.insert(job_id.clone(), self.last_position);
            self.order.insert(self.last_position, job_id.clone());
        }
    }

    fn remove(&mut self, job_id: &JobId) {
        if let Some(position) = self.positions.remove(job_id) {
            self.order.remove(&position);
        }
    }

    fn contains(&self, job_id: &JobId) -> bool {
        self.positions.contains_key(job_id)
    }

    fn is_empty(&self) -> bool {
        self.order.is_empty()
    }
}

impl RecordBatches {
    pub(crate) fn mark_dirty(&mut self, job_id: &JobId) {
        self.dirty.insert(job_id);
    }

    pub(crate) fn ack_end_when_stored(&mut self, worker: &WorkerName, sequence: u64) {
        self.pending_acks.insert(worker.clone(), sequence);
    }

    /// Registers a start that is sent once the record of its job is stored.
    pub(crate) fn start_when_stored(&mut self, worker: &WorkerName, task: &TaskId, run: u32) {
        self.mark_dirty(&task.job_id);
        let starts = self.pending_starts.entry(task.job_id.clone()).or_default();
        starts.push(PendingStart {
            worker: worker.clone(),
            task: task.clone(),
            run,
        });
    }

    pub(crate) fn has_pending(&self) -> bool {
        !self.in_flight.is_empty() || !self.dirty.is_empty() || !self.pending_acks.is_empty()
    }

    /// Changed jobs whose record can be sent. A job that is in a batch in flight waits for that batch.
    fn sendable_jobs(&self) -> impl Iterator<Item = &JobId> {
        let is_sendable = |job_id: &&JobId| {
            let mut in_flight = self.in_flight.values();
            !in_flight.any(|batch| batch.jobs.binary_search(job_id).is_ok())
        };
        self.dirty.order.values().filter(is_sendable)
    }

    /// Whether another batch may be sent now, if fewer than the maximum are in flight.
    fn can_send_batch(&self, now: TimeMs, is_full: bool) -> bool {
        let has_delay_passed = now.since(self.last_sent_at) >= PARTIAL_BATCH_DELAY_MS;
        self.in_flight.is_empty() || is_full || has_delay_passed
    }

    /// Takes the run ends whose effect is stored: their batch and all earlier batches are stored.
    fn take_stored_acks(&mut self) -> Vec<EndAcks> {
        let first_in_flight = self.in_flight.keys().next().copied();
        let unstored = match first_in_flight {
            Some(batch) => self.acks_by_batch.split_off(&batch),
            None => BTreeMap::new(),
        };
        let stored = std::mem::replace(&mut self.acks_by_batch, unstored);
        stored.into_values().collect()
    }
}

impl Coordinator {
    /// Sends batches of the changed records to the store.
    ///
    /// A record is stored before the start that it contains is sent and before a run end that it reflects
    /// is acknowledged to the worker. The next coordinator therefore knows of every run that may exist and
    /// misses no run end.
    pub(crate) fn send_record_batches(&mut self, now: TimeMs) {
        if !self.has_valid_lease(now) {
            return;
        }
        while let Some(jobs) = self.next_batch(now) {
            self.send_batch(now, jobs);
        }
        // A run end may affect any changed job, so acknowledgements wait until all of these are in a batch.
        if self.records.dirty.is_empty() && !self.records.pending_acks.is_empty() {
            let acks = std::mem::take(&mut self.records.pending_acks);
            let of_last_batch = self.records.acks_by_batch.entry(self.records.last_batch);
            of_last_batch.or_default().extend(acks);
        }
        self.apply_stored_acks();
    }

    /// Picks as many changed jobs as fit into one transaction; none if no batch may be sent now.
    fn next_batch(&self, now: TimeMs) -> Option<Vec<JobId>> {
        if self.records.in_flight.len() >= MAX_BATCHES_IN_FLIGHT {
            return None;
        }
        let mut entries = 0;
        let mut is_full = false;
        let mut jobs = Vec::new();
        for job_id in self.records.sendable_jobs() {
            let has_new_phase = self
                .jobs
                .get(job_id)
                .is_some_and(JobState::has_unrecorded_phase);
            entries += ENTRIES_PER_RECORD + usize::from(has_new_phase);
            is_full = entries > MAX_BATCH_ENTRIES;
            if is_full {
                break;
            }
            jobs.push(job_id.clone());
        }
        if jobs.is_empty() || !self.records.can_send_batch(now, is_full) {
            return None;
        }
        jobs.sort_unstable();
        Some(jobs)
    }

    fn send_batch(&mut self, now: TimeMs, jobs: Vec<JobId>) {
        let mut records = Vec::with_capacity(jobs.len());
        let mut starts = Vec::new();
        for job_id in &jobs {
            self.records.dirty.remove(job_id);
            starts.extend(
                self.records
                    .pending_starts
                    .remove(job_id)
                    .unwrap_or_default(),
            );
            let Some(job) = self.jobs.get_mut(job_id) else {
                continue;
            };
            let has_new_phase = job.has_unrecorded_phase();
            let has_ended = has_new_phase && job.phase.is_final();
            job.recorded_phase = job.phase;
            records.push(ProgressRecord {
                job_id: job_id.clone(),
                progress: job.to_progress(|name| {
                    let worker = self.workers.get(name)?;
                    Some(Arc::clone(&worker.entry.address)).filter(|address| !address.is_empty())
                }),
                has_new_phase,
                accounting: has_ended.then(|| job.accounting.clone()),
            });
        }
        self.records.last_batch += 1;
        self.records.last_sent_at = now;
        let batch = self.records.last_batch;
        let in_flight = BatchInFlight { jobs, starts };
        self.records.in_flight.insert(batch, in_flight);
        self.actions.push(Action::Store { batch, records });
    }

    pub(crate) fn on_batch_stored(&mut self, now: TimeMs, batch: u64) {
        let Some(in_flight) = self.records.in_flight.remove(&batch) else {
            return;
        };
        self.apply_stored_acks();
        for start in in_flight.starts {
            self.send_recorded_start(now, &start.worker, &start.task, start.run);
        }
    }

    /// Marks the run ends whose effect is stored, so that the next poll acknowledges them.
    fn apply_stored_acks(&mut self) {
        for acks in self.records.take_stored_acks() {
            for (name, sequence) in acks {
                if let Some(worker) = self.workers.get_mut(&name) {
                    worker.record_stored_end(sequence);
                }
            }
        }
    }

    /// Removes jobs whose retention time has passed, here and from the store.
    pub(crate) fn remove_expired_jobs(&mut self, now: TimeMs) {
        let keep_ms = DurationMs(self.limits.retention_ms.0 + DELETE_MARGIN_MS.0);
        let expired: Vec<JobId> = self
            .jobs
            .iter()
            .filter(|(_, job)| job.ended_at.is_some_and(|at| now.since(at) > keep_ms))
            .filter(|(job_id, _)| !self.records.dirty.contains(job_id))
            .map(|(job_id, _)| job_id.clone())
            .collect();
        for job_id in expired {
            self.jobs.remove(&job_id);
            self.actions.push(Action::DeleteJob(job_id));
        }
    }
}
