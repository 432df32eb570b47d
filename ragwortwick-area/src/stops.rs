//! Stops: of one run, of a gang, or of all that match.

use std::sync::Arc;

use ragwortwick_core::{DurationMs, TimeMs, WorkerName};

use crate::accounting::RunEndReason;
use crate::allocation::AllocationPhase;
use crate::coordinator::Coordinator;
use crate::job::TaskId;
use crate::messages::{Action, OrderReply, RefusalCause};
use crate::outcome::RunOutcome;

/// Pause before a stop that was confirmed, but whose end was never listed, is looked after.
const STOP_LISTED_MS: DurationMs = DurationMs(150);

impl Coordinator {
    pub(crate) fn send_stop(&mut self, now: TimeMs, worker_name: &WorkerName, task: &TaskId) {
        let Some(worker) = self.workers.get_mut(worker_name) else {
            return;
        };
        let address = Arc::clone(&worker.entry.address);
        let Some(held) = worker.allocations.get_mut(task) else {
            return;
        };
        let AllocationPhase::Stopping {
            sent_at,
            in_flight,
            confirmed_at,
            ..
        } = &mut held.phase
        else {
            return;
        };
        *sent_at = Some(now);
        *in_flight = true;
        *confirmed_at = None;
        self.actions.push(Action::Stop {
            worker: worker_name.clone(),
            address,
            task: task.clone(),
            run: held.run,
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
        let Some(held) = worker.allocations.get_mut(task) else {
            return;
        };
        if held.run != run {
            return;
        }
        let AllocationPhase::Stopping {
            in_flight,
            confirmed_at,
            ..
        } = &mut held.phase
        else {
            return;
        };
        // A worker that refuses the stop as stale has nothing of that run any more.
        let is_settled = !matches!(reply, OrderReply::Unknown);
        *in_flight = false;
        *confirmed_at = is_settled.then_some(now);
        worker.poll_by(now + STOP_LISTED_MS);
    }

    /// Tells all runs that match to stop, on every worker.
    pub(crate) fn stop_matching(
        &mut self,
        now: TimeMs,
        why: RunEndReason,
        matches: impl Fn(&TaskId) -> bool,
    ) {
        let names: Vec<WorkerName> = self
            .workers
            .iter()
            .filter(|(_, worker)| worker.allocations.keys().any(&matches))
            .map(|(name, _)| name.clone())
            .collect();
        for name in names {
            self.stop_matching_on(now, &name, why, &matches);
        }
    }

    /// Tells the runs on one worker that match to stop.
    pub(crate) fn stop_matching_on(
        &mut self,
        now: TimeMs,
        name: &WorkerName,
        why: RunEndReason,
        matches: impl Fn(&TaskId) -> bool,
    ) {
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        self.has_due_orders = true;
        let mut never_sent = Vec::new();
        for (task, held) in &mut worker.allocations {
            if held.is_stopping() || !matches(task) {
                continue;
            }
            if held.phase == AllocationPhase::AwaitingRecord {
                never_sent.push((task.clone(), held.run));
            }
            held.phase = AllocationPhase::stop_pending(why);
        }
        for (task, run) in never_sent {
            self.end_run(now, name, &task, run, RunOutcome::NoVerdict);
        }
    }

    /// Stops a task, and with it the whole gang that it is a member of.
    pub(crate) fn stop_with_gang(&mut self, now: TimeMs, task: &TaskId, why: RunEndReason) {
        let is_gang = self
            .jobs
            .get(&task.job_id)
            .and_then(|job| job.spec(task.step))
            .is_some_and(|spec| spec.is_gang);
        if is_gang {
            let step = task.step_id();
            self.stop_matching(now, why, |other| other.belongs_to(&step));
        } else {
            self.stop_matching(now, why, |other| other == task);
        }
    }
}
