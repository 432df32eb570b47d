//! Free accelerators of a zone and the choice of cells among them.
//!
//! A cell of up to eight accelerators is an aligned block of one worker; a larger one is whole
//! blocks of eight in one rack. Sizes are powers of two, so taking a cell of size `n` always costs
//! exactly `n / m` cells of each smaller size `m`: largest first packs whenever any order does.

use super::cells::{Cell, Part};

/// Accelerators in the largest cell that one worker holds.
pub(super) const BLOCK: u32 = 8;

/// Sizes of cells, the largest first.
pub(super) const SIZES: [u32; 7] = [64, 32, 16, 8, 4, 2, 1];

/// `Pool` is a set of free accelerators, by worker.
#[derive(Clone, Debug)]
pub(super) struct Pool {
    pub(super) free: Vec<u32>,
    pub(super) rack_of: Vec<usize>,
    /// Accelerators to be taken last.
    pub(super) avoid: Vec<u32>,
    /// Blocks in the cell that is worth keeping whole; breaking one is the last choice.
    pub(super) rack_unit: u32,
    pub(super) steps: u64,
}

impl Default for Pool {
    fn default() -> Self {
        Self {
            free: Vec::new(),
            rack_of: Vec::new(),
            avoid: Vec::new(),
            rack_unit: 1,
            steps: 0,
        }
    }
}

impl Pool {
    /// `push` adds a worker's free accelerators.
    pub(super) fn push(&mut self, rack: usize, free: u32, avoid: u32) {
        self.rack_of.push(rack);
        self.free.push(free);
        self.avoid.push(avoid);
    }

    /// `count` tells how many cells of this size are free at once.
    pub(super) fn count(&self, size: u32) -> u32 {
        if size <= BLOCK {
            return self.free.iter().map(|free| blocks_in(*free, size)).sum();
        }
        let whole = self.whole_by_rack();
        whole.iter().map(|blocks| blocks / (size / BLOCK)).sum()
    }

    /// `take_shape` takes equal cells, all or none of them.
    pub(super) fn take_shape(&mut self, cells: u32, size: u32) -> Option<Vec<Cell>> {
        if size <= BLOCK && cells > 1 {
            return self.take_blocks(cells, size);
        }
        let before = self.free.clone();
        let mut taken = Vec::new();
        for _ in 0..cells {
            let Some(cell) = self.take(size) else {
                self.free = before;
                return None;
            };
            taken.push(cell);
        }
        Some(taken)
    }

    /// `take` takes the cell whose loss harms the larger cells least.
    pub(super) fn take(&mut self, size: u32) -> Option<Cell> {
        let parts = if size <= BLOCK {
            self.best_block(size)?
        } else {
            self.best_rack(size)?
        };
        for part in &parts {
            self.free[part.worker] &= !part.mask;
        }
        Some(Cell { size, parts })
    }

    /// Takes many blocks in one scan: blocks of one size never overlap, so one order serves all.
    fn take_blocks(&mut self, cells: u32, size: u32) -> Option<Vec<Cell>> {
        let mut choices = self.score_blocks(size);
        if choices.len() < cells as usize {
            return None;
        }
        choices.sort_unstable();
        choices.truncate(cells as usize);
        let mut taken = Vec::new();
        for BlockScore { worker, mask, .. } in choices {
            self.free[worker] &= !mask;
            let parts = vec![Part { worker, mask }];
            taken.push(Cell { size, parts });
        }
        Some(taken)
    }

    fn best_block(&mut self, size: u32) -> Option<Vec<Part>> {
        let best = self.score_blocks(size).into_iter().min()?;
        let (worker, mask) = (best.worker, best.mask);
        Some(vec![Part { worker, mask }])
    }

    fn score_blocks(&mut self, size: u32) -> Vec<BlockScore> {
        let whole = self.whole_by_rack();
        let mut scores = Vec::new();
        for (worker, free) in self.free.iter().enumerate() {
            self.steps += 1;
            if free.count_ones() < size {
                continue;
            }
            let rack = self.rack_of[worker];
            for mask in aligned(*free, size) {
                let around = containing(*free, mask, size);
                let opens_block = around >= BLOCK;
                scores.push(BlockScore {
                    breaks_large: opens_block && whole[rack].is_multiple_of(self.rack_unit),
                    is_avoided: mask & self.avoid[worker] != 0,
                    around,
                    // A whole block that is opened costs the rack one; take it where fewest are left.
                    rack_blocks: if opens_block { whole[rack] } else { 0 },
                    rack,
                    worker,
                    mask,
                });
            }
        }
        scores
    }

    fn best_rack(&mut self, size: u32) -> Option<Vec<Part>> {
        let need = size / BLOCK;
        let mut racks: Vec<RackBlocks> = Vec::new();
        for (worker, free) in self.free.iter().enumerate() {
            self.steps += 1;
            let rack = self.rack_of[worker];
            if racks.len() <= rack {
                racks.resize_with(rack + 1, RackBlocks::default);
            }
            for mask in aligned(*free, BLOCK) {
                let avoided = mask & self.avoid[worker] != 0;
                racks[rack].blocks.push((avoided, worker, mask));
            }
        }
        for rack in &mut racks {
            rack.blocks.sort_unstable();
        }
        let best = racks
            .iter()
            .filter(|rack| rack.blocks.len() >= need as usize)
            .min_by_key(|rack| {
                let avoided = rack.blocks[need as usize - 1].0;
                let blocks = u32::try_from(rack.blocks.len()).unwrap_or(u32::MAX);
                let unit = self.rack_unit;
                let harm = blocks / unit - (blocks - need) / unit > need / unit;
                (harm, avoided, blocks)
            })?;
        let chosen = best.blocks.iter().take(need as usize);
        Some(
            chosen
                .map(|(_, worker, mask)| Part {
                    worker: *worker,
                    mask: *mask,
                })
                .collect(),
        )
    }

    fn whole_by_rack(&self) -> Vec<u32> {
        let racks = self.rack_of.iter().max().map_or(0, |last| last + 1);
        let mut whole = vec![0; racks];
        for (worker, free) in self.free.iter().enumerate() {
            whole[self.rack_of[worker]] += blocks_in(*free, BLOCK);
        }
        whole
    }
}

/// `BlockScore` orders free blocks, the one whose loss harms least first.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct BlockScore {
    breaks_large: bool,
    is_avoided: bool,
    around: u32,
    rack_blocks: u32,
    rack: usize,
    worker: usize,
    mask: u32,
}

#[derive(Default)]
struct RackBlocks {
    blocks: Vec<(bool, usize, u32)>,
}

/// `full_mask` gives the mask of a worker with this many accelerators.
pub(super) fn full_mask(accelerators: u32) -> u32 {
    1u32.checked_shl(accelerators)
        .map_or(u32::MAX, |above| above - 1)
}

/// `aligned` lists the free aligned blocks of one size.
pub(super) fn aligned(free: u32, size: u32) -> impl Iterator<Item = u32> {
    let block = full_mask(size);
    (0..32 / size)
        .map(move |index| block << (index * size))
        .filter(move |mask| free & mask == *mask)
}

fn blocks_in(free: u32, size: u32) -> u32 {
    u32::try_from(aligned(free, size).count()).unwrap_or(0)
}

/// `containing` gives the size of the largest free aligned block around a block.
fn containing(free: u32, mask: u32, size: u32) -> u32 {
    let mut known = size;
    let mut around = size * 2;
    while around <= BLOCK {
        let start = mask.trailing_zeros() / around * around;
        let wide = full_mask(around) << start;
        if free & wide != wide {
            break;
        }
        known = around;
        around *= 2;
    }
    known
}
