//! Polls of workers: each renews the lease of the worker and returns its runs and run ends.

use std::collections::BTreeSet;
use std::sync::Arc;

use ragwortwick_core::{DurationMs, TimeMs, WorkerName};

use crate::accounting::RunEndReason;
use crate::allocation::{Allocation, AllocationPhase};
use crate::coordinator::{Coordinator, RENEWAL_AFTER_LEASE_LOSS_MS};
use crate::job::{StepSpec, TaskId};
use crate::losses::ContactLossKind;
use crate::messages::{Action, PollFailure, RunEndEvidence, RunningTask, WorkerReport};
use crate::outcome::RunOutcome;
use crate::untracked_runs::UntrackedRun;
use crate::worker::PollState;

/// How long a worker may wait for a run end before it replies to a poll.
///
/// The platform accepts at most 2,000 ms; polls put load on the worker, so the maximum is used.
const POLL_WAIT_MS: DurationMs = DurationMs(2_000);

/// Poll wait where fillers may affect latency-sensitive tasks: the load in a report covers the last half
/// second.
const SHARED_POLL_WAIT_MS: DurationMs = DurationMs(500);

/// Poll wait while an untracked run is being stopped: the next report shows whether the stop had an effect.
const UNTRACKED_POLL_WAIT_MS: DurationMs = DurationMs(500);

/// Minimum poll wait where urgent work runs: a stall has to be detected while a restart elsewhere still
/// helps.
const MIN_URGENT_POLL_WAIT_MS: DurationMs = DurationMs(500);

/// Poll wait per worker of the area where urgent work runs, from the above minimum up to `POLL_WAIT_MS`: the
/// replies of many workers would otherwise delay decisions on a small host.
const URGENT_POLL_MS_PER_WORKER: u64 = 5;

/// Pause between polls of an unresponsive worker.
const UNRESPONSIVE_POLL_MS: DurationMs = DurationMs(250);

/// Pause between polls of an unresponsive worker without runs: no lease needs renewal, and polls are charged.
const UNRESPONSIVE_IDLE_POLL_MS: DurationMs = DurationMs(1_000);

impl Coordinator {
    /// Sends the polls that are due.
    pub(crate) fn send_polls(&mut self, now: TimeMs) {
        self.next_poll_at = None;
        if now >= self.lease_valid_until + RENEWAL_AFTER_LEASE_LOSS_MS {
            return;
        }
        let mut next_poll_at: Option<TimeMs> = None;
        let urgent_wait_ms = DurationMs(self.workers.len() as u64 * URGENT_POLL_MS_PER_WORKER)
            .clamp(MIN_URGENT_POLL_WAIT_MS, POLL_WAIT_MS);
        let queues = self.desired.queues.values();
        let used_pools: BTreeSet<_> = queues.map(|queue| &queue.policy.pool).collect();
        for (name, worker) in &mut self.workers {
            let PollState::Idle { next_at } = worker.poll else {
                continue;
            };
            let needs_first_poll =
                worker.needs_first_poll() && used_pools.contains(&worker.entry.pool);
            let needs_poll = worker.needs_poll() || needs_first_poll;
            if worker.entry.address.is_empty() || !needs_poll {
                continue;
            }
            let due_at = worker.poll_due_at(next_at);
            if due_at > now {
                next_poll_at = Some(next_poll_at.map_or(due_at, |at| at.min(due_at)));
                continue;
            }
            let needs_reconciliation = worker.is_unresponsive()
                || worker
                    .allocations
                    .values()
                    .any(|allocation| allocation.phase == AllocationPhase::Recovered);
            let has_runs = !worker.allocations.is_empty();
            let wait_ms = if needs_reconciliation || !has_runs && worker.untracked.is_empty() {
                DurationMs(0)
            } else if !worker.untracked.is_empty() {
                UNTRACKED_POLL_WAIT_MS
            } else if worker.has_colocated_fillers() {
                SHARED_POLL_WAIT_MS
            } else if worker
                .allocations
                .values()
                .any(|allocation| allocation.priority == 0)
            {
                urgent_wait_ms
            } else {
                POLL_WAIT_MS
            };
            let wait_ms = wait_ms.min(worker.max_wait_for_stops_ms(now, self.limits.stop_ms));
            // A lease sent to an unresponsive worker may arrive although no reply does. Repeated leases would
            // postpone indefinitely the time at which its runs can be abandoned.
            let lease_until_ms = if worker.is_unresponsive() || !has_runs {
                None
            } else {
                worker.lease_until(now, &self.limits)
            };
            if lease_until_ms.is_some() {
                worker.record_lease_sent(now, &self.limits);
            }
            worker.poll = PollState::InFlight;
            worker.acked_end = worker.acked_end.max(worker.stored_end);
            self.actions.push(Action::Poll {
                worker: name.clone(),
                address: Arc::clone(&worker.entry.address),
                lease_until_ms,
                acked_end: worker.stored_end,
                wait_ms,
            });
        }
        self.next_poll_at = next_poll_at;
    }

    pub(crate) fn on_poll_failed(
        &mut self,
        now: TimeMs,
        worker_name: &WorkerName,
        failure: PollFailure,
    ) {
        let kind = match failure {
            PollFailure::Fenced => {
                self.actions.push(Action::Resign);
                return;
            }
            PollFailure::WrongLife => {
                if let Some(worker) = self.workers.get_mut(worker_name) {
                    worker.poll = PollState::Idle { next_at: now };
                }
                self.on_incarnation_ended(now, worker_name);
                return;
            }
            PollFailure::Restarted => {
                if let Some(worker) = self.workers.get_mut(worker_name) {
                    worker.poll = PollState::Idle { next_at: now };
                }
                self.on_worker_restarted(now, worker_name);
                return;
            }
            PollFailure::Closed => ContactLossKind::Closed,
            PollFailure::NoAnswer => ContactLossKind::Unanswered,
        };
        let is_noticed_late = self.is_after_pause(now);
        if let Some(worker) = self.workers.get_mut(worker_name) {
            worker.mark_unresponsive(now, kind, is_noticed_late);
            let pause_ms = if worker.allocations.is_empty() {
                UNRESPONSIVE_IDLE_POLL_MS
            } else {
                UNRESPONSIVE_POLL_MS
            };
            worker.poll = PollState::Idle {
                next_at: now + pause_ms,
            };
        }
    }

    /// Compares the runs that a worker reported with its allocations.
    ///
    /// A run that the report doesn't list as running is over once its worker has confirmed a stop of it and stopping
    /// has had its time: a worker need not list a run while it is stopping, and a list may be older than the
    /// run. How it ended is unknown while the worker has further ends to list; a run that may have completed must not
    /// be started again.
    pub(crate) fn reconcile_running(
        &mut self,
        now: TimeMs,
        worker_name: &WorkerName,
        sent_at: TimeMs,
        report: &WorkerReport,
    ) {
        let running = &report.running;
        let present: BTreeSet<(&TaskId, u32)> =
            running.iter().map(|row| (&row.task, row.run)).collect();
        let mut missing = Vec::new();
        let stop_ms = self.limits.stop_ms;
        let jobs = &self.jobs;
        let may_have_unlisted_end = |task: &TaskId| {
            let job = jobs.get(&task.job_id);
            report.has_more_ends && job.is_some_and(|job| job.awaits_run_end(task))
        };
        let Some(worker) = self.workers.get_mut(worker_name) else {
            return;
        };
        for (task, allocation) in &mut worker.allocations {
            if present.contains(&(task, allocation.run)) || may_have_unlisted_end(task) {
                continue;
            }
            let is_unexpected = match allocation.phase {
                AllocationPhase::AwaitingRecord | AllocationPhase::StartSent { .. } => false,
                AllocationPhase::Recovered => true,
                AllocationPhase::Running { since } => since < sent_at,
                AllocationPhase::Stopping { progress, .. } => {
                    if progress.is_over_at(sent_at, stop_ms) {
                        missing.push((task.clone(), allocation.run));
                    }
                    false
                }
            };
            if is_unexpected {
                allocation.phase = AllocationPhase::stop_pending(RunEndReason::NotThere);
                self.has_due_orders = true;
            }
        }
        let mut untracked = Vec::new();
        for row in running {
            match worker.allocations.get_mut(&row.task) {
                Some(allocation) if allocation.run == row.run => {
                    if let AllocationPhase::Stopping { progress, .. } = &mut allocation.phase {
                        progress.record_running(sent_at, stop_ms);
                    }
                    if confirm(now, allocation, row)
                        && let Some(job) = self.jobs.get_mut(&row.task.job_id)
                    {
                        job.accounting.on_confirmed(now);
                    }
                }
                _ => untracked.push(row),
            }
        }
        // An untracked run belongs to nothing that was placed; it takes resources until it has stopped.
        let jobs = &self.jobs;
        let demand_of = |task: &TaskId| {
            let spec = jobs.get(&task.job_id).and_then(|job| job.spec(task.step));
            spec.map(StepSpec::demand).unwrap_or_default()
        };
        let new = worker
            .untracked
            .update(&untracked, sent_at, stop_ms, demand_of);
        for row in new {
            self.has_due_orders = true;
            self.actions.push(Action::LogUntrackedRun(UntrackedRun {
                worker: worker_name.clone(),
                task: row.task.clone(),
                run: row.run,
                job_phase: jobs.get(&row.task.job_id).map(|job| job.phase),
            }));
        }
        for (task, run) in missing {
            let outcome = RunOutcome::NoVerdict;
            let evidence = RunEndEvidence::NotReported;
            self.end_run(now, worker_name, &task, run, outcome, evidence);
        }
    }
}

/// Updates an allocation whose run was reported; returns whether the run was unconfirmed before.
fn confirm(now: TimeMs, allocation: &mut Allocation, row: &RunningTask) -> bool {
    allocation.load = row.load;
    if !row.checkpoint.is_empty() {
        allocation.checkpoint = Arc::clone(&row.checkpoint);
    }
    let was_unconfirmed = matches!(
        allocation.phase,
        AllocationPhase::Recovered | AllocationPhase::StartSent { .. }
    );
    if was_unconfirmed {
        allocation.phase = AllocationPhase::Running { since: now };
        allocation.started_at.get_or_insert(now);
    }
    was_unconfirmed
}
