//! Clients that send what they like over raw connections and stay.

use std::time::Duration;

use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::JoinSet;

/// Time after which a client that can't send any more gives up sending; it keeps its connection open.
const SEND_LIMIT: Duration = Duration::from_secs(10);

/// Connections that are opened together, fewer than a listen queue holds.
const OPENED_TOGETHER: usize = 100;

/// `Crowd` is a number of clients whose connections stay open until it is dropped.
#[derive(Debug)]
pub struct Crowd {
    connections: Vec<TcpStream>,
}

impl Crowd {
    /// Opens the connections, and sends on each as much of its request as the host takes.
    pub async fn press(address: &str, clients: usize, request: impl Fn(usize) -> Vec<u8>) -> Self {
        let mut connections = Vec::new();
        for first in (0..clients).step_by(OPENED_TOGETHER) {
            let mut sending = JoinSet::new();
            for number in first..clients.min(first + OPENED_TOGETHER) {
                let (address, request) = (address.to_owned(), request(number));
                sending.spawn(async move { send_and_stay(&address, &request).await });
            }
            connections.extend(sending.join_all().await.into_iter().flatten());
        }
        Self { connections }
    }

    /// As `press`, with all requests sent at the same time.
    pub async fn press_together(
        address: &str,
        clients: usize,
        request: impl Fn(usize) -> Vec<u8>,
    ) -> Self {
        let mut sending = JoinSet::new();
        for number in 0..clients {
            let (address, request) = (address.to_owned(), request(number));
            sending.spawn(async move { send_and_stay(&address, &request).await });
        }
        let connections = sending.join_all().await.into_iter().flatten().collect();
        Self { connections }
    }

    /// Waits until each client has a response or its connection is closed; returns the statuses.
    pub async fn statuses(self) -> Vec<u16> {
        let mut reading = JoinSet::new();
        for connection in self.connections {
            reading.spawn(read_status(connection));
        }
        reading.join_all().await.into_iter().flatten().collect()
    }
}

/// A connection that the host closes or refuses is what the client provoked.
async fn send_and_stay(address: &str, request: &[u8]) -> Option<TcpStream> {
    let mut connection = TcpStream::connect(address).await.ok()?;
    drop(tokio::time::timeout(SEND_LIMIT, connection.write_all(request)).await);
    Some(connection)
}

async fn read_status(mut connection: TcpStream) -> Option<u16> {
    let mut head = Vec::new();
    let mut part = [0; 1_024];
    while !head.windows(4).any(|end| end == b"\r\n\r\n") {
        let read = connection.read(&mut part).await.ok()?;
        if read == 0 {
            return None;
        }
        head.extend_from_slice(&part[..read]);
    }
    let text = String::from_utf8_lossy(&head);
    text.split_whitespace().nth(1)?.parse().ok()
}

/// Sends one request and returns the status of its response.
pub async fn exchange(address: &str, request: &[u8]) -> Option<u16> {
    let mut connection = TcpStream::connect(address).await.ok()?;
    connection.write_all(request).await.ok()?;
    read_status(connection).await
}

/// A request head with the key of the test customer and further header lines.
pub fn request_head(method: &str, path: &str, headers: &str) -> Vec<u8> {
    format!(
        "{method} {path} HTTP/1.1\r\nhost: jobs.example\r\nauthorization: Token key-1\r\n\
         x-deadline-ms: 3000\r\n{headers}\r\n"
    )
    .into_bytes()
}

/// A submission whose length is announced.
pub fn sized_request(id: &str, body: &[u8]) -> Vec<u8> {
    let length = format!("content-length: {}\r\n", body.len());
    let mut request = request_head("POST", &format!("/work/{id}"), &length);
    request.extend_from_slice(body);
    request
}

/// A submission in chunks of the given size.
pub fn chunked_request(id: &str, body: &[u8], chunk_bytes: usize) -> Vec<u8> {
    let chunked = "transfer-encoding: chunked\r\n";
    let mut request = request_head("POST", &format!("/work/{id}"), chunked);
    for chunk in body.chunks(chunk_bytes) {
        request.extend_from_slice(format!("{:x}\r\n", chunk.len()).as_bytes());
        request.extend_from_slice(chunk);
        request.extend_from_slice(b"\r\n");
    }
    request.extend_from_slice(b"0\r\n\r\n");
    request
}

/// A valid job whose payload fills its body.
pub fn large_job(body_bytes: usize) -> Value {
    let job = |payload: &str| json!({"Spec": payload, "Steps": [{"Count": 1, "Cpu": 1000, "MemMb": 1000, "EstimateMs": 50}]});
    let rest = job("").to_string().len();
    job(&"x".repeat(body_bytes - rest))
}

/// A valid job whose body is a list of numbers, which take more memory decoded than as text.
pub fn list_job(body_bytes: usize) -> Value {
    let job = |earlier: usize| {
        let after = vec![0; earlier];
        json!({"Spec": "", "Steps": [{"Count": 1, "EstimateMs": 50}, {"Count": 1, "After": after}]})
    };
    let rest = job(1).to_string().len();
    // One digit and a comma for each number.
    job(1 + (body_bytes - rest) / 2)
}
