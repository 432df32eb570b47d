//! The operators' table as one CSV file that opens in a spreadsheet.
//!
//! Every row names its part in the first column and fills the columns of that part; the row `table`
//! keeps the number of the accepted table that the file was exported from.

mod column;
mod edit;
mod from_table;
mod raw;
mod rebase;
#[cfg(test)]
mod tests;
mod to_table;

use std::fmt;

use ragwortwick_border::{Table, TableProblem};

pub(crate) use edit::{Edit, apply};
pub(crate) use from_table::from_table;
pub(crate) use raw::RawSheet;
pub(crate) use rebase::rebase;
pub(crate) use to_table::to_draft;

use column::Column;

/// `Part` is a part of the table; its name stands in the first column.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Part {
    /// The number of the table that the file was exported from.
    Table,
    /// Customers.
    Customers,
    /// Guaranteed shapes.
    Guarantees,
    /// Classes of work.
    Classes,
    /// Placement weights.
    Weights,
}

impl Part {
    /// `ALL` lists the parts in the order of an export.
    pub(crate) const ALL: [Self; 5] = [
        Self::Table,
        Self::Customers,
        Self::Guarantees,
        Self::Classes,
        Self::Weights,
    ];

    /// `name` gives the text of the first column.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Table => "table",
            Self::Customers => "customers",
            Self::Guarantees => "guarantees",
            Self::Classes => "classes",
            Self::Weights => "weights",
        }
    }

    /// `from_name` finds the part with this name.
    pub(crate) fn from_name(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|part| part.name() == name)
    }

    /// `names` lists the names for a message.
    pub(crate) fn names() -> String {
        Self::ALL.map(Self::name).join(", ")
    }
}

/// `Draft` is a table read from a file, with the file's row of each table row.
#[derive(Debug)]
pub(crate) struct Draft {
    /// Number of the accepted table that the file was exported from.
    pub(crate) based_on_number: u64,
    /// The rows.
    pub(crate) table: Table,
    /// File rows of each part, in the order of the table.
    pub(crate) lines: Vec<(Part, u64)>,
}

impl Draft {
    /// `mistake` points a problem of the table at the row and column of the file.
    pub(crate) fn mistake(&self, problem: &TableProblem) -> Mistake {
        let index = problem.row.checked_sub(1).map(|index| index as usize);
        let line = index.and_then(|index| {
            self.lines
                .iter()
                .filter(|(part, _)| part.name() == problem.sheet)
                .nth(index)
                .map(|(_, line)| *line)
        });
        Mistake {
            line: line.unwrap_or(0),
            column: problem.column.clone(),
            problem: problem.problem.clone(),
        }
    }
}

/// `Mistake` is one mistake in the operator's file.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize)]
pub(crate) struct Mistake {
    /// Row of the file, the header being row 1; 0 for the whole file.
    pub(crate) line: u64,
    /// Column by its name in the header, empty for the whole row.
    pub(crate) column: String,
    /// What is wrong and what was expected.
    pub(crate) problem: String,
}

impl Mistake {
    fn new(line: u64, column: impl Into<String>, problem: impl Into<String>) -> Self {
        Self {
            line,
            column: column.into(),
            problem: problem.into(),
        }
    }

    fn at(line: u64, column: Column, problem: impl Into<String>) -> Self {
        Self::new(line, column.name(), problem)
    }
}

impl fmt::Display for Mistake {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match (self.line, self.column.as_str()) {
            (0, _) => write!(f, "{}", self.problem),
            (line, "") => write!(f, "row {line}: {}", self.problem),
            (line, column) => write!(f, "row {line}, column {column}: {}", self.problem),
        }
    }
}
