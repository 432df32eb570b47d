//! Capacity reserved for waiting gangs until the runs that occupy it have ended.
//!
//! Without reservations, small tasks fill every gap as soon as it opens, and a gang that needs several whole
//! workers never starts, however much higher its value is. Reserved capacity is idle, so only a part of the
//! pool is reserved at a time, and only the capacity that is expected to be free first.

use std::collections::BTreeSet;
use std::ops::Range;

use ragwortwick_core::{DurationMs, TimeMs, WorkerName};

use crate::allocation::Allocation;
use crate::candidates::Candidate;
use crate::coordinator::Coordinator;
use crate::headroom;
use crate::job::{Resources, StepSpec};
use crate::packing::{PlacementConstraints, Slot, rack_ranges};
use crate::pool_capacity::PoolCapacity;

/// Maximum share of the pool's workers, in per cent, with reservations, since reserved capacity is idle.
const MAX_RESERVED_PERCENT: usize = 35;

/// Weight, in per cent, of the remaining time of runs on workers that the last pass reserved. Where many runs
/// end at about the same time, each pass would otherwise reserve different workers, and no gang could start.
const RESERVED_BEFORE_PERCENT: u64 = 60;

/// How long a job may have no placed run before it gets capacity that is reserved for others.
///
/// Clients consider a job lost that has no run for 3 s while most of the workers are idle; the start itself
/// takes a few tenths of that.
const MAX_IDLE_MS: DurationMs = DurationMs(2_000);

/// Maximum number of gangs per pass with a reservation; each reservation scans the whole pool.
const MAX_RESERVED_GANGS: usize = 4;

/// Expected remaining time and resources of each run on a slot.
type Forecast = Vec<(DurationMs, Resources)>;

/// `Reservations` holds the reservations of one pass and what it may still reserve.
pub(crate) struct Reservations {
    workers_left: usize,
    gangs_left: usize,
    /// Workers with reserved capacity.
    pub(crate) workers: BTreeSet<WorkerName>,
    /// Reserved resources, by slot index.
    reserved: Vec<(usize, Resources)>,
    /// By slot, computed when first needed.
    forecasts: Option<Vec<Forecast>>,
}

impl Reservations {
    pub(crate) fn new(workers: usize) -> Self {
        Self {
            workers_left: workers * MAX_RESERVED_PERCENT / 100,
            gangs_left: MAX_RESERVED_GANGS,
            workers: BTreeSet::new(),
            reserved: Vec::new(),
            forecasts: None,
        }
    }
}

impl Reservations {
    /// Releases the reservations on one worker where a task of the step then fits, if there is one.
    fn release(
        &mut self,
        slots: &mut [Slot],
        spec: &StepSpec,
        constraints: &PlacementConstraints,
    ) -> bool {
        let without_reservation = |slots: &[Slot], index: usize| {
            let reserved = self.reserved.iter().filter(|(at, _)| *at == index);
            let mut slot = slots[index].clone();
            slot.free = reserved.fold(slot.free, |free, (_, reserved)| free.plus(*reserved));
            slot
        };
        let mut indexes = self.reserved.iter().map(|(index, _)| *index);
        let found = indexes.find(|&index| {
            without_reservation(slots, index).placeable_tasks(spec, constraints) > 0
        });
        let Some(index) = found else {
            return false;
        };
        slots[index] = without_reservation(slots, index);
        self.reserved.retain(|(at, _)| *at != index);
        true
    }
}

/// `Reservation` is the capacity where a gang will fit.
struct Reservation {
    /// Slot index for each member.
    placements: Vec<usize>,
    /// Time until the last of them is expected to be free.
    ready_in_ms: DurationMs,
}

impl Coordinator {
    /// Releases the reservations on one worker for a job that has had no run for too long.
    ///
    /// Reserved capacity may be idle for seconds. A client whose job does not even start in the meantime
    /// would consider it lost, since most of the workers are idle at the end of a busy period.
    pub(crate) fn release_reservation_for(
        &self,
        now: TimeMs,
        candidate: &Candidate,
        slots: &mut [Slot],
        reservations: &mut Reservations,
    ) -> bool {
        let Some(job) = self.jobs.get(&candidate.job_id) else {
            return false;
        };
        let Some(spec) = job.spec(candidate.step) else {
            return false;
        };
        let idle_ms = now.since(job.last_run_ended_at.max(candidate.due_at));
        let is_idle_too_long = job.is_idle() && idle_ms >= MAX_IDLE_MS;
        is_idle_too_long
            && !spec.is_gang
            && reservations.release(slots, spec, &PlacementConstraints::default())
    }

    /// Reserves the capacity that is free first for a waiting gang, so that later steps can't use it.
    ///
    /// Returns the slot index for each member; none if nothing is reserved.
    pub(crate) fn reserve_for_gang(
        &self,
        now: TimeMs,
        candidate: &Candidate,
        capacity: &mut PoolCapacity,
        reservations: &mut Reservations,
    ) -> Vec<usize> {
        let Some(job) = self.jobs.get(&candidate.job_id) else {
            return Vec::new();
        };
        let step = job.step(candidate.occurrence, candidate.step);
        let (Some(spec), Some(step)) = (job.spec(candidate.step), step) else {
            return Vec::new();
        };
        let count = step.waiting_count();
        let can_reserve = spec.is_gang && self.advisor_timing(candidate).is_none();
        if !can_reserve || reservations.gangs_left == 0 || count > reservations.workers_left {
            return Vec::new();
        }
        let constraints = headroom::constraints_for(candidate, spec, capacity);
        let slots = &mut capacity.slots;
        let forecasts = reservations
            .forecasts
            .get_or_insert_with(|| self.forecasts(now, slots));
        reservations.gangs_left -= 1;
        let Some(reservation) = earliest_reservation(slots, forecasts, spec, count, &constraints)
        else {
            return Vec::new();
        };
        for &index in &reservation.placements {
            let slot = &mut slots[index];
            let before = slot.free;
            slot.free = before.saturating_sub(spec.demand());
            // Runs there have not ended yet, so less may be free to reserve than the gang needs.
            reservations
                .reserved
                .push((index, before.saturating_sub(slot.free)));
            if reservations.workers.insert(slot.worker.clone()) {
                reservations.workers_left -= 1;
            }
        }
        reservation.placements
    }

    /// Forecasts the runs on each slot, ordered by their expected end.
    fn forecasts(&self, now: TimeMs, slots: &[Slot]) -> Vec<Forecast> {
        let of_slot = |slot: &Slot| {
            let worker = self.workers.get(&slot.worker);
            let clock_ms = worker.and_then(|worker| worker.clock_at(now));
            let allocations = worker
                .into_iter()
                .flat_map(|worker| worker.allocations.values());
            let was_reserved = self.reserved_workers.contains(&slot.worker);
            let percent = if was_reserved {
                RESERVED_BEFORE_PERCENT
            } else {
                100
            };
            let mut forecast: Forecast = allocations
                .map(|allocation| {
                    let remaining_ms = allocation.remaining_ms(now, clock_ms).0 * percent / 100;
                    (DurationMs(remaining_ms), allocation.resources)
                })
                .collect();
            forecast.sort_by_key(|(remaining_ms, _)| *remaining_ms);
            forecast
        };
        slots.iter().map(of_slot).collect()
    }
}

impl Allocation {
    /// Expected remaining time of the run.
    fn remaining_ms(&self, now: TimeMs, clock_ms: Option<u64>) -> DurationMs {
        if self.is_stopping() {
            return DurationMs(0);
        }
        let since = self.started_at.unwrap_or(self.placed_at);
        let reported = self.tracker.zip(clock_ms);
        let reported = reported.and_then(|(tracker, clock_ms)| tracker.remaining_ms(clock_ms));
        reported.unwrap_or_else(|| {
            let remaining_ms = self.expected_ms.0.saturating_sub(now.since(since).0);
            // A run beyond its estimate is expected to continue for a tenth of it.
            DurationMs(remaining_ms.max(self.expected_ms.0 / 10))
        })
    }
}

/// Returns the reservation with the earliest time at which all members of a gang fit.
fn earliest_reservation(
    slots: &[Slot],
    forecasts: &[Forecast],
    spec: &StepSpec,
    count: usize,
    constraints: &PlacementConstraints,
) -> Option<Reservation> {
    let available_at: Vec<Vec<DurationMs>> = slots
        .iter()
        .zip(forecasts)
        .map(|(slot, forecast)| availability_times(slot, forecast, spec, count, constraints))
        .collect();
    if !spec.wants_same_rack {
        return pick_earliest(&available_at, 0..slots.len(), count);
    }
    rack_ranges(slots)
        .filter_map(|range| pick_earliest(&available_at, range, count))
        .min_by_key(|reservation| reservation.ready_in_ms)
}

fn pick_earliest(
    available_at: &[Vec<DurationMs>],
    range: Range<usize>,
    count: usize,
) -> Option<Reservation> {
    let mut available: Vec<(DurationMs, usize)> = range
        .flat_map(|index| available_at[index].iter().map(move |&at| (at, index)))
        .collect();
    if available.len() < count {
        return None;
    }
    available.sort_unstable();
    available.truncate(count);
    Some(Reservation {
        ready_in_ms: available.last().map_or(DurationMs(0), |last| last.0),
        placements: available.into_iter().map(|(_, index)| index).collect(),
    })
}

/// Returns the times until one task fits on a slot, two tasks, and so on.
fn availability_times(
    slot: &Slot,
    forecast: &Forecast,
    spec: &StepSpec,
    count: usize,
    constraints: &PlacementConstraints,
) -> Vec<DurationMs> {
    let mut slot = slot.clone();
    let mut times = Vec::new();
    let mut at = DurationMs(0);
    let mut releases = forecast.iter();
    loop {
        while times.len() < count && slot.placeable_tasks(spec, constraints) > 0 {
            slot.allocate(spec.demand());
            times.push(at);
        }
        match releases.next() {
            Some((released_at, resources)) if times.len() < count => {
                at = *released_at;
                slot.release(*resources);
            }
            _ => return times,
        }
    }
}
