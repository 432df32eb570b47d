//! Run ends: reported by the worker, refused, expired with the lease, or lost with the worker.

use std::sync::Arc;

use ragwortwick_core::{DurationMs, TimeMs, WorkerName};

use crate::accounting::RunEndReason;
use crate::allocation::AllocationPhase;
use crate::coordinator::Coordinator;
use crate::job::TaskId;
use crate::losses::WorkerLossCause;
use crate::messages::{Action, EndKind, EndedTask, RunEndEvidence, RunEnded, WorkerReport};
use crate::outcome::{FollowUp, RunOutcome};
use crate::worker::{PollState, Worker};

/// Number of consecutive failed runs, of any jobs, after which a worker is presumed faulty.
const FAULTY_AFTER_FAILURES: u32 = 2;

/// How long a worker that is presumed faulty gets no new work.
const AVOID_FAULTY_MS: DurationMs = DurationMs(6_000);

/// Pause before the next poll of a worker that reported no run ends.
const POLL_PAUSE_MS: DurationMs = DurationMs(5);

/// Number of workers in the area for each further millisecond of pause after run ends.
const WORKERS_PER_PAUSE_MS: usize = 4;

/// Maximum pause after run ends: a freed accelerator stays idle for half of it on average.
const MAX_PAUSE_AFTER_ENDS_MS: u64 = 100;

/// Pause before the next poll of a worker that reported run ends. A worker replies to a poll at the first
/// run end, so many small tasks on many workers would cost a poll each; the pause collects several ends in
/// one poll.
fn pause_after_ends_ms(workers: usize) -> DurationMs {
    let extra_ms = (workers / WORKERS_PER_PAUSE_MS) as u64;
    DurationMs((POLL_PAUSE_MS.0 + extra_ms).min(MAX_PAUSE_AFTER_ENDS_MS))
}

/// Minimum time for which an unresponsive worker may become reachable again before its runs are abandoned.
///
/// After the lease has ended the runs no longer execute, but they may have completed before. A worker that
/// was only unreachable reports these ends when it is back; if a task that makes a booking had been restarted
/// meanwhile, the booking would be made twice. Many network partitions last longer than a lease.
const RECONNECT_GRACE_MS: DurationMs = DurationMs(13_100);

impl Coordinator {
    /// Ends a run: frees its resources and applies its outcome to the job.
    pub(crate) fn end_run(
        &mut self,
        now: TimeMs,
        worker_name: &WorkerName,
        task: &TaskId,
        run: u32,
        outcome: RunOutcome,
        evidence: RunEndEvidence,
    ) {
        let Some(worker) = self.workers.get_mut(worker_name) else {
            return;
        };
        if worker
            .allocations
            .get(task)
            .is_none_or(|allocation| allocation.run != run)
        {
            return;
        }
        let Some(allocation) = worker.release(task) else {
            return;
        };
        if allocation.has_unanswered_start() {
            worker.unsettled_starts.record(now, task, run);
        }
        let reason = match outcome {
            RunOutcome::Done => RunEndReason::Done,
            RunOutcome::Failed => RunEndReason::Failed,
            RunOutcome::NoVerdict | RunOutcome::Lost(_) => match (allocation.phase, outcome) {
                (AllocationPhase::Stopping { reason, .. }, _) => reason,
                (_, RunOutcome::Lost(cause)) => cause.into(),
                _ => RunEndReason::NotThere,
            },
        };
        let wasted_ms = match reason {
            RunEndReason::Done => DurationMs(0),
            _ => allocation.wasted_ms(now, self.limits.restore_ms),
        };
        let lost_core_ms = allocation.resources.core_equivalents().max(1) * wasted_ms.0;
        self.actions.push(Action::LogRunEnd(RunEnded {
            worker: worker_name.clone(),
            task: task.clone(),
            run,
            reason,
            evidence,
            start_orders: allocation.start_attempts,
            start_replies: allocation.start_replies,
            reply_age_ms: worker.contact.reply_age_ms(now),
            ran_ms: allocation.started_at.map(|at| now.since(at)),
            lost_core_ms,
        }));
        match outcome {
            RunOutcome::Done => worker.consecutive_failures = 0,
            RunOutcome::Failed => {
                worker.consecutive_failures += 1;
                if worker.consecutive_failures >= FAULTY_AFTER_FAILURES {
                    worker.avoid_until = now + AVOID_FAULTY_MS;
                }
            }
            RunOutcome::NoVerdict | RunOutcome::Lost(_) => {}
        }
        if outcome == RunOutcome::Done {
            self.observe_whole_run(now, worker_name, task, &allocation);
        }
        self.release_held_ends(task);
        let attempts = self.max_attempts(&task.job_id);
        let Some(job) = self.jobs.get_mut(&task.job_id) else {
            return;
        };
        job.superseded_runs
            .retain(|id, worker| id != task || worker != worker_name);
        if outcome == RunOutcome::Lost(WorkerLossCause::OutOfReach) {
            job.record_abandoned_run(task, run);
        }
        let follow_up = job.apply_outcome(task, run, outcome, &allocation.checkpoint, attempts);
        job.last_run_ended_at = now;
        if reason != RunEndReason::Done {
            job.accounting.on_run_lost(reason, wasted_ms, lost_core_ms);
        }
        if job.is_idle() {
            job.accounting.on_idle(now);
        }
        self.records.mark_dirty(&task.job_id);
        self.needs_pass = true;
        match follow_up {
            FollowUp::None => {}
            FollowUp::StopGang => self.stop_with_gang(now, task, RunEndReason::GangEnded),
            FollowUp::EndJob => self.end_job(now, &task.job_id.clone()),
        }
    }

    /// Ends a run whose start order was not sent, so that it never starts.
    pub(crate) fn end_unsent_run(
        &mut self,
        now: TimeMs,
        worker_name: &WorkerName,
        task: &TaskId,
        run: u32,
    ) {
        let evidence = RunEndEvidence::StartNotSent;
        self.end_run(now, worker_name, task, run, RunOutcome::NoVerdict, evidence);
    }

    /// Processes one run end that a worker reported.
    fn process_run_end(&mut self, now: TimeMs, worker_name: &WorkerName, end: &EndedTask) {
        let Some(worker) = self.workers.get_mut(worker_name) else {
            return;
        };
        let allocation = worker.allocations.get_mut(&end.task);
        let Some(allocation) = allocation.filter(|allocation| {
            allocation.run == end.run && allocation.phase != AllocationPhase::AwaitingRecord
        }) else {
            worker.untracked.remove_ended(&(end.task.clone(), end.run));
            match end.kind {
                EndKind::Done => {
                    self.hold_until_settled(worker_name, end);
                    self.complete_late(now, &end.task);
                }
                EndKind::Failed => self.count_late_failure(now, &end.task, end.run),
                _ => {}
            }
            return;
        };
        if !end.checkpoint.is_empty() {
            allocation.checkpoint = Arc::clone(&end.checkpoint);
        }
        let outcome = match end.kind {
            EndKind::Done => RunOutcome::Done,
            EndKind::Failed => RunOutcome::Failed,
            EndKind::Stopped
            | EndKind::LeaseExpired
            | EndKind::GangBroken
            | EndKind::GangIncomplete => RunOutcome::NoVerdict,
        };
        let evidence = RunEndEvidence::Listed(end.kind);
        self.end_run(now, worker_name, &end.task, end.run, outcome, evidence);
    }

    /// Handles a reply from another incarnation at a worker's address: the runs of the earlier one are gone.
    pub(crate) fn on_incarnation_ended(&mut self, now: TimeMs, worker_name: &WorkerName) {
        if let Some(worker) = self.workers.get_mut(worker_name) {
            worker.is_listed = false;
            worker.forget_listed_ends();
        }
        self.lose_worker(now, worker_name, WorkerLossCause::Crashed);
        // Whatever listens there now takes no order for this worker.
        if let Some(worker) = self.workers.get_mut(worker_name) {
            worker.untracked.clear();
            worker.unsettled_starts.clear();
            if worker.can_be_removed() {
                self.workers.remove(worker_name);
            }
        }
    }

    /// Handles the restart of a worker: its runs end once the later incarnation confirms their stops.
    pub(crate) fn on_worker_restarted(&mut self, now: TimeMs, worker_name: &WorkerName) {
        let lost = self.describe_loss(now, worker_name, WorkerLossCause::Crashed);
        let worker = self.workers.get_mut(worker_name);
        let Some(worker) = worker.filter(|worker| !worker.is_replaced) else {
            return;
        };
        let unsent = worker.replace(now);
        self.has_due_orders = true;
        for (task, run) in unsent {
            self.end_unsent_run(now, worker_name, &task, run);
        }
        if let Some(lost) = lost {
            self.record_loss(now, lost);
        }
        let worker = self.workers.get(worker_name);
        if worker.is_some_and(Worker::can_be_removed) {
            self.workers.remove(worker_name);
        }
    }

    /// Abandons the runs on unresponsive workers whose leases must have ended.
    ///
    /// Every order carries the end of the lease on the worker's clock, and an unresponsive worker gets no
    /// further lease. After the upper bound all runs there have been killed, including those of orders that
    /// arrived late.
    pub(crate) fn expire_leases(&mut self, now: TimeMs) {
        let expired: Vec<WorkerName> = self
            .workers
            .iter()
            .filter(|(_, worker)| {
                let is_unresponsive = worker.is_unresponsive()
                    || worker.is_replaced
                    || worker.entry.address.is_empty();
                // Both times run in parallel: a new coordinator's bound on leases is long, and clients would
                // otherwise wait for a departed worker about twice as long.
                let abandon_at = worker
                    .lease_expires_by
                    .max(worker.lease_sent_at + RECONNECT_GRACE_MS);
                let may_have_runs = !worker.allocations.is_empty() || !worker.untracked.is_empty();
                is_unresponsive && may_have_runs && now >= abandon_at
            })
            .map(|(name, _)| name.clone())
            .collect();
        for name in expired {
            self.lose_worker(now, &name, WorkerLossCause::OutOfReach);
        }
    }

    /// Processes the reply to a poll: run ends, runs in progress, and runs that no longer exist.
    pub(crate) fn on_poll_replied(
        &mut self,
        now: TimeMs,
        worker_name: &WorkerName,
        sent_at: TimeMs,
        report: &WorkerReport,
    ) {
        let pause_after_ends_ms = pause_after_ends_ms(self.workers.len());
        let Some(worker) = self.workers.get_mut(worker_name) else {
            return;
        };
        worker.record_report(now, report);
        let pause_ms = if report.ended.is_empty() {
            POLL_PAUSE_MS
        } else {
            pause_after_ends_ms
        };
        worker.poll = PollState::Idle {
            next_at: now + pause_ms,
        };
        let mut last_sequence = worker.received_end;
        let new_ends: Vec<_> = report
            .ended
            .iter()
            .filter(|end| end.sequence > worker.received_end)
            .collect();
        let has_ends = !new_ends.is_empty();
        for end in &new_ends {
            last_sequence = last_sequence.max(end.sequence);
        }
        worker.received_end = last_sequence;
        if has_ends {
            self.records.ack_end_when_stored(worker_name, last_sequence);
        }
        for end in new_ends {
            self.process_run_end(now, worker_name, end);
        }
        self.reconcile_running(now, worker_name, sent_at, report);
        self.check_progress(now, worker_name, report);
        self.pace_fillers(now, worker_name);
    }
}
