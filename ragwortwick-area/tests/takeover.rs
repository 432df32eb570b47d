//! Recovery of jobs and runs by a new coordinator, and the storing of runs and run ends that it relies on.

mod rig;

use std::sync::Arc;

use ragwortwick_area::{
    Action, EndKind, Event, OrderReply, PollFailure, RecoveredJob, RefusalCause, RunResult,
    RunResultKind, TaskId, WorkerEntry,
};
use ragwortwick_core::{JobId, WorkerName};
use rig::{ATTEMPTS, Rig, STOPPED_AFTER_MS, ended, gang, job, running, step, worker};

/// A gang member fails, its run end is stored and acknowledged, and the coordinator crashes before the
/// other member has ended. If the failed run were not counted, the gang would start once more than its
/// queue allows.
#[test]
fn verify_failing_run_of_a_gang_counts_across_a_takeover() {
    // Enough workers that none is presumed faulty because of the failures of this one job.
    let workers: Vec<_> = (0..8).map(|n| worker(&format!("w{n}"), "r1")).collect();
    let record = job("00000000000000aa", "middle", vec![gang(2, 8)]);
    let mut rig = Rig::new(&workers);
    rig.send(Event::JobAccepted(Arc::clone(&record)));
    let mut last = None;
    for run in 1..=ATTEMPTS {
        rig.advance(20);
        rig.store_batches();
        let starts = rig.starts();
        assert_eq!(starts.len(), 2, "run {run}");
        for start in &starts {
            rig.accept(start);
        }
        rig.advance(100);
        let number = u64::from(run);
        let first = starts[0].0.as_str().to_owned();
        rig.poll_reply(
            &first,
            vec![],
            vec![ended(number, &starts[0], EndKind::Failed)],
        );
        last = rig.store_batches().pop();
        if run < ATTEMPTS {
            let second = starts[1].0.as_str().to_owned();
            rig.poll_reply(
                &second,
                vec![],
                vec![ended(number, &starts[1], EndKind::GangBroken)],
            );
            rig.store_batches();
        }
    }
    let (_, progress) = last.expect("the failed end is stored");

    let recovered = RecoveredJob {
        record,
        progress: Some(progress),
        is_cancelled: false,
    };
    let mut next = Rig::take_over(10_000, vec![recovered], &workers);
    for worker in &workers {
        next.poll_reply(worker.name.as_str(), vec![], vec![]);
    }
    next.advance(50);
    assert!(!next.settle_stops().is_empty());
    next.advance(200);
    next.store_batches();
    assert_eq!(next.starts(), vec![], "a fourth run must not start");
    let phase = next.coordinator.phase(&JobId::new("00000000000000aa"));
    assert_eq!(phase, Some(ragwortwick_area::JobPhase::Failed));
}

/// A job of one task as it is stored after its coordinator sent the start order and crashed.
fn recorded_start(id: &str, workers: &[WorkerEntry]) -> (RecoveredJob, (WorkerName, TaskId, u32)) {
    let record = job(id, "middle", vec![step(1, 8)]);
    let mut rig = Rig::new(workers);
    rig.send(Event::JobAccepted(Arc::clone(&record)));
    rig.advance(20);
    let stored = rig.store_batches().pop().expect("the start is recorded");
    let start = rig.starts().pop().expect("the task starts");
    let recovered = RecoveredJob {
        record,
        progress: Some(stored.1),
        is_cancelled: false,
    };
    (recovered, start)
}

/// The previous coordinator recorded a start and crashed, and the worker is unreachable. The task may be
/// running there, so it may start elsewhere only after every lease of the worker must have ended.
#[test]
fn verify_recorded_run_blocks_its_task_until_the_lease_is_over() {
    let workers = [worker("w1", "r1"), worker("w2", "r1")];
    let (recovered, start) = recorded_start("00000000000000ab", &workers);
    let mut next = Rig::take_over(10_000, vec![recovered], &workers);
    for _ in 0..13 {
        next.advance(1_000);
        next.store_batches();
        assert_eq!(next.starts(), vec![]);
        next.poll_fails(&start.0);
    }
    next.send(Event::WorkerRemoved(start.0.clone()));
    next.advance(5_000);
    next.store_batches();
    let restarted = next.starts();
    assert_eq!(restarted.len(), 1);
    assert_eq!(restarted[0].2, 2, "the run number increases");
}

/// As above, but the worker reports the run, which continues under the new coordinator.
#[test]
fn verify_running_task_is_adopted() {
    let workers = [worker("w1", "r1")];
    let (recovered, start) = recorded_start("00000000000000ac", &workers);
    let mut next = Rig::take_over(10_000, vec![recovered], &workers);
    next.poll_reply("w1", vec![running(&start)], vec![]);
    next.advance(1_000);
    next.store_batches();
    assert_eq!(next.starts(), vec![]);
    next.poll_reply("w1", vec![], vec![ended(1, &start, EndKind::Done)]);
    let phase = next.coordinator.phase(&JobId::new("00000000000000ac"));
    assert_eq!(phase, Some(ragwortwick_area::JobPhase::Completed));
}

/// A run completed on a worker that was leaving, and a network partition kept its coordinator from storing
/// that. The next coordinator must wait until every lease has ended, which takes longer than the grace
/// period of an unresponsive worker. When it waited for one after the other, the run was abandoned 17.1 s
/// after the start of the term (35.4 s to 52.5 s), and the next step had not started at 58 s although most
/// workers were idle.
#[test]
fn verify_recorded_run_on_a_lost_worker_is_given_up_once_its_lease_is_over() {
    let workers = [worker("w1", "r1"), worker("w2", "r1")];
    let (recovered, start) = recorded_start("00000000000000b1", &workers);
    let mut next = Rig::take_over(10_000, vec![recovered], &workers);
    next.send(Event::WorkerRemoved(start.0.clone()));
    // The last lease may have been sent 4 s after the takeover, and lasts 10.7 s including all margins.
    for _ in 0..15 {
        next.poll_fails(&start.0);
        next.advance(1_000);
        next.store_batches();
    }
    assert_eq!(next.starts().len(), 1, "the task starts elsewhere");
}

/// A task completed on a worker that then left, and only a coordinator without access to the store received
/// the completion. Once it is handed over, the next coordinator must not execute the task again. The
/// completion of a run that was never started does not complete the task.
#[test]
fn verify_end_that_an_earlier_coordinator_left_is_final() {
    let workers = [worker("w1", "r1"), worker("w2", "r1")];
    let (recovered, start) = recorded_start("00000000000000b2", &workers);
    let (task, run) = (start.1.clone(), start.2);
    let job_id = task.job_id.clone();
    let mut next = Rig::take_over(10_000, vec![recovered], &workers);
    next.send(Event::WorkerRemoved(start.0.clone()));
    let completion = |run| {
        Event::ResultHandedOver(RunResult {
            task: task.clone(),
            run,
            kind: RunResultKind::Completed,
        })
    };
    next.send(completion(run - 1));
    let phase = next.coordinator.phase(&job_id);
    assert_ne!(phase, Some(ragwortwick_area::JobPhase::Completed));
    next.send(completion(run));
    let phase = next.coordinator.phase(&job_id);
    assert_eq!(phase, Some(ragwortwick_area::JobPhase::Completed));
    next.advance(20_000);
    next.store_batches();
    assert_eq!(next.starts(), vec![], "the task is not executed again");
}

/// A start order gets no reply and is refused when it is repeated. The first one may still arrive late, so
/// a stop order must rule it out before the task starts elsewhere; otherwise a task that makes a booking
/// would make it twice.
#[test]
fn verify_refused_repeat_of_a_doubtful_start_is_stopped_first() {
    let workers = [worker("w1", "r1"), worker("w2", "r2")];
    let record = job("00000000000000ad", "middle", vec![step(1, 8)]);
    let mut rig = Rig::new(&workers);
    rig.send(Event::JobAccepted(record));
    rig.advance(20);
    rig.store_batches();
    let first = rig.starts().pop().expect("the task starts");
    rig.reply(&first, OrderReply::Unknown);
    rig.advance(300);
    let second = rig.starts().pop().expect("the start is repeated");
    assert_eq!(second.2, first.2, "a repeat is the same run");
    rig.reply(&second, OrderReply::Refused(RefusalCause::NoRoom));
    rig.advance(100);
    rig.store_batches();
    assert_eq!(
        rig.starts(),
        vec![],
        "nothing starts before the stop is confirmed"
    );
    let stop = rig.stops().pop().expect("the unconfirmed run is stopped");
    let clock_ms = 200_000;
    rig.send(Event::StopReplied {
        worker: stop.0.clone(),
        task: stop.1.clone(),
        run: stop.2,
        reply: OrderReply::Accepted { clock_ms },
    });
    rig.advance(300);
    rig.poll_reply(stop.0.as_str(), vec![], vec![]);
    rig.advance(50);
    rig.store_batches();
    assert_eq!(rig.starts(), vec![], "the first run may be stopping");
    rig.advance(STOPPED_AFTER_MS);
    rig.poll_reply(stop.0.as_str(), vec![], vec![]);
    rig.advance(50);
    rig.store_batches();
    let restarted = rig.starts();
    assert_eq!(restarted.len(), 1);
    assert_eq!(restarted[0].2, first.2 + 1);
}

/// Another incarnation replies at the worker's address, so the runs of the earlier one no longer exist. They
/// start elsewhere at once instead of after the end of the lease.
#[test]
fn verify_task_of_an_ended_life_starts_at_once() {
    let workers = [worker("w1", "r1"), worker("w2", "r1")];
    let mut rig = Rig::new(&workers);
    rig.submit("00000000000000ae", "middle", step(1, 8));
    rig.advance(20);
    rig.store_batches();
    let start = rig.starts().pop().expect("the task starts");
    rig.accept(&start);
    rig.send(Event::PollFailed {
        worker: start.0.clone(),
        failure: PollFailure::WrongLife,
    });
    rig.advance(30);
    rig.store_batches();
    let restarted = rig.starts();
    assert_eq!(restarted.len(), 1);
    assert_ne!(restarted[0].0, start.0);
}

/// The store accepts 32 entries in a transaction: a condition and a write for each record, and the
/// condition on the coordinator's key. A larger batch would be refused permanently, and no job would make
/// progress.
#[test]
fn verify_batches_fit_into_a_transaction() {
    let workers: Vec<_> = (0..20).map(|n| worker(&format!("w{n}"), "r1")).collect();
    let mut rig = Rig::new(&workers);
    for number in 0..80 {
        let id = format!("{number:016x}");
        rig.send(Event::JobAccepted(job(&id, "patient", vec![step(1, 1)])));
    }
    rig.advance(50);
    let mut batches = 0;
    for _ in 0..20 {
        for action in &rig.actions {
            if let Action::Store { records, .. } = action {
                batches += 1;
                assert!(2 * records.len() < 32, "{} records", records.len());
            }
        }
        rig.store_batches();
        rig.advance(20);
    }
    assert!(batches > 0);
    assert_eq!(rig.starts().len(), 80);
}

/// A start order is sent only after its record is stored, since a successor must know every possible run.
#[test]
fn verify_start_waits_for_its_record() {
    let mut rig = Rig::new(&[worker("w1", "r1")]);
    rig.submit("00000000000000af", "middle", step(2, 2));
    rig.advance(500);
    assert_eq!(rig.starts(), vec![]);
    rig.store_batches();
    assert_eq!(rig.starts().len(), 2);
}

/// A run end is acknowledged to its worker only after its effect is stored.
#[test]
fn verify_end_is_noted_only_once_it_is_stored() {
    let mut rig = Rig::new(&[worker("w1", "r1")]);
    rig.submit("00000000000000b0", "middle", step(1, 2));
    rig.advance(20);
    rig.store_batches();
    let start = rig.starts().pop().expect("the task starts");
    rig.accept(&start);
    rig.advance(50);
    rig.actions.clear();
    rig.poll_reply("w1", vec![], vec![ended(7, &start, EndKind::Done)]);
    rig.advance(400);
    let acked_end = |rig: &Rig| {
        let acked = rig.actions.iter().filter_map(|action| match action {
            Action::Poll {
                acked_end, worker, ..
            } if *worker == WorkerName::new("w1") => Some(*acked_end),
            _ => None,
        });
        acked.max()
    };
    assert!(acked_end(&rig).is_none_or(|acked| acked < 7));
    rig.store_batches();
    rig.advance(50);
    assert_eq!(acked_end(&rig), Some(7));
}

/// Guards against killed work on a worker that has lost the store and its entry there, but not its coordinator.
#[test]
fn verify_leases_of_a_worker_without_an_entry_are_renewed() {
    let workers = [worker("w1", "r1"), worker("w2", "r1")];
    let (recovered, start) = recorded_start("00000000000000b5", &workers);
    let others: Vec<_> = workers
        .iter()
        .filter(|entry| entry.name != start.0)
        .cloned()
        .collect();
    let mut next = Rig::take_over(10_000, vec![recovered], &others);
    for _ in 0..20 {
        next.advance(1_000);
        next.store_batches();
        next.poll_reply(start.0.as_str(), vec![running(&start)], vec![]);
    }
    let renewals = next.take(|action| match action {
        Action::Poll {
            worker,
            lease_until_ms: Some(_),
            ..
        } if *worker == start.0 => Some(()),
        _ => None,
    });
    assert!(renewals.len() > 10, "{}", renewals.len());
    assert_eq!(next.starts(), vec![], "the run goes on");
}
