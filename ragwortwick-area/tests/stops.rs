//! Stop orders that a worker refuses.

mod rig;

use ragwortwick_area::{EndKind, Event, OrderReply, RefusalCause, TaskId};
use ragwortwick_core::{JobId, WorkerName};
use rig::{Rig, ended, gang, running, step, worker};

const ID: &str = "00000000000000f1";

/// Long enough for an order to be repeated.
const REPEAT_MS: u64 = 400;

/// Refusals after which the run may go on, or may still start.
const WITHOUT_EFFECT: [RefusalCause; 5] = [
    RefusalCause::Unhealthy,
    RefusalCause::Invalid,
    RefusalCause::LeaseOver,
    RefusalCause::NoRoom,
    RefusalCause::NoTicket,
];

type Run = (WorkerName, TaskId, u32);

/// Refuses the next stop order of each run, and returns the runs that are ordered to stop again while
/// their workers go on reporting them.
fn stops_after_refusal(rig: &mut Rig, runs: &[Run], cause: RefusalCause) -> Vec<Run> {
    let stops = rig.stops();
    assert_eq!(stops.len(), runs.len(), "every run is ordered to stop");
    for stop in &stops {
        rig.reply_to_stop(stop, OrderReply::Refused(cause));
    }
    rig.advance(REPEAT_MS);
    for run in runs {
        rig.poll_reply(run.0.as_str(), vec![running(run)], Vec::new());
    }
    rig.advance(REPEAT_MS);
    let mut repeated = rig.stops();
    repeated.sort();
    repeated.dedup();
    repeated
}

/// Guards against a cancelled job whose run goes on because its worker refused the stop order.
#[test]
fn verify_a_refused_stop_of_a_cancelled_job_is_sent_again() {
    for cause in WITHOUT_EFFECT {
        let mut rig = Rig::new(&[worker("w1", "r1")]);
        rig.submit(ID, "middle", step(1, 4));
        let runs = rig.start_all();
        rig.send(Event::JobCancelled(JobId::new(ID)));
        assert_eq!(stops_after_refusal(&mut rig, &runs, cause), runs);
    }
}

/// Guards against a gang whose remaining member goes on because its worker refused the stop order.
#[test]
fn verify_a_refused_stop_of_a_gang_member_is_sent_again() {
    for cause in WITHOUT_EFFECT {
        let mut rig = Rig::new(&[worker("w1", "r1"), worker("w2", "r1")]);
        rig.submit(ID, "middle", gang(2, 8));
        let runs = rig.start_all();
        let failed = ended(1, &runs[0], EndKind::Failed);
        rig.poll_reply(runs[0].0.as_str(), Vec::new(), vec![failed]);
        rig.advance(20);
        assert_eq!(stops_after_refusal(&mut rig, &runs[1..], cause), &runs[1..]);
    }
}

/// Guards against urgent work that waits until a preempted run ends by itself.
#[test]
fn verify_a_refused_stop_of_a_preempted_run_is_sent_again() {
    for cause in WITHOUT_EFFECT {
        let mut rig = Rig::new(&[worker("w1", "r1")]);
        rig.submit(ID, "patient", step(1, 8));
        let runs = rig.start_all();
        rig.submit("00000000000000f2", "urgent", step(1, 8));
        rig.advance(100);
        rig.store_batches();
        assert_eq!(stops_after_refusal(&mut rig, &runs, cause), runs);
        assert!(rig.starts().is_empty(), "the capacity is not free");
    }
}

/// Guards against a task that runs twice: a delayed start order takes effect after a refused stop order.
#[test]
fn verify_a_start_in_doubt_is_not_settled_by_a_refused_stop() {
    for cause in WITHOUT_EFFECT {
        let mut rig = Rig::new(&[worker("w1", "r1"), worker("w2", "r1")]);
        rig.submit(ID, "middle", step(1, 8));
        rig.advance(20);
        rig.store_batches();
        let start = rig.starts().remove(0);
        rig.reply(&start, OrderReply::Unknown);
        rig.advance(REPEAT_MS);
        rig.starts();
        rig.reply(&start, OrderReply::Refused(RefusalCause::Unhealthy));
        rig.advance(REPEAT_MS);
        for stop in rig.stops() {
            rig.reply_to_stop(&stop, OrderReply::Refused(cause));
        }
        rig.advance(REPEAT_MS);
        rig.poll_reply(start.0.as_str(), Vec::new(), Vec::new());
        assert_eq!(rig.start_all(), vec![], "the first order may take effect");
        assert_eq!(rig.settle_stops(), vec![start]);
        assert_eq!(rig.start_all().len(), 1, "the stop rules it out");
    }
}

/// Guards against endless stop orders for a run that its worker no longer has.
#[test]
fn verify_a_stop_that_is_refused_as_stale_is_confirmed() {
    let mut rig = Rig::new(&[worker("w1", "r1")]);
    rig.submit(ID, "middle", step(1, 4));
    rig.start_all();
    rig.send(Event::JobCancelled(JobId::new(ID)));
    for stop in rig.stops() {
        rig.reply_to_stop(&stop, OrderReply::Refused(RefusalCause::StaleRun));
    }
    rig.advance(REPEAT_MS);
    assert_eq!(rig.stops(), vec![]);
}
