//! The handle through which the rest of the process reaches the zone duty.

use std::sync::Arc;

use ragwortwick_border::{HostList, JobRecord, Shape, ZoneStatus};
use ragwortwick_core::{Epoch, HostName, JobId, Revision, ZoneName, log_event};
use tokio::sync::{mpsc, oneshot, watch};

use super::Tenure;
use super::capacity::fits_listed;
use super::job_hints::JobHint;
use super::job_ledger::StoredJob;
use super::zone_event::ZoneDutyEvent;
use crate::{Clock, EventLoopSender};

/// `ZoneHandle` talks to the zone duty; clones reach the same duty.
#[derive(Clone, Debug)]
pub struct ZoneHandle {
    pub(super) zone: ZoneName,
    pub(super) ring: EventLoopSender<ZoneDutyEvent>,
    pub(super) hints: mpsc::Sender<JobHint>,
    pub(super) tenure: Tenure,
    pub(super) clock: Clock,
    pub(super) owner: watch::Receiver<Option<HostName>>,
    pub(super) hosts: watch::Receiver<Arc<HostList>>,
}

impl ZoneHandle {
    /// `zone` gives the host's zone.
    #[must_use]
    pub fn zone(&self) -> &ZoneName {
        &self.zone
    }

    /// `owned_epoch` gives the epoch if this host owns its zone and may act.
    #[must_use]
    pub fn owned_epoch(&self) -> Option<Epoch> {
        self.tenure.owned_epoch(self.clock.now())
    }

    /// `owner` gives the zone's owner as the store named it last.
    #[must_use]
    pub fn owner(&self) -> Option<HostName> {
        self.owner.borrow().clone()
    }

    /// `status` gives the owner's view, if this host owns its zone.
    pub async fn status(&self) -> Option<ZoneStatus> {
        let (answer, answered) = oneshot::channel();
        // A full ring counts as no answer: the caller shows the zone as unknown and asks again.
        self.ring.try_send(ZoneDutyEvent::Status(answer)).ok()?;
        answered.await.ok().flatten()
    }

    /// `why` explains a job, if this host owns its zone and knows the job.
    pub async fn why(&self, job_id: &JobId) -> Option<String> {
        let (answer, answered) = oneshot::channel();
        let question = ZoneDutyEvent::Why(job_id.clone(), answer);
        self.ring.try_send(question).ok()?;
        answered.await.ok().flatten()
    }

    /// `new_job` tells the owner of a record that was just written; the watch would tell it later.
    ///
    /// The revision is given if this host wrote the record.
    pub fn new_job(&self, record: JobRecord, written: Option<Revision>) {
        if record.zone != self.zone {
            return;
        }
        let hint = match written.zip(self.owned_epoch()) {
            Some((revision, epoch)) => JobHint::Written {
                epoch,
                stored: Box::new(StoredJob { revision, record }),
            },
            None => JobHint::Look(record.job_id),
        };
        if self.hints.try_send(hint).is_err() {
            self.log_lost_hint();
        }
    }

    /// `cancel_job` tells the owner of a recorded wish to cancel.
    pub fn cancel_job(&self, job_id: &JobId) {
        let event = ZoneDutyEvent::JobCancelled(job_id.clone());
        if self.ring.try_send(event).is_err() {
            self.log_lost_hint();
        }
    }

    /// `can_ever_fit` tells whether the shape fits this host's zone when it is empty.
    pub async fn can_ever_fit(&self, shape: Shape) -> bool {
        std::future::ready(fits_listed(&self.hosts.borrow(), &self.zone, &shape)).await
    }

    /// Only a hint was lost: the record is in the store, and the watch brings it.
    fn log_lost_hint(&self) {
        log_event!(Warn, "job_hint_lost", zone = self.zone);
    }
}
