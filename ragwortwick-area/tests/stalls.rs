//! Stalled runs on workers that count as healthy.

mod rig;

use ragwortwick_area::{OrderReply, StepSpec};
use ragwortwick_core::DurationMs;
use rig::{Rig, gang, step, worker};

/// Guards against an urgent task that stalls from its start on a worker that still replies to polls.
/// Within a second it is stopped and restarted on the other worker, in time for its objective. New work
/// avoids the first worker for a while and is placed there again later.
#[test]
fn verify_run_that_stands_still_starts_elsewhere() {
    let mut rig = Rig::new(&[worker("w1", "r1"), worker("w2", "r1")]);
    rig.submit_as("00000000000000f0", "c", "urgent", step(1, 1));
    let starts = rig.start_all();
    let stalled = starts[0].0.clone();
    for _ in 0..2 {
        rig.advance(400);
        rig.report_progress(stalled.as_str(), &starts, 0);
    }
    rig.advance(20);
    let stops = rig.stops();
    assert_eq!(stops, starts);
    rig.submit("00000000000000f1", "patient", step(4, 1));
    let others = rig.start_all();
    assert!(
        others.iter().all(|start| start.0 != stalled),
        "work avoids the worker"
    );
    rig.advance(3_000);
    rig.submit("00000000000000f2", "patient", step(8, 1));
    let later = rig.start_all();
    assert!(
        later.iter().any(|start| start.0 == stalled),
        "and is placed there again"
    );
}

/// Guards against restarting too early a stalled run that is nearly done and would lose all its work.
/// It is stopped only once it has been stalled for as long as that work took, and keeps its work if it
/// advances before.
#[test]
fn verify_run_with_much_to_lose_is_given_time() {
    let mut rig = Rig::new(&[worker("w1", "r1"), worker("w2", "r1")]);
    rig.submit("00000000000000f3", "patient", step(1, 1));
    let starts = rig.start_all();
    let name = starts[0].0.clone();
    rig.advance(1_800);
    rig.report_progress(name.as_str(), &starts, 90);
    for _ in 0..3 {
        rig.advance(500);
        rig.report_progress(name.as_str(), &starts, 90);
    }
    assert_eq!(rig.stops(), vec![]);
    for _ in 0..3 {
        rig.advance(500);
        rig.report_progress(name.as_str(), &starts, 90);
    }
    assert_eq!(rig.stops(), starts);
}

/// Guards against stopping a gang whose members wait for the start of one that has no reply yet.
/// Such a gang is not stalled; a stop would only delay its start further.
#[test]
fn verify_gang_that_waits_for_a_start_is_left_alone() {
    let mut rig = Rig::new(&[worker("w1", "r1"), worker("w2", "r1"), worker("w3", "r1")]);
    rig.submit("00000000000000f4", "urgent", gang(2, 8));
    rig.advance(20);
    rig.store_batches();
    let starts = rig.starts();
    rig.accept(&starts[0]);
    rig.reply(&starts[1], OrderReply::Unknown);
    for _ in 0..4 {
        rig.advance(400);
        rig.report_progress(starts[0].0.as_str(), &starts, 0);
    }
    assert_eq!(rig.stops(), vec![]);
}

/// Guards against restarting too early a gang with one stalled member whose other member is nearly done.
/// A restart loses the work of the other member, so the gang gets as long as that work took.
#[test]
fn verify_gang_is_given_as_long_as_its_furthest_member_took() {
    let mut rig = Rig::new(&[worker("w1", "r1"), worker("w2", "r1"), worker("w3", "r1")]);
    rig.submit("00000000000000f7", "patient", gang(2, 8));
    let starts = rig.start_all();
    let report = |rig: &mut Rig, percent| {
        rig.advance(500);
        rig.report_progress(starts[1].0.as_str(), &starts, percent);
        rig.report_progress(starts[0].0.as_str(), &starts, 0);
    };
    for percent in [25, 50, 75] {
        report(&mut rig, percent);
    }
    assert_eq!(rig.stops(), vec![], "1.5 s of work against 1.5 s of stall");
    for _ in 0..2 {
        report(&mut rig, 75);
    }
    assert_eq!(rig.stops().len(), 2);
}

/// Guards against taking a gang member that is done and waits for the others at 100 per cent as stalled.
#[test]
fn verify_member_that_waits_for_slower_ones_is_left_alone() {
    let mut rig = Rig::new(&[worker("w1", "r1"), worker("w2", "r1"), worker("w3", "r1")]);
    rig.submit("00000000000000f5", "urgent", gang(2, 8));
    let starts = rig.start_all();
    for percent in 1..6 {
        rig.advance(500);
        rig.report_progress(starts[0].0.as_str(), &starts, 100);
        rig.report_progress(starts[1].0.as_str(), &starts, percent * 10);
    }
    assert_eq!(rig.stops(), vec![]);
}

/// Guards against endless restarts of a task of minutes that its customer estimates at two seconds.
/// It seems stalled on every worker, so it is restarted at most twice.
#[test]
fn verify_task_with_a_wrong_estimate_is_not_moved_for_ever() {
    let names = ["w1", "w2", "w3", "w4"].map(|name| worker(name, "r1"));
    let mut rig = Rig::new(&names);
    let long = StepSpec {
        estimate_ms: DurationMs(2_000),
        ..step(1, 1)
    };
    rig.submit("00000000000000f6", "middle", long);
    let mut restarts = 0;
    for _ in 0..6 {
        let starts = rig.start_all();
        let Some(start) = starts.first() else {
            break;
        };
        for _ in 0..4 {
            rig.advance(500);
            rig.report_progress(start.0.as_str(), &starts, 0);
        }
        let stops = rig.stops();
        restarts += stops.len();
        for stop in &stops {
            let end = rig::ended(1, stop, ragwortwick_area::EndKind::Stopped);
            rig.poll_reply(stop.0.as_str(), Vec::new(), vec![end]);
        }
    }
    assert_eq!(restarts, 2);
}
