//! A zone cut off from the other zones and from the platform.

use std::time::{Duration, Instant};

use ragwortwick_border::{RefusalVerdict, RequestOutcome, TableAcceptReply};
use ragwortwick_core::ZoneName;
use ragwortwick_standin::{
    Fleet, FleetOptions, RelayMode, Runner, sample_accept, sample_answer, sample_request,
    wait_until,
};

/// The only host of zone `west`.
const WEST: usize = 1;

/// Time within which each host must know that a path is gone.
const KNOWN_WITHIN: Duration = Duration::from_secs(3);

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

async fn ask(fleet: &Fleet, index: usize, id: &str) -> RequestOutcome {
    let request = sample_request(id, 5, true);
    let outcome = fleet.caller.request(fleet.address(index), &request).await;
    outcome.expect("an outcome")
}

fn is_whole(id: &str, outcome: &RequestOutcome) -> bool {
    matches!(outcome, RequestOutcome::Answered(answer) if answer.answer == sample_answer(id))
}

async fn expect_answers(fleet: &Fleet, prefix: &str, hosts: &[usize], count: usize) {
    for number in 0..count {
        let id = format!("{prefix}-{number}");
        let index = hosts[number % hosts.len()];
        let outcome = ask(fleet, index, &id).await;
        assert!(is_whole(&id, &outcome), "{id} at host {index}: {outcome:?}");
    }
}

/// Until the cut must be known, a request may be lost on its way, but is never said not to have run
/// if it did, and never answered in part.
async fn expect_truth_until(fleet: &Fleet, end: Instant) {
    let mut number = 0;
    while Instant::now() < end {
        let id = format!("unknown-{number}");
        let outcome = ask(fleet, number % 3, &id).await;
        let is_true = match &outcome {
            RequestOutcome::Answered(_) => is_whole(&id, &outcome),
            RequestOutcome::Refused(refusal) if refusal.verdict == RefusalVerdict::NotRun => {
                fleet.runners.starts(&id) == 0
            }
            RequestOutcome::Refused(_) => true,
        };
        assert!(is_true, "{id}: {outcome:?}");
        number += 1;
    }
}

async fn serves_through(mode: RelayMode) {
    let fleet = open_fleet().await;
    set_west(&fleet, mode).await;
    expect_truth_until(&fleet, Instant::now() + KNOWN_WITHIN).await;
    // Longer than heartbeats, the host list's age and the lease of the ownership.
    let mut round = 0;
    let end = Instant::now() + Duration::from_secs(10);
    while Instant::now() < end {
        expect_answers(&fleet, &format!("cut-{round}"), &[0, WEST, 2], 6).await;
        round += 1;
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
    set_west(&fleet, RelayMode::Pass).await;
    expect_answers(&fleet, "healed", &[0, WEST, 2], 30).await;
    wait_until("load spreads to the other zone again", async || {
        expect_answers(&fleet, &format!("spread-{round}"), &[WEST], 30).await;
        round += 1;
        other_zone_runs(&fleet, &format!("spread-{}", round - 1))
    })
    .await;
    fleet.close().await;
}

/// Whether a runner outside the cut-off zone started a request with this prefix.
fn other_zone_runs(fleet: &Fleet, prefix: &str) -> bool {
    let is_outside = |runner: &&Runner| runner.entry().zone != west();
    fleet.runners.all.iter().filter(is_outside).any(|runner| {
        let entries = runner.log().entries();
        entries.iter().any(|entry| entry.id.starts_with(prefix))
    })
}

// Callers of the cut-off zone are served by its own runners, those of the other zone by theirs, and
// after the cut heals load spreads again. The cut closes connections.
#[tokio::test(flavor = "multi_thread")]
async fn verify_a_cut_off_zone_goes_on_serving_requests() {
    serves_through(RelayMode::Cut).await;
}

// The same, but the cut drops every byte and closes nothing, so that it is only noticed by waiting:
// what is on its way in the first 3 s may be lost, and is then said to be unknown.
#[tokio::test(flavor = "multi_thread")]
async fn verify_a_zone_behind_a_blackhole_goes_on_serving_requests() {
    serves_through(RelayMode::Blackhole).await;
}

// An operator accepts a table while a zone is cut off: the zone keeps the table that it saw, takes
// the new one once it is back, and no host ever shows an older one again.
#[tokio::test(flavor = "multi_thread")]
async fn verify_a_cut_off_zone_takes_the_newest_table_once_it_is_back() {
    let fleet = open_fleet().await;
    set_west(&fleet, RelayMode::Cut).await;
    let mut accept = sample_accept(fleet.zones());
    accept.based_on_number = 1;
    accept.nonce = "second".to_owned();
    accept.table.customers[0].weight = 3.0;
    let reply = fleet.caller.accept_table(fleet.address(0), &accept).await;
    assert!(
        matches!(reply, Ok(TableAcceptReply::Accepted(_))),
        "{reply:?}"
    );
    let number = async |index: usize| {
        let table = fleet.caller.table(fleet.address(index)).await;
        table.expect("a table is in force").number
    };
    wait_until("the table is in force in the other zone", async || {
        number(2).await == 2
    })
    .await;
    assert_eq!(number(WEST).await, 1);
    set_west(&fleet, RelayMode::Pass).await;
    wait_until(
        "the table is in force in the zone that is back",
        async || {
            assert_eq!(number(0).await, 2);
            assert_eq!(number(2).await, 2);
            number(WEST).await == 2
        },
    )
    .await;
    fleet.close().await;
}
