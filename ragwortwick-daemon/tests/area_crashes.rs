//! A task that crashes its workers, with the entry hosts as separate processes.

use http::StatusCode;
use ragwortwick_standin::{AreaFleet, area_job, wait_until};

const ID: &str = "00000000000000cc";

/// Crashes that count, and starts that the users allow after them.
const MOST_STARTS: usize = 3 + 2;

/// How often all hosts have written a line with the text.
fn lines_with(fleet: &AreaFleet, text: &str) -> usize {
    let lines = fleet
        .hosts
        .iter()
        .flat_map(ragwortwick_standin::Daemon::lines);
    lines.filter(|line| line.contains(text)).count()
}

async fn is_failed(fleet: &AreaFleet) -> bool {
    fleet.state(0, ID).await.as_deref() == Some("failed")
}

/// Callers are told that a task crashes its workers, also if the coordinator dies in between.
#[tokio::test(flavor = "multi_thread")]
async fn verify_a_task_that_crashes_its_workers_is_given_up_across_a_takeover() {
    let binary = env!("CARGO_BIN_EXE_ragwortwickd");
    let fleet = AreaFleet::spawn_ready(binary, 3, 4).await;
    let mut fleet = fleet.expect("the area starts");
    let status = fleet.submit(0, ID, area_job(1, 60_000, false)).await;
    assert_eq!(status.ok(), Some(StatusCode::OK));
    for crash in 1..=MOST_STARTS {
        wait_until("the task starts or is given up", async || {
            fleet.workers.starts().len() >= crash || is_failed(&fleet).await
        })
        .await;
        let starts = fleet.workers.starts();
        if starts.len() < crash {
            break;
        }
        let worker = &starts[crash - 1].worker;
        let (closed, lost) = (
            lines_with(&fleet, "reply=\"Closed"),
            lines_with(&fleet, "event=worker_lost"),
        );
        fleet.workers.crash(worker);
        wait_until("the coordinator sees the connection closed", async || {
            lines_with(&fleet, "reply=\"Closed") > closed
        })
        .await;
        fleet.workers.restart(worker, &fleet.store);
        if crash == 2 {
            wait_until("the crash is noted", async || {
                lines_with(&fleet, "event=worker_lost") > lost
            })
            .await;
            let leader = fleet.coordinator().expect("a host coordinates");
            let mut host = fleet.hosts.remove(leader);
            host.kill().expect("the process is killed");
        }
    }
    wait_until("the caller is told", async || is_failed(&fleet).await).await;
    assert!(fleet.workers.starts().len() <= MOST_STARTS);
    fleet.close();
}
