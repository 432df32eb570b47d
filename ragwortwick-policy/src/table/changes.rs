//! The changes between two versions of the table, as one line of text for each changed row.

use std::collections::BTreeMap;

use ragwortwick_border::{ClassRow, CustomerRow, GuaranteeRow, Table};

/// `table_changes` lists the rows that were added, changed or removed, sheet by sheet.
#[must_use]
pub fn table_changes(old: &Table, new: &Table) -> Vec<String> {
    let mut lines = Vec::new();
    compare(
        &mut lines,
        "customers",
        rows(&old.customers, customer),
        rows(&new.customers, customer),
    );
    compare(
        &mut lines,
        "guarantees",
        rows(&old.guarantees, guarantee),
        rows(&new.guarantees, guarantee),
    );
    compare(
        &mut lines,
        "classes",
        rows(&old.classes, class),
        rows(&new.classes, class),
    );
    compare(&mut lines, "weights", weights(old), weights(new));
    lines
}

/// `Cell` is a column's name with its value as text.
type Cell = (&'static str, String);

/// `Rows` maps the text that identifies a row to the row's cells.
type Rows = BTreeMap<String, Vec<Cell>>;

fn rows<T>(rows: &[T], describe: impl Fn(&T) -> (String, Vec<Cell>)) -> Rows {
    rows.iter().map(describe).collect()
}

fn customer(row: &CustomerRow) -> (String, Vec<Cell>) {
    let cells = vec![
        ("weight", row.weight.to_string()),
        ("max_queued_jobs", row.max_queued_jobs.to_string()),
    ];
    (row.customer.to_string(), cells)
}

fn guarantee(row: &GuaranteeRow) -> (String, Vec<Cell>) {
    let key = format!(
        "{} in {}, cells of {}",
        row.customer, row.zone, row.shape.cell_accelerators
    );
    (key, vec![("cells", row.shape.cells.to_string())])
}

fn class(row: &ClassRow) -> (String, Vec<Cell>) {
    let cells = vec![
        ("urgent", row.urgent.to_string()),
        ("weight", row.weight.to_string()),
        ("worth", row.worth.to_string()),
        ("deadline_ms", row.deadline_ms.to_string()),
        ("max_in_flight", row.max_in_flight.to_string()),
        ("max_queued", row.max_queued.to_string()),
        ("rate_per_s", row.rate_per_s.to_string()),
    ];
    (format!("{} {}", row.customer, row.class), cells)
}

fn weights(table: &Table) -> Rows {
    let cells = vec![
        ("completion", table.weights.completion.to_string()),
        ("fragmentation", table.weights.fragmentation.to_string()),
    ];
    Rows::from([("placement".to_owned(), cells)])
}

fn compare(lines: &mut Vec<String>, sheet: &str, mut old: Rows, new: Rows) {
    for (key, cells) in new {
        match old.remove(&key) {
            None => lines.push(format!("{sheet}: {key}: added ({})", join(&cells))),
            Some(before) if before != cells => {
                lines.push(format!(
                    "{sheet}: {key}: {}",
                    changed_cells(&before, &cells)
                ));
            }
            Some(_) => {}
        }
    }
    for (key, cells) in old {
        lines.push(format!("{sheet}: {key}: removed ({})", join(&cells)));
    }
}

fn changed_cells(before: &[Cell], after: &[Cell]) -> String {
    let changed: Vec<String> = before
        .iter()
        .zip(after)
        .filter(|(old, new)| old != new)
        .map(|(old, new)| format!("{} {} -> {}", new.0, old.1, new.1))
        .collect();
    changed.join(", ")
}

fn join(cells: &[Cell]) -> String {
    let texts: Vec<String> = cells
        .iter()
        .map(|(column, value)| format!("{column} {value}"))
        .collect();
    texts.join(", ")
}
