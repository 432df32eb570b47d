//! Stop orders for a run, for a gang, or for all runs that match a condition.

use std::sync::Arc;

use ragwortwick_core::{DurationMs, TimeMs, WorkerName};

use crate::accounting::RunEndReason;
use crate::allocation::{Allocation, AllocationPhase};
use crate::coordinator::Coordinator;
use crate::job::TaskId;
use crate::messages::{Action, OrderReply, RefusalCause};

/// Delay of the poll after a stop order, which determines whether the run has ended.
const POLL_AFTER_STOP_MS: DurationMs = DurationMs(150);

impl Coordinator {
    pub(crate) fn send_stop(&mut self, now: TimeMs, worker_name: &WorkerName, task: &TaskId) {
        let Some(worker) = self.workers.get_mut(worker_name) else {
            return;
        };
        let address = Arc::clone(&worker.entry.address);
        let Some(allocation) = worker.allocations.get_mut(task) else {
            return;
        };
        let AllocationPhase::Stopping { progress, .. } = &mut allocation.phase else {
            return;
        };
        progress.record_order(now);
        self.actions.push(Action::Stop {
            worker: worker_name.clone(),
            address,
            task: task.clone(),
            run: allocation.run,
        });
    }

    pub(crate) fn on_stop_replied(
        &mut self,
        now: TimeMs,
        worker_name: &WorkerName,
        task: &TaskId,
        run: u32,
        reply: OrderReply,
    ) {
        if reply == OrderReply::Refused(RefusalCause::Fenced) {
            self.actions.push(Action::Resign);
            return;
        }
        let Some(worker) = self.record_reply(now, worker_name, reply) else {
            return;
        };
        let allocation = worker.allocations.get_mut(task);
        let is_known = match allocation.filter(|allocation| allocation.run == run) {
            Some(Allocation {
                phase: AllocationPhase::Stopping { progress, .. },
                ..
            }) => {
                progress.record_reply(now, reply);
                true
            }
            Some(_) => false,
            None => worker
                .untracked
                .record_reply(now, &(task.clone(), run), reply),
        };
        if is_known {
            worker.poll_by(now + POLL_AFTER_STOP_MS);
        }
    }

    /// Sends the stop orders that are due for runs without an allocation.
    pub(crate) fn stop_untracked_runs(&mut self, now: TimeMs) {
        for (name, worker) in &mut self.workers {
            if worker.untracked.is_empty() || worker.entry.address.is_empty() {
                continue;
            }
            // A replaced worker isn't polled any more; its later incarnation takes the orders.
            let is_reachable = worker.is_replaced || !worker.is_unresponsive();
            let due = worker.untracked.due_stops(now, is_reachable);
            let due: Vec<_> = due.cloned().collect();
            for (task, run) in due {
                worker.untracked.record_order(now, &(task.clone(), run));
                self.actions.push(Action::Stop {
                    worker: name.clone(),
                    address: Arc::clone(&worker.entry.address),
                    task,
                    run,
                });
            }
        }
    }

    /// Stops all matching runs on every worker.
    pub(crate) fn stop_matching(
        &mut self,
        now: TimeMs,
        reason: RunEndReason,
        matches: impl Fn(&TaskId) -> bool,
    ) {
        let names: Vec<WorkerName> = self
            .workers
            .iter()
            .filter(|(_, worker)| worker.allocations.keys().any(&matches))
            .map(|(name, _)| name.clone())
            .collect();
        for name in names {
            self.stop_matching_on(now, &name, reason, &matches);
        }
    }

    /// Stops the matching runs on one worker.
    pub(crate) fn stop_matching_on(
        &mut self,
        now: TimeMs,
        name: &WorkerName,
        reason: RunEndReason,
        matches: impl Fn(&TaskId) -> bool,
    ) {
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        self.has_due_orders = true;
        let mut unsent = Vec::new();
        for (task, allocation) in &mut worker.allocations {
            if allocation.is_stopping() || !matches(task) {
                continue;
            }
            if allocation.phase == AllocationPhase::AwaitingRecord {
                unsent.push((task.clone(), allocation.run));
            }
            allocation.phase = AllocationPhase::stop_pending(reason);
        }
        for (task, run) in unsent {
            self.end_unsent_run(now, name, &task, run);
        }
    }

    /// Stops the run of a task; if the task belongs to a gang, stops the whole gang.
    pub(crate) fn stop_with_gang(&mut self, now: TimeMs, task: &TaskId, reason: RunEndReason) {
        let is_gang = self
            .jobs
            .get(&task.job_id)
            .and_then(|job| job.spec(task.step))
            .is_some_and(|spec| spec.is_gang);
        if is_gang {
            let step = task.step_id();
            self.stop_matching(now, reason, |other| other.belongs_to(&step));
        } else {
            self.stop_matching(now, reason, |other| other == task);
        }
    }
}
