//! Writes an accepted table as rows of the file.

use std::collections::BTreeMap;

use ragwortwick_border::{AcceptedTable, ClassRow, CustomerRow, GuaranteeRow, PolicyWeights};

use super::Part;
use super::column::Column;
use super::raw::{RawRow, RawSheet};

/// `from_table` gives the file's rows.
pub(crate) fn from_table(accepted: &AcceptedTable) -> RawSheet {
    let table = &accepted.table;
    let number = [(Column::Number, accepted.number.to_string())];
    let mut rows = vec![row(Part::Table, number)];
    rows.extend(table.customers.iter().map(customer));
    rows.extend(table.guarantees.iter().map(guarantee));
    rows.extend(table.classes.iter().map(class));
    rows.push(weights(&table.weights));
    RawSheet { rows }
}

fn row<const N: usize>(part: Part, cells: [(Column, String); N]) -> RawRow {
    RawRow {
        line: 0,
        part,
        cells: BTreeMap::from(cells),
    }
}

fn customer(from: &CustomerRow) -> RawRow {
    row(
        Part::Customers,
        [
            (Column::Customer, from.customer.to_string()),
            (Column::Weight, from.weight.to_string()),
            (Column::MaxQueuedJobs, from.max_queued_jobs.to_string()),
        ],
    )
}

fn guarantee(from: &GuaranteeRow) -> RawRow {
    row(
        Part::Guarantees,
        [
            (Column::Customer, from.customer.to_string()),
            (Column::Zone, from.zone.to_string()),
            (
                Column::CellAccelerators,
                from.shape.cell_accelerators.to_string(),
            ),
            (Column::Cells, from.shape.cells.to_string()),
        ],
    )
}

fn class(from: &ClassRow) -> RawRow {
    row(
        Part::Classes,
        [
            (Column::Customer, from.customer.to_string()),
            (Column::Class, from.class.to_string()),
            (Column::Urgent, from.urgent.to_string()),
            (Column::Weight, from.weight.to_string()),
            (Column::Worth, from.worth.to_string()),
            (Column::DeadlineMs, from.deadline_ms.to_string()),
            (Column::MaxInFlight, from.max_in_flight.to_string()),
            (Column::MaxQueued, from.max_queued.to_string()),
            (Column::RatePerS, from.rate_per_s.to_string()),
        ],
    )
}

fn weights(from: &PolicyWeights) -> RawRow {
    row(
        Part::Weights,
        [
            (Column::Completion, from.completion.to_string()),
            (Column::Fragmentation, from.fragmentation.to_string()),
        ],
    )
}
