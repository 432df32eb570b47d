//! Invariants of preemption where cores are short and accelerators are not, on fixed seeds.

use ragwortwick_area::Limits;
use ragwortwick_core::{DurationMs, TimeMs};
use ragwortwick_emulator::{
    Fault, Simulation, SimulationOptions, SimulationReport, Workload, draw_faults,
};

const CORES: &str = include_str!("../loads/cores.json");
const CORES_AND_ACCELERATORS: &str = include_str!("../loads/cores-and-accelerators.json");

fn simulate(seed: u64, load: &str, faults: &[Fault]) -> SimulationReport {
    let options = SimulationOptions {
        seed,
        limits: Limits {
            lease_ms: DurationMs(6_000),
            ..Limits::default()
        },
        workload: serde_json::from_str::<Workload>(load).expect("a well-formed workload"),
        ..SimulationOptions::default()
    };
    let report = Simulation::new(options, faults.to_vec()).run();
    assert!(
        report.violations.is_empty(),
        "seed {seed}, faults {faults:?}: {:?}",
        report.violations
    );
    report
}

/// Guards against urgent steps that preempt each other for ever on workers without accelerators.
#[test]
fn verify_urgent_steps_on_workers_without_accelerators_let_each_other_run() {
    for seed in 970_001..970_007 {
        let report = simulate(seed, CORES, &[]);
        assert!(report.completed > 0);
    }
}

/// Guards against the same beside urgent steps with accelerators, some of which a guaranteed share covers.
#[test]
fn verify_urgent_steps_with_and_without_accelerators_let_each_other_run() {
    for seed in 970_101..970_107 {
        let report = simulate(seed, CORES_AND_ACCELERATORS, &[]);
        assert!(report.completed > 0);
    }
}

/// Guards against both while coordinators are replaced and workers fail.
#[test]
fn verify_urgent_steps_let_each_other_run_under_three_troubles() {
    for (seeds, load) in [
        (970_201..970_204, CORES),
        (970_301..970_304, CORES_AND_ACCELERATORS),
    ] {
        for seed in seeds {
            simulate(seed, load, &draw_faults(seed, 3, TimeMs(20_000)));
        }
    }
}
