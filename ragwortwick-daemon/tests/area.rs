//! End-to-end tests of an area's entry hosts as separate processes, against stand-ins of the platform.

use std::collections::BTreeSet;

use http::{Method, StatusCode};
use ragwortwick_core::DurationMs;
use ragwortwick_http::{HttpClient, HttpClientOptions};
use ragwortwick_standin::{AreaFleet, RelayMode, StoreFault, area_job, desired, wait_until};
use serde_json::json;

/// Prefix of the job keys that all hosts watch.
const JOBS_PREFIX: &str = "ragwortwick/jobs/";

const ID: &str = "00000000000000aa";

async fn open(hosts: usize, workers: usize) -> AreaFleet {
    let binary = env!("CARGO_BIN_EXE_ragwortwickd");
    let fleet = AreaFleet::spawn_ready(binary, hosts, workers).await;
    fleet.expect("the area starts")
}

fn assert_no_double_runs(fleet: &AreaFleet) {
    let starts = fleet.workers.starts();
    let doubles: Vec<_> = starts.iter().filter(|start| start.is_duplicate).collect();
    assert!(
        doubles.is_empty(),
        "run twice at the same time: {doubles:?}"
    );
    let runs: BTreeSet<_> = starts
        .iter()
        .map(|start| (&start.task, start.run))
        .collect();
    assert_eq!(runs.len(), starts.len(), "a run was started twice");
}

#[tokio::test(flavor = "multi_thread")]
async fn verify_jobs_and_gangs_complete_on_every_host() {
    let fleet = open(3, 8).await;
    for host in 0..3 {
        let id = format!("{:016x}", 16 + host);
        let status = fleet.submit(host, &id, area_job(6, 100, host == 1)).await;
        assert_eq!(status.ok(), Some(StatusCode::OK));
    }
    for queried in 0..3 {
        for host in 0..3 {
            let id = format!("{:016x}", 16 + host);
            fleet.wait_for_state(queried, &id, "completed").await;
        }
    }
    assert_eq!(fleet.workers.starts().len(), 18);
    assert_no_double_runs(&fleet);
    fleet.close();
}

/// The coordinator's process is killed while a gang runs. Another host takes over, finds the gang on its
/// workers and leaves it running: the gang completes, and nothing is started twice.
#[tokio::test(flavor = "multi_thread")]
async fn verify_running_gang_survives_its_coordinator() {
    let mut fleet = open(3, 8).await;
    let status = fleet.submit(0, ID, area_job(4, 5_000, true)).await;
    assert_eq!(status.ok(), Some(StatusCode::OK));
    wait_until("the gang runs", async || fleet.workers.starts().len() == 4).await;
    let coordinator = fleet.coordinator().expect("a host coordinates");
    fleet.hosts[coordinator]
        .kill()
        .expect("the process is killed");
    let queried = (coordinator + 1) % 3;
    fleet.wait_for_state(queried, ID, "completed").await;
    assert_eq!(fleet.workers.starts().len(), 4, "nothing was started anew");
    assert_no_double_runs(&fleet);
    fleet.close();
}

/// Guards against a completed task that runs a second time. Its coordinator had lost the store, received
/// the completion and could not store it; then the worker left for good, and another host took over. The
/// log had `run_over … cause=Done` under the first term and, 17 s later, `run_over … cause=NotThere` for
/// the same run under the next one. The first coordinator reached the store again seconds later and still
/// had the completion, but no host requested it.
#[tokio::test(flavor = "multi_thread")]
async fn verify_end_that_a_cut_off_coordinator_heard_is_not_lost_with_its_worker() {
    let fleet = open(2, 2).await;
    let coordinator = fleet.coordinator().expect("a host coordinates");
    let other = 1 - coordinator;
    let status = fleet.submit(coordinator, ID, area_job(1, 700, false)).await;
    assert_eq!(status.ok(), Some(StatusCode::OK));
    wait_until("the task runs", async || !fleet.workers.starts().is_empty()).await;
    fleet.set_store_path(coordinator, RelayMode::Cut);
    let run_over = fleet.hosts[coordinator].wait_for_event("run_over").await;
    let run_over = run_over.expect("the coordinator receives the completion");
    assert!(run_over.contains("cause=Done"), "{run_over}");
    let worker = fleet.workers.starts().remove(0).worker;
    fleet.workers.leave(&worker, &fleet.store);
    wait_until("the other host coordinates", async || {
        fleet.coordinates(other)
    })
    .await;
    fleet.set_store_path(coordinator, RelayMode::Pass);
    fleet.wait_for_state(other, ID, "completed").await;
    let starts = fleet.workers.starts();
    assert_eq!(starts.len(), 1, "started again: {starts:?}");
    fleet.close();
}

/// Guards against open jobs that start from their beginning: a host takes over that looks for their progress
/// in another layout of the store. It must leave that to a host that knows the layout.
#[tokio::test(flavor = "multi_thread")]
async fn verify_a_host_does_not_coordinate_in_a_layout_that_it_does_not_know() {
    let mut fleet = open(2, 4).await;
    let layout = fleet.store.get("ragwortwick/layout");
    let layout = layout.expect("the first coordinator writes the layout");
    fleet.store.put("ragwortwick/layout", r#"{"version":1000}"#);
    let coordinator = fleet.coordinator().expect("a host coordinates");
    let mut killed = fleet.hosts.remove(coordinator);
    killed.kill().expect("the process is killed");
    let refused = fleet.hosts[0].wait_for_event("layout_unknown").await;
    refused.expect("the other host reads the layout");
    assert!(!fleet.coordinates(0), "it coordinates all the same");
    fleet.store.put("ragwortwick/layout", layout.value);
    wait_until("the host coordinates", async || fleet.coordinates(0)).await;
    fleet.close();
}

/// All hosts are killed at once and replaced by empty ones: accepted jobs still run, once.
#[tokio::test(flavor = "multi_thread")]
async fn verify_accepted_jobs_survive_the_kill_of_every_host() {
    let mut fleet = open(2, 4).await;
    for number in 0..6 {
        let id = format!("{:016x}", 32 + number);
        let status = fleet.submit(0, &id, area_job(4, 700, false)).await;
        assert_eq!(status.ok(), Some(StatusCode::OK));
    }
    for host in &mut fleet.hosts {
        host.kill().expect("the process is killed");
    }
    for index in 0..2 {
        let host = fleet.spawn_host().await.expect("a new host starts");
        fleet.hosts[index] = host;
    }
    for number in 0..6 {
        let id = format!("{:016x}", 32 + number);
        fleet.wait_for_state(1, &id, "completed").await;
    }
    assert_no_double_runs(&fleet);
    fleet.close();
}

/// The store accepts calls and replies to none. Clients get a response within their deadline that the
/// outcome is unknown, and once the host has detected the fault, an immediate refusal with a retry time.
/// An accepted job is never lost, and a refused one never runs.
#[tokio::test(flavor = "multi_thread")]
async fn verify_callers_of_a_silent_store_are_told_when_to_come_back() {
    let fleet = open(1, 2).await;
    fleet.store.set_fault(StoreFault::Unresponsive);
    wait_until("a refusal with a retry time", async || {
        let job = area_job(1, 50, false);
        let path = "/work/00000000000000ab";
        let response = fleet.call(Method::POST, 0, path, Some(job)).await;
        let response = response.expect("a response within the client's deadline");
        assert_ne!(response.status, StatusCode::OK);
        response.status == StatusCode::SERVICE_UNAVAILABLE
            && response.headers.contains_key("retry-after")
    })
    .await;
    let refused = "00000000000000ac";
    let status = fleet.submit(0, refused, area_job(1, 50, false)).await;
    assert_eq!(status.ok(), Some(StatusCode::SERVICE_UNAVAILABLE));
    fleet.store.set_fault(StoreFault::None);
    wait_until("the host accepts jobs again", async || {
        let status = fleet.submit(0, ID, area_job(1, 50, false)).await;
        status.ok() == Some(StatusCode::OK)
    })
    .await;
    fleet.wait_for_state(0, ID, "completed").await;
    let starts = fleet.workers.starts();
    assert!(starts.iter().all(|start| !start.task.starts_with(refused)));
    fleet.close();
}

/// Replies of the store are lost after the write took effect: the same id remains one job.
#[tokio::test(flavor = "multi_thread")]
async fn verify_lost_answers_of_the_store_double_nothing() {
    let fleet = open(2, 4).await;
    fleet.store.set_fault(StoreFault::DropsReplies);
    for number in 0..4 {
        let id = format!("{:016x}", 64 + number);
        wait_until("the job is accepted", async || {
            let status = fleet.submit(0, &id, area_job(2, 100, false)).await;
            status.ok() == Some(StatusCode::OK)
        })
        .await;
    }
    for number in 0..4 {
        let id = format!("{:016x}", 64 + number);
        fleet.wait_for_state(1, &id, "completed").await;
    }
    fleet.store.set_fault(StoreFault::None);
    assert_eq!(fleet.workers.starts().len(), 8);
    assert_no_double_runs(&fleet);
    fleet.close();
}

/// The store drops its history: watches are refused, and a full read replaces the missed changes.
#[tokio::test(flavor = "multi_thread")]
async fn verify_forgotten_history_hides_no_job() {
    let fleet = open(2, 4).await;
    for number in 0..10 {
        let id = format!("{:016x}", 96 + number);
        let status = fleet.submit(number % 2, &id, area_job(1, 50, false)).await;
        assert_eq!(status.ok(), Some(StatusCode::OK));
        fleet.store.compact();
    }
    for number in 0..10 {
        let id = format!("{:016x}", 96 + number);
        fleet.wait_for_state(1, &id, "completed").await;
    }
    fleet.close();
}

/// Guards against hosts on slow links that learn of a job's end seconds late, because their watch returns
/// every change of every task.
#[tokio::test(flavor = "multi_thread")]
async fn verify_watch_of_all_hosts_brings_no_change_of_single_tasks() {
    const TASKS: u64 = 40;
    /// The record, the phase running, and the phase completed.
    const CHANGES_OF_A_JOB: usize = 3;
    let fleet = open(2, 2).await;
    let before = fleet.store.changes_under(JOBS_PREFIX);
    let status = fleet.submit(0, ID, area_job(TASKS, 40, false)).await;
    assert_eq!(status.ok(), Some(StatusCode::OK));
    for host in 0..2 {
        fleet.wait_for_state(host, ID, "completed").await;
    }
    let changes = fleet.store.changes_under(JOBS_PREFIX) - before;
    assert_eq!(changes, CHANGES_OF_A_JOB);
    fleet.close();
}

/// A cancelled job is reported as cancelled by every host, and its runs are stopped.
#[tokio::test(flavor = "multi_thread")]
async fn verify_cancelled_job_stops() {
    let fleet = open(2, 4).await;
    let status = fleet.submit(0, ID, area_job(2, 60_000, true)).await;
    assert_eq!(status.ok(), Some(StatusCode::OK));
    wait_until("the gang runs", async || fleet.workers.starts().len() == 2).await;
    let path = format!("/work/{ID}");
    let response = fleet.call(Method::DELETE, 1, &path, None).await;
    assert!(response.is_ok_and(|response| response.status == StatusCode::OK));
    fleet.wait_for_state(0, ID, "cancelled").await;
    // Its capacity is free again: a job that needs all of it runs.
    let next = "00000000000000ad";
    let status = fleet.submit(0, next, area_job(8, 50, true)).await;
    assert_eq!(status.ok(), Some(StatusCode::OK));
    fleet.wait_for_state(0, next, "completed").await;
    fleet.close();
}

/// Invalid requests get a clear response and have no effect.
#[tokio::test(flavor = "multi_thread")]
async fn verify_bad_calls_are_refused_clearly() {
    let fleet = open(1, 2).await;
    let good = area_job(1, 50, false);
    let post = async |path: &str, body: serde_json::Value| {
        let response = fleet.call(Method::POST, 0, path, Some(body)).await;
        let response = response.expect("a response");
        (
            response.status,
            String::from_utf8_lossy(&response.body).into_owned(),
        )
    };
    let path = format!("/work/{ID}");
    assert_eq!(
        post("/other/x", good.clone()).await.0,
        StatusCode::NOT_FOUND
    );
    assert_eq!(
        post("/work/xyz", good.clone()).await.0,
        StatusCode::BAD_REQUEST
    );
    let cases = [
        (json!({"Spec": "", "Steps": [], "Nope": 1}), "Nope"),
        (json!({"Spec": "", "Steps": []}), "steps"),
        (json!({"Spec": "", "Steps": [{"Count": 0}]}), "count"),
        (
            json!({"Spec": "", "Steps": [{"Count": 1, "After": [0]}]}),
            "after",
        ),
        (
            json!({"Spec": "", "Steps": [{"Count": 1, "After": [1]}, {"Count": 1}]}),
            "after",
        ),
    ];
    for (body, named) in cases {
        let (status, text) = post(&path, body).await;
        assert_eq!(status, StatusCode::BAD_REQUEST, "{text}");
        assert!(text.contains(named), "{text} names {named}");
    }
    let large = json!({"Spec": "x".repeat(5_000), "Steps": [{"Count": 1}]});
    assert_eq!(post(&path, large).await.0, StatusCode::PAYLOAD_TOO_LARGE);
    let unknown_customer = fleet
        .call_as("nobody", Method::GET, 0, &path, None)
        .await
        .expect("a response");
    assert_eq!(unknown_customer.status, StatusCode::UNAUTHORIZED);
    let unknown_job = fleet.call(Method::GET, 0, &path, None).await;
    assert!(unknown_job.is_ok_and(|response| response.status == StatusCode::GONE));
    assert_eq!(fleet.workers.starts(), vec![]);
    fleet.close();
}

#[tokio::test(flavor = "multi_thread")]
async fn verify_metrics_and_readiness_are_served() {
    let fleet = open(1, 4).await;
    let status = fleet.submit(0, ID, area_job(1, 50, false)).await;
    assert_eq!(status.ok(), Some(StatusCode::OK));
    fleet.wait_for_state(0, ID, "completed").await;
    let http = HttpClient::new(&HttpClientOptions::default());
    let get = async |address: &str, path: &str| {
        let response = http.send(Method::GET, address, path, None, DurationMs(3_000));
        let response = response.await.expect("a response");
        (
            response.status,
            String::from_utf8_lossy(&response.body).into_owned(),
        )
    };
    let metrics = fleet.hosts[0].metrics_address().await.expect("an address");
    wait_until("the job's end is counted", async || {
        let (_, text) = get(&metrics, "/metrics").await;
        text.contains(
            "ragwortwick_area_job_end_seconds_count{customer=\"c\",phase=\"Completed\"} 1",
        ) && text.contains("ragwortwick_area_jobs_total{customer=\"c\",outcome=\"stored\"} 1")
            && text.contains("ragwortwick_area_is_coordinator 1")
    })
    .await;
    let ready = fleet.hosts[0].ready_address().await.expect("an address");
    assert_eq!(get(&ready, "/readiness").await.0, StatusCode::OK);
    fleet.store.set_fault(StoreFault::Unavailable);
    wait_until("a host without the store is not ready", async || {
        get(&ready, "/readiness").await.0 == StatusCode::SERVICE_UNAVAILABLE
    })
    .await;
    fleet.close();
}

/// Operators must be able to explain an outdated response of a host. Its log has the start, end and cause
/// of each gap of a change feed, and its metrics count the failed calls and show the version in force.
#[tokio::test(flavor = "multi_thread")]
async fn verify_gaps_of_the_readers_are_logged_and_counted() {
    let fleet = open(1, 2).await;
    fleet.set_store_path(0, RelayMode::Cut);
    let behind = fleet.hosts[0].wait_for_event("feed_behind").await;
    behind.expect("the gap is logged");
    fleet.set_store_path(0, RelayMode::Pass);
    let caught_up = fleet.hosts[0].wait_for_event("feed_caught_up").await;
    caught_up.expect("its end is logged");
    let http = HttpClient::new(&HttpClientOptions::default());
    let metrics = fleet.hosts[0].metrics_address().await.expect("an address");
    let response = http.send(Method::GET, &metrics, "/metrics", None, DurationMs(3_000));
    let response = response.await.expect("a response");
    let text = String::from_utf8_lossy(&response.body).into_owned();
    assert!(
        text.contains("ragwortwick_area_desired_version 1"),
        "{text}"
    );
    assert!(
        text.contains("ragwortwick_area_feed_failures_total{feed="),
        "{text}"
    );
    fleet.close();
}

/// A version that removes the queue takes effect soon, and an older version never replaces it.
#[tokio::test(flavor = "multi_thread")]
async fn verify_newer_desired_state_stays_in_force() {
    let fleet = open(1, 2).await;
    let mut newer = desired(5);
    newer["Routes"] = json!([]);
    fleet.store.put("op/config", newer.to_string());
    let is_gone = async || {
        let response = fleet.call(Method::GET, 0, "/work/", None).await;
        response.is_ok_and(|response| response.status == StatusCode::NOT_FOUND)
    };
    wait_until("the queue is gone", is_gone).await;
    fleet.store.put("op/config", desired(4).to_string());
    fleet.store.put("op/config", "{broken");
    fleet.hosts[0]
        .wait_for_event("desired_state_unreadable")
        .await
        .expect("the unreadable state is reported");
    assert!(is_gone().await, "an older version replaced a newer one");
    fleet.close();
}

/// A planned stop releases the coordinator key, serves clients until the end, and ends without a kill.
#[tokio::test(flavor = "multi_thread")]
async fn verify_planned_stop_hands_over() {
    let mut fleet = open(2, 4).await;
    let coordinator = fleet.coordinator().expect("a host coordinates");
    let other = 1 - coordinator;
    fleet.hosts[coordinator]
        .hang_up()
        .expect("a signal is sent");
    let reload = fleet.hosts[coordinator].wait_for_event("reload").await;
    reload.expect("the host continues after a reload");
    fleet.hosts[coordinator]
        .terminate()
        .expect("a signal is sent");
    let stopping = fleet.hosts[coordinator].wait_for_event("stopping").await;
    stopping.expect("the host stops");
    // Until the load balancer sends no more requests, the stopping host still accepts jobs.
    let status = fleet.submit(coordinator, ID, area_job(2, 100, false)).await;
    assert_eq!(status.ok(), Some(StatusCode::OK));
    wait_until("the other host coordinates", async || {
        fleet.coordinator() == Some(other)
    })
    .await;
    fleet.wait_for_state(other, ID, "completed").await;
    let ended = fleet.hosts[coordinator]
        .wait()
        .await
        .expect("the process ends");
    assert!(ended.is_some_and(|status| status.success()));
    fleet.close();
}

/// A job needs advice on its workers, and the coordinator is killed between two such jobs. The tickets are
/// lost with it. The next coordinator requests advice again, and its job completes on allowed workers only,
/// without a refused start.
#[tokio::test(flavor = "multi_thread")]
async fn verify_advised_jobs_complete_on_allowed_workers() {
    let mut fleet = open(2, 6).await;
    let mut job = area_job(3, 600, true);
    let payload = json!({"work_ms": 600, "gang": 3, "needs_ticket": true});
    job["Spec"] = json!(payload.to_string());
    let submit = async |fleet: &AreaFleet, host: usize, id: &str| {
        let path = format!("/advised/{id}");
        let response = fleet
            .call(Method::POST, host, &path, Some(job.clone()))
            .await;
        assert_eq!(
            response.map(|response| response.status).ok(),
            Some(StatusCode::OK)
        );
    };
    let wait_completed = async |fleet: &AreaFleet, host: usize, id: &str| {
        let path = format!("/advised/{id}");
        wait_until("the job is completed", async || {
            let response = fleet.call(Method::GET, host, &path, None).await;
            response.is_ok_and(|response| response.body.as_ref() == br#"{"State":"completed"}"#)
        })
        .await;
    };
    submit(&fleet, 0, ID).await;
    wait_completed(&fleet, 1, ID).await;
    let coordinator = fleet.coordinator().expect("a host coordinates");
    fleet.hosts[coordinator]
        .kill()
        .expect("the process is killed");
    let other = 1 - coordinator;
    submit(&fleet, other, "00000000000000ab").await;
    wait_completed(&fleet, other, "00000000000000ab").await;
    let starts = fleet.workers.starts();
    assert_eq!(starts.len(), 6);
    let allowed = ["w-0", "w-2", "w-4"];
    assert!(
        starts
            .iter()
            .all(|start| allowed.contains(&start.worker.as_str()))
    );
    assert_eq!(fleet.workers.starts_without_ticket(), 0);
    assert_no_double_runs(&fleet);
    fleet.close();
}

/// Fillers on the same worker raise a long-running task's tail latency above its target. The fillers' pace
/// is lowered until the latency meets the target, and the task itself is not stopped.
#[tokio::test(flavor = "multi_thread")]
async fn verify_fillers_give_way_to_what_serves_users() {
    const TARGET_MS: u64 = 60;
    let fleet = open(2, 1).await;
    let mut serving = area_job(1, 600_000, false);
    serving["Spec"] = json!(json!({"work_ms": 600_000, "tail_ms": 20}).to_string());
    serving["Steps"][0]["LongRunning"] = json!(true);
    serving["Steps"][0]["TargetMs"] = json!(TARGET_MS);
    let mut filler = area_job(1, 600_000, false);
    filler["Spec"] = json!(json!({"work_ms": 600_000, "disturbs": true}).to_string());
    filler["Steps"][0]["Fills"] = json!(true);
    for (id, job) in [(ID, serving), ("00000000000000ab", filler)] {
        let status = fleet.submit(0, id, job).await;
        assert_eq!(status.ok(), Some(StatusCode::OK));
    }
    wait_until("both run", async || fleet.workers.starts().len() == 2).await;
    wait_until("the tail latency meets its target", async || {
        fleet
            .workers
            .tail_latencies_ms()
            .iter()
            .all(|&tail_ms| tail_ms < TARGET_MS)
    })
    .await;
    assert_eq!(
        fleet.workers.tail_latencies_ms().len(),
        1,
        "the task still runs"
    );
    assert_eq!(fleet.workers.starts().len(), 2, "nothing was stopped");
    fleet.close();
}

/// The collector of the host's log stops reading, and the pipe fills up. Clients are not affected: jobs are
/// accepted and completed meanwhile, and the log continues where it stopped once it is read again.
#[tokio::test(flavor = "multi_thread")]
async fn verify_full_log_pipe_holds_up_no_caller() {
    const PIPE_BYTES: usize = 64 << 10;
    let fleet = open(1, 8).await;
    let lines_before = fleet.hosts[0].lines().len();
    fleet.hosts[0].set_reading(false);
    let ids: Vec<String> = (0..400).map(|number| format!("{number:016x}")).collect();
    for id in &ids {
        let status = fleet.submit(0, id, area_job(1, 1, false)).await;
        assert_eq!(status.ok(), Some(StatusCode::OK), "job {id}");
    }
    for id in &ids {
        fleet.wait_for_state(0, id, "completed").await;
    }
    fleet.hosts[0].set_reading(true);
    let written = || -> usize {
        let lines = fleet.hosts[0].lines();
        lines[lines_before..]
            .iter()
            .map(|line| line.len() + 1)
            .sum()
    };
    wait_until("more than a pipe holds is read", async || {
        written() > PIPE_BYTES
    })
    .await;
    let id = "00000000000000fe";
    let status = fleet.submit(0, id, area_job(1, 1, false)).await;
    assert_eq!(status.ok(), Some(StatusCode::OK));
    wait_until("the log continues", async || {
        let lines = fleet.hosts[0].lines();
        lines.iter().any(|line| line.contains(id))
    })
    .await;
    fleet.close();
}
