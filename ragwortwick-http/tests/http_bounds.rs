//! Checks the bounds of the server and what the client says of a failed request.

use std::time::Duration;

use gotham::handler::SimpleHandlerResult;
use gotham::prelude::{DefineSingleRoute, DrawRoutes, IntoResponse};
use gotham::router::Router;
use gotham::router::builder::build_simple_router;
use gotham::state::State;
use http::StatusCode;
use ragwortwick_border::{Problem, Shape};
use ragwortwick_core::DurationMs;
use ragwortwick_http::{
    HttpClient, HttpClientOptions, HttpError, ResponseTimeouts, Server, ServerOptions,
    json_response, read_json,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const MAX_BODY_BYTES: usize = 256;
const ANY_PORT: &str = "127.0.0.1:0";
const TIMEOUT_MS: DurationMs = DurationMs(20_000);

async fn echo(state: &mut State) -> SimpleHandlerResult {
    Ok(match read_json::<Shape>(state, MAX_BODY_BYTES).await {
        Ok(shape) => json_response(state, StatusCode::OK, &shape),
        Err(refusal) => refusal.into_response(state),
    })
}

fn router() -> Router {
    build_simple_router(|route| route.post("/echo").to_async_borrowing(echo))
}

async fn server() -> Server {
    Server::bind(ANY_PORT, router(), ServerOptions::default())
        .await
        .expect("loopback binds")
}

async fn problem_for(body: &'static [u8]) -> (StatusCode, Problem) {
    let server = server().await;
    let client = HttpClient::new(&HttpClientOptions::default());
    let address = server.address().to_string();
    let reply = client
        .send(
            http::Method::POST,
            &address,
            "/echo",
            Some(body.into()),
            TIMEOUT_MS,
        )
        .await
        .expect("the server answers");
    let problem = serde_json::from_slice(&reply.body).expect("a problem in JSON");
    drop(client);
    server.close().await;
    (reply.status, problem)
}

#[tokio::test]
async fn verify_wrong_type_names_the_field() {
    let (status, problem) = problem_for(br#"{"cells":"two","cell_accelerators":8}"#).await;
    assert_eq!(status, StatusCode::BAD_REQUEST);
    assert_eq!(problem.field, "cells");
}

#[tokio::test]
async fn verify_malformed_json_is_refused() {
    let (status, _) = problem_for(b"{\"cells\":1").await;
    assert_eq!(status, StatusCode::BAD_REQUEST);
}

#[tokio::test]
async fn verify_oversized_body_is_refused() {
    static BIG: [u8; MAX_BODY_BYTES + 1] = [b' '; MAX_BODY_BYTES + 1];
    let (status, problem) = problem_for(&BIG).await;
    assert_eq!(status, StatusCode::PAYLOAD_TOO_LARGE);
    assert!(problem.problem.contains("256 bytes"), "{}", problem.problem);
}

#[tokio::test]
async fn verify_refused_connection_is_not_sent() {
    // The caller is told "not sent": the port was free a moment ago and nobody listens on it now.
    let listener = TcpListener::bind(ANY_PORT).await.expect("loopback binds");
    let address = listener.local_addr().expect("bound").to_string();
    drop(listener);
    let client = HttpClient::new(&HttpClientOptions::default());
    let error = client
        .post::<_, Shape>(&address, "/echo", &1, TIMEOUT_MS)
        .await
        .expect_err("nobody listens");
    assert!(!error.may_have_arrived(), "{error}");
    assert!(error.is_closed(), "{error}");
}

#[tokio::test]
async fn verify_answer_cut_in_the_middle_is_no_answer() {
    // The caller must not take a truncated body for the whole answer: the other end promises 100
    // bytes, sends 10 and closes; the length tells that the rest is missing.
    let listener = TcpListener::bind(ANY_PORT).await.expect("loopback binds");
    let address = listener.local_addr().expect("bound").to_string();
    let other_end = tokio::spawn(async move {
        let (mut socket, _) = listener.accept().await.expect("the client connects");
        let mut head = [0; 1_024];
        let _ = socket.read(&mut head).await.expect("a request arrives");
        socket
            .write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\n0123456789")
            .await
            .expect("the client reads");
    });
    let client = HttpClient::new(&HttpClientOptions::default());
    let error = client
        .get::<Shape>(&address, "/", TIMEOUT_MS)
        .await
        .expect_err("the answer is cut");
    assert!(matches!(error, HttpError::NoResponse { .. }), "{error}");
    other_end.await.expect("the other end ended");
}

#[tokio::test]
async fn verify_connection_that_is_closed_before_the_answer_is_told_from_silence() {
    // A worker whose process has crashed is told by this from one whose path is cut.
    let listener = TcpListener::bind(ANY_PORT).await.expect("loopback binds");
    let address = listener.local_addr().expect("bound").to_string();
    let other_end = tokio::spawn(async move {
        let (mut socket, _) = listener.accept().await.expect("the client connects");
        let mut head = [0; 1_024];
        let _ = socket.read(&mut head).await.expect("a request arrives");
    });
    let client = HttpClient::new(&HttpClientOptions::default());
    let error = client
        .get::<Shape>(&address, "/", TIMEOUT_MS)
        .await
        .expect_err("there is no answer");
    assert!(error.may_have_arrived() && error.is_closed(), "{error}");
    other_end.await.expect("the other end ended");
}

/// Answers one request with these bytes, and then keeps the connection open and says nothing more.
async fn answers_and_falls_silent(bytes: &'static [u8]) -> (String, tokio::task::JoinHandle<()>) {
    let listener = TcpListener::bind(ANY_PORT).await.expect("loopback binds");
    let address = listener.local_addr().expect("bound").to_string();
    let other_end = tokio::spawn(async move {
        let (mut socket, _) = listener.accept().await.expect("the client connects");
        let mut request = [0; 1_024];
        let _ = socket.read(&mut request).await.expect("a request arrives");
        socket.write_all(bytes).await.expect("the client reads");
        // The client's end of the connection is the end of this one.
        let _ = socket.read(&mut request).await;
    });
    (address, other_end)
}

#[tokio::test]
async fn verify_answer_that_falls_silent_is_no_answer() {
    // A reader with time for a long answer must not spend all of it on a connection that went silent
    // in the middle of one: it gives up after the pause and asks again on another.
    let (address, other_end) =
        answers_and_falls_silent(b"HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\n0123456789").await;
    let client = HttpClient::new(&HttpClientOptions::default());
    let limits = ResponseTimeouts {
        head_timeout_ms: TIMEOUT_MS,
        idle_timeout_ms: DurationMs(100),
        total_timeout_ms: DurationMs(3_600_000),
    };
    let error = client
        .send_with(http::Method::GET, &address, "/", &[], None, limits)
        .await
        .expect_err("the answer stops");
    assert!(matches!(error, HttpError::NoResponse { .. }), "{error}");
    assert!(error.to_string().contains("nothing more came"), "{error}");
    assert!(!error.is_closed(), "{error}");
    drop(client);
    other_end.await.expect("the other end ended");
}

#[tokio::test]
async fn verify_answer_beyond_the_bound_is_told_apart() {
    // Asked again, such an answer would be as long: the caller has to ask for something else.
    let (address, other_end) =
        answers_and_falls_silent(b"HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\n0123456789").await;
    let client = HttpClient::new(&HttpClientOptions {
        max_body_bytes: 9,
        ..HttpClientOptions::default()
    });
    let error = client
        .get::<Shape>(&address, "/", TIMEOUT_MS)
        .await
        .expect_err("the answer is too long");
    assert!(matches!(error, HttpError::TooLarge { .. }), "{error}");
    drop(client);
    other_end.await.expect("the other end ended");
}

#[tokio::test]
async fn verify_half_sent_head_is_closed_by_the_server() {
    // A caller that never finishes its request head would hold a connection for ever; the server
    // closes it after the header timeout, seen here as the end of the stream.
    let options = ServerOptions {
        header_timeout_ms: DurationMs(100),
        ..ServerOptions::default()
    };
    let server = Server::bind(ANY_PORT, router(), options)
        .await
        .expect("loopback binds");
    let mut socket = TcpStream::connect(server.address())
        .await
        .expect("the server accepts");
    socket
        .write_all(b"POST /echo HTTP/1.1\r\nhost: x\r\n")
        .await
        .expect("the head starts");
    let mut rest = Vec::new();
    let read = tokio::time::timeout(Duration::from_secs(60), socket.read_to_end(&mut rest));
    // Either end of stream or reset: both mean that the server let go of the connection.
    let _ = read.await.expect("the server closes the connection");
    server.close().await;
}

#[tokio::test]
async fn verify_half_sent_body_is_refused_in_time() {
    // The caller sees a 408 that names the body: it sent half of what its head announced, then
    // nothing, and would have held its connection for good.
    let options = ServerOptions {
        body_timeout_ms: DurationMs(100),
        ..ServerOptions::default()
    };
    let server = Server::bind(ANY_PORT, router(), options)
        .await
        .expect("loopback binds");
    let mut caller = TcpStream::connect(server.address())
        .await
        .expect("it listens");
    let half = b"POST /echo HTTP/1.1\r\nhost: x\r\ncontent-length: 20\r\n\r\n{\"cells";
    caller.write_all(half).await.expect("sent");
    let mut answer = [0; 12];
    let read = caller.read_exact(&mut answer);
    let read = tokio::time::timeout(Duration::from_secs(20), read).await;
    read.expect("the server answers").expect("an answer");
    assert_eq!(&answer, b"HTTP/1.1 408");
    drop(caller);
    server.close().await;
}

#[tokio::test]
async fn verify_caller_that_stops_reading_does_not_hold_up_a_planned_stop() {
    // The operator sees the server end. A caller asks for a large answer and takes nothing of it;
    // without a bound the close would wait for this caller for good.
    let options = ServerOptions {
        write_timeout_ms: DurationMs(200),
        ..ServerOptions::default()
    };
    let router = build_simple_router(|route| route.get("/large").to_async_borrowing(large));
    let server = Server::bind(ANY_PORT, router, options)
        .await
        .expect("loopback binds");
    let mut caller = TcpStream::connect(server.address())
        .await
        .expect("it listens");
    let ask = b"GET /large HTTP/1.1\r\nhost: x\r\n\r\n";
    caller.write_all(ask).await.expect("sent");
    caller.readable().await.expect("the answer has begun");
    let closed = tokio::time::timeout(Duration::from_secs(20), server.close()).await;
    closed.expect("the server ends");
    drop(caller);
}

/// More than the buffers of both ends take.
async fn large(state: &mut State) -> SimpleHandlerResult {
    let text = "x".repeat(64 << 20);
    Ok(json_response(state, StatusCode::OK, &text))
}
