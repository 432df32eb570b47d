//! Workers that restart under their identity.
//!
//! The later incarnation has none of the runs of the earlier one, but it accepts orders that were meant for it, and
//! an order may be carried out seconds late. A run of the earlier incarnation counts as over once the later
//! one has confirmed a stop of it, and stopping has had its time: no start order can begin it there any more.

use std::collections::{BTreeMap, BTreeSet};

use ragwortwick_core::{DurationMs, TimeMs, WorkerName};

use crate::allocation::AllocationPhase;
use crate::coordinator::Coordinator;
use crate::job::{Resources, TaskId};
use crate::losses::WorkerLossCause;
use crate::messages::RunEndEvidence;
use crate::outcome::RunOutcome;
use crate::worker::Worker;

/// Longest time after which an order without a reply is expected to be carried out late.
const MAX_ORDER_DELAY_MS: DurationMs = DurationMs(15_000);

/// `UnsettledStarts` holds runs that are over although an order to start them had no reply.
///
/// A stop that the worker has confirmed keeps such an order from taking effect, until the worker restarts.
#[derive(Clone, Debug, Default)]
pub(crate) struct UnsettledStarts(Vec<(TimeMs, TaskId, u32)>);

impl UnsettledStarts {
    pub(crate) fn record(&mut self, now: TimeMs, task: &TaskId, run: u32) {
        self.forget_old(now);
        self.0.push((now, task.clone(), run));
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    pub(crate) fn clear(&mut self) {
        self.0.clear();
    }

    /// Forgets the starts that are not expected to be carried out any more.
    pub(crate) fn forget_old(&mut self, now: TimeMs) {
        self.0
            .retain(|(at, _, _)| now.since(*at) <= MAX_ORDER_DELAY_MS);
    }

    fn take_recent(&mut self, now: TimeMs) -> impl Iterator<Item = (TaskId, u32)> {
        let starts = std::mem::take(&mut self.0).into_iter();
        let recent = starts.filter(move |(at, _, _)| now.since(*at) <= MAX_ORDER_DELAY_MS);
        recent.map(|(_, task, run)| (task, run))
    }
}

impl Worker {
    /// Marks the worker as replaced by a later incarnation, and its runs as stopping. Returns the runs whose start
    /// was not sent, which never begin.
    pub(crate) fn replace(&mut self, now: TimeMs) -> Vec<(TaskId, u32)> {
        self.is_replaced = true;
        self.is_listed = false;
        self.forget_listed_ends();
        self.untracked.clear_reported();
        let until = now + MAX_ORDER_DELAY_MS;
        for (task, run) in self.unsettled_starts.take_recent(now) {
            self.untracked
                .insert_expected(task, run, Resources::default(), until);
        }
        self.untracked.restart_stops();
        let cause = self.replacement_cause();
        let mut unsent = Vec::new();
        for (task, allocation) in &mut self.allocations {
            if allocation.phase == AllocationPhase::AwaitingRecord {
                unsent.push((task.clone(), allocation.run));
            }
            // A stop that the earlier incarnation confirmed is unknown to the later one.
            allocation.phase = match allocation.phase {
                AllocationPhase::Stopping { reason, .. } => AllocationPhase::stop_pending(reason),
                _ => AllocationPhase::stop_pending(cause.into()),
            };
        }
        unsent
    }

    /// The cause of the loss of a worker whose later incarnation is in touch.
    fn replacement_cause(&self) -> WorkerLossCause {
        if self.entry.is_draining {
            WorkerLossCause::Left
        } else {
            WorkerLossCause::Crashed
        }
    }

    /// Takes the runs of a replaced worker that are over: the later incarnation has confirmed their stops, and a run that it
    /// had begun by a late order has had the time to stop.
    fn take_settled_runs(
        &mut self,
        now: TimeMs,
        stop_ms: DurationMs,
    ) -> Vec<(TaskId, u32, WorkerLossCause)> {
        self.untracked.remove_stopped(now, stop_ms);
        let cause = self.replacement_cause();
        let allocations = self.allocations.iter();
        let settled = allocations.filter(|(_, allocation)| match allocation.phase {
            AllocationPhase::Stopping { progress, .. } => progress.is_over_at(now, stop_ms),
            _ => false,
        });
        settled
            .map(|(task, allocation)| (task.clone(), allocation.run, cause))
            .collect()
    }
}

impl Coordinator {
    /// Forgets the start orders that are not expected to be carried out any more.
    pub(crate) fn forget_old_starts(&mut self, now: TimeMs) {
        for worker in self.workers.values_mut() {
            worker.unsettled_starts.forget_old(now);
            worker.untracked.forget_old_expectations(now);
        }
    }

    /// Ends the runs of replaced workers that can't begin, or go on, under the later incarnation.
    pub(crate) fn settle_replaced_workers(&mut self, now: TimeMs) {
        let stop_ms = self.limits.stop_ms;
        let replaced = self
            .workers
            .iter_mut()
            .filter(|(_, worker)| worker.is_replaced);
        let settled: Vec<_> = replaced
            .flat_map(|(name, worker)| {
                let runs = worker.take_settled_runs(now, stop_ms).into_iter();
                runs.map(|run| (name.clone(), run))
            })
            .collect();
        for (name, (task, run, cause)) in settled {
            let outcome = RunOutcome::Lost(cause);
            let evidence = RunEndEvidence::StoppedAfterRestart;
            self.end_run(now, &name, &task, run, outcome, evidence);
        }
    }
}

/// Incarnations of the same worker that a later one replaces.
pub(crate) fn earlier_incarnations(
    workers: &BTreeMap<WorkerName, Worker>,
    name: &WorkerName,
) -> Vec<WorkerName> {
    if name.started_unix_ms().is_none() {
        return Vec::new();
    }
    let identity = name.identity();
    workers
        .range(WorkerName::new(identity)..)
        .take_while(|(other, _)| other.as_str().starts_with(identity))
        .filter(|(earlier, worker)| !worker.is_replaced && name.is_restart_of(earlier))
        .map(|(earlier, _)| earlier.clone())
        .collect()
}

/// Identities whose earlier incarnation has runs that may still begin under the later one.
pub(crate) fn unsettled_identities(workers: &BTreeMap<WorkerName, Worker>) -> BTreeSet<&str> {
    let replaced = workers.iter().filter(|(_, worker)| worker.is_replaced);
    replaced.map(|(name, _)| name.identity()).collect()
}
