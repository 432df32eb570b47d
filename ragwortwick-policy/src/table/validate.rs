//! Every mistake that can be seen in the table alone, by part, row and column.

use std::collections::{BTreeMap, BTreeSet};

use ragwortwick_border::{ClassRow, CustomerRow, GuaranteeRow, Table, TableProblem};
use ragwortwick_core::{CustomerName, ZoneName};

use super::rules::{self, Broken};

/// Most accelerators promised in one zone; the largest zone planned for has a few thousand.
const MAX_ZONE_ACCELERATORS: u64 = 1_000_000;

/// Largest table as JSON: the store holds values up to a megabyte, and a history entry adds who
/// accepted it and why.
const MAX_TABLE_BYTES: usize = 900_000;

/// `validate_table` finds the mistakes that can be seen in the table alone.
#[must_use]
pub fn validate_table(table: &Table) -> Vec<TableProblem> {
    let mut check = Check::new(table);
    check.customers(&table.customers);
    check.guarantees(&table.guarantees);
    check.zone_sums(&table.guarantees);
    check.classes(&table.classes);
    check.weights(table);
    check.size(table);
    check.problems
}

struct Check<'a> {
    customers: BTreeSet<&'a CustomerName>,
    problems: Vec<TableProblem>,
}

/// `Row` is where a mistake is: a part of the table and the row's index in it.
#[derive(Clone, Copy)]
struct Row {
    sheet: &'static str,
    index: usize,
}

impl<'a> Check<'a> {
    fn new(table: &'a Table) -> Self {
        Self {
            customers: table.customers.iter().map(|row| &row.customer).collect(),
            problems: Vec::new(),
        }
    }

    fn customers(&mut self, rows: &[CustomerRow]) {
        let mut first = BTreeMap::new();
        for (index, row) in rows.iter().enumerate() {
            let at = Row {
                sheet: "customers",
                index,
            };
            self.cell(at, "customer", rules::name(row.customer.as_str()));
            self.repeat(at, "customer", first.insert(&row.customer, index));
            self.cell(at, "weight", rules::positive(row.weight));
            self.cell(at, "max_queued_jobs", rules::count(row.max_queued_jobs));
        }
    }

    fn guarantees(&mut self, rows: &[GuaranteeRow]) {
        let mut first = BTreeMap::new();
        for (index, row) in rows.iter().enumerate() {
            let at = Row {
                sheet: "guarantees",
                index,
            };
            self.customer(at, &row.customer);
            self.cell(at, "zone", rules::name(row.zone.as_str()));
            self.cell(at, "cells", rules::count(row.shape.cells));
            let size = row.shape.cell_accelerators;
            self.cell(at, "cell_accelerators", rules::cell_accelerators(size));
            // Two sizes for one customer and zone are two promises; the same size twice is a slip.
            let key = (&row.customer, &row.zone, size);
            self.repeat(at, "", first.insert(key, index));
        }
    }

    /// A sum that no zone could hold points at the row that goes over it.
    fn zone_sums(&mut self, rows: &[GuaranteeRow]) {
        let mut sums: BTreeMap<&ZoneName, u64> = BTreeMap::new();
        for (index, row) in rows.iter().enumerate() {
            let accelerators = u64::from(row.shape.cells) * u64::from(row.shape.cell_accelerators);
            let sum = sums.entry(&row.zone).or_default();
            let was_within = *sum <= MAX_ZONE_ACCELERATORS;
            *sum = sum.saturating_add(accelerators);
            if was_within && *sum > MAX_ZONE_ACCELERATORS {
                let at = Row {
                    sheet: "guarantees",
                    index,
                };
                let text = format!(
                    "the rows up to this one promise {sum} accelerators in {}, \
                     expected at most {MAX_ZONE_ACCELERATORS}",
                    row.zone
                );
                self.cell(at, "cells", Some(text));
            }
        }
    }

    fn classes(&mut self, rows: &[ClassRow]) {
        let mut first = BTreeMap::new();
        for (index, row) in rows.iter().enumerate() {
            let at = Row {
                sheet: "classes",
                index,
            };
            self.customer(at, &row.customer);
            self.cell(at, "class", rules::name(row.class.as_str()));
            self.repeat(
                at,
                "class",
                first.insert((&row.customer, &row.class), index),
            );
            self.cell(at, "weight", rules::positive(row.weight));
            self.cell(at, "worth", rules::not_negative(row.worth));
            self.cell(at, "deadline_ms", rules::deadline(row.deadline_ms));
            self.cell(at, "max_in_flight", rules::count(row.max_in_flight));
            self.cell(at, "max_queued", rules::count(row.max_queued));
            self.cell(at, "rate_per_s", rules::positive(row.rate_per_s));
        }
    }

    fn weights(&mut self, table: &Table) {
        let at = Row {
            sheet: "weights",
            index: 0,
        };
        let weights = &table.weights;
        self.cell(at, "completion", rules::not_negative(weights.completion));
        self.cell(
            at,
            "fragmentation",
            rules::not_negative(weights.fragmentation),
        );
        if weights.completion == 0.0 && weights.fragmentation == 0.0 {
            let text = "expected completion or fragmentation above 0, found 0 for both";
            self.cell(at, "", Some(text.to_owned()));
        }
    }

    fn size(&mut self, table: &Table) {
        // A number that JSON can't hold is a mistake of its cell, which the rules above name.
        let bytes = serde_json::to_vec(table).map_or(0, |json| json.len());
        if bytes > MAX_TABLE_BYTES {
            self.problems.push(TableProblem {
                sheet: "table".to_owned(),
                row: 0,
                column: String::new(),
                problem: format!("expected at most {MAX_TABLE_BYTES} bytes as JSON, found {bytes}"),
            });
        }
    }

    fn customer(&mut self, at: Row, customer: &CustomerName) {
        let broken = (!self.customers.contains(customer)).then(|| {
            format!("unknown customer {customer}: expected one that has a row in customers")
        });
        self.cell(at, "customer", broken);
    }

    fn repeat(&mut self, at: Row, column: &'static str, earlier: Option<usize>) {
        if let Some(earlier) = earlier {
            let text = format!("this stands in row {} already", earlier + 1);
            self.cell(at, column, Some(text));
        }
    }

    fn cell(&mut self, at: Row, column: &str, broken: Broken) {
        if let Some(problem) = broken {
            self.problems.push(TableProblem {
                sheet: at.sheet.to_owned(),
                row: u32::try_from(at.index + 1).unwrap_or(u32::MAX),
                column: column.to_owned(),
                problem,
            });
        }
    }
}
