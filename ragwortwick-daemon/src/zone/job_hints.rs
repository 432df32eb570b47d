//! Takes in the jobs that accepting hosts hint at, so that they need not wait for the watch.
//!
//! A hint of another host is only a reason to look. One that came late with a record in it could bring
//! back a job that has ended since: a new owner that heard the hint before its listing would start it
//! again. What this host wrote itself while it owned the zone can't have ended unseen.

use ragwortwick_core::{Epoch, JobId};
use ragwortwick_platform::StoreClient;
use tokio::sync::{mpsc, watch};

use super::job_feed::take_in;
use super::job_ledger::{JobLedger, StoredJob, decode_job};
use super::zone_event::ZoneDutyEvent;
use crate::{EventLoopSender, keys};

/// Hints that may wait; one that finds no place costs the time until the watch brings the job.
pub(super) const HINTS_LENGTH: usize = 1_024;

/// `JobHint` tells of a job that was accepted.
#[derive(Debug)]
pub(super) enum JobHint {
    /// There is a record to read.
    Look(JobId),
    /// This host wrote the record while it owned the zone under the epoch.
    Written {
        /// The epoch.
        epoch: Epoch,
        /// The record.
        stored: Box<StoredJob>,
    },
}

/// `JobHints` follows the hints.
#[derive(Debug)]
pub(super) struct JobHints {
    /// The store.
    pub(super) store: StoreClient,
    /// Records seen.
    pub(super) ledger: JobLedger,
    /// The zone duty.
    pub(super) ring: EventLoopSender<ZoneDutyEvent>,
    /// The epoch under which this host owns the zone.
    pub(super) owned: watch::Receiver<Option<Epoch>>,
}

impl JobHints {
    /// `run` takes in each job that is hinted at and not known yet.
    pub(super) async fn run(self, mut hints: mpsc::Receiver<JobHint>) {
        while let Some(hint) = hints.recv().await {
            let owned = *self.owned.borrow();
            let stored = match hint {
                JobHint::Written { epoch, stored } if owned == Some(epoch) => Some(*stored),
                JobHint::Written { stored, .. } => self.read(owned, &stored.record.job_id).await,
                JobHint::Look(job_id) => self.read(owned, &job_id).await,
            };
            if let Some(stored) = stored {
                take_in(&self.ledger, &self.ring, stored).await;
            }
        }
    }

    async fn read(&self, owned: Option<Epoch>, job_id: &JobId) -> Option<StoredJob> {
        if owned.is_none() || self.ledger.get(job_id).is_some() {
            return None;
        }
        // Without an answer the watch brings the job once the store is back.
        let entry = self.store.get(&keys::job(job_id)).await.ok()??;
        decode_job(&entry)
    }
}
