//! The placement pass: which waiting job starts where, now.

use std::collections::BTreeSet;

use ragwortwick_border::{GangMember, GangSpec};
use ragwortwick_core::{CustomerName, DurationMs, GangId, JobId, TimeMs};

use super::ZonePlacer;
use super::cells::{Cell, Part, merge_parts};
use super::gang::{EndCause, Gang, GangEvent, GangState, Member, MemberState};
use super::homes::Wanted;
use super::ledger::{Hold, Judgement, WorkerEntry};
use super::pool::{BLOCK, Pool, SIZES};
use super::queue::{Rank, rank};

/// A job within its guarantee that waited this long takes the guarantee back from younger work.
///
/// This is the stated bound on starvation, but for reclaim; shorter would let every large job stop
/// its customer's small ones.
pub(super) const STARVATION_MS: DurationMs = DurationMs(10 * 60_000);

/// Longest that a borrowed start waits rather than break a cell of the largest guaranteed size.
const PATIENCE_MS: f64 = 120_000.0;

/// Added to the cost of stopping urgent work: it is stopped only where nothing else would do.
const URGENT_STOP_COST: u32 = 10_000;

/// `Pass` is what one placement pass knows; rebuilt in part after every start.
struct Pass {
    idle: Pool,
    borrowed: Vec<u32>,
    /// Accelerators of the largest gang that a reclaim on the worker would stop.
    stop_cost: Vec<u32>,
    closed: Vec<u32>,
    /// Shapes that found no place in this pass; equal ones need not be tried again.
    failed: BTreeSet<(CustomerName, bool, bool, u32, u32)>,
}

/// `Request` is the shape that a job asks for.
#[expect(
    clippy::struct_excessive_bools,
    reason = "independent facts about one job"
)]
struct Request {
    job_id: JobId,
    customer: CustomerName,
    cells: u32,
    size: u32,
    is_urgent: bool,
    is_starved: bool,
    is_repeatable: bool,
    is_patient: bool,
    avoided: BTreeSet<usize>,
}

impl ZonePlacer {
    pub(super) fn place_waiting(&mut self, now: TimeMs) {
        let mut waiting: Vec<(Rank, JobId)> = Vec::new();
        for (job_id, job) in &self.jobs {
            if job.is_waiting() && job.hold_until <= now && !self.is_start_barred(now, job) {
                waiting.push((rank(job, &self.weights), job_id.clone()));
            }
        }
        if waiting.is_empty() {
            return;
        }
        waiting.sort_unstable();
        let mut pass = self.new_pass(BTreeSet::new());
        for (_, job_id) in waiting {
            self.steps += 1;
            let request = self.request_of(now, &job_id);
            if self.try_start(now, &request, &mut pass) {
                pass = self.new_pass(std::mem::take(&mut pass.failed));
            }
        }
    }

    fn new_pass(&self, failed: BTreeSet<(CustomerName, bool, bool, u32, u32)>) -> Pass {
        let mut idle = self.ledger.idle_pool();
        idle.avoid = self.homes.mask_by_worker(idle.free.len());
        idle.rack_unit = (self.largest_guaranteed() / BLOCK).max(1);
        Pass {
            idle,
            borrowed: self
                .ledger
                .workers
                .iter()
                .map(WorkerEntry::borrowed)
                .collect(),
            stop_cost: self.stop_cost(|gang| gang.is_borrowed),
            closed: self
                .ledger
                .workers
                .iter()
                .map(WorkerEntry::closed)
                .collect(),
            failed,
        }
    }

    /// Whether a start there would break a large guaranteed cell that is whole.
    fn opens_large_home(&self, cells: &[Cell]) -> bool {
        let parts = merge_parts(cells);
        let largest = self.largest_guaranteed();
        self.homes.list.iter().any(|home| {
            let is_whole = home.size == largest && home.is_unused();
            is_whole && home.parts.iter().any(|part| overlaps(&parts, *part))
        })
    }

    fn stop_cost(&self, counts: impl Fn(&Gang) -> bool) -> Vec<u32> {
        let mut costs = vec![0; self.ledger.workers.len()];
        for gang in self.gangs.values().filter(|gang| counts(gang)) {
            let parts = gang.parts();
            let size: u32 = parts.iter().map(|part| part.mask.count_ones()).sum();
            let job = self.jobs.get(&gang.job_id);
            let is_urgent = job.is_some_and(|job| self.weights.is_urgent(job));
            let size = if is_urgent { size + URGENT_STOP_COST } else { size };
            for part in parts {
                costs[part.worker] = size.max(costs[part.worker]);
            }
        }
        costs
    }

    fn request_of(&self, now: TimeMs, job_id: &JobId) -> Request {
        let job = &self.jobs[job_id];
        let spec = &job.record.spec;
        let waited = now.since(job.found_at);
        Request {
            job_id: job_id.clone(),
            customer: spec.customer.clone(),
            cells: spec.shape.cells,
            size: spec.shape.cell_accelerators,
            is_urgent: self.weights.is_urgent(job),
            is_starved: waited >= STARVATION_MS,
            is_repeatable: spec.repeatable,
            is_patient: waited < self.patience(),
            avoided: job.failed_on.union(&job.refused_by).copied().collect(),
        }
    }

    /// How long a borrowed start waits for a place that harms no large cell, by the table's weights.
    fn patience(&self) -> DurationMs {
        let weights = self.table.as_ref().map(|table| &table.table.weights);
        let ratio = weights.map_or(0.0, |w| w.fragmentation / w.completion.max(0.01));
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "clamped to a small positive range"
        )]
        let span_ms = (PATIENCE_MS * ratio.clamp(0.0, 10.0)) as u64;
        DurationMs(span_ms)
    }

    fn try_start(&mut self, now: TimeMs, request: &Request, pass: &mut Pass) -> bool {
        let shape = (
            request.customer.clone(),
            request.is_urgent || request.is_starved,
            request.is_patient,
            request.cells,
            request.size,
        );
        if request.avoided.is_empty() && pass.failed.contains(&shape) {
            return false;
        }
        let covered = self.find_covered(request, pass);
        let opens_home = covered.as_ref().is_none_or(|cells| self.opens_large_home(cells));
        if opens_home && let Some(cells) = self.find_fragment(request, pass) {
            self.start_gang(now, request, &cells, true);
            return true;
        }
        let is_free = covered.as_ref().is_some_and(|c| !is_conflicting(c, &pass.borrowed));
        if !is_free && let Some(cells) = self.find_borrowed(request, pass) {
            // Idle accelerators elsewhere spare running work a checkpoint and its queue a setback.
            self.start_gang(now, request, &cells, true);
            return true;
        }
        if let Some(cells) = covered {
            self.start_gang(now, request, &cells, false);
            return true;
        }
        if let Some(cells) = self.find_demoting(now, request, pass) {
            self.start_gang(now, request, &cells, false);
            return true;
        }
        pass.failed.insert(shape);
        false
    }

    /// Looks among the customer's unused guaranteed cells.
    fn find_covered(&mut self, request: &Request, pass: &Pass) -> Option<Vec<Cell>> {
        let wanted = Wanted {
            customer: &request.customer,
            cells: request.cells,
            size: request.size,
            borrowed: &pass.borrowed,
            stop_cost: &pass.stop_cost,
            closed: &pass.closed,
            excluded: &request.avoided,
        };
        let found = self.homes.find(&wanted)?;
        if !is_conflicting(&found, &pass.borrowed) {
            return Some(found);
        }
        self.homes
            .move_to_idle(&request.customer, request.size, &pass.idle);
        self.homes.find(&wanted)
    }

    /// Takes the customer's own guarantee back from its routine or younger work.
    ///
    /// Only work accepted later is demoted, so two starved jobs can't stop each other in turn.
    fn find_demoting(&mut self, now: TimeMs, request: &Request, pass: &Pass) -> Option<Vec<Cell>> {
        if !request.is_urgent && !request.is_starved {
            return None;
        }
        let accepted = self.jobs[&request.job_id].record.accepted_at_ms;
        let mut homes = self.homes.clone();
        let mut closed = pass.closed.clone();
        let mut demotable = Vec::new();
        for (gang_id, gang) in &self.gangs {
            let Some(job) = self.jobs.get(&gang.job_id) else {
                continue;
            };
            let is_routine = !self.weights.is_urgent(job);
            let is_younger = job.record.accepted_at_ms > accepted;
            let gives_way =
                is_routine && job.record.spec.repeatable && (request.is_urgent || is_younger);
            let is_own = gang.spec.customer == request.customer && !gang.is_borrowed;
            if is_own && gives_way && gang.state == GangState::Running {
                homes.unmark(&gang.parts());
                for part in gang.parts() {
                    closed[part.worker] &= !part.mask;
                }
                demotable.push(gang_id.clone());
            }
        }
        if demotable.is_empty() {
            return None;
        }
        let held: Vec<u32> = (0..closed.len())
            .map(|w| pass.closed[w] & !closed[w])
            .collect();
        let borrowed: Vec<u32> = (0..closed.len())
            .map(|w| pass.borrowed[w] | held[w])
            .collect();
        let stop_cost = self.stop_cost(|_| true);
        let wanted = Wanted {
            customer: &request.customer,
            cells: request.cells,
            size: request.size,
            borrowed: &borrowed,
            stop_cost: &stop_cost,
            closed: &closed,
            excluded: &request.avoided,
        };
        let cells = homes.find(&wanted)?;
        let taken = merge_parts(&cells);
        for gang_id in demotable {
            self.demote_if_touched(&gang_id, &taken);
        }
        debug_assert!(now >= self.owned_since);
        Some(cells)
    }

    fn demote_if_touched(&mut self, gang_id: &GangId, taken: &[Part]) {
        let Some(parts) = self.gangs.get(gang_id).map(Gang::parts) else {
            return;
        };
        if parts.iter().any(|part| overlaps(taken, *part)) {
            self.homes.unmark(&parts);
            self.set_borrowed(gang_id, true);
        }
    }

    pub(super) fn set_borrowed(&mut self, gang_id: &GangId, is_borrowed: bool) {
        let Some(gang) = self.gangs.get_mut(gang_id) else {
            return;
        };
        gang.is_borrowed = is_borrowed;
        let workers: Vec<usize> = gang.members.iter().map(|m| m.part.worker).collect();
        for worker in workers {
            for hold in &mut self.ledger.workers[worker].holds {
                if hold.gang_id == *gang_id {
                    hold.is_borrowed = is_borrowed;
                }
            }
        }
    }

    /// Looks for idle accelerators beyond the guarantee, where the loss harms least.
    fn find_borrowed(&mut self, request: &Request, pass: &Pass) -> Option<Vec<Cell>> {
        // Borrowed work may be stopped for a guarantee at any time; work that can't be repeated
        // would end as "may have run" then, so it waits for its customer's guarantee if it has one.
        if !request.is_repeatable && self.is_ever_covered(request) {
            return None;
        }
        if let Some(cells) = self.find_trial(request) {
            return Some(cells);
        }
        let mut idle = pass.idle.clone();
        for worker in &request.avoided {
            idle.free[*worker] = 0;
        }
        let steps_before = idle.steps;
        if idle.count(request.size) < request.cells {
            self.steps += 1;
            return None;
        }
        let largest = self.largest_guaranteed();
        let whole_before = idle.count(largest);
        let found = idle.take_shape(request.cells, request.size);
        self.steps += idle.steps - steps_before;
        let breaks_large = request.size < largest && idle.count(largest) < whole_before;
        if breaks_large && request.is_patient && !request.is_urgent {
            return None;
        }
        found
    }

    /// Looks for fragments that no large cell can use, so that small routine work opens no home.
    ///
    /// Small work that opened its customer's large cells would keep the customer's own large jobs
    /// waiting; in fragments it can be moved off by a checkpoint.
    fn find_fragment(&mut self, request: &Request, pass: &Pass) -> Option<Vec<Cell>> {
        let largest = self.largest_guaranteed();
        if !request.is_repeatable || request.size >= largest {
            return None;
        }
        let mut idle = pass.idle.clone();
        for worker in &request.avoided {
            idle.free[*worker] = 0;
        }
        if idle.count(request.size) < request.cells {
            return None;
        }
        let whole_before = idle.count(largest);
        let steps_before = idle.steps;
        let found = idle.take_shape(request.cells, request.size);
        self.steps += idle.steps - steps_before;
        found.filter(|_| idle.count(largest) == whole_before)
    }

    fn is_ever_covered(&self, request: &Request) -> bool {
        let cells: u32 = self
            .homes
            .list
            .iter()
            .filter(|home| home.customer == request.customer && home.size >= request.size)
            .map(|home| home.size / request.size)
            .sum();
        cells >= request.cells
    }

    /// Gives small repeatable work to a quarantined worker whose trial is due.
    fn find_trial(&mut self, request: &Request) -> Option<Vec<Cell>> {
        if request.is_urgent || !request.is_repeatable || request.size > BLOCK {
            return None;
        }
        let workers = &self.ledger.workers;
        let index = (0..workers.len()).find(|index| {
            workers[*index].judgement == Judgement::Trial
                && workers[*index].holds.is_empty()
                && !request.avoided.contains(index)
        })?;
        let entry = &self.ledger.workers[index];
        let mut pool = self.ledger.idle_pool();
        pool.free.fill(0);
        pool.free[index] = entry.full() & !entry.held();
        if entry.is_lost() || !entry.is_known || pool.count(request.size) < request.cells {
            return None;
        }
        pool.take_shape(request.cells, request.size)
    }

    pub(super) fn largest_guaranteed(&self) -> u32 {
        let sizes = self.homes.list.iter().map(|home| home.size);
        sizes.max().unwrap_or(SIZES[SIZES.len() - 1])
    }

    fn start_gang(&mut self, now: TimeMs, request: &Request, cells: &[Cell], is_borrowed: bool) {
        let spec = self.spec_of(&request.job_id, cells, is_borrowed);
        let gang_id = spec.gang_id.clone();
        let parts = merge_parts(cells);
        let victims = self.victims_of(&parts);
        if !is_borrowed {
            self.homes.mark(&request.customer, &parts);
        }
        let hold = Hold {
            gang_id: gang_id.clone(),
            mask: 0,
            is_borrowed,
            is_claim: !victims.is_empty(),
        };
        self.ledger.hold(&parts, &hold);
        let members = parts.iter().map(|part| Member {
            part: *part,
            state: MemberState::Idle,
            since_order: 0,
            lease_until: now,
        });
        let gang = Gang {
            job_id: request.job_id.clone(),
            state: self.chart.initial(),
            members: members.collect(),
            is_borrowed,
            cause: None,
            may_have_run: false,
            is_found: false,
            is_orphan: false,
            since: now,
            reserved_at: now,
            spec,
        };
        self.gangs.insert(gang_id.clone(), gang);
        if victims.is_empty() {
            self.reserve_members(now, &gang_id);
            return;
        }
        self.fire(now, &gang_id, GangEvent::Blocked);
        for victim in victims {
            self.abort(now, &victim, EndCause::Reclaimed);
        }
        self.is_place_due = true;
    }

    fn spec_of(&mut self, job_id: &JobId, cells: &[Cell], is_borrowed: bool) -> GangSpec {
        let parts = merge_parts(cells);
        let Some(job) = self.jobs.get_mut(job_id) else {
            unreachable!("only known jobs are placed");
        };
        job.attempt += 1;
        let gang_id = GangId::of_attempt(job_id, job.attempt);
        job.active = Some(gang_id.clone());
        let submit = &job.record.spec;
        let members = parts.iter().map(|part| GangMember {
            device_mask: part.mask,
            tasks: tasks_on(cells, part.worker, submit.tasks_per_cell),
            worker: self.ledger.workers[part.worker].name.clone(),
        });
        GangSpec {
            attempt: job.attempt,
            customer: submit.customer.clone(),
            gang_id,
            is_borrowed,
            job_id: job_id.clone(),
            members: members.collect(),
            payload: submit.payload.clone(),
        }
    }

    fn victims_of(&self, parts: &[Part]) -> BTreeSet<GangId> {
        let mut victims = BTreeSet::new();
        for part in parts {
            for hold in &self.ledger.workers[part.worker].holds {
                if hold.mask & part.mask != 0 {
                    victims.insert(hold.gang_id.clone());
                }
            }
        }
        victims
    }

    /// Lets claims go on whose accelerators are free by now.
    pub(super) fn unblock_claims(&mut self, now: TimeMs) {
        let mut free = Vec::new();
        for (gang_id, gang) in &self.gangs {
            let is_free = gang.state == GangState::Claiming
                && gang.members.iter().all(|member| {
                    let holds = &self.ledger.workers[member.part.worker].holds;
                    holds
                        .iter()
                        .all(|hold| hold.gang_id == *gang_id || hold.mask & member.part.mask == 0)
                });
            if is_free {
                free.push(gang_id.clone());
            }
        }
        for gang_id in free {
            self.tell_reclaimed(now, &gang_id);
            self.fire(now, &gang_id, GangEvent::Unblocked);
        }
    }

    fn tell_reclaimed(&mut self, now: TimeMs, gang_id: &GangId) {
        let gang = &self.gangs[gang_id];
        let notice = super::ZoneNotice::Reclaimed {
            customer: gang.spec.customer.clone(),
            reclaim_ms: now.since(gang.since),
        };
        self.notice(notice);
    }
}

fn is_conflicting(cells: &[Cell], masks: &[u32]) -> bool {
    let mut parts = cells.iter().flat_map(|cell| &cell.parts);
    parts.any(|part| part.mask & masks[part.worker] != 0)
}

fn overlaps(parts: &[Part], other: Part) -> bool {
    parts
        .iter()
        .any(|part| part.worker == other.worker && part.mask & other.mask != 0)
}

/// A cell's tasks run on its first worker if it has one, else they are spread over its workers.
fn tasks_on(cells: &[Cell], worker: usize, tasks_per_cell: u32) -> u32 {
    let tasks_of = |cell: &Cell| {
        let workers = u32::try_from(cell.parts.len()).unwrap_or(1);
        let position = cell.parts.iter().position(|part| part.worker == worker);
        position.map_or(0, |index| {
            let index = u32::try_from(index).unwrap_or(0);
            tasks_per_cell / workers + u32::from(index < tasks_per_cell % workers)
        })
    };
    cells.iter().map(tasks_of).sum::<u32>().max(1)
}
