//! Which workers gangs and patient tasks get where workers differ in speed.

use std::collections::BTreeSet;

use ragwortwick_core::WorkerName;

use crate::job::{Resources, StepSpec};
use crate::packing::{Locality, PlacementConstraints, Slot, pack_gang, pack_single};
use crate::speed::{SpeedEstimate, SpeedPreference};

/// A worker of eight accelerators that takes `factor` times as long as normal ones.
fn slot(name: &str, rack_number: u32, factor: f64) -> Slot {
    let free = Resources {
        cpu_millis: 64_000,
        memory_mb: 256_000,
        accelerators: 8,
    };
    Slot {
        worker: WorkerName::new(name),
        rack: format!("r{rack_number}").as_str().into(),
        rack_number,
        labels: [].into(),
        free,
        overcommitted: Resources::default(),
        capacity_accelerators: 8,
        consecutive_failures: 0,
        speed: SpeedEstimate {
            log_ratio: factor.ln(),
            variance: 0.001,
        },
        is_headroom: false,
        has_no_recent_start: true,
        is_closed: false,
    }
}

/// Two racks in which every third worker is fast, normal and slow.
fn two_racks() -> Vec<Slot> {
    let factors = [0.6, 1.0, 1.6];
    let workers = (0..12_u32).map(|index| {
        let factor = factors[index as usize % factors.len()];
        slot(&format!("w{index}"), index / 6, factor)
    });
    workers.collect()
}

fn spec(count: u32, is_gang: bool) -> StepSpec {
    StepSpec {
        count,
        is_gang,
        need: Resources {
            cpu_millis: 7_500,
            memory_mb: 39_000,
            accelerators: 8,
        },
        ..StepSpec::default()
    }
}

fn constraints(speed_preference: SpeedPreference) -> PlacementConstraints {
    PlacementConstraints {
        speed_preference,
        ..PlacementConstraints::default()
    }
}

fn factors_of(slots: &[Slot], placements: &[usize]) -> Vec<f64> {
    let factor = |&index: &usize| (slots[index].speed.log_ratio.exp() * 10.0).round() / 10.0;
    placements.iter().map(factor).collect()
}

/// Load: urgent gangs on workers of which a third is fast. One slow member makes the whole gang late.
#[test]
fn verify_an_urgent_gang_gets_the_workers_on_which_its_slowest_member_ends_first() {
    let slots = two_racks();
    let constraints = constraints(SpeedPreference::Fastest);
    let placements = pack_gang(&slots, &spec(4, true), 4, &constraints, Locality::Relaxed);
    let placements = placements.expect("four fast workers");
    assert_eq!(factors_of(&slots, &placements), vec![0.6; 4]);
}

/// Guards against a gang that takes fast workers although its slowest member is not on one.
#[test]
fn verify_a_gang_leaves_workers_faster_than_its_slowest_member_to_others() {
    let slots = two_racks();
    let constraints = constraints(SpeedPreference::Fastest);
    let placements = pack_gang(&slots, &spec(6, true), 6, &constraints, Locality::Relaxed);
    let mut factors = factors_of(&slots, &placements.expect("six workers"));
    factors.sort_by(f64::total_cmp);
    assert_eq!(factors, vec![0.6, 0.6, 1.0, 1.0, 1.0, 1.0]);
}

/// Guards against a place for an urgent gang where it is late, while cheap work could be stopped elsewhere.
#[test]
fn verify_a_limit_excludes_workers_that_are_known_to_be_too_slow() {
    let slots = two_racks();
    let limited = PlacementConstraints {
        max_slowdown_percent: Some(150),
        ..constraints(SpeedPreference::Fastest)
    };
    let too_wide = pack_gang(&slots, &spec(9, true), 9, &limited, Locality::Relaxed);
    assert_eq!(too_wide, None);
    let unlimited = constraints(SpeedPreference::Fastest);
    assert!(pack_gang(&slots, &spec(9, true), 9, &unlimited, Locality::Relaxed).is_some());
}

/// Guards against patient work on fast workers, and against work that ends late on slow ones.
#[test]
fn verify_patient_work_gets_the_slowest_workers_on_which_it_ends_in_time() {
    let slots = two_racks();
    for (max_slowdown_percent, expected) in [(300, 1.6), (120, 1.0), (70, 0.6), (10, 0.6)] {
        let preference = SpeedPreference::SlowestInTime {
            max_slowdown_percent,
        };
        let index = pack_single(
            &slots,
            &spec(1, false),
            &constraints(preference),
            Locality::Relaxed,
        );
        let placements: Vec<usize> = index.into_iter().collect();
        assert_eq!(factors_of(&slots, &placements), vec![expected]);
    }
}

/// Guards against decisions that change where workers are alike: the expected finish then decides nothing.
#[test]
fn verify_equal_workers_are_chosen_as_without_speeds() {
    let mut slots = two_racks();
    for (index, slot) in slots.iter_mut().enumerate() {
        slot.speed = SpeedEstimate {
            log_ratio: 0.05 - 0.01 * f64::from(u32::try_from(index).unwrap_or(0)),
            variance: 0.02,
        };
        slot.consecutive_failures = u32::from(index % 4 == 0);
        slot.free.accelerators = 8 - (index as u64 % 3) * 2;
    }
    let spec = StepSpec {
        need: Resources {
            accelerators: 2,
            ..spec(1, true).need
        },
        ..spec(1, true)
    };
    for count in 1..=20 {
        let place = |preference| {
            let constraints = constraints(preference);
            pack_gang(&slots, &spec, count, &constraints, Locality::Relaxed)
        };
        let by_speed: Option<BTreeSet<usize>> =
            place(SpeedPreference::Fastest).map(|placements| placements.into_iter().collect());
        let without: Option<BTreeSet<usize>> =
            place(SpeedPreference::NotSlow).map(|placements| placements.into_iter().collect());
        assert_eq!(by_speed, without);
    }
}
