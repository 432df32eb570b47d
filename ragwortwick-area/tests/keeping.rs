//! Capacity reserved for gangs among small tasks that fill every gap.

mod rig;

use ragwortwick_area::{EndKind, RunningTask, StepSpec};
use ragwortwick_core::{DurationMs, WorkerName};
use rig::{Rig, ended, gang, step, worker};

/// Guards against small tasks that starve a gang: they fill six workers and more of them wait, while a gang
/// of the middle queue needs two whole workers. Without reservations, other tasks took each freed part at
/// once and no worker was ever empty. The two workers that are free first must not be filled up again.
#[test]
fn verify_small_tasks_leave_room_that_a_gang_waits_for() {
    let names = ["w1", "w2", "w3", "w4", "w5", "w6"];
    let mut rig = Rig::new(&names.map(|name| worker(name, "r1")));
    rig.submit("00000000000000e0", "patient", step(200, 1));
    let mut running = rig.start_all();
    assert_eq!(running.len(), 48);
    rig.submit_as("00000000000000e1", "c", "middle", gang(2, 8));
    let mut ends = 0;
    let mut gang_starts = Vec::new();
    for round in 0..60_u32 {
        // One task ends on each worker in turn.
        let name = names[round as usize % names.len()];
        let position = running.iter().position(|run| run.0.as_str() == name);
        let Some(position) = position else {
            // The worker is reserved and empty.
            continue;
        };
        let ended_run = running.remove(position);
        ends += 1;
        let reports = running.iter().filter(|run| run.0.as_str() == name);
        let reports = reports.map(|run| RunningTask {
            percent: 1 + round,
            ..rig::running(run)
        });
        let reports = reports.collect();
        rig.poll_reply(name, reports, vec![ended(ends, &ended_run, EndKind::Done)]);
        for start in rig.start_all() {
            if start.1.job_id.as_str() == "00000000000000e1" {
                gang_starts.push(start);
            } else {
                running.push(start);
            }
        }
        rig.advance(100);
        if !gang_starts.is_empty() {
            break;
        }
    }
    assert_eq!(gang_starts.len(), 2, "the gang starts");
    let has_small_task = |name: &WorkerName| running.iter().any(|run| run.0 == *name);
    assert!(!has_small_task(&gang_starts[0].0) && !has_small_task(&gang_starts[1].0));
}

/// Guards against a small job that never starts because the only free capacity is reserved for a gang. It
/// waits two seconds at most: a client considers a job lost that does not even start.
#[test]
fn verify_small_job_with_nothing_running_gets_kept_room_after_a_while() {
    let mut rig = Rig::new(&["w1", "w2", "w3"].map(|name| worker(name, "r1")));
    let long = StepSpec {
        estimate_ms: DurationMs(60_000),
        ..step(2, 8)
    };
    rig.submit("00000000000000e2", "patient", long);
    let blocking = rig.start_all();
    assert_eq!(blocking.len(), 2);
    rig.submit("00000000000000e3", "patient", step(4, 1));
    let small = rig.start_all();
    let half_free = small[0].0.clone();
    assert!(small.iter().all(|run| run.0 == half_free));
    // Capacity for it is reserved on the third worker.
    rig.submit_as("00000000000000e4", "c", "middle", gang(1, 8));
    rig.start_all();
    rig.submit_as("00000000000000e5", "c", "patient", step(1, 1));
    rig.advance(1_500);
    rig.store_batches();
    assert_eq!(rig.starts(), vec![], "the capacity is reserved");
    rig.advance(700);
    rig.store_batches();
    let starts = rig.starts();
    assert_eq!(starts.len(), 1, "the small job starts");
    assert_eq!(starts[0].1.job_id.as_str(), "00000000000000e5");
}
