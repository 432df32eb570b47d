//! Value earned under workloads from files, on fixed seeds.

use ragwortwick_area::Limits;
use ragwortwick_core::DurationMs;
use ragwortwick_emulator::{Simulation, SimulationOptions, ValueReport, Workload};

const MEMORY: &str = include_str!("../loads/memory.json");
const CROWD: &str = include_str!("../loads/crowd.json");

/// Minimum share of their value that urgent jobs earn.
const MIN_URGENT_SHARE: f64 = 0.825;

/// Minimum share of their value that the middle queue's jobs earn under overload.
const MIN_MIDDLE_SHARE: f64 = 0.80;

const SEEDS: std::ops::Range<u64> = 1..13;

/// Simulates a workload on all seeds, with its arrival rates multiplied by a factor.
fn simulate(load: &str, rate_factor: f64) -> Vec<ValueReport> {
    let workload: Workload = serde_json::from_str(load).expect("a well-formed workload");
    let workload = workload.scaled(rate_factor);
    SEEDS
        .map(|seed| {
            let options = SimulationOptions {
                seed,
                workers: 48,
                limits: Limits {
                    lease_ms: DurationMs(6_000),
                    checkpoint_ms: DurationMs(2_000),
                    ..Limits::default()
                },
                workload: workload.clone(),
                ..SimulationOptions::default()
            };
            let report = Simulation::new(options, Vec::new()).run();
            assert_eq!(report.violations, Vec::<String>::new(), "seed {seed}");
            report.value
        })
        .collect()
}

#[expect(clippy::cast_precision_loss, reason = "a number of seeds is small")]
fn mean(reports: &[ValueReport], share: impl Fn(&ValueReport) -> f64) -> f64 {
    reports.iter().map(share).sum::<f64>() / reports.len() as f64
}

/// Memory is the bottleneck, some workers stall for six seconds, others slow down, and a third is
/// unreachable for a while. Urgent jobs on stalled workers must be restarted elsewhere in time, and large
/// urgent jobs must not wait behind a limit meant for small ones.
#[test]
fn verify_urgent_callers_are_served_while_workers_stand_still() {
    let reports = simulate(MEMORY, 1.05);
    let urgent = mean(&reports, |report| report.by_queue["bend-check"].share());
    assert!(urgent > MIN_URGENT_SHARE, "{urgent}");
}

/// Demand far exceeds capacity, and includes many small low-priority tasks. The middle queue's gangs have
/// three times the value for the same capacity, and must get more than what the small tasks leave over.
#[test]
fn verify_gangs_of_the_middle_queue_get_room_in_a_crowd() {
    let reports = simulate(CROWD, 1.2);
    let middle = mean(&reports, |report| report.by_queue["pass-plan"].share());
    assert!(middle > MIN_MIDDLE_SHARE, "{middle}");
}

/// Guards against an unused workload file that the program can no longer parse.
#[test]
fn verify_each_load_file_is_well_formed() {
    let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/loads");
    let files = std::fs::read_dir(folder).expect("the workload files");
    for file in files {
        let path = file.expect("an entry").path();
        let text = std::fs::read_to_string(&path).expect("a text");
        let workload: Result<Workload, _> = serde_json::from_str(&text);
        let workload = workload.unwrap_or_else(|error| panic!("{}: {error}", path.display()));
        for burst in &workload.bursts {
            let is_known = workload
                .queues
                .iter()
                .any(|queue| queue.name == burst.queue);
            assert!(is_known, "{}: no queue {}", path.display(), burst.queue);
        }
    }
}
