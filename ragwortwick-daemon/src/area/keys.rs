//! Keys of our own in the platform's store.

use ragwortwick_core::JobId;

/// Prefix of what every host has to know, so that one watch sees it all.
pub(super) const REPLICATED_PREFIX: &str = "ragwortwick/";

/// Prefix of the jobs' keys that every host has to know.
const JOBS_PREFIX: &str = "ragwortwick/jobs/";

/// Prefix of the jobs' progress. It changes with each run and grows with a job's tasks, and only a
/// coordinator needs it: a watch that brought it would keep hosts on narrow links seconds behind.
pub(super) const PROGRESS_PREFIX: &str = "ragwortwick-progress/";

/// Key of the coordinator, under its lease; its revision is the term's fencing token.
pub(super) const COORDINATOR_KEY: &str = "ragwortwick/coordinator";

/// `JobKeyKind` is which part of a job's state a key holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum JobKeyKind {
    /// The job as accepted; written once by the host that accepted it.
    Record,
    /// What callers see of it; written by the coordinator alone, with the progress.
    Phase,
    /// A caller's wish to cancel it; written by the host that took the call.
    Cancel,
    /// Ends that a coordinator heard and could not store; written by it after its term.
    HandedOverCompletions,
}

impl JobKeyKind {
    /// All parts.
    pub(super) const ALL: [Self; 4] = [
        Self::Record,
        Self::Phase,
        Self::Cancel,
        Self::HandedOverCompletions,
    ];

    fn suffix(self) -> &'static str {
        match self {
            Self::Record => "record",
            Self::Phase => "phase",
            Self::Cancel => "cancel",
            Self::HandedOverCompletions => "left-ends",
        }
    }

    /// The key of a job's part.
    pub(super) fn key_of(self, job_id: &JobId) -> String {
        format!("{JOBS_PREFIX}{job_id}/{}", self.suffix())
    }

    /// Reads a key back.
    pub(super) fn parse(key: &str) -> Option<(JobId, Self)> {
        let (job_id, suffix) = key.strip_prefix(JOBS_PREFIX)?.split_once('/')?;
        let part = Self::ALL.into_iter().find(|part| part.suffix() == suffix)?;
        Some((JobId::new(job_id), part))
    }
}

/// The key of a job's progress.
pub(super) fn progress_key(job_id: &JobId) -> String {
    format!("{PROGRESS_PREFIX}{job_id}")
}

/// Reads the key of a job's progress back.
pub(super) fn parse_progress_key(key: &str) -> Option<JobId> {
    key.strip_prefix(PROGRESS_PREFIX).map(JobId::new)
}
