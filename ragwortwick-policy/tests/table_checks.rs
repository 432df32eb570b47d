//! Checks that every problem of a table is reported with its sheet, row and column.

mod table_support;

use ragwortwick_border::{Table, TableProblem};
use ragwortwick_core::DurationMs;
use ragwortwick_policy::validate_table;
use table_support::{class, customer, guarantee, table};

/// Formats the location and text of a problem as one line for comparison.
fn line(problem: &TableProblem) -> String {
    format!(
        "{} {} {}: {}",
        problem.sheet, problem.row, problem.column, problem.problem
    )
}

fn locations(table: &Table) -> Vec<String> {
    let location = |p: &TableProblem| format!("{} {} {}", p.sheet, p.row, p.column);
    validate_table(table).iter().map(location).collect()
}

#[test]
fn verify_a_good_table_has_no_mistakes() {
    assert_eq!(validate_table(&table()), Vec::new());
}

#[test]
fn verify_each_cell_out_of_range_is_named() {
    let mut table = table();
    table.customers[0].weight = 0.0;
    table.customers[1].max_queued_jobs = 0;
    table.guarantees[0].shape.cells = 0;
    table.guarantees[1].shape.cell_accelerators = 3;
    table.guarantees[1].zone = "no rth".into();
    table.classes[0].weight = f64::NAN;
    table.classes[0].worth = -1.0;
    table.classes[0].deadline_ms = DurationMs(0);
    table.classes[1].max_in_flight = 0;
    table.classes[1].max_queued = 0;
    table.classes[1].rate_per_s = f64::INFINITY;
    table.weights.completion = -1.0;
    let expected = [
        "customers 1 weight",
        "customers 2 max_queued_jobs",
        "guarantees 1 cells",
        "guarantees 2 zone",
        "guarantees 2 cell_accelerators",
        "classes 1 weight",
        "classes 1 worth",
        "classes 1 deadline_ms",
        "classes 2 max_in_flight",
        "classes 2 max_queued",
        "classes 2 rate_per_s",
        "weights 1 completion",
    ];
    assert_eq!(locations(&table), expected);
}

#[test]
fn verify_rows_that_stand_twice_name_the_earlier_row() {
    let mut table = table();
    table.customers.push(customer("civil"));
    table.guarantees.push(guarantee("civil", 9));
    table.classes.push(class("institute", "refine"));
    let lines: Vec<String> = validate_table(&table).iter().map(line).collect();
    let expected = [
        "customers 3 customer: this stands in row 1 already",
        "guarantees 3 : this stands in row 1 already",
        "classes 3 class: this stands in row 2 already",
    ];
    assert_eq!(lines, expected);
}

#[test]
fn verify_two_cell_sizes_in_one_zone_are_two_promises() {
    let mut table = table();
    let mut row = guarantee("civil", 1);
    row.shape.cell_accelerators = 2;
    table.guarantees.push(row);
    assert_eq!(locations(&table), Vec::<String>::new());
}

#[test]
fn verify_customers_without_a_row_are_named() {
    let mut table = table();
    table.guarantees.push(guarantee("ghost", 1));
    table.classes.push(class("ghost", "quote"));
    let lines: Vec<String> = validate_table(&table).iter().map(line).collect();
    let text = "unknown customer ghost: expected one that has a row in customers";
    let expected = [
        format!("guarantees 3 customer: {text}"),
        format!("classes 3 customer: {text}"),
    ];
    assert_eq!(lines, expected);
}

#[test]
fn verify_a_sum_that_no_zone_holds_names_the_row_that_goes_over() {
    let mut table = table();
    table.guarantees[0].shape.cells = 124_999;
    table.guarantees[1].shape.cells = 2;
    assert_eq!(locations(&table), ["guarantees 2 cells"]);
}

#[test]
fn verify_weights_may_not_both_be_zero() {
    let mut table = table();
    table.weights.completion = 0.0;
    assert_eq!(locations(&table), Vec::<String>::new());
    table.weights.fragmentation = 0.0;
    assert_eq!(locations(&table), ["weights 1 "]);
}

#[test]
fn verify_a_table_too_large_for_the_store_is_refused_as_a_whole() {
    let mut table = table();
    for index in 0..10_000 {
        table
            .classes
            .push(class("civil", &format!("class-{index}")));
    }
    assert_eq!(locations(&table), ["table 0 "]);
}
