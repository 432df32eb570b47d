//! Where tasks go: best fit, whole racks for gangs that want one, data near its rack.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::Range;
use std::sync::Arc;

use ragwortwick_core::{LabelName, RackName, WorkerName};

use crate::job::{Resources, StepSpec};

/// `Slot` is what a worker has left during one pass of placement.
#[derive(Clone, Debug)]
pub(crate) struct Slot {
    pub(crate) worker: WorkerName,
    pub(crate) rack: RackName,
    /// Number of the rack in the pool: slots lie sorted by it, and numbers compare faster than names.
    pub(crate) rack_number: u32,
    pub(crate) labels: Arc<[LabelName]>,
    pub(crate) free: Resources,
    /// Evidence against the worker; slots with less of it are taken first.
    pub(crate) doubt: u32,
}

impl Slot {
    /// How many tasks it takes, whatever else binds.
    pub(crate) fn fits(&self, spec: &StepSpec) -> u64 {
        self.free.fits(spec.reserved()).min(u64::from(u32::MAX))
    }

    /// Counts how many tasks of the step it takes within the bounds.
    pub(crate) fn room(&self, spec: &StepSpec, bounds: &Bounds) -> u64 {
        if !self.has_label(spec) || !bounds.permits(&self.worker) {
            return 0;
        }
        let fits = self.fits(spec);
        match spec.max_per_worker {
            Some(most) => {
                let taken = bounds.taken.get(&self.worker).copied().unwrap_or(0);
                fits.min(u64::from(most.saturating_sub(taken)))
            }
            None => fits,
        }
    }

    /// Whether the step's data is on another rack.
    pub(crate) fn is_far(&self, spec: &StepSpec) -> bool {
        spec.data_rack
            .as_ref()
            .is_some_and(|data| *data != self.rack)
    }

    /// Whether it has the label that the step requires, if it requires one.
    pub(crate) fn has_label(&self, spec: &StepSpec) -> bool {
        spec.required_label
            .as_ref()
            .is_none_or(|label| self.labels.contains(label))
    }
}

/// The slots of each rack, which lie together.
pub(crate) fn racks(slots: &[Slot]) -> impl Iterator<Item = Range<usize>> {
    let mut first = 0;
    slots
        .chunk_by(|a, b| a.rack_number == b.rack_number)
        .map(move |rack| {
            let within = first..first + rack.len();
            first = within.end;
            within
        })
}

/// `Bounds` says where a step's tasks may go, beside the room there.
#[derive(Clone, Debug, Default)]
pub(crate) struct Bounds {
    /// Tasks of the step that workers have already.
    pub(crate) taken: BTreeMap<WorkerName, u32>,
    /// The only workers that may run the step; none if any may.
    pub(crate) allowed: Option<BTreeSet<WorkerName>>,
}

impl Bounds {
    /// Notes that one more task of the step goes to a worker.
    pub(crate) fn take(&mut self, worker: &WorkerName) {
        *self.taken.entry(worker.clone()).or_insert(0) += 1;
    }

    fn permits(&self, worker: &WorkerName) -> bool {
        self.allowed
            .as_ref()
            .is_none_or(|allowed| allowed.contains(worker))
    }
}

/// `Reach` says how far from its best place work may go.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Reach {
    /// Only where it is not slowed down by distance.
    Near,
    /// Anywhere.
    Anywhere,
}

/// `pack_gang` finds a slot for each of `count` members, or none at all.
///
/// A gang that wants one rack gets the rack that it leaves the least of, so that other racks stay
/// whole; on any other, one slow link would stretch the work of all members.
pub(crate) fn pack_gang(
    slots: &[Slot],
    spec: &StepSpec,
    count: usize,
    bounds: &Bounds,
    reach: Reach,
) -> Option<Vec<usize>> {
    if spec.wants_same_rack {
        let in_rack = best_rack(slots, spec, count, bounds);
        if in_rack.is_some() || reach == Reach::Near {
            return in_rack;
        }
    }
    let all: Vec<usize> = (0..slots.len()).collect();
    fill(slots, &all, spec, count, bounds)
}

fn best_rack(slots: &[Slot], spec: &StepSpec, count: usize, bounds: &Bounds) -> Option<Vec<usize>> {
    let mut best: Option<(bool, u32, u64, Vec<usize>)> = None;
    for within in racks(slots) {
        let is_far = slots[within.start].is_far(spec);
        let members: Vec<usize> = within.collect();
        let Some(places) = fill(slots, &members, spec, count, bounds) else {
            continue;
        };
        let free: u64 = members
            .iter()
            .map(|&index| slots[index].free.accelerators)
            .sum();
        let doubt = places.iter().map(|&index| slots[index].doubt).max();
        let doubt = doubt.unwrap_or(0);
        let is_better = best
            .as_ref()
            .is_none_or(|(far, least, left, _)| (is_far, doubt, free) < (*far, *least, *left));
        if is_better {
            best = Some((is_far, doubt, free, places));
        }
    }
    best.map(|(_, _, _, places)| places)
}

/// Fills the fullest slots first; what stays whole can take large tasks later.
fn fill(
    slots: &[Slot],
    members: &[usize],
    spec: &StepSpec,
    count: usize,
    bounds: &Bounds,
) -> Option<Vec<usize>> {
    let whole: u64 = members
        .iter()
        .map(|&index| slots[index].room(spec, bounds))
        .sum();
    if whole < count as u64 {
        return None;
    }
    let mut ranked: Vec<(bool, u32, u64, usize, u64)> = members
        .iter()
        .map(|&index| {
            let slot = &slots[index];
            let fits = slot.room(spec, bounds);
            (
                slot.is_far(spec),
                slot.doubt,
                slot.free.accelerators,
                index,
                fits,
            )
        })
        .filter(|entry| entry.4 > 0)
        .collect();
    ranked.sort_unstable();
    let mut places = Vec::with_capacity(count);
    for (_, _, _, index, fits) in ranked {
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
    bounds: &Bounds,
    reach: Reach,
) -> Option<usize> {
    let mut best: Option<((bool, u32, u64, u64), usize)> = None;
    for (index, slot) in slots.iter().enumerate() {
        let is_far = slot.is_far(spec);
        if is_far && reach == Reach::Near {
            continue;
        }
        if slot.room(spec, bounds) == 0 {
            continue;
        }
        let rank = (
            is_far,
            slot.doubt,
            slot.free.accelerators,
            slot.free.cpu_millis,
        );
        if best.as_ref().is_none_or(|(least, _)| rank < *least) {
            best = Some((rank, index));
        }
    }
    best.map(|(_, index)| index)
}
