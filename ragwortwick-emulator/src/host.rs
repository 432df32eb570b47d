//! A host that may coordinate: its coordinator, and which systems it can reach.

use std::collections::{BTreeMap, BTreeSet};

use ragwortwick_area::{Coordinator, RunResult, UnstoredResults};
use ragwortwick_core::{JobId, TimeMs, WorkerName};

/// `Host` is one process that may be elected coordinator.
#[derive(Debug, Default)]
pub(crate) struct Host {
    pub(crate) term: Option<Term>,
    pub(crate) is_partitioned_from_store: bool,
    /// Workers that are unreachable from the host, in both directions.
    pub(crate) unreachable_workers: BTreeSet<WorkerName>,
    /// Replies of workers are dropped.
    pub(crate) loses_replies: bool,
    /// End of the call of the coordinator in progress.
    pub(crate) busy_until: TimeMs,
    /// End of a pause of the process.
    pub(crate) frozen_until: Option<TimeMs>,
    /// Time of the coordinator's next scheduled wakeup.
    pub(crate) wakeup_at: Option<TimeMs>,
    /// Time at which a killed process restarts.
    pub(crate) down_until: Option<TimeMs>,
    /// Whether the host is gone for good.
    pub(crate) is_removed: bool,
    /// Results of ended terms that wait to be handed over.
    pub(crate) handover: Vec<(JobId, Vec<RunResult>)>,
}

/// `Term` is one election term of a coordinator.
#[derive(Debug)]
pub(crate) struct Term {
    pub(crate) number: u64,
    pub(crate) coordinator: Coordinator,
    /// Jobs reported to the coordinator, and those reported as cancelled.
    pub(crate) known_jobs: BTreeSet<JobId>,
    pub(crate) known_cancelled: BTreeSet<JobId>,
    pub(crate) known_workers: BTreeSet<WorkerName>,
    /// Number of handed-over results of each job that were reported to the coordinator.
    pub(crate) known_results: BTreeMap<JobId, usize>,
    pub(crate) unstored: UnstoredResults,
}

impl Host {
    /// Ends the term, if there is one; its unstored results are handed over once the store is reachable.
    pub(crate) fn end_term(&mut self) {
        if let Some(mut term) = self.term.take() {
            self.handover.extend(term.unstored.take());
        }
    }

    pub(crate) fn is_stopped(&self, now: TimeMs) -> bool {
        let is_before = |until: Option<TimeMs>| until.is_some_and(|until| now < until);
        self.is_removed || is_before(self.frozen_until) || is_before(self.down_until)
    }

    /// Returns the end of the present pause of the process, or of the call in progress.
    pub(crate) fn paused_until(&self, now: TimeMs) -> Option<TimeMs> {
        let until = self.frozen_until.unwrap_or_default().max(self.busy_until);
        (now < until).then_some(until)
    }

    pub(crate) fn reaches_store(&self) -> bool {
        !self.is_partitioned_from_store
    }

    pub(crate) fn reaches(&self, worker: &WorkerName) -> bool {
        !self.unreachable_workers.contains(worker)
    }
}
