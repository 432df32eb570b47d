//! Which runs have to stop for a job: the set that throws away the least work.

use std::collections::BTreeSet;
use std::ops::Range;

use crate::job::{Resources, StepSpec};
use crate::packing::{Bounds, Reach, Slot, pack_gang, pack_single, racks};
use crate::preempt::Victim;

/// `Plan` is a set of victims to stop and where the work then goes.
pub(crate) struct Plan {
    pub(crate) stopped: Vec<Victim>,
    /// Slots of the pass.
    pub(crate) places: Vec<usize>,
    pub(crate) waste: f64,
}

/// Finds a slot for each task, all or none.
pub(crate) fn find(
    slots: &[Slot],
    spec: &StepSpec,
    count: usize,
    bounds: &Bounds,
) -> Option<Vec<usize>> {
    if spec.is_gang {
        return pack_gang(slots, spec, count, bounds, Reach::Near);
    }
    let mut slots = slots.to_vec();
    let mut bounds = bounds.clone();
    let mut places = Vec::with_capacity(count);
    for _ in 0..count {
        let index = pack_single(&slots, spec, &bounds, Reach::Anywhere)?;
        bounds.take(&slots[index].worker);
        slots[index].free = slots[index].free.minus(spec.reserved());
        places.push(index);
    }
    Some(places)
}

/// The plan that throws away the least work, over all racks for work that wants one.
pub(crate) fn cheapest(
    slots: &[Slot],
    spec: &StepSpec,
    count: usize,
    bounds: &Bounds,
    victims: &[Victim],
) -> Option<Plan> {
    let mut best: Option<Plan> = None;
    if spec.is_gang && spec.wants_same_rack {
        for within in racks(slots) {
            best = cheaper(best, plan(slots, within, spec, count, bounds, victims));
        }
    }
    // On several racks the work is slower; that is still better than breaking the guarantee.
    let relaxed = StepSpec {
        wants_same_rack: false,
        ..spec.clone()
    };
    best.or_else(|| plan(slots, 0..slots.len(), &relaxed, count, bounds, victims))
}

fn cheaper(best: Option<Plan>, other: Option<Plan>) -> Option<Plan> {
    match (best, other) {
        (Some(best), Some(other)) if other.waste < best.waste => Some(other),
        (None, other) => other,
        (best, _) => best,
    }
}

/// Plans within a range of the slots alone, so that a rack's plan costs what the rack has, not the pool.
fn plan(
    pool: &[Slot],
    within: Range<usize>,
    spec: &StepSpec,
    count: usize,
    bounds: &Bounds,
    victims: &[Victim],
) -> Option<Plan> {
    let mut slots = pool[within.clone()].to_vec();
    let mut chosen: Vec<&Victim> = Vec::new();
    let mut places = find(&slots, spec, count, bounds);
    let mut open_room: u64 = slots.iter().map(|slot| slot.fits(spec)).sum();
    for victim in victims {
        if places.is_some() {
            break;
        }
        if !victim.frees.iter().any(|(index, _)| within.contains(index)) {
            continue;
        }
        for_each_freed(&mut slots, &within, victim, |slot, need| {
            open_room -= slot.fits(spec);
            slot.free = slot.free.plus(need);
            open_room += slot.fits(spec);
        });
        chosen.push(victim);
        // Packing is tried only once the room could be enough at all.
        if open_room >= count as u64 {
            places = find(&slots, spec, count, bounds);
        }
    }
    let mut places = places?;
    spare_needless(
        &mut slots,
        &within,
        &mut chosen,
        &mut places,
        spec,
        count,
        bounds,
    );
    Some(Plan {
        waste: chosen.iter().map(|victim| victim.waste).sum(),
        stopped: chosen.into_iter().cloned().collect(),
        places: places
            .into_iter()
            .map(|index| within.start + index)
            .collect(),
    })
}

/// Calls back with each slot of the range on which a victim frees room, and how much.
fn for_each_freed(
    slots: &mut [Slot],
    within: &Range<usize>,
    victim: &Victim,
    mut change: impl FnMut(&mut Slot, Resources),
) {
    for &(index, need) in &victim.frees {
        if within.contains(&index) {
            change(&mut slots[index - within.start], need);
        }
    }
}

/// Victims that were chosen early may turn out needless once later ones are: they go on.
fn spare_needless(
    slots: &mut Vec<Slot>,
    within: &Range<usize>,
    chosen: &mut Vec<&Victim>,
    places: &mut Vec<usize>,
    spec: &StepSpec,
    count: usize,
    bounds: &Bounds,
) {
    let mut order: Vec<usize> = (0..chosen.len()).collect();
    order.sort_by(|&a, &b| chosen[b].waste.total_cmp(&chosen[a].waste));
    let mut spared = BTreeSet::new();
    for index in order {
        let mut without = slots.clone();
        for_each_freed(&mut without, within, chosen[index], |slot, need| {
            slot.free = slot.free.minus(need);
        });
        if let Some(found) = find(&without, spec, count, bounds) {
            *slots = without;
            *places = found;
            spared.insert(index);
        }
    }
    let mut index = 0;
    chosen.retain(|_| {
        let is_needed = !spared.contains(&index);
        index += 1;
        is_needed
    });
}
