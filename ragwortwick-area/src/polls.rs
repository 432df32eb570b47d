//! Looks at workers: each renews the lease of what runs there and lists ends.

use std::collections::BTreeSet;
use std::sync::Arc;

use ragwortwick_core::{DurationMs, TimeMs, WorkerName};

use crate::allocation::{Allocation, AllocationPhase};
use crate::coordinator::{Coordinator, RENEWAL_AFTER_LEASE_LOSS_MS};
use crate::job::{Resources, TaskId};
use crate::losses::ContactLossKind;
use crate::messages::{Action, PollFailure, RunningTask};
use crate::outcome::RunOutcome;
use crate::worker::PollState;

/// How long a worker may wait for an end before it answers a look.
///
/// The platform takes at most 2,000 ms, and looks cost their worker something, so it is as long as can be.
const LOOK_WAIT_MS: DurationMs = DurationMs(2_000);

/// The same where fillers may disturb users: what the worker tells covers the last half second.
const SHARED_LOOK_WAIT_MS: DurationMs = DurationMs(500);

/// Least wait where urgent work runs: that it stands still has to show while starting it elsewhere helps.
const URGENT_LOOK_WAIT_MS: DurationMs = DurationMs(500);

/// What each worker of the area adds to that: the answers of many workers would else hold up decisions
/// on a small host.
const URGENT_LOOK_MS_PER_WORKER: u64 = 5;

/// Pause between looks at a worker that does not answer.
const SILENT_LOOK_MS: DurationMs = DurationMs(250);

/// The same where nothing runs: no lease is at stake, and each look is charged.
const SILENT_IDLE_LOOK_MS: DurationMs = DurationMs(1_000);

impl Coordinator {
    /// Sends the looks that are due.
    pub(crate) fn send_polls(&mut self, now: TimeMs) {
        self.next_poll_at = None;
        if now >= self.lease_valid_until + RENEWAL_AFTER_LEASE_LOSS_MS {
            return;
        }
        let mut next_poll_at: Option<TimeMs> = None;
        let urgent_wait_ms = DurationMs(self.workers.len() as u64 * URGENT_LOOK_MS_PER_WORKER)
            .clamp(URGENT_LOOK_WAIT_MS, LOOK_WAIT_MS);
        for (name, worker) in &mut self.workers {
            let PollState::Idle { next_at } = worker.poll else {
                continue;
            };
            if worker.entry.address.is_empty() || !worker.needs_poll() {
                continue;
            }
            let due_at = worker.poll_due_at(next_at);
            if due_at > now {
                next_poll_at = Some(next_poll_at.map_or(due_at, |at| at.min(due_at)));
                continue;
            }
            let is_unsure = worker.is_unresponsive()
                || worker.allocations.values().any(|held| {
                    matches!(
                        held.phase,
                        AllocationPhase::Recovered
                            | AllocationPhase::Stopping {
                                confirmed_at: Some(_),
                                ..
                            }
                    )
                });
            let has_runs = !worker.allocations.is_empty();
            let wait_ms = if is_unsure || !has_runs {
                DurationMs(0)
            } else if worker.has_colocated_fillers() {
                SHARED_LOOK_WAIT_MS
            } else if worker.allocations.values().any(|held| held.priority == 0) {
                urgent_wait_ms
            } else {
                LOOK_WAIT_MS
            };
            // A lease sent to a silent worker may arrive although no answer does. It would put off,
            // again and again, the moment from which its runs can be given up.
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
                self.on_incarnation_ended(now, worker_name);
                return;
            }
            PollFailure::Closed => ContactLossKind::Closed,
            PollFailure::NoAnswer => ContactLossKind::Unanswered,
        };
        if let Some(worker) = self.workers.get_mut(worker_name) {
            worker.mark_unresponsive(now, kind);
            let pause_ms = if worker.allocations.is_empty() {
                SILENT_IDLE_LOOK_MS
            } else {
                SILENT_LOOK_MS
            };
            worker.poll = PollState::Idle {
                next_at: now + pause_ms,
            };
        }
    }

    /// Compares what runs on a worker with what is held there.
    pub(crate) fn reconcile_running(
        &mut self,
        now: TimeMs,
        worker_name: &WorkerName,
        sent_at: TimeMs,
        running: &[RunningTask],
    ) {
        let present: BTreeSet<(&TaskId, u32)> =
            running.iter().map(|row| (&row.task, row.run)).collect();
        let mut vanished = Vec::new();
        let Some(worker) = self.workers.get_mut(worker_name) else {
            return;
        };
        for (task, held) in &mut worker.allocations {
            if present.contains(&(task, held.run)) {
                continue;
            }
            let is_gone = match held.phase {
                AllocationPhase::AwaitingRecord | AllocationPhase::StartSent { .. } => false,
                // The look carried our token: no order of an earlier coordinator begins any more.
                AllocationPhase::Recovered => true,
                AllocationPhase::Running { since } => since < sent_at,
                AllocationPhase::Stopping { confirmed_at, .. } => {
                    confirmed_at.is_some_and(|at| at < sent_at)
                }
            };
            if is_gone {
                vanished.push((task.clone(), held.run));
            }
        }
        let mut orphans = Vec::new();
        for row in running {
            match worker.allocations.get_mut(&row.task) {
                Some(held) if held.run == row.run => {
                    if confirm(now, held, row)
                        && let Some(job) = self.jobs.get_mut(&row.task.job_id)
                    {
                        job.accounting.on_confirmed(now);
                    }
                }
                _ => orphans.push(row),
            }
        }
        let address = Arc::clone(&worker.entry.address);
        worker.untracked = Resources::default();
        for row in orphans {
            // Nobody waits for its end; it only takes room, until it is gone.
            let job = self.jobs.get(&row.task.job_id);
            if let Some(spec) = job.and_then(|job| job.spec(row.task.step)) {
                worker.untracked = worker.untracked.plus(spec.demand());
            }
            self.actions.push(Action::Stop {
                worker: worker_name.clone(),
                address: Arc::clone(&address),
                task: row.task.clone(),
                run: row.run,
            });
        }
        for (task, run) in vanished {
            self.end_run(now, worker_name, &task, run, RunOutcome::NoVerdict);
        }
    }
}

/// A run is seen on its worker; tells whether it was in doubt until now.
fn confirm(now: TimeMs, held: &mut Allocation, row: &RunningTask) -> bool {
    held.load = row.load;
    if !row.checkpoint.is_empty() {
        held.checkpoint = Arc::clone(&row.checkpoint);
    }
    let was_in_doubt = matches!(
        held.phase,
        AllocationPhase::Recovered | AllocationPhase::StartSent { .. }
    );
    if was_in_doubt {
        held.phase = AllocationPhase::Running { since: now };
        held.started_at.get_or_insert(now);
    }
    was_in_doubt
}
