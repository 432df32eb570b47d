//! Acceptance of a job: its record is in the store before the caller is told.

use ragwortwick_border::{JobAccepted, JobPhase, JobRecord, JobSubmit, StoreEntry};
use ragwortwick_core::{JobId, Revision, log_event};
use ragwortwick_platform::{StoreWrite, WriteOutcome};

use super::check::{check_id, check_job, choose_zone};
use super::{JobError, JobsHandle};
use crate::keys;

impl JobsHandle {
    /// `accept` checks the job and returns once its record is in the store.
    ///
    /// # Errors
    ///
    /// Fails if the job is invalid or can't be recorded now.
    pub async fn accept(&self, job: JobSubmit) -> Result<JobAccepted, JobError> {
        let record = self.make_record(job)?;
        self.probe_store().await?;
        let write = StoreWrite {
            key: keys::job(&record.job_id),
            expected_revision: Revision(0),
            value: serde_json::to_string(&record).ok(),
            lease_id: None,
        };
        match self.store.write(&write).await {
            Ok(WriteOutcome::Written(_)) => {}
            Ok(WriteOutcome::Conflict { found, .. }) => {
                return self.settle_repeat(&record, found.as_ref());
            }
            Err(error) => return Err(JobError::of_write(&error)),
        }
        log_event!(
            Info,
            "job_accepted",
            job_id = record.job_id,
            customer = record.spec.customer,
            class = record.spec.class,
            zone = record.zone
        );
        let accepted = JobAccepted {
            job_id: record.job_id.clone(),
            zone: record.zone.clone(),
        };
        self.hint_new(record);
        Ok(accepted)
    }

    fn make_record(&self, mut job: JobSubmit) -> Result<JobRecord, JobError> {
        let Some(table) = self.config.current() else {
            return Err(JobError::not_run("no table is in force here yet"));
        };
        let nonce = self.nonces.next();
        let job_id = job.job_id.clone().unwrap_or_else(|| JobId::new(&nonce));
        check_id(&job_id)?;
        check_job(&job, &table.table)?;
        let hosts = self.hosts.borrow().clone();
        let zone = choose_zone(&job, &table.table, &hosts, self.zone.zone())?;
        job.job_id = Some(job_id.clone());
        Ok(JobRecord {
            job_id,
            spec: job,
            zone,
            accepted_at_ms: self.clock.now(),
            phase: JobPhase::Waiting,
            attempt: 0,
            cancel_requested: false,
            reason: "accepted".to_owned(),
            nonce,
        })
    }

    /// While the store is away, a read goes first: if it fails, nothing was written and the caller
    /// can be told "not run". Without it the write would time out and leave the caller in doubt.
    async fn probe_store(&self) -> Result<(), JobError> {
        if *self.store.reachable().borrow() {
            return Ok(());
        }
        match self.store.get(keys::TABLE_CURRENT).await {
            Ok(_) => Ok(()),
            Err(error) => Err(JobError::not_run(format!("the store is away, {error}"))),
        }
    }

    /// The same id was accepted before: a repeat gets the same answer, another job is refused.
    fn settle_repeat(
        &self,
        record: &JobRecord,
        found: Option<&StoreEntry>,
    ) -> Result<JobAccepted, JobError> {
        let earlier = found.and_then(|entry| serde_json::from_str::<JobRecord>(&entry.value).ok());
        let Some(earlier) = earlier else {
            return Err(JobError::MayBeAccepted);
        };
        if earlier.spec != record.spec {
            let text = "expected a new id: another job was accepted under this one";
            return Err(JobError::invalid("job_id", text));
        }
        self.hint_new(earlier.clone());
        Ok(JobAccepted {
            job_id: earlier.job_id,
            zone: earlier.zone,
        })
    }
}
