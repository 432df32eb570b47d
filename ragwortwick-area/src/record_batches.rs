//! What has to be stored: batches of records, and what waits for them.
//!
//! Answers the load in which far more jobs change than one transaction holds while each answer of the
//! store takes long: batches of different jobs then go out side by side.

use std::collections::BTreeMap;

use ragwortwick_core::{DurationMs, JobId, TimeMs, WorkerName};

use crate::coordinator::Coordinator;
use crate::job::TaskId;
use crate::job_state::JobState;
use crate::messages::{Action, ProgressRecord};

/// Entries of a record in a transaction: a condition and a write. A new phase is one write more.
const ENTRIES_PER_RECORD: usize = 2;

/// Most entries of the records in a batch. The store takes 32, and one is the condition on the
/// coordinator's own key.
const MAX_BATCH_ENTRIES: usize = 31;

/// Most records in a batch.
pub const MAX_BATCH_RECORDS: usize = MAX_BATCH_ENTRIES / ENTRIES_PER_RECORD;

/// Most batches under way at a time.
const MAX_BATCHES: usize = 8;

/// How long the last batch has to be under way before one that is not full follows it. A store that
/// answers within it then takes what has gathered in one call.
const NEXT_BATCH_MS: DurationMs = DurationMs(15);

/// Time by which the record of a job that ended outlives the time in which it can be asked for.
const FORGET_MARGIN_MS: DurationMs = DurationMs(180_000);

/// Ends that workers may forget once their effect is stored, by worker.
type EndAcks = BTreeMap<WorkerName, u64>;

/// `RecordBatches` tracks what is not stored yet.
#[derive(Debug, Default)]
pub(crate) struct RecordBatches {
    dirty: Dirty,
    /// Starts that wait for the record of their job.
    intents: BTreeMap<JobId, Vec<PendingStart>>,
    /// Ends taken in, whose effect is not in a batch yet.
    notes: EndAcks,
    in_flight: BTreeMap<u64, InFlight>,
    /// Ends whose effect is in this batch or an earlier one.
    noted: BTreeMap<u64, EndAcks>,
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
struct InFlight {
    /// Sorted.
    jobs: Vec<JobId>,
    intents: Vec<PendingStart>,
}

/// `Dirty` is the jobs that have changed since their last record, first changed first.
#[derive(Debug, Default)]
struct Dirty {
    places: BTreeMap<JobId, u64>,
    order: BTreeMap<u64, JobId>,
    last_place: u64,
}

impl Dirty {
    fn insert(&mut self, job_id: &JobId) {
        if !self.places.contains_key(job_id) {
            self.last_place += 1;
            self.places.insert(job_id.clone(), self.last_place);
            self.order.insert(self.last_place, job_id.clone());
        }
    }

    fn remove(&mut self, job_id: &JobId) {
        if let Some(place) = self.places.remove(job_id) {
            self.order.remove(&place);
        }
    }

    fn contains(&self, job_id: &JobId) -> bool {
        self.places.contains_key(job_id)
    }

    fn is_empty(&self) -> bool {
        self.order.is_empty()
    }
}

impl RecordBatches {
    pub(crate) fn mark_dirty(&mut self, job_id: &JobId) {
        self.dirty.insert(job_id);
    }

    pub(crate) fn ack_end_when_stored(&mut self, worker: &WorkerName, number: u64) {
        self.notes.insert(worker.clone(), number);
    }

    /// Notes a start that has to be in the record of its job before it is sent.
    pub(crate) fn start_when_stored(&mut self, worker: &WorkerName, task: &TaskId, run: u32) {
        self.mark_dirty(&task.job_id);
        let intents = self.intents.entry(task.job_id.clone()).or_default();
        intents.push(PendingStart {
            worker: worker.clone(),
            task: task.clone(),
            run,
        });
    }

    pub(crate) fn has_pending(&self) -> bool {
        !self.in_flight.is_empty() || !self.dirty.is_empty() || !self.notes.is_empty()
    }

    /// Jobs whose record can go out: of a job that is under way the next one waits.
    fn ready(&self) -> impl Iterator<Item = &JobId> {
        let is_free = |job_id: &&JobId| {
            let mut in_flight = self.in_flight.values();
            !in_flight.any(|batch| batch.jobs.binary_search(job_id).is_ok())
        };
        self.dirty.order.values().filter(is_free)
    }

    /// Whether another batch may follow now, if there may be one more.
    fn may_send(&self, now: TimeMs, is_full: bool) -> bool {
        let is_slow = now.since(self.last_sent_at) >= NEXT_BATCH_MS;
        self.in_flight.is_empty() || is_full || is_slow
    }

    /// Ends whose effect is stored by now: every batch up to theirs is.
    fn take_stored_notes(&mut self) -> Vec<EndAcks> {
        let first_open = self.in_flight.keys().next().copied();
        let open = match first_open {
            Some(batch) => self.noted.split_off(&batch),
            None => BTreeMap::new(),
        };
        let stored = std::mem::replace(&mut self.noted, open);
        stored.into_values().collect()
    }
}

impl Coordinator {
    /// Sends batches of what has changed.
    ///
    /// A record is stored before the start that it announces and before its worker may forget an
    /// end, so that a successor knows of every run there can be and misses no end.
    pub(crate) fn send_record_batches(&mut self, now: TimeMs) {
        if !self.can_start_work(now) {
            return;
        }
        while let Some(jobs) = self.next_batch(now) {
            self.send_batch(now, jobs);
        }
        // An end may concern any changed job, so ends wait until all are in a batch.
        if self.records.dirty.is_empty() && !self.records.notes.is_empty() {
            let notes = std::mem::take(&mut self.records.notes);
            let of_last_batch = self.records.noted.entry(self.records.last_batch);
            of_last_batch.or_default().extend(notes);
        }
        self.tell_stored_notes();
    }

    /// As many changed jobs as one transaction of the store holds, if a batch may follow now.
    fn next_batch(&self, now: TimeMs) -> Option<Vec<JobId>> {
        if self.records.in_flight.len() >= MAX_BATCHES {
            return None;
        }
        let mut entries = 0;
        let mut is_full = false;
        let mut jobs = Vec::new();
        for job_id in self.records.ready() {
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
        if jobs.is_empty() || !self.records.may_send(now, is_full) {
            return None;
        }
        jobs.sort_unstable();
        Some(jobs)
    }

    fn send_batch(&mut self, now: TimeMs, jobs: Vec<JobId>) {
        let mut records = Vec::with_capacity(jobs.len());
        let mut intents = Vec::new();
        for job_id in &jobs {
            self.records.dirty.remove(job_id);
            intents.extend(self.records.intents.remove(job_id).unwrap_or_default());
            let Some(job) = self.jobs.get_mut(job_id) else {
                continue;
            };
            let has_new_phase = job.has_unrecorded_phase();
            let has_ended = has_new_phase && job.phase.is_final();
            job.recorded_phase = job.phase;
            records.push(ProgressRecord {
                job_id: job_id.clone(),
                progress: job.to_progress(),
                has_new_phase,
                accounting: has_ended.then(|| job.accounting.clone()),
            });
        }
        self.records.last_batch += 1;
        self.records.last_sent_at = now;
        let batch = self.records.last_batch;
        let in_flight = InFlight { jobs, intents };
        self.records.in_flight.insert(batch, in_flight);
        self.actions.push(Action::Store { batch, records });
    }

    pub(crate) fn on_batch_stored(&mut self, now: TimeMs, batch: u64) {
        let Some(in_flight) = self.records.in_flight.remove(&batch) else {
            return;
        };
        self.tell_stored_notes();
        for intent in in_flight.intents {
            self.send_recorded_start(now, &intent.worker, &intent.task, intent.run);
        }
    }

    /// Lets workers forget the ends whose effect is stored.
    fn tell_stored_notes(&mut self) {
        for notes in self.records.take_stored_notes() {
            for (name, number) in notes {
                if let Some(worker) = self.workers.get_mut(&name) {
                    worker.stored_end = worker.stored_end.max(number);
                }
            }
        }
    }

    /// Drops jobs that ended long ago, here and in the store.
    pub(crate) fn remove_expired_jobs(&mut self, now: TimeMs) {
        let keep_ms = DurationMs(self.limits.retention_ms.0 + FORGET_MARGIN_MS.0);
        let old: Vec<JobId> = self
            .jobs
            .iter()
            .filter(|(_, job)| job.ended_at.is_some_and(|at| now.since(at) > keep_ms))
            .filter(|(job_id, _)| !self.records.dirty.contains(job_id))
            .map(|(job_id, _)| job_id.clone())
            .collect();
        for job_id in old {
            self.jobs.remove(&job_id);
            self.actions.push(Action::DeleteJob(job_id));
        }
    }
}
