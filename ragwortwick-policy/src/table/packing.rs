//! Review of whether a table's guarantees fit the listed workers, apart from existing shortages.

use std::collections::BTreeMap;

use ragwortwick_border::{GuaranteeRow, Table, TableProblem};
use ragwortwick_core::{CustomerName, ZoneName};

use crate::{ZoneCapacity, check_guarantees_pack};

/// `Packing` is the result of a review: the guarantees that do not fit.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Packing {
    /// Rows that do not fit because of the new table; they prevent its acceptance.
    pub problems: Vec<TableProblem>,
    /// Rows that did not fit before either; they do not prevent other changes.
    pub effects: Vec<String>,
}

/// `review_packing` checks whether the guarantees of `new` fit, apart from shortages under `old`.
///
/// After the loss of a rack the table in force itself may not fit. If that were a problem of every new
/// table, operators could change nothing until the rack is back, not even shrink another guarantee.
#[must_use]
pub fn review_packing(old: &Table, new: &Table, capacity: &ZoneCapacity) -> Packing {
    // A host that has not read the host list yet knows no workers and cannot check the fit.
    if capacity.zones.is_empty() {
        return Packing::default();
    }
    let short_before = short_cells(old, &check_guarantees_pack(old, capacity));
    let mut packing = Packing::default();
    for problem in check_guarantees_pack(new, capacity) {
        let row = row_of(new, &problem);
        let was_short =
            row.is_some_and(|row| short_before.get(&key(row)) >= Some(&row.shape.cells));
        if was_short {
            packing.effects.push(already_short(row, &problem));
        } else {
            packing.problems.push(in_column(problem));
        }
    }
    packing
}

/// `Key` identifies a guarantee across two tables.
type Key<'a> = (&'a CustomerName, &'a ZoneName, u32);

fn key(row: &GuaranteeRow) -> Key<'_> {
    (&row.customer, &row.zone, row.shape.cell_accelerators)
}

/// Returns the guaranteed cells of each row that does not fit.
fn short_cells<'a>(table: &'a Table, problems: &[TableProblem]) -> BTreeMap<Key<'a>, u32> {
    problems
        .iter()
        .filter_map(|problem| row_of(table, problem))
        .map(|row| (key(row), row.shape.cells))
        .collect()
}

fn row_of<'a>(table: &'a Table, problem: &TableProblem) -> Option<&'a GuaranteeRow> {
    let index = usize::try_from(problem.row.checked_sub(1)?).ok()?;
    table.guarantees.get(index)
}

fn already_short(row: Option<&GuaranteeRow>, problem: &TableProblem) -> String {
    let customer = row.map_or("?", |row| row.customer.as_str());
    format!(
        "the guarantee of {customer} is short already, with or without this change: {}",
        problem.problem
    )
}

/// Renames the column of a problem, since the operator's file has the cells in their own column.
fn in_column(problem: TableProblem) -> TableProblem {
    if problem.column == "shape" {
        TableProblem {
            column: "cells".to_owned(),
            ..problem
        }
    } else {
        problem
    }
}
