//! Values of the shape that they have in a large fleet.

use ragwortwick_border::{
    AcceptedTable, ClassRow, CustomerRow, GangMember, GangOnWorker, GangPhase, GangSpec,
    GuaranteeRow, GuaranteeStatus, HostEntry, HostKind, HostList, HostState, HostStatus, JobPhase,
    JobRecord, JobSubmit, PolicyWeights, Shape, Table, WorkerStatus, ZoneStatus,
};
use ragwortwick_core::{DurationMs, Epoch, GangId, TimeMs};

/// Classes of work of each customer.
const CLASSES: usize = 3;

/// Accelerators of a worker.
const ACCELERATORS: u32 = 8;

pub fn zone_name(zone: usize) -> String {
    format!("region-{}-zone-{}", zone / 3, zone % 3)
}

pub fn worker_name(worker: usize) -> String {
    format!("region-0-zone-0-worker-{worker:05}")
}

/// A table where every customer has a guarantee in every zone.
pub fn accepted(customers: usize, zones: usize) -> AcceptedTable {
    AcceptedTable {
        number: 8_200,
        nonce: "0123456789abcdef0123456789abcdef".to_owned(),
        accepted_by: "operator".to_owned(),
        accepted_at_ms: TimeMs(1_800_000_000_000),
        reason: "more cells for the spring campaign".to_owned(),
        table: Table {
            customers: (0..customers).map(customer).collect(),
            guarantees: (0..customers)
                .flat_map(|customer| (0..zones).map(move |zone| guarantee(customer, zone)))
                .collect(),
            classes: (0..customers)
                .flat_map(|customer| (0..CLASSES).map(move |index| class(customer, index)))
                .collect(),
            weights: PolicyWeights {
                completion: 3.0,
                fragmentation: 1.0,
            },
        },
    }
}

fn customer_name(customer: usize) -> String {
    format!("customer-{customer:03}")
}

fn customer(customer: usize) -> CustomerRow {
    CustomerRow {
        customer: customer_name(customer).as_str().into(),
        weight: 1.5,
        max_queued_jobs: 500,
    }
}

fn guarantee(customer: usize, zone: usize) -> GuaranteeRow {
    GuaranteeRow {
        customer: customer_name(customer).as_str().into(),
        zone: zone_name(zone).as_str().into(),
        shape: Shape {
            cells: 4,
            cell_accelerators: 8,
        },
    }
}

fn class(customer: usize, index: usize) -> ClassRow {
    ClassRow {
        customer: customer_name(customer).as_str().into(),
        class: format!("class-{index}").as_str().into(),
        urgent: index == 0,
        weight: 1.0,
        worth: 2.0,
        deadline_ms: DurationMs(60_000),
        max_in_flight: 50,
        max_queued: 200,
        rate_per_s: 100.0,
    }
}

pub fn hosts(workers: usize) -> HostList {
    let entry = |worker: usize| HostEntry {
        name: worker_name(worker).as_str().into(),
        kind: HostKind::Worker,
        state: HostState::Live,
        zone: zone_name(0).as_str().into(),
        rack: Some(format!("rack-{:04}", worker / 8).as_str().into()),
        address: "10.100.200.30:7100".to_owned(),
        peer_address: None,
        accelerators: ACCELERATORS,
        slots: 0,
    };
    HostList {
        hosts: (0..workers).map(entry).collect(),
        as_of_ms: TimeMs(1_800_000_000_000),
    }
}

pub fn host_status(workers: usize) -> HostStatus {
    let worker = |worker: usize| WorkerStatus {
        worker: worker_name(worker).as_str().into(),
        rack: format!("rack-{:04}", worker / 8).as_str().into(),
        state: "live".to_owned(),
        accelerators: ACCELERATORS,
        free: 0,
        reason: String::new(),
    };
    let guarantee = |customer: usize| GuaranteeStatus {
        customer: customer_name(customer).as_str().into(),
        zone: zone_name(0).as_str().into(),
        shape: Shape {
            cells: 4,
            cell_accelerators: 8,
        },
        cells_used: 2,
        cells_short: 0,
    };
    HostStatus {
        host: "region-0-zone-0-entry-0".into(),
        zone: zone_name(0).as_str().into(),
        version: "0.1.0".to_owned(),
        table_number: 8_200,
        store_is_reachable: true,
        is_stopping: false,
        requests_in_flight: 10,
        requests_queued: 0,
        peers: Vec::new(),
        runners: Vec::new(),
        owned_zone: Some(ZoneStatus {
            zone: zone_name(0).as_str().into(),
            owner: Some("region-0-zone-0-entry-0".into()),
            epoch: Epoch(12),
            jobs_waiting: 40,
            jobs_running: 300,
            free_accelerators: 100,
            fragmentation: 0.1,
            guarantees: (0..42).map(guarantee).collect(),
            workers: (0..workers).map(worker).collect(),
        }),
    }
}

pub fn gang_id(job: usize) -> GangId {
    GangId::new(format!("customer-001-job-{job:08}.1"))
}

pub fn gang_spec(members: usize) -> GangSpec {
    let member = |worker: usize| GangMember {
        worker: worker_name(worker).as_str().into(),
        device_mask: 255,
        tasks: 8,
    };
    GangSpec {
        gang_id: gang_id(0),
        job_id: "customer-001-job-00000000".into(),
        attempt: 1,
        customer: customer_name(1).as_str().into(),
        is_borrowed: false,
        members: (0..members).map(member).collect(),
        payload: "x".repeat(200),
    }
}

pub fn gang_on_worker(members: usize) -> GangOnWorker {
    GangOnWorker {
        spec: gang_spec(members),
        device_mask: 255,
        phase: GangPhase::Running,
        lease_left_ms: DurationMs(58_000),
        progress: 0.5,
        reason: String::new(),
    }
}

pub fn job_record(payload_bytes: usize) -> JobRecord {
    JobRecord {
        job_id: "customer-001-job-00000000".into(),
        accepted_at_ms: TimeMs(1_800_000_000_000),
        attempt: 1,
        cancel_requested: false,
        nonce: "0123456789abcdef0123456789abcdef".to_owned(),
        phase: JobPhase::Running,
        reason: String::new(),
        zone: zone_name(0).as_str().into(),
        spec: JobSubmit {
            class: "class-0".into(),
            customer: customer_name(1).as_str().into(),
            deadline_ms: None,
            job_id: Some("customer-001-job-00000000".into()),
            payload: "x".repeat(payload_bytes),
            repeatable: true,
            run_time_estimate_ms: DurationMs(7_200_000),
            shape: Shape {
                cells: 16,
                cell_accelerators: 8,
            },
            tasks_per_cell: 8,
            zone: None,
        },
    }
}
