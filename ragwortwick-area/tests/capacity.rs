//! Workers whose capacity shrinks and grows while tasks run there.

mod rig;

use ragwortwick_area::{EndKind, Event, OrderReply, Resources, WorkerEntry};
use rig::{Rig, STOPPED_AFTER_MS, STOPPING_MS, ended, running, step, worker};

/// The worker's entry with fewer accelerators.
fn shrunk(name: &str, accelerators: u64) -> WorkerEntry {
    let entry = worker(name, "r1");
    WorkerEntry {
        capacity: Resources {
            accelerators,
            ..entry.capacity
        },
        ..entry
    }
}

/// Guards against a start that overcommits a worker whose capacity shrank while the record was being stored.
#[test]
fn verify_a_start_is_withdrawn_when_its_worker_has_shrunk() {
    let mut rig = Rig::new(&[worker("w1", "r1")]);
    rig.submit("00000000000000a1", "middle", step(1, 8));
    rig.advance(20);
    rig.send(Event::WorkerUpdated(shrunk("w1", 4)));
    rig.store_batches();
    assert_eq!(rig.starts(), vec![]);
    rig.send(Event::WorkerUpdated(worker("w1", "r1")));
    assert_eq!(rig.start_all().len(), 1, "the task fits again");
}

/// Guards against an unanswered start, which may not have arrived, that is repeated on a worker that shrank.
#[test]
fn verify_an_unanswered_start_is_not_repeated_on_a_worker_that_has_shrunk() {
    let mut rig = Rig::new(&[worker("w1", "r1")]);
    rig.submit("00000000000000a1", "middle", step(1, 8));
    rig.advance(20);
    rig.store_batches();
    let start = rig.starts().remove(0);
    rig.send(Event::WorkerUpdated(shrunk("w1", 4)));
    rig.reply(&start, OrderReply::Unknown);
    rig.advance(1_000);
    assert_eq!(rig.starts(), vec![]);
    assert_eq!(
        rig.stops().len(),
        1,
        "a stop resolves whether the start arrived"
    );
}

/// Guards against starts on an overcommitted worker, even of tasks that need none of the scarce resource.
#[test]
fn verify_nothing_begins_on_a_worker_that_holds_more_than_it_has() {
    let mut rig = Rig::new(&[worker("w1", "r1")]);
    rig.submit("00000000000000a1", "middle", step(1, 8));
    let first = rig.start_all();
    rig.send(Event::WorkerUpdated(shrunk("w1", 4)));
    rig.submit("00000000000000a2", "middle", step(1, 0));
    rig.advance(20);
    assert!(
        rig.store_batches().is_empty(),
        "nothing is placed on the overcommitted worker"
    );
    rig.poll_reply("w1", vec![running(&first[0])], vec![]);
    rig.send(Event::WorkerUpdated(worker("w1", "r1")));
    assert_eq!(rig.start_all().len(), 1);
}

/// Guards against preemption that stops less than a worker's overcommitted resources, so that nothing fits.
#[test]
fn verify_as_much_is_stopped_as_makes_room_on_a_worker_that_has_shrunk() {
    let mut rig = Rig::new(&[worker("w1", "r1")]);
    rig.submit("00000000000000a1", "patient", step(4, 2));
    assert_eq!(rig.start_all().len(), 4);
    rig.send(Event::WorkerUpdated(shrunk("w1", 4)));
    rig.submit("00000000000000a2", "urgent", step(1, 2));
    rig.advance(20);
    assert_eq!(
        rig.stops().len(),
        3,
        "two overcommit the worker, one frees capacity"
    );
}

/// Guards against starts in capacity that an untracked run still uses.
#[test]
fn verify_nothing_begins_in_the_room_of_a_run_that_nobody_waits_for() {
    let mut rig = Rig::new(&[worker("w1", "r1")]);
    rig.submit("00000000000000a1", "middle", step(1, 8));
    let first = rig.start_all();
    rig.poll_reply("w1", vec![], vec![ended(1, &first[0], EndKind::Failed)]);
    rig.advance(20);
    let untracked = (first[0].0.clone(), first[0].1.clone(), 7);
    rig.poll_reply("w1", vec![running(&untracked)], vec![]);
    rig.store_batches();
    assert_eq!(
        rig.starts(),
        vec![],
        "the untracked run uses all accelerators"
    );
    let stops = rig.stops();
    assert_eq!(stops, vec![untracked]);
    let clock_ms = 100_000 + rig.now.0;
    rig.reply_to_stop(&stops[0], OrderReply::Accepted { clock_ms });
    rig.advance(STOPPING_MS);
    rig.poll_reply("w1", vec![], vec![]);
    assert_eq!(rig.start_all(), vec![], "it may be stopping");
    rig.advance(STOPPED_AFTER_MS - STOPPING_MS);
    rig.poll_reply("w1", vec![], vec![]);
    assert_eq!(rig.start_all().len(), 1);
}
