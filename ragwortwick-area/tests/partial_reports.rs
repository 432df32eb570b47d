//! Workers that list their run ends in parts, because more have ended than one reply holds.

mod rig;

use std::collections::BTreeSet;
use std::sync::Arc;

use ragwortwick_area::{
    Action, EndKind, EndedTask, Event, JobPhase, OrderReply, PollFailure, RecoveredJob,
    RefusalCause, Resources, StepSpec, TaskId, WorkerEntry,
};
use ragwortwick_core::{DurationMs, JobId, WorkerName};
use rig::{ATTEMPTS, Rig, ended, gang, job, running, step, worker};

const ID: &str = "00000000000000e5";

/// Number of run ends in one part.
const PART: usize = 500;

/// Tasks that fit on one worker at once, and more than one reply lists.
const MANY_TASKS: u32 = 1_250;

type Run = (WorkerName, TaskId, u32);

fn small_tasks(count: u32) -> StepSpec {
    StepSpec {
        need: Resources {
            cpu_millis: 25,
            memory_mb: 50,
            accelerators: 0,
        },
        ..step(count, 0)
    }
}

fn phase(rig: &Rig) -> Option<JobPhase> {
    rig.coordinator.phase(&JobId::new(ID))
}

/// The ends of all runs, in parts as the worker lists them.
fn parts_of(runs: &[Run], kind: EndKind) -> Vec<Vec<EndedTask>> {
    let ends = (1..).zip(runs);
    let ends: Vec<_> = ends
        .map(|(sequence, run)| ended(sequence, run, kind))
        .collect();
    ends.chunks(PART).map(<[_]>::to_vec).collect()
}

/// Lets passes and writes to the store happen, as between two polls; returns the starts that are sent.
fn settle(rig: &mut Rig) -> Vec<Run> {
    let mut starts = Vec::new();
    for _ in 0..5 {
        rig.advance(20);
        rig.store_batches();
        starts.extend(rig.starts());
    }
    starts
}

/// Lists the parts one after the other; returns the starts that are sent meanwhile.
fn list_parts(rig: &mut Rig, parts: &[Vec<EndedTask>]) -> Vec<Run> {
    let mut starts = Vec::new();
    for (number, part) in parts.iter().enumerate() {
        if number + 1 < parts.len() {
            rig.partial_reply("w1", vec![], part.clone());
        } else {
            rig.poll_reply("w1", vec![], part.clone());
        }
        starts.extend(settle(rig));
    }
    starts
}

/// A worker that runs a job's many tasks, and was out of touch while they ended.
fn with_many_runs(workers: &[WorkerEntry]) -> (Rig, Vec<Run>) {
    let mut rig = Rig::new(workers);
    rig.submit(ID, "middle", small_tasks(MANY_TASKS));
    let runs = rig.start_all();
    assert_eq!(runs.len(), MANY_TASKS as usize);
    rig.poll_fails(&runs[0].0);
    rig.advance(5_000);
    (rig, runs)
}

/// Keeps a worker out of reach until its runs are abandoned.
fn keep_out_of_reach(rig: &mut Rig, worker: &WorkerName) {
    for _ in 0..15 {
        rig.poll_fails(worker);
        rig.advance(1_000);
    }
}

/// Acknowledgements in the polls that were sent.
fn acked_ends(rig: &mut Rig) -> Vec<u64> {
    rig.take(|action| match action {
        Action::Poll { acked_end, .. } => Some(*acked_end),
        _ => None,
    })
}

/// Tasks whose end is in a later part must not be started again: they have completed.
#[test]
fn verify_a_completion_that_is_not_listed_yet_is_not_run_again() {
    let (mut rig, runs) = with_many_runs(&[worker("w1", "r1"), worker("w2", "r1")]);
    let parts = parts_of(&runs, EndKind::Done);
    assert_eq!(parts.len(), 3);
    assert_eq!(list_parts(&mut rig, &parts), vec![]);
    assert_eq!(phase(&rig), Some(JobPhase::Completed));
}

/// The next part is asked for as soon as the effect of the one before is stored, and not sooner.
#[test]
fn verify_each_part_is_acknowledged_once_it_is_stored() {
    let (mut rig, runs) = with_many_runs(&[worker("w1", "r1")]);
    let parts = parts_of(&runs, EndKind::Done);
    acked_ends(&mut rig);
    rig.partial_reply("w1", vec![], parts[0].clone());
    rig.advance(300);
    assert!(acked_ends(&mut rig).is_empty(), "nothing is stored");
    rig.store_batches();
    rig.advance(20);
    assert_eq!(acked_ends(&mut rig), vec![PART as u64]);
}

/// A poll without a reply between two parts tells nothing about the runs of the later part.
#[test]
fn verify_a_poll_that_is_lost_between_two_parts_restarts_nothing() {
    let (mut rig, runs) = with_many_runs(&[worker("w1", "r1"), worker("w2", "r1")]);
    let parts = parts_of(&runs, EndKind::Done);
    let mut starts = Vec::new();
    for part in &parts[..2] {
        rig.partial_reply("w1", vec![], part.clone());
        starts.extend(settle(&mut rig));
        rig.poll_fails(&runs[0].0);
        starts.extend(settle(&mut rig));
        // The acknowledgement was lost with the poll, so the same ends are listed again.
        rig.partial_reply("w1", vec![], part.clone());
        starts.extend(settle(&mut rig));
    }
    starts.extend(list_parts(&mut rig, &parts[2..]));
    assert_eq!(starts, vec![]);
    assert_eq!(phase(&rig), Some(JobPhase::Completed));
}

/// The coordinator is killed after each part that it has stored; its successor knows the rest from the records
/// alone, and takes none of it for lost.
#[test]
fn verify_a_coordinator_killed_between_two_parts_restarts_nothing() {
    let workers = [worker("w1", "r1"), worker("w2", "r1")];
    let record = job(ID, "middle", vec![small_tasks(MANY_TASKS)]);
    let mut rig = Rig::new(&workers);
    rig.send(Event::JobAccepted(Arc::clone(&record)));
    rig.advance(20);
    let mut stored = rig.store_batches().pop().expect("the starts are recorded");
    let runs = rig.starts();
    let parts = parts_of(&runs, EndKind::Done);
    for (number, part) in parts.iter().enumerate() {
        let recovered = RecoveredJob {
            record: Arc::clone(&record),
            progress: Some(stored.1.clone()),
            is_cancelled: false,
        };
        let ms = 10_000 * (number as u64 + 1);
        rig = Rig::take_over(ms, vec![recovered], &workers);
        let has_more = number + 1 < parts.len();
        if has_more {
            rig.partial_reply("w1", vec![], part.clone());
        } else {
            rig.poll_reply("w1", vec![], part.clone());
        }
        rig.advance(100);
        stored = rig.store_batches().pop().expect("the ends are recorded");
        assert_eq!(rig.starts(), vec![], "part {number}");
    }
    assert_eq!(phase(&rig), Some(JobPhase::Completed));
}

/// A confirmed stop shows that a run is over, not that it has not completed before.
#[test]
fn verify_a_stopped_run_that_had_completed_is_not_run_again() {
    let (mut rig, runs) = with_many_runs(&[worker("w1", "r1"), worker("w2", "r1")]);
    rig.poll_reply("w1", runs.iter().map(running).collect(), vec![]);
    rig.send(Event::WorkerUpdated(WorkerEntry {
        is_draining: true,
        remaining_ms: Some(DurationMs(100)),
        ..worker("w1", "r1")
    }));
    rig.advance(20);
    let stops = rig.stops();
    assert_eq!(stops.len(), runs.len());
    for stop in &stops {
        rig.reply_to_stop(stop, OrderReply::Refused(RefusalCause::StaleRun));
    }
    rig.advance(10);
    let parts = parts_of(&runs, EndKind::Done);
    assert_eq!(list_parts(&mut rig, &parts), vec![]);
    assert_eq!(phase(&rig), Some(JobPhase::Completed));
}

/// A start order whose reply was lost is refused as stale because its run has ended; the end may be in a later part.
#[test]
fn verify_a_start_that_is_refused_as_stale_awaits_the_end_of_its_run() {
    let mut rig = Rig::new(&[worker("w1", "r1"), worker("w2", "r1")]);
    rig.submit(ID, "middle", step(2, 4));
    rig.advance(20);
    rig.store_batches();
    let starts = rig.starts();
    rig.reply(&starts[0], OrderReply::Unknown);
    rig.accept(&starts[1]);
    rig.advance(200);
    let repeated = rig.starts();
    assert_eq!(repeated, vec![starts[0].clone()]);
    rig.reply(&repeated[0], OrderReply::Refused(RefusalCause::StaleRun));
    rig.advance(20);
    let name = starts[0].0.as_str().to_owned();
    rig.partial_reply(&name, vec![], vec![ended(1, &starts[1], EndKind::Done)]);
    assert_eq!(settle(&mut rig), vec![]);
    rig.poll_reply(&name, vec![], vec![ended(2, &starts[0], EndKind::Done)]);
    assert_eq!(settle(&mut rig), vec![]);
    assert_eq!(phase(&rig), Some(JobPhase::Completed));
}

/// A failed run whose end is in a later part counts as an attempt; otherwise its task starts more often than allowed.
#[test]
fn verify_a_failure_that_is_not_listed_yet_counts_as_an_attempt() {
    let mut rig = Rig::new(&[worker("w1", "r1")]);
    rig.submit(ID, "middle", step(2, 4));
    let mut sequence = 0;
    for attempt in 1..=ATTEMPTS {
        let runs = rig.start_all();
        assert_eq!(runs.len(), if attempt == 1 { 2 } else { 1 });
        let failed = runs.iter().find(|run| run.1.index == 0);
        let failed = failed.expect("the failing task has started");
        let first = runs.iter().find(|run| run.1.index == 1);
        let ends = first.map(|run| ended(sequence + 1, run, EndKind::Done));
        rig.advance(10);
        rig.partial_reply("w1", vec![], ends.into_iter().collect());
        assert_eq!(settle(&mut rig), vec![]);
        sequence += 2;
        rig.poll_reply("w1", vec![], vec![ended(sequence, failed, EndKind::Failed)]);
        // Two failures in a row make the worker a suspect for some seconds.
        rig.advance(10);
        rig.store_batches();
        if attempt < ATTEMPTS {
            rig.advance(6_100);
        }
    }
    assert_eq!(phase(&rig), Some(JobPhase::Failed));
}

/// A gang's failed run counts as an attempt also if the member that failed is listed after those that it broke.
#[test]
fn verify_a_gang_failure_that_is_not_listed_yet_counts_as_an_attempt() {
    let workers: Vec<_> = (0..8).map(|n| worker(&format!("w{n}"), "r1")).collect();
    let mut rig = Rig::new(&workers);
    rig.submit(ID, "middle", gang(2, 4));
    for attempt in 1..=ATTEMPTS {
        let runs = rig.start_all();
        assert_eq!(runs.len(), 2, "attempt {attempt}");
        let name = runs[0].0.as_str().to_owned();
        assert_eq!(runs[1].0, runs[0].0);
        rig.advance(10);
        let number = u64::from(attempt) * 2;
        let broken = ended(number, &runs[0], EndKind::GangBroken);
        rig.partial_reply(&name, vec![], vec![broken]);
        assert_eq!(settle(&mut rig), vec![]);
        for stop in rig.stops() {
            rig.reply_to_stop(&stop, OrderReply::Refused(RefusalCause::StaleRun));
        }
        rig.advance(10);
        rig.partial_reply(&name, vec![], vec![]);
        assert_eq!(settle(&mut rig), vec![]);
        let failed = ended(number + 1, &runs[1], EndKind::Failed);
        rig.poll_reply(&name, vec![], vec![failed]);
    }
    assert_eq!(settle(&mut rig), vec![]);
    assert_eq!(phase(&rig), Some(JobPhase::Failed));
}

/// A gang of which no end is listed yet may have completed; the end of one member in a later part shows it.
#[test]
fn verify_a_gang_whose_completion_is_not_listed_yet_is_not_run_again() {
    let mut rig = Rig::new(&[worker("w1", "r1"), worker("w2", "r1")]);
    rig.submit(ID, "middle", gang(4, 2));
    let runs = rig.start_all();
    let name = runs[0].0.as_str().to_owned();
    assert!(runs.iter().all(|run| run.0 == runs[0].0));
    rig.advance(10);
    rig.partial_reply(&name, vec![], vec![]);
    assert_eq!(settle(&mut rig), vec![]);
    assert_eq!(rig.stops(), vec![]);
    rig.poll_reply(&name, vec![], vec![ended(7, &runs[3], EndKind::Done)]);
    assert_eq!(settle(&mut rig), vec![]);
    assert_eq!(phase(&rig), Some(JobPhase::Completed));
}

/// The checkpoint that a stopped run saved is in the part that lists its end; the next run resumes from it.
#[test]
fn verify_a_checkpoint_that_is_not_listed_yet_is_not_lost() {
    let mut rig = Rig::new(&[worker("w1", "r1"), worker("w2", "r1")]);
    let spec = StepSpec {
        saves_checkpoints: true,
        ..step(1, 8)
    };
    rig.submit(ID, "middle", spec);
    let runs = rig.start_all();
    let name = runs[0].0.as_str().to_owned();
    rig.send(Event::WorkerUpdated(WorkerEntry {
        is_draining: true,
        remaining_ms: Some(DurationMs(100)),
        ..worker(&name, "r1")
    }));
    rig.advance(20);
    let stops = rig.stops();
    rig.reply_to_stop(&stops[0], OrderReply::Accepted { clock_ms: 101_200 });
    rig.advance(200);
    rig.partial_reply(&name, vec![], vec![]);
    assert_eq!(settle(&mut rig), vec![], "resumes from the start");
    let stopped = EndedTask {
        checkpoint: "saved at the stop".into(),
        ..ended(1, &runs[0], EndKind::Stopped)
    };
    rig.poll_reply(&name, vec![], vec![stopped]);
    rig.advance(20);
    rig.store_batches();
    let checkpoints = rig.take(|action| match action {
        Action::Start { checkpoint, .. } => Some(checkpoint.to_string()),
        _ => None,
    });
    assert_eq!(checkpoints, vec!["saved at the stop"]);
}

/// The worker crashes between two parts: its unlisted ends are gone, and each of their tasks runs once more.
#[test]
fn verify_a_worker_that_crashes_between_two_parts_loses_the_rest_once() {
    let (mut rig, runs) = with_many_runs(&[worker("w1", "r1"), worker("w2", "r1")]);
    let parts = parts_of(&runs, EndKind::Done);
    rig.partial_reply("w1", vec![], parts[0].clone());
    assert_eq!(settle(&mut rig), vec![]);
    rig.poll_fails_with(&runs[0].0, PollFailure::WrongLife);
    rig.send(Event::WorkerRemoved(runs[0].0.clone()));
    let restarted = settle(&mut rig);
    let tasks: BTreeSet<_> = restarted.iter().map(|start| &start.1).collect();
    assert_eq!(restarted.len(), MANY_TASKS as usize - PART);
    assert_eq!(tasks.len(), restarted.len());
    assert!(restarted.iter().all(|start| start.0.as_str() == "w2"));
    assert_eq!(rig.coordinator.workers(), 1);
}

/// A run that never began has no end; its task starts again once the worker has listed all ends.
#[test]
fn verify_a_run_without_an_end_is_started_again_once_all_ends_are_listed() {
    let (mut rig, runs) = with_many_runs(&[worker("w1", "r1"), worker("w2", "r1")]);
    let (lost, others) = runs.split_last().expect("there are runs");
    let parts = parts_of(others, EndKind::Done);
    assert_eq!(list_parts(&mut rig, &parts), vec![]);
    assert_eq!(rig.settle_stops(), vec![lost.clone()]);
    let starts = settle(&mut rig);
    assert_eq!(starts.len(), 1);
    assert_eq!((&starts[0].1, starts[0].2), (&lost.1, 2));
}

/// While a completion may not be acknowledged, its worker lists the same part again and again. The later run of the
/// task, on the same worker, must count as over nevertheless: nothing else releases the completion.
#[test]
fn verify_a_superseded_run_ends_without_a_whole_list() {
    let mut rig = Rig::new(&[worker("w1", "r1")]);
    rig.submit(ID, "middle", step(1, 4));
    let first = rig.start_all().remove(0);
    keep_out_of_reach(&mut rig, &first.0);
    rig.poll_reply("w1", vec![], vec![]);
    let second = rig.start_all().remove(0);
    assert_eq!((second.0.as_str(), second.2), ("w1", 2));
    rig.advance(10);
    let part = vec![ended(1, &first, EndKind::Done)];
    rig.partial_reply("w1", vec![running(&second)], part.clone());
    rig.advance(20);
    rig.store_batches();
    assert_eq!(rig.stops(), vec![second.clone()]);
    rig.reply_to_stop(&second, OrderReply::Accepted { clock_ms: 120_000 });
    acked_ends(&mut rig);
    rig.advance(1_200);
    assert_eq!(acked_ends(&mut rig), vec![0], "the completion is held");
    rig.partial_reply("w1", vec![], part);
    rig.advance(20);
    rig.store_batches();
    rig.advance(1_200);
    assert_eq!(acked_ends(&mut rig), vec![1], "the later run is over");
    assert_eq!(phase(&rig), Some(JobPhase::Completed));
}

/// The capacity of a run is kept until its end is listed, so that nothing starts in its place too early.
#[test]
fn verify_a_run_keeps_its_capacity_until_its_end_is_listed() {
    let mut rig = Rig::new(&[worker("w1", "r1")]);
    rig.submit(ID, "middle", step(2, 4));
    let runs = rig.start_all();
    rig.advance(10);
    rig.submit("00000000000000e6", "middle", step(1, 8));
    rig.partial_reply("w1", vec![], vec![ended(1, &runs[0], EndKind::Done)]);
    assert_eq!(settle(&mut rig), vec![]);
    rig.poll_reply("w1", vec![], vec![ended(2, &runs[1], EndKind::Done)]);
    let starts = settle(&mut rig);
    assert_eq!(starts.len(), 1);
    assert_eq!(starts[0].1.job_id, JobId::new("00000000000000e6"));
}

/// Runs that were abandoned may have completed before their leases ended; their tasks are not started, by the same
/// coordinator or the next one, before the worker that is back has listed all ends.
#[test]
fn verify_an_abandoned_run_whose_end_is_not_listed_yet_is_not_run_again() {
    for is_taken_over in [false, true] {
        for spec in [step(2, 4), gang(2, 4)] {
            let record = job(ID, "middle", vec![spec]);
            let mut rig = Rig::new(&[worker("w1", "r1")]);
            rig.send(Event::JobAccepted(Arc::clone(&record)));
            let runs = rig.start_all();
            assert_eq!(runs.len(), 2);
            keep_out_of_reach(&mut rig, &runs[0].0);
            let stored = rig.store_batches().pop().expect("the loss is recorded");
            if is_taken_over {
                let recovered = RecoveredJob {
                    record,
                    progress: Some(stored.1),
                    is_cancelled: false,
                };
                let workers = [worker("w1", "r1")];
                rig = Rig::take_over_unpolled(20_000, vec![recovered], &workers);
            }
            rig.partial_reply("w1", vec![], vec![]);
            rig.list_worker(&worker("w2", "r1"));
            assert_eq!(settle(&mut rig), vec![]);
            let parts = parts_of(&runs, EndKind::Done);
            assert_eq!(list_parts(&mut rig, &parts), vec![]);
            assert_eq!(phase(&rig), Some(JobPhase::Completed));
        }
    }
}

/// A worker that is lost again while it lists its ends keeps no task waiting.
#[test]
fn verify_an_abandoned_task_starts_elsewhere_if_its_worker_is_lost_again() {
    let mut rig = Rig::new(&[worker("w1", "r1")]);
    rig.submit(ID, "middle", step(2, 4));
    let runs = rig.start_all();
    keep_out_of_reach(&mut rig, &runs[0].0);
    rig.partial_reply("w1", vec![], vec![]);
    rig.list_worker(&worker("w2", "r1"));
    assert_eq!(settle(&mut rig), vec![]);
    rig.poll_fails(&runs[0].0);
    let starts = settle(&mut rig);
    assert_eq!(starts.len(), 2);
    assert!(starts.iter().all(|start| start.0.as_str() == "w2"));
}

/// A worker that always has more ends than one reply holds delays abandoned tasks no longer once it has listed all.
#[test]
fn verify_a_busy_worker_does_not_hold_abandoned_tasks_back() {
    let mut rig = Rig::new(&[worker("w1", "r1"), worker("w2", "r1")]);
    rig.submit(ID, "middle", step(2, 4));
    let runs = rig.start_all();
    let lost = runs[0].0.as_str().to_owned();
    let other = if lost == "w1" { "w2" } else { "w1" };
    rig.poll_reply(other, vec![], vec![]);
    for _ in 0..15 {
        rig.poll_fails(&runs[0].0);
        rig.partial_reply(other, vec![], vec![]);
        rig.advance(1_000);
    }
    assert_eq!(settle(&mut rig).len(), 2);
}

/// A worker that restarts under its identity while it lists its ends has none of them any more, and keeps no task
/// waiting for them.
#[test]
fn verify_an_abandoned_task_starts_if_its_worker_restarts_before_it_has_listed_all_ends() {
    let first = WorkerEntry {
        name: WorkerName::of_incarnation("w1", Some(1)),
        ..worker("w1", "r1")
    };
    let mut rig = Rig::new(std::slice::from_ref(&first));
    rig.submit(ID, "middle", step(2, 4));
    let runs = rig.start_all();
    keep_out_of_reach(&mut rig, &runs[0].0);
    rig.partial_reply(first.name.as_str(), vec![], vec![]);
    assert_eq!(settle(&mut rig), vec![]);
    rig.poll_fails_with(&first.name, PollFailure::Restarted);
    rig.list_worker(&WorkerEntry {
        name: WorkerName::of_incarnation("w1", Some(2)),
        ..worker("w1", "r1")
    });
    assert_eq!(settle(&mut rig).len(), 2);
}
