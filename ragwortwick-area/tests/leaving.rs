//! Runs on workers that are about to leave.

mod rig;

use ragwortwick_area::{Event, StepSpec, WorkerEntry};
use ragwortwick_core::DurationMs;
use rig::{Rig, gang, worker};

const NOTICE_MS: DurationMs = DurationMs(5_500);

type Run = (ragwortwick_core::WorkerName, ragwortwick_area::TaskId, u32);

/// A gang of ten seconds has run on two workers for `ran_ms` when one of them announces that it leaves.
fn leave_after(step: StepSpec, ran_ms: u64) -> (Rig, Vec<Run>) {
    let mut rig = Rig::new(&[worker("w1", "r1"), worker("w2", "r1")]);
    rig.submit("00000000000000a0", "middle", step);
    let runs = rig.start_all();
    assert_eq!(runs.len(), 2);
    for second in 1..=ran_ms / 1_000 {
        rig.advance(1_000);
        let percent = u32::try_from(second * 10).expect("a percentage");
        for name in ["w1", "w2"] {
            rig.report_progress(name, &runs, percent);
        }
    }
    rig.stops();
    rig.send(Event::WorkerUpdated(WorkerEntry {
        is_draining: true,
        remaining_ms: Some(NOTICE_MS),
        ..worker("w1", "r1")
    }));
    rig.advance(100);
    (rig, runs)
}

fn two_worker_gang(saves_checkpoints: bool) -> StepSpec {
    StepSpec {
        estimate_ms: DurationMs(10_000),
        saves_checkpoints,
        ..gang(2, 8)
    }
}

/// Guards against a gang that is stopped although it would end before its worker leaves.
#[test]
fn verify_a_gang_that_ends_before_its_worker_leaves_goes_on() {
    let (mut rig, _) = leave_after(two_worker_gang(false), 7_000);
    assert!(rig.stops().is_empty());
}

/// Guards against work with checkpoints that is stopped earlier than necessary.
#[test]
fn verify_a_gang_that_saves_goes_on_to_the_last_moment() {
    let (mut rig, runs) = leave_after(two_worker_gang(true), 2_000);
    assert!(rig.stops().is_empty());
    rig.advance(NOTICE_MS.0);
    assert!(rig.stops().len() >= runs.len());
}
