//! Reading and cancelling accepted jobs.

use ragwortwick_border::{JobList, JobRecord, JobStatus, StoreEntry};
use ragwortwick_core::{JobId, Revision, log_event};
use ragwortwick_platform::{StoreError, StoreWrite, WriteOutcome};

use super::check::check_id;
use super::{JobError, JobsHandle};
use crate::keys;
use crate::zone::is_final;

/// Most jobs in one page.
const MAX_PAGE: u32 = 500;

/// Tries to record a wish to cancel while the owner writes the same record.
const CANCEL_TRIES: u32 = 8;

impl JobsHandle {
    /// `status` reads a job's record and asks its zone's owner to explain it.
    ///
    /// # Errors
    ///
    /// Fails if the job is unknown or the store is away.
    pub async fn status(&self, job_id: &JobId) -> Result<JobStatus, JobError> {
        let (record, _) = self.read(job_id).await?;
        let why = if is_final(record.phase) {
            None
        } else {
            self.ask_owner(&record.zone, job_id, false).await
        };
        Ok(explained(record, why))
    }

    /// `list` reads the jobs after `after`, at most `limit`.
    ///
    /// # Errors
    ///
    /// Fails if the store is away.
    pub async fn list(&self, after: Option<&JobId>, limit: u32) -> Result<JobList, JobError> {
        let limit = limit.clamp(1, MAX_PAGE);
        let after_key = after.map(keys::job);
        let page = self
            .store
            .list_page(keys::JOBS_PREFIX, after_key, limit)
            .await
            .map_err(|error| of_read(&error))?;
        let records = page.entries.iter().filter_map(decode);
        let jobs = records.map(|record| explained(record, None)).collect();
        Ok(JobList { jobs })
    }

    /// `cancel` records the wish to cancel; repeats are harmless.
    ///
    /// # Errors
    ///
    /// Fails if the job is unknown or the store is away.
    pub async fn cancel(&self, job_id: &JobId) -> Result<JobStatus, JobError> {
        for _ in 0..CANCEL_TRIES {
            let (record, revision) = self.read(job_id).await?;
            if is_final(record.phase) {
                return Ok(explained(record, None));
            }
            if record.cancel_requested {
                return Ok(self.tell_owner(record).await);
            }
            let mut cancelled = record;
            cancelled.cancel_requested = true;
            cancelled.nonce = self.nonces.next();
            let write = StoreWrite {
                key: keys::job(job_id),
                expected_revision: revision,
                value: serde_json::to_string(&cancelled).ok(),
                lease_id: None,
            };
            match self.store.write(&write).await {
                Ok(WriteOutcome::Written(_)) => {
                    log_event!(Info, "job_cancel_requested", job_id = job_id);
                    return Ok(self.tell_owner(cancelled).await);
                }
                // The owner wrote at the same time; its record is read and the wish added to it.
                Ok(WriteOutcome::Conflict { .. }) => {}
                Err(error) => return Err(JobError::of_write(&error)),
            }
        }
        Err(JobError::not_run("the job's record changes too often"))
    }

    async fn tell_owner(&self, record: JobRecord) -> JobStatus {
        let why = self.ask_owner(&record.zone, &record.job_id, true).await;
        explained(record, why)
    }

    async fn read(&self, job_id: &JobId) -> Result<(JobRecord, Revision), JobError> {
        check_id(job_id)?;
        let entry = self
            .store
            .get(&keys::job(job_id))
            .await
            .map_err(|error| of_read(&error))?
            .ok_or(JobError::Unknown)?;
        let record = decode(&entry).ok_or(JobError::Unknown)?;
        Ok((record, entry.revision))
    }
}

fn decode(entry: &StoreEntry) -> Option<JobRecord> {
    serde_json::from_str(&entry.value)
        .inspect_err(|error| log_event!(Error, "job_unreadable", key = entry.key, cause = error))
        .ok()
}

fn of_read(error: &StoreError) -> JobError {
    JobError::not_run(format!("the store is away, {error}"))
}

fn explained(record: JobRecord, why: Option<String>) -> JobStatus {
    let why = why.unwrap_or_else(|| record.reason.clone());
    JobStatus { record, why }
}
