//! A fleet whose hosts know each other and all runners, and short ways to call it.

use std::time::Duration;

use http::Method;
use ragwortwick_border::{IssuedIds, RefusalVerdict, RequestOutcome, RequestSubmit};
use ragwortwick_core::{DurationMs, RequestId, ZoneName};
use ragwortwick_standin::{
    Fleet, FleetOptions, LogEvent, sample_answer, sample_request, wait_until,
};

const BINARY: &str = env!("CARGO_BIN_EXE_ragwortwickd");

pub async fn one_zone(hosts: usize, runners: usize) -> Fleet {
    open(FleetOptions {
        zones: vec![ZoneName::new("east")],
        hosts,
        runners,
        workers: 2,
        ..FleetOptions::two_zones(BINARY)
    })
    .await
}

pub async fn two_zones_with_paths() -> Fleet {
    open(FleetOptions {
        has_relays: true,
        workers: 4,
        ..FleetOptions::two_zones(BINARY)
    })
    .await
}

async fn open(options: FleetOptions) -> Fleet {
    let (hosts, runners) = (options.hosts, options.runners);
    let fleet = Fleet::open_with_table(options).await.expect("a fleet");
    wait_until("all hosts and runners are known everywhere", async || {
        let status = fleet.caller.status(fleet.address(0)).await;
        status.is_ok_and(|status| {
            let is_whole = |host: &ragwortwick_border::HostStatus| {
                host.peers.len() + 1 == hosts && host.runners.len() == runners
            };
            status.hosts.len() == hosts && status.hosts.iter().all(is_whole)
        })
    })
    .await;
    fleet
}

/// An order that must not be repeated, with a deadline.
pub fn order(id: &str, work_ms: u64, deadline_ms: u64) -> RequestSubmit {
    RequestSubmit {
        deadline_ms: Some(DurationMs(deadline_ms)),
        ..sample_request(id, work_ms, false)
    }
}

pub async fn submit(fleet: &Fleet, host: usize, request: &RequestSubmit) -> RequestOutcome {
    let sent = fleet.caller.request(fleet.address(host), request).await;
    sent.expect("a final outcome")
}

/// Takes a fresh id whose home is this host.
pub async fn issue_id(fleet: &Fleet, host: usize) -> RequestId {
    let http = fleet.caller.http();
    let limit_ms = DurationMs(10_000);
    let reply = http
        .send(
            Method::POST,
            fleet.address(host),
            "/v1/request-ids?count=1",
            None,
            limit_ms,
        )
        .await
        .expect("an id");
    let ids: IssuedIds = serde_json::from_slice(&reply.body).expect("ids");
    ids.request_ids[0].clone()
}

pub async fn wait_for_start(fleet: &Fleet, id: &str) {
    wait_until("the request has started", async || {
        fleet.runners.starts(id) > 0
    })
    .await;
}

pub fn is_answer(outcome: &RequestOutcome, id: &str) -> bool {
    matches!(outcome, RequestOutcome::Answered(answer) if answer.answer == sample_answer(id))
}

pub fn refusal(outcome: &RequestOutcome) -> Option<RefusalVerdict> {
    match outcome {
        RequestOutcome::Answered(_) => None,
        RequestOutcome::Refused(refusal) => Some(refusal.verdict),
    }
}

/// Starts on one runner, by its own log.
pub fn starts_on(fleet: &Fleet, runner: usize) -> usize {
    let entries = fleet.runners.all[runner].log().entries();
    entries
        .iter()
        .filter(|entry| entry.event == LogEvent::Started)
        .count()
}

/// Calls to run something that one runner got, refused ones too.
pub fn run_calls(fleet: &Fleet, runner: usize) -> u64 {
    let calls = fleet.runners.all[runner].calls();
    calls.get("run").copied().unwrap_or(0)
}

pub async fn pause(ms: u64) {
    tokio::time::sleep(Duration::from_millis(ms)).await;
}
