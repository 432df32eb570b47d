//! Open connections that go silent for good while new ones work.

use std::time::{Duration, Instant};

use ragwortwick_border::{RefusalVerdict, RequestOutcome};
use ragwortwick_core::DurationMs;
use ragwortwick_standin::{
    Fleet, FleetOptions, Relay, RelayMode, sample_answer, sample_job, sample_request, wait_until,
};

/// Deadline of the requests that meet a silent connection.
const DEADLINE_MS: DurationMs = DurationMs(6_000);

/// Time within which every silent connection must have been replaced.
const REPLACED_WITHIN: Duration = Duration::from_secs(10);

fn options() -> FleetOptions {
    FleetOptions::two_zones(env!("CARGO_BIN_EXE_ragwortwickd"))
}

async fn open_fleet(options: FleetOptions) -> Fleet {
    let fleet = Fleet::open_with_table(options).await;
    fleet.expect("the fleet starts")
}

/// Puts a relay in front of every runner.
async fn relay_runners(fleet: &Fleet) -> Vec<Relay> {
    let mut relays = Vec::new();
    for runner in &fleet.runners.all {
        let relay = Relay::bind("127.0.0.1:0", runner.address()).await;
        let relay = relay.expect("a free port");
        let mut entry = runner.entry();
        entry.address = relay.address().to_string();
        fleet.put_host(&entry).await.expect("the list is changed");
        relays.push(relay);
    }
    relays
}

async fn ask(fleet: &Fleet, index: usize, id: &str, repeatable: bool) -> RequestOutcome {
    let mut request = sample_request(id, 2, repeatable);
    request.deadline_ms = Some(DEADLINE_MS);
    let asked_at = Instant::now();
    let outcome = fleet.caller.request(fleet.address(index), &request).await;
    let took = asked_at.elapsed();
    let limit = Duration::from(DEADLINE_MS) + Duration::from_secs(1);
    assert!(took < limit, "{id} was held back for {took:?}");
    outcome.expect("an outcome")
}

// Something between a host and its runners loses track of every open connection; new ones work.
// Each caller gets a whole answer or a truthful verdict before its deadline, and within the bound
// all requests are answered again.
#[tokio::test(flavor = "multi_thread")]
async fn verify_silent_connections_to_runners_are_replaced() {
    let fleet = open_fleet(options()).await;
    let relays = relay_runners(&fleet).await;
    wait_until("requests go through the relays", async || {
        ask(&fleet, 0, "warm-up", true).await;
        relays.iter().any(|relay| relay.bytes() > 0)
    })
    .await;
    for number in 0..60 {
        ask(&fleet, number % 3, &format!("warm-{number}"), true).await;
    }
    for relay in &relays {
        relay.set_mode(RelayMode::SilenceOpen);
    }
    let silent_since = Instant::now();
    for number in 0..6 {
        let id = format!("silent-{number}");
        let outcome = ask(&fleet, number % 3, &id, false).await;
        let starts = fleet.runners.starts(&id);
        match outcome {
            RequestOutcome::Answered(answer) => assert_eq!(answer.answer, sample_answer(&id)),
            RequestOutcome::Refused(refusal) if refusal.verdict == RefusalVerdict::NotRun => {
                assert_eq!(starts, 0, "{id}: {refusal:?}");
            }
            RequestOutcome::Refused(_) => {}
        }
        assert!(starts <= 1);
    }
    tokio::time::sleep(REPLACED_WITHIN.saturating_sub(silent_since.elapsed())).await;
    for number in 0..30 {
        let id = format!("replaced-{number}");
        let outcome = ask(&fleet, number % 3, &id, false).await;
        assert!(
            matches!(outcome, RequestOutcome::Answered(_)),
            "{outcome:?}"
        );
    }
    relays.into_iter().for_each(Relay::close);
    fleet.close().await;
}

// The connections to the store go silent for good, new ones work: callers at every host have jobs
// accepted again within the outer limit, and each accepted job is in the store.
#[tokio::test(flavor = "multi_thread")]
async fn verify_silent_connections_to_the_store_are_replaced() {
    let mut options = options();
    options.has_relays = true;
    let fleet = open_fleet(options).await;
    let paths = fleet.paths.as_ref().expect("the fleet has relays");
    for zone in fleet.zones() {
        paths.set_platform(zone, RelayMode::SilenceOpen);
    }
    for index in 0..3 {
        let id = format!("store-{index}");
        let job = sample_job(&id, 2, 200, true);
        wait_until("the job is accepted", async || {
            fleet.caller.job(fleet.address(index), &job).await.is_ok()
        })
        .await;
        assert!(fleet.record(&id).is_some());
    }
    fleet.close().await;
}

// The connections between the zones' entry hosts go silent for good, new ones work: the hosts find
// each other again.
#[tokio::test(flavor = "multi_thread")]
async fn verify_silent_connections_between_hosts_are_replaced() {
    let mut options = options();
    options.has_relays = true;
    let fleet = open_fleet(options).await;
    let paths = fleet.paths.as_ref().expect("the fleet has relays");
    let all_see_all = async || {
        let mut seen = 0;
        for daemon in &fleet.daemons {
            let status = fleet.caller.status(daemon.address()).await;
            seen += status.map_or(0, |status| status.hosts.len());
        }
        seen == 9
    };
    wait_until("the hosts find each other", all_see_all).await;
    paths
        .set_between(&fleet.zones()[0], RelayMode::SilenceOpen)
        .await;
    tokio::time::sleep(REPLACED_WITHIN).await;
    wait_until("the hosts find each other again", all_see_all).await;
    fleet.close().await;
}
