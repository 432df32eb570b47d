//! Runs on a worker for which the coordinator holds no allocation.

mod rig;

use ragwortwick_area::{
    Action, Coordinator, EndKind, Event, JobPhase, JobProgress, Limits, OrderReply, PollFailure,
    RecoveredJob, RefusalCause, TaskId, TaskProgress, WorkerReport,
};
use ragwortwick_core::{JobId, WorkerName};
use rig::{Rig, at, desired, ended, job, running, step, worker};

const ID: &str = "00000000000000f1";
const OTHER_ID: &str = "00000000000000f2";

/// Long enough for an order to be repeated.
const REPEAT_MS: u64 = 400;

type Run = (WorkerName, TaskId, u32);

/// A run of a job whose record the coordinator may or may not hold.
fn run_of(job_id: &str) -> Run {
    let task = TaskId {
        job_id: JobId::new(job_id),
        occurrence: 0,
        step: 0,
        index: 0,
    };
    (WorkerName::new("w1"), task, 7)
}

fn rig_with_cancelled_job() -> Rig {
    let mut rig = Rig::new(&[worker("w1", "r1")]);
    rig.submit(ID, "middle", step(1, 4));
    rig.send(Event::JobCancelled(JobId::new(ID)));
    rig.advance(20);
    rig.store_batches();
    rig
}

/// Takes the polls of a worker.
fn polls_of(rig: &mut Rig, name: &str) -> usize {
    let polls = rig.take(|action| match action {
        Action::Poll { worker, .. } if worker.as_str() == name => Some(()),
        _ => None,
    });
    polls.len()
}

/// Guards against a run that goes on because the only order to stop it was lost or refused.
#[test]
fn verify_a_failed_stop_of_an_untracked_run_is_sent_again_without_another_report() {
    let without_effect = [
        OrderReply::Unknown,
        OrderReply::Refused(RefusalCause::Unhealthy),
    ];
    for reply in without_effect {
        let mut rig = rig_with_cancelled_job();
        let untracked = run_of(ID);
        rig.poll_reply("w1", vec![running(&untracked)], vec![]);
        for _ in 0..3 {
            rig.advance(REPEAT_MS);
            let stops = rig.stops();
            assert_eq!(stops, vec![untracked.clone()], "after {reply:?}");
            rig.reply_to_stop(&untracked, reply);
        }
    }
}

/// Guards against a run of a job whose record is gone: nothing polls its idle worker, and nothing stops the run.
#[test]
fn verify_an_untracked_run_of_an_unknown_job_is_stopped_until_it_is_gone() {
    let mut rig = Rig::new(&[worker("w1", "r1")]);
    let untracked = run_of(OTHER_ID);
    rig.poll_reply("w1", vec![running(&untracked)], vec![]);
    rig.advance(20);
    assert_eq!(rig.stops(), vec![untracked.clone()]);
    rig.reply_to_stop(&untracked, OrderReply::Unknown);
    rig.advance(REPEAT_MS);
    assert_eq!(rig.stops(), vec![untracked.clone()]);
    let clock_ms = 100_000 + rig.now.0;
    rig.reply_to_stop(&untracked, OrderReply::Accepted { clock_ms });
    rig.advance(REPEAT_MS);
    assert!(polls_of(&mut rig, "w1") > 0, "the worker is polled");
    rig.poll_reply("w1", vec![], vec![ended(1, &untracked, EndKind::Stopped)]);
    rig.store_batches();
    rig.advance(REPEAT_MS);
    rig.poll_reply("w1", vec![], vec![]);
    rig.advance(REPEAT_MS);
    polls_of(&mut rig, "w1");
    rig.advance(2_000);
    assert_eq!(polls_of(&mut rig, "w1"), 0, "nothing is left to ask for");
    assert_eq!(rig.stops(), vec![]);
}

/// Guards against a run that is forgotten with its worker, whose entry has expired while it is up.
#[test]
fn verify_a_worker_with_an_untracked_run_is_not_forgotten_when_its_entry_is_removed() {
    let mut rig = rig_with_cancelled_job();
    let untracked = run_of(ID);
    rig.poll_reply("w1", vec![running(&untracked)], vec![]);
    rig.advance(20);
    assert_eq!(rig.stops(), vec![untracked.clone()]);
    rig.send(Event::WorkerRemoved(WorkerName::new("w1")));
    rig.reply_to_stop(&untracked, OrderReply::Unknown);
    rig.advance(REPEAT_MS);
    assert_eq!(rig.stops(), vec![untracked]);
}

/// Guards against endless orders to a worker that is gone together with its untracked run.
#[test]
fn verify_an_untracked_run_on_a_lost_worker_is_given_up() {
    let mut rig = rig_with_cancelled_job();
    let untracked = run_of(ID);
    rig.poll_reply("w1", vec![running(&untracked)], vec![]);
    rig.send(Event::WorkerRemoved(WorkerName::new("w1")));
    for _ in 0..60 {
        rig.advance(REPEAT_MS);
        for stop in rig.stops() {
            rig.reply_to_stop(&stop, OrderReply::Unknown);
        }
        if polls_of(&mut rig, "w1") > 0 {
            rig.poll_fails_with(&WorkerName::new("w1"), PollFailure::NoAnswer);
        }
    }
    assert_eq!(rig.coordinator.workers(), 0);
}

/// Guards against a run that a worker goes on with although it has confirmed its stop.
#[test]
fn verify_a_confirmed_stop_of_a_run_that_goes_on_is_sent_again() {
    let mut rig = Rig::new(&[worker("w1", "r1")]);
    rig.submit(ID, "middle", step(1, 4));
    let runs = rig.start_all();
    rig.send(Event::JobCancelled(JobId::new(ID)));
    rig.advance(20);
    assert_eq!(rig.stops(), runs);
    let clock_ms = 100_000 + rig.now.0;
    rig.reply_to_stop(&runs[0], OrderReply::Accepted { clock_ms });
    rig.advance(Limits::default().stop_ms.0 / 2);
    rig.poll_reply("w1", vec![running(&runs[0])], vec![]);
    rig.advance(20);
    assert_eq!(rig.stops(), vec![], "stopping takes a while");
    rig.advance(2_000);
    rig.poll_reply("w1", vec![running(&runs[0])], vec![]);
    rig.advance(REPEAT_MS);
    assert_eq!(rig.stops(), runs);
}

/// Guards against a run that no record names, in a term that begins without open jobs and polls nobody.
#[test]
fn verify_a_term_without_open_jobs_finds_the_run_of_an_ended_job() {
    let entries = [worker("w1", "r1"), worker("w2", "r1")];
    let cancelled = RecoveredJob {
        record: job(ID, "middle", vec![step(1, 4)]),
        progress: Some(JobProgress {
            phase: JobPhase::Cancelled,
            ..JobProgress::default()
        }),
        is_cancelled: true,
    };
    let mut coordinator = Coordinator::take_over(
        at(1_000),
        Limits::default(),
        desired(),
        vec![cancelled],
        entries.to_vec(),
    );
    let until = at(60_000).steady;
    let mut actions = coordinator.on_event(at(1_010), Event::LeaseExtended { until });
    actions.extend(coordinator.on_wakeup(at(1_060)));
    let is_polled =
        |action: &Action| matches!(action, Action::Poll { worker, .. } if worker.as_str() == "w1");
    assert!(actions.iter().any(is_polled), "each worker is polled once");
    let untracked = run_of(ID);
    let report = Event::PollReplied {
        worker: WorkerName::new("w1"),
        sent_at: at(1_060).steady,
        report: WorkerReport {
            clock_ms: 101_060,
            running: vec![running(&untracked)],
            ended: Vec::new(),
            has_more_ends: false,
        },
    };
    let actions = coordinator.on_event(at(1_070), report);
    let is_stopped =
        |action: &Action| matches!(action, Action::Stop { task, .. } if *task == untracked.1);
    assert!(actions.iter().any(is_stopped));
}

/// Guards against a run that nobody asks for on a worker whose entry had expired and is back.
#[test]
fn verify_a_worker_whose_entry_is_back_is_polled_before_it_is_relied_on() {
    let mut rig = Rig::new(&[worker("w1", "r1")]);
    rig.send(Event::WorkerRemoved(WorkerName::new("w1")));
    rig.advance(20);
    polls_of(&mut rig, "w1");
    rig.send(Event::WorkerUpdated(worker("w1", "r1")));
    rig.advance(20);
    assert_eq!(polls_of(&mut rig, "w1"), 1);
}

/// Guards against a successor that does not know of a run: its task was completed by an earlier run meanwhile.
#[test]
fn verify_a_run_that_outlives_its_task_is_recorded_until_it_has_stopped() {
    let entries = [worker("w1", "r1"), worker("w2", "r1")];
    let mut rig = Rig::new(&entries);
    rig.submit(ID, "middle", step(2, 8));
    let first = rig.start_all();
    assert_eq!(first.len(), 2);
    let (lost, kept) = (&first[0], &first[1]);
    // The worker of the first run is out of reach until every lease there has ended.
    for _ in 0..50 {
        rig.advance(REPEAT_MS);
        rig.poll_fails(&lost.0);
        rig.poll_reply(kept.0.as_str(), vec![running(kept)], vec![]);
    }
    rig.poll_reply(kept.0.as_str(), vec![], vec![ended(1, kept, EndKind::Done)]);
    rig.store_batches();
    let second = rig.start_all();
    assert_eq!(second.len(), 1, "the lost task starts again");
    rig.poll_reply(lost.0.as_str(), vec![], vec![ended(1, lost, EndKind::Done)]);
    rig.advance(20);
    let records = rig.store_batches();
    let (_, progress) = records.last().expect("the completion is stored");
    let superseded = progress
        .tasks
        .iter()
        .find(|task| task.index == second[0].1.index);
    let worker = superseded.and_then(|task| task.worker.clone());
    assert_eq!(worker, Some(second[0].0.clone()));
    let stopped = ended(2, &second[0], EndKind::Stopped);
    rig.poll_reply(second[0].0.as_str(), vec![], vec![stopped]);
    rig.advance(20);
    let records = rig.store_batches();
    let (_, progress) = records.last().expect("the end is stored");
    assert!(progress.tasks.iter().all(|task| task.worker.is_none()));
}

/// Guards against a successor that lets the recorded run of a completed task go on.
#[test]
fn verify_a_successor_stops_the_recorded_run_of_a_completed_task() {
    let done = TaskProgress {
        occurrence: 0,
        step: 0,
        index: 0,
        last_run: 2,
        failures: 0,
        abandoned_runs: Vec::new(),
        crashes: 0,
        crash_age_ms: None,
        crash_run: 0,
        is_done: true,
        worker: Some(WorkerName::new("w1")),
        checkpoint: "".into(),
    };
    let recovered = RecoveredJob {
        record: job(ID, "middle", vec![step(2, 8)]),
        progress: Some(JobProgress {
            phase: JobPhase::Running,
            tasks: vec![done],
            ..JobProgress::default()
        }),
        is_cancelled: false,
    };
    let mut rig = Rig::take_over(1_000, vec![recovered], &[worker("w1", "r1")]);
    rig.advance(20);
    let (_, task, _) = run_of(ID);
    assert_eq!(rig.stops(), vec![(WorkerName::new("w1"), task, 2)]);
}
