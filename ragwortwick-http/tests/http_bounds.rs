//! Tests the server's limits and the client's classification of failed requests.

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
        Err(error) => error.into_response(state),
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
    let response = client
        .send(
            http::Method::POST,
            &address,
            "/echo",
            Some(body.into()),
            TIMEOUT_MS,
        )
        .await
        .expect("the server responds");
    let problem = serde_json::from_slice(&response.body).expect("a problem in JSON");
    drop(client);
    server.close().await;
    (response.status, problem)
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
    // The error has to be `NotSent`: the port was just released and no process listens on it.
    let listener = TcpListener::bind(ANY_PORT).await.expect("loopback binds");
    let address = listener.local_addr().expect("bound").to_string();
    drop(listener);
    let client = HttpClient::new(&HttpClientOptions::default());
    let error = client
        .post::<_, Shape>(&address, "/echo", &1, TIMEOUT_MS)
        .await
        .expect_err("no process listens");
    assert!(!error.may_have_arrived(), "{error}");
    assert!(error.is_closed(), "{error}");
}

#[tokio::test]
async fn verify_answer_cut_in_the_middle_is_no_answer() {
    // Guards against a truncated body that is taken for a complete response: the peer announces 100
    // bytes, sends 10 and closes the connection; content-length shows that the rest is missing.
    let listener = TcpListener::bind(ANY_PORT).await.expect("loopback binds");
    let address = listener.local_addr().expect("bound").to_string();
    let peer = tokio::spawn(async move {
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
        .expect_err("the response is truncated");
    assert!(matches!(error, HttpError::NoResponse { .. }), "{error}");
    peer.await.expect("the peer task ended");
}

#[tokio::test]
async fn verify_connection_that_is_closed_before_the_answer_is_told_from_silence() {
    // This distinguishes a worker whose process crashed from one behind a network partition.
    let listener = TcpListener::bind(ANY_PORT).await.expect("loopback binds");
    let address = listener.local_addr().expect("bound").to_string();
    let peer = tokio::spawn(async move {
        let (mut socket, _) = listener.accept().await.expect("the client connects");
        let mut head = [0; 1_024];
        let _ = socket.read(&mut head).await.expect("a request arrives");
    });
    let client = HttpClient::new(&HttpClientOptions::default());
    let error = client
        .get::<Shape>(&address, "/", TIMEOUT_MS)
        .await
        .expect_err("there is no response");
    assert!(error.may_have_arrived() && error.is_closed(), "{error}");
    peer.await.expect("the peer task ended");
}

/// Responds to one request with the given bytes, then keeps the connection open and sends nothing more.
async fn respond_and_stall(bytes: &'static [u8]) -> (String, tokio::task::JoinHandle<()>) {
    let listener = TcpListener::bind(ANY_PORT).await.expect("loopback binds");
    let address = listener.local_addr().expect("bound").to_string();
    let peer = tokio::spawn(async move {
        let (mut socket, _) = listener.accept().await.expect("the client connects");
        let mut request = [0; 1_024];
        let _ = socket.read(&mut request).await.expect("a request arrives");
        socket.write_all(bytes).await.expect("the client reads");
        // Waits until the client closes the connection.
        let _ = socket.read(&mut request).await;
    });
    (address, peer)
}

#[tokio::test]
async fn verify_answer_that_falls_silent_is_no_answer() {
    // Guards against a client with a long total timeout that spends all of it on a connection that stalls
    // in the middle of a response: it has to fail after the idle timeout, to retry on another connection.
    let (address, peer) =
        respond_and_stall(b"HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\n0123456789").await;
    let client = HttpClient::new(&HttpClientOptions::default());
    let limits = ResponseTimeouts {
        head_timeout_ms: TIMEOUT_MS,
        idle_timeout_ms: DurationMs(100),
        total_timeout_ms: DurationMs(3_600_000),
    };
    let error = client
        .send_with(http::Method::GET, &address, "/", &[], None, limits)
        .await
        .expect_err("the response stalls");
    assert!(matches!(error, HttpError::NoResponse { .. }), "{error}");
    assert!(error.to_string().contains("nothing more came"), "{error}");
    assert!(!error.is_closed(), "{error}");
    drop(client);
    peer.await.expect("the peer task ended");
}

#[tokio::test]
async fn verify_answer_beyond_the_bound_is_told_apart() {
    // A retry would get a response of the same size: the client has to make a different request.
    let (address, peer) =
        respond_and_stall(b"HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\n0123456789").await;
    let client = HttpClient::new(&HttpClientOptions {
        max_body_bytes: 9,
        ..HttpClientOptions::default()
    });
    let error = client
        .get::<Shape>(&address, "/", TIMEOUT_MS)
        .await
        .expect_err("the response is too large");
    assert!(matches!(error, HttpError::TooLarge { .. }), "{error}");
    drop(client);
    peer.await.expect("the peer task ended");
}

#[tokio::test]
async fn verify_half_sent_head_is_closed_by_the_server() {
    // Guards against a client that never completes its request head and holds a connection forever: the
    // server has to close it after the header timeout, which the client sees as the end of the stream.
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
    // End of stream and reset both mean that the server closed the connection.
    let _ = read.await.expect("the server closes the connection");
    server.close().await;
}

#[tokio::test]
async fn verify_half_sent_body_is_refused_in_time() {
    // Guards against a client that sends half of the announced body, then nothing, and holds its
    // connection forever: the server has to respond with 408.
    let options = ServerOptions {
        body_timeout_ms: DurationMs(100),
        ..ServerOptions::default()
    };
    let server = Server::bind(ANY_PORT, router(), options)
        .await
        .expect("loopback binds");
    let mut client = TcpStream::connect(server.address())
        .await
        .expect("it listens");
    let half = b"POST /echo HTTP/1.1\r\nhost: x\r\ncontent-length: 20\r\n\r\n{\"cells";
    client.write_all(half).await.expect("sent");
    let mut status_line = [0; 12];
    let read = client.read_exact(&mut status_line);
    let read = tokio::time::timeout(Duration::from_secs(20), read).await;
    read.expect("the server responds").expect("a status line");
    assert_eq!(&status_line, b"HTTP/1.1 408");
    drop(client);
    server.close().await;
}

#[tokio::test]
async fn verify_caller_that_stops_reading_does_not_hold_up_a_planned_stop() {
    // Guards against a graceful shutdown that never finishes: a client requests a large response and reads
    // nothing of it; without a write timeout, `close` would wait for it forever.
    let options = ServerOptions {
        write_timeout_ms: DurationMs(200),
        ..ServerOptions::default()
    };
    let router = build_simple_router(|route| route.get("/large").to_async_borrowing(large));
    let server = Server::bind(ANY_PORT, router, options)
        .await
        .expect("loopback binds");
    let mut client = TcpStream::connect(server.address())
        .await
        .expect("it listens");
    let request = b"GET /large HTTP/1.1\r\nhost: x\r\n\r\n";
    client.write_all(request).await.expect("sent");
    client.readable().await.expect("the response has begun");
    let closed = tokio::time::timeout(Duration::from_secs(20), server.close()).await;
    closed.expect("the server shuts down");
    drop(client);
}

/// Responds with more than the socket buffers of both ends hold.
async fn large(state: &mut State) -> SimpleHandlerResult {
    let text = "x".repeat(64 << 20);
    Ok(json_response(state, StatusCode::OK, &text))
}

/// Guards against a client that opens any number of streams, each with a body, on one connection.
#[tokio::test]
async fn verify_http2_is_not_spoken() {
    let server = server().await;
    let settings_frame = [0, 0, 0, 4, 0, 0, 0, 0, 0];
    let preface = [
        b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n".as_slice(),
        &settings_frame,
    ]
    .concat();
    let mut client = TcpStream::connect(server.address())
        .await
        .expect("it listens");
    client.write_all(&preface).await.expect("sent");
    let mut first = [0; 16];
    // A connection that is closed sends nothing.
    let read = client.read(&mut first).await.unwrap_or(0);
    let line = String::from_utf8_lossy(&first[..read]);
    assert!(
        line.is_empty() || line.starts_with("HTTP/1.1 4"),
        "{line:?}"
    );
    drop(client);
    server.close().await;
}
