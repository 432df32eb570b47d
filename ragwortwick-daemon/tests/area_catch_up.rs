//! Hosts that lost the store catch up over a slow path.

use http::{Method, StatusCode, header};
use ragwortwick_http::HttpResponse;
use ragwortwick_standin::{AreaFleet, RelayMode, StoreFault, area_job, desired, wait_until};
use serde_json::{Value, json};

/// Versions accepted while a host is cut off.
const MISSED_VERSIONS: u64 = 60;

/// Jobs submitted while a host is cut off; with their payloads more than a megabyte in the store.
const MISSED_JOBS: u64 = 200;

/// Length of their payloads, below the largest body that clients may send.
const PAYLOAD_BYTES: usize = 3_000;

/// Heartbeats of workers that the coordinator misses; with their entries more than two megabytes.
const MISSED_HEARTBEATS: u64 = 2_500;

/// Customers of a large area; their API keys are most of its desired state.
const CUSTOMERS: u64 = 200;

async fn open(hosts: usize, workers: usize) -> AreaFleet {
    let binary = env!("CARGO_BIN_EXE_ragwortwickd");
    let fleet = AreaFleet::spawn_ready(binary, hosts, workers).await;
    fleet.expect("the area starts")
}

/// A desired state as large as that of an area with many customers.
fn large_desired_state(version: u64) -> Value {
    let mut state = desired(version);
    if let Some(customers) = state["Tenants"].as_array_mut() {
        customers.extend((0..CUSTOMERS).map(|number| {
            let keys = [
                format!("first-key-of-{number}"),
                format!("second-key-of-{number}"),
            ];
            json!({"Name": format!("customer-{number}"), "ApiKeys": keys, "Priority": 1})
        }));
    }
    state
}

/// Guards against a host that never catches up with the desired state and answers 404 for a new queue. Its
/// path to the store was cut while versions were accepted, and came back slow. It requested all changes
/// since its last revision, each of which contains the whole state, and timed out before the reply was
/// complete; each retry's reply was larger. The log showed `store_reachable is_reachable=false cause="… no
/// answer within 750 ms"` four times in five seconds while the link was full, and then
/// `desired_state_in_force` 38 times within 10 ms.
#[tokio::test(flavor = "multi_thread")]
async fn verify_host_that_was_away_serves_the_newest_desired_state() {
    let fleet = open(1, 2).await;
    fleet.set_store_path(0, RelayMode::Cut);
    let behind = fleet.hosts[0].wait_for_event("feed_behind").await;
    behind.expect("the host has lost the store");
    for version in 2..MISSED_VERSIONS {
        let state = large_desired_state(version).to_string();
        fleet.store.put("op/config", state);
    }
    let mut newest = large_desired_state(MISSED_VERSIONS);
    newest["Routes"][0]["Prefix"] = json!("/added/");
    fleet.store.put("op/config", newest.to_string());
    fleet.set_store_path(0, RelayMode::Narrow);
    wait_until("the added queue is served", async || {
        let response = fleet.call(Method::GET, 0, "/added/", None).await;
        response.is_ok_and(|response| response.status == StatusCode::OK)
    })
    .await;
    fleet.close();
}

/// Cuts a follower off from the store and submits jobs to the other host; returns the follower and the
/// last job's id.
async fn submit_missed_jobs(fleet: &AreaFleet) -> (usize, String) {
    let coordinator = fleet.coordinator().expect("a host coordinates");
    let follower = 1 - coordinator;
    fleet.set_store_path(follower, RelayMode::Cut);
    let behind = fleet.hosts[follower].wait_for_event("feed_behind").await;
    behind.expect("the host has lost the store");
    let mut last = String::new();
    for number in 0..MISSED_JOBS {
        last = format!("{number:016x}");
        let mut job = area_job(1, 10, false);
        let padding = "p".repeat(PAYLOAD_BYTES);
        job["Spec"] = json!(json!({"work_ms": 10, "padding": padding}).to_string());
        let status = fleet.submit(coordinator, &last, job).await;
        assert_eq!(status.ok(), Some(StatusCode::OK));
    }
    fleet.wait_for_state(coordinator, &last, "completed").await;
    (follower, last)
}

/// Guards against a host that reports an ended job as queued forever. Its path to the store was cut for a
/// while and came back slow. One reply contains all jobs changed meanwhile, and its transfer exceeded the
/// watch's timeout: the host aborted it and requested the same changes and more again. On the host with
/// the stale queues the link was full for six seconds, 6.9 MB.
#[tokio::test(flavor = "multi_thread")]
async fn verify_host_that_was_away_learns_of_jobs_that_changed() {
    let fleet = open(2, 8).await;
    let (follower, last) = submit_missed_jobs(&fleet).await;
    fleet.set_store_path(follower, RelayMode::Narrow);
    fleet.wait_for_state(follower, &last, "completed").await;
    fleet.close();
}

/// As before, but the store has dropped its history meanwhile, so the host reads all jobs again. On the
/// slow path a page of them exceeded the read's timeout, and each retry started at the first page.
#[tokio::test(flavor = "multi_thread")]
async fn verify_host_that_was_away_reads_all_jobs_anew() {
    let fleet = open(2, 8).await;
    let (follower, last) = submit_missed_jobs(&fleet).await;
    fleet.store.compact();
    fleet.set_store_path(follower, RelayMode::Narrow);
    fleet.wait_for_state(follower, &last, "completed").await;
    fleet.close();
}

/// Guards against an ended job that starts again because its keys were not removed when all jobs were read anew.
#[tokio::test(flavor = "multi_thread")]
async fn verify_a_coordinator_that_reads_all_jobs_anew_starts_no_ended_job() {
    let fleet = open(1, 4).await;
    let ended = "00000000000000aa";
    let status = fleet.submit(0, ended, area_job(1, 10, false)).await;
    assert_eq!(status.ok(), Some(StatusCode::OK));
    fleet.wait_for_state(0, ended, "completed").await;
    fleet.store.set_fault(StoreFault::Unresponsive);
    // A job that an earlier coordinator has ended, and that this one does not hold.
    let other = "00000000000000ab";
    for part in ["record", "phase"] {
        let key = |id: &str| format!("ragwortwick/jobs/{id}/{part}");
        let item = fleet
            .store
            .get(&key(ended))
            .expect("a key of the ended job");
        let value = String::from_utf8(item.value).expect("text");
        fleet.store.put(&key(other), value.replace(ended, other));
    }
    fleet.store.compact();
    fleet.store.set_fault(StoreFault::None);
    fleet.wait_for_state(0, other, "completed").await;
    let later = "00000000000000ac";
    wait_until("the host accepts jobs again", async || {
        let status = fleet.submit(0, later, area_job(1, 10, false)).await;
        status.ok() == Some(StatusCode::OK)
    })
    .await;
    fleet.wait_for_state(0, later, "completed").await;
    let starts = fleet.workers.starts();
    assert!(
        !starts.iter().any(|start| start.task.starts_with(other)),
        "started again: {starts:?}"
    );
    fleet.close();
}

/// Guards against jobs that wait although workers have joined. The store was unresponsive for some seconds,
/// in which leases don't expire, so the coordinator kept its term, while each heartbeat of a worker changed
/// a whole entry. On a slow path the reply with all changes exceeded the watch's timeout on each try, and
/// no new worker was seen.
#[tokio::test(flavor = "multi_thread")]
async fn verify_coordinator_that_was_away_sees_new_workers() {
    let fleet = open(1, 2).await;
    // A term that can't load the jobs ends without a worker feed.
    let loaded = fleet.hosts[0].wait_for_event("term_loaded").await;
    loaded.expect("the term has read the jobs and the workers");
    fleet.store.set_fault(StoreFault::Unresponsive);
    let behind = async || {
        let lines = fleet.hosts[0].lines();
        lines
            .iter()
            .any(|line| line.contains("event=feed_behind feed=workers"))
    };
    wait_until("the worker feed is behind", behind).await;
    for number in 0..MISSED_HEARTBEATS {
        let entry = json!({
            "Service": "booking",
            "Address": "127.0.0.1:1",
            "Zone": "z",
            "Version": "v".repeat(PAYLOAD_BYTES / 5),
            "State": "ready",
            "Capacity": {"Cpu": 32_000, "MemMb": 65_536, "Gpu": 8},
            "Labels": ["a", "r-9"],
            "Sequence": number,
        });
        fleet.store.put("servers/late", entry.to_string());
    }
    fleet.set_store_path(0, RelayMode::Narrow);
    fleet.store.set_fault(StoreFault::None);
    // A coordinator that loses its term under load lists the worker when it begins the next one.
    let is_seen = |line: &&String| {
        line.contains("event=worker_seen worker=late")
            || line.contains("event=term_loaded") && line.contains(" workers=3 ")
    };
    wait_until("the new worker is seen", async || {
        fleet.hosts[0].lines().iter().any(|line| is_seen(&line))
    })
    .await;
    fleet.close();
}

/// Guards against a permanent refusal for a queue that was just added, after which the client asks no other
/// host. A host that has lost the store can't know that a queue or key doesn't exist: in one run, a path was
/// cut from 32 to 45 s, the new state came into force at 51.59 s, and the host's state was 15 s old. It must
/// send a retry time instead, and still report the jobs that it knows.
#[tokio::test(flavor = "multi_thread")]
async fn verify_host_without_the_newest_desired_state_refuses_nothing_for_good() {
    let fleet = open(1, 2).await;
    let id = "00000000000000aa";
    let status = fleet.submit(0, id, area_job(1, 10, false)).await;
    assert_eq!(status.ok(), Some(StatusCode::OK));
    fleet.wait_for_state(0, id, "completed").await;
    fleet.set_store_path(0, RelayMode::Cut);
    let is_retry_later = |response: &HttpResponse| {
        let has_retry_after = response.headers.contains_key(header::RETRY_AFTER);
        response.status == StatusCode::SERVICE_UNAVAILABLE && has_retry_after
    };
    wait_until("an unknown queue may exist", async || {
        let response = fleet.call(Method::GET, 0, "/added/", None).await;
        response.is_ok_and(|response| is_retry_later(&response))
    })
    .await;
    let refused = fleet.hosts[0].wait_for_event("call_refused").await;
    let refused = refused.expect("the refusal is logged");
    assert!(
        refused.contains("desired_version=1 desired_age_ms="),
        "{refused}"
    );
    let with_new_key = fleet.call_as("new-key", Method::GET, 0, "/work/", None);
    let response = with_new_key.await.expect("a response");
    assert!(is_retry_later(&response), "{}", response.status);
    let job = Some(area_job(1, 10, false));
    let submission = fleet.call(Method::POST, 0, "/work/00000000000000ab", job);
    let response = submission.await.expect("a response");
    assert!(is_retry_later(&response), "{}", response.status);
    assert_eq!(fleet.state(0, id).await.as_deref(), Some("completed"));
    fleet.set_store_path(0, RelayMode::Pass);
    wait_until("the queue is known not to exist", async || {
        let response = fleet.call(Method::GET, 0, "/added/", None).await;
        response.is_ok_and(|response| response.status == StatusCode::NOT_FOUND)
    })
    .await;
    fleet.close();
}
