//! Which work may use the racks that are headroom for urgent gangs.

mod rig;

use std::sync::Arc;

use ragwortwick_area::{EndKind, Event, JobRecord, QueuePolicy, StepSpec, TaskId, WorkerEntry};
use ragwortwick_core::{JobId, WorkerName};
use rig::{Rig, ended, gang, job, step, worker};

type Start = (WorkerName, TaskId, u32);

/// Four racks of two workers.
fn pool() -> Rig {
    let entries: Vec<_> = (0..8)
        .map(|number| worker(&format!("w{number}"), &format!("r{}", number / 2)))
        .collect();
    Rig::new(&entries)
}

fn with_checkpoints(count: u32) -> StepSpec {
    StepSpec {
        saves_checkpoints: true,
        ..step(count, 1)
    }
}

fn count_of(starts: &[Start], id: &str) -> usize {
    let job_id = JobId::new(id);
    starts
        .iter()
        .filter(|start| start.1.job_id == job_id)
        .count()
}

/// Starts an urgent gang on a quarter of the pool, and tasks that save checkpoints on another.
fn with_urgent_gang(rig: &mut Rig) -> Vec<Start> {
    rig.submit_as("00000000000000a0", "c", "urgent", gang(2, 8));
    rig.submit("00000000000000a1", "patient", with_checkpoints(16));
    let starts = rig.start_all();
    assert_eq!(starts.len(), 18);
    starts
}

/// Guards against repeated restarts of work without checkpoints in capacity that urgent gangs need.
#[test]
fn verify_work_that_saves_nothing_leaves_headroom_to_urgent_gangs() {
    let mut rig = pool();
    with_urgent_gang(&mut rig);
    let without_checkpoints = "00000000000000b0";
    rig.submit(without_checkpoints, "patient", step(32, 1));
    let started = count_of(&rig.start_all(), without_checkpoints);
    assert!(started <= 16, "{started} of 32 started");
    let wide = "00000000000000b1";
    rig.submit(wide, "middle", gang(9, 1));
    assert_eq!(count_of(&rig.start_all(), wide), 0);
    rig.submit_as("00000000000000b2", "d", "urgent", gang(2, 8));
    let urgent = rig.start_all();
    assert_eq!(count_of(&urgent, "00000000000000b2"), 2);
    assert!(rig.stops().is_empty(), "runs were preempted for it");
}

/// Guards against headroom in one pool for the urgent work of another pool.
#[test]
fn verify_urgent_work_of_another_pool_takes_no_headroom() {
    let entries: Vec<_> = (0..8)
        .map(|number| {
            let pool = if number < 4 { "booking" } else { "other" };
            WorkerEntry {
                pool: pool.into(),
                ..worker(&format!("w{number}"), &format!("r{}", number / 2))
            }
        })
        .collect();
    let mut rig = Rig::new(&entries);
    rig.submit_as("00000000000000e0", "c", "urgent", gang(2, 8));
    assert_eq!(rig.start_all().len(), 2);
    for id in ["00000000000000e1", "00000000000000e2"] {
        let record = job(id, "elsewhere", vec![step(16, 1)]);
        let policy = QueuePolicy {
            pool: "other".into(),
            ..record.policy.clone()
        };
        let record = JobRecord {
            policy,
            ..(*record).clone()
        };
        rig.send(Event::JobAccepted(Arc::new(record)));
        assert_eq!(rig.start_all().len(), 16, "{id}");
    }
}

/// Guards against headroom that is idle while work waits that is cheap to stop.
#[test]
fn verify_work_that_saves_uses_the_headroom() {
    let mut rig = pool();
    with_urgent_gang(&mut rig);
    rig.submit("00000000000000c0", "patient", with_checkpoints(32));
    assert_eq!(rig.start_all().len(), 32);
    let narrow = "00000000000000c1";
    let mut rig = pool();
    with_urgent_gang(&mut rig);
    rig.submit("00000000000000c2", "patient", step(16, 1));
    rig.start_all();
    rig.submit(narrow, "middle", gang(4, 4));
    assert_eq!(count_of(&rig.start_all(), narrow), 4);
}

/// Guards against jobs that have no run while most of the pool is idle.
#[test]
fn verify_headroom_is_given_up_while_most_of_the_pool_is_idle() {
    let mut rig = pool();
    let starts = with_urgent_gang(&mut rig);
    for (number, start) in (1..).zip(&starts) {
        let end = ended(number, start, EndKind::Done);
        rig.poll_reply(start.0.as_str(), Vec::new(), vec![end]);
    }
    rig.advance(20);
    rig.store_batches();
    let wide = "00000000000000d0";
    rig.submit(wide, "middle", gang(64, 1));
    assert_eq!(count_of(&rig.start_all(), wide), 64);
}
