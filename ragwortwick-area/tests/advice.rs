//! Queues with an external advisor: which jobs start, on which workers, and with which ticket.

mod rig;

use std::sync::Arc;

use ragwortwick_area::{
    Action, AdviceReply, AdvisorTiming, DesiredState, EndKind, Event, OrderReply, RefusalCause,
    StepId,
};
use ragwortwick_core::{ClassName, DurationMs, WorkerName};
use rig::{Rig, desired, gang, step, worker};

const VALID_MS: u64 = 3_000;

/// The rig's desired state, with an advisor for the patient queue.
fn desired_with_advisor() -> Arc<DesiredState> {
    let mut state = DesiredState::clone(&desired());
    let queue = state.queues.get_mut(&ClassName::new("patient"));
    queue.expect("a patient queue").policy.advice = Some(AdvisorTiming {
        answer_ms: DurationMs(50),
        per_worker_ms: DurationMs(5),
        valid_ms: DurationMs(VALID_MS),
    });
    Arc::new(state)
}

fn rig() -> Rig {
    let mut rig = Rig::new(&[worker("w1", "r1"), worker("w2", "r1"), worker("w3", "r2")]);
    rig.send(Event::DesiredState(desired_with_advisor()));
    rig
}

fn advice_requests(rig: &mut Rig) -> Vec<(StepId, Vec<WorkerName>)> {
    rig.take(|action| match action {
        Action::RequestAdvice { step, workers, .. } => Some((step.clone(), workers.clone())),
        _ => None,
    })
}

fn reply_to_request(rig: &mut Rig, request: &(StepId, Vec<WorkerName>), allowed: &[&str]) {
    let allowed = allowed
        .iter()
        .map(|name| (WorkerName::new(*name), format!("ticket-{name}").into()));
    rig.send(Event::AdviceReplied {
        step: request.0.clone(),
        asked: request.1.clone(),
        reply: AdviceReply::Given {
            allowed: allowed.collect(),
            valid_ms: None,
        },
    });
}

/// Takes the workers and tickets of the starts that were sent.
fn tickets(rig: &mut Rig) -> Vec<(String, Option<String>)> {
    rig.take(|action| match action {
        Action::Start { worker, ticket, .. } => {
            let ticket = ticket.as_ref().map(ToString::to_string);
            Some((worker.to_string(), ticket))
        }
        _ => None,
    })
}

/// Guards against starts without a ticket, which workers refuse: a job of a queue with an advisor would never
/// run. The advisor is asked first, and the job starts only on permitted workers, with the worker's ticket.
#[test]
fn verify_job_runs_only_where_the_advisor_allows_it() {
    let mut rig = rig();
    rig.submit("00000000000000a1", "patient", gang(2, 8));
    rig.advance(20);
    let asked = advice_requests(&mut rig);
    assert_eq!(asked.len(), 1, "one request at a time");
    assert_eq!(asked[0].0.to_string(), "00000000000000a1.0.0");
    assert_eq!(asked[0].1.len(), 3, "all workers have free capacity");
    assert!(
        rig.store_batches().is_empty(),
        "nothing is placed without a ticket"
    );
    reply_to_request(&mut rig, &asked[0], &["w1", "w3"]);
    rig.advance(20);
    rig.store_batches();
    let mut sent = tickets(&mut rig);
    sent.sort();
    let ticket = |name: &str| (name.to_owned(), Some(format!("ticket-{name}")));
    assert_eq!(sent, [ticket("w1"), ticket("w3")]);
    assert!(advice_requests(&mut rig).is_empty(), "no other step waits");
}

/// Jobs of queues without an advisor send no advice request, and their starts carry no ticket.
#[test]
fn verify_other_queues_need_no_advice() {
    let mut rig = rig();
    rig.submit("00000000000000a2", "middle", step(1, 1));
    rig.advance(20);
    rig.store_batches();
    assert!(advice_requests(&mut rig).is_empty());
    assert_eq!(tickets(&mut rig).len(), 1);
}

/// Guards against a start with an expired ticket, which the worker would refuse: a job waits for capacity
/// until its ticket has expired. Only the permitted worker is asked about again, not those that may not run
/// the job.
#[test]
fn verify_outdated_ticket_is_renewed_before_the_start() {
    let mut rig = rig();
    rig.submit("00000000000000a3", "middle", step(24, 1));
    rig.advance(20);
    rig.store_batches();
    let running = rig.starts();
    assert_eq!(running.len(), 24, "all capacity is in use");
    for start in &running {
        rig.accept(start);
    }
    rig.submit("00000000000000a4", "patient", step(1, 1));
    rig.advance(20);
    assert!(
        advice_requests(&mut rig).is_empty(),
        "no worker has free capacity"
    );
    let on_w1: Vec<_> = running
        .iter()
        .filter(|start| start.0.as_str() == "w1")
        .collect();
    let others = on_w1[1..].iter().map(|start| rig::running(start)).collect();
    rig.poll_reply("w1", others, vec![rig::ended(1, on_w1[0], EndKind::Done)]);
    rig.advance(20);
    let asked = advice_requests(&mut rig);
    assert_eq!(
        asked[0].1,
        [WorkerName::new("w1")],
        "only w1 has free capacity"
    );
    rig.advance(VALID_MS);
    reply_to_request(&mut rig, &asked[0], &["w1"]);
    rig.advance(20);
    rig.store_batches();
    assert!(
        tickets(&mut rig).is_empty(),
        "the reply is too old to be used"
    );
    let again = advice_requests(&mut rig);
    reply_to_request(&mut rig, &again[0], &["w1"]);
    rig.advance(20);
    rig.store_batches();
    assert_eq!(tickets(&mut rig).len(), 1);
}

/// A failed advice request (429 or no reply) must be retried after a pause, or the job never starts.
#[test]
fn verify_question_without_an_answer_is_asked_again() {
    let mut rig = rig();
    rig.submit("00000000000000a5", "patient", step(1, 1));
    rig.advance(20);
    let asked = advice_requests(&mut rig).remove(0);
    rig.send(Event::AdviceReplied {
        step: asked.0,
        asked: asked.1,
        reply: AdviceReply::Failed,
    });
    rig.advance(200);
    assert!(advice_requests(&mut rig).is_empty(), "not at once");
    rig.advance(200);
    assert_eq!(advice_requests(&mut rig).len(), 1);
}

/// Guards against a second start with a refused ticket: a worker restarted unnoticed and refuses the ticket
/// of its old incarnation. The refusal does not count as an attempt, and the job waits for a new ticket.
#[test]
fn verify_refused_ticket_is_not_used_again() {
    let mut rig = rig();
    rig.submit("00000000000000a6", "patient", step(1, 1));
    rig.advance(20);
    let asked = advice_requests(&mut rig).remove(0);
    reply_to_request(&mut rig, &asked, &["w2"]);
    rig.advance(20);
    rig.store_batches();
    let start = rig.starts().remove(0);
    rig.reply(&start, OrderReply::Refused(RefusalCause::NoTicket));
    rig.advance(20);
    rig.store_batches();
    assert!(rig.starts().is_empty(), "no start with the refused ticket");
    let again = advice_requests(&mut rig).remove(0);
    assert_eq!(again.1, [WorkerName::new("w2")], "the others stay refused");
}

/// Guards against a step that blocks the advisor: a gang that does not fit on its permitted workers needs
/// advice again and again. The request of another job is sent in between.
#[test]
fn verify_hopeless_step_leaves_the_advisor_to_others() {
    let mut rig = rig();
    rig.submit("00000000000000a7", "patient", gang(3, 8));
    rig.advance(20);
    let first = advice_requests(&mut rig).remove(0);
    rig.submit("00000000000000a8", "patient", gang(3, 8));
    reply_to_request(&mut rig, &first, &["w1"]);
    rig.advance(20);
    let second = advice_requests(&mut rig).remove(0);
    assert_eq!(second.0.job_id.as_str(), "00000000000000a8");
}

/// Guards against a job that never starts because its tickets are valid for less time than the ticket margin:
/// it must not wait forever for a ticket with a longer validity.
#[test]
fn verify_short_tickets_are_used() {
    let mut rig = rig();
    rig.submit("00000000000000a9", "patient", step(1, 1));
    rig.advance(20);
    let asked = advice_requests(&mut rig).remove(0);
    rig.send(Event::AdviceReplied {
        step: asked.0,
        asked: asked.1,
        reply: AdviceReply::Given {
            allowed: vec![(WorkerName::new("w1"), "short".into())],
            valid_ms: Some(DurationMs(500)),
        },
    });
    rig.advance(20);
    rig.store_batches();
    assert_eq!(tickets(&mut rig).len(), 1);
}
