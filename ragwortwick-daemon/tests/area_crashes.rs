//! End-to-end test of a task that crashes its workers, with the entry hosts as separate processes.

use http::StatusCode;
use ragwortwick_standin::{AreaFleet, RelayMode, area_job, wait_until};

const ID: &str = "00000000000000cc";

/// Crashes that are attributed to the task, and starts that its job allows after them.
const MAX_STARTS: usize = 3 + 2;

/// Counts the log lines of all hosts that contain the text.
fn count_lines(fleet: &AreaFleet, text: &str) -> usize {
    let lines = fleet
        .hosts
        .iter()
        .flat_map(ragwortwick_standin::Daemon::lines);
    lines.filter(|line| line.contains(text)).count()
}

async fn is_failed(fleet: &AreaFleet) -> bool {
    fleet.state(0, ID).await.as_deref() == Some("failed")
}

/// A job whose task crashes its workers fails, even if the coordinator is killed in between.
#[tokio::test(flavor = "multi_thread")]
async fn verify_a_task_that_crashes_its_workers_is_given_up_across_a_takeover() {
    let binary = env!("CARGO_BIN_EXE_ragwortwickd");
    let fleet = AreaFleet::spawn_ready(binary, 3, 4).await;
    let mut fleet = fleet.expect("the area starts");
    let status = fleet.submit(0, ID, area_job(1, 60_000, false)).await;
    assert_eq!(status.ok(), Some(StatusCode::OK));
    for crash in 1..=MAX_STARTS {
        wait_until("the task starts or its job fails", async || {
            fleet.workers.starts().len() >= crash || is_failed(&fleet).await
        })
        .await;
        let starts = fleet.workers.starts();
        if starts.len() < crash {
            break;
        }
        let worker = &starts[crash - 1].worker;
        let (closed, lost) = (
            count_lines(&fleet, "reply=\"Closed"),
            count_lines(&fleet, "event=worker_lost"),
        );
        fleet.workers.crash(worker);
        wait_until("the coordinator sees the connection closed", async || {
            count_lines(&fleet, "reply=\"Closed") > closed
        })
        .await;
        fleet.workers.restart(worker, &fleet.store);
        if crash == 2 {
            wait_until("the crash is recorded", async || {
                count_lines(&fleet, "event=worker_lost") > lost
            })
            .await;
            let coordinator = fleet.coordinator().expect("a host coordinates");
            let mut host = fleet.hosts.remove(coordinator);
            host.kill().expect("the process is killed");
        }
    }
    wait_until("the job is reported as failed", async || {
        is_failed(&fleet).await
    })
    .await;
    assert!(fleet.workers.starts().len() <= MAX_STARTS);
    fleet.close();
}

/// Guards against a task that crashes worker after worker because each coordinator is cut off from the store
/// when it sees the crash, and loses its term before it can store it.
#[tokio::test(flavor = "multi_thread")]
async fn verify_crashes_that_a_cut_off_coordinator_saw_are_counted() {
    let binary = env!("CARGO_BIN_EXE_ragwortwickd");
    let fleet = AreaFleet::spawn_ready(binary, 2, 4).await;
    let fleet = fleet.expect("the area starts");
    let status = fleet.submit(0, ID, area_job(1, 60_000, false)).await;
    assert_eq!(status.ok(), Some(StatusCode::OK));
    for crash in 1..=MAX_STARTS {
        wait_until("the task starts or its job fails", async || {
            fleet.workers.starts().len() >= crash || is_failed(&fleet).await
        })
        .await;
        let starts = fleet.workers.starts();
        if starts.len() < crash {
            break;
        }
        let worker = &starts[crash - 1].worker;
        let (closed, lost) = (
            count_lines(&fleet, "reply=\"Closed"),
            count_lines(&fleet, "event=worker_lost"),
        );
        let coordinator = fleet.coordinator().expect("a host coordinates");
        fleet.set_store_path(coordinator, RelayMode::Cut);
        fleet.workers.crash(worker);
        wait_until("the coordinator sees the connection closed", async || {
            count_lines(&fleet, "reply=\"Closed") > closed
        })
        .await;
        fleet.workers.restart(worker, &fleet.store);
        wait_until("the coordinator sees the crash", async || {
            count_lines(&fleet, "event=worker_lost") > lost
        })
        .await;
        wait_until("the other host coordinates", async || {
            fleet.coordinates(1 - coordinator)
        })
        .await;
        fleet.set_store_path(coordinator, RelayMode::Pass);
    }
    wait_until("the job is reported as failed", async || {
        is_failed(&fleet).await
    })
    .await;
    assert!(fleet.workers.starts().len() <= MAX_STARTS);
    fleet.close();
}
