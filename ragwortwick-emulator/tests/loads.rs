//! What callers get under loads that are described by files, on fixed seeds.

use ragwortwick_area::Limits;
use ragwortwick_core::DurationMs;
use ragwortwick_emulator::{Simulation, SimulationOptions, ValueReport, Workload};

const MEMORY: &str = include_str!("../loads/memory.json");
const CROWD: &str = include_str!("../loads/crowd.json");

/// Least share of their worth that urgent jobs earn.
const URGENT_SHARE: f64 = 0.825;

/// The same of the middle queue's jobs in the crowd.
const MIDDLE_SHARE: f64 = 0.80;

const SEEDS: std::ops::Range<u64> = 1..13;

/// Plays a load on all seeds at a multiple of its usual rates.
fn play(load: &str, times: f64) -> Vec<ValueReport> {
    let load: Workload = serde_json::from_str(load).expect("a well-formed load");
    let load = load.scaled(times);
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
                workload: load.clone(),
                ..SimulationOptions::default()
            };
            let report = Simulation::new(options, Vec::new()).run();
            assert_eq!(report.violations, Vec::<String>::new(), "seed {seed}");
            report.value
        })
        .collect()
}

#[expect(clippy::cast_precision_loss, reason = "a number of seeds is small")]
fn mean(worths: &[ValueReport], share: impl Fn(&ValueReport) -> f64) -> f64 {
    worths.iter().map(share).sum::<f64>() / worths.len() as f64
}

/// Memory binds, some workers stand still for six seconds, others turn slow, and a third is out of reach
/// for a while. Urgent callers whose job lies where nothing moves get it in time from elsewhere, and large
/// urgent jobs don't wait behind a bound made for small ones.
#[test]
fn verify_urgent_callers_are_served_while_workers_stand_still() {
    let worths = play(MEMORY, 1.05);
    let urgent = mean(&worths, |worth| worth.by_queue["bend-check"].share());
    assert!(urgent > URGENT_SHARE, "{urgent}");
}

/// Far more comes in than fits, small patient tasks among it. The middle queue's gangs, worth three times
/// as much for the same room, get more of it than what the small ones happen to leave.
#[test]
fn verify_gangs_of_the_middle_queue_get_room_in_a_crowd() {
    let worths = play(CROWD, 1.2);
    let middle = mean(&worths, |worth| worth.by_queue["pass-plan"].share());
    assert!(middle > MIDDLE_SHARE, "{middle}");
}

/// Guards against a load file that nothing reads and that no longer fits the program.
#[test]
fn verify_each_load_file_is_well_formed() {
    let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/loads");
    let files = std::fs::read_dir(folder).expect("the loads");
    for file in files {
        let path = file.expect("an entry").path();
        let text = std::fs::read_to_string(&path).expect("a text");
        let load: Result<Workload, _> = serde_json::from_str(&text);
        let load = load.unwrap_or_else(|error| panic!("{}: {error}", path.display()));
        for burst in &load.bursts {
            let is_known = load.queues.iter().any(|queue| queue.name == burst.queue);
            assert!(is_known, "{}: no queue {}", path.display(), burst.queue);
        }
    }
}
