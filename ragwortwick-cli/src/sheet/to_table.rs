//! Reads the rows of a file as a table, naming every cell that does not fit its column.

use std::str::FromStr;

use ragwortwick_border::{ClassRow, CustomerRow, GuaranteeRow, PolicyWeights, Shape, Table};
use ragwortwick_core::DurationMs;

use super::column::Column;
use super::raw::{RawRow, RawSheet};
use super::{Draft, Mistake, Part};

/// `to_draft` reads every row.
///
/// # Errors
///
/// Gives every mistake with its row and column.
pub(crate) fn to_draft(sheet: &RawSheet) -> Result<Draft, Vec<Mistake>> {
    let mut cells = Cells {
        mistakes: Vec::new(),
    };
    let mut table = Table {
        customers: Vec::new(),
        guarantees: Vec::new(),
        classes: Vec::new(),
        weights: PolicyWeights {
            completion: 0.0,
            fragmentation: 0.0,
        },
    };
    let mut based_on_number = 0;
    for row in &sheet.rows {
        match row.part {
            Part::Table => based_on_number = cells.number(row, Column::Number),
            Part::Customers => table.customers.push(cells.customer(row)),
            Part::Guarantees => table.guarantees.push(cells.guarantee(row)),
            Part::Classes => table.classes.push(cells.class(row)),
            Part::Weights => table.weights = cells.weights(row),
        }
    }
    cells.exactly_one(sheet, Part::Table);
    cells.exactly_one(sheet, Part::Weights);
    if !cells.mistakes.is_empty() {
        return Err(cells.mistakes);
    }
    Ok(Draft {
        based_on_number,
        table,
        lines: sheet.rows.iter().map(|row| (row.part, row.line)).collect(),
    })
}

/// `Cells` reads cells and collects what does not fit.
struct Cells {
    mistakes: Vec<Mistake>,
}

impl Cells {
    fn customer(&mut self, row: &RawRow) -> CustomerRow {
        CustomerRow {
            customer: self.text(row, Column::Customer).into(),
            weight: self.decimal(row, Column::Weight),
            max_queued_jobs: self.number(row, Column::MaxQueuedJobs),
        }
    }

    fn guarantee(&mut self, row: &RawRow) -> GuaranteeRow {
        GuaranteeRow {
            customer: self.text(row, Column::Customer).into(),
            zone: self.text(row, Column::Zone).into(),
            shape: Shape {
                cells: self.number(row, Column::Cells),
                cell_accelerators: self.number(row, Column::CellAccelerators),
            },
        }
    }

    fn class(&mut self, row: &RawRow) -> ClassRow {
        ClassRow {
            customer: self.text(row, Column::Customer).into(),
            class: self.text(row, Column::Class).into(),
            urgent: self.yes_or_no(row, Column::Urgent),
            weight: self.decimal(row, Column::Weight),
            worth: self.decimal(row, Column::Worth),
            deadline_ms: DurationMs(self.number(row, Column::DeadlineMs)),
            max_in_flight: self.number(row, Column::MaxInFlight),
            max_queued: self.number(row, Column::MaxQueued),
            rate_per_s: self.decimal(row, Column::RatePerS),
        }
    }

    fn weights(&mut self, row: &RawRow) -> PolicyWeights {
        PolicyWeights {
            completion: self.decimal(row, Column::Completion),
            fragmentation: self.decimal(row, Column::Fragmentation),
        }
    }

    fn exactly_one(&mut self, sheet: &RawSheet, part: Part) {
        let mut rows = sheet.rows.iter().filter(|row| row.part == part);
        if rows.next().is_none() {
            let name = part.name();
            self.mistakes.push(Mistake::new(
                0,
                "",
                format!("the row {name} is missing: expected one, as in a fresh export"),
            ));
        }
        for row in rows {
            let text = format!("expected one row {} only", part.name());
            self.mistakes
                .push(Mistake::at(row.line, Column::Part, text));
        }
    }

    fn text<'a>(&mut self, row: &'a RawRow, column: Column) -> &'a str {
        let Some(cell) = row.cells.get(&column) else {
            self.mistakes.push(Mistake::at(
                row.line,
                column,
                "expected a value, found none",
            ));
            return "";
        };
        cell
    }

    /// A whole number; spreadsheets may write `60000` as `60000.0`.
    fn number<N: FromStr + Default>(&mut self, row: &RawRow, column: Column) -> N {
        let cell = self.text(row, column);
        let digits = match cell.split_once('.') {
            Some((whole, zeros)) if zeros.bytes().all(|byte| byte == b'0') => whole,
            _ => cell,
        };
        self.parsed(
            row,
            column,
            digits,
            "a whole number of digits only, such as 60000",
        )
    }

    fn decimal(&mut self, row: &RawRow, column: Column) -> f64 {
        let cell = self.text(row, column);
        self.parsed(
            row,
            column,
            cell,
            "a number with a decimal point, such as 2.5",
        )
    }

    fn parsed<N: FromStr + Default>(
        &mut self,
        row: &RawRow,
        column: Column,
        text: &str,
        expected: &str,
    ) -> N {
        if text.is_empty() {
            // The empty cell is a mistake already.
            return N::default();
        }
        text.parse().unwrap_or_else(|_| {
            let text = format!("expected {expected}, found {text:?}");
            self.mistakes.push(Mistake::at(row.line, column, text));
            N::default()
        })
    }

    /// Spreadsheets write `true` in capitals, people write `yes`.
    fn yes_or_no(&mut self, row: &RawRow, column: Column) -> bool {
        let cell = self.text(row, column).to_lowercase();
        match cell.as_str() {
            "true" | "yes" => true,
            "false" | "no" | "" => false,
            _ => {
                let text = format!("expected true or false, found {cell:?}");
                self.mistakes.push(Mistake::at(row.line, column, text));
                false
            }
        }
    }
}
