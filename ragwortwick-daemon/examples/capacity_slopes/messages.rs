//! Bytes of the messages between hosts, to workers and to the store.

use ragwortwick_border::{
    PeerCall, PeerHello, PeerReply, RenewCommand, ReserveCommand, WorkerCommand, WorkerOrder,
    WorkerOutcome, WorkerReply,
};
use ragwortwick_core::{DurationMs, Epoch};
use serde::Serialize;

use crate::sample;
use crate::series::{Series, micros};

/// Sizes in members of a gang; 128 workers of 8 accelerators are the largest gang of 1024.
const MEMBERS: [usize; 4] = [1, 16, 64, 128];

pub fn run() {
    heartbeat();
    host_status();
    host_list();
    worker_orders();
    worker_replies();
    job_records();
}

/// `json_len` gives the length of a value as JSON.
pub fn json_len<T: Serialize>(value: &T) -> usize {
    serde_json::to_vec(value).map_or(0, |bytes| bytes.len())
}

/// `bincode_len` gives the length of a value between entry hosts.
pub fn bincode_len<T: Serialize>(value: &T) -> usize {
    bincode::serde::encode_to_vec(value, bincode::config::standard()).map_or(0, |bytes| bytes.len())
}

fn heartbeat() {
    let mut series = Series::new("peer_hello_bincode", "name_bytes", "bytes");
    for length in [8, 24, 48] {
        let name = "h".repeat(length);
        let hello = PeerHello {
            host: name.as_str().into(),
            zone: name.as_str().into(),
            incarnation: 1_800_000_000_000,
            is_stopping: false,
            leaving_runners: Vec::new(),
            waiting_jobs: Vec::new(),
            owned_epoch: ragwortwick_core::Epoch(7),
            protocol: 1,
            running_share: 20,
            table_number: 8_200,
            waiting: 10,
        };
        series.bytes(length, bincode_len(&PeerCall::Hello(hello)));
    }
    series.print();
}

fn host_status() {
    let mut bincode = Series::new("host_status_bincode", "zone_workers", "bytes");
    let mut json = Series::new("host_status_json", "zone_workers", "bytes");
    for workers in [50, 350, 1_000] {
        let status = sample::host_status(workers);
        json.bytes(workers, json_len(&status));
        bincode.bytes(workers, bincode_len(&PeerReply::Status(status)));
    }
    bincode.print();
    json.print();
}

fn host_list() {
    let mut bytes = Series::new("host_list_json", "workers", "bytes");
    let mut time = Series::new("host_list_parse", "workers", "us");
    for workers in [350, 2_100, 8_400] {
        let json = serde_json::to_vec(&sample::hosts(workers)).unwrap_or_default();
        bytes.bytes(workers, json.len());
        let parse = || serde_json::from_slice::<ragwortwick_border::HostList>(&json).ok();
        time.point(workers, micros(21, parse));
    }
    bytes.print();
    time.print();
}

fn worker_orders() {
    let mut reserve = Series::new("order_reserve_json", "gang_members", "bytes");
    for members in MEMBERS {
        let command = WorkerCommand::Reserve(ReserveCommand {
            spec: sample::gang_spec(members),
            lease_ms: DurationMs(10_000),
        });
        reserve.bytes(members, json_len(&order(command)));
    }
    reserve.print();
    let mut renew = Series::new("order_renew_json", "gangs_on_worker", "bytes");
    for gangs in [1, 4, 8] {
        let command = WorkerCommand::Renew(RenewCommand {
            gang_ids: (0..gangs).map(sample::gang_id).collect(),
            lease_ms: DurationMs(60_000),
        });
        renew.bytes(gangs, json_len(&order(command)));
    }
    renew.print();
}

fn order(command: WorkerCommand) -> WorkerOrder {
    WorkerOrder {
        epoch: Epoch(12),
        command,
    }
}

fn worker_replies() {
    let mut by_members = Series::new("worker_reply_json_one_gang", "gang_members", "bytes");
    for members in MEMBERS {
        by_members.bytes(members, json_len(&reply(1, members)));
    }
    by_members.print();
    let mut by_gangs = Series::new("worker_reply_json_gangs_of_one", "gangs_on_worker", "bytes");
    for gangs in [1, 4, 8] {
        by_gangs.bytes(gangs, json_len(&reply(gangs, 1)));
    }
    by_gangs.print();
}

fn reply(gangs: usize, members: usize) -> WorkerReply {
    WorkerReply {
        outcome: WorkerOutcome::Done,
        highest_epoch: Epoch(12),
        gangs: (0..gangs)
            .map(|_| sample::gang_on_worker(members))
            .collect(),
    }
}

fn job_records() {
    let mut series = Series::new("job_record_json", "payload_bytes", "bytes");
    for payload in [0, 1_000, 10_000] {
        series.bytes(payload, json_len(&sample::job_record(payload)));
    }
    series.print();
}
