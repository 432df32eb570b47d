//! A small table, requests and jobs for tests and the demo.

use ragwortwick_border::{
    ClassRow, CustomerRow, GuaranteeRow, JobSubmit, PolicyWeights, RequestSubmit, Shape, Table,
    TableAccept,
};
use ragwortwick_core::{ClassName, CustomerName, DurationMs, JobId, RequestId, ZoneName};
use serde_json::json;

/// `sample_table` has two customers with an urgent and a routine class and a guarantee per zone.
#[must_use]
pub fn sample_table(zones: &[ZoneName]) -> Table {
    let customers = ["padana", "kormtap"];
    Table {
        customers: customers.map(customer_row).to_vec(),
        guarantees: zones
            .iter()
            .flat_map(|zone| customers.map(|customer| guarantee_row(customer, zone)))
            .collect(),
        classes: customers
            .iter()
            .flat_map(|customer| [class_row(customer, true), class_row(customer, false)])
            .collect(),
        weights: PolicyWeights {
            completion: 1.0,
            fragmentation: 1.0,
        },
    }
}

/// `sample_accept` accepts the table as the first one.
#[must_use]
pub fn sample_accept(zones: &[ZoneName]) -> TableAccept {
    TableAccept {
        table: sample_table(zones),
        based_on_number: 0,
        accepted_by: "operator".to_owned(),
        reason: "first table".to_owned(),
        nonce: "first".to_owned(),
    }
}

/// `sample_request` asks a runner to work for `work_ms` and to answer with the request's id.
#[must_use]
pub fn sample_request(id: &str, work_ms: u64, repeatable: bool) -> RequestSubmit {
    RequestSubmit {
        request_id: Some(RequestId::new(id)),
        customer: CustomerName::new("padana"),
        class: ClassName::new("urgent"),
        deadline_ms: Some(DurationMs(20_000)),
        repeatable,
        payload: json!({ "work_ms": work_ms, "echo": sample_answer(id) }).to_string(),
    }
}

/// `sample_answer` is the whole answer to `sample_request`.
#[must_use]
pub fn sample_answer(id: &str) -> String {
    format!("whole answer to {id}, {}", "0123456789".repeat(100))
}

/// `sample_job` is a gang of `cells` whole workers that runs for `run_ms`.
#[must_use]
pub fn sample_job(id: &str, cells: u32, run_ms: u64, repeatable: bool) -> JobSubmit {
    JobSubmit {
        job_id: Some(JobId::new(id)),
        customer: CustomerName::new("padana"),
        class: ClassName::new("routine"),
        zone: None,
        shape: Shape {
            cell_accelerators: 8,
            cells,
        },
        tasks_per_cell: 8,
        run_time_estimate_ms: DurationMs(run_ms),
        deadline_ms: None,
        repeatable,
        payload: json!({ "run_ms": run_ms, "exit": "ok" }).to_string(),
    }
}

fn customer_row(customer: &str) -> CustomerRow {
    CustomerRow {
        customer: CustomerName::new(customer),
        weight: 1.0,
        max_queued_jobs: 1_000,
    }
}

fn guarantee_row(customer: &str, zone: &ZoneName) -> GuaranteeRow {
    GuaranteeRow {
        customer: CustomerName::new(customer),
        zone: zone.clone(),
        shape: Shape {
            cell_accelerators: 8,
            cells: 1,
        },
    }
}

fn class_row(customer: &str, urgent: bool) -> ClassRow {
    ClassRow {
        customer: CustomerName::new(customer),
        class: ClassName::new(if urgent { "urgent" } else { "routine" }),
        urgent,
        weight: 1.0,
        worth: if urgent { 10.0 } else { 1.0 },
        max_in_flight: 100,
        max_queued: 1_000,
        rate_per_s: 10_000.0,
        deadline_ms: DurationMs(30_000),
    }
}
