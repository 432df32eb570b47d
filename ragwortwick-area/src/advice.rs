//! Requests to an external advisor, for queues whose jobs may run only on the workers that it permits.
//!
//! Whether a worker may run a step never changes, but its ticket is valid only for a limited time and for one
//! incarnation of the worker. Tickets are not stored: a new coordinator requests them again.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use ragwortwick_core::{DurationMs, JobId, TimeMs, WorkerName};

use crate::candidates::Candidate;
use crate::coordinator::Coordinator;
use crate::job::{AdvisorTiming, StepId, StepSpec, TaskId};
use crate::messages::{Action, AdviceReply};
use crate::packing::{Slot, rack_ranges};

/// Maximum number of workers per request; the latency objective allows for one request of this size per step.
const MAX_WORKERS_PER_REQUEST: usize = 30;

/// Pause after a failed request; the advisor rejects requests when too many are queued.
const RETRY_PAUSE_MS: DurationMs = DurationMs(300);

/// Minimum remaining validity of a ticket at placement: the record of the start is stored first, and an order
/// waits up to 300 ms for those before it.
const TICKET_MARGIN_MS: DurationMs = DurationMs(600);

/// The margin is at most the validity divided by this; otherwise short-lived tickets could never be used.
const MARGIN_DIVISOR: u64 = 4;

/// `AdvisorState` holds the advisor's replies about waiting steps, and the request in flight.
#[derive(Debug, Default)]
pub(crate) struct AdvisorState {
    steps: BTreeMap<StepId, StepAdvice>,
    /// When the request in flight was sent. The advisor processes the requests of a host one at a time, so
    /// a second one would only be queued there, and be outdated by the time of its reply.
    request_sent_at: Option<TimeMs>,
    /// No request is sent before this time.
    next_request_at: TimeMs,
    /// The request that is sent at the end of the pass.
    proposed: Option<AdviceRequest>,
}

#[derive(Debug)]
struct AdviceRequest {
    /// When the last request about the step was sent.
    last_request_at: Option<TimeMs>,
    step: StepId,
    workers: Vec<WorkerName>,
    answer_ms: DurationMs,
}

#[derive(Debug, Default)]
struct StepAdvice {
    /// When the last request about it was sent.
    last_request_at: Option<TimeMs>,
    /// Tickets of the workers that may run the step.
    tickets: BTreeMap<WorkerName, Ticket>,
    /// Workers that may not run it.
    refused: BTreeSet<WorkerName>,
}

#[derive(Clone, Debug)]
struct Ticket {
    text: Arc<str>,
    expires_at: TimeMs,
    /// Work is placed with it only until this time.
    usable_until: TimeMs,
}

/// `MissingTicket` is the error for a start that needs a ticket while no valid one is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct MissingTicket;

impl Ticket {
    fn is_usable(&self, now: TimeMs) -> bool {
        now <= self.usable_until
    }
}

impl AdvisorState {
    /// Discards a ticket that a worker refused, whatever its remaining validity.
    pub(crate) fn discard_ticket(&mut self, worker: &WorkerName, task: &TaskId) {
        if let Some(step) = self.steps.get_mut(&task.step_id()) {
            step.tickets.remove(worker);
        }
    }

    /// Removes the state of a job that has ended.
    pub(crate) fn remove_job(&mut self, job_id: &JobId) {
        self.steps.retain(|step, _| step.job_id != *job_id);
    }
}

impl Coordinator {
    /// Returns the timing of the advisor of a candidate's queue; `None` if its jobs may run on any worker.
    pub(crate) fn advisor_timing(&self, candidate: &Candidate) -> Option<&AdvisorTiming> {
        let job = self.jobs.get(&candidate.job_id)?;
        self.queue_policy(job).advice.as_ref()
    }

    /// Returns the workers for which the candidate has a usable ticket; `None` if it needs none.
    pub(crate) fn workers_with_ticket(
        &self,
        now: TimeMs,
        candidate: &Candidate,
    ) -> Option<BTreeSet<WorkerName>> {
        self.workers_with(candidate, |ticket| ticket.is_usable(now))
    }

    /// Returns the workers that the advisor permits for the candidate, also those whose ticket has expired;
    /// `None` if any worker may run it.
    pub(crate) fn permitted_workers(&self, candidate: &Candidate) -> Option<BTreeSet<WorkerName>> {
        self.workers_with(candidate, |_| true)
    }

    fn workers_with(
        &self,
        candidate: &Candidate,
        matches: impl Fn(&Ticket) -> bool,
    ) -> Option<BTreeSet<WorkerName>> {
        self.advisor_timing(candidate)?;
        let step_advice = self.advice.steps.get(&candidate.step_id());
        let tickets = step_advice.into_iter().flat_map(|step| &step.tickets);
        Some(
            tickets
                .filter(|(_, ticket)| matches(ticket))
                .map(|(worker, _)| worker.clone())
                .collect(),
        )
    }

    /// Returns the ticket for a start that is sent now; `None` if the queue has no advisor.
    pub(crate) fn ticket_for(
        &self,
        now: TimeMs,
        worker: &WorkerName,
        task: &TaskId,
    ) -> Result<Option<Arc<str>>, MissingTicket> {
        let job = self.jobs.get(&task.job_id).ok_or(MissingTicket)?;
        if self.queue_policy(job).advice.is_none() {
            return Ok(None);
        }
        let step = self.advice.steps.get(&task.step_id());
        let ticket = step.and_then(|step| step.tickets.get(worker));
        match ticket {
            Some(ticket) if now < ticket.expires_at => Ok(Some(Arc::clone(&ticket.text))),
            _ => Err(MissingTicket),
        }
    }

    /// Proposes an advice request for a step that could not be placed.
    ///
    /// Each pass sends the proposal whose step was asked about least recently. Otherwise a step that fits
    /// nowhere, whatever the advisor replies, would block the requests of all other steps.
    pub(crate) fn propose_advice_request(
        &mut self,
        now: TimeMs,
        candidate: &Candidate,
        slots: &[Slot],
    ) {
        let Some(timing) = self.advisor_timing(candidate) else {
            return;
        };
        if self.advice.request_sent_at.is_some() || now < self.advice.next_request_at {
            return;
        }
        let job = self.jobs.get(&candidate.job_id);
        let Some(spec) = job.and_then(|job| job.spec(candidate.step)) else {
            return;
        };
        let step = candidate.step_id();
        let step_advice = self.advice.steps.get(&step);
        let last_request_at = step_advice.and_then(|step_advice| step_advice.last_request_at);
        let proposed = self.advice.proposed.as_ref();
        if proposed.is_some_and(|other| other.last_request_at <= last_request_at) {
            return;
        }
        let workers = workers_to_query(now, slots, spec, step_advice, candidate.can_preempt());
        if workers.is_empty() {
            return;
        }
        let asked = workers.len() as u64;
        self.advice.proposed = Some(AdviceRequest {
            last_request_at,
            step,
            workers,
            answer_ms: DurationMs(timing.answer_ms.0 + timing.per_worker_ms.0 * asked),
        });
    }

    /// Sends the request that was proposed in the pass.
    pub(crate) fn send_advice_request(&mut self, now: TimeMs) {
        let Some(request) = self.advice.proposed.take() else {
            return;
        };
        self.advice.request_sent_at = Some(now);
        let step_advice = self.advice.steps.entry(request.step.clone());
        step_advice.or_default().last_request_at = Some(now);
        self.actions.push(Action::RequestAdvice {
            step: request.step,
            workers: request.workers,
            answer_ms: request.answer_ms,
        });
    }

    /// Handles a reply of the advisor.
    pub(crate) fn on_advice_replied(
        &mut self,
        now: TimeMs,
        step: StepId,
        asked: Vec<WorkerName>,
        reply: AdviceReply,
    ) {
        let sent_at = self.advice.request_sent_at.take().unwrap_or(now);
        let AdviceReply::Given { allowed, valid_ms } = reply else {
            self.advice.next_request_at = now + RETRY_PAUSE_MS;
            return;
        };
        let job = self.jobs.get(&step.job_id);
        let Some(job) = job.filter(|job| !job.phase.is_final()) else {
            return;
        };
        let timing = self.queue_policy(job).advice.as_ref();
        let valid_ms = valid_ms.or(timing.map(|timing| timing.valid_ms));
        let valid_ms = valid_ms.unwrap_or_default();
        let margin_ms = TICKET_MARGIN_MS.min(DurationMs(valid_ms.0 / MARGIN_DIVISOR));
        // The ticket may have been issued as early as the request was sent.
        let expires_at = sent_at + valid_ms;
        let usable_until = expires_at - margin_ms;
        let step_advice = self.advice.steps.entry(step).or_default();
        for (worker, text) in allowed {
            let ticket = Ticket {
                text,
                expires_at,
                usable_until,
            };
            step_advice.tickets.insert(worker, ticket);
        }
        for worker in asked {
            if !step_advice.tickets.contains_key(&worker) {
                step_advice.refused.insert(worker);
            }
        }
    }
}

/// Returns the workers to ask about: those where a task fits. Workers with an expired ticket come first, then
/// workers on the rack of the step's data, then racks with the most free capacity, so that a gang needs few
/// requests.
///
/// For steps that may preempt others, workers without free capacity come last.
fn workers_to_query(
    now: TimeMs,
    slots: &[Slot],
    spec: &StepSpec,
    step_advice: Option<&StepAdvice>,
    can_preempt: bool,
) -> Vec<WorkerName> {
    let mut ranked = Vec::new();
    for range in rack_ranges(slots) {
        let rack_slots = &slots[range];
        let free_in_rack: u64 = rack_slots.iter().map(|slot| slot.task_capacity(spec)).sum();
        for slot in rack_slots {
            let has_capacity = slot.task_capacity(spec) > 0;
            let is_candidate = slot.has_required_label(spec) && (has_capacity || can_preempt);
            let ticket = step_advice.and_then(|step| step.tickets.get(&slot.worker));
            let is_refused = step_advice.is_some_and(|step| step.refused.contains(&slot.worker));
            if !is_candidate || is_refused || ticket.is_some_and(|ticket| ticket.is_usable(now)) {
                continue;
            }
            let rank = (
                !has_capacity,
                ticket.is_none(),
                slot.is_remote(spec),
                Reverse(free_in_rack),
                Reverse(slot.task_capacity(spec)),
            );
            ranked.push((rank, slot.worker.clone()));
        }
    }
    ranked.sort();
    ranked.truncate(MAX_WORKERS_PER_REQUEST);
    ranked.into_iter().map(|(_, worker)| worker).collect()
}
