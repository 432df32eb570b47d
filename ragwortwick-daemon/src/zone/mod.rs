//! Ownership of the host's zone and the duty that drives its placer.

use ragwortwick_border::{JobRecord, Shape, ZoneStatus};
use ragwortwick_core::JobId;

/// `ZoneHandle` talks to the zone duty; clones reach the same duty.
#[derive(Clone, Debug)]
pub struct ZoneHandle;

impl ZoneHandle {
    /// `status` gives the owner's view, if this host owns its zone.
    pub async fn status(&self) -> Option<ZoneStatus> {
        let _ = self;
        std::future::pending().await
    }

    /// `why` explains a job, if this host owns its zone and knows the job.
    pub async fn why(&self, job_id: &JobId) -> Option<String> {
        let _ = (self, job_id);
        std::future::pending().await
    }

    /// `new_job` tells the owner of a record that was just written; the watch would tell it later.
    pub fn new_job(&self, record: JobRecord) {
        let _ = (self, record);
    }

    /// `cancel_job` tells the owner of a recorded wish to cancel.
    pub fn cancel_job(&self, job_id: &JobId) {
        let _ = (self, job_id);
    }

    /// `can_ever_fit` tells whether the shape fits this host's zone when it is empty.
    pub async fn can_ever_fit(&self, shape: Shape) -> bool {
        let _ = (self, shape);
        std::future::pending().await
    }
}
