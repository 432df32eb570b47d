//! Urgent gangs without accelerators come at once, with the entry hosts as separate processes.

use http::{Method, StatusCode};
use ragwortwick_standin::{AreaFleet, AreaOptions, desired, wait_until};
use serde_json::{Value, json};

const HOSTS: usize = 3;
const WORKERS: usize = 4;

/// Gangs that come at once, of which two fit at a time.
const GANGS: u64 = 6;

/// How long a member of a gang works.
const WORK_MS: u64 = 2_500;

const QUEUE: &str = "work";

/// A job of one step that takes most of the cores of two workers, and none of their accelerators.
fn wide_gang() -> Value {
    json!({
        "Spec": json!({"work_ms": WORK_MS, "gang": 2}).to_string(),
        "Steps": [{"Count": 2, "Cpu": 30_000, "MemMb": 1_000, "EstimateMs": WORK_MS, "Gang": true}]
    })
}

fn id(number: u64) -> String {
    format!("{:016x}", 0xee00 + number)
}

/// Starts an area with an urgent queue and a customer without a guaranteed share, and hands in all gangs.
async fn start_urgent_gangs() -> AreaFleet {
    let binary = env!("CARGO_BIN_EXE_ragwortwickd");
    let mut options = AreaOptions::new(HOSTS, WORKERS);
    options.desired = desired(1);
    options.desired["Routes"][0]["Priority"] = json!(0);
    options.desired["Tenants"][0]["Guaranteed"] = json!({"Gpu": 0});
    let fleet = AreaFleet::spawn_with(binary, options).await;
    let fleet = fleet.expect("the area starts");
    wait_until("a host coordinates", async || fleet.coordinator().is_some()).await;
    wait_until("the desired state is in force", async || {
        let reply = fleet.call(Method::GET, 0, "/work/", None).await;
        reply.is_ok_and(|reply| reply.status == StatusCode::OK)
    })
    .await;
    for number in 0..GANGS {
        let submitted = fleet.submit_to(QUEUE, 0, &id(number), wide_gang()).await;
        assert_eq!(submitted.ok(), Some(StatusCode::OK));
    }
    fleet
}

/// Gangs that preempt each other without end would never be done.
#[tokio::test(flavor = "multi_thread")]
async fn verify_urgent_gangs_that_come_at_once_are_all_done() {
    let fleet = start_urgent_gangs().await;
    for number in 0..GANGS {
        fleet.wait_for_state(0, &id(number), "completed").await;
    }
    assert_eq!(fleet.workers.repeated_runs(), vec![]);
    fleet.close();
}

/// The coordinator is killed once gangs run, and its successor finds them beside those that wait.
#[tokio::test(flavor = "multi_thread")]
async fn verify_urgent_gangs_are_all_done_after_a_takeover() {
    let mut fleet = start_urgent_gangs().await;
    wait_until("gangs run", async || !fleet.workers.starts().is_empty()).await;
    let coordinator = fleet.coordinator().expect("a host coordinates");
    fleet.hosts[coordinator]
        .kill()
        .expect("the process is killed");
    let other = (coordinator + 1) % HOSTS;
    for number in 0..GANGS {
        fleet.wait_for_state(other, &id(number), "completed").await;
    }
    assert_eq!(fleet.workers.repeated_runs(), vec![]);
    fleet.close();
}
