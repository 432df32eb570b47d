//! How the coordinator divides the time of its thread between placement passes, events and waiting.

mod rig;

use std::sync::Arc;

use ragwortwick_area::{Event, JobRecord, Schedule};
use ragwortwick_core::{DurationMs, TimeMs};
use rig::{Rig, at, job, step, worker};

/// On a busy host a placement pass takes longer than the minimum pause, and each worker reply that arrived
/// meanwhile would wait for another pass, so that urgent work starts seconds late. The pause after a pass is
/// therefore three times its duration.
#[test]
fn verify_a_long_pass_leaves_time_to_what_came_meanwhile() {
    let mut rig = Rig::new(&[worker("w1", "r1")]);
    rig.advance(20);
    rig.submit("00000000000000d0", "patient", step(1, 1));
    rig.advance(10);
    assert_eq!(rig.store_batches().len(), 1, "the first job is placed");
    rig.now = TimeMs(rig.now.0 + 20);
    rig.send(Event::WorkersConfirmed);
    rig.now = TimeMs(rig.now.0 + 50);
    rig.coordinator.record_call_end(rig.now);
    rig.submit("00000000000000d1", "patient", step(1, 1));
    assert!(
        rig.store_batches().is_empty(),
        "the next event triggers no pass"
    );
    rig.advance(140);
    assert!(
        rig.store_batches().is_empty(),
        "the pause is three times as long"
    );
    rig.advance(20);
    assert_eq!(rig.store_batches().len(), 1, "the second job is placed");
}

/// A scheduled occurrence becomes due while the worker list is stale because its reader is slow. The
/// coordinator used to request a wakeup in the past again and again; its thread took all processor time, so
/// that neither the reader of the list nor the requests of clients on this host were served.
#[test]
fn verify_set_time_without_a_fresh_list_of_workers_is_waited_for() {
    let mut rig = Rig::new(&[worker("w1", "r1")]);
    let mut record = JobRecord::clone(&job("00000000000000d4", "patient", vec![step(1, 1)]));
    record.schedule = Some(Schedule {
        first_unix_ms: rig.now + DurationMs(2_000),
        interval_ms: DurationMs(500),
        occurrences: 3,
    });
    rig.send(Event::JobAccepted(Arc::new(record)));
    rig.advance(100);
    rig.store_batches();
    rig.now = TimeMs(rig.now.0 + 4_000);
    let mut wakeups = 0;
    let end = rig.now.0 + 1_000;
    while rig.now.0 < end {
        let now = at(rig.now.0);
        let actions = rig.coordinator.on_wakeup(now);
        assert!(actions.is_empty(), "{actions:?}");
        let next = rig.coordinator.next_wakeup(now).expect("a job is open");
        rig.now = next.max(rig.now);
        wakeups += 1;
        assert!(wakeups < 100, "repeated wakeups at {}", rig.now);
    }
    rig.advance(20);
    rig.store_batches();
    assert_eq!(rig.starts().len(), 3, "all due occurrences start");
}
