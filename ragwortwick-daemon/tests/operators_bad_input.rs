//! Malformed and oversized input from operators: one sentence that names the field, nothing done.

use http::Method;
use ragwortwick_border::Problem;
use ragwortwick_core::DurationMs;
use ragwortwick_daemon::{Daemon, Settings};
use ragwortwick_http::{HttpClient, HttpClientOptions, HttpResponse};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Generous: it only ends a test that hangs.
const LIMIT_MS: DurationMs = DurationMs(30_000);

async fn daemon() -> Daemon {
    let text = r#"{
        "host": "e1", "zone": "north",
        "listen": "127.0.0.1:0", "peer_listen": "127.0.0.1:0",
        "store_address": "127.0.0.1:9", "hosts_address": "127.0.0.1:9",
        "drain_notice_ms": 0, "max_body_bytes": 2048, "max_header_bytes": 8192
    }"#;
    let settings = Settings::parse(text).expect("settings");
    Daemon::spawn(settings).await.expect("daemon")
}

async fn post(daemon: &Daemon, path: &str, body: &str) -> HttpResponse {
    let address = daemon.address().to_string();
    let body = Some(body.to_owned().into());
    HttpClient::new(&HttpClientOptions::default())
        .send(Method::POST, &address, path, body, LIMIT_MS)
        .await
        .expect("an answer")
}

fn field(reply: &HttpResponse) -> String {
    let problem: Problem = serde_json::from_slice(&reply.body).expect("a problem");
    assert!(!problem.problem.is_empty());
    problem.field
}

#[tokio::test(flavor = "multi_thread")]
async fn verify_each_mistake_names_its_field_and_the_process_goes_on() {
    let daemon = daemon().await;
    let weights = r#""weights": {"completion": 1, "fragmentation": 1}"#;
    let cases = [
        ("/v1/table/review", "{".to_owned(), 400, "body"),
        ("/v1/table/review", "[]".to_owned(), 400, "body"),
        ("/v1/table/review", "{}".to_owned(), 400, "body"),
        (
            "/v1/table/review",
            format!(
                r#"{{"customers": [{{"customer": 7}}], "guarantees": [], "classes": [], {weights}}}"#
            ),
            400,
            "customers[0].customer",
        ),
        (
            "/v1/table/review",
            format!(
                r#"{{"customers": [], "guarantees": [], "classes": [], "colour": 1, {weights}}}"#
            ),
            400,
            "colour",
        ),
        (
            "/v1/table/accept",
            format!(
                r#"{{"based_on_number": 0, "nonce": "n", "accepted_by": "ada", "reason": " ",
                "table": {{"customers": [], "guarantees": [], "classes": [], {weights}}}}}"#
            ),
            400,
            "reason",
        ),
        ("/v1/table/review", "x".repeat(3_000), 413, "body"),
    ];
    for (path, body, status, expected) in cases {
        let reply = post(&daemon, path, &body).await;
        assert_eq!(reply.status.as_u16(), status, "{path} {body}");
        assert_eq!(field(&reply), expected, "{path} {body}");
    }
    Box::pin(daemon.close()).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn verify_a_head_beyond_its_bound_is_refused() {
    let daemon = daemon().await;
    let mut stream = TcpStream::connect(daemon.address()).await.expect("connect");
    let head = format!(
        "GET /v1/status HTTP/1.1\r\nhost: e1\r\nx-long: {}\r\n\r\n",
        "x".repeat(9_000)
    );
    stream.write_all(head.as_bytes()).await.expect("write");
    let mut answer = String::new();
    // The server may reset the connection behind its answer, which has arrived by then.
    let _ = stream.read_to_string(&mut answer).await;
    assert!(answer.starts_with("HTTP/1.1 431 "), "{answer:?}");
    Box::pin(daemon.close()).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn verify_unknown_paths_and_wrong_numbers_are_client_errors() {
    let daemon = daemon().await;
    let address = daemon.address().to_string();
    let http = HttpClient::new(&HttpClientOptions::default());
    let cases = [("/v1/nothing", 404), ("/v1/table/history?limit=many", 400)];
    for (path, status) in cases {
        let reply = http
            .send(Method::GET, &address, path, None, LIMIT_MS)
            .await
            .expect("an answer");
        assert_eq!(reply.status.as_u16(), status, "{path}");
    }
    Box::pin(daemon.close()).await;
}
