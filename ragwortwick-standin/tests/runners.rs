//! The runners' stand-in over HTTP: slots, refusals and broken answers.

use std::net::SocketAddr;

use ragwortwick_border::{RunnerAnswer, RunnerRequest};
use ragwortwick_core::{ClassName, CustomerName, DurationMs, RequestId, ZoneName};
use ragwortwick_http::{HttpClient, HttpClientOptions, HttpError};
use ragwortwick_standin::{Faults, Relay, RelayMode, Runners, RunnersOptions};

const LIMIT_MS: DurationMs = DurationMs(10_000);

async fn one_runner(slots: u32) -> Runners {
    let options = RunnersOptions {
        zones: vec![ZoneName::new("east")],
        count: 1,
        slots,
    };
    Runners::bind("127.0.0.1", &options)
        .await
        .expect("a free port")
}

async fn run(
    http: &HttpClient,
    address: SocketAddr,
    id: &str,
    limit_ms: DurationMs,
) -> Result<RunnerAnswer, HttpError> {
    let request = RunnerRequest {
        request_id: RequestId::new(id),
        customer: CustomerName::new("padana"),
        class: ClassName::new("pass-plan"),
        remaining_ms: LIMIT_MS,
        payload: format!(r#"{{"work_ms":1,"echo":"whole answer to {id}"}}"#),
    };
    http.post(&address.to_string(), "/v1/run", &request, limit_ms)
        .await
}

#[tokio::test]
async fn verify_a_leaving_or_full_runner_starts_nothing() {
    let runners = one_runner(0).await;
    let runner = &runners.all[0];
    let http = HttpClient::new(&HttpClientOptions::default());
    let full = run(&http, runner.address(), "r1", LIMIT_MS).await;
    assert!(full.expect_err("no slot").to_string().contains("busy"));
    runner.set_faults(Faults {
        leaving: true,
        ..Faults::default()
    });
    let leaving = run(&http, runner.address(), "r2", LIMIT_MS).await;
    assert!(
        leaving
            .expect_err("it leaves")
            .to_string()
            .contains("leaving")
    );
    assert!(runner.log().entries().is_empty());
    runners.close().await;
}

#[tokio::test]
async fn verify_a_cut_answer_is_no_answer_though_the_work_was_done() {
    let runners = one_runner(1).await;
    let runner = &runners.all[0];
    let http = HttpClient::new(&HttpClientOptions::default());
    runner.set_faults(Faults {
        cut_answers: 1,
        ..Faults::default()
    });
    let cut = run(&http, runner.address(), "r1", LIMIT_MS).await;
    assert!(matches!(cut, Err(HttpError::NoResponse { .. })), "{cut:?}");
    assert_eq!(runners.starts("r1"), 1);
    let whole = run(&http, runner.address(), "r2", LIMIT_MS).await;
    assert_eq!(whole.expect("an answer").answer, "whole answer to r2");
    runners.close().await;
}

#[tokio::test]
async fn verify_a_relay_goes_silent_and_comes_back() {
    let runners = one_runner(1).await;
    let runner = &runners.all[0];
    let relay = Relay::bind("127.0.0.1:0", runner.address())
        .await
        .expect("a free port");
    let http = HttpClient::new(&HttpClientOptions::default());
    let before = run(&http, relay.address(), "r1", LIMIT_MS).await;
    before.expect("an answer");
    relay.set_mode(RelayMode::SilenceOpen);
    let silent = run(&http, relay.address(), "r2", DurationMs(300)).await;
    assert!(matches!(silent, Err(HttpError::NoResponse { .. })));
    let fresh = run(&http, relay.address(), "r3", LIMIT_MS).await;
    fresh.expect("a new connection passes");
    assert_eq!(runners.starts("r2"), 0);
    relay.set_mode(RelayMode::Cut);
    let mut cut = run(&http, relay.address(), "r4", LIMIT_MS).await;
    while !matches!(cut, Err(HttpError::NotSent { .. })) {
        cut = run(&http, relay.address(), "r4", LIMIT_MS).await;
    }
    relay.set_mode(RelayMode::Pass);
    let mut healed = run(&http, relay.address(), "r5", LIMIT_MS).await;
    while healed.is_err() {
        healed = run(&http, relay.address(), "r5", LIMIT_MS).await;
    }
    relay.set_mode(RelayMode::Blackhole);
    let mut lost = run(&http, relay.address(), "r6", DurationMs(300)).await;
    while lost.is_ok() {
        lost = run(&http, relay.address(), "r6", DurationMs(300)).await;
    }
    relay.set_mode(RelayMode::Pass);
    let fresh = HttpClient::new(&HttpClientOptions::default());
    let mut healed = run(&fresh, relay.address(), "r7", LIMIT_MS).await;
    while healed.is_err() {
        healed = run(&fresh, relay.address(), "r7", LIMIT_MS).await;
    }
    relay.close();
    runners.close().await;
}
