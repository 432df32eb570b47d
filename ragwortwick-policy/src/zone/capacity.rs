//! Check that all guarantees of a table fit the zones at the same time.

use std::collections::BTreeMap;

use ragwortwick_border::{Table, TableProblem};
use ragwortwick_core::ZoneName;

use super::pool::{CELL_SIZES, Pool, full_mask};

/// `RackCapacity` lists the accelerators of each worker of one rack.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RackCapacity {
    /// Accelerators of each worker.
    pub worker_accelerators: Vec<u32>,
}

/// `ZoneCapacity` lists the racks of each zone.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ZoneCapacity {
    /// Racks by zone.
    pub zones: BTreeMap<ZoneName, Vec<RackCapacity>>,
}

/// `check_guarantees_pack` returns a problem for each guarantee row that does not fit beside the others.
///
/// Larger cells are packed first; among rows of one cell size the later one is reported.
#[must_use]
pub fn check_guarantees_pack(table: &Table, capacity: &ZoneCapacity) -> Vec<TableProblem> {
    let mut pools: BTreeMap<&ZoneName, Pool> = capacity
        .zones
        .iter()
        .map(|(zone, racks)| (zone, pool_of(racks)))
        .collect();
    let mut problems = Vec::new();
    for size in CELL_SIZES {
        for (index, row) in table.guarantees.iter().enumerate() {
            if row.shape.cell_accelerators != size {
                continue;
            }
            let Some(pool) = pools.get_mut(&row.zone) else {
                problems.push(problem(index, "zone", "no worker of this zone is listed"));
                continue;
            };
            // Compares counts first, so that a mistyped huge number costs no search per cell.
            let free = pool.cell_count(size);
            if free < row.shape.cells {
                let text = format!(
                    "does not pack beside the other guarantees: {free} cells of {size} are left in \
                     zone {}, {} are promised",
                    row.zone, row.shape.cells
                );
                problems.push(problem(index, "shape", &text));
                continue;
            }
            let taken = pool.take_shape(row.shape.cells, size);
            debug_assert!(taken.is_some(), "counted cells can be taken");
        }
    }
    for (index, row) in table.guarantees.iter().enumerate() {
        if !CELL_SIZES.contains(&row.shape.cell_accelerators) {
            problems.push(problem(
                index,
                "cell_accelerators",
                "expected 1, 2, 4, 8, 16, 32 or 64",
            ));
        }
    }
    problems.sort_by_key(|problem| problem.row);
    problems
}

fn pool_of(racks: &[RackCapacity]) -> Pool {
    let mut pool = Pool::default();
    for (rack, row) in racks.iter().enumerate() {
        for accelerators in &row.worker_accelerators {
            pool.add_worker(rack, full_mask(*accelerators), 0);
        }
    }
    pool
}

fn problem(index: usize, column: &str, text: &str) -> TableProblem {
    TableProblem {
        sheet: "guarantees".to_owned(),
        row: u32::try_from(index + 1).unwrap_or(u32::MAX),
        column: column.to_owned(),
        problem: text.to_owned(),
    }
}
