//! The file as spreadsheets write it, and every mistake in it by row and column.

use ragwortwick_border::{
    AcceptedTable, ClassRow, CustomerRow, GuaranteeRow, PolicyWeights, Shape, Table, TableProblem,
};
use ragwortwick_core::{DurationMs, TimeMs};

use super::{Edit, RawSheet, apply, from_table, to_draft};

fn accepted() -> AcceptedTable {
    let table = Table {
        customers: vec![CustomerRow {
            customer: "civil".into(),
            weight: 2.5,
            max_queued_jobs: 100,
        }],
        guarantees: vec![GuaranteeRow {
            customer: "civil".into(),
            zone: "north".into(),
            shape: Shape {
                cells: 2,
                cell_accelerators: 8,
            },
        }],
        classes: vec![ClassRow {
            customer: "civil".into(),
            class: "pass-plan".into(),
            urgent: true,
            weight: 1.0,
            worth: 2.0,
            deadline_ms: DurationMs(60_000),
            max_in_flight: 50,
            max_queued: 200,
            rate_per_s: 0.5,
        }],
        weights: PolicyWeights {
            completion: 3.0,
            fragmentation: 1.0,
        },
    };
    AcceptedTable {
        number: 7,
        nonce: "n".to_owned(),
        accepted_by: "ada".to_owned(),
        accepted_at_ms: TimeMs(0),
        reason: "start".to_owned(),
        table,
    }
}

fn exported() -> String {
    from_table(&accepted()).write().expect("text")
}

fn mistakes(text: &str) -> Vec<String> {
    let found = RawSheet::parse(text).and_then(|rows| to_draft(&rows).map(drop));
    let found = found.expect_err("expected mistakes");
    found.iter().map(ToString::to_string).collect()
}

fn table_of(text: &str) -> Table {
    let rows = RawSheet::parse(text).expect("rows");
    to_draft(&rows).expect("a table").table
}

#[test]
fn verify_an_export_reads_back_as_the_same_table() {
    let rows = RawSheet::parse(&exported()).expect("rows");
    let draft = to_draft(&rows).expect("a draft");
    assert_eq!(draft.based_on_number, 7);
    assert_eq!(draft.table, accepted().table);
}

#[test]
fn verify_what_spreadsheets_write_reads_the_same() {
    // Spreadsheets of some countries separate by semicolons, put a mark at the start, write true in
    // capitals, end lines with CR LF and leave rows of nothing but separators.
    let text = exported()
        .replace(',', ";")
        .replace("true", "TRUE")
        .replace("60000", "60000.0")
        .replace('\n', "\r\n");
    let text = format!("\u{feff}{text};;;;;;;;;;;;;;;;\r\n\r\n");
    assert_eq!(table_of(&text), accepted().table);
    assert_eq!(table_of(&exported().replace(',', "\t")), accepted().table);
}

#[test]
fn verify_each_unreadable_cell_is_named_by_row_and_column() {
    let text = exported()
        .replace("2.5", "\"2,5\"")
        .replace("true", "maybe")
        .replace("60000", "1 min")
        .replace("0.5", "");
    let expected = [
        "row 3, column weight: expected a number with a decimal point, such as 2.5, found \"2,5\"",
        "row 5, column urgent: expected true or false, found \"maybe\"",
        "row 5, column deadline_ms: expected a whole number of digits only, such as 60000, found \"1 min\"",
        "row 5, column rate_per_s: expected a value, found none",
    ];
    assert_eq!(mistakes(&text), expected);
}

#[test]
fn verify_rows_and_columns_that_do_not_exist_are_named() {
    let text = exported().replace("classes,", "clases,");
    assert_eq!(
        mistakes(&text),
        [
            "row 5, column part: expected one of table, customers, guarantees, classes, weights, found \"clases\""
        ]
    );
    let text = exported().replace("worth", "value");
    assert_eq!(
        mistakes(&text),
        [
            "row 1, column value: unknown column",
            "row 1, column worth: this column is missing"
        ]
    );
    let text = exported().replace("guarantees,,civil,north,,", "guarantees,,civil,north,x,");
    assert_eq!(
        mistakes(&text),
        ["row 4, column class: expected no value in a row of guarantees, found \"x\""]
    );
    assert_eq!(mistakes(""), ["the file is empty"]);
}

#[test]
fn verify_a_lost_or_doubled_single_row_is_a_mistake() {
    let without: Vec<String> = exported()
        .lines()
        .filter(|line| !line.starts_with("weights"))
        .map(str::to_owned)
        .collect();
    assert_eq!(
        mistakes(&without.join("\n")),
        ["the row weights is missing: expected one, as in a fresh export"]
    );
    let twice = format!("{}table,8\n", exported());
    assert_eq!(
        mistakes(&twice),
        ["row 7, column part: expected one row table only"]
    );
}

#[test]
fn verify_a_problem_of_the_table_points_at_the_row_of_the_file() {
    // The operator sorted the file in the spreadsheet and left an empty row, so the second row of
    // customers is far from row 2 of the file.
    let mut lines: Vec<String> = exported().lines().map(str::to_owned).collect();
    lines.insert(3, String::new());
    lines.push("customers,,quotes,,,,,,-1,,,,,,5,,".to_owned());
    let rows = RawSheet::parse(&lines.join("\n")).expect("rows");
    let draft = to_draft(&rows).expect("a draft");
    let problem = TableProblem {
        sheet: "customers".to_owned(),
        row: 2,
        column: "weight".to_owned(),
        problem: "expected a number above 0".to_owned(),
    };
    assert_eq!(
        draft.mistake(&problem).to_string(),
        "row 8, column weight: expected a number above 0"
    );
}

#[test]
fn verify_edits_add_set_and_remove_rows() {
    let mut rows = RawSheet::parse(&exported()).expect("rows");
    let edits = [
        Edit::Add {
            row: "guarantees/civil/south/4".to_owned(),
        },
        Edit::Set {
            cell: "guarantees/civil/south/4/cells=3".to_owned(),
        },
        Edit::Set {
            cell: "weights/completion=9".to_owned(),
        },
        Edit::Remove {
            row: "classes/civil/pass-plan".to_owned(),
        },
    ];
    for edit in &edits {
        apply(&mut rows, edit).expect("an edit");
    }
    let table = table_of(&rows.write().expect("text"));
    assert_eq!(table.guarantees[1].zone.as_str(), "south");
    assert_eq!(table.guarantees[1].shape.cells, 3);
    assert_eq!(table.classes, Vec::new());
    assert!((table.weights.completion - 9.0).abs() < f64::EPSILON);
}

#[test]
fn verify_an_edit_without_a_place_says_what_was_expected() {
    let cases = [
        (
            "customers/nobody/weight=1",
            "customers/nobody is not in the file: expected customers/customer",
        ),
        (
            "customers/civil/colour=1",
            "colour is no column of customers: expected weight, max_queued_jobs",
        ),
        (
            "people/civil/weight=1",
            "people is no part: expected one of table, customers, guarantees, classes, weights",
        ),
        (
            "customers/civil/weight",
            "customers/civil/weight has no value: expected PART/KEY/COLUMN=VALUE",
        ),
    ];
    let mut rows = RawSheet::parse(&exported()).expect("rows");
    for (cell, expected) in cases {
        let edit = Edit::Set {
            cell: cell.to_owned(),
        };
        assert_eq!(apply(&mut rows, &edit), Err(expected.to_owned()));
    }
}
