//! Where a shape can start now: in its customer's homes, in fragments, on idle accelerators.

use super::ZonePlacer;
use super::cells::Cell;
use super::homes::Wanted;
use super::ledger::Judgement;
use super::pool::BLOCK;
use super::start::{Pass, Request, is_conflicting};

impl ZonePlacer {
    /// Looks among the customer's unused guaranteed cells.
    pub(super) fn find_covered(&mut self, request: &Request, pass: &Pass) -> Option<Vec<Cell>> {
        let wanted = Wanted {
            customer: &request.customer,
            cells: request.cells,
            size: request.size,
            is_urgent: request.is_urgent,
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

    /// Looks for idle accelerators beyond the guarantee, where the loss harms least.
    pub(super) fn find_borrowed(&mut self, request: &Request, pass: &Pass) -> Option<Vec<Cell>> {
        // Borrowed work may be stopped for a guarantee at any time; work that can't be repeated
        // would end as "may have run" then, so it waits for its customer's guarantee if it has one.
        if !request.is_repeatable && self.is_ever_covered(request) {
            return None;
        }
        if let Some(cells) = self.find_trial(request) {
            return Some(cells);
        }
        if request.is_beyond_spare(pass) {
            return None;
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
    pub(super) fn find_fragment(&mut self, request: &Request, pass: &Pass) -> Option<Vec<Cell>> {
        let largest = self.largest_guaranteed();
        let is_small = request.size < largest;
        if !request.is_repeatable || !is_small || request.is_beyond_spare(pass) {
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

    /// Looks for idle accelerators anywhere, for small work that would open its customer's large cell.
    pub(super) fn find_idle(&mut self, request: &Request, pass: &Pass) -> Option<Vec<Cell>> {
        if request.is_beyond_spare(pass) {
            return None;
        }
        let mut idle = pass.idle.clone();
        for worker in &request.avoided {
            idle.free[*worker] = 0;
        }
        let found = idle.take_shape(request.cells, request.size);
        self.steps += idle.steps - pass.idle.steps;
        found
    }

    pub(super) fn is_ever_covered(&self, request: &Request) -> bool {
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
    pub(super) fn find_trial(&mut self, request: &Request) -> Option<Vec<Cell>> {
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
}
