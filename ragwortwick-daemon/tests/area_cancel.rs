//! Cancels that overtake the creation of their job, with hosts as separate processes.

use http::{Method, StatusCode};
use ragwortwick_standin::{AreaFleet, Daemon, area_job, wait_until};

const ID: &str = "00000000000000aa";
const RECORD_KEY: &str = "ragwortwick/jobs/00000000000000aa/record";
const CANCEL_KEY: &str = "ragwortwick/jobs/00000000000000aa/cancel";

async fn open(hosts: usize, workers: usize) -> AreaFleet {
    let binary = env!("CARGO_BIN_EXE_ragwortwickd");
    let fleet = AreaFleet::spawn_ready(binary, hosts, workers).await;
    let fleet = fleet.expect("the area starts");
    for host in 0..hosts {
        // A host refuses all calls until it has read the desired state.
        wait_until("each host serves", async || {
            let response = fleet.call(Method::GET, host, "/work/", None).await;
            response.is_ok_and(|response| response.status == StatusCode::OK)
        })
        .await;
    }
    fleet
}

async fn cancel(fleet: &AreaFleet, host: usize) -> StatusCode {
    let path = format!("/work/{ID}");
    let response = fleet.call(Method::DELETE, host, &path, None).await;
    response.expect("a response").status
}

async fn submit(fleet: &AreaFleet, host: usize) -> StatusCode {
    let status = fleet.submit(host, ID, area_job(1, 60_000, false)).await;
    status.expect("a response")
}

/// Asserts that the job has not started by the time at which a job submitted after it has completed.
async fn assert_never_runs(fleet: &AreaFleet) {
    let later = "00000000000000fe";
    let status = fleet.submit(0, later, area_job(1, 10, false)).await;
    assert_eq!(status.ok(), Some(StatusCode::OK));
    fleet.wait_for_state(0, later, "completed").await;
    let starts = fleet.workers.starts();
    let is_cancelled_job = |task: &str| task.starts_with(ID);
    assert!(
        !starts.iter().any(|start| is_cancelled_job(&start.task)),
        "the cancelled job ran: {starts:?}"
    );
}

/// Guards against a cancelled job that runs because the store carries out its creation after the cancel was
/// acknowledged.
#[tokio::test(flavor = "multi_thread")]
async fn verify_a_job_that_the_store_creates_after_its_cancel_does_not_run() {
    let fleet = open(2, 4).await;
    fleet.store.defer_writes_of(RECORD_KEY);
    let creation = async { submit(&fleet, 0).await };
    let cancellation = async {
        wait_until("the creation is under way", async || {
            fleet.store.deferred_writes() > 0
        })
        .await;
        let status = cancel(&fleet, 1).await;
        fleet.store.apply_deferred();
        fleet.store.stop_deferring();
        status
    };
    let (created, cancelled) = tokio::join!(creation, cancellation);
    assert_eq!(cancelled, StatusCode::GONE);
    assert_never_runs(&fleet).await;
    assert_ne!(created, StatusCode::OK, "a cancelled job was accepted");
    fleet.close();
}

/// Guards against a cancelled job that runs because the host that creates it sends the creation again after
/// another host acknowledged the cancel.
#[tokio::test(flavor = "multi_thread")]
async fn verify_a_job_whose_creation_is_repeated_after_its_cancel_does_not_run() {
    let fleet = open(2, 4).await;
    fleet.store.defer_writes_of(RECORD_KEY);
    let creation = async { submit(&fleet, 0).await };
    let cancellation = async {
        wait_until("the creation is under way", async || {
            fleet.store.deferred_writes() > 0
        })
        .await;
        let status = cancel(&fleet, 1).await;
        fleet.store.stop_deferring();
        status
    };
    let (created, cancelled) = tokio::join!(creation, cancellation);
    assert_eq!(cancelled, StatusCode::GONE);
    assert_never_runs(&fleet).await;
    assert_ne!(created, StatusCode::OK, "a cancelled job was accepted");
    fleet.close();
}

/// Guards against a cancelled job that runs because its submission arrives again after the cancel was
/// acknowledged.
#[tokio::test(flavor = "multi_thread")]
async fn verify_a_job_that_is_submitted_again_after_its_cancel_does_not_run() {
    let fleet = open(2, 4).await;
    assert_eq!(cancel(&fleet, 1).await, StatusCode::GONE);
    for host in 0..2 {
        assert_ne!(submit(&fleet, host).await, StatusCode::OK);
    }
    assert_never_runs(&fleet).await;
    // The cancel is acknowledged again, and no job is shown.
    assert_eq!(cancel(&fleet, 0).await, StatusCode::GONE);
    assert_eq!(fleet.state(0, ID).await, None);
    fleet.close();
}

/// Guards against a cancelled job that runs because a host of an older version creates it all the same.
#[tokio::test(flavor = "multi_thread")]
async fn verify_a_job_that_is_created_beside_its_cancel_does_not_run() {
    let fleet = open(2, 4).await;
    let other = "00000000000000ab";
    let status = fleet.submit(0, other, area_job(1, 10, false)).await;
    assert_eq!(status.ok(), Some(StatusCode::OK));
    fleet.wait_for_state(0, other, "completed").await;
    assert_eq!(cancel(&fleet, 1).await, StatusCode::GONE);
    let record = fleet.store.get(&RECORD_KEY.replace(ID, other));
    let record = String::from_utf8(record.expect("a record").value).expect("text");
    fleet.store.put(RECORD_KEY, record.replace(other, ID));
    for host in 0..2 {
        fleet.wait_for_state(host, ID, "cancelled").await;
    }
    assert_never_runs(&fleet).await;
    fleet.close();
}

/// Guards against an id that can never be used again after a cancel of a job that did not exist.
#[tokio::test(flavor = "multi_thread")]
async fn verify_an_id_is_usable_again_after_its_cancel_has_expired() {
    let fleet = open(2, 4).await;
    assert_eq!(cancel(&fleet, 1).await, StatusCode::GONE);
    let item = fleet.store.get(CANCEL_KEY).expect("a tombstone");
    assert_ne!(item.lease, 0, "the store removes it");
    fleet.store.remove(CANCEL_KEY);
    assert_eq!(submit(&fleet, 0).await, StatusCode::OK);
    for host in 0..2 {
        fleet.wait_for_state(host, ID, "running").await;
    }
    fleet.close();
}

/// Returns the line on which the coordinator tells that it has read the job's cancel.
async fn cancel_line(fleet: &AreaFleet, has_job: bool) -> String {
    let start = format!("event=cancel_read job_id={ID} has_job={has_job} age_ms=");
    let find = || {
        let lines = fleet.hosts.iter().flat_map(Daemon::lines);
        lines.into_iter().find(|line| line.contains(&start))
    };
    wait_until("the cancel is logged", async || find().is_some()).await;
    find().expect("a line")
}

/// Guards against a task that runs on after a cancel of which no log tells whether its coordinator has read it.
#[tokio::test(flavor = "multi_thread")]
async fn verify_the_coordinator_logs_when_it_reads_a_cancel() {
    let fleet = open(2, 4).await;
    assert_eq!(submit(&fleet, 0).await, StatusCode::OK);
    assert_eq!(cancel(&fleet, 1).await, StatusCode::OK);
    let line = cancel_line(&fleet, true).await;
    assert!(!line.contains("age_ms=unknown"), "{line}");
    fleet.close();
}

/// Guards against a cancel that overtook its job and leaves no trace in the log.
#[tokio::test(flavor = "multi_thread")]
async fn verify_the_coordinator_logs_a_cancel_of_a_job_that_does_not_exist() {
    let fleet = open(2, 4).await;
    assert_eq!(cancel(&fleet, 1).await, StatusCode::GONE);
    cancel_line(&fleet, false).await;
    assert_ne!(submit(&fleet, 0).await, StatusCode::OK);
    let handed_in = fleet.hosts[0].wait_for_event("job_handed_in").await;
    let handed_in = handed_in.expect("the submission is logged");
    assert!(handed_in.contains("outcome=Cancelled"), "{handed_in}");
    fleet.close();
}
