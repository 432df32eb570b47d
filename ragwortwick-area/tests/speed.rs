//! How workers of different speed are distinguished, and which work is placed on them.

mod rig;

use std::collections::BTreeSet;

use ragwortwick_area::{EndKind, StepSpec};
use rig::{Rig, ended, gang, step, worker};

const SLOW: &str = "w2";

/// Runs one task of each of three jobs on each of four workers; the slow one takes half as long again.
fn pool_with_speed_samples() -> Rig {
    let entries: Vec<_> = ["w1", "w2", "w3", "w4"]
        .iter()
        .map(|name| worker(name, "r1"))
        .collect();
    let mut rig = Rig::new(&entries);
    for round in 1..=3 {
        let one_each = StepSpec {
            max_per_worker: Some(1),
            ..step(4, 8)
        };
        rig.submit(&format!("{round:016x}"), "middle", one_each);
        let starts = rig.start_all();
        assert_eq!(starts.len(), 4);
        for is_slow in [false, true] {
            rig.advance(if is_slow { 1_000 } else { 2_000 });
            for start in &starts {
                if (start.0.as_str() == SLOW) == is_slow {
                    let end = ended(round, start, EndKind::Done);
                    rig.poll_reply(start.0.as_str(), Vec::new(), vec![end]);
                }
            }
        }
        rig.advance(20);
        rig.store_batches();
    }
    rig
}

/// Guards against an urgent gang that is late because of one slow worker while fast ones are free.
#[test]
fn verify_an_urgent_gang_goes_to_fast_workers() {
    let mut rig = pool_with_speed_samples();
    rig.submit_as("00000000000000a0", "c", "urgent", gang(3, 8));
    let starts = rig.start_all();
    let on: BTreeSet<_> = starts.iter().map(|start| start.0.as_str()).collect();
    assert_eq!(on, BTreeSet::from(["w1", "w3", "w4"]));
}

/// Guards against work with slack that uses the fast workers, which urgent work needs.
#[test]
fn verify_other_work_goes_to_slow_workers() {
    let mut rig = pool_with_speed_samples();
    rig.submit("00000000000000a0", "middle", gang(1, 8));
    let starts = rig.start_all();
    assert_eq!(starts[0].0.as_str(), SLOW);
}
