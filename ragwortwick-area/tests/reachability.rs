//! Workers and zones that do not reply, and the work that is kept away from them.

mod rig;

use std::collections::BTreeSet;

use ragwortwick_area::{Event, JobRecord, OrderReply, PollFailure, RecoveredJob, WorkerEntry};
use rig::{Rig, at, desired, gang, job, step, worker};

fn worker_in(zone: &str, name: &str) -> WorkerEntry {
    WorkerEntry {
        zone: zone.into(),
        ..worker(name, &format!("rack-{zone}"))
    }
}

/// Five workers in each of two zones; those of zone `a` come first by name.
fn two_zones() -> Vec<WorkerEntry> {
    let names = (0..10).map(|number| (if number < 5 { "a" } else { "b" }, format!("w{number}")));
    names.map(|(zone, name)| worker_in(zone, &name)).collect()
}

fn is_in_zone_a(worker: &str) -> bool {
    worker < "w5"
}

/// Places a gang on each of three workers of zone `a`, whose orders go without a reply.
fn cut_zone_a(rig: &mut Rig) {
    for number in 0..3 {
        rig.submit_as(&format!("{number:016x}"), "c", "urgent", gang(1, 8));
    }
    rig.advance(20);
    rig.store_batches();
    let starts = rig.starts();
    assert_eq!(starts.len(), 3);
    for start in &starts {
        assert!(is_in_zone_a(start.0.as_str()), "{start:?}");
        rig.reply(start, OrderReply::Unknown);
    }
}

/// Guards against an urgent gang that is placed on a worker whose last order went without a reply.
#[test]
fn verify_a_worker_without_a_reply_gets_nothing_until_it_replies() {
    let mut rig = Rig::new(&[worker("w1", "r1")]);
    rig.submit_as("00000000000000a0", "c", "urgent", step(1, 2));
    rig.advance(20);
    rig.store_batches();
    let first = rig.starts().remove(0);
    rig.reply(&first, OrderReply::Unknown);
    rig.submit_as("00000000000000a1", "c", "urgent", step(1, 2));
    rig.advance(100);
    rig.store_batches();
    assert!(rig.starts().is_empty(), "placed on a silent worker");
    rig.advance(100);
    let repeated = rig.starts();
    assert!(repeated.contains(&first), "the order is not repeated");
    rig.accept(&first);
    assert_eq!(rig.start_all().len(), 1);
}

/// Guards against gangs that are placed in a zone that is cut off and have to wait there for leases to expire.
#[test]
fn verify_a_silent_zone_gets_nothing_until_one_of_its_workers_replies() {
    let mut rig = Rig::new(&two_zones());
    cut_zone_a(&mut rig);
    for number in 0..6 {
        rig.submit_as(
            &format!("00000000000000a{number}"),
            "c",
            "urgent",
            gang(1, 8),
        );
    }
    rig.advance(20);
    rig.store_batches();
    let starts = rig.starts();
    assert!(
        starts.iter().all(|start| !is_in_zone_a(start.0.as_str())),
        "{starts:?}"
    );
    rig.poll_reply("w0", Vec::new(), Vec::new());
    rig.advance(20);
    rig.store_batches();
    let starts = rig.starts();
    assert!(
        starts.iter().any(|start| is_in_zone_a(start.0.as_str())),
        "{starts:?}"
    );
}

/// Guards against a zone that is left out because of lost replies while its other workers reply.
#[test]
fn verify_a_zone_that_replies_is_used_in_spite_of_lost_replies() {
    let mut rig = Rig::new(&two_zones());
    cut_zone_a(&mut rig);
    rig.advance(10);
    for name in ["w0", "w1", "w2", "w3", "w4"] {
        rig.poll_reply(name, Vec::new(), Vec::new());
    }
    for number in 0..2 {
        rig.submit_as(
            &format!("00000000000000a{number}"),
            "c",
            "urgent",
            gang(1, 8),
        );
    }
    rig.advance(20);
    rig.store_batches();
    let starts = rig.starts();
    assert!(
        starts.iter().any(|start| is_in_zone_a(start.0.as_str())),
        "{starts:?}"
    );
}

/// Guards against a new coordinator that places the backlog in the zone whose cut made it take over.
#[test]
fn verify_a_new_coordinator_uses_only_workers_that_have_replied() {
    let record: JobRecord = (*job("00000000000000a0", "urgent", vec![gang(2, 8)])).clone();
    let recovered = RecoveredJob {
        record: record.into(),
        progress: None,
        is_cancelled: false,
    };
    let mut rig = Rig::new(&[]);
    rig.coordinator = ragwortwick_area::Coordinator::take_over(
        at(rig.now.0),
        ragwortwick_area::Limits::default(),
        desired(),
        vec![recovered],
        two_zones(),
    );
    rig.evacuate(&[]);
    let until = ragwortwick_core::TimeMs(1_000_000);
    rig.send(Event::LeaseExtended { until });
    rig.advance(50);
    assert!(rig.store_batches().is_empty(), "placed without a reply");
    for number in 5..10 {
        rig.poll_reply(&format!("w{number}"), Vec::new(), Vec::new());
    }
    let starts = rig.start_all();
    let on: BTreeSet<_> = starts.iter().map(|start| start.0.as_str()).collect();
    assert_eq!(on.len(), 2);
    assert!(on.iter().all(|name| !is_in_zone_a(name)), "{on:?}");
}

/// Guards against a silent worker without runs that is never asked again and so never gets work again.
#[test]
fn verify_a_silent_worker_is_polled_until_it_replies() {
    let mut rig = Rig::new(&[worker("w1", "r1")]);
    rig.submit_as("00000000000000a0", "c", "urgent", step(1, 2));
    rig.advance(20);
    rig.store_batches();
    let start = rig.starts().remove(0);
    rig.reply(&start, OrderReply::Unknown);
    rig.poll_fails_with(&start.0, PollFailure::NoAnswer);
    rig.send(Event::JobCancelled(start.1.job_id.clone()));
    rig.advance(1_500);
    let polls =
        rig.take(|action| matches!(action, ragwortwick_area::Action::Poll { .. }).then_some(()));
    assert!(!polls.is_empty());
}
