//! Where tasks go: best fit, whole racks for gangs that want one, data near its rack.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::Range;
use std::sync::Arc;

use ragwortwick_core::{LabelName, RackName, WorkerName};

use crate::job::{Resources, StepSpec};
use crate::speed::Speed;

/// `Slot` is what a worker has left during one pass of placement.
#[derive(Clone, Debug)]
pub(crate) struct Slot {
    pub(crate) worker: WorkerName,
    pub(crate) rack: RackName,
    /// Number of the rack in the pool: slots lie sorted by it, and numbers compare faster than names.
    pub(crate) rack_number: u32,
    pub(crate) labels: Arc<[LabelName]>,
    pub(crate) free: Resources,
    /// What has to end before anything is free: the worker holds more than it has.
    pub(crate) overcommitted: Resources,
    /// Accelerators of the worker in all.
    pub(crate) capacity_accelerators: u64,
    /// Evidence against the worker; slots with less of it are taken first.
    pub(crate) consecutive_failures: u32,
    /// How fast the worker is.
    pub(crate) speed: Speed,
    /// Whether it is left to urgent work and to what is cheap to stop.
    pub(crate) is_headroom: bool,
    /// Whether nothing has begun there lately.
    pub(crate) has_no_recent_start: bool,
    /// Whether nothing else begins there in this pass.
    pub(crate) is_closed: bool,
}

impl Slot {
    /// How many tasks it takes, whatever else binds.
    pub(crate) fn fits(&self, spec: &StepSpec) -> u64 {
        if self.is_closed || !self.overcommitted.is_zero() {
            return 0;
        }
        self.free
            .task_capacity(spec.demand())
            .min(u64::from(u32::MAX))
    }

    /// Takes an amount out of what is free.
    pub(crate) fn allocate(&mut self, amount: Resources) {
        self.free = self.free.saturating_sub(amount);
    }

    /// Adds what is no longer held, as far as it was not in excess.
    pub(crate) fn release(&mut self, amount: Resources) {
        let paid = self.overcommitted.component_min(amount);
        self.overcommitted = self.overcommitted.saturating_sub(paid);
        self.free = self.free.plus(amount.saturating_sub(paid));
    }

    /// The same worker with an amount held again that was given back.
    pub(crate) fn with_reallocated(&self, amount: Resources) -> Self {
        Self {
            overcommitted: self.overcommitted.plus(amount.saturating_sub(self.free)),
            free: self.free.saturating_sub(amount),
            ..self.clone()
        }
    }

    /// Counts how many tasks of the step it takes within the bounds.
    pub(crate) fn placeable_tasks(&self, spec: &StepSpec, bounds: &PlacementConstraints) -> u64 {
        if !self.has_required_label(spec) || !bounds.permits(self) {
            return 0;
        }
        let fits = self.fits(spec);
        match spec.max_per_worker {
            Some(most) => {
                let taken = bounds
                    .tasks_by_worker
                    .get(&self.worker)
                    .copied()
                    .unwrap_or(0);
                fits.min(u64::from(most.saturating_sub(taken)))
            }
            None => fits,
        }
    }

    /// Whether the step's data is on another rack.
    pub(crate) fn is_remote(&self, spec: &StepSpec) -> bool {
        spec.data_rack
            .as_ref()
            .is_some_and(|data| *data != self.rack)
    }

    /// Whether it has the label that the step requires, if it requires one.
    pub(crate) fn has_required_label(&self, spec: &StepSpec) -> bool {
        spec.required_label
            .as_ref()
            .is_none_or(|label| self.labels.contains(label))
    }
}

/// The slots of each rack, which lie together.
pub(crate) fn rack_ranges(slots: &[Slot]) -> impl Iterator<Item = Range<usize>> {
    let mut first = 0;
    slots
        .chunk_by(|a, b| a.rack_number == b.rack_number)
        .map(move |rack| {
            let within = first..first + rack.len();
            first = within.end;
            within
        })
}

/// `PlacementConstraints` says where a step's tasks may go, beside the room there.
#[derive(Clone, Debug, Default)]
pub(crate) struct PlacementConstraints {
    /// Tasks of the step that workers have already.
    pub(crate) tasks_by_worker: BTreeMap<WorkerName, u32>,
    /// The only workers that may run the step; none if any may.
    pub(crate) allowed_workers: Option<BTreeSet<WorkerName>>,
    /// Whether the step rather goes to fast workers; if not, it leaves them to others.
    pub(crate) prefers_fast: bool,
    /// Whether the headroom is left to others.
    pub(crate) avoids_headroom: bool,
    /// Whether the tasks go only where nothing has begun lately.
    pub(crate) needs_isolated_start: bool,
}

impl PlacementConstraints {
    /// Notes that one more task of the step goes to a worker.
    pub(crate) fn count_task(&mut self, worker: &WorkerName) {
        *self.tasks_by_worker.entry(worker.clone()).or_insert(0) += 1;
    }

    fn permits(&self, slot: &Slot) -> bool {
        let is_spared = self.avoids_headroom && slot.is_headroom;
        let allowed = self.allowed_workers.as_ref();
        let is_too_busy = self.needs_isolated_start && !slot.has_no_recent_start;
        !is_spared && !is_too_busy && allowed.is_none_or(|allowed| allowed.contains(&slot.worker))
    }

    /// Ranks a worker by its speed, the wanted ones first.
    fn speed_rank(&self, speed: Speed) -> u8 {
        match speed {
            Speed::VerySlow => 2,
            Speed::Slow => u8::from(self.prefers_fast),
            Speed::Normal => u8::from(!self.prefers_fast),
        }
    }
}

/// `PlaceRank` orders places for a task, the best first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct PlaceRank {
    is_remote: bool,
    consecutive_failures: u32,
    speed: u8,
    /// What may use the headroom goes there first and leaves the rest to others.
    is_outside_headroom: bool,
    free_accelerators: u64,
    free_cpu_millis: u64,
}

impl PlaceRank {
    fn of(slot: &Slot, spec: &StepSpec, bounds: &PlacementConstraints) -> Self {
        Self {
            is_remote: slot.is_remote(spec),
            consecutive_failures: slot.consecutive_failures,
            speed: bounds.speed_rank(slot.speed),
            is_outside_headroom: !slot.is_headroom,
            free_accelerators: slot.free.accelerators,
            free_cpu_millis: slot.free.cpu_millis,
        }
    }
}

/// `Locality` says how far from its best place work may go.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Locality {
    /// Only where it is not slowed down by distance.
    Required,
    /// Anywhere.
    Relaxed,
}

/// `pack_gang` finds a slot for each of `count` members, or none at all.
///
/// A gang that wants one rack gets the rack that it leaves the least of, so that other racks stay
/// whole; on any other, one slow link would stretch the work of all members.
pub(crate) fn pack_gang(
    slots: &[Slot],
    spec: &StepSpec,
    count: usize,
    bounds: &PlacementConstraints,
    reach: Locality,
) -> Option<Vec<usize>> {
    if spec.wants_same_rack {
        let in_rack = best_rack(slots, spec, count, bounds);
        if in_rack.is_some() || reach == Locality::Required {
            return in_rack;
        }
    }
    let all: Vec<usize> = (0..slots.len()).collect();
    fill(slots, &all, spec, count, bounds)
}

fn best_rack(
    slots: &[Slot],
    spec: &StepSpec,
    count: usize,
    bounds: &PlacementConstraints,
) -> Option<Vec<usize>> {
    let mut best: Option<(PlaceRank, Vec<usize>)> = None;
    for within in rack_ranges(slots) {
        let members: Vec<usize> = within.collect();
        let Some(places) = fill(slots, &members, spec, count, bounds) else {
            continue;
        };
        let rank = rank_of_rack(slots, &members, &places, spec, bounds);
        if best.as_ref().is_none_or(|(least, _)| rank < *least) {
            best = Some((rank, places));
        }
    }
    best.map(|(_, places)| places)
}

/// A gang is as badly off as its worst member; of the rack counts what is free in all of it.
fn rank_of_rack(
    slots: &[Slot],
    members: &[usize],
    places: &[usize],
    spec: &StepSpec,
    bounds: &PlacementConstraints,
) -> PlaceRank {
    let first = PlaceRank::of(&slots[members[0]], spec, bounds);
    let taken = places.iter().map(|&index| &slots[index]);
    let free = members.iter().map(|&index| slots[index].free.accelerators);
    PlaceRank {
        consecutive_failures: taken
            .clone()
            .map(|slot| slot.consecutive_failures)
            .max()
            .unwrap_or(0),
        speed: taken
            .map(|slot| bounds.speed_rank(slot.speed))
            .max()
            .unwrap_or(0),
        free_accelerators: free.sum(),
        free_cpu_millis: 0,
        ..first
    }
}

/// Fills the fullest slots first; what stays whole can take large tasks later.
fn fill(
    slots: &[Slot],
    members: &[usize],
    spec: &StepSpec,
    count: usize,
    bounds: &PlacementConstraints,
) -> Option<Vec<usize>> {
    let whole: u64 = members
        .iter()
        .map(|&index| slots[index].placeable_tasks(spec, bounds))
        .sum();
    if whole < count as u64 {
        return None;
    }
    let mut ranked: Vec<(PlaceRank, usize, u64)> = members
        .iter()
        .map(|&index| (index, slots[index].placeable_tasks(spec, bounds)))
        .filter(|(_, fits)| *fits > 0)
        .map(|(index, fits)| (PlaceRank::of(&slots[index], spec, bounds), index, fits))
        .collect();
    ranked.sort_unstable();
    let mut places = Vec::with_capacity(count);
    for (_, index, fits) in ranked {
        for _ in 0..fits {
            if places.len() == count {
                return Some(places);
            }
            places.push(index);
        }
    }
    (places.len() == count).then_some(places)
}

/// `pack_single` finds the best slot for one task.
pub(crate) fn pack_single(
    slots: &[Slot],
    spec: &StepSpec,
    bounds: &PlacementConstraints,
    reach: Locality,
) -> Option<usize> {
    let mut best: Option<(PlaceRank, usize)> = None;
    for (index, slot) in slots.iter().enumerate() {
        if slot.placeable_tasks(spec, bounds) == 0 {
            continue;
        }
        let rank = PlaceRank::of(slot, spec, bounds);
        if rank.is_remote && reach == Locality::Required {
            continue;
        }
        if best.as_ref().is_none_or(|(least, _)| rank < *least) {
            best = Some((rank, index));
        }
    }
    best.map(|(_, index)| index)
}
