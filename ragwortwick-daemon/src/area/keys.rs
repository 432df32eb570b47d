//! Keys of our own in the platform's store.

use ragwortwick_core::JobId;

/// Prefix of everything of ours, so that one watch sees it all.
pub(super) const ROOT: &str = "ragwortwick/";

/// Prefix of the jobs' keys.
const JOBS: &str = "ragwortwick/jobs/";

/// Key of the coordinator, under its lease; its revision is the term's fencing token.
pub(super) const COORDINATOR: &str = "ragwortwick/coordinator";

/// `JobKey` is which part of a job's state a key holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum JobKey {
    /// The job as accepted; written once by the host that accepted it.
    Record,
    /// How far it is; written by the coordinator alone.
    Progress,
    /// A caller's wish to cancel it; written by the host that took the call.
    Cancel,
    /// Ends that a coordinator heard and could not store; written by it after its term.
    LeftEnds,
}

impl JobKey {
    /// All parts.
    pub(super) const ALL: [Self; 4] = [Self::Record, Self::Progress, Self::Cancel, Self::LeftEnds];

    fn suffix(self) -> &'static str {
        match self {
            Self::Record => "record",
            Self::Progress => "progress",
            Self::Cancel => "cancel",
            Self::LeftEnds => "left-ends",
        }
    }

    /// The key of a job's part.
    pub(super) fn of(self, job_id: &JobId) -> String {
        format!("{JOBS}{job_id}/{}", self.suffix())
    }

    /// Reads a key back.
    pub(super) fn parse(key: &str) -> Option<(JobId, Self)> {
        let (job_id, suffix) = key.strip_prefix(JOBS)?.split_once('/')?;
        let part = Self::ALL.into_iter().find(|part| part.suffix() == suffix)?;
        Some((JobId::new(job_id), part))
    }
}
