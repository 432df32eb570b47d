//! Room that is kept for waiting gangs until what runs there has ended.
//!
//! Answers the load in which small tasks fill every gap as it opens: a gang that needs several whole
//! workers then never begins, however much more it is worth than they. Only a part of the pool is kept
//! at a time, and only the room that is free soonest, since what is kept stands idle.

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

/// Share of the pool's workers, in per cent, on which room is kept at a time: what is kept stands idle.
const KEPT_SHARE_PERCENT: usize = 35;

/// Time left on a worker on which room was kept already counts for so much, in per cent. Where many end
/// at about the same time, the room kept would else lie elsewhere in each pass, and none came together.
const KEPT_BEFORE_PERCENT: u64 = 60;

/// How long a job may have nothing running before it gets room that is kept for others.
///
/// Callers take a job for lost that has nothing running for 3 s while most of the workers are idle; the
/// start itself takes a few tenths of that.
const IDLE_MS: DurationMs = DurationMs(2_000);

/// Gangs in one pass that room is kept for; each looks through the whole pool.
const MOST_KEPT: usize = 4;

/// What runs on a slot takes, and how long it is likely to go on.
type Outlook = Vec<(DurationMs, Resources)>;

/// `Reservations` is what one pass may still keep, and what it knows of the pool.
pub(crate) struct Reservations {
    workers_left: usize,
    gangs_left: usize,
    /// Workers with room that is kept.
    pub(crate) workers: BTreeSet<WorkerName>,
    /// What is kept, by slot.
    kept: Vec<(usize, Resources)>,
    /// By slot, once it is needed.
    outlooks: Option<Vec<Outlook>>,
}

impl Reservations {
    pub(crate) fn new(workers: usize) -> Self {
        Self {
            workers_left: workers * KEPT_SHARE_PERCENT / 100,
            gangs_left: MOST_KEPT,
            workers: BTreeSet::new(),
            kept: Vec::new(),
            outlooks: None,
        }
    }
}

impl Reservations {
    /// Gives back what is kept on one worker that then has room for a task of the step, if there is one.
    fn release(
        &mut self,
        slots: &mut [Slot],
        spec: &StepSpec,
        bounds: &PlacementConstraints,
    ) -> bool {
        let with_kept = |slots: &[Slot], index: usize| {
            let kept = self.kept.iter().filter(|(at, _)| *at == index);
            let mut slot = slots[index].clone();
            slot.free = kept.fold(slot.free, |free, (_, need)| free.plus(*need));
            slot
        };
        let mut indexes = self.kept.iter().map(|(index, _)| *index);
        let found =
            indexes.find(|&index| with_kept(slots, index).placeable_tasks(spec, bounds) > 0);
        let Some(index) = found else {
            return false;
        };
        slots[index] = with_kept(slots, index);
        self.kept.retain(|(at, _)| *at != index);
        true
    }
}

/// `Kept` is where a gang will find room.
struct Kept {
    /// Slots of the pass, one for each member.
    places: Vec<usize>,
    /// When the last of them is likely to be free.
    ready_ms: DurationMs,
}

impl Coordinator {
    /// Gives room that is kept on one worker back for a job that has had nothing running for a while.
    ///
    /// Kept room may stand idle for seconds. A caller whose job doesn't even begin meanwhile would see
    /// it forgotten, with most of the workers idle at the end of a busy time.
    pub(crate) fn release_reservation_for(
        &self,
        now: TimeMs,
        candidate: &Candidate,
        slots: &mut [Slot],
        keeping: &mut Reservations,
    ) -> bool {
        let Some(job) = self.jobs.get(&candidate.job_id) else {
            return false;
        };
        let Some(spec) = job.spec(candidate.step) else {
            return false;
        };
        let idle_ms = now.since(job.last_run_ended_at.max(candidate.due_at));
        let is_left_out = job.is_idle() && idle_ms >= IDLE_MS;
        is_left_out
            && !spec.is_gang
            && keeping.release(slots, spec, &PlacementConstraints::default())
    }

    /// Takes the room that a waiting gang gets soonest out of what later work may take.
    pub(crate) fn reserve_for_gang(
        &self,
        now: TimeMs,
        candidate: &Candidate,
        room: &mut PoolCapacity,
        keeping: &mut Reservations,
    ) {
        let Some(job) = self.jobs.get(&candidate.job_id) else {
            return;
        };
        let step = job.step(candidate.occurrence, candidate.step);
        let (Some(spec), Some(step)) = (job.spec(candidate.step), step) else {
            return;
        };
        let count = step.waiting_count();
        let is_wanted = spec.is_gang && self.advice_terms(candidate).is_none();
        if !is_wanted || keeping.gangs_left == 0 || count > keeping.workers_left {
            return;
        }
        let bounds = headroom::constraints_for(candidate, spec, room);
        let slots = &mut room.slots;
        let outlooks = keeping
            .outlooks
            .get_or_insert_with(|| self.outlooks(now, slots));
        keeping.gangs_left -= 1;
        let Some(kept) = soonest(slots, outlooks, spec, count, &bounds) else {
            return;
        };
        for index in kept.places {
            let slot = &mut slots[index];
            let before = slot.free;
            slot.free = before.saturating_sub(spec.demand());
            // What runs there has not ended yet, so there may be less to keep than the gang needs.
            keeping.kept.push((index, before.saturating_sub(slot.free)));
            if keeping.workers.insert(slot.worker.clone()) {
                keeping.workers_left -= 1;
            }
        }
    }

    /// What runs on each slot, what ends soonest first.
    fn outlooks(&self, now: TimeMs, slots: &[Slot]) -> Vec<Outlook> {
        let of_slot = |slot: &Slot| {
            let worker = self.workers.get(&slot.worker);
            let clock_ms = worker.and_then(|worker| worker.clock_at(now));
            let held = worker
                .into_iter()
                .flat_map(|worker| worker.allocations.values());
            let is_kept = self.reserved_workers.contains(&slot.worker);
            let percent = if is_kept { KEPT_BEFORE_PERCENT } else { 100 };
            let mut outlook: Outlook = held
                .map(|held| {
                    let rest_ms = held.rest_ms(now, clock_ms).0 * percent / 100;
                    (DurationMs(rest_ms), held.resources)
                })
                .collect();
            outlook.sort_by_key(|(rest_ms, _)| *rest_ms);
            outlook
        };
        slots.iter().map(of_slot).collect()
    }
}

impl Allocation {
    /// How long it is likely to go on.
    fn rest_ms(&self, now: TimeMs, clock_ms: Option<u64>) -> DurationMs {
        if self.is_stopping() {
            return DurationMs(0);
        }
        let since = self.started_at.unwrap_or(self.placed_at);
        let told = self.tracker.zip(clock_ms);
        let told = told.and_then(|(watch, clock_ms)| watch.remaining_ms(clock_ms));
        told.unwrap_or_else(|| {
            let rest = self.expected_ms.0.saturating_sub(now.since(since).0);
            // What should be over already goes on for a while.
            DurationMs(rest.max(self.expected_ms.0 / 10))
        })
    }
}

/// The room that is free soonest for all members of a gang.
fn soonest(
    slots: &[Slot],
    outlooks: &[Outlook],
    spec: &StepSpec,
    count: usize,
    bounds: &PlacementConstraints,
) -> Option<Kept> {
    let fits: Vec<Vec<DurationMs>> = slots
        .iter()
        .zip(outlooks)
        .map(|(slot, outlook)| fit_times(slot, outlook, spec, count, bounds))
        .collect();
    if !spec.wants_same_rack {
        return pick(&fits, 0..slots.len(), count);
    }
    rack_ranges(slots)
        .filter_map(|within| pick(&fits, within, count))
        .min_by_key(|kept| kept.ready_ms)
}

fn pick(fits: &[Vec<DurationMs>], within: Range<usize>, count: usize) -> Option<Kept> {
    let mut offers: Vec<(DurationMs, usize)> = within
        .flat_map(|index| fits[index].iter().map(move |&at| (at, index)))
        .collect();
    if offers.len() < count {
        return None;
    }
    offers.sort_unstable();
    offers.truncate(count);
    Some(Kept {
        ready_ms: offers.last().map_or(DurationMs(0), |offer| offer.0),
        places: offers.into_iter().map(|(_, index)| index).collect(),
    })
}

/// When a slot takes one task, two, and so on.
fn fit_times(
    slot: &Slot,
    outlook: &Outlook,
    spec: &StepSpec,
    count: usize,
    bounds: &PlacementConstraints,
) -> Vec<DurationMs> {
    let mut slot = slot.clone();
    let mut times = Vec::new();
    let mut at = DurationMs(0);
    let mut ends = outlook.iter();
    loop {
        while times.len() < count && slot.placeable_tasks(spec, bounds) > 0 {
            slot.allocate(spec.demand());
            times.push(at);
        }
        match ends.next() {
            Some((end, need)) if times.len() < count => {
                at = *end;
                slot.release(*need);
            }
            _ => return times,
        }
    }
}
