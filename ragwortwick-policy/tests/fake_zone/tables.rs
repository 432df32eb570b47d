//! Tables for tests.

use ragwortwick_border::{ClassRow, CustomerRow, GuaranteeRow, PolicyWeights, Shape, Table};
use ragwortwick_core::{ClassName, CustomerName, DurationMs, ZoneName};

/// Creates a table of customers `a` and `b`, classes `urgent` and `batch`, and these guarantees.
pub fn table(guarantees: &[(&str, u32, u32)]) -> Table {
    let customers = ["a", "b"];
    Table {
        classes: customers
            .iter()
            .flat_map(|customer| [class(customer, "urgent"), class(customer, "batch")])
            .collect(),
        customers: customers
            .iter()
            .map(|customer| CustomerRow {
                customer: CustomerName::new(customer),
                max_queued_jobs: 100,
                weight: 1.0,
            })
            .collect(),
        guarantees: guarantees
            .iter()
            .map(|(customer, cells, size)| guarantee(customer, *cells, *size))
            .collect(),
        weights: PolicyWeights {
            completion: 1.0,
            fragmentation: 0.0,
        },
    }
}

pub fn guarantee(customer: &str, cells: u32, size: u32) -> GuaranteeRow {
    GuaranteeRow {
        customer: CustomerName::new(customer),
        shape: Shape {
            cells,
            cell_accelerators: size,
        },
        zone: ZoneName::new(super::ZONE),
    }
}

pub fn class(customer: &str, class: &str) -> ClassRow {
    ClassRow {
        class: ClassName::new(class),
        customer: CustomerName::new(customer),
        deadline_ms: DurationMs(3_600_000),
        max_in_flight: 10,
        max_queued: 10,
        rate_per_s: 10.0,
        urgent: class == "urgent",
        weight: 1.0,
        worth: 1.0,
    }
}
