//! Bin packing: best fit, a single rack for gangs that want one, and locality to a step's data.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::Range;
use std::sync::Arc;

use ragwortwick_core::{LabelName, RackName, WorkerName};

use crate::job::{Resources, StepSpec};
use crate::speed::{SpeedEstimate, SpeedPreference, is_in_time};

/// `Slot` is a worker's free capacity during one placement pass.
#[derive(Clone, Debug)]
pub(crate) struct Slot {
    pub(crate) worker: WorkerName,
    pub(crate) rack: RackName,
    /// Number of the rack in the pool: slots are sorted by it, and numbers compare faster than names.
    pub(crate) rack_number: u32,
    pub(crate) labels: Arc<[LabelName]>,
    pub(crate) free: Resources,
    /// Resources allocated beyond the worker's capacity; they have to be released before anything is free.
    pub(crate) overcommitted: Resources,
    /// Total accelerators of the worker.
    pub(crate) capacity_accelerators: u64,
    /// Failed runs since the last run that completed there; slots with fewer of them are preferred.
    pub(crate) consecutive_failures: u32,
    /// Speed of the worker relative to others.
    pub(crate) speed: SpeedEstimate,
    /// Whether it is headroom for urgent work; other work may use it only if it is cheap to stop.
    pub(crate) is_headroom: bool,
    /// Whether no run was started there recently.
    pub(crate) has_no_recent_start: bool,
    /// Whether no further task is placed there in this pass.
    pub(crate) is_closed: bool,
}

impl Slot {
    /// Returns how many tasks fit by resources alone.
    pub(crate) fn task_capacity(&self, spec: &StepSpec) -> u64 {
        if self.is_closed || !self.overcommitted.is_zero() {
            return 0;
        }
        self.free
            .task_capacity(spec.demand())
            .min(u64::from(u32::MAX))
    }

    /// Subtracts an amount from the free resources.
    pub(crate) fn allocate(&mut self, amount: Resources) {
        self.free = self.free.saturating_sub(amount);
    }

    /// Adds released resources to the free ones, after they have covered the overcommitted amount.
    pub(crate) fn release(&mut self, amount: Resources) {
        let covered = self.overcommitted.component_min(amount);
        self.overcommitted = self.overcommitted.saturating_sub(covered);
        self.free = self.free.plus(amount.saturating_sub(covered));
    }

    /// Returns a copy of the slot in which a released amount is allocated again.
    pub(crate) fn with_reallocated(&self, amount: Resources) -> Self {
        Self {
            overcommitted: self.overcommitted.plus(amount.saturating_sub(self.free)),
            free: self.free.saturating_sub(amount),
            ..self.clone()
        }
    }

    /// Returns how many tasks of the step fit under the constraints.
    pub(crate) fn placeable_tasks(
        &self,
        spec: &StepSpec,
        constraints: &PlacementConstraints,
    ) -> u64 {
        if !self.has_required_label(spec) || !constraints.permits(self) {
            return 0;
        }
        let task_capacity = self.task_capacity(spec);
        match spec.max_per_worker {
            Some(limit) => {
                let placed = constraints
                    .tasks_by_worker
                    .get(&self.worker)
                    .copied()
                    .unwrap_or(0);
                task_capacity.min(u64::from(limit.saturating_sub(placed)))
            }
            None => task_capacity,
        }
    }

    /// Whether the step's data is on a different rack.
    pub(crate) fn is_remote(&self, spec: &StepSpec) -> bool {
        spec.data_rack
            .as_ref()
            .is_some_and(|data| *data != self.rack)
    }

    /// Whether the worker has the step's required label, if there is one.
    pub(crate) fn has_required_label(&self, spec: &StepSpec) -> bool {
        spec.required_label
            .as_ref()
            .is_none_or(|label| self.labels.contains(label))
    }
}

/// Returns the range of slots of each rack, which are contiguous.
pub(crate) fn rack_ranges(slots: &[Slot]) -> impl Iterator<Item = Range<usize>> {
    let mut first = 0;
    slots
        .chunk_by(|a, b| a.rack_number == b.rack_number)
        .map(move |rack| {
            let range = first..first + rack.len();
            first = range.end;
            range
        })
}

/// `PlacementConstraints` limits where a step's tasks may be placed, in addition to free capacity.
#[derive(Clone, Debug, Default)]
pub(crate) struct PlacementConstraints {
    /// Number of the step's tasks already on each worker.
    pub(crate) tasks_by_worker: BTreeMap<WorkerName, u32>,
    /// The only workers that may run the step; `None` if any may.
    pub(crate) allowed_workers: Option<BTreeSet<WorkerName>>,
    /// Which workers are preferred by their speed.
    pub(crate) speed_preference: SpeedPreference,
    /// Largest factor, in per cent, by which work may take longer on a worker; none if there is no limit.
    pub(crate) max_slowdown_percent: Option<u32>,
    /// Whether headroom slots are excluded.
    pub(crate) avoids_headroom: bool,
    /// Whether only workers without a recent start are allowed.
    pub(crate) needs_isolated_start: bool,
}

impl PlacementConstraints {
    /// Counts one more task of the step on a worker.
    pub(crate) fn count_task(&mut self, worker: &WorkerName) {
        *self.tasks_by_worker.entry(worker.clone()).or_insert(0) += 1;
    }

    fn permits(&self, slot: &Slot) -> bool {
        let is_excluded_headroom = self.avoids_headroom && slot.is_headroom;
        let allowed = self.allowed_workers.as_ref();
        let lacks_isolation = self.needs_isolated_start && !slot.has_no_recent_start;
        let is_too_slow = self
            .max_slowdown_percent
            .is_some_and(|max_percent| !is_in_time(slot.speed, max_percent));
        !is_excluded_headroom
            && !is_too_slow
            && !lacks_isolation
            && allowed.is_none_or(|allowed| allowed.contains(&slot.worker))
    }
}

/// `SlotRank` orders slots for a task, the best first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct SlotRank {
    is_remote: bool,
    /// Rank by the expected finish, where workers are known to differ in speed.
    finish: i32,
    consecutive_failures: u32,
    speed: i32,
    /// Tasks that may use headroom use it first, to leave other slots to the rest.
    is_outside_headroom: bool,
    free_accelerators: u64,
    free_cpu_millis: u64,
}

impl SlotRank {
    fn of(slot: &Slot, spec: &StepSpec, constraints: &PlacementConstraints) -> Self {
        let preference = constraints.speed_preference;
        let rank = preference.rank(slot.speed);
        let is_by_finish = preference.is_by_finish();
        Self {
            is_remote: slot.is_remote(spec),
            finish: if is_by_finish { rank } else { 0 },
            consecutive_failures: slot.consecutive_failures,
            speed: if is_by_finish { 0 } else { rank },
            is_outside_headroom: !slot.is_headroom,
            free_accelerators: slot.free.accelerators,
            free_cpu_millis: slot.free.cpu_millis,
        }
    }
}

/// `Locality` is how strictly tasks are placed near their data and each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Locality {
    /// Only where distance does not slow the tasks down.
    Required,
    /// On any rack.
    Relaxed,
}

/// `pack_gang` returns a slot for each of `count` members, or `None` if not all of them fit.
///
/// A gang that wants a single rack gets the one with the least capacity left over, so that whole racks stay
/// free for later gangs. Across racks, one slow link would delay all members.
pub(crate) fn pack_gang(
    slots: &[Slot],
    spec: &StepSpec,
    count: usize,
    constraints: &PlacementConstraints,
    locality: Locality,
) -> Option<Vec<usize>> {
    if spec.wants_same_rack {
        let in_rack = best_rack(slots, spec, count, constraints);
        if in_rack.is_some() || locality == Locality::Required {
            return in_rack;
        }
    }
    let all: Vec<usize> = (0..slots.len()).collect();
    fill(slots, &all, spec, count, constraints)
}

fn best_rack(
    slots: &[Slot],
    spec: &StepSpec,
    count: usize,
    constraints: &PlacementConstraints,
) -> Option<Vec<usize>> {
    let mut best: Option<(SlotRank, Vec<usize>)> = None;
    for range in rack_ranges(slots) {
        let indexes: Vec<usize> = range.collect();
        let Some(placements) = fill(slots, &indexes, spec, count, constraints) else {
            continue;
        };
        let rank = rank_of_rack(slots, &indexes, &placements, spec, constraints);
        if best.as_ref().is_none_or(|(best_rank, _)| rank < *best_rank) {
            best = Some((rank, placements));
        }
    }
    best.map(|(_, placements)| placements)
}

/// Ranks a rack by the worst slot that the gang would get, and by the free capacity of the whole rack.
fn rank_of_rack(
    slots: &[Slot],
    indexes: &[usize],
    placements: &[usize],
    spec: &StepSpec,
    constraints: &PlacementConstraints,
) -> SlotRank {
    let first = SlotRank::of(&slots[indexes[0]], spec, constraints);
    let placed = placements
        .iter()
        .map(|&index| SlotRank::of(&slots[index], spec, constraints));
    let free = indexes.iter().map(|&index| slots[index].free.accelerators);
    SlotRank {
        finish: placed.clone().map(|rank| rank.finish).max().unwrap_or(0),
        consecutive_failures: placed
            .clone()
            .map(|rank| rank.consecutive_failures)
            .max()
            .unwrap_or(0),
        speed: placed.map(|rank| rank.speed).max().unwrap_or(0),
        free_accelerators: free.sum(),
        free_cpu_millis: 0,
        ..first
    }
}

/// Fills the fullest slots first, so that large tasks still fit on the others later.
fn fill(
    slots: &[Slot],
    indexes: &[usize],
    spec: &StepSpec,
    count: usize,
    constraints: &PlacementConstraints,
) -> Option<Vec<usize>> {
    let total: u64 = indexes
        .iter()
        .map(|&index| slots[index].placeable_tasks(spec, constraints))
        .sum();
    if total < count as u64 {
        return None;
    }
    let mut ranked: Vec<(SlotRank, usize, u64)> = indexes
        .iter()
        .map(|&index| (index, slots[index].placeable_tasks(spec, constraints)))
        .filter(|(_, fits)| *fits > 0)
        .map(|(index, fits)| (SlotRank::of(&slots[index], spec, constraints), index, fits))
        .collect();
    if constraints.speed_preference == SpeedPreference::Fastest {
        level_finish(&mut ranked, count);
    }
    ranked.sort_unstable();
    let mut placements = Vec::with_capacity(count);
    for (_, index, fits) in ranked {
        for _ in 0..fits {
            if placements.len() == count {
                return Some(placements);
            }
            placements.push(index);
        }
    }
    (placements.len() == count).then_some(placements)
}

/// Ranks all workers alike that are as fast as the slowest member's has to be, the slower ones first.
///
/// A gang is as late as its slowest member, so faster workers than that are left to others.
fn level_finish(ranked: &mut [(SlotRank, usize, u64)], count: usize) {
    let mut capacity_by_finish: BTreeMap<i32, u64> = BTreeMap::new();
    for (rank, _, fits) in ranked.iter() {
        *capacity_by_finish.entry(rank.finish).or_default() += fits;
    }
    let mut capacity = 0;
    let slowest = capacity_by_finish.into_iter().find(|(_, fits)| {
        capacity += fits;
        capacity >= count as u64
    });
    let Some((slowest, _)) = slowest else {
        return;
    };
    for (rank, _, _) in ranked {
        if rank.finish <= slowest {
            rank.speed = slowest - rank.finish;
            rank.finish = slowest;
        }
    }
}

/// `pack_single` returns the best slot for one task.
pub(crate) fn pack_single(
    slots: &[Slot],
    spec: &StepSpec,
    constraints: &PlacementConstraints,
    locality: Locality,
) -> Option<usize> {
    let mut best: Option<(SlotRank, usize)> = None;
    for (index, slot) in slots.iter().enumerate() {
        if slot.placeable_tasks(spec, constraints) == 0 {
            continue;
        }
        let rank = SlotRank::of(slot, spec, constraints);
        if rank.is_remote && locality == Locality::Required {
            continue;
        }
        if best.as_ref().is_none_or(|(best_rank, _)| rank < *best_rank) {
            best = Some((rank, index));
        }
    }
    best.map(|(_, index)| index)
}
