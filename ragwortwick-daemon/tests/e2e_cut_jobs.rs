//! Gangs of a zone that is cut off from the other zones and from the platform.

use ragwortwick_border::JobPhase;
use ragwortwick_core::ZoneName;
use ragwortwick_standin::{Fleet, FleetOptions, LogEvent, RelayMode, sample_job, wait_until};

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

async fn go_on_through(mode: RelayMode) {
    let fleet = open_fleet().await;
    accept_in_west(&fleet, 0, "running", 15_000).await;
    wait_until("the gang runs", async || {
        fleet.gang_events("running", LogEvent::Started).len() == 2
    })
    .await;
    // One fits beside it, so the last one starts when the ownership's lease of 6 s is over.
    let waiting = ["waiting-0", "waiting-1", "waiting-2"];
    for id in waiting {
        accept_in_west(&fleet, WEST, id, 4_000).await;
    }
    set_west(&fleet, mode).await;
    wait_until("the waiting jobs start in the cut-off zone", async || {
        waiting
            .iter()
            .all(|id| fleet.gang_events(id, LogEvent::Started).len() == 2)
    })
    .await;
    assert_eq!(fleet.gang_events("running", LogEvent::Lapsed).len(), 0);
    set_west(&fleet, RelayMode::Pass).await;
    for id in ["running", "waiting-0", "waiting-1", "waiting-2"] {
        fleet.wait_for_phase(id, JobPhase::Finished).await;
        let starts = fleet.gang_events(id, LogEvent::Started);
        assert_eq!(starts.len(), 2, "{starts:?}");
    }
    fleet.close().await;
}

// The owner of the cut-off zone sees neither the store nor its peers: its running gang goes on and
// its waiting jobs start under the epoch that it has; nothing is started twice after the cut heals.
// The cut closes connections.
#[tokio::test(flavor = "multi_thread")]
async fn verify_gangs_of_a_cut_off_zone_go_on() {
    go_on_through(RelayMode::Cut).await;
}

// The same, but the cut drops every byte and closes nothing, so that it is only noticed by waiting.
#[tokio::test(flavor = "multi_thread")]
async fn verify_gangs_of_a_zone_behind_a_blackhole_go_on() {
    go_on_through(RelayMode::Blackhole).await;
}
