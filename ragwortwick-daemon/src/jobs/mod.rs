//! Accepted jobs: written to the store before the caller is told, found again after any loss.

use displaydoc::Display;
use ragwortwick_border::{JobAccepted, JobList, JobStatus, JobSubmit, Problem};
use ragwortwick_core::{DurationMs, JobId};

/// `JobError` says why a call about a job has no answer of its kind.
#[derive(Clone, Debug, Display, PartialEq)]
pub enum JobError {
    /// {0:?}
    Invalid(Problem),
    /// no such job
    Unknown,
    /// not run: {reason}
    NotRun {
        /// Why nothing was accepted.
        reason: String,
        /// When to come back.
        retry_after_ms: DurationMs,
    },
    /// the store did not answer; the job may have been accepted
    MayBeAccepted,
}

impl std::error::Error for JobError {}

/// `JobsHandle` accepts, shows and cancels jobs; clones reach the same duty.
#[derive(Clone, Debug)]
pub struct JobsHandle;

impl JobsHandle {
    /// `accept` checks the job and returns once its record is in the store.
    ///
    /// # Errors
    ///
    /// Fails if the job is invalid or can't be recorded now.
    pub async fn accept(&self, job: JobSubmit) -> Result<JobAccepted, JobError> {
        let _ = (self, job);
        std::future::pending().await
    }

    /// `status` reads a job's record and asks its zone's owner to explain it.
    ///
    /// # Errors
    ///
    /// Fails if the job is unknown or the store is away.
    pub async fn status(&self, job_id: &JobId) -> Result<JobStatus, JobError> {
        let _ = (self, job_id);
        std::future::pending().await
    }

    /// `list` reads the jobs after `after`, at most `limit`.
    ///
    /// # Errors
    ///
    /// Fails if the store is away.
    pub async fn list(&self, after: Option<&JobId>, limit: u32) -> Result<JobList, JobError> {
        let _ = (self, after, limit);
        std::future::pending().await
    }

    /// `cancel` records the wish to cancel; repeats are harmless.
    ///
    /// # Errors
    ///
    /// Fails if the job is unknown or the store is away.
    pub async fn cancel(&self, job_id: &JobId) -> Result<JobStatus, JobError> {
        let _ = (self, job_id);
        std::future::pending().await
    }
}
