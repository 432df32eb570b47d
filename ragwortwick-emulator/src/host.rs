//! A host that coordinates: its state machine, and what it can reach.

use std::collections::BTreeSet;

use ragwortwick_area::Coordinator;
use ragwortwick_core::{JobId, TimeMs, WorkerName};

/// `Host` is one process that may coordinate.
#[derive(Debug, Default)]
pub(crate) struct Host {
    pub(crate) term: Option<Term>,
    pub(crate) is_cut_from_store: bool,
    /// Workers that it can't reach, both ways.
    pub(crate) cut_workers: BTreeSet<WorkerName>,
    /// Answers of workers don't come back.
    pub(crate) loses_answers: bool,
    /// It stands still until then.
    pub(crate) frozen_until: Option<TimeMs>,
    /// When its coordinator wakes next.
    pub(crate) wakes_at: Option<TimeMs>,
    /// A killed process comes back then.
    pub(crate) down_until: Option<TimeMs>,
}

/// `Term` is one term of coordination.
#[derive(Debug)]
pub(crate) struct Term {
    pub(crate) number: u64,
    pub(crate) coordinator: Coordinator,
    /// Jobs that it was told of, and of which it was told that they are cancelled.
    pub(crate) told: BTreeSet<JobId>,
    pub(crate) told_cancelled: BTreeSet<JobId>,
    pub(crate) told_workers: BTreeSet<WorkerName>,
}

impl Host {
    pub(crate) fn is_stopped(&self, now: TimeMs) -> bool {
        let is_before = |until: Option<TimeMs>| until.is_some_and(|until| now < until);
        is_before(self.frozen_until) || is_before(self.down_until)
    }

    pub(crate) fn reaches_store(&self) -> bool {
        !self.is_cut_from_store
    }

    pub(crate) fn reaches(&self, worker: &WorkerName) -> bool {
        !self.cut_workers.contains(worker)
    }
}
