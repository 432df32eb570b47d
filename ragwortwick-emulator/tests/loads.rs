//! What callers get under loads that are described by files, on fixed seeds.
//!
//! The bounds lie between what the decisions earned before they answered the load and what they earn
//! now, with room for either to shift a little.

use ragwortwick_area::Limits;
use ragwortwick_core::DurationMs;
use ragwortwick_emulator::{Load, Options, World, Worth};

const MEMORY: &str = include_str!("../loads/memory.json");
const CROWD: &str = include_str!("../loads/crowd.json");

/// Share of their worth that urgent jobs earned: 0.799 before, 0.843 now.
const URGENT_SHARE: f64 = 0.825;

/// The same of the middle queue's jobs in the crowd: 0.760 before, 0.825 now.
const MIDDLE_SHARE: f64 = 0.80;

const SEEDS: std::ops::Range<u64> = 1..13;

/// Plays a load on all seeds at a multiple of its usual rates.
fn play(load: &str, times: f64) -> Vec<Worth> {
    let load: Load = serde_json::from_str(load).expect("a well-formed load");
    let load = load.scaled(times);
    SEEDS
        .map(|seed| {
            let options = Options {
                seed,
                workers: 48,
                limits: Limits {
                    lease_ms: DurationMs(6_000),
                    checkpoint_ms: DurationMs(2_000),
                    ..Limits::default()
                },
                load: load.clone(),
                ..Options::default()
            };
            let report = World::new(options, Vec::new()).run();
            assert_eq!(report.findings, Vec::<String>::new(), "seed {seed}");
            report.worth
        })
        .collect()
}

#[expect(clippy::cast_precision_loss, reason = "a number of seeds is small")]
fn mean(worths: &[Worth], share: impl Fn(&Worth) -> f64) -> f64 {
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
