//! One h2 connection to a peer, opened on demand and dropped once it is found silent.

use std::sync::atomic::{AtomicU64, Ordering};

use bytes::Bytes;
use h2::client::SendRequest;
use http::{Method, Request, StatusCode};
use ragwortwick_border::{PeerCall, PeerReply};
use ragwortwick_core::DurationMs;
use tokio::net::TcpStream;
use tokio::sync::Mutex;
use tokio::time::timeout;

use super::PeerError;
use super::codec::{call_path, decode, encode, read_body};

/// Longest time to open a connection; peers are about a millisecond away, so more means no path.
const CONNECT_TIMEOUT_MS: DurationMs = DurationMs(500);

/// `PeerLink` keeps one connection to one address.
#[derive(Debug)]
pub(super) struct PeerLink {
    address: String,
    open: Mutex<Option<Open>>,
    generation: AtomicU64,
}

#[derive(Clone, Debug)]
struct Open {
    sender: SendRequest<Bytes>,
    generation: u64,
}

impl PeerLink {
    pub(super) fn new(address: String) -> Self {
        Self {
            address,
            open: Mutex::new(None),
            generation: AtomicU64::new(0),
        }
    }

    pub(super) fn address(&self) -> &str {
        &self.address
    }

    /// `call` sends one call and waits for its reply.
    pub(super) async fn call(
        &self,
        call: &PeerCall,
        timeout_ms: DurationMs,
    ) -> Result<PeerReply, PeerError> {
        let body = encode(call).map_err(PeerError::NotSent)?;
        let open = self.open().await?;
        let mut is_sent = false;
        let exchange = exchange(open.sender.clone(), body, &mut is_sent);
        let result = timeout(timeout_ms.into(), exchange).await;
        match result {
            Ok(Ok(reply)) => Ok(reply),
            Ok(Err(error)) => {
                self.drop_generation(open.generation).await;
                Err(error)
            }
            // Other calls may still be answered on this connection; the heartbeat decides.
            Err(_elapsed) if is_sent => Err(PeerError::NoAnswer(format!(
                "no reply within {timeout_ms} ms"
            ))),
            Err(_elapsed) => Err(PeerError::NotSent(format!(
                "not sent within {timeout_ms} ms"
            ))),
        }
    }

    /// `reset` drops the connection, so that the next call opens another.
    pub(super) async fn reset(&self) {
        *self.open.lock().await = None;
    }

    async fn open(&self) -> Result<Open, PeerError> {
        let mut slot = self.open.lock().await;
        if let Some(open) = slot.as_ref() {
            return Ok(open.clone());
        }
        let connect = connect(&self.address);
        let sender = timeout(CONNECT_TIMEOUT_MS.into(), connect)
            .await
            .map_err(|_elapsed| {
                PeerError::NotSent(format!("no connection within {CONNECT_TIMEOUT_MS} ms"))
            })?
            .map_err(PeerError::NotSent)?;
        let open = Open {
            sender,
            generation: self.generation.fetch_add(1, Ordering::Relaxed),
        };
        *slot = Some(open.clone());
        Ok(open)
    }

    async fn drop_generation(&self, generation: u64) {
        let mut slot = self.open.lock().await;
        if slot.as_ref().is_some_and(|o| o.generation == generation) {
            *slot = None;
        }
    }
}

async fn connect(address: &str) -> Result<SendRequest<Bytes>, String> {
    let socket = TcpStream::connect(address)
        .await
        .map_err(|e| e.to_string())?;
    socket.set_nodelay(true).map_err(|e| e.to_string())?;
    let (sender, connection) = h2::client::handshake(socket)
        .await
        .map_err(|e| e.to_string())?;
    // Its end shows in the calls that are on it.
    tokio::spawn(async move { drop(connection.await) });
    Ok(sender)
}

async fn exchange(
    sender: SendRequest<Bytes>,
    body: Bytes,
    is_sent: &mut bool,
) -> Result<PeerReply, PeerError> {
    let not_sent = |e: h2::Error| PeerError::NotSent(e.to_string());
    let mut sender = sender.ready().await.map_err(not_sent)?;
    let request = Request::builder()
        .method(Method::POST)
        .uri(format!("http://peer{}", call_path()))
        .body(())
        .map_err(|e| PeerError::NotSent(e.to_string()))?;
    let (response, mut stream) = sender.send_request(request, false).map_err(not_sent)?;
    *is_sent = true;
    stream.send_data(body, true).map_err(|e| no_answer(&e))?;
    let response = response.await.map_err(|e| no_answer(&e))?;
    if response.status() != StatusCode::OK {
        let text = format!("the peer answered {}", response.status());
        return Err(PeerError::NotSent(text));
    }
    let body = read_body(response.into_body())
        .await
        .map_err(PeerError::NoAnswer)?;
    decode(&body).map_err(PeerError::NoAnswer)
}

fn no_answer(error: &h2::Error) -> PeerError {
    // The peer promises with this code that it did not look at the call.
    if error.reason() == Some(h2::Reason::REFUSED_STREAM) {
        return PeerError::NotSent(error.to_string());
    }
    PeerError::NoAnswer(error.to_string())
}
