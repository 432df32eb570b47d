//! Hosts that were away from the store find their way back, on a path that carries little.

use http::{Method, StatusCode, header};
use ragwortwick_http::HttpResponse;
use ragwortwick_standin::{AreaFleet, RelayMode, StoreFault, area_job, desired, wait_until};
use serde_json::{Value, json};

/// Versions that the operator confirms while a host is away.
const MISSED_VERSIONS: u64 = 60;

/// Jobs that come in while a host is away; with their payloads more than a megabyte in the store.
const MISSED_JOBS: u64 = 200;

/// Length of their payloads, below the largest body that callers may send.
const PAYLOAD_BYTES: usize = 3_000;

/// Heartbeats of workers that the coordinator misses; with their entries more than two megabytes.
const MISSED_HEARTBEATS: u64 = 2_500;

/// Customers of a large area; their keys are most of a desired state.
const CUSTOMERS: u64 = 200;

async fn open(hosts: usize, workers: usize) -> AreaFleet {
    let binary = env!("CARGO_BIN_EXE_ragwortwickd");
    let fleet = AreaFleet::spawn_ready(binary, hosts, workers).await;
    fleet.expect("the area starts")
}

/// A desired state as large as that of an area with many customers.
fn large_desired(version: u64) -> Value {
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

/// A caller asks a host for a queue that was confirmed seconds ago, and gets 404; every other host
/// serves it. The host's path to the store had been lost while the operator went on with changes,
/// and came back narrow. It asked for all changes since the last that it knew, each of which holds
/// the whole state, and gave up before the answer was whole; at the next try the answer was longer
/// still. The log showed `store_reachable is_reachable=false cause="… no answer within 750 ms"`
/// four times in five seconds while the link was full, and then `desired_state_in_force` 38 times
/// within 10 ms.
#[tokio::test(flavor = "multi_thread")]
async fn verify_host_that_was_away_serves_the_newest_desired_state() {
    let fleet = open(1, 2).await;
    fleet.set_store_path(0, RelayMode::Cut);
    let behind = fleet.hosts[0].wait_for_event("feed_behind").await;
    behind.expect("the host has lost the store");
    for version in 2..MISSED_VERSIONS {
        let state = large_desired(version).to_string();
        fleet.store.put("op/config", state);
    }
    let mut newest = large_desired(MISSED_VERSIONS);
    newest["Routes"][0]["Prefix"] = json!("/added/");
    fleet.store.put("op/config", newest.to_string());
    fleet.set_store_path(0, RelayMode::Narrow);
    wait_until("the added queue is served", async || {
        let reply = fleet.call(Method::GET, 0, "/added/", None).await;
        reply.is_ok_and(|reply| reply.status == StatusCode::OK)
    })
    .await;
    fleet.close();
}

/// Cuts a follower off from the store and has the other host take jobs in; gives the follower and
/// the last job's id.
async fn miss_jobs(fleet: &AreaFleet) -> (usize, String) {
    let leader = fleet.coordinator().expect("a host coordinates");
    let follower = 1 - leader;
    fleet.set_store_path(follower, RelayMode::Cut);
    let behind = fleet.hosts[follower].wait_for_event("feed_behind").await;
    behind.expect("the host has lost the store");
    let mut last = String::new();
    for number in 0..MISSED_JOBS {
        last = format!("{number:016x}");
        let mut job = area_job(1, 10, false);
        let padding = "p".repeat(PAYLOAD_BYTES);
        job["Spec"] = json!(json!({"work_ms": 10, "padding": padding}).to_string());
        let status = fleet.submit(leader, &last, job).await;
        assert_eq!(status.ok(), Some(StatusCode::OK));
    }
    fleet.wait_for_state(leader, &last, "completed").await;
    (follower, last)
}

/// A caller asks a host for a job that has ended, and is told for good that it waits. The host's
/// path to the store was lost for a while and came back narrow. All jobs that changed meanwhile
/// come in one answer, which is on its way for longer than the host lets a watch take: it broke the
/// answer off and asked for the same again, and more. On the host of the stale queues the link was
/// full for six seconds, 6.9 MB.
#[tokio::test(flavor = "multi_thread")]
async fn verify_host_that_was_away_learns_of_jobs_that_changed() {
    let fleet = open(2, 8).await;
    let (follower, last) = miss_jobs(&fleet).await;
    fleet.set_store_path(follower, RelayMode::Narrow);
    fleet.wait_for_state(follower, &last, "completed").await;
    fleet.close();
}

/// As before, but the store has forgotten its history meanwhile, so the host reads all jobs anew. A
/// page of them takes longer on the narrow path than the host lets a read take, and each try begins
/// with the first page.
#[tokio::test(flavor = "multi_thread")]
async fn verify_host_that_was_away_reads_all_jobs_anew() {
    let fleet = open(2, 8).await;
    let (follower, last) = miss_jobs(&fleet).await;
    fleet.store.compact();
    fleet.set_store_path(follower, RelayMode::Narrow);
    fleet.wait_for_state(follower, &last, "completed").await;
    fleet.close();
}

/// Jobs wait although workers have joined. The store answered nobody for some seconds, in which
/// leases stand still, so the coordinator kept its term; the workers' heartbeats went on, and each
/// is a change of a whole entry. On a narrow path the answer with all of them took longer than the
/// watch may, again and again, and no worker was ever seen.
#[tokio::test(flavor = "multi_thread")]
async fn verify_coordinator_that_was_away_sees_new_workers() {
    let fleet = open(1, 2).await;
    fleet.store.set_fault(StoreFault::Unresponsive);
    let behind = async || {
        let lines = fleet.hosts[0].lines();
        lines
            .iter()
            .any(|line| line.contains("event=feed_behind feed=workers"))
    };
    wait_until("the workers' reader is behind", behind).await;
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
    wait_until("the new worker is seen", async || {
        let lines = fleet.hosts[0].lines();
        lines
            .iter()
            .any(|line| line.contains("event=worker_seen worker=late"))
    })
    .await;
    fleet.close();
}

/// A caller asks for a queue that was added a moment ago, at a host that has lost the store, and is
/// told for good that there is none: it doesn't ask another host. The desired state of such a host
/// is as old as its loss, 15 s where a path was cut from 32 to 45 s and the state came in force at
/// 51.59, so it can't know what is not there. It says when to come back instead, also to callers
/// with a key that it doesn't know, and goes on telling of the jobs that it knows.
#[tokio::test(flavor = "multi_thread")]
async fn verify_host_without_the_newest_desired_state_refuses_nothing_for_good() {
    let fleet = open(1, 2).await;
    let id = "00000000000000aa";
    let status = fleet.submit(0, id, area_job(1, 10, false)).await;
    assert_eq!(status.ok(), Some(StatusCode::OK));
    fleet.wait_for_state(0, id, "completed").await;
    fleet.set_store_path(0, RelayMode::Cut);
    let comes_back = |reply: &HttpResponse| {
        let is_told_when = reply.headers.contains_key(header::RETRY_AFTER);
        reply.status == StatusCode::SERVICE_UNAVAILABLE && is_told_when
    };
    wait_until("an unknown queue may exist", async || {
        let reply = fleet.call(Method::GET, 0, "/added/", None).await;
        reply.is_ok_and(|reply| comes_back(&reply))
    })
    .await;
    let refused = fleet.hosts[0].wait_for_event("call_refused").await;
    let refused = refused.expect("the refusal is logged");
    assert!(
        refused.contains("desired_version=1 desired_age_ms="),
        "{refused}"
    );
    let with_new_key = fleet.call_as("new-key", Method::GET, 0, "/work/", None);
    let reply = with_new_key.await.expect("an answer");
    assert!(comes_back(&reply), "{}", reply.status);
    let job = Some(area_job(1, 10, false));
    let handed_in = fleet.call(Method::POST, 0, "/work/00000000000000ab", job);
    let reply = handed_in.await.expect("an answer");
    assert!(comes_back(&reply), "{}", reply.status);
    assert_eq!(fleet.state(0, id).await.as_deref(), Some("completed"));
    fleet.set_store_path(0, RelayMode::Pass);
    wait_until("the queue is known not to exist", async || {
        let reply = fleet.call(Method::GET, 0, "/added/", None).await;
        reply.is_ok_and(|reply| reply.status == StatusCode::NOT_FOUND)
    })
    .await;
    fleet.close();
}
