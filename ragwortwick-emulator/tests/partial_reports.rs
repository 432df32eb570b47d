//! Invariants while workers list their run ends in parts, on fixed seeds.

use ragwortwick_core::TimeMs;
use ragwortwick_emulator::{
    Simulation, SimulationOptions, SimulationReport, Workload, draw_faults,
};

const MANY_ENDS: &str = include_str!("../loads/many-ends.json");

fn simulate(seed: u64, workload: &Workload) -> SimulationReport {
    let options = SimulationOptions {
        seed,
        workload: workload.clone(),
        ..SimulationOptions::default()
    };
    let faults = draw_faults(seed, 3, TimeMs(20_000));
    let report = Simulation::new(options, faults.clone()).run();
    assert!(
        report.violations.is_empty(),
        "seed {seed}, faults {faults:?}: {:?}",
        report.violations
    );
    report
}

/// Steps of hundreds of small tasks end together, on workers that list 500 ends in a reply. What is in a later part
/// must not be taken for lost.
#[test]
fn verify_promises_hold_while_more_runs_end_than_a_reply_lists() {
    let workload: Workload = serde_json::from_str(MANY_ENDS).expect("a well-formed workload");
    for seed in 910_001..910_004 {
        let report = simulate(seed, &workload);
        assert!(report.completed > 0);
    }
}

/// The same with replies that list one end or a few, so that each poll, takeover, stop, gang and restart comes between
/// two parts.
#[test]
fn verify_promises_hold_while_replies_list_few_ends() {
    for (ends, seeds) in [(1, 900_001..900_007), (3, 900_101..900_107)] {
        let workload = Workload::default().with_ends_per_report(ends);
        for seed in seeds {
            simulate(seed, &workload);
        }
    }
}
