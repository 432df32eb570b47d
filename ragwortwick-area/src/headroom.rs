//! Racks set aside as headroom for urgent work and for work that is cheap to stop.
//!
//! This matters when urgent gangs keep arriving while total demand exceeds capacity. Without headroom, each
//! gap is filled at once and the next urgent gang preempts other runs: it has to wait for the stops, and work
//! that saves no checkpoints is restarted again and again. Work that saves checkpoints uses the headroom in
//! the meantime, so that it is not idle.

use std::hash::{DefaultHasher, Hash, Hasher};

use ragwortwick_core::{DurationMs, TimeMs};

use crate::candidates::Candidate;
use crate::job::StepSpec;
use crate::packing::{PlacementConstraints, Slot, rack_ranges};
use crate::pool_capacity::PoolCapacity;
use crate::speed::SpeedPreference;

/// Headroom as a multiple of the recent peak of urgent demand. A gang needs whole workers, often of one rack,
/// so it can use only a part of the free capacity.
const HEADROOM_PER_PEAK: f64 = 3.0;

/// Largest gang that may use the headroom without saving checkpoints. On few workers it is likely to end
/// before urgent work needs one of them, and single tasks in its place would be stopped first.
const MAX_NARROW_GANG: u32 = 8;

/// Decay time of the peak of urgent demand: it counts for about a third after this time.
const PEAK_DECAY_MS: DurationMs = DurationMs(10_000);

/// `UrgentDemandPeak` is the decaying peak of the accelerators that urgent work uses and waits for.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct UrgentDemandPeak {
    accelerators: f64,
    observed_at: TimeMs,
}

impl UrgentDemandPeak {
    /// Applies the present demand and returns the accelerators to set aside as headroom.
    pub(crate) fn headroom_for(&mut self, now: TimeMs, demand: u64) -> f64 {
        let decay_times = to_f64(now.since(self.observed_at).0) / to_f64(PEAK_DECAY_MS.0);
        self.accelerators = (self.accelerators * (-decay_times).exp()).max(to_f64(demand));
        self.observed_at = now;
        self.accelerators * HEADROOM_PER_PEAK
    }
}

/// Returns the placement constraints and preferences of a step, by its queue and kind.
pub(crate) fn constraints_for(
    candidate: &Candidate,
    spec: &StepSpec,
    capacity: &PoolCapacity,
) -> PlacementConstraints {
    PlacementConstraints {
        speed_preference: speed_preference(candidate, capacity),
        avoids_headroom: must_avoid_headroom(candidate, spec, capacity),
        ..PlacementConstraints::default()
    }
}

/// Returns which workers a step prefers by their speed.
fn speed_preference(candidate: &Candidate, capacity: &PoolCapacity) -> SpeedPreference {
    match (candidate.priority == 0, capacity.is_uneven) {
        (true, true) => SpeedPreference::Fastest,
        (true, false) => SpeedPreference::NotSlow,
        (false, true) => SpeedPreference::SlowestInTime {
            max_slowdown_percent: candidate.max_slowdown_percent,
        },
        (false, false) => SpeedPreference::Slow,
    }
}

/// Whether a step's tasks may not use the headroom, because a stop would lose their work. While most of the
/// pool is idle, no headroom is needed.
fn must_avoid_headroom(candidate: &Candidate, spec: &StepSpec, capacity: &PoolCapacity) -> bool {
    let is_narrow_gang = spec.is_gang && spec.count <= MAX_NARROW_GANG;
    candidate.priority > 0
        && !spec.saves_checkpoints
        && !is_narrow_gang
        && !capacity.is_mostly_idle()
}

/// Marks whole racks until they have the given number of accelerators.
///
/// The order of the racks depends on a hash of their names alone, so that it is the same in each pass and
/// under each coordinator, and the headroom is spread over all zones.
pub(crate) fn mark_racks(slots: &mut [Slot], accelerators: f64) {
    let mut ranges: Vec<_> = rack_ranges(slots).collect();
    ranges.sort_by_cached_key(|range| rack_hash(&slots[range.start]));
    let mut remaining = accelerators;
    for range in ranges {
        if remaining <= 0.0 {
            return;
        }
        for slot in &mut slots[range] {
            slot.is_headroom = true;
            remaining -= to_f64(slot.capacity_accelerators);
        }
    }
}

/// Marks the fastest workers until they have the given number of accelerators, in the order of their racks.
///
/// Headroom on slow workers is of no use to work with little slack.
pub(crate) fn mark_fastest(slots: &mut [Slot], accelerators: f64) {
    let mut order: Vec<usize> = (0..slots.len()).collect();
    order.sort_by_cached_key(|&index| {
        let slot = &slots[index];
        (SpeedPreference::Fastest.rank(slot.speed), rack_hash(slot))
    });
    let mut remaining = accelerators;
    for index in order {
        if remaining <= 0.0 {
            return;
        }
        slots[index].is_headroom = true;
        remaining -= to_f64(slots[index].capacity_accelerators);
    }
}

fn rack_hash(slot: &Slot) -> u64 {
    let mut hasher = DefaultHasher::new();
    slot.rack.as_str().hash(&mut hasher);
    hasher.finish()
}

#[expect(
    clippy::cast_precision_loss,
    reason = "accelerators of an area and spans in milliseconds are exact in a float"
)]
fn to_f64(number: u64) -> f64 {
    number as f64
}
