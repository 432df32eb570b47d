//! This host's replica of all jobs, from which it responds to clients.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use ragwortwick_adapter::{KeyValue, WatchEvent};
use ragwortwick_area::{JobPhase, JobProgress, JobRecord, RecoveredJob, RunResult};
use ragwortwick_core::{ClassName, CustomerName, JobId, Revision};

use super::fair_shares::FairShares;
use super::job_view::{CancelChange, CancelValue, JobView, parse_json};
use super::keys::{JobKeyKind, parse_progress_key};

/// `JobChange` is a change of a job that the coordinator has to process.
#[derive(Clone, Debug)]
pub(super) enum JobChange {
    Accepted(Arc<JobRecord>),
    /// A coordinator of an earlier term handed over results that it could not store.
    ResultsHandedOver(Vec<RunResult>),
    Cancelled(CancelChange),
}

fn is_record(item: &KeyValue) -> bool {
    kind_of(item) == Some(JobKeyKind::Record)
}

fn kind_of(item: &KeyValue) -> Option<JobKeyKind> {
    JobKeyKind::parse(&item.key).map(|(_, kind)| kind)
}

/// Stored progress by job, with the revision that the next write expects.
pub(super) type ProgressByJob = HashMap<JobId, (JobProgress, Revision)>;

/// Parses the jobs' progress; values that can't be parsed are logged and skipped.
pub(super) fn parse_progress(items: &[KeyValue]) -> ProgressByJob {
    let parsed = items.iter().filter_map(|item| {
        let job_id = parse_progress_key(&item.key)?;
        Some((job_id, (parse_json(item)?, item.revision)))
    });
    parsed.collect()
}

/// `JobReplica` holds all jobs known to this host; clones share them.
#[derive(Clone, Debug, Default)]
pub(super) struct JobReplica(Arc<Mutex<Jobs>>);

#[derive(Debug, Default)]
struct Jobs {
    views: HashMap<JobId, JobView>,
    /// Memory that the jobs take, by customer.
    memory: FairShares,
    is_loaded: bool,
}

/// `JobMemoryReservation` is the memory of a job that is not in the replica yet, until it is dropped.
#[derive(Debug)]
pub(super) struct JobMemoryReservation {
    replica: JobReplica,
    customer: CustomerName,
    bytes: usize,
}

impl Drop for JobMemoryReservation {
    fn drop(&mut self) {
        let mut jobs = self.replica.lock();
        jobs.memory.remove(&self.customer, self.bytes);
    }
}

impl JobReplica {
    fn lock(&self) -> MutexGuard<'_, Jobs> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn is_loaded(&self) -> bool {
        self.lock().is_loaded
    }

    pub(super) fn view(&self, job_id: &JobId) -> Option<JobView> {
        let jobs = self.lock();
        jobs.views
            .get(job_id)
            .filter(|view| view.record.is_some())
            .cloned()
    }

    pub(super) fn has_job(&self, job_id: &JobId) -> bool {
        let jobs = self.lock();
        let view = jobs.views.get(job_id);
        view.is_some_and(|view| view.record.is_some())
    }

    /// Memory that all jobs take.
    pub(super) fn memory_bytes(&self) -> usize {
        self.lock().memory.total()
    }

    /// Reserves the memory of a job that is being stored; none if its customer may not take `needed_bytes` more.
    pub(super) fn reserve_memory(
        &self,
        customer: &CustomerName,
        job_bytes: usize,
        needed_bytes: usize,
        limit_bytes: usize,
    ) -> Option<JobMemoryReservation> {
        let mut jobs = self.lock();
        let is_admitted = jobs.memory.admits(customer, needed_bytes, limit_bytes);
        is_admitted.then(|| {
            jobs.memory.add(customer, job_bytes);
            JobMemoryReservation {
                replica: self.clone(),
                customer: customer.clone(),
                bytes: job_bytes,
            }
        })
    }

    /// Counts the accepted jobs of a queue that have not started.
    pub(super) fn count_pending(&self, queue: &ClassName) -> u64 {
        let jobs = self.lock();
        let pending = jobs.views.values().filter(|view| {
            view.reported_phase() == JobPhase::Queued
                && view
                    .record
                    .as_ref()
                    .is_some_and(|record| record.queue == *queue)
        });
        pending.count() as u64
    }

    /// Replaces the content with a list of the whole prefix; jobs that are not in it no longer exist. In the
    /// returned changes, a job's acceptance precedes its cancel.
    ///
    /// The pages of the list are read one after the other. Records and cancels that are newer than the list's
    /// revision are left to a watch from there, which brings them in the order of the changes.
    pub(super) fn load(&self, items: &[KeyValue], as_of: Revision) -> Vec<JobChange> {
        let mut changes = Vec::new();
        let mut jobs = self.lock();
        jobs.keep_newer_than(as_of);
        let is_left_to_watch = |item: &KeyValue| {
            let kind = kind_of(item);
            item.revision > as_of && matches!(kind, Some(JobKeyKind::Record | JobKeyKind::Cancel))
        };
        let listed = items.iter().filter(|item| !is_left_to_watch(item));
        // A coordinator drops a change of a job that it doesn't know.
        let (records, others): (Vec<_>, Vec<_>) = listed.partition(|item| is_record(item));
        for item in records.into_iter().chain(others) {
            changes.extend(jobs.apply_write(item));
        }
        jobs.is_loaded = true;
        // A coordinator that holds an ended job no longer would start it from its beginning.
        changes.retain(|change| match change {
            JobChange::Accepted(record) => !jobs.has_ended(&record.job_id),
            JobChange::ResultsHandedOver(_) | JobChange::Cancelled(_) => true,
        });
        changes
    }

    /// Applies one watch event; returns the changes that the coordinator has to process, in their order.
    pub(super) fn apply(&self, event: &WatchEvent) -> Vec<JobChange> {
        let mut jobs = self.lock();
        match event {
            WatchEvent::Written(item) => jobs.apply_write(item),
            WatchEvent::Removed { key, revision } => {
                jobs.apply_removal(key, *revision);
                Vec::new()
            }
        }
    }

    /// Inserts a job that this host has just stored, before the watch reports it.
    pub(super) fn insert_accepted(
        &self,
        record: &Arc<JobRecord>,
        stored_bytes: usize,
        revision: Revision,
    ) {
        let mut jobs = self.lock();
        let jobs = &mut *jobs;
        let view = jobs.views.entry(record.job_id.clone()).or_default();
        if view.record_revision < revision {
            jobs.memory.remove(&record.customer, view.memory_bytes);
            view.memory_bytes = record.memory_bytes() + stored_bytes;
            jobs.memory.add(&record.customer, view.memory_bytes);
            view.record = Some(Arc::clone(record));
            view.record_revision = revision;
            // The store created it on condition that there was no cancel.
            view.cancel = view.cancel.filter(|cancel| cancel.revision > revision);
        }
    }

    /// Marks a job as cancelled that this host has just cancelled, before the watch reports it.
    pub(super) fn mark_cancelled(&self, job_id: &JobId, revision: Revision) {
        let mut jobs = self.lock();
        let view = jobs.views.entry(job_id.clone()).or_default();
        view.apply_cancel(revision, CancelValue::default());
    }

    /// Results that earlier coordinators handed over.
    pub(super) fn handed_over_results(&self) -> Vec<RunResult> {
        let jobs = self.lock();
        let views = jobs.views.iter();
        views
            .flat_map(|(job_id, view)| view.handed_over_results(job_id))
            .collect()
    }

    /// All jobs up to a revision with the given progress, for a new term.
    pub(super) fn recovered_jobs(
        &self,
        as_of: Revision,
        mut progress: ProgressByJob,
    ) -> Vec<(RecoveredJob, Revision)> {
        let jobs = self.lock();
        jobs.views
            .iter()
            .filter(|(_, view)| view.record_revision <= as_of)
            .filter_map(|(job_id, view)| {
                let stored = progress.remove(job_id);
                let (progress, revision) = stored.unzip();
                let job = RecoveredJob {
                    record: Arc::clone(view.record.as_ref()?),
                    progress,
                    is_cancelled: view.is_cancelled(),
                };
                Some((job, revision.unwrap_or_default()))
            })
            .collect()
    }
}

impl Jobs {
    fn has_ended(&self, job_id: &JobId) -> bool {
        let view = self.views.get(job_id);
        view.is_some_and(|view| view.phase.is_final())
    }

    /// Drops what is not newer than the revision.
    fn keep_newer_than(&mut self, revision: Revision) {
        let Self { views, memory, .. } = self;
        views.retain(|_, view| {
            let (record, bytes) = (view.record.clone(), view.memory_bytes);
            let is_kept = view.keep_newer_than(revision);
            if let Some(record) = record {
                memory.remove(&record.customer, bytes - view.memory_bytes);
            }
            is_kept
        });
    }

    fn apply_write(&mut self, item: &KeyValue) -> Vec<JobChange> {
        let Some((job_id, kind)) = JobKeyKind::parse(&item.key) else {
            return Vec::new();
        };
        let view = self.views.entry(job_id.clone()).or_default();
        let memory_before = view.memory_bytes;
        let change = match kind {
            JobKeyKind::Record => {
                let record = view.apply_record(item);
                if let Some(record) = &record {
                    self.memory.remove(&record.customer, memory_before);
                    self.memory.add(&record.customer, view.memory_bytes);
                }
                record.map(JobChange::Accepted)
            }
            JobKeyKind::Phase => {
                if item.revision > view.phase_revision
                    && let Some(phase) = parse_json(item)
                {
                    view.phase = phase;
                    view.phase_revision = item.revision;
                }
                None
            }
            JobKeyKind::HandedOverCompletions => parse_json(item).map(|completions| {
                view.handed_over_completions = completions;
                JobChange::ResultsHandedOver(view.handed_over_results(&job_id))
            }),
            JobKeyKind::HandedOverResults => parse_json(item).map(|results| {
                view.handed_over_results = results;
                JobChange::ResultsHandedOver(view.handed_over_results(&job_id))
            }),
            JobKeyKind::Cancel => {
                // An unreadable value only lacks the time: the key alone states the cancel.
                let value = serde_json::from_slice(&item.value).unwrap_or_default();
                view.apply_cancel(item.revision, value);
                view.cancel_change(&job_id).map(JobChange::Cancelled)
            }
        };
        // A coordinator drops the cancel of a job that it doesn't know yet.
        let is_record = kind == JobKeyKind::Record;
        let cancel = view.cancel_change(&job_id).filter(|_| is_record);
        let cancel = cancel.map(JobChange::Cancelled);
        change.into_iter().chain(cancel).collect()
    }

    fn apply_removal(&mut self, key: &str, revision: Revision) {
        let Some((job_id, kind)) = JobKeyKind::parse(key) else {
            return;
        };
        let Some(view) = self.views.get_mut(&job_id) else {
            return;
        };
        let is_removed = match kind {
            JobKeyKind::Record => true,
            JobKeyKind::Cancel => {
                view.expire_cancel(revision);
                view.record.is_none() && !view.is_cancelled()
            }
            _ => false,
        };
        if is_removed
            && let Some(view) = self.views.remove(&job_id)
            && let Some(record) = &view.record
        {
            self.memory.remove(&record.customer, view.memory_bytes);
        }
    }
}
