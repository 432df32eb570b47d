//! Validation of the table on its own; each problem names its sheet, row and column.

use std::collections::{BTreeMap, BTreeSet};

use ragwortwick_border::{ClassRow, CustomerRow, GuaranteeRow, Table, TableProblem};
use ragwortwick_core::{CustomerName, ZoneName};

use super::rules::{self, Violation};

/// Maximum accelerators guaranteed in one zone; the largest planned zone has a few thousand.
const MAX_ZONE_ACCELERATORS: u64 = 1_000_000;

/// Maximum size of the table as JSON: the store accepts values up to a megabyte, and a history entry
/// adds who accepted the table and why.
const MAX_TABLE_BYTES: usize = 900_000;

/// `validate_table` returns the problems that can be found in the table on its own.
#[must_use]
pub fn validate_table(table: &Table) -> Vec<TableProblem> {
    let mut validation = Validation::new(table);
    validation.customers(&table.customers);
    validation.guarantees(&table.guarantees);
    validation.zone_sums(&table.guarantees);
    validation.classes(&table.classes);
    validation.weights(table);
    validation.size(table);
    validation.problems
}

struct Validation<'a> {
    customers: BTreeSet<&'a CustomerName>,
    problems: Vec<TableProblem>,
}

/// `Location` identifies a row by its sheet of the table and its index in the sheet.
#[derive(Clone, Copy)]
struct Location {
    sheet: &'static str,
    index: usize,
}

impl<'a> Validation<'a> {
    fn new(table: &'a Table) -> Self {
        Self {
            customers: table.customers.iter().map(|row| &row.customer).collect(),
            problems: Vec::new(),
        }
    }

    fn customers(&mut self, rows: &[CustomerRow]) {
        let mut earlier_rows = BTreeMap::new();
        for (index, row) in rows.iter().enumerate() {
            let at = Location {
                sheet: "customers",
                index,
            };
            self.report(at, "customer", rules::name(row.customer.as_str()));
            self.report_duplicate(at, "customer", earlier_rows.insert(&row.customer, index));
            self.report(at, "weight", rules::positive(row.weight));
            self.report(at, "max_queued_jobs", rules::count(row.max_queued_jobs));
        }
    }

    fn guarantees(&mut self, rows: &[GuaranteeRow]) {
        let mut earlier_rows = BTreeMap::new();
        for (index, row) in rows.iter().enumerate() {
            let at = Location {
                sheet: "guarantees",
                index,
            };
            self.customer(at, &row.customer);
            self.report(at, "zone", rules::name(row.zone.as_str()));
            self.report(at, "cells", rules::count(row.shape.cells));
            let size = row.shape.cell_accelerators;
            self.report(at, "cell_accelerators", rules::cell_accelerators(size));
            // Two sizes for one customer and zone are two guarantees; a repeated size is a mistake.
            let key = (&row.customer, &row.zone, size);
            self.report_duplicate(at, "", earlier_rows.insert(key, index));
        }
    }

    /// Reports the row at which the sum of a zone exceeds the maximum.
    fn zone_sums(&mut self, rows: &[GuaranteeRow]) {
        let mut sums: BTreeMap<&ZoneName, u64> = BTreeMap::new();
        for (index, row) in rows.iter().enumerate() {
            let accelerators = u64::from(row.shape.cells) * u64::from(row.shape.cell_accelerators);
            let sum = sums.entry(&row.zone).or_default();
            let was_within = *sum <= MAX_ZONE_ACCELERATORS;
            *sum = sum.saturating_add(accelerators);
            if was_within && *sum > MAX_ZONE_ACCELERATORS {
                let at = Location {
                    sheet: "guarantees",
                    index,
                };
                let text = format!(
                    "the rows up to this one promise {sum} accelerators in {}, \
                     expected at most {MAX_ZONE_ACCELERATORS}",
                    row.zone
                );
                self.report(at, "cells", Some(text));
            }
        }
    }

    fn classes(&mut self, rows: &[ClassRow]) {
        let mut earlier_rows = BTreeMap::new();
        for (index, row) in rows.iter().enumerate() {
            let at = Location {
                sheet: "classes",
                index,
            };
            self.customer(at, &row.customer);
            self.report(at, "class", rules::name(row.class.as_str()));
            self.report_duplicate(
                at,
                "class",
                earlier_rows.insert((&row.customer, &row.class), index),
            );
            self.report(at, "weight", rules::positive(row.weight));
            self.report(at, "worth", rules::not_negative(row.worth));
            self.report(at, "deadline_ms", rules::deadline(row.deadline_ms));
            self.report(at, "max_in_flight", rules::count(row.max_in_flight));
            self.report(at, "max_queued", rules::count(row.max_queued));
            self.report(at, "rate_per_s", rules::positive(row.rate_per_s));
        }
    }

    fn weights(&mut self, table: &Table) {
        let at = Location {
            sheet: "weights",
            index: 0,
        };
        let weights = &table.weights;
        self.report(at, "completion", rules::not_negative(weights.completion));
        self.report(
            at,
            "fragmentation",
            rules::not_negative(weights.fragmentation),
        );
        if weights.completion == 0.0 && weights.fragmentation == 0.0 {
            let text = "expected completion or fragmentation above 0, found 0 for both";
            self.report(at, "", Some(text.to_owned()));
        }
    }

    fn size(&mut self, table: &Table) {
        // A number that JSON cannot represent is already reported for its cell by the rules above.
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

    fn customer(&mut self, at: Location, customer: &CustomerName) {
        let violation = (!self.customers.contains(customer)).then(|| {
            format!("unknown customer {customer}: expected one that has a row in customers")
        });
        self.report(at, "customer", violation);
    }

    fn report_duplicate(&mut self, at: Location, column: &'static str, earlier: Option<usize>) {
        if let Some(earlier) = earlier {
            let text = format!("this stands in row {} already", earlier + 1);
            self.report(at, column, Some(text));
        }
    }

    fn report(&mut self, at: Location, column: &str, violation: Violation) {
        if let Some(problem) = violation {
            self.problems.push(TableProblem {
                sheet: at.sheet.to_owned(),
                row: u32::try_from(at.index + 1).unwrap_or(u32::MAX),
                column: column.to_owned(),
                problem,
            });
        }
    }
}
