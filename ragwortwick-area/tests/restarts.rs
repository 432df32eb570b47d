//! Workers that restart under their identity, and the orders that were meant for the earlier incarnation.

mod rig;

use ragwortwick_area::{EndKind, OrderReply, PollFailure, WorkerEntry};
use ragwortwick_core::WorkerName;
use rig::{Rig, STOPPED_AFTER_MS, STOPPING_MS, ended, running, step, worker};

const ID: &str = "00000000000000c7";

fn incarnation(identity: &str, started_unix_ms: u64) -> WorkerEntry {
    WorkerEntry {
        name: WorkerName::of_incarnation(identity, Some(started_unix_ms)),
        ..worker(identity, "r1")
    }
}

fn accepted(rig: &Rig) -> OrderReply {
    OrderReply::Accepted {
        clock_ms: 50 + rig.now.0,
    }
}

/// Guards against a task that is restarted while an order for its first run may begin that run once more.
#[test]
fn verify_a_run_ends_only_once_the_restarted_worker_has_confirmed_its_stop() {
    for is_seen_by_poll in [true, false] {
        let mut rig = Rig::new(&[incarnation("w1", 5)]);
        rig.submit(ID, "middle", step(1, 4));
        let first = rig.start_all().pop().expect("the task starts");
        rig.list_worker(&worker("w2", "r1"));
        if is_seen_by_poll {
            rig.poll_fails_with(&first.0, PollFailure::Restarted);
        }
        rig.list_worker(&incarnation("w1", 9));
        rig.advance(100);
        rig.store_batches();
        assert_eq!(rig.starts(), vec![], "the first run may still begin");
        assert_eq!(rig.stops(), vec![first.clone()]);
        rig.reply_to_stop(&first, accepted(&rig));
        rig.advance(STOPPING_MS);
        assert_eq!(rig.start_all(), vec![], "the first run may be stopping");
        rig.advance(STOPPED_AFTER_MS - STOPPING_MS);
        assert_eq!(rig.start_all().len(), 1);
    }
}

/// Guards against a completion of the new incarnation that is taken for one that was read before.
#[test]
fn verify_ends_of_a_restarted_worker_are_counted_from_one() {
    let mut rig = Rig::new(&[incarnation("w1", 5)]);
    rig.submit(ID, "middle", step(1, 4));
    let first = rig.start_all().pop().expect("the task starts");
    let other = (first.0.clone(), first.1.clone(), 99);
    let ends = (1..=40).map(|sequence| ended(sequence, &other, EndKind::Stopped));
    rig.poll_reply(first.0.as_str(), vec![running(&first)], ends.collect());
    rig.list_worker(&incarnation("w1", 9));
    rig.advance(50);
    rig.reply_to_stop(&first, accepted(&rig));
    rig.advance(STOPPED_AFTER_MS);
    let second = rig.start_all().pop().expect("the task starts again");
    assert_eq!(second.0.started_unix_ms(), Some(9));
    let end = ended(1, &second, EndKind::Done);
    rig.poll_reply(second.0.as_str(), vec![], vec![end]);
    let phase = rig.coordinator.phase(&ID.into());
    assert_eq!(phase, Some(ragwortwick_area::JobPhase::Completed));
}

/// Guards against a start order without a reply that takes effect because the worker has forgotten its stop.
#[test]
fn verify_unanswered_starts_are_stopped_again_after_a_restart() {
    for is_seen_down in [false, true] {
        stop_unanswered_start_after_restart(is_seen_down);
    }
}

fn stop_unanswered_start_after_restart(is_seen_down: bool) {
    let mut rig = Rig::new(&[incarnation("w1", 5)]);
    rig.submit(ID, "middle", step(1, 4));
    rig.advance(20);
    rig.store_batches();
    let first = rig.starts().pop().expect("the task starts");
    rig.reply(&first, OrderReply::Unknown);
    rig.send(ragwortwick_area::Event::JobCancelled(ID.into()));
    rig.advance(50);
    rig.stops();
    rig.reply_to_stop(&first, accepted(&rig));
    rig.advance(STOPPED_AFTER_MS);
    rig.poll_reply(first.0.as_str(), vec![], vec![]);
    if is_seen_down {
        rig.poll_fails_with(&first.0, PollFailure::Closed);
    }
    rig.list_worker(&incarnation("w1", 9));
    rig.advance(50);
    assert_eq!(rig.stops(), vec![first.clone()]);
    rig.submit("00000000000000c8", "middle", step(1, 4));
    assert_eq!(
        rig.start_all(),
        vec![],
        "the late start may still take capacity"
    );
    rig.reply_to_stop(&first, accepted(&rig));
    rig.advance(STOPPING_MS);
    assert_eq!(rig.start_all(), vec![], "it may be stopping");
    rig.advance(STOPPED_AFTER_MS - STOPPING_MS);
    assert_eq!(rig.start_all().len(), 1);
}

/// Guards against an entry that arrives late and replaces the worker by its earlier incarnation.
#[test]
fn verify_an_earlier_incarnation_replaces_nothing() {
    let mut rig = Rig::new(&[incarnation("w1", 9)]);
    rig.submit(ID, "middle", step(1, 4));
    rig.start_all();
    rig.list_worker(&incarnation("w1", 5));
    rig.advance(100);
    assert_eq!(rig.stops(), vec![]);
}

/// Guards against a second run of a task whose start the restarted worker carried out, and whose stop takes its time.
#[test]
fn verify_a_run_that_a_restarted_worker_is_stopping_is_not_started_again() {
    let mut rig = Rig::new(&[incarnation("w1", 5)]);
    rig.submit(ID, "middle", step(1, 4));
    let first = rig.start_all().pop().expect("the task starts");
    rig.list_worker(&worker("w2", "r1"));
    rig.list_worker(&incarnation("w1", 9));
    rig.advance(10);
    rig.reply_to_stop(&first, accepted(&rig));
    let later = incarnation("w1", 9).name;
    rig.poll_reply(later.as_str(), vec![running(&first)], vec![]);
    rig.advance(100);
    rig.store_batches();
    assert_eq!(rig.starts(), vec![], "the first run is being stopped");
    rig.poll_reply(
        later.as_str(),
        vec![],
        vec![ended(1, &first, EndKind::Stopped)],
    );
    rig.advance(400);
    assert_eq!(rig.start_all().len(), 1);
}

/// Guards against a restarted worker that gets no work although nothing of before can begin there any more.
#[test]
fn verify_a_restarted_worker_gets_work_once_its_unanswered_start_is_stopped() {
    let mut rig = Rig::new(&[incarnation("w1", 5)]);
    rig.submit(ID, "middle", step(1, 8));
    rig.advance(20);
    rig.store_batches();
    let first = rig.starts().pop().expect("the task starts");
    rig.reply(&first, OrderReply::Unknown);
    rig.list_worker(&incarnation("w1", 9));
    rig.advance(50);
    assert_eq!(rig.stops(), vec![first.clone()]);
    rig.reply_to_stop(&first, accepted(&rig));
    rig.advance(STOPPED_AFTER_MS);
    assert_eq!(rig.start_all().len(), 1);
}
