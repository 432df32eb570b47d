//! End-to-end tests of workers that restart under their name, with the entry hosts as separate processes.

use http::StatusCode;
use ragwortwick_standin::{AreaFleet, area_job, wait_until};

/// Restarts in a row of the worker that runs the job.
const RESTARTS: usize = 3;

/// Guards against a job that is lost, or runs twice, because a restarted worker is taken for the one of before.
#[tokio::test(flavor = "multi_thread")]
async fn verify_jobs_are_done_once_while_their_worker_restarts_under_its_name() {
    let binary = env!("CARGO_BIN_EXE_ragwortwickd");
    let fleet = AreaFleet::spawn_ready(binary, 2, 2).await;
    let fleet = fleet.expect("the area starts");
    for restart in 0..RESTARTS {
        let id = format!("{:016x}", 0xd0 + restart);
        let job = area_job(1, 3_000, false);
        let status = fleet.submit(0, &id, job).await;
        assert_eq!(status.ok(), Some(StatusCode::OK));
        let task = format!("{id}.0.0.0");
        let run_of_task = || {
            let starts = fleet.workers.starts();
            starts.into_iter().rfind(|start| start.task == task)
        };
        wait_until("the job runs", async || run_of_task().is_some()).await;
        let first = run_of_task().expect("a run");
        fleet.workers.restart_in_place(&first.worker);
        fleet.workers.write_entries(&fleet.store);
        wait_until("the job runs again", async || {
            run_of_task().is_some_and(|start| start.run > first.run)
        })
        .await;
        fleet.wait_for_state(0, &id, "completed").await;
    }
    assert!(
        fleet
            .workers
            .starts()
            .iter()
            .all(|start| !start.is_duplicate)
    );
    fleet.close();
}
