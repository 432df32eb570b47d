//! Free accelerators of a zone and the selection of cells among them.
//!
//! A cell of up to eight accelerators is an aligned block of one worker; a larger one is whole
//! blocks of eight in one rack. Sizes are powers of two, so taking a cell of size `n` always costs
//! exactly `n / m` cells of each smaller size `m`: if any order packs, largest first does too.

use super::cells::{Cell, Part};

/// Accelerators in the largest cell on a single worker.
pub(super) const BLOCK_SIZE: u32 = 8;

/// Cell sizes, largest first.
pub(super) const CELL_SIZES: [u32; 7] = [64, 32, 16, 8, 4, 2, 1];

/// `Pool` is a set of free accelerators, by worker.
#[derive(Clone, Debug)]
pub(super) struct Pool {
    pub(super) free: Vec<u32>,
    pub(super) rack_of: Vec<usize>,
    /// Accelerators to take last.
    pub(super) avoid: Vec<u32>,
    /// Blocks in a large cell; splitting a whole large cell is the last choice.
    pub(super) large_cell_blocks: u32,
    pub(super) steps: u64,
}

impl Default for Pool {
    fn default() -> Self {
        Self {
            free: Vec::new(),
            rack_of: Vec::new(),
            avoid: Vec::new(),
            large_cell_blocks: 1,
            steps: 0,
        }
    }
}

impl Pool {
    /// `add_worker` adds a worker's free accelerators.
    pub(super) fn add_worker(&mut self, rack: usize, free: u32, avoid: u32) {
        self.rack_of.push(rack);
        self.free.push(free);
        self.avoid.push(avoid);
    }

    /// `cell_count` returns how many cells of this size are free at the same time.
    pub(super) fn cell_count(&self, size: u32) -> u32 {
        if size <= BLOCK_SIZE {
            return self.free.iter().map(|free| count_blocks(*free, size)).sum();
        }
        let whole = self.whole_by_rack();
        whole
            .iter()
            .map(|blocks| blocks / (size / BLOCK_SIZE))
            .sum()
    }

    /// `take_shape` takes the given number of equal cells, or none.
    pub(super) fn take_shape(&mut self, cells: u32, size: u32) -> Option<Vec<Cell>> {
        if size <= BLOCK_SIZE && cells > 1 {
            return self.take_blocks(cells, size);
        }
        let before = self.free.clone();
        let mut taken = Vec::new();
        for _ in 0..cells {
            let Some(cell) = self.take_cell(size) else {
                self.free = before;
                return None;
            };
            taken.push(cell);
        }
        Some(taken)
    }

    /// `take_cell` takes the free cell that splits the fewest larger cells.
    pub(super) fn take_cell(&mut self, size: u32) -> Option<Cell> {
        let parts = if size <= BLOCK_SIZE {
            self.best_block(size)?
        } else {
            self.best_rack_cell(size)?
        };
        for part in &parts {
            self.free[part.worker] &= !part.mask;
        }
        Some(Cell { size, parts })
    }

    /// Takes many blocks in one scan: blocks of one size never overlap, so they are ranked once.
    fn take_blocks(&mut self, cells: u32, size: u32) -> Option<Vec<Cell>> {
        let mut candidates = self.score_blocks(size);
        if candidates.len() < cells as usize {
            return None;
        }
        candidates.sort_unstable();
        candidates.truncate(cells as usize);
        let mut taken = Vec::new();
        for BlockScore { worker, mask, .. } in candidates {
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
            for mask in aligned_blocks(*free, size) {
                let enclosing_size = enclosing_block_size(*free, mask, size);
                let opens_block = enclosing_size >= BLOCK_SIZE;
                scores.push(BlockScore {
                    splits_large_cell: opens_block
                        && whole[rack].is_multiple_of(self.large_cell_blocks),
                    is_avoided: mask & self.avoid[worker] != 0,
                    enclosing_size,
                    // A split block costs its rack one whole block: split where the fewest are left.
                    rack_blocks: if opens_block { whole[rack] } else { 0 },
                    rack,
                    worker,
                    mask,
                });
            }
        }
        scores
    }

    fn best_rack_cell(&mut self, size: u32) -> Option<Vec<Part>> {
        let needed = size / BLOCK_SIZE;
        let mut racks: Vec<RackBlocks> = Vec::new();
        for (worker, free) in self.free.iter().enumerate() {
            self.steps += 1;
            let rack = self.rack_of[worker];
            if racks.len() <= rack {
                racks.resize_with(rack + 1, RackBlocks::default);
            }
            for mask in aligned_blocks(*free, BLOCK_SIZE) {
                let is_avoided = mask & self.avoid[worker] != 0;
                racks[rack].blocks.push((is_avoided, worker, mask));
            }
        }
        for rack in &mut racks {
            rack.blocks.sort_unstable();
        }
        let best = racks
            .iter()
            .filter(|rack| rack.blocks.len() >= needed as usize)
            .min_by_key(|rack| {
                let is_avoided = rack.blocks[needed as usize - 1].0;
                let blocks = u32::try_from(rack.blocks.len()).unwrap_or(u32::MAX);
                let unit = self.large_cell_blocks;
                let splits_large_cell = blocks / unit - (blocks - needed) / unit > needed / unit;
                (splits_large_cell, is_avoided, blocks)
            })?;
        let chosen = best.blocks.iter().take(needed as usize);
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
            whole[self.rack_of[worker]] += count_blocks(*free, BLOCK_SIZE);
        }
        whole
    }
}

/// `BlockScore` orders free blocks by how little taking them splits larger cells.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct BlockScore {
    splits_large_cell: bool,
    is_avoided: bool,
    enclosing_size: u32,
    rack_blocks: u32,
    rack: usize,
    worker: usize,
    mask: u32,
}

#[derive(Default)]
struct RackBlocks {
    blocks: Vec<(bool, usize, u32)>,
}

/// `full_mask` returns the mask of a worker with this many accelerators.
pub(super) fn full_mask(accelerators: u32) -> u32 {
    1u32.checked_shl(accelerators)
        .map_or(u32::MAX, |above| above - 1)
}

/// `aligned_blocks` iterates over the free aligned blocks of one size.
pub(super) fn aligned_blocks(free: u32, size: u32) -> impl Iterator<Item = u32> {
    let block = full_mask(size);
    (0..32 / size)
        .map(move |index| block << (index * size))
        .filter(move |mask| free & mask == *mask)
}

fn count_blocks(free: u32, size: u32) -> u32 {
    u32::try_from(aligned_blocks(free, size).count()).unwrap_or(0)
}

/// `enclosing_block_size` returns the size of the largest free aligned block that contains a block.
fn enclosing_block_size(free: u32, mask: u32, size: u32) -> u32 {
    let mut known = size;
    let mut enclosing_size = size * 2;
    while enclosing_size <= BLOCK_SIZE {
        let start = mask.trailing_zeros() / enclosing_size * enclosing_size;
        let wide = full_mask(enclosing_size) << start;
        if free & wide != wide {
            break;
        }
        known = enclosing_size;
        enclosing_size *= 2;
    }
    known
}
