//! What a new coordinator makes of what the last one left.

mod rig;

use std::sync::Arc;

use ragwortwick_area::{
    Action, EndKind, Event, OrderReply, PollFailure, RecoveredJob, RefusalCause, TaskId,
    WorkerEntry,
};
use ragwortwick_core::{JobId, WorkerName};
use rig::{ATTEMPTS, Rig, ended, gang, job, running, step, worker};

/// A gang's member fails, its end is stored and forgotten by its worker, and the coordinator dies
/// before the other member has ended. The caller's job must still count that run as failed: lost,
/// it would be started once more often than its queue allows.
#[test]
fn verify_failing_run_of_a_gang_counts_across_a_takeover() {
    // Enough workers that none is suspected for the failures of this one job.
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

    let known = RecoveredJob {
        record,
        progress: Some(progress),
        is_cancelled: false,
    };
    let mut next = Rig::take_over(10_000, vec![known], &workers);
    for worker in &workers {
        next.poll_reply(worker.name.as_str(), vec![], vec![]);
    }
    next.advance(200);
    next.store_batches();
    assert_eq!(next.starts(), vec![], "a fourth run must not begin");
    let phase = next.coordinator.phase(&JobId::new("00000000000000aa"));
    assert_eq!(phase, Some(ragwortwick_area::JobPhase::Failed));
}

/// A job of one task as the store has it after its coordinator sent the start and died.
fn recorded_start(id: &str, workers: &[WorkerEntry]) -> (RecoveredJob, (WorkerName, TaskId, u32)) {
    let record = job(id, "middle", vec![step(1, 8)]);
    let mut rig = Rig::new(workers);
    rig.send(Event::JobAccepted(Arc::clone(&record)));
    rig.advance(20);
    let stored = rig.store_batches().pop().expect("the start is announced");
    let start = rig.starts().pop().expect("the task starts");
    let known = RecoveredJob {
        record,
        progress: Some(stored.1),
        is_cancelled: false,
    };
    (known, start)
}

/// The last coordinator recorded a start and died; its worker can't be reached. The task may be
/// running there, so it is started elsewhere only once every lease there must have run out.
#[test]
fn verify_recorded_run_blocks_its_task_until_the_lease_is_over() {
    let workers = [worker("w1", "r1"), worker("w2", "r1")];
    let (known, start) = recorded_start("00000000000000ab", &workers);
    let mut next = Rig::take_over(10_000, vec![known], &workers);
    for _ in 0..13 {
        next.advance(1_000);
        next.store_batches();
        assert_eq!(next.starts(), vec![]);
        next.poll_fails(&start.0);
    }
    next.send(Event::WorkerRemoved(start.0.clone()));
    next.advance(5_000);
    next.store_batches();
    let again = next.starts();
    assert_eq!(again.len(), 1);
    assert_eq!(again[0].2, 2, "the run's number rises");
}

/// As above, but the worker shows the run: it goes on under the new coordinator.
#[test]
fn verify_running_task_is_adopted() {
    let workers = [worker("w1", "r1")];
    let (known, start) = recorded_start("00000000000000ac", &workers);
    let mut next = Rig::take_over(10_000, vec![known], &workers);
    next.poll_reply("w1", vec![running(&start)], vec![]);
    next.advance(1_000);
    next.store_batches();
    assert_eq!(next.starts(), vec![]);
    next.poll_reply("w1", vec![], vec![ended(1, &start, EndKind::Done)]);
    let phase = next.coordinator.phase(&JobId::new("00000000000000ac"));
    assert_eq!(phase, Some(ragwortwick_area::JobPhase::Completed));
}

/// A caller's job stands still although most workers are idle. Its last task had come to its end on
/// a worker that was leaving; a zone was cut off before the coordinator there could store that, and
/// the end was lost with both. The next coordinator can't know, and waits until every lease must
/// have run out, which outlasts the time within which a silent worker is to be heard. It waited for
/// both, one after the other: `term_begins` at 35.4 s, `run_over … cause=WorkerSilent` at 52.5 s,
/// and the step after it had not begun when the job was asked for at 58 s.
#[test]
fn verify_recorded_run_on_a_lost_worker_is_given_up_once_its_lease_is_over() {
    let workers = [worker("w1", "r1"), worker("w2", "r1")];
    let (known, start) = recorded_start("00000000000000b1", &workers);
    let mut next = Rig::take_over(10_000, vec![known], &workers);
    next.send(Event::WorkerRemoved(start.0.clone()));
    // The last lease may have been sent 4 s after the takeover, and lasts 10.7 s with all margins.
    for _ in 0..15 {
        next.poll_fails(&start.0);
        next.advance(1_000);
        next.store_batches();
    }
    assert_eq!(next.starts().len(), 1, "it starts elsewhere");
}

/// A caller's task ended on a worker that then left; only a coordinator that had lost the store heard
/// it, and tells once it is back. The task counts as done under the next coordinator, which would else
/// do it again. An end of an earlier run says nothing of the run that is recorded.
#[test]
fn verify_end_that_an_earlier_coordinator_left_is_final() {
    let workers = [worker("w1", "r1"), worker("w2", "r1")];
    let (known, start) = recorded_start("00000000000000b2", &workers);
    let (task, run) = (start.1.clone(), start.2);
    let job_id = task.job_id.clone();
    let mut next = Rig::take_over(10_000, vec![known], &workers);
    next.send(Event::WorkerRemoved(start.0.clone()));
    next.send(Event::CompletionHandedOver {
        task: task.clone(),
        run: run - 1,
    });
    let phase = next.coordinator.phase(&job_id);
    assert_ne!(phase, Some(ragwortwick_area::JobPhase::Completed));
    next.send(Event::CompletionHandedOver { task, run });
    let phase = next.coordinator.phase(&job_id);
    assert_eq!(phase, Some(ragwortwick_area::JobPhase::Completed));
    next.advance(20_000);
    next.store_batches();
    assert_eq!(next.starts(), vec![], "it is not done again");
}

/// A start gets no answer and is refused when it is repeated. The first one may still arrive late,
/// so a stop has to rule it out before the task runs elsewhere; without it the caller's booking
/// would be made twice.
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
        "nothing starts before the stop is sure"
    );
    let stop = rig.stops().pop().expect("the doubtful run is stopped");
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
    let again = rig.starts();
    assert_eq!(again.len(), 1);
    assert_eq!(again[0].2, first.2 + 1);
}

/// A worker answers that this life of it is over: what ran there is gone, and starts elsewhere at
/// once instead of waiting for its lease.
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
    let again = rig.starts();
    assert_eq!(again.len(), 1);
    assert_ne!(again[0].0, start.0);
}

/// The store takes 32 entries a transaction: a condition and a write for each record, and the
/// condition on the coordinator's key. A larger batch is refused for good, and callers see every
/// job stand still.
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

/// A start is sent only after its record is stored: a successor must know of every run there can be.
#[test]
fn verify_start_waits_for_its_record() {
    let mut rig = Rig::new(&[worker("w1", "r1")]);
    rig.submit("00000000000000af", "middle", step(2, 2));
    rig.advance(500);
    assert_eq!(rig.starts(), vec![]);
    rig.store_batches();
    assert_eq!(rig.starts().len(), 2);
}

/// A worker may forget an end only after its effect is stored.
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
    let noted = |rig: &Rig| {
        let looks = rig.actions.iter().filter_map(|action| match action {
            Action::Poll {
                acked_end, worker, ..
            } if *worker == WorkerName::new("w1") => Some(*acked_end),
            _ => None,
        });
        looks.max()
    };
    assert!(noted(&rig).is_none_or(|noted| noted < 7));
    rig.store_batches();
    rig.advance(50);
    assert_eq!(noted(&rig), Some(7));
}
