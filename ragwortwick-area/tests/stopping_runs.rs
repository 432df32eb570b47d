//! Runs that their workers list neither as running nor as ended, while they go on.

mod rig;

use std::sync::Arc;

use ragwortwick_area::{
    EndKind, Event, JobPhase, OrderReply, RecoveredJob, StepSpec, TaskId, WorkerEntry, WorkerReport,
};
use ragwortwick_core::{JobId, WorkerName};
use rig::{Rig, STOPPED_AFTER_MS, STOPPING_MS, ended, gang, job, running, step, worker};

const ID: &str = "00000000000000f1";

type Run = (WorkerName, TaskId, u32);

const URGENT_ID: &str = "00000000000000f2";

/// Workers of three racks, each of which holds one gang.
fn three_racks() -> Vec<WorkerEntry> {
    let names = [
        ("w1", "r1"),
        ("w2", "r1"),
        ("w3", "r2"),
        ("w4", "r2"),
        ("w5", "r3"),
        ("w6", "r3"),
    ];
    names.map(|(name, rack)| worker(name, rack)).to_vec()
}

fn whole_workers(count: u32) -> StepSpec {
    StepSpec {
        wants_same_rack: true,
        ..gang(count, 8)
    }
}

fn confirm(rig: &mut Rig, stops: &[Run]) {
    for stop in stops {
        let clock_ms = 100_000 + rig.now.0;
        rig.reply_to_stop(stop, OrderReply::Accepted { clock_ms });
    }
}

fn leave_out(rig: &mut Rig, runs: &[Run]) {
    for run in runs {
        rig.poll_reply(run.0.as_str(), vec![], vec![]);
    }
}

/// Starts what can start; returns how many tasks of a job do.
fn start_all_of(rig: &mut Rig, id: &str) -> usize {
    let starts = rig.start_all();
    let of_job = starts.iter().filter(|start| start.1.job_id.as_str() == id);
    of_job.count()
}

/// A gang that was stopped for an urgent one, whose workers confirm the stops; other racks become free meanwhile.
fn with_displaced_gang() -> (Rig, Vec<Run>) {
    let mut rig = Rig::new(&three_racks()[..2]);
    rig.submit(ID, "middle", whole_workers(2));
    let runs = rig.start_all();
    rig.submit(URGENT_ID, "urgent", whole_workers(2));
    rig.advance(50);
    let stops = rig.stops();
    assert_eq!(stops.len(), 2);
    confirm(&mut rig, &stops);
    for other in &three_racks()[2..] {
        rig.list_worker(other);
    }
    (rig, runs)
}

/// Guards against a gang that runs twice at once: its first run is still stopping, and its workers no longer list it.
#[test]
fn verify_a_gang_starts_again_only_once_its_stopped_run_must_have_ended() {
    let (mut rig, runs) = with_displaced_gang();
    rig.advance(STOPPING_MS);
    leave_out(&mut rig, &runs);
    assert_eq!(start_all_of(&mut rig, ID), 0, "it may still be stopping");
    rig.advance(STOPPED_AFTER_MS);
    leave_out(&mut rig, &runs);
    assert_eq!(start_all_of(&mut rig, ID), 2);
}

/// A stopped run whose end is listed is over at once: nobody waits for the longest time that stopping may take.
#[test]
fn verify_a_listed_end_of_a_stopped_run_is_not_waited_for() {
    let (mut rig, runs) = with_displaced_gang();
    rig.advance(20);
    for run in &runs {
        let end = ended(1, run, EndKind::Stopped);
        rig.poll_reply(run.0.as_str(), vec![], vec![end]);
    }
    assert_eq!(start_all_of(&mut rig, ID), 2);
}

/// Guards against starts in the capacity of a cancelled job's run that is still stopping.
#[test]
fn verify_nothing_starts_in_the_capacity_of_a_run_that_is_stopping() {
    let mut rig = Rig::new(&[worker("w1", "r1")]);
    rig.submit(ID, "middle", step(1, 8));
    let runs = rig.start_all();
    rig.send(Event::JobCancelled(JobId::new(ID)));
    rig.submit("00000000000000f3", "middle", step(1, 8));
    rig.advance(20);
    let stops = rig.stops();
    confirm(&mut rig, &stops);
    rig.advance(STOPPING_MS);
    leave_out(&mut rig, &runs);
    assert_eq!(rig.start_all(), vec![]);
    rig.advance(STOPPED_AFTER_MS);
    leave_out(&mut rig, &runs);
    assert_eq!(rig.start_all().len(), 1);
}

/// Guards against a gang that runs twice at once: a reply leaves it out before it has ended.
#[test]
fn verify_a_run_that_a_reply_leaves_out_is_stopped_before_its_task_starts_again() {
    let mut rig = Rig::new(&three_racks());
    rig.submit(ID, "middle", whole_workers(2));
    let runs = rig.start_all();
    rig.advance(100);
    leave_out(&mut rig, &runs);
    assert_eq!(rig.start_all(), vec![]);
    assert_eq!(rig.settle_stops(), runs);
    assert_eq!(rig.start_all().len(), 2);
}

/// Guards against a task that runs twice at once: its first run was stopping when the coordinator changed.
#[test]
fn verify_a_new_coordinator_waits_for_runs_that_its_predecessor_stopped() {
    let workers = three_racks();
    let record = job(ID, "middle", vec![step(1, 8)]);
    let mut first = Rig::new(&workers);
    first.send(Event::JobAccepted(Arc::clone(&record)));
    first.advance(20);
    let (_, progress) = first.store_batches().pop().expect("the start is recorded");
    let runs = first.starts();
    let recovered = RecoveredJob {
        record,
        progress: Some(progress),
        is_cancelled: false,
    };
    let mut next = Rig::take_over(10_000, vec![recovered], &workers);
    leave_out(&mut next, &runs);
    assert_eq!(next.start_all(), vec![], "it may still be stopping");
    assert_eq!(next.settle_stops(), runs);
    assert_eq!(next.start_all().len(), 1);
}

/// A run that is listed again after a reply left it out is stopped, and counted as one run at any time.
#[test]
fn verify_a_run_that_is_listed_again_starts_elsewhere_only_after_its_end() {
    let mut rig = Rig::new(&[worker("w1", "r1"), worker("w2", "r1")]);
    rig.submit(ID, "middle", step(1, 8));
    let runs = rig.start_all();
    rig.advance(100);
    leave_out(&mut rig, &runs);
    rig.advance(50);
    let stops = rig.stops();
    rig.poll_reply(runs[0].0.as_str(), vec![running(&runs[0])], vec![]);
    confirm(&mut rig, &stops);
    rig.advance(50);
    assert_eq!(rig.start_all(), vec![]);
    let end = ended(1, &runs[0], EndKind::Stopped);
    rig.poll_reply(runs[0].0.as_str(), vec![], vec![end]);
    assert_eq!(rig.start_all().len(), 1);
    assert_eq!(
        rig.coordinator.phase(&JobId::new(ID)),
        Some(JobPhase::Running)
    );
}

/// A reply to a poll that was sent before the stop had its time tells nothing of its end, however late it arrives.
#[test]
fn verify_a_late_reply_to_an_early_poll_ends_no_run() {
    let (mut rig, runs) = with_displaced_gang();
    let sent_at = rig.now;
    rig.advance(2 * STOPPED_AFTER_MS);
    for run in &runs {
        rig.send(Event::PollReplied {
            worker: run.0.clone(),
            sent_at,
            report: WorkerReport {
                clock_ms: 100_000 + rig.now.0,
                ..WorkerReport::default()
            },
        });
    }
    assert_eq!(
        rig.start_all().len(),
        2,
        "only the urgent gang starts, on the free rack"
    );
}
