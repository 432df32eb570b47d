//! Preemption: placing urgent and guaranteed steps by stopping other runs.

use ragwortwick_core::TimeMs;

use crate::accounting::RunEndReason;
use crate::candidates::Candidate;
use crate::coordinator::Coordinator;
use crate::job::{Resources, StepId, StepSpec};
use crate::messages::Action;
use crate::packing::{PlacementConstraints, Slot};
use crate::pool_capacity::PoolCapacity;
use crate::preemption_plan::{PreemptionPlan, cheapest_plan, place_all};
use crate::reservation::Reservations;
use crate::speed::SpeedPreference;
use crate::victims::{SlotIndex, Victim, VictimKind, slots_by_worker};

/// Preemption plans computed in one pass; the next pass, milliseconds later, continues.
const MAX_PLANS_PER_PASS: usize = 6;

/// `Preemption` is the log entry for the stop of a task, or of a gang, in favor of another step.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Preemption {
    /// The step that is stopped.
    pub step: StepId,
    /// Why it may be preempted.
    pub kind: VictimKind,
    /// Accelerators that the stop frees.
    pub accelerators: u64,
    /// The step that it is stopped for.
    pub preemptor: StepId,
    /// Whether its customer's guarantee covers the preemptor.
    pub is_guaranteed: bool,
    /// Accelerators that one task of the preemptor needs.
    pub accelerators_needed: u64,
}

/// `UrgentPass` is the state of one pass over the urgent steps.
struct UrgentPass {
    /// Slots in which the resources of runs that are already stopping count as free.
    after_stops: Vec<Slot>,
    value_per_core_second: f64,
    plans_left: usize,
    slot_index: SlotIndex,
    /// Runs that may be preempted, listed when first needed.
    victims: Option<Vec<Victim>>,
    /// Steps that did not fit, with their number of tasks and their largest slowdown in per cent.
    unplaced: Vec<(StepSpec, usize, Option<u32>)>,
}

impl Coordinator {
    /// Places urgent steps in order; for steps that do not fit, reserves capacity and preempts other runs.
    ///
    /// Capacity is reserved before later steps are placed. Otherwise a wide gang that waits for its last
    /// worker would lose the others to every small job that is submitted in the meantime.
    pub(crate) fn place_urgent(
        &mut self,
        now: TimeMs,
        urgent: &[&Candidate],
        capacity: &mut PoolCapacity,
        reservations: &mut Reservations,
    ) {
        if urgent.is_empty() {
            return;
        }
        let mut pass = UrgentPass {
            after_stops: self.slots_after_stops(&capacity.slots),
            value_per_core_second: self.value_per_core_second(),
            plans_left: MAX_PLANS_PER_PASS,
            slot_index: slots_by_worker(&capacity.slots),
            victims: None,
            unplaced: Vec::new(),
        };
        for candidate in urgent {
            // A place that makes the work late is the last choice, after stopping cheap work elsewhere.
            let in_time = capacity.is_uneven && candidate.can_meet_objective;
            let limit = in_time.then_some(candidate.max_slowdown_percent);
            let is_settled = limit.is_some()
                && self.place_or_preempt(now, candidate, limit, capacity, &mut pass)
                || self.place_or_preempt(now, candidate, None, capacity, &mut pass);
            if !is_settled && candidate.is_guaranteed && !candidate.needs_accelerators() {
                self.wait_for_equals(now, candidate, capacity, reservations, &mut pass);
            }
        }
    }

    /// Reserves capacity for a gang without accelerators, which may not preempt its equals.
    ///
    /// Otherwise a stream of small ones would take each gap before the gang fits.
    fn wait_for_equals(
        &mut self,
        now: TimeMs,
        candidate: &Candidate,
        capacity: &mut PoolCapacity,
        reservations: &mut Reservations,
        pass: &mut UrgentPass,
    ) {
        let Some((spec, _)) = self.waiting_tasks(candidate) else {
            return;
        };
        if self.release_reservation_for(now, candidate, &mut capacity.slots, reservations) {
            self.place_step(now, candidate, None, capacity);
            for (index, need) in capacity.allocations.drain(..) {
                pass.after_stops[index].allocate(need);
            }
            return;
        }
        for index in self.reserve_for_gang(now, candidate, capacity, reservations) {
            pass.after_stops[index].allocate(spec.demand());
        }
    }

    /// Places a step, reserves capacity that is about to be free for it, or preempts other runs; returns whether
    /// there was a way. With a largest slowdown, in per cent, only workers are used that aren't known to be slower.
    fn place_or_preempt(
        &mut self,
        now: TimeMs,
        candidate: &Candidate,
        max_slowdown_percent: Option<u32>,
        capacity: &mut PoolCapacity,
        pass: &mut UrgentPass,
    ) -> bool {
        let is_placed = self.place_step(now, candidate, max_slowdown_percent, capacity);
        for (index, need) in capacity.allocations.drain(..) {
            pass.after_stops[index].allocate(need);
        }
        if is_placed {
            return true;
        }
        let Some((spec, count)) = self.waiting_tasks(candidate) else {
            return false;
        };
        self.propose_advice_request(now, candidate, &capacity.slots);
        let constraints = PlacementConstraints {
            allowed_workers: self.permitted_workers(candidate),
            speed_preference: if capacity.is_uneven {
                SpeedPreference::Fastest
            } else {
                SpeedPreference::NotSlow
            },
            max_slowdown_percent,
            ..PlacementConstraints::default()
        };
        let key = (spec.placement_key(), count, max_slowdown_percent);
        // Steps with an advisor are never skipped: the workers that it permits differ from step to step.
        let is_known_not_to_fit =
            constraints.allowed_workers.is_none() && pass.unplaced.contains(&key);
        if !is_known_not_to_fit
            && let Some(placements) = place_all(&pass.after_stops, &spec, count, &constraints)
        {
            reserve(&mut pass.after_stops, capacity, &placements, spec.demand());
            return true;
        }
        if !is_known_not_to_fit {
            pass.unplaced.push(key);
        }
        // Idle workers that reply within milliseconds would make the preemption pointless. Each plan scans whole
        // racks; a pass on a small host has to stay short.
        if capacity.is_incomplete() || pass.plans_left == 0 {
            return false;
        }
        pass.plans_left -= 1;
        // Listing all runs is the most expensive part of a pass, so it is done only when needed.
        let victims = pass
            .victims
            .get_or_insert_with(|| self.preemptible(now, &pass.slot_index));
        let Some(plan) = plan_for(
            candidate,
            &pass.after_stops,
            &spec,
            count,
            &constraints,
            victims,
        ) else {
            return false;
        };
        // Other runs are preempted only if the value gained by meeting the objective exceeds the value of
        // the work that is lost. A fixed limit for all jobs would keep large urgent jobs waiting, whose
        // value is many times higher.
        let gain = candidate.value * (1.0 - self.limits.weights.late_share);
        let is_worthwhile = plan.lost_work * pass.value_per_core_second <= gain;
        // A guarantee covers any capacity; what makes only the difference between fast and slow workers
        // has to be worth its price.
        let is_owed = candidate.is_guaranteed && max_slowdown_percent.is_none();
        if !is_owed && !is_worthwhile {
            return false;
        }
        self.preempted_for.entry(candidate.step_id()).or_insert(now);
        for victim in &plan.victims {
            // Otherwise the victim would be placed first in the next pass, in the capacity just freed.
            self.preempted_for.remove(&victim.unit.step);
            self.stop_victim(now, victim, candidate);
            for &(index, freed) in &victim.freed {
                pass.after_stops[index].release(freed);
            }
        }
        victims.retain(|victim| {
            let is_stopped = |other: &Victim| other.unit == victim.unit;
            !plan.victims.iter().any(is_stopped)
        });
        // The stops may free more than this job needs, so steps that did not fit before may fit now.
        pass.unplaced.clear();
        reserve(
            &mut pass.after_stops,
            capacity,
            &plan.placements,
            spec.demand(),
        );
        true
    }

    fn waiting_tasks(&self, candidate: &Candidate) -> Option<(StepSpec, usize)> {
        let job = self.jobs.get(&candidate.job_id)?;
        let count = job
            .step(candidate.occurrence, candidate.step)?
            .waiting_count();
        Some((job.spec(candidate.step)?.clone(), count))
    }

    fn slots_after_stops(&self, slots: &[Slot]) -> Vec<Slot> {
        let mut after_stops = slots.to_vec();
        for slot in &mut after_stops {
            let Some(worker) = self.workers.get(&slot.worker) else {
                continue;
            };
            for allocation in worker
                .allocations
                .values()
                .filter(|allocation| allocation.is_stopping())
            {
                slot.release(allocation.resources);
            }
        }
        after_stops
    }

    fn stop_victim(&mut self, now: TimeMs, victim: &Victim, preemptor: &Candidate) {
        let unit = &victim.unit;
        if let Some(job) = self.jobs.get_mut(&unit.step.job_id) {
            job.accounting.preempted_by = Some(preemptor.job_id.clone());
        }
        self.actions.push(Action::LogPreemption(Preemption {
            step: unit.step.clone(),
            kind: victim.kind,
            accelerators: victim.accelerators,
            preemptor: preemptor.step_id(),
            is_guaranteed: preemptor.is_guaranteed,
            accelerators_needed: preemptor.accelerators_needed,
        }));
        for worker in &victim.workers {
            self.stop_matching_on(now, worker, RunEndReason::Displaced, |task| {
                unit.contains(task)
            });
        }
    }
}

/// Finds the cheapest plan among the victims that the step may preempt.
fn plan_for(
    candidate: &Candidate,
    after_stops: &[Slot],
    spec: &StepSpec,
    count: usize,
    constraints: &PlacementConstraints,
    victims: &[Victim],
) -> Option<PreemptionPlan> {
    let is_allowed = |victim: &Victim| may_preempt(candidate, victim.kind);
    if victims.iter().all(is_allowed) {
        return cheapest_plan(after_stops, spec, count, constraints, victims);
    }
    let allowed: Vec<Victim> = victims.iter().filter(|v| is_allowed(v)).cloned().collect();
    cheapest_plan(after_stops, spec, count, constraints, &allowed)
}

/// Whether a step that may preempt others may preempt a unit of this kind.
fn may_preempt(candidate: &Candidate, kind: VictimKind) -> bool {
    match kind {
        VictimKind::LowerPriority => true,
        VictimKind::Borrower => candidate.is_guaranteed,
        VictimKind::WithoutAccelerators => {
            candidate.is_guaranteed && candidate.needs_accelerators()
        }
    }
}

/// Allocates the resources on the given slots, now and after the stops, so that later steps can't use them.
fn reserve(
    after_stops: &mut [Slot],
    capacity: &mut PoolCapacity,
    placements: &[usize],
    need: Resources,
) {
    for &index in placements {
        for slots in [&mut *after_stops, &mut *capacity.slots] {
            slots[index].allocate(need);
        }
    }
}
