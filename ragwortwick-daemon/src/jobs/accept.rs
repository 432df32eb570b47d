//! Acceptance of a job: its record is in the store before the caller is told.

use ragwortwick_border::{JobAccepted, JobPhase, JobRecord, JobSubmit, StoreEntry};
use ragwortwick_core::{JobId, Revision, log_event};
use ragwortwick_platform::{StoreError, StoreWrite, WriteOutcome};

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
        let job_id = record.job_id.clone();
        if let Some(waiting) = self.full_queue(&record) {
            return self.refuse_unless_accepted(&record, waiting).await;
        }
        if let Err(error) = self.probe_store().await {
            return Err(self.refuse(&job_id, &error));
        }
        let write = StoreWrite {
            key: keys::job(&job_id),
            expected_revision: Revision(0),
            value: serde_json::to_string(&record).ok(),
            lease_id: None,
        };
        let revision = match self.store.write(&write).await {
            Ok(WriteOutcome::Written(revision)) => revision,
            Ok(WriteOutcome::Conflict { found, .. }) => {
                return self.settle_repeat(&record, found.as_ref());
            }
            Err(error) => {
                if error.may_have_taken_effect() {
                    self.doubts.add(&job_id);
                }
                return Err(self.refuse(&job_id, &error));
            }
        };
        self.doubts.remove(&job_id);
        log_event!(
            Info,
            "job_accepted",
            job_id = record.job_id,
            customer = record.spec.customer,
            class = record.spec.class,
            zone = record.zone
        );
        self.queue_limit
            .note_accepted(self.clock.now(), &record.spec.customer);
        let accepted = JobAccepted {
            job_id: record.job_id.clone(),
            zone: record.zone.clone(),
        };
        self.hint_new(record, Some(revision));
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

    /// The customer's waiting jobs, if they reach the limit of the table.
    fn full_queue(&self, record: &JobRecord) -> Option<u32> {
        let customer = &record.spec.customer;
        let table = self.config.current()?;
        let mut rows = table.table.customers.iter();
        let row = rows.find(|row| &row.customer == customer)?;
        let heard = self.peers.follow();
        let now = self.clock.now();
        let waiting = self.queue_limit.waiting(now, customer, &heard.borrow());
        (waiting >= row.max_queued_jobs).then_some(waiting)
    }

    /// A repeat of an accepted job gets its answer again, however full the queue is by now.
    async fn refuse_unless_accepted(
        &self,
        record: &JobRecord,
        waiting: u32,
    ) -> Result<JobAccepted, JobError> {
        match self.store.get(&keys::job(&record.job_id)).await {
            Ok(None) => {
                let customer = &record.spec.customer;
                let text = format!("{waiting} jobs of {customer} wait already");
                Err(JobError::not_run(text))
            }
            Ok(found) => self.settle_repeat(record, found.as_ref()),
            Err(error) => Err(self.refuse(&record.job_id, &error)),
        }
    }

    /// While the store is away, a read goes first: if it fails, nothing was written and the caller
    /// can be told "not run". Without it the write would time out and leave the caller in doubt.
    async fn probe_store(&self) -> Result<(), StoreError> {
        if *self.store.reachable().borrow() {
            return Ok(());
        }
        self.store.get(keys::TABLE_CURRENT).await.map(drop)
    }

    /// Says what a failed call to the store means for this id, earlier calls included.
    fn refuse(&self, job_id: &JobId, error: &StoreError) -> JobError {
        if self.doubts.contains(job_id) {
            return JobError::MayBeAccepted;
        }
        JobError::not_run(format!("this call wrote nothing, {error}"))
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
        self.doubts.remove(&earlier.job_id);
        self.hint_new(earlier.clone(), None);
        Ok(JobAccepted {
            job_id: earlier.job_id,
            zone: earlier.zone,
        })
    }
}
