//! Proves that connections gone silent for good are found, and what was on them is told the truth.

use std::time::Duration;

use ragwortwick_border::RefusalVerdict;
use ragwortwick_core::DurationMs;
use ragwortwick_standin::RelayMode;

use crate::rig::{Rig, is_answer, order, refusal, request, within};

#[tokio::test(flavor = "multi_thread")]
async fn verify_idle_silent_connection_is_replaced_before_use() {
    // The caller sees its answer, though its request must not be repeated. Every open connection to
    // the only runner has gone silent while idle; new ones work. Without a look at the connection
    // the request would vanish in it and end as "may have run".
    let rig = Rig::open(1, 10).await;
    assert!(is_answer(&rig.submit(request("warm", 0)).await, "warm"));
    rig.relays[0].set_mode(RelayMode::SilenceOpen);
    tokio::time::sleep(Duration::from_millis(1_100)).await;
    let outcome = rig.submit(order("after", 0)).await;
    assert!(is_answer(&outcome, "after"), "{outcome:?}");
    rig.close().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn verify_request_on_a_connection_that_goes_silent_gets_its_verdict_early() {
    // The caller sees "may have run" long before its deadline of ten minutes. Its request reaches
    // the runner, then the connection goes silent; the runner, asked over a second connection, says
    // that it runs nothing, so no answer can come any more.
    let rig = Rig::open(1, 10).await;
    let mut submit = order("gone", 200);
    submit.deadline_ms = Some(DurationMs(600_000));
    let silence = async {
        rig.wait_for_start("gone").await;
        rig.relays[0].set_mode(RelayMode::SilenceOpen);
    };
    let (outcome, ()) = within(async { tokio::join!(rig.submit(submit), silence) }).await;
    assert_eq!(refusal(&outcome), Some(RefusalVerdict::MayHaveRun));
    assert_eq!(rig.starts("gone"), 1);
    rig.close().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn verify_repeatable_request_survives_a_silent_connection() {
    // The caller sees its answer. Its connection goes silent in the middle of the request, which
    // goes on a new connection, and may, since it is marked as repeatable.
    let rig = Rig::open(1, 10).await;
    let silence = async {
        rig.wait_for_start("again").await;
        rig.relays[0].set_mode(RelayMode::SilenceOpen);
    };
    let submit = Box::pin(rig.submit(request("again", 200)));
    let (outcome, ()) = Box::pin(within(async { tokio::join!(submit, silence) })).await;
    assert!(is_answer(&outcome, "again"), "{outcome:?}");
    rig.close().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn verify_blackholed_runner_costs_no_request_its_deadline() {
    // The callers see answers from the other runner. The path to one runner drops every byte, of
    // open and of new connections; requests find that out by probes and go elsewhere.
    orders_avoid_first_runner(RelayMode::Blackhole).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn verify_frozen_runner_costs_no_request_its_deadline() {
    // The callers see answers from the other runner. One runner's process is frozen: its system
    // still opens connections, but nothing answers on them, so that a connection that opens proves
    // nothing; it has to answer a probe before it carries a request.
    orders_avoid_first_runner(RelayMode::Frozen).await;
}

async fn orders_avoid_first_runner(mode: RelayMode) {
    let rig = Rig::open(2, 10).await;
    for i in 0..6 {
        let id = format!("warm{i}");
        assert!(is_answer(&rig.submit(request(&id, 0)).await, &id));
    }
    rig.relays[0].set_mode(mode);
    // Connections that answered within the last second are trusted; none is after this.
    tokio::time::sleep(Duration::from_millis(1_100)).await;
    for i in 0..6 {
        let id = format!("r{i}");
        let outcome = rig.submit(order(&id, 0)).await;
        assert!(is_answer(&outcome, &id), "{id}: {outcome:?}");
    }
    rig.close().await;
}
