//! A valid table, which tests modify.

use ragwortwick_border::{ClassRow, CustomerRow, GuaranteeRow, PolicyWeights, Shape, Table};
use ragwortwick_core::DurationMs;

/// `table` returns a valid table of two customers with a class and a guarantee each.
pub fn table() -> Table {
    Table {
        customers: vec![customer("civil"), customer("institute")],
        guarantees: vec![guarantee("civil", 2), guarantee("institute", 1)],
        classes: vec![class("civil", "pass-plan"), class("institute", "refine")],
        weights: PolicyWeights {
            completion: 3.0,
            fragmentation: 1.0,
        },
    }
}

pub fn customer(name: &str) -> CustomerRow {
    CustomerRow {
        customer: name.into(),
        weight: 1.0,
        max_queued_jobs: 100,
    }
}

pub fn guarantee(customer: &str, cells: u32) -> GuaranteeRow {
    GuaranteeRow {
        customer: customer.into(),
        zone: "north".into(),
        shape: Shape {
            cells,
            cell_accelerators: 8,
        },
    }
}

pub fn class(customer: &str, class: &str) -> ClassRow {
    ClassRow {
        customer: customer.into(),
        class: class.into(),
        urgent: false,
        weight: 1.0,
        worth: 2.0,
        deadline_ms: DurationMs(60_000),
        max_in_flight: 50,
        max_queued: 200,
        rate_per_s: 100.0,
    }
}
