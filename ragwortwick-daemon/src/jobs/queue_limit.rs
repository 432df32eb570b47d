//! The limit on a customer's waiting jobs, from what the zones' owners tell in their heartbeats.

use std::collections::{BTreeMap, VecDeque};
use std::sync::{Arc, Mutex, PoisonError};

use ragwortwick_border::{CustomerJobs, PeerHello};
use ragwortwick_core::{CustomerName, DurationMs, HostName, TimeMs};
use tokio::sync::watch;

/// Time after which a job accepted here is in its owner's count: a watch and a heartbeat later.
const COUNTED_AFTER_MS: DurationMs = DurationMs(3_000);

/// `QueueLimit` estimates how many jobs of a customer wait; clones share what was accepted here.
///
/// The estimate lags by a heartbeat. What this host accepted in that time is added, so that a burst
/// at one host stops at the limit; bursts at several hosts may pass it by what each accepted.
#[derive(Clone, Debug)]
pub(crate) struct QueueLimit {
    own: watch::Receiver<Arc<Vec<CustomerJobs>>>,
    recent: Arc<Mutex<BTreeMap<CustomerName, VecDeque<TimeMs>>>>,
}

impl QueueLimit {
    /// `open` follows the count of the zone that this host may own.
    pub(crate) fn open(own: watch::Receiver<Arc<Vec<CustomerJobs>>>) -> Self {
        Self {
            own,
            recent: Arc::default(),
        }
    }

    /// `note_accepted` takes in a job that was accepted here.
    pub(crate) fn note_accepted(&self, now: TimeMs, customer: &CustomerName) {
        let mut recent = self.recent.lock().unwrap_or_else(PoisonError::into_inner);
        recent.entry(customer.clone()).or_default().push_back(now);
    }

    /// `waiting` estimates the customer's waiting jobs in all zones.
    pub(crate) fn waiting(
        &self,
        now: TimeMs,
        customer: &CustomerName,
        heard: &BTreeMap<HostName, PeerHello>,
    ) -> u32 {
        let own = self.own.borrow();
        let told = heard.values().flat_map(|hello| &hello.waiting_jobs);
        let told: u32 = told
            .chain(own.iter())
            .filter(|jobs| &jobs.customer == customer)
            .map(|jobs| jobs.waiting)
            .sum();
        told.saturating_add(self.recent(now, customer))
    }

    fn recent(&self, now: TimeMs, customer: &CustomerName) -> u32 {
        let mut recent = self.recent.lock().unwrap_or_else(PoisonError::into_inner);
        let Some(times) = recent.get_mut(customer) else {
            return 0;
        };
        while times
            .front()
            .is_some_and(|at| now.since(*at) >= COUNTED_AFTER_MS)
        {
            times.pop_front();
        }
        u32::try_from(times.len()).unwrap_or(u32::MAX)
    }
}
