//! Selection of the cheapest set of victims to preempt for a step.
//!
//! This matters when small tasks run on all workers and a gang of large tasks is guaranteed capacity. Workers
//! are cleared one at a time, the cheapest next: the cheapest runs of the whole pool are spread over many
//! workers, and stopping them would not free enough capacity on any of them.

use std::ops::Range;

use crate::job::{Resources, StepSpec};
use crate::packing::{Locality, PlacementConstraints, Slot, pack_gang, pack_single, rack_ranges};
use crate::victims::Victim;

/// `PreemptionPlan` is a set of victims to stop, and the slots that the tasks are then placed on.
pub(crate) struct PreemptionPlan {
    pub(crate) victims: Vec<Victim>,
    /// Slot index for each task.
    pub(crate) placements: Vec<usize>,
    pub(crate) lost_work: f64,
    cost: f64,
}

/// Finds a slot for each task, or returns `None` if not all of them fit.
pub(crate) fn place_all(
    slots: &[Slot],
    spec: &StepSpec,
    count: usize,
    constraints: &PlacementConstraints,
) -> Option<Vec<usize>> {
    if spec.is_gang {
        return pack_gang(slots, spec, count, constraints, Locality::Required);
    }
    let mut slots = slots.to_vec();
    let mut constraints = constraints.clone();
    let mut placements = Vec::with_capacity(count);
    for _ in 0..count {
        let index = pack_single(&slots, spec, &constraints, Locality::Relaxed)?;
        constraints.count_task(&slots[index].worker);
        slots[index].allocate(spec.demand());
        placements.push(index);
    }
    Some(placements)
}

/// Returns the cheapest plan, over all racks for a gang that wants a single one.
pub(crate) fn cheapest_plan(
    slots: &[Slot],
    spec: &StepSpec,
    count: usize,
    constraints: &PlacementConstraints,
    victims: &[Victim],
) -> Option<PreemptionPlan> {
    let mut best: Option<PreemptionPlan> = None;
    if spec.is_gang && spec.wants_same_rack {
        for range in rack_ranges(slots) {
            let plan = PlanBuilder::new(slots, range, spec, constraints, victims).plan(count);
            best = cheaper(best, plan);
        }
    }
    // Across racks the work is slower, which is still better than breaking the guarantee.
    best.or_else(|| PlanBuilder::new(slots, 0..slots.len(), spec, constraints, victims).plan(count))
}

fn cheaper(best: Option<PreemptionPlan>, other: Option<PreemptionPlan>) -> Option<PreemptionPlan> {
    match (best, other) {
        (Some(best), Some(other)) if other.cost < best.cost => Some(other),
        (None, other) => other,
        (best, _) => best,
    }
}

/// `PlanBuilder` selects victims for the tasks of a step within a range of slots.
struct PlanBuilder<'a> {
    spec: &'a StepSpec,
    range: Range<usize>,
    slots: Vec<Slot>,
    constraints: PlacementConstraints,
    victims: &'a [Victim],
    /// Victims that use resources of each slot.
    victims_by_slot: Vec<Vec<usize>>,
    is_stopped: Vec<bool>,
    /// Cost of placing one more task on each slot.
    costs: Vec<SlotCost>,
}

/// `SlotCost` is the cost of placing one more task on a slot.
#[derive(Clone, Debug)]
enum SlotCost {
    /// Not computed since the slot changed.
    Unknown,
    /// The task does not fit even if all victims stop.
    Impossible,
    /// The task fits after these victims have stopped.
    Possible { stops: Vec<usize>, cost: f64 },
}

impl<'a> PlanBuilder<'a> {
    fn new(
        pool: &[Slot],
        range: Range<usize>,
        spec: &'a StepSpec,
        constraints: &PlacementConstraints,
        victims: &'a [Victim],
    ) -> Self {
        let slots = pool[range.clone()].to_vec();
        let mut victims_by_slot = vec![Vec::new(); slots.len()];
        for (number, victim) in victims.iter().enumerate() {
            for (index, _) in &victim.freed {
                if range.contains(index) {
                    let on_slot: &mut Vec<usize> = &mut victims_by_slot[index - range.start];
                    // Several members of a gang may run on one worker.
                    if on_slot.last() != Some(&number) {
                        on_slot.push(number);
                    }
                }
            }
        }
        Self {
            spec,
            constraints: constraints.clone(),
            is_stopped: vec![false; victims.len()],
            costs: vec![SlotCost::Unknown; slots.len()],
            range,
            slots,
            victims,
            victims_by_slot,
        }
    }

    fn plan(mut self, count: usize) -> Option<PreemptionPlan> {
        let mut placements = Vec::with_capacity(count);
        for _ in 0..count {
            let index = self.cheapest_slot()?;
            let slot_cost = std::mem::replace(&mut self.costs[index], SlotCost::Unknown);
            if let SlotCost::Possible { stops, .. } = slot_cost {
                for victim in stops {
                    self.stop(victim);
                }
            }
            let slot = &mut self.slots[index];
            slot.allocate(self.spec.demand());
            self.constraints.count_task(&slot.worker);
            placements.push(self.range.start + index);
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

    /// Returns the slot with the lowest cost; among equals, the one with fewest failures, then the fullest.
    fn cheapest_slot(&mut self) -> Option<usize> {
        for index in 0..self.slots.len() {
            if matches!(self.costs[index], SlotCost::Unknown) {
                self.costs[index] = self.slot_cost(index);
            }
        }
        let rank = |index: usize, cost: f64| {
            let slot = &self.slots[index];
            let preference = self.constraints.speed_preference;
            let finish = if preference.is_by_finish() {
                preference.rank(slot.speed)
            } else {
                0
            };
            (
                cost,
                (finish, slot.consecutive_failures, slot.free.accelerators),
            )
        };
        let costs = self.costs.iter().enumerate();
        let possible = costs.filter_map(|(index, slot_cost)| match slot_cost {
            SlotCost::Possible { cost, .. } => Some((index, rank(index, *cost))),
            SlotCost::Unknown | SlotCost::Impossible => None,
        });
        let best = possible.min_by(|(_, a), (_, b)| {
            let by_cost = a.0.total_cmp(&b.0);
            by_cost.then_with(|| a.1.cmp(&b.1))
        });
        best.map(|(index, _)| index)
    }

    /// Selects the cheapest victims on a slot whose stop makes one more task fit.
    fn slot_cost(&self, index: usize) -> SlotCost {
        let mut slot = self.slots[index].clone();
        let has_capacity = |slot: &Slot| slot.placeable_tasks(self.spec, &self.constraints) > 0;
        let mut stops: Vec<usize> = Vec::new();
        if !has_capacity(&slot) {
            let mut victims: Vec<usize> = self.victims_by_slot[index]
                .iter()
                .copied()
                .filter(|&victim| !self.is_stopped[victim])
                .collect();
            victims.sort_by(|&a, &b| {
                let cost_per_share = |victim: usize| {
                    self.victims[victim].cost / freed_share(self.freed_on(victim, index), self.spec)
                };
                cost_per_share(a).total_cmp(&cost_per_share(b))
            });
            for victim in victims {
                slot.release(self.freed_on(victim, index));
                stops.push(victim);
                if has_capacity(&slot) {
                    break;
                }
            }
            if !has_capacity(&slot) {
                return SlotCost::Impossible;
            }
            self.drop_unneeded(index, &mut slot, &mut stops, has_capacity);
        }
        let cost = stops.iter().map(|&victim| self.victims[victim].cost).sum();
        SlotCost::Possible { stops, cost }
    }

    /// Drops victims, the most expensive first, that later selections have made unnecessary.
    fn drop_unneeded(
        &self,
        index: usize,
        slot: &mut Slot,
        stops: &mut Vec<usize>,
        has_capacity: impl Fn(&Slot) -> bool,
    ) {
        let mut most_expensive = stops.clone();
        most_expensive.sort_by(|&a, &b| self.victims[b].cost.total_cmp(&self.victims[a].cost));
        for victim in most_expensive {
            let without = slot.with_reallocated(self.freed_on(victim, index));
            if has_capacity(&without) {
                *slot = without;
                stops.retain(|&other| other != victim);
            }
        }
    }

    fn stop(&mut self, victim: usize) {
        self.is_stopped[victim] = true;
        for (index, freed) in &self.victims[victim].freed {
            if self.range.contains(index) {
                let slot = &mut self.slots[index - self.range.start];
                slot.release(*freed);
                self.costs[index - self.range.start] = SlotCost::Unknown;
            }
        }
    }

    fn freed_on(&self, victim: usize, index: usize) -> Resources {
        let freed = self.victims[victim].freed.iter();
        freed
            .filter(|(at, _)| *at == self.range.start + index)
            .fold(Resources::default(), |sum, (_, freed)| sum.plus(*freed))
    }
}

/// How much of one task's demand is freed: the sum of the shares over the resources that it needs.
#[expect(
    clippy::cast_precision_loss,
    reason = "amounts on one worker are far below what a float holds exactly"
)]
fn freed_share(freed: Resources, spec: &StepSpec) -> f64 {
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
