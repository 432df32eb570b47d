//! The simulated advisor of the middle queue: which workers may run a step, and their tickets.

use std::collections::BTreeMap;

use ragwortwick_area::{AdviceReply, Event, StepId, TaskId};
use ragwortwick_core::{DurationMs, TimeMs, WorkerName};
use rand::Rng;

use crate::arrivals::TICKET_MS;
use crate::simulation::Simulation;

/// Share of advice requests that get no reply.
const UNANSWERED_SHARE: f64 = 0.1;

/// `Advisor` keeps the tickets it has issued.
#[derive(Debug, Default)]
pub(crate) struct Advisor {
    /// Tickets and their expiry, by incarnation of a worker and step.
    tickets: BTreeMap<(WorkerName, StepId), (String, TimeMs)>,
    /// Starts refused for lack of a valid ticket.
    pub(crate) refused: u64,
}

impl Simulation {
    /// Returns the event that the coordinator receives once the response time has passed.
    pub(crate) fn request_advice(
        &mut self,
        step: StepId,
        asked: Vec<WorkerName>,
        answer_ms: DurationMs,
    ) -> Event {
        let until = self.now + answer_ms + TICKET_MS;
        let is_unanswered = self.rng.random_bool(UNANSWERED_SHARE);
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

    /// Whether a start carries a valid ticket, or needs none.
    pub(crate) fn has_valid_ticket(
        &mut self,
        index: usize,
        task: &TaskId,
        ticket: Option<&str>,
    ) -> bool {
        let record = &self.arrivals[self.arrival_by_job[&task.job_id]].record;
        if record.policy.advice.is_none() {
            return true;
        }
        let key = (self.workers[index].name.clone(), task.step_id());
        let issued = self.advisor.tickets.get(&key);
        let is_valid =
            issued.is_some_and(|(text, until)| ticket == Some(text.as_str()) && self.now < *until);
        self.advisor.refused += u64::from(!is_valid);
        is_valid
    }
}

/// Allows four of five workers, chosen by the job; the incarnation of a worker makes no difference.
fn is_allowed(worker: &WorkerName, step: &StepId) -> bool {
    let machine = worker.as_str().split('-').next().unwrap_or_default();
    let number = machine.trim_start_matches('w').parse().unwrap_or(0);
    let job_hash: u32 = step.job_id.as_str().bytes().map(u32::from).sum();
    !(job_hash + number).is_multiple_of(5)
}
