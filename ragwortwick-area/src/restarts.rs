//! Workers that restart under their identity.
//!
//! The later incarnation has none of the runs of the earlier one, but it accepts orders that were meant for it, and
//! an order may be carried out seconds late. A run of the earlier incarnation counts as over once the later
//! one has confirmed a stop of it: no start order can begin it there any more.

use std::collections::BTreeSet;

use ragwortwick_core::{DurationMs, TimeMs, WorkerName};

use crate::allocation::AllocationPhase;
use crate::coordinator::Coordinator;
use crate::job::TaskId;
use crate::losses::WorkerLossCause;
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
        let is_recent = |at: TimeMs| now.since(at) <= MAX_ORDER_DELAY_MS;
        self.0.retain(|(at, _, _)| is_recent(*at));
        self.0.push((now, task.clone(), run));
    }

    fn take_recent(&mut self, now: TimeMs) -> impl Iterator<Item = (TaskId, u32)> {
        let starts = std::mem::take(&mut self.0).into_iter();
        let recent = starts.filter(move |(at, _, _)| now.since(*at) <= MAX_ORDER_DELAY_MS);
        recent.map(|(_, task, run)| (task, run))
    }
}

impl Worker {
    /// The cause of the loss of a worker whose later incarnation is in touch.
    fn replacement_cause(&self) -> WorkerLossCause {
        if self.entry.is_draining {
            WorkerLossCause::Left
        } else {
            WorkerLossCause::Crashed
        }
    }
}

impl Coordinator {
    /// Known incarnations that the given one is a restart of.
    pub(crate) fn earlier_incarnations(&self, name: &WorkerName) -> Vec<WorkerName> {
        if name.started_unix_ms().is_none() {
            return Vec::new();
        }
        let identity = name.identity();
        let candidates = self.workers.range(WorkerName::new(identity)..);
        candidates
            .take_while(|(other, _)| other.as_str().starts_with(identity))
            .filter(|(earlier, worker)| !worker.is_replaced && name.is_restart_of(earlier))
            .map(|(earlier, _)| earlier.clone())
            .collect()
    }

    /// Handles the restart of a worker: stops its runs, which end once the later incarnation confirms.
    pub(crate) fn on_worker_restarted(&mut self, now: TimeMs, name: &WorkerName) {
        let lost = self.describe_loss(now, name, WorkerLossCause::Crashed);
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        if std::mem::replace(&mut worker.is_replaced, true) {
            return;
        }
        worker.is_listed = false;
        worker.stored_end = worker.acked_end;
        worker.received_end = worker.acked_end;
        worker.untracked.clear();
        for (task, run) in worker.unsettled_starts.take_recent(now) {
            worker.untracked.insert_expected(task, run);
        }
        let cause = worker.replacement_cause();
        let mut unsent = Vec::new();
        for (task, allocation) in &mut worker.allocations {
            if allocation.phase == AllocationPhase::AwaitingRecord {
                unsent.push((task.clone(), allocation.run));
            }
            // A stop that the earlier incarnation confirmed is unknown to the later one.
            allocation.phase = match allocation.phase {
                AllocationPhase::Stopping { reason, .. } => AllocationPhase::stop_pending(reason),
                _ => AllocationPhase::stop_pending(cause.into()),
            };
        }
        self.has_due_orders = true;
        for (task, run) in unsent {
            self.end_run(now, name, &task, run, RunOutcome::NoVerdict);
        }
        if let Some(lost) = lost {
            self.record_loss(now, lost);
        }
        if self.workers.get(name).is_some_and(Worker::can_be_removed) {
            self.workers.remove(name);
        }
    }

    /// Identities whose earlier incarnation has runs that may still begin under the later one.
    pub(crate) fn unsettled_identities(&self) -> BTreeSet<&str> {
        let replaced = self.workers.iter().filter(|(_, worker)| worker.is_replaced);
        replaced.map(|(name, _)| name.identity()).collect()
    }

    /// Ends the run of a replaced worker whose stop the later incarnation has confirmed.
    pub(crate) fn settle_replaced(
        &mut self,
        now: TimeMs,
        name: &WorkerName,
        task: &TaskId,
        run: u32,
    ) {
        let worker = self.workers.get_mut(name);
        let Some(worker) = worker.filter(|worker| worker.is_replaced) else {
            return;
        };
        worker.untracked.remove_confirmed(&(task.clone(), run));
        let cause = worker.replacement_cause();
        let Some(allocation) = worker.allocations.get(task) else {
            return;
        };
        let AllocationPhase::Stopping { progress, .. } = allocation.phase else {
            return;
        };
        if progress.is_confirmed() && allocation.run == run {
            self.end_run(now, name, task, run, RunOutcome::Lost(cause));
        }
    }
}
