//! Homes: for every guaranteed cell of every customer, the accelerators that it would use now.
//!
//! This is the private virtual cluster of `HiveD` (Zhao et al., OSDI 2020), kept as an explicit
//! assignment. The homes are disjoint and hold no other customer's guaranteed work, so each one is
//! the witness that its cell can be reclaimed at this instant; nothing has to be searched for then.

use std::collections::{BTreeMap, BTreeSet};

use ragwortwick_border::GuaranteeRow;
use ragwortwick_core::{CustomerName, common};

use super::cells::{Cell, Part};
use super::pool::{BLOCK, Pool, aligned};

/// `Home` is one guaranteed cell with its accelerators; without parts the cell is short.
#[common]
pub(super) struct Home {
    pub(super) customer: CustomerName,
    pub(super) size: u32,
    pub(super) parts: Vec<Part>,
    /// Accelerators of each part in use by the customer's covered work.
    pub(super) used: Vec<u32>,
}

impl Home {
    fn new(customer: CustomerName, cell: Cell) -> Self {
        Self {
            customer,
            size: cell.size,
            used: vec![0; cell.parts.len()],
            parts: cell.parts,
        }
    }

    pub(super) fn is_short(&self) -> bool {
        self.parts.is_empty()
    }

    pub(super) fn is_unused(&self) -> bool {
        self.used.iter().all(|used| *used == 0)
    }

    fn touches(&self, masks: &[u32]) -> u32 {
        self.parts
            .iter()
            .map(|part| (part.mask & masks[part.worker]).count_ones())
            .sum()
    }
}

/// `Homes` holds the home of every guaranteed cell of a zone.
#[derive(Clone, Debug, Default)]
pub(super) struct Homes {
    pub(super) list: Vec<Home>,
    pub(super) steps: u64,
}

/// `Covered` is a running or starting gang that uses its customer's guarantee.
#[derive(Clone, Debug)]
pub(super) struct Covered {
    pub(super) customer: CustomerName,
    pub(super) parts: Vec<Part>,
}

impl Homes {
    /// `mask_by_worker` gives the accelerators that belong to any home.
    pub(super) fn mask_by_worker(&self, workers: usize) -> Vec<u32> {
        let mut masks = vec![0; workers];
        for part in self.list.iter().flat_map(|home| &home.parts) {
            masks[part.worker] |= part.mask;
        }
        masks
    }

    /// `find` picks unused guaranteed cells for a shape, or none if the guarantee does not cover it.
    pub(super) fn find(&mut self, wanted: &Wanted<'_>) -> Option<Vec<Cell>> {
        let mut choices: Vec<Choice> = Vec::new();
        for (index, home) in self.list.iter().enumerate() {
            self.steps += 1;
            if home.customer != *wanted.customer || home.size < wanted.size {
                continue;
            }
            let harm = home.touches(wanted.borrowed);
            for cell in home.open_cells(wanted) {
                let touched = cell
                    .parts
                    .iter()
                    .filter(|part| part.mask & wanted.borrowed[part.worker] != 0);
                let conflict: u32 = touched.map(|part| wanted.stop_cost[part.worker]).sum();
                choices.push(Choice {
                    // A cell that is opened already is used up before a whole one.
                    rank: (
                        if wanted.is_urgent { 0 } else { conflict },
                        home.is_unused() && home.size > wanted.size,
                        home.size,
                        conflict,
                        harm,
                        index,
                    ),
                    cell,
                });
            }
        }
        if choices.len() < wanted.cells as usize {
            return None;
        }
        choices.sort_by_key(|choice| choice.rank);
        choices.truncate(wanted.cells as usize);
        Some(choices.into_iter().map(|choice| choice.cell).collect())
    }

    /// `mark` books accelerators inside the customer's homes.
    pub(super) fn mark(&mut self, customer: &CustomerName, parts: &[Part]) {
        for home in self.list.iter_mut().filter(|h| h.customer == *customer) {
            for (slot, own) in home.used.iter_mut().zip(&home.parts) {
                *slot |= masked(parts, *own);
            }
        }
    }

    /// `unmark` gives accelerators back to the homes that they belong to.
    pub(super) fn unmark(&mut self, parts: &[Part]) {
        for home in &mut self.list {
            for (slot, own) in home.used.iter_mut().zip(&home.parts) {
                *slot &= !masked(parts, *own);
            }
        }
    }

    /// `move_to_idle` moves unused homes off borrowed work where idle cells of their size exist.
    ///
    /// Without it a guarantee would stop borrowed work although as good a cell stands idle.
    pub(super) fn move_to_idle(&mut self, customer: &CustomerName, size: u32, idle: &Pool) {
        let workers = idle.free.len();
        for index in 0..self.list.len() {
            let home = &self.list[index];
            let is_candidate = home.customer == *customer
                && home.size >= size
                && home.is_unused()
                && !home.is_short();
            if !is_candidate || self.is_idle(index, idle) {
                continue;
            }
            self.steps += 1;
            let homes = self.mask_by_worker(workers);
            let mut spare = idle.clone();
            for (free, home_mask) in spare.free.iter_mut().zip(&homes) {
                *free &= !home_mask;
            }
            if let Some(cell) = spare.take(self.list[index].size) {
                self.list[index].parts = cell.parts;
                self.list[index].used = vec![0; self.list[index].parts.len()];
                continue;
            }
            let wanted = self.list[index].size;
            let other = (0..self.list.len()).find(|other| {
                let home = &self.list[*other];
                home.customer != *customer
                    && home.size == wanted
                    && home.is_unused()
                    && !home.is_short()
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

    /// `cells_short` counts the cells without a home, by customer.
    pub(super) fn cells_short(&self) -> BTreeMap<CustomerName, u32> {
        let mut short = BTreeMap::new();
        for home in self.list.iter().filter(|home| home.is_short()) {
            *short.entry(home.customer.clone()).or_insert(0) += 1;
        }
        short
    }
}

/// `Wanted` is a shape looked for among a customer's homes.
#[derive(Debug)]
pub(super) struct Wanted<'a> {
    pub(super) customer: &'a CustomerName,
    pub(super) cells: u32,
    pub(super) size: u32,
    /// Accelerators held by borrowed work, by worker.
    pub(super) borrowed: &'a [u32],
    /// Urgent work fills its opened cells first, also where borrowed work has to leave: spread over
    /// whole cells it would leave no room for the next urgent job that the guarantee covers.
    pub(super) is_urgent: bool,
    /// Accelerators of the largest gang that would have to stop, by worker.
    pub(super) stop_cost: &'a [u32],
    /// Accelerators that can't be had now, by worker.
    pub(super) closed: &'a [u32],
    /// Workers that this job must not use.
    pub(super) excluded: &'a BTreeSet<usize>,
}

struct Choice {
    rank: (u32, bool, u32, u32, u32, usize),
    cell: Cell,
}

impl Home {
    fn open_cells(&self, wanted: &Wanted<'_>) -> Vec<Cell> {
        let open = self.parts.iter().zip(&self.used).map(|(part, used)| {
            let is_excluded = wanted.excluded.contains(&part.worker);
            let closed = wanted.closed[part.worker] | used;
            Part {
                worker: part.worker,
                mask: if is_excluded { 0 } else { part.mask & !closed },
            }
        });
        let step = wanted.size.min(BLOCK);
        let blocks: Vec<Part> = open
            .flat_map(|part| {
                aligned(part.mask, step).map(move |mask| Part {
                    worker: part.worker,
                    mask,
                })
            })
            .collect();
        blocks
            .chunks_exact((wanted.size / step) as usize)
            .map(|parts| Cell {
                size: wanted.size,
                parts: parts.to_vec(),
            })
            .collect()
    }
}

fn masked(parts: &[Part], own: Part) -> u32 {
    parts
        .iter()
        .filter(|part| part.worker == own.worker)
        .fold(0, |mask, part| mask | (part.mask & own.mask))
}

/// `assign` gives every guaranteed cell a home, around the covered work that runs.
///
/// Returns the homes and, for each covered gang, whether homes cover all of it.
pub(super) fn assign(
    rows: &[&GuaranteeRow],
    usable: &Pool,
    covered: &[Covered],
) -> (Homes, Vec<bool>) {
    let workers = usable.free.len();
    let mut used: BTreeMap<&CustomerName, Vec<u32>> = BTreeMap::new();
    let mut used_by_all = vec![0; workers];
    for gang in covered {
        let masks = used
            .entry(&gang.customer)
            .or_insert_with(|| vec![0; workers]);
        for part in &gang.parts {
            masks[part.worker] |= part.mask;
            used_by_all[part.worker] |= part.mask;
        }
    }
    let mut wanted: Vec<(&CustomerName, u32)> = Vec::new();
    for row in rows {
        let cells = row.shape.cells.min(MAX_CELLS);
        wanted.extend((0..cells).map(|_| (&row.customer, row.shape.cell_accelerators)));
    }
    wanted.sort_by_key(|(_, size)| std::cmp::Reverse(*size));

    let mut pool = usable.clone();
    let mut homes = Homes::default();
    let mut unplaced = Vec::new();
    for (customer, size) in wanted {
        let own = used
            .get(customer)
            .cloned()
            .unwrap_or_else(|| vec![0; workers]);
        let others: Vec<u32> = (0..workers).map(|w| used_by_all[w] & !own[w]).collect();
        match cover(&pool, &own, &others, size) {
            Some(cell) => {
                for part in &cell.parts {
                    pool.free[part.worker] &= !part.mask;
                    if let Some(masks) = used.get_mut(customer) {
                        masks[part.worker] &= !part.mask;
                    }
                }
                homes.list.push(Home::new(customer.clone(), cell));
            }
            None => unplaced.push((customer, size)),
        }
    }
    for (free, masks) in pool.free.iter_mut().zip(&used_by_all) {
        *free &= !masks;
    }
    for (customer, size) in unplaced {
        let cell = pool.take(size).unwrap_or(Cell {
            size,
            parts: Vec::new(),
        });
        homes.list.push(Home::new(customer.clone(), cell));
    }
    homes
        .list
        .sort_by(|a, b| (&a.customer, b.size).cmp(&(&b.customer, a.size)));
    let fits = covered
        .iter()
        .map(|gang| homes.book_covered(gang))
        .collect();
    (homes, fits)
}

/// More cells than a zone of 350 workers has accelerators; keeps a mistyped number harmless.
const MAX_CELLS: u32 = 4096;

impl Homes {
    fn book_covered(&mut self, gang: &Covered) -> bool {
        let owned: Vec<&Home> = self
            .list
            .iter()
            .filter(|h| h.customer == gang.customer)
            .collect();
        let is_inside = gang.parts.iter().all(|part| {
            let inside = owned
                .iter()
                .flat_map(|home| &home.parts)
                .filter(|own| own.worker == part.worker)
                .fold(0, |mask, own| mask | own.mask);
            part.mask & inside == part.mask
        });
        if is_inside {
            self.mark(&gang.customer, &gang.parts);
        }
        is_inside
    }
}

/// Picks the cell that holds the most of a customer's own work and none of others' covered work.
fn cover(pool: &Pool, own: &[u32], others: &[u32], size: u32) -> Option<Cell> {
    let step = size.min(BLOCK);
    let mut racks: BTreeMap<usize, Vec<(u32, Part)>> = BTreeMap::new();
    for worker in 0..pool.free.len() {
        for mask in aligned(pool.free[worker] & !others[worker], step) {
            let held = (mask & own[worker]).count_ones();
            let part = Part { worker, mask };
            racks
                .entry(pool.rack_of[worker])
                .or_default()
                .push((held, part));
        }
    }
    let need = (size / step) as usize;
    let mut best: Option<(u32, Vec<Part>)> = None;
    for blocks in racks.values_mut().filter(|blocks| blocks.len() >= need) {
        blocks.sort_by_key(|(held, part)| (std::cmp::Reverse(*held), *part));
        let held: u32 = blocks[..need].iter().map(|(held, _)| held).sum();
        if held > best.as_ref().map_or(0, |(known, _)| *known) {
            let parts = blocks[..need].iter().map(|(_, part)| *part).collect();
            best = Some((held, parts));
        }
    }
    best.map(|(_, parts)| Cell { size, parts })
}
