//! Search for cells where a shape can start now: guaranteed cells, fragments or idle accelerators.

use super::ZonePlacer;
use super::bindings::CellQuery;
use super::cells::Cell;
use super::ledger::WorkerHealth;
use super::pool::BLOCK_SIZE;
use super::start::{PlacementPass, PlacementRequest, is_conflicting};

impl ZonePlacer {
    /// Searches the customer's unused guaranteed cells.
    pub(super) fn find_guaranteed(
        &mut self,
        request: &PlacementRequest,
        pass: &PlacementPass,
    ) -> Option<Vec<Cell>> {
        let query = CellQuery {
            customer: &request.customer,
            cells: request.cells,
            size: request.size,
            is_urgent: request.is_urgent,
            borrowed: &pass.borrowed,
            stop_cost: &pass.stop_cost,
            unavailable: &pass.unavailable,
            excluded: &request.excluded_workers,
        };
        let found = self.bindings.find_cells(&query)?;
        if !is_conflicting(&found, &pass.borrowed) {
            return Some(found);
        }
        self.bindings
            .move_to_idle(&request.customer, request.size, &pass.idle);
        self.bindings.find_cells(&query)
    }

    /// Searches idle accelerators beyond the guarantee, preferring those that split no large cell.
    pub(super) fn find_borrowed(
        &mut self,
        request: &PlacementRequest,
        pass: &PlacementPass,
    ) -> Option<Vec<Cell>> {
        // A guarantee may preempt borrowed work at any time. Work that cannot be repeated would then
        // end as "may have run", so it waits for its customer's guarantee if that is large enough.
        if !request.is_repeatable && self.is_within_guarantee(request) {
            return None;
        }
        if let Some(cells) = self.find_trial(request) {
            return Some(cells);
        }
        if request.is_over_borrow_budget(pass) {
            return None;
        }
        let mut idle = pass.idle.clone();
        for worker in &request.excluded_workers {
            idle.free[*worker] = 0;
        }
        let steps_before = idle.steps;
        if idle.cell_count(request.size) < request.cells {
            self.steps += 1;
            return None;
        }
        let largest = self.largest_guaranteed();
        let whole_before = idle.cell_count(largest);
        let found = idle.take_shape(request.cells, request.size);
        self.steps += idle.steps - steps_before;
        let splits_large_cell = request.size < largest && idle.cell_count(largest) < whole_before;
        if splits_large_cell && request.can_wait && !request.is_urgent {
            return None;
        }
        found
    }

    /// Searches fragments outside whole large cells, so that small jobs split no guaranteed cell.
    ///
    /// Small jobs that split their customer's large cells would delay the customer's own large jobs;
    /// in fragments they run as borrowed work, which a checkpoint can move.
    pub(super) fn find_fragment(
        &mut self,
        request: &PlacementRequest,
        pass: &PlacementPass,
    ) -> Option<Vec<Cell>> {
        let largest = self.largest_guaranteed();
        let is_small = request.size < largest;
        if !request.is_repeatable || !is_small || request.is_over_borrow_budget(pass) {
            return None;
        }
        let mut idle = pass.idle.clone();
        for worker in &request.excluded_workers {
            idle.free[*worker] = 0;
        }
        if idle.cell_count(request.size) < request.cells {
            return None;
        }
        let whole_before = idle.cell_count(largest);
        let steps_before = idle.steps;
        let found = idle.take_shape(request.cells, request.size);
        self.steps += idle.steps - steps_before;
        found.filter(|_| idle.cell_count(largest) == whole_before)
    }

    /// Searches all idle accelerators, for small jobs that would split their customer's large cell.
    pub(super) fn find_idle(
        &mut self,
        request: &PlacementRequest,
        pass: &PlacementPass,
    ) -> Option<Vec<Cell>> {
        if request.is_over_borrow_budget(pass) {
            return None;
        }
        let mut idle = pass.idle.clone();
        for worker in &request.excluded_workers {
            idle.free[*worker] = 0;
        }
        let found = idle.take_shape(request.cells, request.size);
        self.steps += idle.steps - pass.idle.steps;
        found
    }

    pub(super) fn is_within_guarantee(&self, request: &PlacementRequest) -> bool {
        let cells: u32 = self
            .bindings
            .list
            .iter()
            .filter(|binding| binding.customer == request.customer && binding.size >= request.size)
            .map(|binding| binding.size / request.size)
            .sum();
        cells >= request.cells
    }

    /// Finds cells for small repeatable work on a worker that is on trial.
    pub(super) fn find_trial(&mut self, request: &PlacementRequest) -> Option<Vec<Cell>> {
        if request.is_urgent || !request.is_repeatable || request.size > BLOCK_SIZE {
            return None;
        }
        let workers = &self.ledger.workers;
        let index = (0..workers.len()).find(|index| {
            workers[*index].health == WorkerHealth::Trial
                && workers[*index].allocations.is_empty()
                && !request.excluded_workers.contains(index)
        })?;
        let entry = &self.ledger.workers[index];
        let mut pool = self.ledger.idle_pool();
        pool.free.fill(0);
        pool.free[index] = entry.capacity_mask() & !entry.allocated_mask();
        if entry.is_lost() || !entry.has_inventory || pool.cell_count(request.size) < request.cells
        {
            return None;
        }
        pool.take_shape(request.cells, request.size)
    }
}
