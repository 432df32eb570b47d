//! Start orders, and the retry of orders until their result is known.

use std::sync::Arc;

use ragwortwick_core::{DurationMs, JobId, TimeMs, WorkerName};

use crate::accounting::RunEndReason;
use crate::allocation::{Allocation, AllocationPhase};
use crate::coordinator::Coordinator;
use crate::job::TaskId;
use crate::messages::{Action, OrderReply, RefusalCause, RunEndEvidence};
use crate::outcome::RunOutcome;
use crate::progress::JobPhase;
use crate::progress_tracker::ProgressTracker;
use crate::worker::Worker;

/// Pause before a start order without a reply is sent again, from sending it. It doubles with each repeat.
const RESEND_MS: DurationMs = DurationMs(150);

/// Largest number of times that the pause doubles.
const MAX_RESEND_DOUBLINGS: u32 = 2;

impl Coordinator {
    /// Sends the start order of a run whose record is stored, unless the run can no longer start there.
    pub(crate) fn send_recorded_start(
        &mut self,
        now: TimeMs,
        worker_name: &WorkerName,
        task: &TaskId,
        run: u32,
    ) {
        let can_start_work = self.can_start_work(now);
        let has_ticket = self.ticket_for(now, worker_name, task).is_ok();
        let Some(worker) = self.workers.get_mut(worker_name) else {
            return;
        };
        let can_run = worker.accepts_starts(&self.evacuations) && has_ticket;
        let Some(allocation) = worker.allocations.get_mut(task) else {
            return;
        };
        if allocation.run != run || allocation.phase != AllocationPhase::AwaitingRecord {
            return;
        }
        if !can_run || !can_start_work {
            self.end_unsent_run(now, worker_name, task, run);
            return;
        }
        allocation.phase = AllocationPhase::StartSent {
            sent_at: now,
            in_flight: false,
        };
        self.send_start(now, worker_name, task);
    }

    fn send_start(&mut self, now: TimeMs, worker_name: &WorkerName, task: &TaskId) {
        let Some(job) = self.jobs.get(&task.job_id) else {
            return;
        };
        let payload = Arc::clone(&job.record.payload);
        let checkpoint = job
            .task(task)
            .map(|state| Arc::clone(&state.checkpoint))
            .unwrap_or_default();
        let Ok(ticket) = self.ticket_for(now, worker_name, task) else {
            return;
        };
        let Some(worker) = self.workers.get_mut(worker_name) else {
            return;
        };
        let Some(lease_until_ms) = worker.lease_until(now, &self.limits) else {
            return;
        };
        worker.record_lease_sent(now, &self.limits);
        let address = Arc::clone(&worker.entry.address);
        let Some(allocation) = worker.allocations.get_mut(task) else {
            return;
        };
        allocation.start_attempts += 1;
        allocation.ordered_at.get_or_insert(now);
        allocation.phase = AllocationPhase::StartSent {
            sent_at: now,
            in_flight: true,
        };
        self.actions.push(Action::Start {
            worker: worker_name.clone(),
            address,
            task: task.clone(),
            run: allocation.run,
            payload,
            checkpoint,
            lease_until_ms,
            ticket,
        });
    }

    /// Sends the stop orders that are due and repeats the orders without a reply.
    ///
    /// A start order carries a lease, and each lease postpones the time at which the runs on an unresponsive
    /// worker can be abandoned. The polls show when it is back.
    pub(crate) fn send_orders(&mut self, now: TimeMs) {
        let can_start_work = self.can_start_work(now);
        let mut starts = Vec::new();
        let mut stops = Vec::new();
        for (name, worker) in &self.workers {
            for (task, allocation) in &worker.allocations {
                match allocation.phase {
                    AllocationPhase::StartSent {
                        sent_at,
                        in_flight: false,
                    } if now.since(sent_at) >= resend_pause_ms(allocation.start_attempts)
                        && can_start_work
                        && !worker.is_unresponsive() =>
                    {
                        starts.push((name.clone(), task.clone()));
                    }
                    AllocationPhase::Stopping { progress, .. }
                        if progress.is_order_due(now) && !worker.entry.address.is_empty() =>
                    {
                        stops.push((name.clone(), task.clone()));
                    }
                    _ => {}
                }
            }
        }
        for (worker, task) in starts {
            self.resend_start(now, &worker, &task);
        }
        for (worker, task) in stops {
            self.send_stop(now, &worker, &task);
        }
        self.stop_untracked_runs(now);
    }

    /// Repeats a start order, which is idempotent; the reply shows whether the first one arrived.
    ///
    /// The order must not be repeated to a worker that is leaving, whose zone is evacuated or whose capacity has
    /// shrunk: if the first one never arrived, the second would start work there. A stop order resolves the
    /// uncertainty as well, also where the ticket has expired and the repeated start would be refused.
    fn resend_start(&mut self, now: TimeMs, worker: &WorkerName, task: &TaskId) {
        let worker_state = self.workers.get(worker);
        let allocation = worker_state.and_then(|worker| worker.allocations.get(task));
        // The gang may have been stopped since the order fell due.
        if !allocation.is_some_and(Allocation::awaits_start_reply) {
            return;
        }
        let must_not_start =
            worker_state.is_some_and(|worker| !worker.accepts_starts(&self.evacuations));
        if must_not_start || self.ticket_for(now, worker, task).is_err() {
            self.stop_with_gang(now, task, RunEndReason::StartInDoubt);
        } else {
            self.send_start(now, worker, task);
        }
    }

    /// Updates a worker from the reply to an order; returns none if its incarnation has ended.
    pub(crate) fn record_reply(
        &mut self,
        now: TimeMs,
        worker_name: &WorkerName,
        reply: OrderReply,
    ) -> Option<&mut Worker> {
        if reply == OrderReply::WrongLife {
            self.on_incarnation_ended(now, worker_name);
            return None;
        }
        let worker = self.workers.get_mut(worker_name)?;
        match reply {
            OrderReply::Unknown => worker.contact.record_silence(now),
            OrderReply::Accepted { clock_ms } => {
                worker.contact.record_reply(now);
                worker.record_clock(now, clock_ms);
            }
            OrderReply::Refused(_) | OrderReply::WrongLife => worker.contact.record_reply(now),
        }
        Some(worker)
    }

    pub(crate) fn on_start_replied(
        &mut self,
        now: TimeMs,
        worker_name: &WorkerName,
        task: &TaskId,
        run: u32,
        reply: OrderReply,
    ) {
        let Some(worker) = self.record_reply(now, worker_name, reply) else {
            return;
        };
        if matches!(reply, OrderReply::Accepted { .. }) {
            worker.contact_loss = None;
        }
        let Some(allocation) = worker.allocations.get_mut(task) else {
            return;
        };
        if allocation.run != run {
            return;
        }
        allocation.start_replies += u32::from(reply != OrderReply::Unknown);
        let AllocationPhase::StartSent { sent_at, .. } = allocation.phase else {
            return;
        };
        match reply {
            OrderReply::Accepted { clock_ms } => {
                if !allocation.is_resumed {
                    allocation.tracker = Some(ProgressTracker::new(clock_ms, 0));
                }
                allocation.phase = AllocationPhase::Running { since: now };
                allocation.started_at = Some(now);
                worker.poll_by(now);
                if let Some(job) = self.jobs.get_mut(&task.job_id) {
                    job.accounting.on_confirmed(now);
                    job.backoff.reset();
                }
                self.pace_fillers(now, worker_name);
            }
            OrderReply::Unknown => {
                allocation.phase = AllocationPhase::StartSent {
                    sent_at,
                    in_flight: false,
                };
            }
            OrderReply::Refused(RefusalCause::Fenced) => self.actions.push(Action::Resign),
            // The run existed and ended or was stopped; the next poll returns its end.
            OrderReply::Refused(RefusalCause::StaleRun) => {
                allocation.phase = AllocationPhase::Running { since: now };
            }
            OrderReply::Refused(cause) => {
                let is_first_attempt = allocation.start_attempts <= 1;
                if cause == RefusalCause::NoRoom || cause == RefusalCause::Unhealthy {
                    worker.avoid_until = now + AVOID_AFTER_REFUSAL_MS;
                }
                let is_order_rejected =
                    matches!(cause, RefusalCause::Invalid | RefusalCause::LeaseOver);
                if is_order_rejected && let Some(job) = self.jobs.get_mut(&task.job_id) {
                    job.backoff.on_refused(now);
                }
                if cause == RefusalCause::NoTicket {
                    self.advice.discard_ticket(worker_name, task);
                }
                if is_first_attempt {
                    let outcome = RunOutcome::NoVerdict;
                    let evidence = RunEndEvidence::StartRefused;
                    self.end_run(now, worker_name, task, run, outcome, evidence);
                } else {
                    // An earlier start order may still be executed late; a stop order rules that out.
                    self.stop_with_gang(now, task, RunEndReason::StartInDoubt);
                }
            }
            OrderReply::WrongLife => {}
        }
    }

    /// Allocates resources of a worker to a run; its start order is sent once the run is recorded.
    pub(crate) fn place_run(
        &mut self,
        now: TimeMs,
        worker_name: &WorkerName,
        task: &TaskId,
        run: u32,
        priority: u32,
    ) {
        let Some(job) = self.jobs.get_mut(&task.job_id) else {
            return;
        };
        let Some(spec) = job.spec(task.step) else {
            return;
        };
        let state = job.task(task);
        let allocation = Allocation {
            is_resumed: state.is_some_and(|state| !state.checkpoint.is_empty()),
            crash_history: state.map(|state| state.crash_history).unwrap_or_default(),
            ..Allocation::awaiting_record(now, spec, run, priority)
        };
        if job.phase == JobPhase::Queued {
            self.load.backlogs.record_start(now, &job.record.queue);
        }
        job.mark_placed(task, worker_name, run);
        job.accounting.on_placed(now);
        self.records.start_when_stored(worker_name, task, run);
        if let Some(worker) = self.workers.get_mut(worker_name) {
            worker.allocate(task.clone(), allocation);
        }
    }

    pub(crate) fn runs_on(&self, worker_name: &WorkerName) -> Vec<(TaskId, u32)> {
        self.workers
            .get(worker_name)
            .map(|worker| {
                worker
                    .allocations
                    .iter()
                    .map(|(task, allocation)| (task.clone(), allocation.run))
                    .collect()
            })
            .unwrap_or_default()
    }

    pub(crate) fn max_attempts(&self, job_id: &JobId) -> u32 {
        self.jobs
            .get(job_id)
            .map_or(1, |job| self.queue_policy(job).attempts.max(1))
    }
}

/// Pause before a start order is repeated that was sent this many times.
fn resend_pause_ms(attempts: u32) -> DurationMs {
    let doublings = attempts.saturating_sub(1).min(MAX_RESEND_DOUBLINGS);
    DurationMs(RESEND_MS.0 << doublings)
}

/// How long a worker gets no new work after it refused a start for lack of capacity or health.
///
/// A refusal contradicts the coordinator's view of the worker, which its next entry or poll may correct.
const AVOID_AFTER_REFUSAL_MS: DurationMs = DurationMs(1_000);
