//! The placement pass, which selects the waiting jobs to start and their accelerators.

use std::collections::BTreeSet;

use ragwortwick_border::{GangMember, GangSpec};
use ragwortwick_core::{CustomerName, DurationMs, GangId, JobId, TimeMs};

use super::ZonePlacer;
use super::cells::{Cell, Part, merge_parts};
use super::gang::{EndCause, Gang, GangEvent, Member, MemberState};
use super::ledger::{Allocation, WorkerEntry};
use super::pool::{BLOCK_SIZE, CELL_SIZES, Pool};
use super::queue::{Rank, rank};

/// Time after which a waiting job within its guarantee reclaims it from its customer's younger work.
///
/// This bounds starvation, apart from the time of the reclaim; a shorter time would let every large
/// job stop its customer's small ones.
pub(super) const STARVATION_MS: DurationMs = DurationMs(10 * 60_000);

/// Added to the cost of stopping urgent work, so that it is stopped only as a last resort.
const URGENT_STOP_COST: u32 = 10_000;

/// `PlacementPass` is the state of one placement pass; all but `failed` is rebuilt after every start.
pub(super) struct PlacementPass {
    pub(super) idle: Pool,
    pub(super) borrowed: Vec<u32>,
    /// Size in accelerators of the largest gang that a reclaim on the worker would stop.
    pub(super) stop_cost: Vec<u32>,
    pub(super) unavailable: Vec<u32>,
    /// Accelerators that borrowed work may still take.
    pub(super) borrow_budget: u32,
    /// Shapes that found no cells in this pass, so that equal ones are skipped.
    pub(super) failed: BTreeSet<(CustomerName, bool, bool, u32, u32)>,
}

/// `PlacementRequest` is the shape of a waiting job and the conditions for its placement.
#[expect(
    clippy::struct_excessive_bools,
    reason = "independent facts about one job"
)]
pub(super) struct PlacementRequest {
    pub(super) job_id: JobId,
    pub(super) customer: CustomerName,
    pub(super) cells: u32,
    pub(super) size: u32,
    pub(super) is_urgent: bool,
    pub(super) is_starved: bool,
    pub(super) is_repeatable: bool,
    pub(super) can_wait: bool,
    pub(super) excluded_workers: BTreeSet<usize>,
}

impl PlacementRequest {
    pub(super) fn accelerators(&self) -> u32 {
        self.cells.saturating_mul(self.size)
    }

    /// Whether a job exceeds the borrow budget; urgent work is exempt and may use reserved capacity.
    pub(super) fn is_over_borrow_budget(&self, pass: &PlacementPass) -> bool {
        !self.is_urgent && self.accelerators() > pass.borrow_budget
    }

    pub(super) fn is_routine_small(&self, largest: u32) -> bool {
        !self.is_urgent && self.is_repeatable && self.accelerators() < largest
    }
}

impl ZonePlacer {
    pub(super) fn place_waiting(&mut self, now: TimeMs) {
        let mut waiting: Vec<(Rank, JobId)> = Vec::new();
        for (job_id, job) in &self.jobs {
            if job.is_waiting() && job.retry_at <= now && !self.is_start_blocked(now, job) {
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

    fn new_pass(&self, failed: BTreeSet<(CustomerName, bool, bool, u32, u32)>) -> PlacementPass {
        let mut idle = self.ledger.idle_pool();
        idle.avoid = self.bindings.mask_by_worker(idle.free.len());
        idle.large_cell_blocks = (self.largest_guaranteed() / BLOCK_SIZE).max(1);
        let workers = &self.ledger.workers;
        let borrowed: Vec<u32> = workers.iter().map(WorkerEntry::borrowed_mask).collect();
        PlacementPass {
            borrow_budget: self.borrow_budget(&idle, &borrowed),
            idle,
            borrowed,
            stop_cost: self.stop_cost(|gang| gang.is_borrowed),
            unavailable: self
                .ledger
                .workers
                .iter()
                .map(WorkerEntry::unavailable_mask)
                .collect(),
            failed,
        }
    }

    /// Whether a start in these cells would split an unused large guaranteed cell.
    fn splits_large_cell(&self, cells: &[Cell]) -> bool {
        let parts = merge_parts(cells);
        let largest = self.largest_guaranteed();
        self.bindings.list.iter().any(|binding| {
            let is_whole = binding.size == largest && binding.is_unused();
            is_whole && binding.parts.iter().any(|part| overlaps(&parts, *part))
        })
    }

    pub(super) fn stop_cost(&self, counts: impl Fn(&Gang) -> bool) -> Vec<u32> {
        let mut costs = vec![0; self.ledger.workers.len()];
        for gang in self.gangs.values().filter(|gang| counts(gang)) {
            let parts = gang.parts();
            let size: u32 = parts.iter().map(|part| part.mask.count_ones()).sum();
            let job = self.jobs.get(&gang.job_id);
            let is_urgent = job.is_some_and(|job| self.weights.is_urgent(job));
            let size = if is_urgent {
                size + URGENT_STOP_COST
            } else {
                size
            };
            for part in parts {
                costs[part.worker] = size.max(costs[part.worker]);
            }
        }
        costs
    }

    fn request_of(&self, now: TimeMs, job_id: &JobId) -> PlacementRequest {
        let job = &self.jobs[job_id];
        let spec = &job.record.spec;
        let waited = now.since(job.found_at);
        PlacementRequest {
            job_id: job_id.clone(),
            customer: spec.customer.clone(),
            cells: spec.shape.cells,
            size: spec.shape.cell_accelerators,
            is_urgent: self.weights.is_urgent(job),
            is_starved: waited >= STARVATION_MS,
            is_repeatable: spec.repeatable,
            can_wait: waited < self.max_borrow_wait(),
            excluded_workers: job.failed_on.union(&job.refused_by).copied().collect(),
        }
    }

    fn try_start(
        &mut self,
        now: TimeMs,
        request: &PlacementRequest,
        pass: &mut PlacementPass,
    ) -> bool {
        let shape = (
            request.customer.clone(),
            request.is_urgent || request.is_starved,
            request.can_wait,
            request.cells,
            request.size,
        );
        if request.excluded_workers.is_empty() && pass.failed.contains(&shape) {
            return false;
        }
        let guaranteed = self.find_guaranteed(request, pass);
        let splits_large_cell = guaranteed
            .as_ref()
            .is_none_or(|cells| self.splits_large_cell(cells));
        if splits_large_cell && let Some(cells) = self.find_fragment(request, pass) {
            self.start_gang(now, request, &cells, true);
            return true;
        }
        if guaranteed.is_some()
            && splits_large_cell
            && request.is_routine_small(self.largest_guaranteed())
            && let Some(cells) = self.find_idle(request, pass)
        {
            // Unlike guaranteed work, borrowed work can be moved when the whole cell is needed.
            self.start_gang(now, request, &cells, true);
            return true;
        }
        let is_free = guaranteed
            .as_ref()
            .is_some_and(|c| !is_conflicting(c, &pass.borrowed));
        if !is_free && let Some(cells) = self.find_borrowed(request, pass) {
            // Idle accelerators elsewhere avoid the checkpoint and requeue of preempted work.
            self.start_gang(now, request, &cells, true);
            return true;
        }
        if let Some(cells) = guaranteed {
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

    pub(super) fn largest_guaranteed(&self) -> u32 {
        let sizes = self.bindings.list.iter().map(|binding| binding.size);
        sizes.max().unwrap_or(CELL_SIZES[CELL_SIZES.len() - 1])
    }

    fn start_gang(
        &mut self,
        now: TimeMs,
        request: &PlacementRequest,
        cells: &[Cell],
        is_borrowed: bool,
    ) {
        let spec = self.spec_of(&request.job_id, cells, is_borrowed);
        let gang_id = spec.gang_id.clone();
        let parts = merge_parts(cells);
        let victims = self.victims_of(&parts);
        if !is_borrowed {
            self.bindings.mark_used(&request.customer, &parts);
        }
        let allocation = Allocation {
            gang_id: gang_id.clone(),
            mask: 0,
            is_borrowed,
            is_claim: !victims.is_empty(),
        };
        self.ledger.allocate(&parts, &allocation);
        let members = parts.iter().map(|part| Member {
            part: *part,
            state: MemberState::Idle,
            valid_from_order: 0,
            lease_until: now,
        });
        let gang = Gang {
            job_id: request.job_id.clone(),
            state: self.chart.initial(),
            members: members.collect(),
            is_borrowed,
            cause: None,
            may_have_run: false,
            is_recovered: false,
            is_orphan: false,
            entered_at: now,
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
        job.owned_attempt = job.attempt;
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
}

pub(super) fn is_conflicting(cells: &[Cell], masks: &[u32]) -> bool {
    let mut parts = cells.iter().flat_map(|cell| &cell.parts);
    parts.any(|part| part.mask & masks[part.worker] != 0)
}

pub(super) fn overlaps(parts: &[Part], other: Part) -> bool {
    parts
        .iter()
        .any(|part| part.worker == other.worker && part.mask & other.mask != 0)
}

/// Returns the tasks on a worker, at least 1; the tasks of a cell are spread evenly over its workers.
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
