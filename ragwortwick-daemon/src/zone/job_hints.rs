//! Reads the jobs that accepting hosts hint at, so that they need not wait for the watch.
//!
//! A hint is only a reason to look. One that came late with a record in it could bring back a job
//! that has ended since: a new owner that heard the hint before its listing would start it again.

use ragwortwick_core::{Epoch, JobId};
use ragwortwick_platform::StoreClient;
use tokio::sync::{mpsc, watch};

use super::job_feed::take_in;
use super::job_ledger::{JobLedger, decode_job};
use super::zone_event::ZoneDutyEvent;
use crate::{Ring, keys};

/// Hints that may wait; one that finds no place costs the time until the watch brings the job.
pub(super) const HINTS_LENGTH: usize = 1_024;

/// `JobHints` follows the hints.
#[derive(Debug)]
pub(super) struct JobHints {
    /// The store.
    pub(super) store: StoreClient,
    /// Records seen.
    pub(super) ledger: JobLedger,
    /// The zone duty.
    pub(super) ring: Ring<ZoneDutyEvent>,
    /// The epoch under which this host owns the zone.
    pub(super) owned: watch::Receiver<Option<Epoch>>,
}

impl JobHints {
    /// `run` reads each job that is hinted at and not known yet.
    pub(super) async fn run(self, mut hints: mpsc::Receiver<JobId>) {
        while let Some(job_id) = hints.recv().await {
            if self.owned.borrow().is_none() || self.ledger.get(&job_id).is_some() {
                continue;
            }
            // Without an answer the watch brings the job once the store is back.
            let Ok(Some(entry)) = self.store.get(&keys::job(&job_id)).await else {
                continue;
            };
            if let Some(stored) = decode_job(&entry) {
                take_in(&self.ledger, &self.ring, stored).await;
            }
        }
    }
}
