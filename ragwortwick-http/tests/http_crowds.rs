//! Tests what a server keeps for its clients, and whom it leaves out if that is too much.

use gotham::handler::SimpleHandlerResult;
use gotham::helpers::http::response::create_empty_response;
use gotham::prelude::{DefineSingleRoute, DrawRoutes, IntoResponse};
use gotham::router::Router;
use gotham::router::builder::build_simple_router;
use gotham::state::State;
use http::StatusCode;
use ragwortwick_core::DurationMs;
use ragwortwick_http::{MemoryBudget, Server, ServerOptions, read_body, read_json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::Semaphore;

const MAX_BODY_BYTES: usize = 64 << 10;

/// Requests that have reached the handler of `/gated`.
static ENTERED: Semaphore = Semaphore::const_new(0);

/// Requests that the handler of `/gated` may complete.
static GATE: Semaphore = Semaphore::const_new(0);

async fn take(state: &mut State) -> SimpleHandlerResult {
    Ok(match read_body(state, MAX_BODY_BYTES).await {
        Ok(_) => create_empty_response(state, StatusCode::OK),
        Err(error) => error.into_response(state),
    })
}

async fn decode(state: &mut State) -> SimpleHandlerResult {
    Ok(match read_json::<u64>(state, MAX_BODY_BYTES).await {
        Ok(_) => create_empty_response(state, StatusCode::OK),
        Err(error) => error.into_response(state),
    })
}

async fn gated(state: &mut State) -> SimpleHandlerResult {
    ENTERED.add_permits(1);
    let permit = GATE.acquire().await;
    permit.expect("the gate is open").forget();
    Ok(create_empty_response(state, StatusCode::OK))
}

fn router() -> Router {
    build_simple_router(|route| {
        route.post("/take").to_async_borrowing(take);
        route.post("/decode").to_async_borrowing(decode);
        route.get("/gated").to_async_borrowing(gated);
    })
}

async fn server(options: ServerOptions) -> Server {
    let server = Server::bind("127.0.0.1:0", router(), options).await;
    server.expect("loopback binds")
}

async fn send(server: &Server, bytes: &[u8]) -> TcpStream {
    let connected = TcpStream::connect(server.address()).await;
    let mut client = connected.expect("the server accepts");
    client.write_all(bytes).await.expect("sent");
    client
}

fn request(path: &str, length: usize, body: &[u8]) -> Vec<u8> {
    let head = format!("POST {path} HTTP/1.1\r\nhost: x\r\ncontent-length: {length}\r\n\r\n");
    [head.as_bytes(), body].concat()
}

/// The first line of the response; empty if the server closed the connection.
async fn status_line(client: &mut TcpStream) -> String {
    let mut line = Vec::new();
    while !line.ends_with(b"\r\n") {
        match client.read_u8().await {
            Ok(byte) => line.push(byte),
            Err(_) => break,
        }
    }
    String::from_utf8_lossy(&line).trim_end().to_owned()
}

async fn wait_until_released(memory: &MemoryBudget) {
    while memory.used_bytes() > 0 {
        tokio::time::sleep(std::time::Duration::from_millis(5)).await;
    }
}

/// Guards against memory that stays reserved after its request has ended in an unusual way.
#[tokio::test]
async fn verify_memory_of_a_body_is_released_however_its_request_ends() {
    let memory = MemoryBudget::new(MAX_BODY_BYTES);
    let options = ServerOptions {
        memory: memory.clone(),
        body_timeout_ms: DurationMs(300),
        ..ServerOptions::default()
    };
    let server = server(options).await;
    let body = vec![b' '; 2_000];
    let cases = [
        (request("/take", body.len(), &body), "HTTP/1.1 200 OK"),
        (
            request("/decode", body.len(), &body),
            "HTTP/1.1 400 Bad Request",
        ),
        (
            request("/take", MAX_BODY_BYTES + 1, &body),
            "HTTP/1.1 413 Payload Too Large",
        ),
        (
            request("/take", body.len() + 1, &body),
            "HTTP/1.1 408 Request Timeout",
        ),
    ];
    for (request, expected) in cases {
        let mut client = send(&server, &request).await;
        assert_eq!(status_line(&mut client).await, expected);
        wait_until_released(&memory).await;
    }
    let client = send(&server, &request("/take", body.len() + 1, &body)).await;
    while memory.used_bytes() == 0 {
        tokio::task::yield_now().await;
    }
    drop(client);
    wait_until_released(&memory).await;
    server.close().await;
}

/// Guards against a planned stop that waits for bodies that never end, or leaves their memory reserved.
#[tokio::test]
async fn verify_memory_of_a_body_is_released_by_a_planned_stop() {
    let memory = MemoryBudget::new(MAX_BODY_BYTES);
    let options = ServerOptions {
        memory: memory.clone(),
        body_timeout_ms: DurationMs(300),
        ..ServerOptions::default()
    };
    let server = server(options).await;
    let client = send(&server, &request("/take", 2_000, &[b' '; 1_000])).await;
    while memory.used_bytes() == 0 {
        tokio::task::yield_now().await;
    }
    server.close().await;
    wait_until_released(&memory).await;
    drop(client);
}

/// Guards against stalled clients that keep memory from one that sends its body.
#[tokio::test]
async fn verify_bodies_that_stall_give_way_to_one_that_is_sent() {
    const BODY_BYTES: usize = 40 << 10;
    let memory = MemoryBudget::new(MAX_BODY_BYTES);
    let options = ServerOptions {
        memory: memory.clone(),
        ..ServerOptions::default()
    };
    let server = server(options).await;
    let body = vec![b' '; BODY_BYTES];
    let mut stalled = send(&server, &request("/take", BODY_BYTES + 1, &body)).await;
    while memory.used_bytes() < BODY_BYTES {
        tokio::time::sleep(std::time::Duration::from_millis(5)).await;
    }
    let mut client = send(&server, &request("/take", BODY_BYTES, &body)).await;
    // Whether the first client counts as stalled already decides which of the two is left out.
    let status = status_line(&mut client).await;
    let retried = if status == "HTTP/1.1 200 OK" {
        status
    } else {
        assert_eq!(status, "HTTP/1.1 503 Service Unavailable");
        loop {
            let mut client = send(&server, &request("/take", BODY_BYTES, &body)).await;
            let status = status_line(&mut client).await;
            if status != "HTTP/1.1 503 Service Unavailable" {
                break status;
            }
            tokio::time::sleep(std::time::Duration::from_millis(50)).await;
        }
    };
    assert_eq!(retried, "HTTP/1.1 200 OK");
    assert_eq!(
        status_line(&mut stalled).await,
        "",
        "the stalled client is closed"
    );
    server.close().await;
}

/// Guards against large bodies that are still being sent and keep memory from an ordinary request.
#[tokio::test]
async fn verify_a_large_body_gives_way_to_a_small_one() {
    let memory = MemoryBudget::new(MAX_BODY_BYTES);
    let options = ServerOptions {
        memory: memory.clone(),
        ..ServerOptions::default()
    };
    let server = server(options).await;
    let body = vec![b' '; MAX_BODY_BYTES - 1];
    let mut large = send(&server, &request("/take", MAX_BODY_BYTES, &body)).await;
    while memory.used_bytes() < MAX_BODY_BYTES {
        tokio::time::sleep(std::time::Duration::from_millis(5)).await;
    }
    let mut small = send(&server, &request("/take", 10, b"0123456789")).await;
    assert_eq!(status_line(&mut small).await, "HTTP/1.1 200 OK");
    assert_eq!(status_line(&mut large).await, "", "the large one is closed");
    server.close().await;
}

/// Guards against idle connections that keep a new client out.
#[tokio::test]
async fn verify_an_idle_connection_gives_way_to_a_new_one() {
    let options = ServerOptions {
        max_connections: 2,
        ..ServerOptions::default()
    };
    let server = server(options).await;
    let idle = [send(&server, b"").await, send(&server, b"POST /take").await];
    for _ in 0..4 {
        let mut client = send(&server, &request("/take", 2, b"{}")).await;
        assert_eq!(status_line(&mut client).await, "HTTP/1.1 200 OK");
    }
    drop(idle);
    server.close().await;
}

/// Guards against a request that was read completely and loses its response to a new connection.
#[tokio::test]
async fn verify_a_request_that_is_processed_keeps_its_connection() {
    let options = ServerOptions {
        max_connections: 1,
        ..ServerOptions::default()
    };
    let server = server(options).await;
    let gated_request = b"GET /gated HTTP/1.1\r\nhost: x\r\n\r\n";
    let mut processed = send(&server, gated_request).await;
    let entered = ENTERED.acquire().await;
    entered.expect("the handler is reached").forget();
    let mut waiting = send(&server, gated_request).await;
    // Lets the server look for a connection to close several times.
    tokio::time::sleep(std::time::Duration::from_millis(100)).await;
    GATE.add_permits(2);
    assert_eq!(status_line(&mut processed).await, "HTTP/1.1 200 OK");
    assert_eq!(status_line(&mut waiting).await, "HTTP/1.1 200 OK");
    server.close().await;
}
