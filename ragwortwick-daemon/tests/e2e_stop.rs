//! The planned stop of an entry host under a burst of requests.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use http::{Method, StatusCode};
use ragwortwick_border::RequestOutcome;
use ragwortwick_core::DurationMs;
use ragwortwick_standin::{
    Caller, Faults, Fleet, FleetOptions, sample_answer, sample_request, wait_until,
};

/// Callers that send one request after another.
const CALLERS: usize = 16;

async fn open_fleet() -> Fleet {
    let options = FleetOptions::two_zones(env!("CARGO_BIN_EXE_ragwortwickd"));
    let fleet = Fleet::open_with_table(options).await;
    fleet.expect("the fleet starts")
}

/// `Balancer` sends callers to a host until it has seen the host's check fail.
#[derive(Clone)]
struct Balancer {
    caller: Caller,
    address: String,
    is_out: Arc<AtomicBool>,
}

impl Balancer {
    fn open(fleet: &Fleet, index: usize) -> Self {
        Self {
            caller: fleet.caller.clone(),
            address: fleet.address(index).to_owned(),
            is_out: Arc::default(),
        }
    }

    /// Like most balancers, it looks twice a second and believes the second failure.
    async fn look(self) {
        let mut failures = 0;
        while failures < 2 {
            tokio::time::sleep(Duration::from_millis(500)).await;
            let http = self.caller.http();
            let limit_ms = DurationMs(1_000);
            let check = http.send(Method::GET, &self.address, "/healthz", None, limit_ms);
            let is_ok = check.await.is_ok_and(|r| r.status == StatusCode::OK);
            failures = if is_ok { 0 } else { failures + 1 };
        }
        self.is_out.store(true, Ordering::Relaxed);
    }

    /// One caller's burst; it gives the outcomes that are no whole answer.
    async fn burst(self, number: usize) -> Vec<String> {
        let mut bad = Vec::new();
        let mut count = 0;
        while !self.is_out.load(Ordering::Relaxed) {
            let id = format!("burst-{number}-{count}");
            count += 1;
            let request = sample_request(&id, 20, true);
            match self.caller.request(&self.address, &request).await {
                Ok(RequestOutcome::Answered(answer)) if answer.answer == sample_answer(&id) => {}
                other => bad.push(format!("{id}: {other:?}")),
            }
        }
        bad
    }
}

async fn stop_under_a_burst(fleet: &mut Fleet) {
    let balancer = Balancer::open(fleet, 0);
    let bursts: Vec<_> = (0..CALLERS)
        .map(|number| tokio::spawn(balancer.clone().burst(number)))
        .collect();
    let look = tokio::spawn(balancer.look());
    wait_until("the burst is under way", async || {
        fleet.runners.all[0].log().entries().len() > CALLERS
    })
    .await;
    fleet.daemons[0].terminate().expect("the host is told");
    // A second signal must not cut the stop short.
    tokio::time::sleep(Duration::from_millis(200)).await;
    fleet.daemons[0]
        .terminate()
        .expect("the host is told again");
    look.await.expect("the balancer sees the check fail");
    for burst in bursts {
        let bad = burst.await.expect("the burst ends");
        assert!(bad.is_empty(), "cut off or refused: {bad:?}");
    }
    let status = fleet.daemons[0].wait().await.expect("the host ends");
    assert!(status.is_some_and(|status| status.success()), "{status:?}");
}

// Callers see whole answers only. The host is told to stop while a burst comes in; the balancer
// goes on sending until it has seen the check fail twice, and only then does the host end.
#[tokio::test(flavor = "multi_thread")]
async fn verify_a_planned_stop_cuts_off_no_request_of_a_burst() {
    let mut fleet = open_fleet().await;
    stop_under_a_burst(&mut fleet).await;
    fleet.close().await;
}

// The same while the store is down: the stop waits for no lease call that gets no answer.
#[tokio::test(flavor = "multi_thread")]
async fn verify_a_planned_stop_cuts_off_no_request_while_the_store_is_down() {
    let mut fleet = open_fleet().await;
    fleet.store.set_faults(Faults {
        down: true,
        ..Faults::default()
    });
    stop_under_a_burst(&mut fleet).await;
    fleet.close().await;
}

// A request that runs longer than the notice still gets its answer before the host ends.
#[tokio::test(flavor = "multi_thread")]
async fn verify_a_planned_stop_waits_for_a_long_request() {
    let mut fleet = open_fleet().await;
    let caller = fleet.caller.clone();
    let address = fleet.address(0).to_owned();
    let request = sample_request("long", 6_000, false);
    let running = tokio::spawn(async move { caller.request(&address, &request).await });
    wait_until("the request runs", async || {
        fleet.runners.starts("long") == 1
    })
    .await;
    fleet.daemons[0].terminate().expect("the host is told");
    let outcome = running.await.expect("the caller ends");
    let outcome = outcome.expect("an outcome");
    assert!(
        matches!(outcome, RequestOutcome::Answered(_)),
        "{outcome:?}"
    );
    let status = fleet.daemons[0].wait().await.expect("the host ends");
    assert!(status.is_some_and(|status| status.success()), "{status:?}");
    fleet.close().await;
}
