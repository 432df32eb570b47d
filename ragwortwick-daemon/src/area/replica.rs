//! This host's copy of all jobs, from which it answers callers.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use ragwortwick_adapter::{KeyValue, WatchEvent};
use ragwortwick_area::{JobPhase, JobProgress, JobRecord, RecoveredJob};
use ragwortwick_core::{ClassName, JobId, Revision, log_event};

use super::keys::{JobKeyKind, parse_progress_key};
use super::unstored_completions::HandedOverCompletion;

/// `JobView` is one job as this host knows it.
#[derive(Clone, Debug, Default)]
pub(super) struct JobView {
    pub(super) record: Option<Arc<JobRecord>>,
    record_revision: Revision,
    pub(super) phase: JobPhase,
    phase_revision: Revision,
    pub(super) is_cancelled: bool,
    handed_over_completions: Vec<HandedOverCompletion>,
}

impl JobView {
    /// What callers are told.
    pub(super) fn reported_phase(&self) -> JobPhase {
        if self.is_cancelled && !self.phase.is_final() {
            JobPhase::Cancelled
        } else {
            self.phase
        }
    }
}

/// `JobChange` is a change that the coordinator has to learn.
#[derive(Clone, Debug)]
pub(super) enum JobChange {
    /// A job was accepted.
    Accepted(Arc<JobRecord>),
    /// A coordinator whose term is over left ends that it could not store.
    CompletionsHandedOver(JobId, Vec<HandedOverCompletion>),
    /// A job was cancelled.
    Cancelled(JobId),
}

impl JobChange {
    /// Place among the news of one reading: a coordinator drops what it hears of a job that it
    /// doesn't know, and would run a cancelled job once its record comes.
    fn rank(&self) -> u8 {
        match self {
            Self::Accepted(_) => 0,
            Self::CompletionsHandedOver(..) => 1,
            Self::Cancelled(_) => 2,
        }
    }
}

/// Progress of jobs as the store has it, with the revision that the next write depends on.
pub(super) type ProgressByJob = HashMap<JobId, (JobProgress, Revision)>;

/// Reads the jobs' progress; what can't be read is logged and left out.
pub(super) fn parse_progress(items: &[KeyValue]) -> ProgressByJob {
    let known = items.iter().filter_map(|item| {
        let job_id = parse_progress_key(&item.key)?;
        Some((job_id, (read(item)?, item.revision)))
    });
    known.collect()
}

/// `JobReplica` is the shared copy; clones share it.
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

    /// Counts the accepted jobs of a queue of which nothing has started.
    pub(super) fn count_pending(&self, queue: &ClassName) -> u64 {
        let jobs = self.lock();
        let waiting = jobs.views.values().filter(|view| {
            view.reported_phase() == JobPhase::Queued
                && view
                    .record
                    .as_ref()
                    .is_some_and(|record| record.queue == *queue)
        });
        waiting.count() as u64
    }

    /// Takes the whole content of the prefix; what is not in it no longer exists. Of each job, the
    /// news tell its acceptance before its cancel.
    pub(super) fn load(&self, items: &[KeyValue], as_of: Revision) -> Vec<JobChange> {
        let mut news = Vec::new();
        let mut jobs = self.lock();
        // What was written after the listing began is newer than the listing.
        jobs.views.retain(|_, view| view.record_revision > as_of);
        for item in items {
            news.extend(jobs.write(item));
        }
        jobs.is_loaded = true;
        // Keys list a job's cancel before its record.
        news.sort_by_key(JobChange::rank);
        news
    }

    /// Takes one change; gives what the coordinator has to learn of it.
    pub(super) fn apply(&self, change: &WatchEvent) -> Option<JobChange> {
        let mut jobs = self.lock();
        match change {
            WatchEvent::Written(item) => jobs.write(item),
            WatchEvent::Removed { key, .. } => {
                if let Some((job_id, JobKeyKind::Record)) = JobKeyKind::parse(key) {
                    jobs.views.remove(&job_id);
                }
                None
            }
        }
    }

    /// Notes a job that this host has just stored, ahead of the watch.
    pub(super) fn insert_accepted(&self, record: &Arc<JobRecord>, revision: Revision) {
        let mut jobs = self.lock();
        let view = jobs.views.entry(record.job_id.clone()).or_default();
        if view.record.is_none() {
            view.record = Some(Arc::clone(record));
            view.record_revision = revision;
        }
    }

    /// Notes a cancel that this host has just stored, ahead of the watch.
    pub(super) fn mark_cancelled(&self, job_id: &JobId) {
        let mut jobs = self.lock();
        jobs.views.entry(job_id.clone()).or_default().is_cancelled = true;
    }

    /// Ends that were left for the next coordinator.
    pub(super) fn handed_over_completions(&self) -> Vec<(JobId, Vec<HandedOverCompletion>)> {
        let jobs = self.lock();
        let with_ends = jobs
            .views
            .iter()
            .filter(|(_, view)| !view.handed_over_completions.is_empty());
        with_ends
            .map(|(job_id, view)| (job_id.clone(), view.handed_over_completions.clone()))
            .collect()
    }

    /// All jobs with the given progress, for a new term of the coordinator.
    pub(super) fn known_jobs(&self, mut progress: ProgressByJob) -> Vec<(RecoveredJob, Revision)> {
        let jobs = self.lock();
        jobs.views
            .iter()
            .filter_map(|(job_id, view)| {
                let stored = progress.remove(job_id);
                let (progress, revision) = stored.unzip();
                let known = RecoveredJob {
                    record: Arc::clone(view.record.as_ref()?),
                    progress,
                    is_cancelled: view.is_cancelled,
                };
                Some((known, revision.unwrap_or_default()))
            })
            .collect()
    }
}

impl Jobs {
    fn write(&mut self, item: &KeyValue) -> Option<JobChange> {
        let (job_id, part) = JobKeyKind::parse(&item.key)?;
        let view = self.views.entry(job_id.clone()).or_default();
        match part {
            JobKeyKind::Record => {
                if item.revision < view.record_revision {
                    return None;
                }
                if let Some(record) = &view.record
                    && item.revision == view.record_revision
                {
                    // This host stored or read it ahead of the watch; a coordinator here has not
                    // been told yet.
                    return Some(JobChange::Accepted(Arc::clone(record)));
                }
                let record = read::<JobRecord>(item)?;
                let record = Arc::new(record);
                view.record = Some(Arc::clone(&record));
                view.record_revision = item.revision;
                Some(JobChange::Accepted(record))
            }
            JobKeyKind::Phase => {
                if item.revision > view.phase_revision {
                    view.phase = read(item)?;
                    view.phase_revision = item.revision;
                }
                None
            }
            JobKeyKind::HandedOverCompletions => {
                view.handed_over_completions = read(item)?;
                Some(JobChange::CompletionsHandedOver(
                    job_id,
                    view.handed_over_completions.clone(),
                ))
            }
            JobKeyKind::Cancel => {
                view.is_cancelled = true;
                Some(JobChange::Cancelled(job_id))
            }
        }
    }
}

fn read<T: for<'de> serde::Deserialize<'de>>(item: &KeyValue) -> Option<T> {
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
