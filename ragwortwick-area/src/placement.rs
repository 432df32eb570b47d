//! One placement pass: which step is placed next, and on which workers.

use std::collections::{BTreeMap, BTreeSet};

use ragwortwick_core::{CustomerName, DurationMs, PoolName, TimeMs};

use crate::candidates::{Candidate, sort_candidates};
use crate::coordinator::{Coordinator, Now};
use crate::fair_share::{Contender, in_turn};
use crate::headroom;
use crate::job::{Resources, StepSpec};
use crate::job_state::{JobState, Task, TaskState};
use crate::packing::{Locality, PlacementConstraints, pack_gang, pack_single};
use crate::pool_capacity::PoolCapacity;
use crate::reservation::Reservations;

/// How long before its start deadline a guaranteed job may be placed on any rack, even where it runs slower.
const RELAX_LOCALITY_BEFORE_MS: DurationMs = DurationMs(1_000);

impl Coordinator {
    /// Places all tasks that fit, the most urgent steps first.
    pub(crate) fn run_placement_pass(&mut self, now: Now) {
        if !self.can_start_work(now.steady) || !self.has_fresh_workers(now.steady) {
            // Only a full pass updates the scheduled time. Once that time has passed, waking up for it would
            // make the event loop spin. The missing lease or worker list arrives as an event, which requests
            // the next pass.
            self.next_scheduled_at = None;
            return;
        }
        self.speeds.update(now.steady);
        let urgent_usage = self.urgent_usage();
        let mut candidates = self.candidates(now, &urgent_usage);
        sort_candidates(&mut candidates);
        let mut reserved_workers = BTreeSet::new();
        let pools: BTreeSet<PoolName> = candidates.iter().map(|c| c.pool.clone()).collect();
        for pool in pools {
            let mut capacity = self.pool_capacity(now.steady, &pool);
            let in_pool: Vec<&Candidate> = candidates.iter().filter(|c| c.pool == pool).collect();
            let used = urgent_usage.by_pool.get(&pool).copied().unwrap_or(0);
            self.mark_headroom(now.steady, &pool, &in_pool, used, &mut capacity);
            let (urgent, others): (Vec<_>, Vec<_>) =
                in_pool.into_iter().partition(|c| c.can_preempt());
            let others = self.in_fair_order(&pool, others);
            let mut reservations = Reservations::new(capacity.slots.len());
            self.place_urgent(now.steady, &urgent, &mut capacity, &mut reservations);
            self.place_non_preempting(now.steady, &others, &mut capacity, &mut reservations);
            reserved_workers.extend(reservations.workers);
        }
        self.reserved_workers = reserved_workers;
        self.send_advice_request(now.steady);
    }

    /// Orders steps that may not preempt by their customers' shares, while queues are short of capacity. Steps whose
    /// result is of no use any more come last.
    fn in_fair_order<'a>(
        &self,
        pool: &PoolName,
        candidates: Vec<&'a Candidate>,
    ) -> Vec<&'a Candidate> {
        if !self.limits.shares_fairly || !self.load.backlogs.is_any_short() {
            return candidates;
        }
        let (useful, others): (Vec<_>, Vec<_>) =
            candidates.into_iter().partition(|c| c.has_value_left);
        let contenders = useful.into_iter().map(|candidate| Contender {
            customer: candidate.customer.clone(),
            demand: self.pending_demand(candidate),
            step: candidate,
        });
        let (used, capacity) = self.shares_of(pool);
        let weights = &self.limits.customer_weights;
        let mut ordered = in_turn(contenders.collect(), used, capacity, weights);
        ordered.extend(others);
        ordered
    }

    /// Resources of the runs in a pool that no guarantee covers, by customer, and those of all its workers.
    fn shares_of(&self, pool: &PoolName) -> (BTreeMap<CustomerName, Resources>, Resources) {
        let mut used: BTreeMap<CustomerName, Resources> = BTreeMap::new();
        let mut capacity = Resources::default();
        let workers = self.workers.values().filter(|worker| worker.is_listed);
        for worker in workers.filter(|worker| worker.entry.pool == *pool) {
            capacity = capacity.plus(worker.entry.capacity);
            for (task, allocation) in &worker.allocations {
                if allocation.priority == 0 {
                    continue;
                }
                if let Some(job) = self.jobs.get(&task.job_id) {
                    let used = used.entry(job.record.customer.clone()).or_default();
                    *used = used.plus(allocation.resources);
                }
            }
        }
        (used, capacity)
    }

    /// Marks the racks of a pool that are headroom in this pass; urgent runs use `used` accelerators.
    fn mark_headroom(
        &mut self,
        now: TimeMs,
        pool: &PoolName,
        candidates: &[&Candidate],
        used: u64,
        capacity: &mut PoolCapacity,
    ) {
        let waiting = candidates.iter().filter(|c| c.can_preempt());
        let waiting: u64 = waiting.filter_map(|c| self.pending_accelerators(c)).sum();
        let peak = self.urgent_peaks.entry(pool.clone()).or_default();
        let accelerators = peak.headroom_for(now, waiting + used);
        if capacity.is_uneven {
            headroom::mark_fastest(&mut capacity.slots, accelerators);
        } else {
            headroom::mark_racks(&mut capacity.slots, accelerators);
        }
    }

    /// Places steps that may not preempt, in order, and reserves capacity for gangs that do not fit.
    fn place_non_preempting(
        &mut self,
        now: TimeMs,
        others: &[&Candidate],
        capacity: &mut PoolCapacity,
        reservations: &mut Reservations,
    ) {
        let mut unplaced: Vec<(StepSpec, usize)> = Vec::new();
        for candidate in others {
            if self.try_place_step(now, candidate, capacity, &mut unplaced) {
                continue;
            }
            if self.release_reservation_for(now, candidate, &mut capacity.slots, reservations) {
                self.place_step(now, candidate, None, capacity);
            } else if candidate.has_value_left && !capacity.is_mostly_idle() {
                // While half of the pool is idle, small tasks are not the reason why the gang does not fit.
                self.reserve_for_gang(now, candidate, capacity, reservations);
            }
        }
    }

    /// Places as many tasks of a step as fit; returns whether no waiting task is left.
    fn try_place_step(
        &mut self,
        now: TimeMs,
        candidate: &Candidate,
        capacity: &mut PoolCapacity,
        unplaced: &mut Vec<(StepSpec, usize)>,
    ) -> bool {
        let Some(key) = self.placement_key_of(candidate) else {
            return true;
        };
        if key.0.need.accelerators > 0 && !capacity.has_free_accelerators() {
            return false;
        }
        // An equal step that did not fit earlier in this pass does not fit now, as the free capacity only
        // shrinks during a pass. This does not hold for steps that are limited to certain workers.
        let is_limited_to_workers = key.0.max_per_worker.is_some()
            || self.advisor_timing(candidate).is_some()
            || self.has_tasks_needing_isolation(candidate);
        if !is_limited_to_workers && unplaced.contains(&key) {
            return false;
        }
        if self.place_step(now, candidate, None, capacity) {
            return true;
        }
        self.propose_advice_request(now, candidate, &capacity.slots);
        if !is_limited_to_workers {
            unplaced.push(key);
        }
        false
    }

    fn placement_key_of(&self, candidate: &Candidate) -> Option<(StepSpec, usize)> {
        let job = self.jobs.get(&candidate.job_id)?;
        let spec = job.spec(candidate.step)?;
        // If one single task fits nowhere, no other task of its step does.
        let count = if spec.is_gang {
            job.step(candidate.occurrence, candidate.step)?
                .waiting_count()
        } else {
            1
        };
        Some((spec.placement_key(), count))
    }

    /// Whether a task of the step needs an isolated start.
    fn has_tasks_needing_isolation(&self, candidate: &Candidate) -> bool {
        let job = self.jobs.get(&candidate.job_id);
        let step = job.and_then(|job| job.step(candidate.occurrence, candidate.step));
        let mut tasks = step.into_iter().flat_map(|step| &step.tasks);
        tasks.any(|task| task.crash_history.needs_isolation())
    }

    /// Places the waiting tasks of a step that fit; returns whether no task is left that may start now.
    ///
    /// While a worker has yet to list run ends, tasks with abandoned runs are left out: they may have completed.
    ///
    /// With a largest slowdown, in per cent, only workers are used that aren't known to be slower.
    pub(crate) fn place_step(
        &mut self,
        now: TimeMs,
        candidate: &Candidate,
        max_slowdown_percent: Option<u32>,
        capacity: &mut PoolCapacity,
    ) -> bool {
        let Some(job) = self.jobs.get(&candidate.job_id) else {
            return true;
        };
        let Some(spec) = job.spec(candidate.step).cloned() else {
            return true;
        };
        let is_data_unreachable = !spec.is_gang && capacity.has_unreachable_data(&spec);
        let locality = if spec.is_long_running || is_data_unreachable {
            // It has to run at all; locality to its data matters less.
            Locality::Relaxed
        } else {
            self.locality(now, candidate, capacity)
        };
        let mut constraints = PlacementConstraints {
            allowed_workers: self.workers_with_ticket(now, candidate),
            max_slowdown_percent,
            ..headroom::constraints_for(candidate, &spec, capacity)
        };
        count_placed_tasks(&mut constraints, job, candidate);
        if spec.is_gang {
            return self.place_gang(now, candidate, &spec, &constraints, locality, capacity);
        }
        self.place_singles(now, candidate, &spec, constraints, locality, capacity)
    }

    fn locality(&self, now: TimeMs, candidate: &Candidate, capacity: &PoolCapacity) -> Locality {
        let relax_at = candidate.due_at + self.limits.reclaim_ms - RELAX_LOCALITY_BEFORE_MS;
        let is_near_deadline = candidate.is_guaranteed && now >= relax_at;
        if is_near_deadline || capacity.is_mostly_idle() {
            Locality::Relaxed
        } else {
            Locality::Required
        }
    }

    fn place_gang(
        &mut self,
        now: TimeMs,
        candidate: &Candidate,
        spec: &StepSpec,
        constraints: &PlacementConstraints,
        locality: Locality,
        capacity: &mut PoolCapacity,
    ) -> bool {
        let Some(job) = self.jobs.get(&candidate.job_id) else {
            return true;
        };
        let Some(step) = job.step(candidate.occurrence, candidate.step) else {
            return true;
        };
        if capacity.awaits_run_ends && step.tasks.iter().any(Task::has_abandoned_runs) {
            return true;
        }
        let count = step.tasks.len();
        let run = step.tasks.iter().map(|task| task.last_run).max();
        let run = run.unwrap_or(0).saturating_add(1);
        let Some(placements) = pack_gang(&capacity.slots, spec, count, constraints, locality)
        else {
            return false;
        };
        for (index, slot) in (0..).zip(placements) {
            self.place_on_slot(now, candidate, index, slot, run, spec, capacity);
        }
        true
    }

    fn place_singles(
        &mut self,
        now: TimeMs,
        candidate: &Candidate,
        spec: &StepSpec,
        mut constraints: PlacementConstraints,
        locality: Locality,
        capacity: &mut PoolCapacity,
    ) -> bool {
        let Some(step) = self
            .jobs
            .get(&candidate.job_id)
            .and_then(|job| job.step(candidate.occurrence, candidate.step))
        else {
            return true;
        };
        let mut waiting: Vec<(bool, u32, u32)> = (0..)
            .zip(&step.tasks)
            .filter(|(_, task)| task.state == TaskState::Waiting)
            .filter(|(_, task)| !(capacity.awaits_run_ends && task.has_abandoned_runs()))
            .map(|(index, task)| {
                (
                    task.crash_history.needs_isolation(),
                    index,
                    task.last_run.saturating_add(1),
                )
            })
            .collect();
        // Tasks that need an isolated start fit on fewer workers and must not block the others.
        waiting.sort_unstable();
        for (needs_isolation, index, run) in waiting {
            constraints.needs_isolated_start = needs_isolation;
            let Some(slot) = pack_single(&capacity.slots, spec, &constraints, locality) else {
                return false;
            };
            constraints.count_task(&capacity.slots[slot].worker);
            self.place_on_slot(now, candidate, index, slot, run, spec, capacity);
        }
        true
    }

    #[expect(
        clippy::too_many_arguments,
        reason = "one placement is made of just these parts"
    )]
    fn place_on_slot(
        &mut self,
        now: TimeMs,
        candidate: &Candidate,
        index: u32,
        slot: usize,
        run: u32,
        spec: &StepSpec,
        capacity: &mut PoolCapacity,
    ) {
        let Some(job) = self.jobs.get(&candidate.job_id) else {
            return;
        };
        let task = job.task_id(candidate.occurrence, candidate.step, index);
        let worker = capacity.slots[slot].worker.clone();
        capacity.allocate(slot, spec.demand());
        if job
            .task(&task)
            .is_some_and(|state| state.crash_history.needs_isolation())
        {
            capacity.close_slot(slot);
        }
        self.place_run(now, &worker, &task, run, candidate.priority);
    }
}

/// Counts the tasks of the step that are already placed, for its limit of tasks per worker.
fn count_placed_tasks(
    constraints: &mut PlacementConstraints,
    job: &JobState,
    candidate: &Candidate,
) {
    let step = job.step(candidate.occurrence, candidate.step);
    for task in step.into_iter().flat_map(|step| &step.tasks) {
        if let TaskState::Placed(worker) = &task.state {
            constraints.count_task(worker);
        }
    }
}
