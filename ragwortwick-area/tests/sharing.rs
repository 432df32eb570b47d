//! Latency-sensitive tasks and fillers on the same worker.

mod rig;

use std::collections::BTreeMap;

use ragwortwick_area::{Action, Event, RunningTask, StepSpec, TaskId};
use ragwortwick_core::{DurationMs, WorkerName};
use rig::{Rig, running, step, worker};

const TARGET_MS: u32 = 100;

/// A tail latency may exceed its target for at most this time, by the users' rule.
const MAX_OVER_TARGET_MS: u64 = 4_000;

type Start = (WorkerName, TaskId, u32);

/// A worker with one serving task and two fillers, all confirmed.
fn shared_worker() -> (Rig, Start, Vec<Start>) {
    let mut rig = Rig::new(&[worker("w1", "r1")]);
    let serving = StepSpec {
        is_long_running: true,
        tail_target_ms: Some(DurationMs(u64::from(TARGET_MS))),
        may_miss: Some(0),
        ..step(1, 1)
    };
    let filler = StepSpec {
        is_filler: true,
        ..step(2, 1)
    };
    rig.submit("00000000000000e1", "middle", serving);
    rig.submit("00000000000000e2", "patient", filler);
    rig.advance(30);
    rig.store_batches();
    let (serving, fillers): (Vec<_>, Vec<_>) = rig
        .starts()
        .into_iter()
        .partition(|start| start.1.job_id.as_str() == "00000000000000e1");
    rig.accept(&serving[0]);
    for start in &fillers {
        rig.accept(start);
    }
    (rig, serving[0].clone(), fillers)
}

/// Takes the pace orders that were sent.
fn paces(rig: &mut Rig) -> Vec<(TaskId, u32)> {
    rig.take(|action| match action {
        Action::SetPace { task, percent, .. } => Some((task.clone(), *percent)),
        _ => None,
    })
}

/// Guards against fillers that keep a serving task's tail latency over its target. They are throttled until
/// it is under the target, well within the allowed time, and then run as fast as the target allows. Later the
/// interference doubles, and they are throttled again.
#[test]
fn verify_fillers_are_slowed_down_before_users_feel_them() {
    let (mut rig, serving, fillers) = shared_worker();
    let mut pace: BTreeMap<TaskId, u32> = BTreeMap::new();
    for start in &fillers {
        pace.insert(start.1.clone(), 100);
    }
    let mut over_ms = 0;
    let mut pace_sum = 0;
    for round in 0..120 {
        for (task, percent) in paces(&mut rig) {
            pace.insert(task, percent);
        }
        let interference = if round < 60 { 1 } else { 2 };
        let total_pace: u32 = pace.values().sum();
        let tail_ms = 40 + total_pace * interference;
        over_ms = if tail_ms > TARGET_MS {
            over_ms + 500
        } else {
            0
        };
        assert!(
            over_ms < MAX_OVER_TARGET_MS,
            "round {round}: over the target for {over_ms} ms"
        );
        pace_sum += total_pace;
        let mut reports: Vec<RunningTask> = fillers.iter().map(running).collect();
        reports.push(RunningTask {
            load: tail_ms,
            ..running(&serving)
        });
        rig.poll_reply("w1", reports, Vec::new());
        rig.advance(500);
    }
    assert!(
        pace_sum / 120 > 10,
        "the fillers' mean total pace is {} per cent",
        pace_sum / 120
    );
}

/// Without a serving task, fillers run at full speed and get no pace orders.
#[test]
fn verify_fillers_alone_are_not_slowed_down() {
    let mut rig = Rig::new(&[worker("w1", "r1")]);
    let filler = StepSpec {
        is_filler: true,
        ..step(2, 1)
    };
    rig.submit("00000000000000e3", "patient", filler);
    rig.advance(30);
    rig.store_batches();
    let starts = rig.starts();
    for start in &starts {
        rig.accept(start);
    }
    rig.poll_reply("w1", starts.iter().map(running).collect(), Vec::new());
    assert!(paces(&mut rig).is_empty());
}

/// Guards against a filler that stays at full speed because a pace order was lost: it is sent again.
#[test]
fn verify_pace_without_an_answer_is_told_again() {
    let (mut rig, serving, fillers) = shared_worker();
    let first = paces(&mut rig);
    assert_eq!(first.len(), 2, "fillers start slowly beside a serving task");
    rig.send(Event::PaceFailed {
        worker: fillers[0].0.clone(),
        task: fillers[0].1.clone(),
        run: fillers[0].2,
    });
    let mut reports: Vec<RunningTask> = fillers.iter().map(running).collect();
    reports.push(RunningTask {
        load: 80,
        ..running(&serving)
    });
    rig.poll_reply("w1", reports, Vec::new());
    let again = paces(&mut rig);
    assert_eq!(again, [(fillers[0].1.clone(), first[0].1)]);
}
