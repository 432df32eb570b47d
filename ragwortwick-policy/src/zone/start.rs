//! The placement pass: which waiting job starts where, now.

use std::collections::BTreeSet;

use ragwortwick_border::{GangMember, GangSpec};
use ragwortwick_core::{CustomerName, DurationMs, GangId, JobId, TimeMs};

use super::ZonePlacer;
use super::cells::{Cell, Part, merge_parts};
use super::gang::{EndCause, Gang, GangEvent, Member, MemberState};
use super::ledger::{Hold, WorkerEntry};
use super::pool::{BLOCK, Pool, SIZES};
use super::queue::{Rank, rank};

/// A job within its guarantee that waited this long takes the guarantee back from younger work.
///
/// This is the stated bound on starvation, but for reclaim; shorter would let every large job stop
/// its customer's small ones.
pub(super) const STARVATION_MS: DurationMs = DurationMs(10 * 60_000);

/// Added to the cost of stopping urgent work: it is stopped only where nothing else would do.
const URGENT_STOP_COST: u32 = 10_000;

/// `Pass` is what one placement pass knows; rebuilt in part after every start.
pub(super) struct Pass {
    pub(super) idle: Pool,
    pub(super) borrowed: Vec<u32>,
    /// Accelerators of the largest gang that a reclaim on the worker would stop.
    pub(super) stop_cost: Vec<u32>,
    pub(super) closed: Vec<u32>,
    /// Accelerators that borrowed work may still take.
    pub(super) spare: u32,
    /// Shapes that found no place in this pass; equal ones need not be tried again.
    pub(super) failed: BTreeSet<(CustomerName, bool, bool, u32, u32)>,
}

/// `Request` is the shape that a job asks for.
#[expect(
    clippy::struct_excessive_bools,
    reason = "independent facts about one job"
)]
pub(super) struct Request {
    pub(super) job_id: JobId,
    pub(super) customer: CustomerName,
    pub(super) cells: u32,
    pub(super) size: u32,
    pub(super) is_urgent: bool,
    pub(super) is_starved: bool,
    pub(super) is_repeatable: bool,
    pub(super) is_patient: bool,
    pub(super) avoided: BTreeSet<usize>,
}

impl Request {
    pub(super) fn accelerators(&self) -> u32 {
        self.cells.saturating_mul(self.size)
    }

    /// Urgent work starts on whatever is idle; its place is never kept from it.
    pub(super) fn is_beyond_spare(&self, pass: &Pass) -> bool {
        !self.is_urgent && self.accelerators() > pass.spare
    }

    pub(super) fn is_routine_small(&self, largest: u32) -> bool {
        !self.is_urgent && self.is_repeatable && self.accelerators() < largest
    }
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
        let workers = &self.ledger.workers;
        let borrowed: Vec<u32> = workers.iter().map(WorkerEntry::borrowed).collect();
        Pass {
            spare: self.spare_for_borrowed(&idle, &borrowed),
            idle,
            borrowed,
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
        let opens_home = covered
            .as_ref()
            .is_none_or(|cells| self.opens_large_home(cells));
        if opens_home && let Some(cells) = self.find_fragment(request, pass) {
            self.start_gang(now, request, &cells, true);
            return true;
        }
        if covered.is_some()
            && opens_home
            && request.is_routine_small(self.largest_guaranteed())
            && let Some(cells) = self.find_idle(request, pass)
        {
            // Borrowed work can be moved when the cell is wanted whole; covered work stays put.
            self.start_gang(now, request, &cells, true);
            return true;
        }
        let is_free = covered
            .as_ref()
            .is_some_and(|c| !is_conflicting(c, &pass.borrowed));
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
