//! Which runs are preempted when urgent work is submitted and all workers are full.

mod rig;

use ragwortwick_area::{Action, EndKind, StepSpec};
use ragwortwick_core::{DurationMs, JobId};
use rig::{Rig, ended, gang, step, worker};

const FOUR_WORKERS: [&str; 4] = ["w1", "w2", "w3", "w4"];

fn pool() -> Rig {
    let entries: Vec<_> = FOUR_WORKERS.iter().map(|name| worker(name, "r1")).collect();
    Rig::new(&entries)
}

fn with_checkpoints(count: u32, accelerators: u64) -> StepSpec {
    StepSpec {
        saves_checkpoints: true,
        ..step(count, accelerators)
    }
}

/// Guards against preemption that loses work: patient tasks fill all workers, and half of them save
/// checkpoints. A stop saves another checkpoint, so stopping that half loses nothing, though it has run for
/// longer.
#[test]
fn verify_work_that_saves_checkpoints_gives_way_first() {
    let mut rig = pool();
    rig.submit("00000000000000a0", "patient", with_checkpoints(16, 1));
    rig.start_all();
    rig.advance(1_000);
    rig.submit("00000000000000a1", "patient", step(16, 1));
    assert_eq!(rig.start_all().len(), 16);
    rig.advance(300);
    rig.submit_as("00000000000000a2", "d", "urgent", gang(2, 8));
    rig.advance(20);
    let stops = rig.stops();
    assert_eq!(stops.len(), 16);
    let saves = |id: &str| id == "00000000000000a0";
    assert!(stops.iter().all(|stop| saves(stop.1.job_id.as_str())));
}

/// Guards against stops that are spread over all workers: on each of four workers one task started long ago
/// and seven just now. An urgent job needs one whole worker, so the eight tasks of one worker stop. Choosing
/// the cheapest tasks of the pool would stop most of the young ones before any worker was free.
#[test]
fn verify_one_worker_is_cleared_not_a_little_of_each() {
    let mut rig = pool();
    let one_each = StepSpec {
        max_per_worker: Some(1),
        ..step(4, 1)
    };
    rig.submit("00000000000000b0", "patient", one_each);
    rig.start_all();
    rig.advance(3_000);
    rig.submit("00000000000000b1", "patient", step(28, 1));
    assert_eq!(rig.start_all().len(), 28);
    rig.advance(100);
    rig.submit_as("00000000000000b2", "d", "urgent", gang(1, 8));
    rig.advance(20);
    let stops = rig.stops();
    assert_eq!(stops.len(), 8);
    assert!(stops.iter().all(|stop| stop.0 == stops[0].0));
}

/// Guards against a fixed limit on preempted work: an urgent gang beyond its customer's share needs three of
/// four workers, on which patient tasks have run for three of sixty seconds. Its value grows with its size
/// relative to its queue's mean; with one limit for all jobs it waited until it was too late.
#[test]
fn verify_a_large_urgent_job_may_displace_more_than_others() {
    let mut rig = pool();
    for number in 0..12 {
        let id = format!("{:016x}", 0xc00 + number);
        rig.submit_as(&id, "c", "urgent", gang(1, 1));
    }
    let small = rig.start_all();
    for (number, start) in (1..).zip(&small) {
        let end = ended(number, start, EndKind::Done);
        rig.poll_reply(start.0.as_str(), Vec::new(), vec![end]);
    }
    let long = StepSpec {
        estimate_ms: DurationMs(60_000),
        ..step(32, 1)
    };
    rig.submit("00000000000000c1", "patient", long);
    assert_eq!(rig.start_all().len(), 32);
    rig.advance(3_000);
    rig.submit_as("00000000000000c2", "nobody", "urgent", gang(3, 8));
    rig.advance(20);
    assert_eq!(rig.stops().len(), 24);
}

/// Guards against freed capacity that goes to the wrong job: runs are being stopped for an urgent job when
/// another with a higher value density is submitted. The first job gets the capacity; the second preempts
/// others.
#[test]
fn verify_cleared_room_goes_to_the_job_that_it_was_cleared_for() {
    let mut rig = pool();
    rig.submit("00000000000000d0", "patient", with_checkpoints(32, 1));
    let patient = rig.start_all();
    rig.advance(300);
    rig.submit_as("00000000000000d1", "nobody", "urgent", gang(1, 8));
    rig.advance(20);
    let stops = rig.stops();
    assert_eq!(stops.len(), 8);
    let shorter = StepSpec {
        estimate_ms: DurationMs(1_000),
        ..gang(1, 8)
    };
    rig.submit_as("00000000000000d2", "nobody", "urgent", shorter);
    rig.advance(20);
    let cleared = stops[0].0.clone();
    let ends = (1..).zip(patient.iter().filter(|start| start.0 == cleared));
    let ends = ends.map(|(number, start)| ended(number, start, EndKind::Stopped));
    rig.poll_reply(cleared.as_str(), Vec::new(), ends.collect());
    rig.advance(30);
    rig.store_batches();
    let starts = rig.starts();
    assert_eq!(starts.len(), 1);
    assert_eq!(starts[0].1.job_id.as_str(), "00000000000000d1");
    let is_stop = |action: &Action| matches!(action, Action::Stop { .. });
    assert!(
        rig.actions.iter().any(is_stop),
        "runs are preempted for the second job"
    );
}

/// Guards against two urgent jobs that preempt each other for the same capacity pass after pass, so that
/// neither starts.
#[test]
fn verify_room_cleared_for_a_promise_does_not_go_back_to_whoever_gave_way() {
    let entries: Vec<_> = ["w1", "w2", "w3"]
        .iter()
        .map(|name| worker(name, "r1"))
        .collect();
    let mut rig = Rig::new(&entries);
    rig.submit("00000000000000e1", "patient", step(8, 1));
    assert_eq!(rig.start_all().len(), 8);
    rig.submit_as("00000000000000e0", "c", "urgent", gang(2, 8));
    assert_eq!(rig.start_all().len(), 2);
    let borrower = "00000000000000e2";
    rig.submit_as(borrower, "c", "urgent", gang(1, 8));
    rig.advance(20);
    let stops = rig.stops();
    assert_eq!(stops.len(), 8);
    let ends = (1..).zip(&stops);
    let ends = ends.map(|(number, stop)| ended(number, stop, EndKind::Stopped));
    let ends = ends.collect();
    rig.poll_reply(stops[0].0.as_str(), Vec::new(), ends);
    rig.advance(20);
    let guaranteed = "00000000000000e3";
    rig.submit_as(guaranteed, "d", "urgent", gang(1, 8));
    rig.advance(100);
    rig.store_batches();
    let started: Vec<_> = rig
        .starts()
        .into_iter()
        .map(|start| start.1.job_id)
        .collect();
    assert_eq!(started, [JobId::new(guaranteed)]);
}
