//! This host's replica of all jobs, from which it responds to clients.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use ragwortwick_adapter::{KeyValue, WatchEvent};
use ragwortwick_area::{JobPhase, JobProgress, JobRecord, RecoveredJob, RunResult};
use ragwortwick_core::{ClassName, JobId, Revision, log_event};

use super::handover::{CompletionValue, ResultValue};
use super::keys::{JobKeyKind, parse_progress_key};

/// `JobView` is one job in the replica.
#[derive(Clone, Debug, Default)]
pub(super) struct JobView {
    pub(super) record: Option<Arc<JobRecord>>,
    record_revision: Revision,
    pub(super) phase: JobPhase,
    phase_revision: Revision,
    pub(super) is_cancelled: bool,
    handed_over_completions: Vec<CompletionValue>,
    handed_over_results: Vec<ResultValue>,
}

impl JobView {
    /// The phase reported to clients.
    pub(super) fn reported_phase(&self) -> JobPhase {
        if self.is_cancelled && !self.phase.is_final() {
            JobPhase::Cancelled
        } else {
            self.phase
        }
    }

    /// Results of the job's runs that earlier coordinators handed over.
    fn handed_over_results(&self, job_id: &JobId) -> Vec<RunResult> {
        let completions = self.handed_over_completions.iter();
        let completions = completions.map(|value| value.to_result(job_id));
        let others = self.handed_over_results.iter();
        completions
            .chain(others.map(|value| value.to_result(job_id)))
            .collect()
    }
}

/// `JobChange` is a change of a job that the coordinator has to process.
#[derive(Clone, Debug)]
pub(super) enum JobChange {
    Accepted(Arc<JobRecord>),
    /// A coordinator of an earlier term handed over results that it could not store.
    ResultsHandedOver(Vec<RunResult>),
    Cancelled(JobId),
}

impl JobChange {
    /// Order among the changes of one read: a coordinator drops a change of a job that it doesn't know, so
    /// a cancel before the job's record would be lost and the cancelled job would run.
    fn rank(&self) -> u8 {
        match self {
            Self::Accepted(_) => 0,
            Self::ResultsHandedOver(_) => 1,
            Self::Cancelled(_) => 2,
        }
    }
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
    is_loaded: bool,
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
    pub(super) fn load(&self, items: &[KeyValue], as_of: Revision) -> Vec<JobChange> {
        let mut changes = Vec::new();
        let mut jobs = self.lock();
        // A job written after the list's revision is newer than the list.
        jobs.views.retain(|_, view| view.record_revision > as_of);
        for item in items {
            changes.extend(jobs.apply_write(item));
        }
        jobs.is_loaded = true;
        // In key order, a job's cancel precedes its record.
        changes.sort_by_key(JobChange::rank);
        changes
    }

    /// Applies one watch event; returns the change that the coordinator has to process, if any.
    pub(super) fn apply(&self, event: &WatchEvent) -> Option<JobChange> {
        let mut jobs = self.lock();
        match event {
            WatchEvent::Written(item) => jobs.apply_write(item),
            WatchEvent::Removed { key, .. } => {
                if let Some((job_id, JobKeyKind::Record)) = JobKeyKind::parse(key) {
                    jobs.views.remove(&job_id);
                }
                None
            }
        }
    }

    /// Inserts a job that this host has just stored, before the watch reports it.
    pub(super) fn insert_accepted(&self, record: &Arc<JobRecord>, revision: Revision) {
        let mut jobs = self.lock();
        let view = jobs.views.entry(record.job_id.clone()).or_default();
        if view.record.is_none() {
            view.record = Some(Arc::clone(record));
            view.record_revision = revision;
        }
    }

    /// Marks a job as cancelled that this host has just cancelled, before the watch reports it.
    pub(super) fn mark_cancelled(&self, job_id: &JobId) {
        let mut jobs = self.lock();
        jobs.views.entry(job_id.clone()).or_default().is_cancelled = true;
    }

    /// Results that earlier coordinators handed over.
    pub(super) fn handed_over_results(&self) -> Vec<RunResult> {
        let jobs = self.lock();
        let views = jobs.views.iter();
        views
            .flat_map(|(job_id, view)| view.handed_over_results(job_id))
            .collect()
    }

    /// All jobs with the given progress, for a new term.
    pub(super) fn recovered_jobs(
        &self,
        mut progress: ProgressByJob,
    ) -> Vec<(RecoveredJob, Revision)> {
        let jobs = self.lock();
        jobs.views
            .iter()
            .filter_map(|(job_id, view)| {
                let stored = progress.remove(job_id);
                let (progress, revision) = stored.unzip();
                let job = RecoveredJob {
                    record: Arc::clone(view.record.as_ref()?),
                    progress,
                    is_cancelled: view.is_cancelled,
                };
                Some((job, revision.unwrap_or_default()))
            })
            .collect()
    }
}

impl Jobs {
    fn apply_write(&mut self, item: &KeyValue) -> Option<JobChange> {
        let (job_id, kind) = JobKeyKind::parse(&item.key)?;
        let view = self.views.entry(job_id.clone()).or_default();
        match kind {
            JobKeyKind::Record => {
                if item.revision < view.record_revision {
                    return None;
                }
                if let Some(record) = &view.record
                    && item.revision == view.record_revision
                {
                    // This host stored or read the job before the watch reported it. A coordinator on
                    // this host has not received it yet.
                    return Some(JobChange::Accepted(Arc::clone(record)));
                }
                let record = parse_json::<JobRecord>(item)?;
                let record = Arc::new(record);
                view.record = Some(Arc::clone(&record));
                view.record_revision = item.revision;
                Some(JobChange::Accepted(record))
            }
            JobKeyKind::Phase => {
                if item.revision > view.phase_revision {
                    view.phase = parse_json(item)?;
                    view.phase_revision = item.revision;
                }
                None
            }
            JobKeyKind::HandedOverCompletions => {
                view.handed_over_completions = parse_json(item)?;
                Some(JobChange::ResultsHandedOver(
                    view.handed_over_results(&job_id),
                ))
            }
            JobKeyKind::HandedOverResults => {
                view.handed_over_results = parse_json(item)?;
                Some(JobChange::ResultsHandedOver(
                    view.handed_over_results(&job_id),
                ))
            }
            JobKeyKind::Cancel => {
                view.is_cancelled = true;
                Some(JobChange::Cancelled(job_id))
            }
        }
    }
}

fn parse_json<T: for<'de> serde::Deserialize<'de>>(item: &KeyValue) -> Option<T> {
    match serde_json::from_slice(&item.value) {
        Ok(value) => Some(value),
        Err(error) => {
            log_event!(
                Error,
                "record_unreadable",
                key = item.key,
                revision = item.revision,
                cause = error
            );
            None
        }
    }
}
