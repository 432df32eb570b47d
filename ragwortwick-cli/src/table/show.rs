//! `ragwortwick table show`: an accepted table as aligned tables.

use std::fmt::Write;

use ragwortwick_border::{AcceptedTable, Table};

use crate::grid::Grid;

/// `show` writes the table with who accepted it and why.
pub(crate) fn show(accepted: &AcceptedTable) -> String {
    let mut out = String::new();
    // Writing to a string cannot fail.
    let _ = writeln!(
        out,
        "table {} accepted by {}: {}\n",
        accepted.number, accepted.accepted_by, accepted.reason
    );
    customers(&accepted.table).write(&mut out);
    guarantees(&accepted.table).write(&mut out);
    classes(&accepted.table).write(&mut out);
    weights(&accepted.table).write(&mut out);
    out
}

fn customers(table: &Table) -> Grid {
    let mut grid = Grid::new("customers", &["customer", "weight", "max_queued_jobs"]);
    for row in &table.customers {
        grid.row([
            row.customer.to_string(),
            row.weight.to_string(),
            row.max_queued_jobs.to_string(),
        ]);
    }
    grid
}

fn guarantees(table: &Table) -> Grid {
    let columns = ["customer", "zone", "cells", "cell_accelerators"];
    let mut grid = Grid::new("guarantees", &columns);
    for row in &table.guarantees {
        grid.row([
            row.customer.to_string(),
            row.zone.to_string(),
            row.shape.cells.to_string(),
            row.shape.cell_accelerators.to_string(),
        ]);
    }
    grid
}

fn classes(table: &Table) -> Grid {
    let columns = [
        "customer",
        "class",
        "urgent",
        "weight",
        "worth",
        "deadline_ms",
        "max_in_flight",
        "max_queued",
        "rate_per_s",
    ];
    let mut grid = Grid::new("classes", &columns);
    for row in &table.classes {
        grid.row([
            row.customer.to_string(),
            row.class.to_string(),
            row.urgent.to_string(),
            row.weight.to_string(),
            row.worth.to_string(),
            row.deadline_ms.to_string(),
            row.max_in_flight.to_string(),
            row.max_queued.to_string(),
            row.rate_per_s.to_string(),
        ]);
    }
    grid
}

fn weights(table: &Table) -> Grid {
    let mut grid = Grid::new("weights", &["completion", "fragmentation"]);
    grid.row([
        table.weights.completion.to_string(),
        table.weights.fragmentation.to_string(),
    ]);
    grid
}
