//! What has to be stored: one batch at a time, and what waits for it.

use std::collections::{BTreeMap, BTreeSet};

use ragwortwick_core::{DurationMs, JobId, TimeMs, WorkerName};

use crate::coordinator::Coordinator;
use crate::job::TaskId;
use crate::job_state::JobState;
use crate::messages::{Action, StoredProgress};
use crate::worker::HeldPhase;

/// Entries of a record in a transaction: a condition and a write. A new phase is one write more.
const ENTRIES_PER_RECORD: usize = 2;

/// Most entries of the records in a batch. The store takes 32, and one is the condition on the
/// coordinator's own key.
const MAX_BATCH_ENTRIES: usize = 31;

/// Most records in a batch.
pub const MAX_BATCH_RECORDS: usize = MAX_BATCH_ENTRIES / ENTRIES_PER_RECORD;

/// Time by which the record of a job that ended outlives the time in which it can be asked for.
const FORGET_MARGIN_MS: DurationMs = DurationMs(180_000);

/// `Records` tracks what is not stored yet.
#[derive(Debug, Default)]
pub(crate) struct Records {
    dirty: BTreeSet<JobId>,
    /// Ends taken in, by worker, whose effect is not in a batch yet.
    notes: BTreeMap<WorkerName, u64>,
    in_flight: Option<InFlight>,
    last_batch: u64,
}

#[derive(Debug)]
struct InFlight {
    batch: u64,
    /// Starts that may be sent once the batch is stored.
    intents: Vec<(WorkerName, TaskId, u32)>,
    /// Ends that workers may forget once the batch is stored.
    notes: BTreeMap<WorkerName, u64>,
}

impl Records {
    pub(crate) fn mark(&mut self, job_id: &JobId) {
        self.dirty.insert(job_id.clone());
    }

    pub(crate) fn note(&mut self, worker: &WorkerName, number: u64) {
        self.notes.insert(worker.clone(), number);
    }

    pub(crate) fn is_waiting(&self) -> bool {
        self.in_flight.is_some() || !self.dirty.is_empty() || !self.notes.is_empty()
    }
}

impl Coordinator {
    /// Sends the next batch if none is under way.
    ///
    /// A record is stored before the start that it announces and before its worker may forget an
    /// end, so that a successor knows of every run there can be and misses no end.
    pub(crate) fn flush(&mut self, now: TimeMs) {
        if self.records.in_flight.is_some() || !self.may_order(now) {
            return;
        }
        if self.records.dirty.is_empty() {
            // Ends that changed no record need no write.
            let notes = std::mem::take(&mut self.records.notes);
            self.ends_stored(&notes);
            return;
        }
        let chosen = self.take_batch();
        let records: Vec<StoredProgress> = chosen
            .iter()
            .filter_map(|job_id| {
                let job = self.jobs.get_mut(job_id)?;
                let has_new_phase = job.has_new_phase();
                job.recorded_phase = job.phase;
                Some(StoredProgress {
                    job_id: job_id.clone(),
                    progress: job.progress(),
                    has_new_phase,
                })
            })
            .collect();
        // An end may concern any dirty job, so ends wait for the batch that leaves none behind.
        let notes = if self.records.dirty.is_empty() {
            std::mem::take(&mut self.records.notes)
        } else {
            BTreeMap::new()
        };
        self.records.last_batch += 1;
        let batch = self.records.last_batch;
        let intents = self.intents_of(&chosen);
        self.records.in_flight = Some(InFlight {
            batch,
            intents,
            notes,
        });
        self.actions.push(Action::Store { batch, records });
    }

    /// Takes as many jobs whose records have changed as one transaction of the store holds.
    fn take_batch(&mut self) -> Vec<JobId> {
        let mut entries = 0;
        let mut chosen = Vec::new();
        for job_id in &self.records.dirty {
            let has_new_phase = self.jobs.get(job_id).is_some_and(JobState::has_new_phase);
            entries += ENTRIES_PER_RECORD + usize::from(has_new_phase);
            if entries > MAX_BATCH_ENTRIES {
                break;
            }
            chosen.push(job_id.clone());
        }
        for job_id in &chosen {
            self.records.dirty.remove(job_id);
        }
        chosen
    }

    fn intents_of(&self, jobs: &[JobId]) -> Vec<(WorkerName, TaskId, u32)> {
        let mut intents = Vec::new();
        for (name, worker) in &self.workers {
            for (task, held) in &worker.held {
                let is_intent = held.phase == HeldPhase::Intended;
                if is_intent && jobs.binary_search(&task.job_id).is_ok() {
                    intents.push((name.clone(), task.clone(), held.run));
                }
            }
        }
        intents
    }

    pub(crate) fn stored(&mut self, now: TimeMs, batch: u64) {
        let Some(in_flight) = self
            .records
            .in_flight
            .take_if(|in_flight| in_flight.batch == batch)
        else {
            return;
        };
        self.ends_stored(&in_flight.notes);
        for (worker, task, run) in in_flight.intents {
            self.start(now, &worker, &task, run);
        }
    }

    fn ends_stored(&mut self, notes: &BTreeMap<WorkerName, u64>) {
        for (name, &number) in notes {
            if let Some(worker) = self.workers.get_mut(name) {
                worker.stored = worker.stored.max(number);
            }
        }
    }

    /// Drops jobs that ended long ago, here and in the store.
    pub(crate) fn forget_old(&mut self, now: TimeMs) {
        let keep_ms = DurationMs(self.limits.retention_ms.0 + FORGET_MARGIN_MS.0);
        let old: Vec<JobId> = self
            .jobs
            .iter()
            .filter(|(_, job)| job.ended_at.is_some_and(|at| now.since(at) > keep_ms))
            .filter(|(job_id, _)| !self.records.dirty.contains(*job_id))
            .map(|(job_id, _)| job_id.clone())
            .collect();
        for job_id in old {
            self.jobs.remove(&job_id);
            self.actions.push(Action::Forget(job_id));
        }
    }
}
