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
