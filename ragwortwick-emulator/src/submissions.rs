//! Callers in the world: jobs handed in and cancelled.

use std::sync::Arc;

use crate::simulation::{Happening, Simulation};
use crate::store::StoredJob;

impl Simulation {
    pub(crate) fn arrive(&mut self, index: usize) {
        if self.store.is_away {
            self.after(200, Happening::Arrive(index));
            return;
        }
        let mut record = (*self.arrivals[index].record).clone();
        record.accepted_unix_ms = self.now;
        let job = StoredJob {
            record: Arc::new(record),
            progress: None,
            cancelled_at: None,
        };
        self.store.jobs.insert(job.record.job_id.clone(), job);
    }

    pub(crate) fn cancel(&mut self, index: usize) {
        let job_id = self.arrivals[index].record.job_id.clone();
        let is_away = self.store.is_away;
        match self.store.jobs.get_mut(&job_id) {
            Some(job) if !is_away => job.cancelled_at = Some(self.now),
            _ => self.after(200, Happening::Cancel(index)),
        }
    }
}
