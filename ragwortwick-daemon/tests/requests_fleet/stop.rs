//! Proves that a planned stop cuts off no request and that a kill touches no other host's callers.

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};

use futures_util::future::join_all;
use http::Method;
use ragwortwick_core::DurationMs;
use ragwortwick_standin::{Faults, Fleet, sample_request};

use crate::fleet::{is_answer, one_zone, order, pause, submit, wait_for_start};

/// Callers that send one request after another.
const CALLERS: usize = 8;

/// Interval of a balancer's checks.
const CHECK_MS: u64 = 500;

/// Asks host 0 for its health now and then, as a balancer does, and names the host to send to.
async fn balance(fleet: &Fleet, target: &AtomicUsize, stop: &AtomicBool) {
    let limit_ms = DurationMs(2_000);
    while !stop.load(Ordering::Relaxed) {
        let http = fleet.caller.http();
        let reply = http
            .send(Method::GET, fleet.address(0), "/healthz", None, limit_ms)
            .await;
        let is_healthy = reply.is_ok_and(|reply| reply.status.is_success());
        target.store(usize::from(!is_healthy), Ordering::Relaxed);
        pause(CHECK_MS).await;
    }
}

/// What the callers and the balancer share.
#[derive(Default)]
struct Load {
    target: AtomicUsize,
    stop: AtomicBool,
    failed: AtomicUsize,
}

/// Sends requests through a balancer until it is told to stop; counts those without an answer.
async fn call_on(fleet: &Fleet, caller: usize, load: &Load) -> usize {
    let mut sent = 0;
    while !load.stop.load(Ordering::Relaxed) {
        let id = format!("c{caller}-{sent}");
        let host = load.target.load(Ordering::Relaxed);
        let request = sample_request(&id, 20, true);
        let outcome = fleet.caller.request(fleet.address(host), &request).await;
        let is_served = outcome.as_ref().is_ok_and(|o| is_answer(o, &id));
        if !is_served {
            load.failed.fetch_add(1, Ordering::Relaxed);
        }
        sent += 1;
    }
    sent
}

#[tokio::test(flavor = "multi_thread")]
async fn verify_planned_stop_under_load_cuts_off_no_request() {
    // Every caller sees its answer. A host gets SIGTERM under load while the store is down and an
    // order runs on it; a second SIGTERM follows. The balancer stops sending when the check fails;
    // what came before is answered, also the order that ends long after the signal.
    let mut fleet = one_zone(3, 4).await;
    let id = crate::fleet::issue_id(&fleet, 0).await.to_string();
    let long = order(&id, 5_000, 20_000);
    let address = fleet.address(0).to_owned();
    let caller = fleet.caller.clone();
    let running = tokio::spawn(async move { caller.request(&address, &long).await });
    wait_for_start(&fleet, &id).await;
    let load = Load::default();
    let calls = join_all((0..CALLERS).map(|caller| call_on(&fleet, caller, &load)));
    let balancer = balance(&fleet, &load.target, &load.stop);
    let signals = async {
        pause(300).await;
        fleet.store.set_faults(Faults {
            down: true,
            ..Faults::default()
        });
        fleet.daemons[0].terminate().expect("a process");
        pause(500).await;
        fleet.daemons[0].terminate().expect("a process");
        pause(4_000).await;
        load.stop.store(true, Ordering::Relaxed);
    };
    let (sent, (), ()) = tokio::join!(calls, balancer, signals);
    let outcome = running.await.expect("no panic").expect("an outcome");
    assert!(is_answer(&outcome, &id), "{outcome:?}");
    assert_eq!(load.failed.load(Ordering::Relaxed), 0, "of {sent:?}");
    let status = fleet.daemons[0].wait().await.expect("it ends");
    assert!(status.is_some_and(|status| status.success()));
    fleet.close().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn verify_kill_of_a_host_is_not_noticed_by_callers_of_others() {
    // The callers of two hosts see all their answers while the third one is killed under load.
    let mut fleet = one_zone(3, 4).await;
    let hit: Vec<_> = (0..10)
        .map(|number| {
            let request = sample_request(&format!("hit-{number}"), 300, true);
            let (caller, address) = (fleet.caller.clone(), fleet.address(0).to_owned());
            tokio::spawn(async move { caller.request(&address, &request).await })
        })
        .collect();
    wait_for_start(&fleet, "hit-0").await;
    fleet.daemons[0].kill().expect("it ends");
    for (number, hit) in hit.into_iter().enumerate() {
        // Their callers see the broken connection and may come back: they are repeatable.
        drop(hit.await.expect("no panic"));
        let id = format!("hit-{number}");
        let again = submit(&fleet, 1, &sample_request(&id, 0, true)).await;
        assert!(is_answer(&again, &id), "{again:?}");
    }
    let others = (0..100).map(|number| {
        let fleet = &fleet;
        async move {
            let id = format!("other-{number}");
            let request = sample_request(&id, 10, true);
            let outcome = submit(fleet, 1 + number % 2, &request).await;
            assert!(is_answer(&outcome, &id), "{outcome:?}");
        }
    });
    join_all(others).await;
    fleet.close().await;
}
