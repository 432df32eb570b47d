//! Moves small borrowed work by a checkpoint so that large cells become whole again.

use std::collections::BTreeSet;

use ragwortwick_core::{DurationMs, GangId, TimeMs};

use super::ZonePlacer;
use super::gang::{EndCause, Gang, GangState};
use super::pool::{BLOCK, Pool};

/// Least time between two moves, so that checkpoints stay a small part of the work.
const MOVE_INTERVAL_MS: DurationMs = DurationMs(10_000);

/// Least run time of a gang before it is moved; shorter work ends by itself soon.
const MOVE_AFTER_MS: DurationMs = DurationMs(60_000);

impl ZonePlacer {
    /// Stops the borrowed gangs of the cell that is cheapest to make whole, if they fit elsewhere.
    pub(super) fn defragment(&mut self, now: TimeMs) {
        let is_busy = self
            .gangs
            .values()
            .any(|gang| gang.state == GangState::Stopping);
        if is_busy || now < self.next_move {
            return;
        }
        let largest = self.largest_guaranteed();
        if largest <= BLOCK {
            return;
        }
        self.next_move = now + MOVE_INTERVAL_MS;
        let Some(moved) = self.cheapest_move(now, largest) else {
            return;
        };
        for gang_id in moved {
            self.abort(now, &gang_id, EndCause::Moved);
        }
    }

    fn cheapest_move(&mut self, now: TimeMs, largest: u32) -> Option<BTreeSet<GangId>> {
        let mut idle = self.ledger.idle_pool();
        idle.rack_unit = largest / BLOCK;
        let racks = idle.rack_of.iter().max().map_or(0, |last| last + 1);
        let mut best: Option<(u32, BTreeSet<GangId>)> = None;
        for rack in 0..racks {
            let Some((cost, gangs)) = self.emptying(now, rack, &idle) else {
                continue;
            };
            if cost > self.move_limit() || best.as_ref().is_some_and(|(known, _)| *known <= cost) {
                continue;
            }
            best = Some((cost, gangs));
        }
        best.map(|(_, gangs)| gangs)
    }

    /// The gangs to move for one more whole cell in a rack, and how many accelerators they hold.
    fn emptying(
        &mut self,
        now: TimeMs,
        rack: usize,
        idle: &Pool,
    ) -> Option<(u32, BTreeSet<GangId>)> {
        let unit = idle.rack_unit as usize;
        let mut whole = 0;
        let mut partly: Vec<(u32, usize)> = Vec::new();
        for (index, entry) in self.ledger.workers.iter().enumerate() {
            self.steps += 1;
            if entry.rack != rack || !entry.is_usable() || entry.accelerators != BLOCK {
                continue;
            }
            match entry.held().count_ones() {
                0 => whole += 1,
                held => partly.push((held, index)),
            }
        }
        let missing = unit - whole % unit;
        partly.sort_unstable();
        if partly.len() < missing {
            return None;
        }
        let emptied: Vec<usize> = partly[..missing].iter().map(|(_, index)| *index).collect();
        let gangs = self.movable_on(now, &emptied)?;
        let cost = gangs.iter().map(|id| accelerators(&self.gangs[id])).sum();
        self.fit_elsewhere(&gangs, &emptied, rack, idle)
            .then_some((cost, gangs))
    }

    /// All gangs on these workers, if every one of them may be moved.
    fn movable_on(&self, now: TimeMs, workers: &[usize]) -> Option<BTreeSet<GangId>> {
        let mut gangs = BTreeSet::new();
        for worker in workers {
            let entry = &self.ledger.workers[*worker];
            if entry.foreign != 0 {
                return None;
            }
            for hold in &entry.holds {
                let gang = self.gangs.get(&hold.gang_id)?;
                if !self.is_movable(now, gang) {
                    return None;
                }
                gangs.insert(hold.gang_id.clone());
            }
        }
        Some(gangs)
    }

    fn is_movable(&self, now: TimeMs, gang: &Gang) -> bool {
        let job = self.jobs.get(&gang.job_id);
        let may_repeat =
            job.is_some_and(|job| job.record.spec.repeatable && !self.weights.is_urgent(job));
        gang.is_borrowed
            && may_repeat
            && gang.state == GangState::Running
            && now.since(gang.since) >= MOVE_AFTER_MS
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
        let largest = pool.rack_unit * BLOCK;
        let whole_before = pool.count(largest);
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
        pool.count(largest) == whole_before
    }
}

fn accelerators(gang: &Gang) -> u32 {
    gang.parts().iter().map(|part| part.mask.count_ones()).sum()
}
