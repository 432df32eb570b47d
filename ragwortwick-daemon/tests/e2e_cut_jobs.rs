//! Gangs of a zone that is cut off from the other zones and from the platform.

use std::time::Duration;

use ragwortwick_border::{JobPhase, RequestOutcome};
use ragwortwick_core::ZoneName;
use ragwortwick_standin::{
    Fleet, FleetOptions, LogEvent, RelayMode, sample_answer, sample_job, sample_request, wait_until,
};

/// The only host of zone `west`.
const WEST: usize = 1;

async fn open_fleet() -> Fleet {
    let mut options = FleetOptions::two_zones(env!("CARGO_BIN_EXE_ragwortwickd"));
    options.has_relays = true;
    let fleet = Fleet::open_with_table(options).await;
    fleet.expect("the fleet starts")
}

fn west() -> ZoneName {
    ZoneName::new("west")
}

async fn set_west(fleet: &Fleet, mode: RelayMode) {
    let paths = fleet.paths.as_ref().expect("the fleet has relays");
    paths.set_platform(&west(), mode);
    paths.set_between(&west(), mode).await;
}

async fn accept_in_west(fleet: &Fleet, index: usize, id: &str, run_ms: u64) {
    let mut job = sample_job(id, 2, run_ms, true);
    job.zone = Some(west());
    let accepted = fleet.caller.job(fleet.address(index), &job).await;
    accepted.expect("the job is accepted");
}

async fn expect_answers(fleet: &Fleet, prefix: &str, hosts: &[usize], count: usize) {
    for number in 0..count {
        let id = format!("{prefix}-{number}");
        let request = sample_request(&id, 5, true);
        let index = hosts[number % hosts.len()];
        let outcome = fleet.caller.request(fleet.address(index), &request).await;
        match outcome {
            Ok(RequestOutcome::Answered(answer)) => assert_eq!(answer.answer, sample_answer(&id)),
            other => panic!("{id} at host {index}: {other:?}"),
        }
    }
}

async fn serves_through(mode: RelayMode) {
    let fleet = open_fleet().await;
    accept_in_west(&fleet, 0, "running", 15_000).await;
    wait_until("the gang runs", async || {
        fleet.gang_events("running", LogEvent::Started).len() == 2
    })
    .await;
    accept_in_west(&fleet, WEST, "waiting-0", 500).await;
    set_west(&fleet, mode).await;
    // Longer than the ownership's lease, the heartbeats and the workers' leases.
    let mut round = 0;
    let end = tokio::time::Instant::now() + Duration::from_secs(12);
    while tokio::time::Instant::now() < end {
        expect_answers(&fleet, &format!("cut-{round}"), &[0, WEST, 2], 6).await;
        round += 1;
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
    assert_eq!(fleet.gang_events("running", LogEvent::Lapsed).len(), 0);
    set_west(&fleet, RelayMode::Pass).await;
    expect_answers(&fleet, "healed", &[0, WEST, 2], 30).await;
    for id in ["running", "waiting-0"] {
        fleet.wait_for_phase(id, JobPhase::Finished).await;
        let starts = fleet.gang_events(id, LogEvent::Started);
        assert_eq!(starts.len(), 2, "{starts:?}");
    }
    fleet.close().await;
}

// Callers of the cut-off zone are served by its own runners, those of the other zone by theirs;
// the gang that runs in the cut-off zone goes on, and nothing is started twice after the cut heals.
// The cut closes connections.
#[tokio::test(flavor = "multi_thread")]
async fn verify_a_cut_off_zone_goes_on_serving() {
    serves_through(RelayMode::Cut).await;
}

// The same, but the cut drops every byte and closes nothing, so that it is only noticed by waiting.
#[tokio::test(flavor = "multi_thread")]
async fn verify_a_zone_behind_a_blackhole_goes_on_serving() {
    serves_through(RelayMode::Blackhole).await;
}
