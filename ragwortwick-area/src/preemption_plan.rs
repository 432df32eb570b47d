//! Which runs have to stop for a job: the set whose stop costs the least.
//!
//! Answers the load in which small tasks of others lie on all workers when a gang of large ones is owed
//! its room. Workers are cleared one at a time, the cheapest next: the cheapest runs of the whole pool lie
//! on many workers, and stopping them gives none of those room.

use std::ops::Range;

use crate::job::{Resources, StepSpec};
use crate::packing::{Locality, PlacementConstraints, Slot, pack_gang, pack_single, rack_ranges};
use crate::preemption::Victim;

/// `PreemptionPlan` is a set of victims to stop and where the work then goes.
pub(crate) struct PreemptionPlan {
    pub(crate) victims: Vec<Victim>,
    /// Slots of the pass.
    pub(crate) placements: Vec<usize>,
    pub(crate) lost_work: f64,
    cost: f64,
}

/// Finds a slot for each task, all or none.
pub(crate) fn place_all(
    slots: &[Slot],
    spec: &StepSpec,
    count: usize,
    bounds: &PlacementConstraints,
) -> Option<Vec<usize>> {
    if spec.is_gang {
        return pack_gang(slots, spec, count, bounds, Locality::Required);
    }
    let mut slots = slots.to_vec();
    let mut bounds = bounds.clone();
    let mut places = Vec::with_capacity(count);
    for _ in 0..count {
        let index = pack_single(&slots, spec, &bounds, Locality::Relaxed)?;
        bounds.count_task(&slots[index].worker);
        slots[index].allocate(spec.demand());
        places.push(index);
    }
    Some(places)
}

/// The plan that costs the least, over all racks for work that wants one.
pub(crate) fn cheapest_plan(
    slots: &[Slot],
    spec: &StepSpec,
    count: usize,
    bounds: &PlacementConstraints,
    victims: &[Victim],
) -> Option<PreemptionPlan> {
    let mut best: Option<PreemptionPlan> = None;
    if spec.is_gang && spec.wants_same_rack {
        for within in rack_ranges(slots) {
            let plan = Clearing::new(slots, within, spec, bounds, victims).plan(count);
            best = cheaper(best, plan);
        }
    }
    // On several racks the work is slower; that is still better than breaking the guarantee.
    best.or_else(|| Clearing::new(slots, 0..slots.len(), spec, bounds, victims).plan(count))
}

fn cheaper(best: Option<PreemptionPlan>, other: Option<PreemptionPlan>) -> Option<PreemptionPlan> {
    match (best, other) {
        (Some(best), Some(other)) if other.cost < best.cost => Some(other),
        (None, other) => other,
        (best, _) => best,
    }
}

/// `Clearing` makes room for the tasks of a step within a range of the slots.
struct Clearing<'a> {
    spec: &'a StepSpec,
    within: Range<usize>,
    slots: Vec<Slot>,
    bounds: PlacementConstraints,
    victims: &'a [Victim],
    /// The victims with something on each slot.
    on_slot: Vec<Vec<usize>>,
    is_stopped: Vec<bool>,
    /// What room for one more task costs on each slot.
    offers: Vec<Offer>,
}

/// `Offer` is what a slot offers to one more task.
#[derive(Clone, Debug)]
enum Offer {
    /// The slot has changed since.
    Unknown,
    /// No room, whatever stops.
    Nothing,
    /// Room once these victims have stopped.
    Room { stops: Vec<usize>, cost: f64 },
}

impl<'a> Clearing<'a> {
    fn new(
        pool: &[Slot],
        within: Range<usize>,
        spec: &'a StepSpec,
        bounds: &PlacementConstraints,
        victims: &'a [Victim],
    ) -> Self {
        let slots = pool[within.clone()].to_vec();
        let mut on_slot = vec![Vec::new(); slots.len()];
        for (number, victim) in victims.iter().enumerate() {
            for (index, _) in &victim.freed {
                if within.contains(index) {
                    let on_slot: &mut Vec<usize> = &mut on_slot[index - within.start];
                    // The members of a gang may lie on one worker.
                    if on_slot.last() != Some(&number) {
                        on_slot.push(number);
                    }
                }
            }
        }
        Self {
            spec,
            bounds: bounds.clone(),
            is_stopped: vec![false; victims.len()],
            offers: vec![Offer::Unknown; slots.len()],
            within,
            slots,
            victims,
            on_slot,
        }
    }

    fn plan(mut self, count: usize) -> Option<PreemptionPlan> {
        let mut placements = Vec::with_capacity(count);
        for _ in 0..count {
            let index = self.cheapest_slot()?;
            let offer = std::mem::replace(&mut self.offers[index], Offer::Unknown);
            if let Offer::Room { stops, .. } = offer {
                for victim in stops {
                    self.stop(victim);
                }
            }
            let slot = &mut self.slots[index];
            slot.allocate(self.spec.demand());
            self.bounds.count_task(&slot.worker);
            placements.push(self.within.start + index);
        }
        let victims = self.victims.iter().zip(&self.is_stopped);
        let victims: Vec<Victim> = victims
            .filter(|(_, is_stopped)| **is_stopped)
            .map(|(victim, _)| victim.clone())
            .collect();
        Some(PreemptionPlan {
            lost_work: victims.iter().map(|victim| victim.lost_work).sum(),
            cost: victims.iter().map(|victim| victim.cost).sum(),
            victims,
            placements,
        })
    }

    /// The slot that offers room at the least cost, among equals the fullest.
    fn cheapest_slot(&mut self) -> Option<usize> {
        for index in 0..self.slots.len() {
            if matches!(self.offers[index], Offer::Unknown) {
                self.offers[index] = self.offer(index);
            }
        }
        let rank = |index: usize, cost: f64| {
            let slot = &self.slots[index];
            (cost, slot.consecutive_failures, slot.free.accelerators)
        };
        let offers = self.offers.iter().enumerate();
        let rooms = offers.filter_map(|(index, offer)| match offer {
            Offer::Room { cost, .. } => Some((index, rank(index, *cost))),
            Offer::Unknown | Offer::Nothing => None,
        });
        let best = rooms.min_by(|(_, a), (_, b)| {
            let by_cost = a.0.total_cmp(&b.0);
            by_cost.then_with(|| (a.1, a.2).cmp(&(b.1, b.2)))
        });
        best.map(|(index, _)| index)
    }

    /// The cheapest victims that leave room for one more task on a slot.
    fn offer(&self, index: usize) -> Offer {
        let mut slot = self.slots[index].clone();
        let has_room = |slot: &Slot| slot.placeable_tasks(self.spec, &self.bounds) > 0;
        let mut stops: Vec<usize> = Vec::new();
        if !has_room(&slot) {
            let mut victims: Vec<usize> = self.on_slot[index]
                .iter()
                .copied()
                .filter(|&victim| !self.is_stopped[victim])
                .collect();
            victims.sort_by(|&a, &b| {
                let price = |victim: usize| {
                    self.victims[victim].cost / share(self.freed_on(victim, index), self.spec)
                };
                price(a).total_cmp(&price(b))
            });
            for victim in victims {
                slot.release(self.freed_on(victim, index));
                stops.push(victim);
                if has_room(&slot) {
                    break;
                }
            }
            if !has_room(&slot) {
                return Offer::Nothing;
            }
            self.spare_needless(index, &mut slot, &mut stops, has_room);
        }
        let cost = stops.iter().map(|&victim| self.victims[victim].cost).sum();
        Offer::Room { stops, cost }
    }

    /// Victims that were taken early may turn out needless once later ones are: they go on.
    fn spare_needless(
        &self,
        index: usize,
        slot: &mut Slot,
        stops: &mut Vec<usize>,
        has_room: impl Fn(&Slot) -> bool,
    ) {
        let mut dearest = stops.clone();
        dearest.sort_by(|&a, &b| self.victims[b].cost.total_cmp(&self.victims[a].cost));
        for victim in dearest {
            let without = slot.with_reallocated(self.freed_on(victim, index));
            if has_room(&without) {
                *slot = without;
                stops.retain(|&other| other != victim);
            }
        }
    }

    fn stop(&mut self, victim: usize) {
        self.is_stopped[victim] = true;
        for (index, need) in &self.victims[victim].freed {
            if self.within.contains(index) {
                let slot = &mut self.slots[index - self.within.start];
                slot.release(*need);
                self.offers[index - self.within.start] = Offer::Unknown;
            }
        }
    }

    fn freed_on(&self, victim: usize, index: usize) -> Resources {
        let freed = self.victims[victim].freed.iter();
        freed
            .filter(|(at, _)| *at == self.within.start + index)
            .fold(Resources::default(), |sum, (_, need)| sum.plus(*need))
    }
}

/// How much of what one task needs is freed: the mean over what it needs at all.
#[expect(
    clippy::cast_precision_loss,
    reason = "amounts on one worker are far below what a float holds exactly"
)]
fn share(freed: Resources, spec: &StepSpec) -> f64 {
    let need = spec.demand();
    let parts = [
        (freed.cpu_millis, need.cpu_millis),
        (freed.memory_mb, need.memory_mb),
        (freed.accelerators, need.accelerators),
    ];
    let shares = parts
        .iter()
        .filter(|(_, need)| *need > 0)
        .map(|&(freed, need)| (freed as f64 / need as f64).min(1.0));
    shares.sum::<f64>().max(0.01)
}
