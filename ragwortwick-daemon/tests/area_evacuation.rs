//! End-to-end tests of evacuated zones: entry hosts as processes, against stand-ins of the platform.

use http::StatusCode;
use ragwortwick_standin::{AreaFleet, RelayMode, area_job, wait_until};

/// Zone of every second worker.
const ZONE: &str = "z-0";

async fn open(hosts: usize) -> AreaFleet {
    let fleet = AreaFleet::spawn_ready(env!("CARGO_BIN_EXE_ragwortwickd"), hosts, 4).await;
    fleet.expect("the area starts")
}

/// Evacuates the zone and waits until the coordinator knows.
async fn evacuate(fleet: &AreaFleet, coordinator: usize) {
    fleet.evacuate(ZONE);
    let line = fleet.hosts[coordinator]
        .wait_for_event("zone_evacuated")
        .await
        .expect("the coordinator is told of the evacuation");
    assert!(
        line.contains("is_evacuated=true") && line.contains("workers=2"),
        "{line}"
    );
}

/// Runs a job that takes more than one zone's capacity at a time to its end.
async fn complete_job(fleet: &AreaFleet, host: usize, id: &str) {
    let status = fleet.submit(host, id, area_job(8, 100, false)).await;
    assert_eq!(status.ok(), Some(StatusCode::OK));
    fleet.wait_for_state(host, id, "completed").await;
}

/// Number of starts in the zone.
fn starts_in_zone(fleet: &AreaFleet) -> usize {
    let starts = fleet.workers.starts();
    let in_zone = |worker: &str| fleet.workers.zone(worker) == ZONE;
    starts.iter().filter(|start| in_zone(&start.worker)).count()
}

/// Guards against starts in an evacuated zone, also by the next coordinator and by hosts that have all
/// started anew, and against a zone that stays unused once it is taken back.
#[tokio::test(flavor = "multi_thread")]
async fn verify_nothing_starts_in_an_evacuated_zone_until_it_is_taken_back() {
    let mut fleet = open(2).await;
    let coordinator = fleet.coordinator().expect("a host coordinates");
    evacuate(&fleet, coordinator).await;
    complete_job(&fleet, coordinator, "00000000000000a0").await;
    fleet.hosts[coordinator]
        .kill()
        .expect("the process is killed");
    let other = 1 - coordinator;
    complete_job(&fleet, other, "00000000000000a1").await;
    fleet.hosts[other].kill().expect("the process is killed");
    for index in 0..2 {
        fleet.hosts[index] = fleet.spawn_host().await.expect("a new host starts");
    }
    wait_until("a host coordinates", async || fleet.coordinator().is_some()).await;
    complete_job(&fleet, 0, "00000000000000a2").await;
    assert_eq!(starts_in_zone(&fleet), 0);
    fleet.take_back(ZONE);
    let coordinator = fleet.coordinator().expect("a host coordinates");
    wait_until("the zone is taken back", async || {
        let lines = fleet.hosts[coordinator].lines();
        lines.iter().any(|line| line.contains("is_evacuated=false"))
    })
    .await;
    complete_job(&fleet, 0, "00000000000000a3").await;
    assert!(starts_in_zone(&fleet) > 0);
    fleet.close();
}

/// Guards against starts in the zone when the coordinator loses the store before the evacuation begins.
#[tokio::test(flavor = "multi_thread")]
async fn verify_an_evacuation_that_its_coordinator_misses_is_kept() {
    let fleet = open(2).await;
    let coordinator = fleet.coordinator().expect("a host coordinates");
    let other = 1 - coordinator;
    fleet.set_store_path(coordinator, RelayMode::Cut);
    fleet.evacuate(ZONE);
    wait_until("the other host coordinates", async || {
        fleet.coordinates(other)
    })
    .await;
    complete_job(&fleet, other, "00000000000000a0").await;
    assert_eq!(starts_in_zone(&fleet), 0);
    fleet.close();
}

/// Guards against bad input of operators that stops anything: values that are no evacuation, zones that don't
/// exist, and keys that are removed twice.
#[tokio::test(flavor = "multi_thread")]
async fn verify_unusable_evacuations_are_logged_and_change_nothing_else() {
    let fleet = open(1).await;
    fleet.store.put("op/evacuate/nowhere", "[not an evacuation");
    let line = fleet.hosts[0].wait_for_event("evacuation_unreadable").await;
    let line = line.expect("the value is reported");
    assert!(line.contains("zone=nowhere"), "{line}");
    let line = fleet.hosts[0].wait_for_event("zone_evacuated").await;
    let line = line.expect("the zone is reported");
    assert!(
        line.contains("zone=nowhere") && line.contains("workers=0"),
        "{line}"
    );
    fleet.take_back("nowhere");
    fleet.take_back("nowhere");
    fleet.take_back("never");
    fleet.hosts[0]
        .wait_for_event("evacuation_ends")
        .await
        .expect("the end is reported");
    complete_job(&fleet, 0, "00000000000000a0").await;
    assert!(starts_in_zone(&fleet) > 0);
    fleet.close();
}
