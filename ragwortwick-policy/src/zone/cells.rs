//! Cells: adjacent accelerators on one worker or on the workers of one rack.

use ragwortwick_core::common;

/// `Part` is the part of a cell on one worker, as a mask of accelerators.
#[common(key)]
pub(super) struct Part {
    pub(super) worker: usize,
    pub(super) mask: u32,
}

/// `Cell` is a group of adjacent accelerators whose size is a power of two.
#[common]
pub(super) struct Cell {
    pub(super) size: u32,
    pub(super) parts: Vec<Part>,
}

/// `merge_parts` merges the parts of several cells into one part per worker, in worker order.
pub(super) fn merge_parts<'a>(cells: impl IntoIterator<Item = &'a Cell>) -> Vec<Part> {
    let mut by_worker = std::collections::BTreeMap::new();
    for part in cells.into_iter().flat_map(|cell| &cell.parts) {
        *by_worker.entry(part.worker).or_insert(0) |= part.mask;
    }
    by_worker
        .into_iter()
        .map(|(worker, mask)| Part { worker, mask })
        .collect()
}
