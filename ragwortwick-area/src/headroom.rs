//! Racks that are left to urgent work and to work that a stop costs next to nothing.
//!
//! Answers the load in which urgent gangs come in a stream while everything together wants more than
//! there is. Without headroom each gap is filled at once and the next urgent gang has others stopped: it
//! waits for that, and work that saves no checkpoints is begun over and over. Work that saves uses the
//! headroom meanwhile, so it does not stand idle.

use std::hash::{DefaultHasher, Hash, Hasher};

use ragwortwick_core::{DurationMs, PoolName, TimeMs};

use crate::candidates::Candidate;
use crate::coordinator::Coordinator;
use crate::job::StepSpec;
use crate::packing::{PlacementConstraints, Slot, rack_ranges};
use crate::pool_capacity::PoolCapacity;

/// How many times the recent peak of urgent demand is left. A gang takes whole workers, often of one rack,
/// so only a part of what is free is of use to it.
const HEADROOM_PER_PEAK: f64 = 3.0;

/// Most members of a gang that may use the headroom though it saves nothing. With few workers it is likely
/// to end before one of them is wanted, and the single tasks in its place would be stopped first.
const NARROW_GANG: u32 = 8;

/// How long a peak of urgent demand is remembered: it counts for a third after this.
const PEAK_DECAY_MS: DurationMs = DurationMs(10_000);

/// `UrgentDemandPeak` is the recent peak of what urgent work uses and waits for, in accelerators.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct UrgentDemandPeak {
    accelerators: f64,
    at: TimeMs,
}

impl UrgentDemandPeak {
    /// Takes in the present demand; gives the peak.
    fn observe(&mut self, now: TimeMs, demand: u64) -> f64 {
        let spans = as_float(now.since(self.at).0) / as_float(PEAK_DECAY_MS.0);
        self.accelerators = (self.accelerators * (-spans).exp()).max(as_float(demand));
        self.at = now;
        self.accelerators
    }
}

impl Coordinator {
    /// Marks the racks of a pool that are headroom in this pass, `used` accelerators being in urgent use.
    pub(crate) fn mark_headroom(
        &mut self,
        now: TimeMs,
        pool: &PoolName,
        candidates: &[&Candidate],
        used: u64,
        room: &mut PoolCapacity,
    ) {
        let waiting = candidates.iter().filter(|c| c.can_preempt());
        let waiting: u64 = waiting.filter_map(|c| self.pending_accelerators(c)).sum();
        let peak = self.urgent_peaks.entry(pool.clone()).or_default();
        mark(
            &mut room.slots,
            peak.observe(now, waiting + used) * HEADROOM_PER_PEAK,
        );
    }
}

/// Which workers a step's tasks may go to, and rather go to, by its queue and kind.
pub(crate) fn constraints_for(
    candidate: &Candidate,
    spec: &StepSpec,
    room: &PoolCapacity,
) -> PlacementConstraints {
    PlacementConstraints {
        prefers_fast: candidate.priority == 0,
        avoids_headroom: is_spared_by(candidate, spec, room),
        ..PlacementConstraints::default()
    }
}

/// Whether a step's tasks keep out of the headroom: their stop would throw their work away. While most of
/// the pool is idle nobody needs it.
fn is_spared_by(candidate: &Candidate, spec: &StepSpec, room: &PoolCapacity) -> bool {
    let is_narrow_gang = spec.is_gang && spec.count <= NARROW_GANG;
    candidate.priority > 0 && !spec.saves_checkpoints && !is_narrow_gang && !room.is_mostly_idle()
}

/// Marks whole racks until they have the given number of accelerators.
///
/// Which racks come first depends on their names alone, so that they stay the same from pass to pass and
/// from one coordinator to the next, and lie in all zones.
fn mark(slots: &mut [Slot], accelerators: f64) {
    let mut ranges: Vec<_> = rack_ranges(slots).collect();
    ranges.sort_by_cached_key(|range| order_of(&slots[range.start]));
    let mut left = accelerators;
    for range in ranges {
        if left <= 0.0 {
            return;
        }
        for slot in &mut slots[range] {
            slot.is_headroom = true;
            left -= as_float(slot.capacity_accelerators);
        }
    }
}

fn order_of(slot: &Slot) -> u64 {
    let mut hasher = DefaultHasher::new();
    slot.rack.as_str().hash(&mut hasher);
    hasher.finish()
}

#[expect(
    clippy::cast_precision_loss,
    reason = "accelerators of an area and spans in milliseconds are exact in a float"
)]
fn as_float(number: u64) -> f64 {
    number as f64
}
