//! Defragmentation: moves small borrowed work by a checkpoint to make large cells whole again.

use std::collections::BTreeSet;

use ragwortwick_core::{DurationMs, GangId, TimeMs};

use super::ZonePlacer;
use super::gang::{EndCause, Gang, GangState};
use super::pool::{BLOCK_SIZE, Pool};

/// Minimum time between two moves, so that checkpoints remain a small share of the work.
const MOVE_INTERVAL_MS: DurationMs = DurationMs(10_000);

/// Minimum run time of a gang before it is moved; shorter work ends soon without a move.
const MIN_RUN_BEFORE_MOVE_MS: DurationMs = DurationMs(60_000);

impl ZonePlacer {
    /// Stops the borrowed gangs in the cell that is cheapest to make whole, if they fit elsewhere.
    pub(super) fn defragment(&mut self, now: TimeMs) {
        let is_stopping = self
            .gangs
            .values()
            .any(|gang| gang.state == GangState::Stopping);
        if is_stopping || now < self.next_move_at {
            return;
        }
        let largest = self.largest_guaranteed();
        if largest <= BLOCK_SIZE {
            return;
        }
        self.next_move_at = now + MOVE_INTERVAL_MS;
        let Some(moved) = self.cheapest_move(now, largest) else {
            return;
        };
        for gang_id in moved {
            self.abort(now, &gang_id, EndCause::Moved);
        }
    }

    fn cheapest_move(&mut self, now: TimeMs, largest: u32) -> Option<BTreeSet<GangId>> {
        let mut idle = self.ledger.idle_pool();
        idle.large_cell_blocks = largest / BLOCK_SIZE;
        let racks = idle.rack_of.iter().max().map_or(0, |last| last + 1);
        let mut best: Option<(u32, BTreeSet<GangId>)> = None;
        for rack in 0..racks {
            let Some((cost, gangs)) = self.gangs_to_move(now, rack, &idle) else {
                continue;
            };
            if cost > self.move_limit() || best.as_ref().is_some_and(|(known, _)| *known <= cost) {
                continue;
            }
            best = Some((cost, gangs));
        }
        best.map(|(_, gangs)| gangs)
    }

    /// Returns the gangs to move for one more whole cell in a rack, and their number of accelerators.
    fn gangs_to_move(
        &mut self,
        now: TimeMs,
        rack: usize,
        idle: &Pool,
    ) -> Option<(u32, BTreeSet<GangId>)> {
        let unit = idle.large_cell_blocks as usize;
        let mut whole = 0;
        let mut partly_used: Vec<(u32, usize)> = Vec::new();
        for (index, entry) in self.ledger.workers.iter().enumerate() {
            self.steps += 1;
            if entry.rack != rack || !entry.is_usable() || entry.accelerators != BLOCK_SIZE {
                continue;
            }
            match entry.allocated_mask().count_ones() {
                0 => whole += 1,
                allocated => partly_used.push((allocated, index)),
            }
        }
        let missing = unit - whole % unit;
        partly_used.sort_unstable();
        if partly_used.len() < missing {
            return None;
        }
        let emptied: Vec<usize> = partly_used[..missing]
            .iter()
            .map(|(_, index)| *index)
            .collect();
        let gangs = self.movable_on(now, &emptied)?;
        let cost = gangs.iter().map(|id| accelerators(&self.gangs[id])).sum();
        self.fit_elsewhere(&gangs, &emptied, rack, idle)
            .then_some((cost, gangs))
    }

    /// Returns all gangs on these workers if every one of them can be moved.
    fn movable_on(&self, now: TimeMs, workers: &[usize]) -> Option<BTreeSet<GangId>> {
        let mut gangs = BTreeSet::new();
        for worker in workers {
            let entry = &self.ledger.workers[*worker];
            if entry.untracked_mask != 0 {
                return None;
            }
            for allocation in &entry.allocations {
                let gang = self.gangs.get(&allocation.gang_id)?;
                if !self.is_movable(now, gang) {
                    return None;
                }
                gangs.insert(allocation.gang_id.clone());
            }
        }
        Some(gangs)
    }

    fn is_movable(&self, now: TimeMs, gang: &Gang) -> bool {
        let job = self.jobs.get(&gang.job_id);
        let is_repeatable =
            job.is_some_and(|job| job.record.spec.repeatable && !self.weights.is_urgent(job));
        gang.is_borrowed
            && is_repeatable
            && gang.state == GangState::Running
            && now.since(gang.entered_at) >= MIN_RUN_BEFORE_MOVE_MS
    }

    fn fit_elsewhere(
        &mut self,
        gangs: &BTreeSet<GangId>,
        emptied: &[usize],
        rack: usize,
        idle: &Pool,
    ) -> bool {
        let mut pool = idle.clone();
        for index in 0..pool.free.len() {
            if pool.rack_of[index] == rack && pool.free[index] == 0xff || emptied.contains(&index) {
                pool.free[index] = 0;
            }
        }
        let largest = pool.large_cell_blocks * BLOCK_SIZE;
        let whole_before = pool.cell_count(largest);
        for gang_id in gangs {
            let Some(job) = self.jobs.get(&self.gangs[gang_id].job_id) else {
                return false;
            };
            let shape = &job.record.spec.shape;
            if pool
                .take_shape(shape.cells, shape.cell_accelerators)
                .is_none()
            {
                return false;
            }
        }
        self.steps += pool.steps - idle.steps;
        pool.cell_count(largest) == whole_before
    }
}

fn accelerators(gang: &Gang) -> u32 {
    gang.parts().iter().map(|part| part.mask.count_ones()).sum()
}
