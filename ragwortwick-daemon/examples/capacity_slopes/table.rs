//! Size of the operators' table and the time to check, compare and read it.

use ragwortwick_border::AcceptedTable;
use ragwortwick_policy::{table_changes, table_effects, validate_table};

use crate::messages::{bincode_len, json_len};
use crate::sample;
use crate::series::{Series, micros};

/// Teams of the planned size.
const CUSTOMERS: usize = 42;

/// Zones with a guarantee of every team; 24 are planned.
const ZONES: [usize; 4] = [1, 8, 16, 24];

/// Rounds of each timing.
const ROUNDS: usize = 21;

pub fn run() {
    let mut json = Series::new("table_json", "rows", "bytes");
    let mut bincode = Series::new("table_bincode", "rows", "bytes");
    let mut parse = Series::new("table_parse", "rows", "us");
    let mut validate = Series::new("table_validate", "rows", "us");
    let mut compare = Series::new("table_changes_and_effects", "rows", "us");
    for zones in ZONES {
        let accepted = sample::accepted(CUSTOMERS, zones);
        let rows = rows(&accepted);
        json.bytes(rows, json_len(&accepted));
        bincode.bytes(rows, bincode_len(&accepted));
        let text = serde_json::to_vec(&accepted).unwrap_or_default();
        parse.point(
            rows,
            micros(ROUNDS, || {
                serde_json::from_slice::<AcceptedTable>(&text).ok()
            }),
        );
        validate.point(rows, micros(ROUNDS, || validate_table(&accepted.table)));
        let mut next = accepted.clone();
        next.table.guarantees[0].shape.cells += 1;
        compare.point(
            rows,
            micros(ROUNDS, || {
                let changes = table_changes(&accepted.table, &next.table);
                let effects = table_effects(&accepted.table, &next.table);
                (changes, effects)
            }),
        );
    }
    for series in [json, bincode, parse, validate, compare] {
        series.print();
    }
}

fn rows(accepted: &AcceptedTable) -> usize {
    let table = &accepted.table;
    table.customers.len() + table.guarantees.len() + table.classes.len()
}
