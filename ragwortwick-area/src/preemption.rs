//! Room for guaranteed work: which runs of others have to stop for it.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use ragwortwick_core::{CustomerName, JobId, TimeMs, WorkerName};

use crate::accounting::RunEndReason;
use crate::allocation::Allocation;
use crate::candidates::Candidate;
use crate::coordinator::Coordinator;
use crate::job::{Resources, StepId, StepSpec, TaskId};
use crate::packing::{PlacementConstraints, Slot};
use crate::pool_capacity::PoolCapacity;
use crate::preemption_plan::{PreemptionPlan, cheapest_plan, place_all};

/// Work that a stop costs beside what it throws away: the run's room stands empty meanwhile.
const RESTART_MS: u64 = 500;

/// Plans made in one pass; the next pass, milliseconds later, goes on from there.
const MOST_PLANS: usize = 6;

/// `Group` is what has to stop together: one task, or all members of a gang.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Group {
    step: StepId,
    /// The task of a step that is no gang.
    index: Option<u32>,
}

impl Group {
    fn holds(&self, task: &TaskId) -> bool {
        task.belongs_to(&self.step) && self.index.is_none_or(|index| index == task.index)
    }
}

/// `Victim` is a group that may be stopped.
#[derive(Clone, Debug)]
pub(crate) struct Victim {
    group: Group,
    priority: u32,
    /// Core-seconds of work that a stop throws away.
    pub(crate) lost_work: f64,
    /// The same with what the stop itself takes, by the weight of its callers: victims are chosen by it.
    pub(crate) cost: f64,
    /// Workers that it runs on.
    on: BTreeSet<WorkerName>,
    /// What it frees, by the slot of the pass.
    pub(crate) freed: Vec<(usize, Resources)>,
    accelerators: u64,
}

impl Coordinator {
    /// Places urgent work in its order; for what finds no place, room is kept and others are stopped.
    ///
    /// Room is kept at once, before what comes later is placed: a wide gang that waits for its last
    /// worker would else lose the others to every small job that comes in meanwhile.
    pub(crate) fn place_urgent(
        &mut self,
        now: TimeMs,
        urgent: &[&Candidate],
        room: &mut PoolCapacity,
    ) {
        if urgent.is_empty() {
            return;
        }
        // What is stopping already is as good as free.
        let mut future = self.with_stopping_freed(&room.slots);
        let value_per_core_second = self.value_per_core_second();
        let mut plans_left = MOST_PLANS;
        let slot_of = slots_by_worker(&room.slots);
        let mut victims: Option<Vec<Victim>> = None;
        let mut unplaced: Vec<(StepSpec, usize)> = Vec::new();
        for candidate in urgent {
            let is_placed = self.place_step(now, candidate, room);
            for (index, need) in room.allocations.drain(..) {
                future[index].allocate(need);
            }
            if is_placed {
                continue;
            }
            let Some((spec, count)) = self.waiting_tasks(candidate) else {
                continue;
            };
            self.propose_advice_request(now, candidate, &room.slots);
            let bounds = PlacementConstraints {
                allowed_workers: self.permitted_workers(candidate),
                prefers_fast: true,
                ..PlacementConstraints::default()
            };
            let shape = (spec.placement_key(), count);
            // What the advisor allows differs from step to step.
            let is_hopeless = bounds.allowed_workers.is_none() && unplaced.contains(&shape);
            if !is_hopeless && let Some(places) = place_all(&future, &spec, count, &bounds) {
                reserve(&mut future, room, &places, spec.demand());
                continue;
            }
            if !is_hopeless {
                unplaced.push(shape);
            }
            // Each plan looks through whole racks; a pass on a small host has to stay short.
            if plans_left == 0 {
                continue;
            }
            plans_left -= 1;
            // Listing all that runs costs more than anything else in a pass.
            let victims = victims.get_or_insert_with(|| self.displaceable(now, &slot_of));
            let Some(plan) = plan_for(candidate, &future, &spec, count, &bounds, victims) else {
                continue;
            };
            // Others are stopped only if what the caller gains by an answer in time is worth more than
            // what the room would have been used for. A bound that is the same for all would keep large
            // urgent jobs waiting, which are worth many times as much.
            let gain = candidate.value * (1.0 - self.limits.weights.late_share);
            if !candidate.is_guaranteed && plan.lost_work * value_per_core_second > gain {
                continue;
            }
            self.preempted_for.entry(candidate.step_id()).or_insert(now);
            for victim in &plan.victims {
                // It would go first in the next pass, into the very room that it gave up.
                self.preempted_for.remove(&victim.group.step);
                self.stop_victim(now, victim, &candidate.job_id);
                for &(index, need) in &victim.freed {
                    future[index].release(need);
                }
            }
            victims.retain(|victim| {
                let is_stopped = |other: &Victim| other.group == victim.group;
                !plan.victims.iter().any(is_stopped)
            });
            // What stops frees more than this job needs, so others may find room after all.
            unplaced.clear();
            reserve(&mut future, room, &plan.placements, spec.demand());
        }
    }

    fn waiting_tasks(&self, candidate: &Candidate) -> Option<(StepSpec, usize)> {
        let job = self.jobs.get(&candidate.job_id)?;
        let count = job
            .step(candidate.occurrence, candidate.step)?
            .waiting_count();
        Some((job.spec(candidate.step)?.clone(), count))
    }

    /// All that may be stopped for guaranteed work: lower priorities and borrowed shares.
    fn displaceable(&self, now: TimeMs, slot_of: &SlotOf) -> Vec<Victim> {
        let lower = self.groups(now, slot_of, |held| held.priority > 0);
        let mut victims: Vec<Victim> = lower.into_iter().map(|(_, victim)| victim).collect();
        victims.extend(self.borrowers(now, slot_of));
        victims
    }

    /// Urgent runs beyond their customer's share, youngest first: they go back to whoever is owed.
    fn borrowers(&self, now: TimeMs, slot_of: &SlotOf) -> Vec<Victim> {
        let mut by_customer: BTreeMap<CustomerName, Vec<(TimeMs, Victim)>> = BTreeMap::new();
        for (placed_at, victim) in self.groups(now, slot_of, |held| held.priority == 0) {
            let customer = self.jobs.get(&victim.group.step.job_id);
            if let Some(customer) = customer.map(|job| job.record.customer.clone()) {
                by_customer
                    .entry(customer)
                    .or_default()
                    .push((placed_at, victim));
            }
        }
        let mut borrowers = Vec::new();
        for (customer, mut groups) in by_customer {
            let share = self
                .desired
                .customers
                .get(&customer)
                .map_or(0, |known| known.guaranteed_accelerators);
            let mut used: u64 = groups.iter().map(|(_, victim)| victim.accelerators).sum();
            groups.sort_by_key(|(placed_at, _)| std::cmp::Reverse(*placed_at));
            for (_, victim) in groups {
                if used >= share + victim.accelerators {
                    used -= victim.accelerators;
                    borrowers.push(victim);
                }
            }
        }
        borrowers
    }

    fn with_stopping_freed(&self, slots: &[Slot]) -> Vec<Slot> {
        let mut future = slots.to_vec();
        for slot in &mut future {
            let Some(worker) = self.workers.get(&slot.worker) else {
                continue;
            };
            for held in worker
                .allocations
                .values()
                .filter(|held| held.is_stopping())
            {
                slot.release(held.resources);
            }
        }
        future
    }

    /// What has to stop together, with when it was placed, of the runs that match.
    fn groups(
        &self,
        now: TimeMs,
        slot_of: &SlotOf,
        matches: impl Fn(&Allocation) -> bool,
    ) -> Vec<(TimeMs, Victim)> {
        let mut groups: BTreeMap<Group, (TimeMs, Victim)> = BTreeMap::new();
        for (name, worker) in &self.workers {
            for (task, held) in &worker.allocations {
                if held.is_stopping() || !matches(held) {
                    continue;
                }
                let Some(spec) = self
                    .jobs
                    .get(&task.job_id)
                    .and_then(|job| job.spec(task.step))
                else {
                    continue;
                };
                // Its callers bear only so many tasks away at once; it is not stopped for others.
                if spec.may_miss.is_some() {
                    continue;
                }
                let since = held.started_at.unwrap_or(held.placed_at);
                // A stop saves a checkpoint, so that only resuming from it takes time.
                let lost_ms = if spec.saves_checkpoints {
                    self.limits.restore_ms.0
                } else {
                    now.since(since).0
                };
                let group = group_of(task, spec);
                let (_, victim) = groups.entry(group.clone()).or_insert_with(|| {
                    let victim = Victim {
                        group,
                        priority: held.priority,
                        lost_work: 0.0,
                        cost: 0.0,
                        on: BTreeSet::new(),
                        freed: Vec::new(),
                        accelerators: 0,
                    };
                    (held.placed_at, victim)
                });
                let weight = self.limits.weights.of_priority(held.priority);
                victim.cost += weight * waste(spec.need, lost_ms + RESTART_MS);
                victim.lost_work += waste(spec.need, lost_ms);
                victim.on.insert(name.clone());
                // Room on a worker that takes no work helps nobody.
                if let Some(&index) = slot_of.get(name) {
                    victim.freed.push((index, held.resources));
                }
                victim.accelerators += held.resources.accelerators;
            }
        }
        groups.into_values().collect()
    }

    fn stop_victim(&mut self, now: TimeMs, victim: &Victim, taker: &JobId) {
        let group = &victim.group;
        if let Some(job) = self.jobs.get_mut(&group.step.job_id) {
            job.accounting.preempted_by = Some(taker.clone());
        }
        for worker in &victim.on {
            self.stop_matching_on(now, worker, RunEndReason::Displaced, |task| {
                group.holds(task)
            });
        }
    }
}

#[expect(
    clippy::cast_precision_loss,
    reason = "amounts of work are far below what a float holds exactly"
)]
fn waste(need: Resources, lost_ms: u64) -> f64 {
    need.core_equivalents().max(1) as f64 * lost_ms as f64 / 1_000.0
}

fn group_of(task: &TaskId, spec: &StepSpec) -> Group {
    Group {
        step: task.step_id(),
        index: (!spec.is_gang).then_some(task.index),
    }
}

/// The cheapest plan: anything may be stopped for a promise, lower priorities for other urgent work.
fn plan_for(
    candidate: &Candidate,
    future: &[Slot],
    spec: &StepSpec,
    count: usize,
    bounds: &PlacementConstraints,
    victims: &[Victim],
) -> Option<PreemptionPlan> {
    if candidate.is_guaranteed {
        return cheapest_plan(future, spec, count, bounds, victims);
    }
    let lower: Vec<Victim> = victims
        .iter()
        .filter(|victim| victim.priority > candidate.priority)
        .cloned()
        .collect();
    cheapest_plan(future, spec, count, bounds, &lower)
}

/// Which slot of the pass is a worker's.
type SlotOf = HashMap<WorkerName, usize>;

fn slots_by_worker(slots: &[Slot]) -> SlotOf {
    let names = slots.iter().map(|slot| slot.worker.clone());
    names
        .enumerate()
        .map(|(index, name)| (name, index))
        .collect()
}

/// Takes the places out of what later work may get, now and once the victims have stopped.
fn reserve(future: &mut [Slot], room: &mut PoolCapacity, places: &[usize], need: Resources) {
    for &index in places {
        for slots in [&mut *future, &mut *room.slots] {
            slots[index].allocate(need);
        }
    }
}
