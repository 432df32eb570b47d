//! Checks on the operators' table that need no knowledge of the running system.

use std::collections::BTreeSet;

use ragwortwick_border::{Table, TableProblem};

/// `validate_table` finds the mistakes that can be seen in the table alone.
#[must_use]
pub fn validate_table(table: &Table) -> Vec<TableProblem> {
    let mut problems = Vec::new();
    let mut seen = BTreeSet::new();
    for (index, row) in table.customers.iter().enumerate() {
        if !seen.insert(&row.customer) {
            problems.push(problem(
                "customers",
                index,
                "customer",
                "this customer stands twice",
            ));
        }
    }
    problems
}

fn problem(sheet: &str, index: usize, column: &str, text: &str) -> TableProblem {
    TableProblem {
        sheet: sheet.to_owned(),
        row: u32::try_from(index + 1).unwrap_or(u32::MAX),
        column: column.to_owned(),
        problem: text.to_owned(),
    }
}
