//! One pass of placement: who is next, and where it goes.

use std::collections::BTreeSet;

use ragwortwick_core::{DurationMs, PoolName, TimeMs, WorkerName};

use crate::candidates::{Candidate, sort_candidates};
use crate::coordinator::{Coordinator, Now};
use crate::headroom;
use crate::job::StepSpec;
use crate::job_state::{JobState, TaskState};
use crate::packing::{Locality, PlacementConstraints, pack_gang, pack_single};
use crate::pool_capacity::PoolCapacity;
use crate::reservation::Reservations;

/// How long before its bound a guaranteed job takes any place, also one where it runs slower.
const RECLAIM_ANYWHERE_MS: DurationMs = DurationMs(1_000);

impl Coordinator {
    /// Places what can be placed, the most pressing work first.
    pub(crate) fn run_placement_pass(&mut self, now: Now) {
        if !self.can_start_work(now.steady) || !self.has_fresh_workers(now.steady) {
            // A set time that has come stays in the past until a pass: asking to be woken at it would
            // keep the thread busy without end. What is missing comes as an event, and that asks for
            // the next pass.
            self.next_scheduled_at = None;
            return;
        }
        let urgent_usage = self.urgent_usage();
        let mut candidates = self.candidates(now, &urgent_usage);
        sort_candidates(&mut candidates);
        let mut reserved_workers = BTreeSet::new();
        let pools: BTreeSet<PoolName> = candidates.iter().map(|c| c.pool.clone()).collect();
        for pool in pools {
            let mut room = self.pool_capacity(now.steady, &pool);
            let of_pool: Vec<&Candidate> = candidates.iter().filter(|c| c.pool == pool).collect();
            let used = urgent_usage.by_pool.get(&pool).copied().unwrap_or(0);
            self.mark_headroom(now.steady, &pool, &of_pool, used, &mut room);
            let (urgent, others): (Vec<_>, Vec<_>) =
                of_pool.into_iter().partition(|c| c.can_preempt());
            self.place_urgent(now.steady, &urgent, &mut room);
            reserved_workers.extend(self.place_others(now.steady, &others, &mut room));
        }
        self.reserved_workers = reserved_workers;
        self.send_advice_request(now.steady);
    }

    /// Places work that nobody is stopped for, in its order; for gangs that find no place room is kept.
    /// Gives the workers that it is kept on.
    fn place_others(
        &mut self,
        now: TimeMs,
        others: &[&Candidate],
        room: &mut PoolCapacity,
    ) -> BTreeSet<WorkerName> {
        let mut failed: Vec<(StepSpec, usize)> = Vec::new();
        let mut keeping = Reservations::new(room.slots.len());
        for candidate in others {
            if self.place_other(now, candidate, room, &mut failed) {
                continue;
            }
            if self.release_reservation_for(now, candidate, &mut room.slots, &mut keeping) {
                self.place_step(now, candidate, room);
            } else if candidate.has_value_left && !room.is_mostly_idle() {
                // With half of the pool idle, what finds no place has other reasons than small tasks.
                self.reserve_for_gang(now, candidate, room, &mut keeping);
            }
        }
        keeping.workers
    }

    /// Places what can be placed of a step; tells whether none of it is left.
    fn place_other(
        &mut self,
        now: TimeMs,
        candidate: &Candidate,
        room: &mut PoolCapacity,
        failed: &mut Vec<(StepSpec, usize)>,
    ) -> bool {
        let Some(shape) = self.shape_of(candidate) else {
            return true;
        };
        if shape.0.need.accelerators > 0 && !room.has_free_accelerators() {
            return false;
        }
        // What found no place a moment ago finds none now: the room only shrinks during a pass. It
        // tells nothing of steps that may go to other workers.
        let is_bound = shape.0.max_per_worker.is_some()
            || self.advice_terms(candidate).is_some()
            || self.has_lone_starts(candidate);
        if !is_bound && failed.contains(&shape) {
            return false;
        }
        if self.place_step(now, candidate, room) {
            return true;
        }
        self.propose_advice_request(now, candidate, &room.slots);
        if !is_bound {
            failed.push(shape);
        }
        false
    }

    fn shape_of(&self, candidate: &Candidate) -> Option<(StepSpec, usize)> {
        let job = self.jobs.get(&candidate.job_id)?;
        let spec = job.spec(candidate.step)?;
        // A single task that fits nowhere tells the same of its whole step.
        let count = if spec.is_gang {
            job.step(candidate.occurrence, candidate.step)?
                .waiting_count()
        } else {
            1
        };
        Some((spec.placement_key(), count))
    }

    /// Whether a task of the step is to start with nothing else.
    fn has_lone_starts(&self, candidate: &Candidate) -> bool {
        let job = self.jobs.get(&candidate.job_id);
        let step = job.and_then(|job| job.step(candidate.occurrence, candidate.step));
        let mut tasks = step.into_iter().flat_map(|step| &step.tasks);
        tasks.any(|task| task.crash_history.needs_isolation())
    }

    /// Places the tasks of a step that wait; tells whether none is left.
    pub(crate) fn place_step(
        &mut self,
        now: TimeMs,
        candidate: &Candidate,
        room: &mut PoolCapacity,
    ) -> bool {
        let Some(job) = self.jobs.get(&candidate.job_id) else {
            return true;
        };
        let Some(spec) = job.spec(candidate.step).cloned() else {
            return true;
        };
        let reach = if spec.is_long_running {
            // Its users wait for it to be there at all; how near its data is matters less.
            Locality::Relaxed
        } else {
            self.reach(now, candidate, room)
        };
        let mut bounds = PlacementConstraints {
            allowed_workers: self.workers_with_ticket(now, candidate),
            ..headroom::constraints_for(candidate, &spec, room)
        };
        take_placed(&mut bounds, job, candidate);
        if spec.is_gang {
            return self.place_gang(now, candidate, &spec, &bounds, reach, room);
        }
        self.place_singles(now, candidate, &spec, bounds, reach, room)
    }

    fn reach(&self, now: TimeMs, candidate: &Candidate, room: &PoolCapacity) -> Locality {
        let bound = candidate.due_at + self.limits.reclaim_ms - RECLAIM_ANYWHERE_MS;
        let is_pressing = candidate.is_guaranteed && now >= bound;
        if is_pressing || room.is_mostly_idle() {
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
        bounds: &PlacementConstraints,
        reach: Locality,
        room: &mut PoolCapacity,
    ) -> bool {
        let Some(job) = self.jobs.get(&candidate.job_id) else {
            return true;
        };
        let Some(step) = job.step(candidate.occurrence, candidate.step) else {
            return true;
        };
        let count = step.tasks.len();
        let run = step.tasks.iter().map(|task| task.last_run).max();
        let run = run.unwrap_or(0) + 1;
        let Some(places) = pack_gang(&room.slots, spec, count, bounds, reach) else {
            return false;
        };
        for (index, slot) in (0..).zip(places) {
            self.put(now, candidate, index, slot, run, spec, room);
        }
        true
    }

    fn place_singles(
        &mut self,
        now: TimeMs,
        candidate: &Candidate,
        spec: &StepSpec,
        mut bounds: PlacementConstraints,
        reach: Locality,
        room: &mut PoolCapacity,
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
            .map(|(index, task)| {
                (
                    task.crash_history.needs_isolation(),
                    index,
                    task.last_run + 1,
                )
            })
            .collect();
        // Those that start alone find fewer places, and must not hold up the others.
        waiting.sort_unstable();
        for (starts_alone, index, run) in waiting {
            bounds.needs_isolated_start = starts_alone;
            let Some(slot) = pack_single(&room.slots, spec, &bounds, reach) else {
                return false;
            };
            bounds.count_task(&room.slots[slot].worker);
            self.put(now, candidate, index, slot, run, spec, room);
        }
        true
    }

    #[expect(
        clippy::too_many_arguments,
        reason = "one placement is made of just these parts"
    )]
    fn put(
        &mut self,
        now: TimeMs,
        candidate: &Candidate,
        index: u32,
        slot: usize,
        run: u32,
        spec: &StepSpec,
        room: &mut PoolCapacity,
    ) {
        let Some(job) = self.jobs.get(&candidate.job_id) else {
            return;
        };
        let task = job.task_id(candidate.occurrence, candidate.step, index);
        let worker = room.slots[slot].worker.clone();
        room.allocate(slot, spec.demand());
        if job
            .task(&task)
            .is_some_and(|state| state.crash_history.needs_isolation())
        {
            room.close_slot(slot);
        }
        self.place_run(now, &worker, &task, run, candidate.priority);
    }
}

/// Notes the tasks of the same step that workers have already, for the bound on one worker.
fn take_placed(bounds: &mut PlacementConstraints, job: &JobState, candidate: &Candidate) {
    let step = job.step(candidate.occurrence, candidate.step);
    for task in step.into_iter().flat_map(|step| &step.tasks) {
        if let TaskState::Placed(worker) = &task.state {
            bounds.count_task(worker);
        }
    }
}
