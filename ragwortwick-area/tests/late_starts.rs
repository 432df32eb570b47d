//! Start orders that are carried out after the coordinator has given their runs up.

mod rig;

use ragwortwick_area::{Action, Event, OrderReply, PollFailure, TaskId, WorkerEntry};
use ragwortwick_core::WorkerName;
use rig::{Rig, STOPPED_AFTER_MS, gang, step, worker};

const ID: &str = "00000000000000e1";
const OTHER_ID: &str = "00000000000000e2";

type Run = (WorkerName, TaskId, u32);

fn accepted(rig: &Rig) -> OrderReply {
    OrderReply::Accepted {
        clock_ms: 100_000 + rig.now.0,
    }
}

/// Orders a run at `w1` that gets no reply, and lets the worker be silent until the run has started at `w2`.
fn abandon_unanswered_start(rig: &mut Rig, is_listed: bool) -> Run {
    rig.submit(ID, "middle", step(1, 8));
    rig.advance(20);
    rig.store_batches();
    let first = rig.starts().pop().expect("the task is ordered");
    rig.reply(&first, OrderReply::Unknown);
    rig.poll_fails(&first.0);
    rig.list_worker(&worker("w2", "r1"));
    if !is_listed {
        rig.send(Event::WorkerRemoved(first.0.clone()));
    }
    let second = (0..20).find_map(|_| {
        rig.poll_fails(&first.0);
        rig.advance(1_000);
        rig.start_all().pop()
    });
    let second = second.expect("the task starts elsewhere");
    assert_eq!((second.0.as_str(), second.2), ("w2", 2));
    rig.actions.clear();
    first
}

fn verify_stop_precedes_lease(is_listed: bool) {
    let mut rig = Rig::new(&[worker("w1", "r1")]);
    let first = abandon_unanswered_start(&mut rig, is_listed);
    rig.list_worker(&worker("w1", "r1"));
    rig.submit(OTHER_ID, "middle", step(1, 8));
    rig.advance(100);
    rig.store_batches();
    assert_eq!(
        rig.starts(),
        vec![],
        "the lease of another start lets the first one begin"
    );
    assert_eq!(rig.settle_stops(), vec![first]);
    assert_eq!(rig.start_all().len(), 1, "the worker gets work again");
}

/// Guards against a start without a reply that takes effect once its worker, back in reach, has a new lease.
#[test]
fn verify_an_abandoned_start_is_stopped_before_its_worker_gets_another_lease() {
    verify_stop_precedes_lease(true);
}

/// Guards against the same at a worker whose entry was removed while it was out of reach.
#[test]
fn verify_an_abandoned_start_is_stopped_at_a_worker_that_is_listed_again() {
    verify_stop_precedes_lease(false);
}

/// Guards against a start without a reply whose stop is unknown to a worker that left the list and restarted.
#[test]
fn verify_unanswered_starts_are_stopped_again_after_a_restart_that_the_list_shows_as_a_removal() {
    let incarnation = |started_unix_ms| WorkerEntry {
        name: WorkerName::of_incarnation("w1", Some(started_unix_ms)),
        ..worker("w1", "r1")
    };
    let mut rig = Rig::new(&[incarnation(5)]);
    rig.submit(ID, "middle", step(1, 4));
    rig.advance(20);
    rig.store_batches();
    let first = rig.starts().pop().expect("the task is ordered");
    rig.reply(&first, OrderReply::Unknown);
    rig.send(Event::JobCancelled(ID.into()));
    rig.advance(50);
    rig.stops();
    let reply = accepted(&rig);
    rig.reply_to_stop(&first, reply);
    rig.advance(STOPPED_AFTER_MS);
    rig.poll_reply(first.0.as_str(), vec![], vec![]);
    rig.send(Event::WorkerRemoved(first.0.clone()));
    rig.list_worker(&incarnation(9));
    rig.advance(50);
    assert_eq!(rig.stops(), vec![first]);
}

/// Guards against a start that is repeated although the same pass has decided to stop its gang.
#[test]
fn verify_no_start_of_a_gang_is_repeated_once_its_stop_is_decided() {
    let mut rig = Rig::new(&[worker("w1", "r1"), worker("w2", "r1")]);
    rig.submit(ID, "middle", gang(2, 8));
    rig.advance(20);
    rig.store_batches();
    let starts = rig.starts();
    assert_eq!(starts.len(), 2);
    for start in &starts {
        rig.reply(start, OrderReply::Unknown);
    }
    rig.send(Event::WorkerUpdated(WorkerEntry {
        is_draining: true,
        ..worker("w1", "r1")
    }));
    rig.advance(1_000);
    assert_eq!(rig.starts(), vec![]);
}

/// Guards against a worker that is gone for good and polled again and again, for a start that nothing can carry out.
#[test]
fn verify_an_abandoned_start_is_forgotten_once_another_worker_has_the_address() {
    let mut rig = Rig::new(&[worker("w1", "r1")]);
    let first = abandon_unanswered_start(&mut rig, false);
    rig.poll_fails_with(&first.0, PollFailure::WrongLife);
    rig.advance(1_000);
    let polls = rig.take(|action| match action {
        Action::Poll { worker, .. } if *worker == first.0 => Some(()),
        _ => None,
    });
    assert_eq!(polls, vec![]);
    assert_eq!(rig.coordinator.workers(), 1);
}
