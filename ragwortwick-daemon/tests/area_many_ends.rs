//! More runs end on one worker than it lists in one reply, with the entry hosts as separate processes.

use http::StatusCode;
use ragwortwick_standin::{AreaFleet, wait_until, wide_job};
use serde_json::json;

const ID: &str = "00000000000000ee";

/// Tasks of the job: two replies and a half list their ends.
const TASKS: usize = 1_250;

/// How long a task works at least.
const WORK_MS: u64 = 4_000;

/// The tasks end at a multiple of this time, so that they end together although they start one after the other.
const ENDS_EVERY_MS: u64 = 8_000;

async fn start_wide_job(hosts: usize) -> AreaFleet {
    let binary = env!("CARGO_BIN_EXE_ragwortwickd");
    let fleet = AreaFleet::spawn_ready(binary, hosts, 1).await;
    let fleet = fleet.expect("the area starts");
    let payload = json!({"work_ms": WORK_MS, "ends_every_ms": ENDS_EVERY_MS});
    let job = wide_job(TASKS as u64, WORK_MS, &payload);
    let status = fleet.submit(0, ID, job).await;
    assert_eq!(status.ok(), Some(StatusCode::OK));
    wait_until("all tasks run", async || {
        fleet.workers.starts().len() >= TASKS
    })
    .await;
    fleet
}

/// Tasks whose completion is in a later part must not run again.
#[tokio::test(flavor = "multi_thread")]
async fn verify_tasks_that_end_together_run_once() {
    let fleet = start_wide_job(2).await;
    fleet.wait_for_state(0, ID, "completed").await;
    assert_eq!(fleet.workers.repeated_runs(), vec![]);
    fleet.close();
}

/// The coordinator is killed while the tasks run, so that its successor learns of their ends from lists in parts.
#[tokio::test(flavor = "multi_thread")]
async fn verify_tasks_that_end_between_two_coordinators_run_once() {
    let mut fleet = start_wide_job(3).await;
    let coordinator = fleet.coordinator().expect("a host coordinates");
    fleet.hosts[coordinator]
        .kill()
        .expect("the process is killed");
    fleet
        .wait_for_state((coordinator + 1) % 3, ID, "completed")
        .await;
    assert_eq!(fleet.workers.repeated_runs(), vec![]);
    fleet.close();
}
