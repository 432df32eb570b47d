//! How runs come to their end: listed, refused, out of lease, or gone with their worker.

use std::sync::Arc;

use ragwortwick_core::{DurationMs, TimeMs, WorkerName};

use crate::accounting::RunEndReason;
use crate::allocation::AllocationPhase;
use crate::coordinator::Coordinator;
use crate::job::TaskId;
use crate::job_state::TaskState;
use crate::losses::WorkerLossCause;
use crate::messages::{Action, EndKind, EndedTask, RunEnded, WorkerReport};
use crate::outcome::{FollowUp, RunOutcome};
use crate::worker::PollState;

/// Failed runs in a row, of any jobs, after which a worker is suspected.
const SUSPECT_FAILURES: u32 = 2;

/// How long a suspected worker gets no new work.
const SUSPECT_MS: DurationMs = DurationMs(6_000);

/// Pause before the next look at a worker that had nothing to tell.
const AFTER_LOOK_MS: DurationMs = DurationMs(5);

/// Workers for each further millisecond of pause after ends.
const WORKERS_PER_PAUSE_MS: usize = 4;

/// Longest pause after ends: a freed accelerator stands idle for half of it on average.
const MOST_AFTER_ENDS_MS: u64 = 100;

/// Pause before the next look at a worker that listed ends. Each end is answered at once, so many
/// small tasks on many workers would cost a look each; a pause takes several ends in one.
fn after_ends_ms(workers: usize) -> DurationMs {
    let more_ms = (workers / WORKERS_PER_PAUSE_MS) as u64;
    DurationMs((AFTER_LOOK_MS.0 + more_ms).min(MOST_AFTER_ENDS_MS))
}

/// How long a silent worker may take to be heard again before its runs are given up, at least.
///
/// Past their lease they don't run any more, but may have come to their end before that. A worker that
/// was only out of reach lists those ends when it is back: a booking started again meanwhile would be
/// made twice. A lease alone is over before many a cut is.
const HEARD_WITHIN_MS: DurationMs = DurationMs(13_100);

impl Coordinator {
    /// A run is over for good: its room is free, and its job goes on from there.
    pub(crate) fn end_run(
        &mut self,
        now: TimeMs,
        worker_name: &WorkerName,
        task: &TaskId,
        run: u32,
        outcome: RunOutcome,
    ) {
        let Some(worker) = self.workers.get_mut(worker_name) else {
            return;
        };
        if worker
            .allocations
            .get(task)
            .is_none_or(|held| held.run != run)
        {
            return;
        }
        let Some(held) = worker.release(task) else {
            return;
        };
        let why = match outcome {
            RunOutcome::Done => RunEndReason::Done,
            RunOutcome::Failed => RunEndReason::Failed,
            RunOutcome::NoVerdict | RunOutcome::Lost(_) => match (held.phase, outcome) {
                (AllocationPhase::Stopping { why, .. }, _) => why,
                (_, RunOutcome::Lost(loss)) => loss.into(),
                _ => RunEndReason::NotThere,
            },
        };
        let vain_ms = match why {
            RunEndReason::Done => DurationMs(0),
            _ => held.wasted_ms(now, self.limits.restore_ms),
        };
        let lost_core_ms = held.resources.core_equivalents().max(1) * vain_ms.0;
        self.actions.push(Action::LogRunEnd(RunEnded {
            worker: worker_name.clone(),
            task: task.clone(),
            run,
            why,
            ran_ms: held.started_at.map(|at| now.since(at)),
            lost_core_ms,
        }));
        match outcome {
            RunOutcome::Done => worker.consecutive_failures = 0,
            RunOutcome::Failed => {
                worker.consecutive_failures += 1;
                if worker.consecutive_failures >= SUSPECT_FAILURES {
                    worker.avoid_until = now + SUSPECT_MS;
                }
            }
            RunOutcome::NoVerdict | RunOutcome::Lost(_) => {}
        }
        if outcome == RunOutcome::Done {
            self.compare_final_duration(now, worker_name, task, &held);
        }
        let attempts = self.max_attempts(&task.job_id);
        let Some(job) = self.jobs.get_mut(&task.job_id) else {
            return;
        };
        let settled = job.apply_outcome(task, run, outcome, &held.checkpoint, attempts);
        job.last_run_ended_at = now;
        if why != RunEndReason::Done {
            job.accounting.on_run_lost(why, vain_ms, lost_core_ms);
        }
        if job.is_idle() {
            job.accounting.on_idle(now);
        }
        self.records.mark_dirty(&task.job_id);
        self.needs_pass = true;
        match settled {
            FollowUp::None => {}
            FollowUp::StopGang => self.stop_with_gang(now, task, RunEndReason::GangEnded),
            FollowUp::EndJob => self.end_job(now, &task.job_id.clone()),
        }
    }

    /// Takes in one end that a worker lists.
    fn end_listed(&mut self, now: TimeMs, worker_name: &WorkerName, end: &EndedTask) {
        let Some(worker) = self.workers.get_mut(worker_name) else {
            return;
        };
        let held = worker.allocations.get_mut(&end.task);
        let Some(held) = held
            .filter(|held| held.run == end.run && held.phase != AllocationPhase::AwaitingRecord)
        else {
            if end.kind == EndKind::Done {
                self.complete_late(now, &end.task);
            }
            return;
        };
        if !end.checkpoint.is_empty() {
            held.checkpoint = Arc::clone(&end.checkpoint);
        }
        let outcome = match end.kind {
            EndKind::Done => RunOutcome::Done,
            EndKind::Failed => RunOutcome::Failed,
            EndKind::Stopped
            | EndKind::LeaseExpired
            | EndKind::GangBroken
            | EndKind::GangIncomplete => RunOutcome::NoVerdict,
        };
        self.end_run(now, worker_name, &end.task, end.run, outcome);
    }

    /// Takes in an end that an earlier coordinator heard: final, whatever became of its worker.
    pub(crate) fn on_completion_handed_over(&mut self, now: TimeMs, task: &TaskId, run: u32) {
        let job = self.jobs.get(&task.job_id);
        let state = job.and_then(|job| job.task(task));
        let Some(TaskState::Placed(worker)) = state.map(|state| &state.state) else {
            return;
        };
        let worker = worker.clone();
        self.end_run(now, &worker, task, run, RunOutcome::Done);
    }

    /// A worker's address answers as another life: nothing of the earlier one runs any more.
    pub(crate) fn on_incarnation_ended(&mut self, now: TimeMs, worker_name: &WorkerName) {
        if let Some(worker) = self.workers.get_mut(worker_name) {
            worker.is_listed = false;
            worker.stored_end = worker.acked_end;
            worker.received_end = worker.acked_end;
        }
        self.lose_worker(now, worker_name, WorkerLossCause::Crashed);
    }

    /// Gives up runs on silent workers whose lease must have run out by now.
    ///
    /// Every order carries the end of the lease on the worker's clock, and a silent worker gets no
    /// further lease, so past the bound everything there was killed, also what arrives late.
    pub(crate) fn expire_leases(&mut self, now: TimeMs) {
        let expired: Vec<WorkerName> = self
            .workers
            .iter()
            .filter(|(_, worker)| {
                let is_unresponsive = worker.is_unresponsive() || worker.entry.address.is_empty();
                // The two times run side by side: a new coordinator's bound on leases is long, and callers
                // would wait for a worker that has left for as long again.
                let given_up_at = worker
                    .lease_expires_by
                    .max(worker.lease_sent_at + HEARD_WITHIN_MS);
                is_unresponsive && !worker.allocations.is_empty() && now >= given_up_at
            })
            .map(|(name, _)| name.clone())
            .collect();
        for name in expired {
            self.lose_worker(now, &name, WorkerLossCause::OutOfReach);
        }
    }

    /// Takes in a look: what runs, what ended, and what is no longer there.
    pub(crate) fn on_poll_reply(
        &mut self,
        now: TimeMs,
        worker_name: &WorkerName,
        sent_at: TimeMs,
        look: &WorkerReport,
    ) {
        let after_ends_ms = after_ends_ms(self.workers.len());
        let Some(worker) = self.workers.get_mut(worker_name) else {
            return;
        };
        worker.record_clock(now, look.clock_ms);
        worker.contact_loss = None;
        let pause_ms = if look.ended.is_empty() {
            AFTER_LOOK_MS
        } else {
            after_ends_ms
        };
        worker.poll = PollState::Idle {
            next_at: now + pause_ms,
        };
        let mut highest = worker.received_end;
        let new_ends: Vec<_> = look
            .ended
            .iter()
            .filter(|end| end.sequence > worker.received_end)
            .collect();
        let has_ends = !new_ends.is_empty();
        for end in &new_ends {
            highest = highest.max(end.sequence);
        }
        worker.received_end = highest;
        if has_ends {
            self.records.ack_end_when_stored(worker_name, highest);
        }
        for end in new_ends {
            self.end_listed(now, worker_name, end);
        }
        self.reconcile_running(now, worker_name, sent_at, &look.running);
        self.check_progress(now, worker_name, look);
        self.pace_fillers(now, worker_name);
    }
}
