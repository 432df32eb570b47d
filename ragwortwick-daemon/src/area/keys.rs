//! Keys of this system in the platform's store.

use ragwortwick_core::JobId;

/// Prefix of the keys that every host replicates, all with one watch.
pub(super) const REPLICATED_PREFIX: &str = "ragwortwick/";

/// Prefix of the job keys that every host replicates.
const JOBS_PREFIX: &str = "ragwortwick/jobs/";

/// Prefix of job progress. Progress changes with each run and grows with the job's tasks, and only a
/// coordinator needs it: a watch that included it would lag by seconds on hosts with slow links.
pub(super) const PROGRESS_PREFIX: &str = "ragwortwick-progress/";

/// Key of the coordinator, bound to its lease; the key's revision is the term's fencing token.
pub(super) const COORDINATOR_KEY: &str = "ragwortwick/coordinator";

/// Key of the queues that are short of capacity.
pub(super) const LOAD_KEY: &str = "ragwortwick/load";

/// Key of the memory that accepted jobs may take, announced by the host with the least.
pub(super) const JOB_MEMORY_KEY: &str = "ragwortwick/job-memory";

/// Key of the workers' speeds, which only a new coordinator reads.
pub(super) const SPEEDS_KEY: &str = "ragwortwick-speeds";

/// Key of the layout version of this system's keys in the store.
pub(super) const LAYOUT_KEY: &str = "ragwortwick/layout";

/// `JobKeyKind` is the part of a job's state that a key holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum JobKeyKind {
    /// The accepted job; written once, by the host that accepted it.
    Record,
    /// The phase reported to clients; written only by the coordinator, together with the progress.
    Phase,
    /// A client's cancel request; written by the host that received it.
    Cancel,
    /// Completions that a coordinator received but could not store; written by it after its term.
    HandedOverCompletions,
    /// Failed runs and runs on crashed workers, handed over likewise.
    HandedOverResults,
}

impl JobKeyKind {
    pub(super) const ALL: [Self; 5] = [
        Self::Record,
        Self::Phase,
        Self::Cancel,
        Self::HandedOverCompletions,
        Self::HandedOverResults,
    ];

    fn suffix(self) -> &'static str {
        match self {
            Self::Record => "record",
            Self::Phase => "phase",
            Self::Cancel => "cancel",
            Self::HandedOverCompletions => "left-ends",
            Self::HandedOverResults => "left-results",
        }
    }

    /// The key of this part of a job.
    pub(super) fn key_of(self, job_id: &JobId) -> String {
        format!("{JOBS_PREFIX}{job_id}/{}", self.suffix())
    }

    /// Parses a job key.
    pub(super) fn parse(key: &str) -> Option<(JobId, Self)> {
        let (job_id, suffix) = key.strip_prefix(JOBS_PREFIX)?.split_once('/')?;
        let kind = Self::ALL.into_iter().find(|kind| kind.suffix() == suffix)?;
        Some((JobId::new(job_id), kind))
    }
}

/// The key of a job's progress.
pub(super) fn progress_key(job_id: &JobId) -> String {
    format!("{PROGRESS_PREFIX}{job_id}")
}

/// Parses the key of a job's progress.
pub(super) fn parse_progress_key(key: &str) -> Option<JobId> {
    key.strip_prefix(PROGRESS_PREFIX).map(JobId::new)
}
