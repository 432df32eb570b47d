//! Advice on which workers may run a step, for queues whose policy only an outside advisor knows.
//!
//! Whether a worker may run a step never changes, but its ticket holds only for a while and for one
//! life of the worker. Tickets are not recorded: a new coordinator asks again.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use ragwortwick_core::{DurationMs, JobId, TimeMs, WorkerName};

use crate::candidates::Candidate;
use crate::coordinator::Coordinator;
use crate::job::{AdvisorTiming, StepId, StepSpec, TaskId};
use crate::messages::{Action, AdviceReply};
use crate::packing::{Slot, rack_ranges};

/// Most workers in one question; the users' objective allows for one question about so many a step.
const MOST_ASKED: usize = 30;

/// Pause after a question without an answer; the advisor refuses when too many questions wait.
const FAILED_PAUSE_MS: DurationMs = DurationMs(300);

/// What is left of a ticket when work is placed by it: the record of the start is stored first, and
/// an order waits up to 300 ms for those before it.
const TICKET_MARGIN_MS: DurationMs = DurationMs(600);

/// The margin is no larger a part of a ticket's time than this, or a short one could never be used.
const MARGIN_PART: u64 = 4;

/// `AdvisorState` is what the advisor told of the steps that wait.
#[derive(Debug, Default)]
pub(crate) struct AdvisorState {
    steps: BTreeMap<StepId, StepAdvice>,
    /// When the question was sent whose answer is awaited. The advisor takes one after the other from
    /// a host, so a second one would only wait there, and be outdated when it is answered.
    asked_at: Option<TimeMs>,
    /// No question before then.
    next_ask_at: TimeMs,
    /// The question that a pass asks at its end.
    wanted: Option<Question>,
}

#[derive(Debug)]
struct Question {
    /// When the step was last asked about.
    last_at: Option<TimeMs>,
    step: StepId,
    workers: Vec<WorkerName>,
    answer_ms: DurationMs,
}

#[derive(Debug, Default)]
struct StepAdvice {
    /// When it was last asked about.
    last_at: Option<TimeMs>,
    /// Workers that may run the step.
    tickets: BTreeMap<WorkerName, Ticket>,
    /// Workers that may not.
    refused: BTreeSet<WorkerName>,
}

#[derive(Clone, Debug)]
struct Ticket {
    text: Arc<str>,
    until: TimeMs,
    /// Work is placed by it only before then.
    usable_until: TimeMs,
}

/// `MissingTicket` says that a start can't be sent: it needs a ticket, and there is none that holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct MissingTicket;

impl Ticket {
    fn holds(&self, now: TimeMs) -> bool {
        now <= self.usable_until
    }
}

impl AdvisorState {
    /// A worker did not take a ticket: it is worth nothing, however long it was to hold.
    pub(crate) fn discard_ticket(&mut self, worker: &WorkerName, task: &TaskId) {
        if let Some(step) = self.steps.get_mut(&task.step_id()) {
            step.tickets.remove(worker);
        }
    }

    /// Drops what was told of a job that is over.
    pub(crate) fn remove_job(&mut self, job_id: &JobId) {
        self.steps.retain(|step, _| step.job_id != *job_id);
    }
}

impl Coordinator {
    /// How the advisor of a candidate's queue answers; none if its jobs run on any worker.
    pub(crate) fn advice_terms(&self, candidate: &Candidate) -> Option<&AdvisorTiming> {
        let job = self.jobs.get(&candidate.job_id)?;
        self.queue_policy(job).advice.as_ref()
    }

    /// The workers that a candidate may go to now; none if any is good.
    pub(crate) fn workers_with_ticket(
        &self,
        now: TimeMs,
        candidate: &Candidate,
    ) -> Option<BTreeSet<WorkerName>> {
        self.allowed(candidate, |ticket| ticket.holds(now))
    }

    /// The workers that may run a candidate, with a ticket that holds or a new one.
    pub(crate) fn permitted_workers(&self, candidate: &Candidate) -> Option<BTreeSet<WorkerName>> {
        self.allowed(candidate, |_| true)
    }

    fn allowed(
        &self,
        candidate: &Candidate,
        counts: impl Fn(&Ticket) -> bool,
    ) -> Option<BTreeSet<WorkerName>> {
        self.advice_terms(candidate)?;
        let known = self.advice.steps.get(&candidate.step_id());
        let tickets = known.into_iter().flat_map(|step| &step.tickets);
        Some(
            tickets
                .filter(|(_, ticket)| counts(ticket))
                .map(|(worker, _)| worker.clone())
                .collect(),
        )
    }

    /// The ticket for a start that is sent now; none if the queue needs none.
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
            Some(ticket) if now < ticket.until => Ok(Some(Arc::clone(&ticket.text))),
            _ => Err(MissingTicket),
        }
    }

    /// Notes that a step found no place and could do with advice.
    ///
    /// Of all that do in a pass, the one is asked about that has waited longest for it: a step that
    /// finds no place with any advice would else keep the advisor from all others.
    pub(crate) fn propose_advice_request(
        &mut self,
        now: TimeMs,
        candidate: &Candidate,
        slots: &[Slot],
    ) {
        let Some(terms) = self.advice_terms(candidate) else {
            return;
        };
        if self.advice.asked_at.is_some() || now < self.advice.next_ask_at {
            return;
        }
        let job = self.jobs.get(&candidate.job_id);
        let Some(spec) = job.and_then(|job| job.spec(candidate.step)) else {
            return;
        };
        let step = candidate.step_id();
        let known = self.advice.steps.get(&step);
        let last_at = known.and_then(|known| known.last_at);
        let wanted = self.advice.wanted.as_ref();
        if wanted.is_some_and(|other| other.last_at <= last_at) {
            return;
        }
        let workers = worth_asking(now, slots, spec, known, candidate.can_preempt());
        if workers.is_empty() {
            return;
        }
        let asked = workers.len() as u64;
        self.advice.wanted = Some(Question {
            last_at,
            step,
            workers,
            answer_ms: DurationMs(terms.answer_ms.0 + terms.per_worker_ms.0 * asked),
        });
    }

    /// Asks what the pass found to be most wanted.
    pub(crate) fn send_advice_request(&mut self, now: TimeMs) {
        let Some(question) = self.advice.wanted.take() else {
            return;
        };
        self.advice.asked_at = Some(now);
        let known = self.advice.steps.entry(question.step.clone());
        known.or_default().last_at = Some(now);
        self.actions.push(Action::RequestAdvice {
            step: question.step,
            workers: question.workers,
            answer_ms: question.answer_ms,
        });
    }

    /// Takes in an answer of the advisor.
    pub(crate) fn on_advice_replied(
        &mut self,
        now: TimeMs,
        step: StepId,
        asked: Vec<WorkerName>,
        reply: AdviceReply,
    ) {
        let asked_at = self.advice.asked_at.take().unwrap_or(now);
        let AdviceReply::Given { allowed, valid_ms } = reply else {
            self.advice.next_ask_at = now + FAILED_PAUSE_MS;
            return;
        };
        let job = self.jobs.get(&step.job_id);
        let Some(job) = job.filter(|job| !job.phase.is_final()) else {
            return;
        };
        let terms = self.queue_policy(job).advice.as_ref();
        let valid_ms = valid_ms.or(terms.map(|terms| terms.valid_ms));
        let valid_ms = valid_ms.unwrap_or_default();
        let margin_ms = TICKET_MARGIN_MS.min(DurationMs(valid_ms.0 / MARGIN_PART));
        // The ticket may be as old as the question.
        let until = asked_at + valid_ms;
        let usable_until = until - margin_ms;
        let known = self.advice.steps.entry(step).or_default();
        for (worker, text) in allowed {
            let ticket = Ticket {
                text,
                until,
                usable_until,
            };
            known.tickets.insert(worker, ticket);
        }
        for worker in asked {
            if !known.tickets.contains_key(&worker) {
                known.refused.insert(worker);
            }
        }
    }
}

/// Workers to ask about: those with room, the known ones with an outdated ticket first, then racks
/// with the most room, so that a gang finds its places in few questions.
///
/// For work that may displace others, workers without room come last.
fn worth_asking(
    now: TimeMs,
    slots: &[Slot],
    spec: &StepSpec,
    known: Option<&StepAdvice>,
    can_preempt: bool,
) -> Vec<WorkerName> {
    let mut ranked = Vec::new();
    for within in rack_ranges(slots) {
        let neighbours = &slots[within];
        let in_rack: u64 = neighbours.iter().map(|slot| slot.fits(spec)).sum();
        for slot in neighbours {
            let has_room = slot.fits(spec) > 0;
            let is_candidate = slot.has_required_label(spec) && (has_room || can_preempt);
            let ticket = known.and_then(|step| step.tickets.get(&slot.worker));
            let is_refused = known.is_some_and(|step| step.refused.contains(&slot.worker));
            if !is_candidate || is_refused || ticket.is_some_and(|ticket| ticket.holds(now)) {
                continue;
            }
            let rank = (
                !has_room,
                ticket.is_none(),
                slot.is_remote(spec),
                Reverse(in_rack),
                Reverse(slot.fits(spec)),
            );
            ranked.push((rank, slot.worker.clone()));
        }
    }
    ranked.sort();
    ranked.truncate(MOST_ASKED);
    ranked.into_iter().map(|(_, worker)| worker).collect()
}
