//! Cells: adjacent accelerators on one worker or on the workers of one rack.

use ragwortwick_core::common;

/// `Part` is the accelerators of a cell on one worker.
#[common(key)]
pub(super) struct Part {
    pub(super) worker: usize,
    pub(super) mask: u32,
}

/// `Cell` is adjacent accelerators, a power of two of them.
#[common]
pub(super) struct Cell {
    pub(super) size: u32,
    pub(super) parts: Vec<Part>,
}

/// `merge_parts` joins the parts of several cells, one per worker, in worker order.
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
