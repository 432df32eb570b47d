//! The advisor of the middle queue: which workers may run a step, and the tickets for them.

use std::collections::BTreeMap;

use ragwortwick_area::{AdviceReply, Event, StepId, TaskId};
use ragwortwick_core::{DurationMs, TimeMs, WorkerName};
use rand::Rng;

use crate::arrivals::TICKET_MS;
use crate::simulation::Simulation;

/// Share of questions that get no answer.
const UNANSWERED: f64 = 0.1;

/// `Advisor` knows its tickets.
#[derive(Debug, Default)]
pub(crate) struct Advisor {
    /// Tickets by life of a worker and step, and until when they hold.
    tickets: BTreeMap<(WorkerName, StepId), (String, TimeMs)>,
    /// Starts that were refused for want of a ticket.
    pub(crate) refused: u64,
}

impl Simulation {
    /// What the coordinator hears of a question once the answer has taken its time.
    pub(crate) fn request_advice(
        &mut self,
        step: StepId,
        asked: Vec<WorkerName>,
        answer_ms: DurationMs,
    ) -> Event {
        let until = self.now + answer_ms + TICKET_MS;
        let is_unanswered = self.rng.random_bool(UNANSWERED);
        let mut allowed = Vec::new();
        for worker in asked.iter().filter(|worker| is_allowed(worker, &step)) {
            let ticket = format!("{worker}/{step}/{until}");
            allowed.push((worker.clone(), ticket.as_str().into()));
            let key = (worker.clone(), step.clone());
            self.advisor.tickets.insert(key, (ticket, until));
        }
        let reply = if is_unanswered {
            AdviceReply::Failed
        } else {
            AdviceReply::Given {
                allowed,
                valid_ms: Some(TICKET_MS),
            }
        };
        Event::AdviceReplied { step, asked, reply }
    }

    /// Whether a start carries the ticket that it needs, if it needs one.
    pub(crate) fn has_valid_ticket(
        &mut self,
        index: usize,
        task: &TaskId,
        ticket: Option<&str>,
    ) -> bool {
        let record = &self.arrivals[self.by_job[&task.job_id]].record;
        if record.policy.advice.is_none() {
            return true;
        }
        let key = (self.workers[index].name.clone(), task.step_id());
        let known = self.advisor.tickets.get(&key);
        let holds =
            known.is_some_and(|(text, until)| ticket == Some(text.as_str()) && self.now < *until);
        self.advisor.refused += u64::from(!holds);
        holds
    }
}

/// Four of five workers may run a step, others for each job; a new life of a worker changes nothing.
fn is_allowed(worker: &WorkerName, step: &StepId) -> bool {
    let machine = worker.as_str().split('-').next().unwrap_or_default();
    let number = machine.trim_start_matches('w').parse().unwrap_or(0);
    let of_job: u32 = step.job_id.as_str().bytes().map(u32::from).sum();
    !(of_job + number).is_multiple_of(5)
}
