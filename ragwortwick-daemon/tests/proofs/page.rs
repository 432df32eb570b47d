//! The rows of docs/PROOFS.md.

use std::collections::BTreeSet;

/// Heading of the list of failure tests that prove none of the eight points.
const OTHERS: &str = "Other tests of failures";

/// `Status` is how far a row is proved.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    /// A test fails without the safeguard and passes with it.
    Proved,
    /// A test passes; the row says what is missing.
    Partial,
    /// No test.
    NotProved,
}

/// `Row` is one fault of one point.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Row {
    /// The point's heading.
    pub point: String,
    /// The fault.
    pub fault: String,
    /// Names of tests.
    pub tests: Vec<String>,
    /// How the tests failed without the safeguard.
    pub without: String,
    /// Where that is recorded.
    pub recorded: String,
    /// How far it is proved.
    pub status: Status,
}

/// `Page` is the whole page.
#[derive(Debug)]
pub struct Page {
    /// Rows of the eight points.
    pub rows: Vec<Row>,
    /// Names of other tests of failures.
    pub others: Vec<String>,
    /// The line that counts the rows.
    pub counts: String,
}

impl Page {
    /// `parse` reads the page; a row that has no form of its own ends the test.
    pub fn parse(text: &str) -> Self {
        let mut page = Self {
            rows: Vec::new(),
            others: Vec::new(),
            counts: String::new(),
        };
        let mut heading = "";
        for line in text.lines() {
            if let Some(title) = line.strip_prefix("## ") {
                heading = title;
            } else if line.starts_with("Rows: ") {
                line.clone_into(&mut page.counts);
            } else if heading == OTHERS {
                page.others.extend(names(line));
            } else if line.starts_with("| ") && !line.starts_with("| fault ") {
                page.rows.push(row(heading, line));
            }
        }
        page
    }

    /// `names` gives every test that the page names.
    pub fn names(&self) -> BTreeSet<&str> {
        let in_rows = self.rows.iter().flat_map(|row| &row.tests);
        in_rows.chain(&self.others).map(String::as_str).collect()
    }

    /// `count` counts the rows of one status.
    pub fn count(&self, status: Status) -> usize {
        self.rows.iter().filter(|row| row.status == status).count()
    }
}

fn row(point: &str, line: &str) -> Row {
    let cells: Vec<&str> = line.trim_matches('|').split('|').map(str::trim).collect();
    let [fault, tests, without, recorded, status] = cells[..] else {
        panic!("a row of {point} has not five cells: {line}");
    };
    Row {
        point: point.to_owned(),
        fault: fault.to_owned(),
        tests: names(tests),
        without: without.to_owned(),
        recorded: recorded.to_owned(),
        status: match status {
            "proved" => Status::Proved,
            "partial" => Status::Partial,
            "not proved" => Status::NotProved,
            other => panic!("{point}, {fault}: unknown status {other}"),
        },
    }
}

/// Test names stand in backticks.
fn names(text: &str) -> Vec<String> {
    text.split('`')
        .skip(1)
        .step_by(2)
        .filter(|name| name.contains("::"))
        .map(str::to_owned)
        .collect()
}
