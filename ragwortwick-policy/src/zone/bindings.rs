//! Cell bindings: for every guaranteed cell of every customer, the accelerators that it would use now.
//!
//! This is the virtual private cluster of `HiveD` (Zhao et al., OSDI 2020), kept as an explicit
//! binding. Bound cells are disjoint and contain no other customer's guaranteed work, so each binding
//! proves that its cell can be reclaimed at this moment, and a reclaim needs no search.

use std::collections::{BTreeMap, BTreeSet};

use ragwortwick_border::GuaranteeRow;
use ragwortwick_core::{CustomerName, common};

use super::cells::{Cell, Part};
use super::pool::{BLOCK_SIZE, Pool, aligned_blocks};

/// `CellBinding` is one guaranteed cell with its accelerators; a cell without parts is unbound.
#[common]
pub(super) struct CellBinding {
    pub(super) customer: CustomerName,
    pub(super) size: u32,
    pub(super) parts: Vec<Part>,
    /// Accelerators of each part in use by the customer's guaranteed work.
    pub(super) used: Vec<u32>,
}

impl CellBinding {
    fn new(customer: CustomerName, cell: Cell) -> Self {
        Self {
            customer,
            size: cell.size,
            used: vec![0; cell.parts.len()],
            parts: cell.parts,
        }
    }

    pub(super) fn is_unbound(&self) -> bool {
        self.parts.is_empty()
    }

    pub(super) fn is_unused(&self) -> bool {
        self.used.iter().all(|used| *used == 0)
    }

    fn overlap_count(&self, masks: &[u32]) -> u32 {
        self.parts
            .iter()
            .map(|part| (part.mask & masks[part.worker]).count_ones())
            .sum()
    }
}

/// `CellBindings` holds the binding of every guaranteed cell of a zone.
#[derive(Clone, Debug, Default)]
pub(super) struct CellBindings {
    pub(super) list: Vec<CellBinding>,
    pub(super) steps: u64,
}

/// `GuaranteedGang` is a running or starting gang that uses its customer's guarantee.
#[derive(Clone, Debug)]
pub(super) struct GuaranteedGang {
    pub(super) customer: CustomerName,
    pub(super) parts: Vec<Part>,
}

impl CellBindings {
    /// `mask_by_worker` returns the accelerators of all bound cells, by worker.
    pub(super) fn mask_by_worker(&self, workers: usize) -> Vec<u32> {
        let mut masks = vec![0; workers];
        for part in self.list.iter().flat_map(|binding| &binding.parts) {
            masks[part.worker] |= part.mask;
        }
        masks
    }

    /// `find_cells` selects unused guaranteed cells for a shape, or `None` if the guarantee is too small.
    pub(super) fn find_cells(&mut self, query: &CellQuery<'_>) -> Option<Vec<Cell>> {
        let mut candidates: Vec<CellCandidate> = Vec::new();
        for (index, binding) in self.list.iter().enumerate() {
            self.steps += 1;
            if binding.customer != *query.customer || binding.size < query.size {
                continue;
            }
            let borrowed_overlap = binding.overlap_count(query.borrowed);
            for cell in binding.free_cells(query) {
                let overlapping = cell
                    .parts
                    .iter()
                    .filter(|part| part.mask & query.borrowed[part.worker] != 0);
                let conflict: u32 = overlapping.map(|part| query.stop_cost[part.worker]).sum();
                candidates.push(CellCandidate {
                    // A partly used cell is filled before a whole one is split.
                    rank: (
                        if query.is_urgent { 0 } else { conflict },
                        binding.is_unused() && binding.size > query.size,
                        binding.size,
                        conflict,
                        borrowed_overlap,
                        index,
                    ),
                    cell,
                });
            }
        }
        if candidates.len() < query.cells as usize {
            return None;
        }
        candidates.sort_by_key(|candidate| candidate.rank);
        candidates.truncate(query.cells as usize);
        Some(
            candidates
                .into_iter()
                .map(|candidate| candidate.cell)
                .collect(),
        )
    }

    /// `mark_used` marks accelerators as used in the customer's bound cells.
    pub(super) fn mark_used(&mut self, customer: &CustomerName, parts: &[Part]) {
        for binding in self
            .list
            .iter_mut()
            .filter(|binding| binding.customer == *customer)
        {
            for (used, own) in binding.used.iter_mut().zip(&binding.parts) {
                *used |= overlap_mask(parts, *own);
            }
        }
    }

    /// `mark_unused` marks accelerators as unused in the bound cells that contain them.
    pub(super) fn mark_unused(&mut self, parts: &[Part]) {
        for binding in &mut self.list {
            for (used, own) in binding.used.iter_mut().zip(&binding.parts) {
                *used &= !overlap_mask(parts, *own);
            }
        }
    }

    /// `move_to_idle` rebinds unused cells from borrowed work to idle cells of their size.
    ///
    /// Without it a guarantee would stop borrowed work although an equal cell is idle.
    pub(super) fn move_to_idle(&mut self, customer: &CustomerName, size: u32, idle: &Pool) {
        let workers = idle.free.len();
        for index in 0..self.list.len() {
            let binding = &self.list[index];
            let is_candidate = binding.customer == *customer
                && binding.size >= size
                && binding.is_unused()
                && !binding.is_unbound();
            if !is_candidate || self.is_idle(index, idle) {
                continue;
            }
            self.steps += 1;
            let bound_masks = self.mask_by_worker(workers);
            let mut unbound_idle = idle.clone();
            for (free, bound_mask) in unbound_idle.free.iter_mut().zip(&bound_masks) {
                *free &= !bound_mask;
            }
            if let Some(cell) = unbound_idle.take_cell(self.list[index].size) {
                self.list[index].parts = cell.parts;
                self.list[index].used = vec![0; self.list[index].parts.len()];
                continue;
            }
            let needed_size = self.list[index].size;
            let other = (0..self.list.len()).find(|other| {
                let binding = &self.list[*other];
                binding.customer != *customer
                    && binding.size == needed_size
                    && binding.is_unused()
                    && !binding.is_unbound()
                    && self.is_idle(*other, idle)
            });
            if let Some(other) = other {
                let parts = std::mem::take(&mut self.list[index].parts);
                self.list[index].parts = std::mem::replace(&mut self.list[other].parts, parts);
                self.list[index].used = vec![0; self.list[index].parts.len()];
                self.list[other].used = vec![0; self.list[other].parts.len()];
            }
        }
    }

    fn is_idle(&self, index: usize, idle: &Pool) -> bool {
        self.list[index]
            .parts
            .iter()
            .all(|part| part.mask & idle.free[part.worker] == part.mask)
    }

    /// `cells_short` counts the unbound cells, by customer.
    pub(super) fn cells_short(&self) -> BTreeMap<CustomerName, u32> {
        let mut short = BTreeMap::new();
        for binding in self.list.iter().filter(|binding| binding.is_unbound()) {
            *short.entry(binding.customer.clone()).or_insert(0) += 1;
        }
        short
    }
}

/// `CellQuery` is a shape to find among a customer's bound cells.
#[derive(Debug)]
pub(super) struct CellQuery<'a> {
    pub(super) customer: &'a CustomerName,
    pub(super) cells: u32,
    pub(super) size: u32,
    /// Accelerators allocated to borrowed work, by worker.
    pub(super) borrowed: &'a [u32],
    /// Urgent work fills partly used cells first, even if that preempts borrowed work: spread over
    /// whole cells it would leave no cell for the next urgent job within the guarantee.
    pub(super) is_urgent: bool,
    /// Size in accelerators of the largest gang that would have to stop, by worker.
    pub(super) stop_cost: &'a [u32],
    /// Accelerators that cannot be reclaimed now, by worker.
    pub(super) unavailable: &'a [u32],
    /// Workers that this job must not use.
    pub(super) excluded: &'a BTreeSet<usize>,
}

struct CellCandidate {
    rank: (u32, bool, u32, u32, u32, usize),
    cell: Cell,
}

impl CellBinding {
    fn free_cells(&self, query: &CellQuery<'_>) -> Vec<Cell> {
        let free_parts = self.parts.iter().zip(&self.used).map(|(part, used)| {
            let is_excluded = query.excluded.contains(&part.worker);
            let unavailable = query.unavailable[part.worker] | used;
            Part {
                worker: part.worker,
                mask: if is_excluded {
                    0
                } else {
                    part.mask & !unavailable
                },
            }
        });
        let step = query.size.min(BLOCK_SIZE);
        let blocks: Vec<Part> = free_parts
            .flat_map(|part| {
                aligned_blocks(part.mask, step).map(move |mask| Part {
                    worker: part.worker,
                    mask,
                })
            })
            .collect();
        blocks
            .chunks_exact((query.size / step) as usize)
            .map(|parts| Cell {
                size: query.size,
                parts: parts.to_vec(),
            })
            .collect()
    }
}

fn overlap_mask(parts: &[Part], own: Part) -> u32 {
    parts
        .iter()
        .filter(|part| part.worker == own.worker)
        .fold(0, |mask, part| mask | (part.mask & own.mask))
}

/// `bind_cells` binds every guaranteed cell to accelerators, around the running guaranteed work.
///
/// Returns the bindings and, for each guaranteed gang, whether bound cells contain all of it.
pub(super) fn bind_cells(
    rows: &[&GuaranteeRow],
    usable: &Pool,
    guaranteed: &[GuaranteedGang],
) -> (CellBindings, Vec<bool>) {
    let workers = usable.free.len();
    let mut used: BTreeMap<&CustomerName, Vec<u32>> = BTreeMap::new();
    let mut used_by_all = vec![0; workers];
    for gang in guaranteed {
        let masks = used
            .entry(&gang.customer)
            .or_insert_with(|| vec![0; workers]);
        for part in &gang.parts {
            masks[part.worker] |= part.mask;
            used_by_all[part.worker] |= part.mask;
        }
    }
    let mut required_cells: Vec<(&CustomerName, u32)> = Vec::new();
    for row in rows {
        let cells = row.shape.cells.min(MAX_CELLS);
        required_cells.extend((0..cells).map(|_| (&row.customer, row.shape.cell_accelerators)));
    }
    required_cells.sort_by_key(|(_, size)| std::cmp::Reverse(*size));

    let mut pool = usable.clone();
    let mut bindings = CellBindings::default();
    let mut unplaced = Vec::new();
    for (customer, size) in required_cells {
        let own = used
            .get(customer)
            .cloned()
            .unwrap_or_else(|| vec![0; workers]);
        let others: Vec<u32> = (0..workers).map(|w| used_by_all[w] & !own[w]).collect();
        match most_used_cell(&pool, &own, &others, size) {
            Some(cell) => {
                for part in &cell.parts {
                    pool.free[part.worker] &= !part.mask;
                    if let Some(masks) = used.get_mut(customer) {
                        masks[part.worker] &= !part.mask;
                    }
                }
                bindings.list.push(CellBinding::new(customer.clone(), cell));
            }
            None => unplaced.push((customer, size)),
        }
    }
    for (free, masks) in pool.free.iter_mut().zip(&used_by_all) {
        *free &= !masks;
    }
    for (customer, size) in unplaced {
        let cell = pool.take_cell(size).unwrap_or(Cell {
            size,
            parts: Vec::new(),
        });
        bindings.list.push(CellBinding::new(customer.clone(), cell));
    }
    bindings
        .list
        .sort_by(|a, b| (&a.customer, b.size).cmp(&(&b.customer, a.size)));
    let fits = guaranteed
        .iter()
        .map(|gang| bindings.mark_guaranteed(gang))
        .collect();
    (bindings, fits)
}

/// More than the accelerators of a zone of 350 workers; limits the cost of a mistyped number.
const MAX_CELLS: u32 = 4096;

impl CellBindings {
    fn mark_guaranteed(&mut self, gang: &GuaranteedGang) -> bool {
        let owned: Vec<&CellBinding> = self
            .list
            .iter()
            .filter(|binding| binding.customer == gang.customer)
            .collect();
        let is_inside = gang.parts.iter().all(|part| {
            let inside = owned
                .iter()
                .flat_map(|binding| &binding.parts)
                .filter(|own| own.worker == part.worker)
                .fold(0, |mask, own| mask | own.mask);
            part.mask & inside == part.mask
        });
        if is_inside {
            self.mark_used(&gang.customer, &gang.parts);
        }
        is_inside
    }
}

/// Selects the cell with the most of a customer's own work and none of others' guaranteed work.
fn most_used_cell(pool: &Pool, own: &[u32], others: &[u32], size: u32) -> Option<Cell> {
    let step = size.min(BLOCK_SIZE);
    let mut racks: BTreeMap<usize, Vec<(u32, Part)>> = BTreeMap::new();
    for worker in 0..pool.free.len() {
        for mask in aligned_blocks(pool.free[worker] & !others[worker], step) {
            let occupied = (mask & own[worker]).count_ones();
            let part = Part { worker, mask };
            racks
                .entry(pool.rack_of[worker])
                .or_default()
                .push((occupied, part));
        }
    }
    let needed = (size / step) as usize;
    let mut best: Option<(u32, Vec<Part>)> = None;
    for blocks in racks.values_mut().filter(|blocks| blocks.len() >= needed) {
        blocks.sort_by_key(|(occupied, part)| (std::cmp::Reverse(*occupied), *part));
        let occupied: u32 = blocks[..needed].iter().map(|(occupied, _)| occupied).sum();
        if occupied > best.as_ref().map_or(0, |(known, _)| *known) {
            let parts = blocks[..needed].iter().map(|(_, part)| *part).collect();
            best = Some((occupied, parts));
        }
    }
    best.map(|(_, parts)| Cell { size, parts })
}
