//! docs/PROOFS.md and the tests of the tree name each other.

mod proofs;

use std::collections::BTreeSet;
use std::path::Path;

use proofs::{Page, Status, Test, tests_of_the_tree};

/// No fault and the faults of the brief, in the order of every table on the page.
const FAULTS: [&str; 14] = [
    "none",
    "kill",
    "cut",
    "freeze",
    "store down",
    "store slow",
    "answer lost",
    "lease lapsed while paused",
    "operator race",
    "silent connection",
    "worker fails everything",
    "burst",
    "wave of cancellations",
    "two at once",
];

/// Points of the brief that must always hold.
const POINTS: usize = 8;

fn page() -> Page {
    Page::parse(include_str!("../../docs/PROOFS.md"))
}

fn tests() -> Vec<Test> {
    let package = Path::new(env!("CARGO_MANIFEST_DIR"));
    tests_of_the_tree(package.parent().expect("the package stands in a workspace"))
}

#[test]
fn verify_every_point_has_a_row_for_every_fault() {
    let page = page();
    let points: BTreeSet<&str> = page.rows.iter().map(|row| row.point.as_str()).collect();
    assert_eq!(points.len(), POINTS);
    for point in points {
        let rows = page.rows.iter().filter(|row| row.point == point);
        let mut faults: Vec<&str> = rows.map(|row| row.fault.as_str()).collect();
        // A fault may have several rows, one below the other.
        faults.dedup();
        assert_eq!(faults, FAULTS, "in {point}");
    }
}

#[test]
fn verify_every_named_test_exists() {
    let tests = tests();
    let known: BTreeSet<&str> = tests.iter().map(|test| test.name.as_str()).collect();
    let page = page();
    let missing: Vec<&str> = page.names().difference(&known).copied().collect();
    assert!(
        missing.is_empty(),
        "named in docs/PROOFS.md without a test: {missing:#?}"
    );
}

#[test]
fn verify_every_test_of_a_failure_is_named() {
    let page = page();
    let named = page.names();
    let tests = tests();
    let unnamed: Vec<&str> = tests
        .iter()
        .filter(|test| test.is_of_failure && !named.contains(test.name.as_str()))
        .map(|test| test.name.as_str())
        .collect();
    assert!(
        unnamed.is_empty(),
        "not named in docs/PROOFS.md: {unnamed:#?}"
    );
}

#[test]
fn verify_no_test_stands_twice_for_one_fault() {
    let mut seen = BTreeSet::new();
    for row in page().rows {
        for test in row.tests {
            let at = format!("{}, {}: {test}", row.point, row.fault);
            assert!(seen.insert(at.clone()), "stands twice: {at}");
        }
    }
}

#[test]
fn verify_each_status_has_what_it_claims() {
    for row in page().rows {
        let at = format!("{}, {}", row.point, row.fault);
        let has_red = !row.without.is_empty() && !row.recorded.is_empty();
        match row.status {
            Status::Proved => assert!(has_red && !row.tests.is_empty(), "{at} lacks its proof"),
            Status::Partial => assert!(
                !row.tests.is_empty() && !row.without.is_empty(),
                "{at} lacks its test or what is missing"
            ),
            Status::NotProved => assert!(row.tests.is_empty(), "{at} names a test"),
        }
    }
}

#[test]
fn verify_the_counts_on_the_page_are_true() {
    let page = page();
    let expected = format!(
        "Rows: {} proved, {} partial, {} not proved.",
        page.count(Status::Proved),
        page.count(Status::Partial),
        page.count(Status::NotProved)
    );
    assert_eq!(page.counts, expected);
}

#[test]
fn verify_the_reader_sees_tests_of_failures() {
    // This test is itself one: two comment lines open it, so that the reader must find it among
    // the tests of failures; were the rule of the reader broken, the check above would see none.
    let name = "daemon/docs_proofs::verify_the_reader_sees_tests_of_failures";
    let found = tests().into_iter().find(|test| test.name == name);
    assert!(found.is_some_and(|test| test.is_of_failure));
}
