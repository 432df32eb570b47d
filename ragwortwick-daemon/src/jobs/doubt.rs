//! Ids whose acceptance is unknown, so that no later call says "not run" of them.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use ragwortwick_core::JobId;

/// Most ids remembered: more doubts than one host's writes can leave in a long outage, since each
/// takes the whole time limit of a write.
const MAX_DOUBTS: usize = 4_096;

/// `Doubts` remembers ids of which this host does not know whether they were accepted.
///
/// A caller in doubt asks again with the same id. While the store is away, "not run" would be
/// wrong if the first try was written, and the caller would order the same job under a new id.
#[derive(Clone, Debug, Default)]
pub(crate) struct Doubts {
    ids: Arc<Mutex<VecDeque<JobId>>>,
}

impl Doubts {
    /// `add` remembers an id whose write has an unknown outcome.
    pub(crate) fn add(&self, job_id: &JobId) {
        let mut ids = self.lock();
        if ids.contains(job_id) {
            return;
        }
        if ids.len() == MAX_DOUBTS {
            ids.pop_front();
        }
        ids.push_back(job_id.clone());
    }

    /// `remove` forgets an id whose record was seen.
    pub(crate) fn remove(&self, job_id: &JobId) {
        self.lock().retain(|id| id != job_id);
    }

    /// `contains` tells whether the id may have been accepted.
    pub(crate) fn contains(&self, job_id: &JobId) -> bool {
        self.lock().contains(job_id)
    }

    fn lock(&self) -> MutexGuard<'_, VecDeque<JobId>> {
        self.ids.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
