//! Room for gangs among small tasks that fill every gap.

mod rig;

use ragwortwick_area::{EndKind, RunningTask, StepSpec};
use ragwortwick_core::{DurationMs, WorkerName};
use rig::{Rig, ended, gang, step, worker};

/// Small patient tasks fill six workers, and more of them wait. A gang of the middle queue needs two whole
/// workers. As tasks end, others took their room at once, so that no worker was ever whole and the
/// gang's caller waited for good. Now the two workers that come free soonest fill up no more.
#[test]
fn verify_small_tasks_leave_room_that_a_gang_waits_for() {
    let names = ["w1", "w2", "w3", "w4", "w5", "w6"];
    let mut rig = Rig::new(&names.map(|name| worker(name, "r1")));
    rig.submit("00000000000000e0", "patient", step(200, 1));
    let mut running = rig.start_all();
    assert_eq!(running.len(), 48);
    rig.submit_as("00000000000000e1", "c", "middle", gang(2, 8));
    let mut ends = 0;
    let mut began = Vec::new();
    for round in 0..60_u32 {
        // One task ends on each worker in turn.
        let name = names[round as usize % names.len()];
        let at = running.iter().position(|run| run.0.as_str() == name);
        let Some(at) = at else {
            // It is kept, and nothing runs there any more.
            continue;
        };
        let over = running.remove(at);
        ends += 1;
        let rows = running.iter().filter(|run| run.0.as_str() == name);
        let rows = rows.map(|run| RunningTask {
            percent: 1 + round,
            ..rig::running(run)
        });
        let rows = rows.collect();
        rig.poll_reply(name, rows, vec![ended(ends, &over, EndKind::Done)]);
        for start in rig.start_all() {
            if start.1.job_id.as_str() == "00000000000000e1" {
                began.push(start);
            } else {
                running.push(start);
            }
        }
        rig.advance(100);
        if !began.is_empty() {
            break;
        }
    }
    assert_eq!(began.len(), 2, "the gang begins");
    let is_small_left = |name: &WorkerName| running.iter().any(|run| run.0 == *name);
    assert!(!is_small_left(&began[0].0) && !is_small_left(&began[1].0));
}

/// Room is kept for a gang, and a small job comes in whose only other place would be there. It waits two
/// seconds at most: a caller whose job does not even begin takes it for lost.
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
    // Room for it is kept on the third worker.
    rig.submit_as("00000000000000e4", "c", "middle", gang(1, 8));
    rig.start_all();
    rig.submit_as("00000000000000e5", "c", "patient", step(1, 1));
    rig.advance(1_500);
    rig.store_batches();
    assert_eq!(rig.starts(), vec![], "the room is kept");
    rig.advance(700);
    rig.store_batches();
    let starts = rig.starts();
    assert_eq!(starts.len(), 1, "the small job begins");
    assert_eq!(starts[0].1.job_id.as_str(), "00000000000000e5");
}
