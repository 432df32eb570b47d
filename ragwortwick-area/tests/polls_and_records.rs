//! Polls, repeated orders and records of runs, in unusual orders of events.

mod rig;

use std::sync::Arc;

use ragwortwick_area::{
    Action, Coordinator, EndKind, Event, Limits, OrderReply, PollFailure, RecoveredJob, TaskId,
    WorkerEntry, WorkerReport,
};
use ragwortwick_core::{JobId, PoolName, TimeMs, WorkerName};
use rig::{Rig, at, desired, ended, gang, job, running, step, worker};

const ID: &str = "00000000000000d1";

type Run = (WorkerName, TaskId, u32);

fn untracked_run() -> Run {
    let task = TaskId {
        job_id: JobId::new(ID),
        occurrence: 0,
        step: 0,
        index: 0,
    };
    (WorkerName::new("w1"), task, 7)
}

fn polls(rig: &mut Rig) -> usize {
    let polls = rig.take(|action| matches!(action, Action::Poll { .. }).then_some(()));
    polls.len()
}

fn late_reply(rig: &mut Rig, sent_at: TimeMs, runs: &[Run]) {
    let report = WorkerReport {
        clock_ms: 100_000 + rig.now.0,
        running: runs.iter().map(running).collect(),
        ended: Vec::new(),
        has_more_ends: false,
    };
    rig.send(Event::PollReplied {
        worker: WorkerName::new("w1"),
        sent_at,
        report,
    });
}

/// A worker's entry expires while an untracked run is being stopped. The run ends, and the worker never
/// returns. If it stayed known, the area would collect the workers of every wave.
#[test]
fn verify_an_unlisted_worker_is_forgotten_once_its_untracked_run_is_gone() {
    let mut rig = Rig::new(&[worker("w1", "r1"), worker("w2", "r1")]);
    let run = untracked_run();
    rig.poll_reply("w1", vec![running(&run)], vec![]);
    rig.send(Event::WorkerRemoved(WorkerName::new("w1")));
    rig.advance(20);
    rig.poll_reply("w1", vec![], vec![ended(1, &run, EndKind::Stopped)]);
    for _ in 0..50 {
        rig.advance(400);
        rig.store_batches();
        if polls(&mut rig) > 0 {
            rig.poll_reply("w1", vec![], vec![]);
        }
    }
    assert_eq!(rig.coordinator.workers(), 1);
}

/// The same for the last run that has an allocation.
#[test]
fn verify_an_unlisted_worker_is_forgotten_once_its_last_run_has_ended() {
    let mut rig = Rig::new(&[worker("w1", "r1")]);
    rig.submit(ID, "middle", step(1, 4));
    let runs = rig.start_all();
    rig.send(Event::WorkerRemoved(WorkerName::new("w1")));
    rig.poll_reply("w1", vec![], vec![ended(1, &runs[0], EndKind::Done)]);
    for _ in 0..50 {
        rig.advance(400);
        rig.store_batches();
        if polls(&mut rig) > 0 {
            rig.poll_reply("w1", vec![], vec![]);
        }
    }
    assert_eq!(rig.coordinator.workers(), 0);
}

/// Another incarnation answers a poll. If the earlier one stayed known, each crash would leave a worker behind.
#[test]
fn verify_a_worker_is_forgotten_once_another_incarnation_has_answered_its_poll() {
    let mut rig = Rig::new(&[worker("w1", "r1")]);
    rig.submit(ID, "middle", step(1, 4));
    rig.start_all();
    rig.advance(100);
    assert!(polls(&mut rig) > 0, "a poll is in flight");
    rig.poll_fails_with(&WorkerName::new("w1"), PollFailure::WrongLife);
    rig.send(Event::WorkerRemoved(WorkerName::new("w1")));
    rig.advance(1_000);
    assert_eq!(rig.coordinator.workers(), 0);
}

/// A worker's entry expires and is back while a poll is in flight. If a second poll were sent, its reply could list
/// a run that began late and overtake the first reply, which would hide the run.
#[test]
fn verify_no_report_can_overtake_another_and_hide_an_untracked_run() {
    let mut rig = Rig::new(&[worker("w1", "r1")]);
    let run = untracked_run();
    rig.advance(20);
    polls(&mut rig);
    rig.poll_fails(&WorkerName::new("w1"));
    rig.advance(1_100);
    assert_eq!(polls(&mut rig), 1, "the first poll");
    let first_sent_at = rig.now;
    rig.send(Event::WorkerRemoved(WorkerName::new("w1")));
    rig.send(Event::WorkerUpdated(worker("w1", "r1")));
    rig.advance(2_000);
    assert_eq!(
        polls(&mut rig),
        0,
        "no second poll while the first is in flight"
    );
    late_reply(&mut rig, first_sent_at, &[]);
    rig.advance(20);
    assert_eq!(polls(&mut rig), 0, "the worker has replied and is idle");
    rig.poll_reply("w1", vec![running(&run)], vec![]);
    rig.advance(20);
    assert_eq!(rig.stops(), vec![run.clone()]);
    rig.reply_to_stop(&run, OrderReply::Unknown);
    rig.advance(1_000);
    assert_eq!(rig.stops(), vec![run], "nobody takes care of the run");
}

/// A worker's entry expires and is back while a poll is in flight. If the first reply counted as that of the
/// second poll, two polls would be in flight from then on, for as long as the worker has runs.
#[test]
fn verify_a_worker_whose_entry_is_back_has_one_poll_in_flight() {
    let mut rig = Rig::new(&[worker("w1", "r1")]);
    // A poll that acknowledges the end of an earlier run is in flight.
    rig.submit(ID, "middle", step(1, 1));
    let runs = rig.start_all();
    rig.advance(20);
    polls(&mut rig);
    rig.poll_reply("w1", vec![], vec![ended(1, &runs[0], EndKind::Done)]);
    rig.advance(100);
    rig.store_batches();
    rig.advance(100);
    let mut in_flight = polls(&mut rig);
    assert_eq!(in_flight, 1);
    let first_sent_at = rig.now;
    rig.send(Event::WorkerRemoved(WorkerName::new("w1")));
    rig.send(Event::WorkerUpdated(worker("w1", "r1")));
    rig.advance(20);
    in_flight += polls(&mut rig);
    late_reply(&mut rig, first_sent_at, &[]);
    in_flight -= 1;
    let id = "00000000000000d2";
    rig.submit(id, "middle", step(1, 1));
    let runs = rig.start_all();
    assert_eq!(runs.len(), 1);
    let mut most = 0;
    for _ in 0..20 {
        rig.advance(50);
        in_flight += polls(&mut rig);
        most = most.max(in_flight);
        rig.poll_reply("w1", vec![running(&runs[0])], vec![]);
        in_flight -= 1;
    }
    assert_eq!(most, 1, "polls in flight to one worker");
}

/// A member of a gang completes, which completes the gang. The run of the other member has not ended. If the
/// coordinator ends now, its successor must find the run in the record.
#[test]
fn verify_the_other_runs_of_a_completed_gang_are_recorded_until_they_have_ended() {
    let mut rig = Rig::new(&[worker("w1", "r1"), worker("w2", "r1")]);
    let steps = vec![gang(2, 8), step(1, 1)];
    rig.send(Event::JobAccepted(job(ID, "middle", steps)));
    let runs = rig.start_all();
    assert_eq!(runs.len(), 2);
    let first = runs[0].0.as_str().to_owned();
    rig.poll_reply(&first, vec![], vec![ended(1, &runs[0], EndKind::Done)]);
    rig.advance(20);
    let records = rig.store_batches();
    let (_, progress) = records.last().expect("the completion is stored");
    let other = progress
        .tasks
        .iter()
        .find(|task| task.step == 0 && task.index == runs[1].1.index);
    let recorded = other.and_then(|task| task.worker.clone());
    assert_eq!(recorded, Some(runs[1].0.clone()));
}

/// A start order is repeated to a worker that is out of reach. If each repeat counted as another lease, the
/// task could start elsewhere only once the partition has ended.
#[test]
fn verify_repeated_starts_do_not_hold_a_task_on_an_unreachable_worker() {
    let mut rig = Rig::new(&[worker("w1", "r1")]);
    rig.submit(ID, "middle", step(1, 4));
    rig.advance(20);
    rig.store_batches();
    let mut starts = rig.starts();
    assert_eq!(starts.len(), 1);
    rig.send(Event::WorkerUpdated(worker("w2", "r1")));
    rig.poll_reply("w2", vec![], vec![]);
    for _ in 0..60 {
        for start in std::mem::take(&mut starts) {
            if start.0.as_str() == "w2" {
                return;
            }
            rig.reply(&start, OrderReply::Unknown);
        }
        rig.poll_fails(&WorkerName::new("w1"));
        rig.advance(500);
        rig.store_batches();
        starts = rig.starts();
    }
    panic!("the task is bound to the unreachable worker for 30 s");
}

/// An entry of another writer names a service that the area doesn't use, and nobody answers at its address. It
/// would be polled each second for as long as the entry exists, with a line in the log each time.
#[test]
fn verify_a_worker_of_a_pool_without_queues_is_not_polled() {
    let foreign = WorkerEntry {
        pool: PoolName::new("not-of-this-area"),
        ..worker("foreign", "r1")
    };
    let mut rig = Rig::new(&[worker("w1", "r1")]);
    rig.advance(100);
    polls(&mut rig);
    rig.send(Event::WorkerUpdated(foreign));
    let mut count = 0;
    for _ in 0..30 {
        rig.advance(1_000);
        let sent = polls(&mut rig);
        count += sent;
        if sent > 0 {
            rig.poll_fails(&WorkerName::new("foreign"));
        }
    }
    assert_eq!(count, 0, "polls in 30 s");
}

/// All entries have expired while the store was down, and they are back. An urgent job arrives before the idle
/// worker has replied to its first poll. Work would be stopped for it although the idle worker has room.
#[test]
fn verify_nothing_is_preempted_while_an_idle_worker_has_not_replied_to_its_first_poll() {
    let entries = [worker("w1", "r1"), worker("w2", "r1")];
    let mut rig = Rig::new(&entries);
    rig.submit(ID, "patient", step(1, 8));
    let runs = rig.start_all();
    assert_eq!(runs.len(), 1);
    rig.advance(3_000);
    for entry in &entries {
        rig.send(Event::WorkerRemoved(entry.name.clone()));
    }
    for entry in &entries {
        rig.send(Event::WorkerUpdated(entry.clone()));
    }
    rig.submit("00000000000000d2", "urgent", step(1, 8));
    rig.advance(60);
    rig.store_batches();
    assert_eq!(
        rig.stops(),
        vec![],
        "the run on the other worker is stopped"
    );
}

/// A new coordinator recovers low-priority work, and an urgent job waits. The busy worker replies to its first
/// poll before the idle one. Work would be stopped although the idle worker has room.
#[test]
fn verify_a_takeover_preempts_nothing_before_idle_workers_have_replied() {
    let entries = [worker("w1", "r1"), worker("w2", "r1")];
    let record = job(ID, "patient", vec![step(1, 8)]);
    let mut rig = Rig::new(&entries);
    rig.send(Event::JobAccepted(Arc::clone(&record)));
    rig.advance(20);
    let (_, progress) = rig.store_batches().pop().expect("the start is recorded");
    let start = rig.starts().pop().expect("the task starts");
    let patient = RecoveredJob {
        record,
        progress: Some(progress),
        is_cancelled: false,
    };
    let urgent = RecoveredJob {
        record: job("00000000000000d2", "urgent", vec![step(1, 8)]),
        progress: None,
        is_cancelled: false,
    };
    let now = at(10_000);
    let jobs = vec![patient, urgent];
    let mut next =
        Coordinator::take_over(now, Limits::default(), desired(), jobs, entries.to_vec());
    let mut actions = next.on_event(
        now,
        Event::LeaseExtended {
            until: TimeMs(60_000),
        },
    );
    let confirmed = Event::EvacuationsConfirmed {
        zones: Arc::default(),
        as_of: now.steady,
    };
    actions.extend(next.on_event(now, confirmed));
    let report = Event::PollReplied {
        worker: start.0.clone(),
        sent_at: now.steady,
        report: WorkerReport {
            clock_ms: 110_000,
            running: vec![running(&start)],
            ended: Vec::new(),
            has_more_ends: false,
        },
    };
    actions.extend(next.on_event(at(10_005), report));
    for ms in 1..5 {
        actions.extend(next.on_wakeup(at(10_005 + 10 * ms)));
    }
    let is_stop = |action: &Action| matches!(action, Action::Stop { .. });
    assert!(!actions.iter().any(is_stop), "{actions:?}");
}
