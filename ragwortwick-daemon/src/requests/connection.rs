//! One HTTP/1 connection to a runner, used for one exchange at a time.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use bytes::Bytes;
use http::{Method, Request, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use ragwortwick_core::{DurationMs, RequestId, TimeMs};
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::Clock;

/// Longest time to open a connection; runners are about a millisecond away.
const CONNECT_TIMEOUT_MS: DurationMs = DurationMs(500);

/// Largest answer of a runner.
const MAX_ANSWER_BYTES: usize = 8 << 20;

/// `ExchangeError` says whether any byte of a request may have arrived.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum ExchangeError {
    /// No byte left.
    NotSent(String),
    /// No byte left, because its time had run out.
    TooLate,
    /// Bytes left and no whole answer came.
    Lost(String),
}

/// `Reply` is a whole HTTP answer.
#[derive(Clone, Debug)]
pub(super) struct Reply {
    pub(super) status: StatusCode,
    pub(super) body: Bytes,
}

/// `Connection` is an open connection; dropping it closes it.
#[derive(Debug)]
pub(super) struct Connection {
    sender: SendRequest<Full<Bytes>>,
    address: String,
    is_idle: Arc<AtomicBool>,
    /// When the other end last answered on it.
    pub(super) proven_at: TimeMs,
    /// The request it carried last; another one with the same id could take a late copy of the
    /// first one's answer for its own.
    pub(super) last_id: Option<RequestId>,
}

impl Connection {
    /// `open` connects; `on_closed` runs if the other end closes the connection while it is idle.
    pub(super) async fn open(
        address: &str,
        now: TimeMs,
        on_closed: impl FnOnce() + Send + 'static,
    ) -> Result<Self, String> {
        let socket = timeout(CONNECT_TIMEOUT_MS.into(), TcpStream::connect(address))
            .await
            .map_err(|_elapsed| format!("no connection within {CONNECT_TIMEOUT_MS} ms"))?
            .map_err(|e| e.to_string())?;
        socket.set_nodelay(true).map_err(|e| e.to_string())?;
        let (sender, driver) = handshake(TokioIo::new(socket))
            .await
            .map_err(|e| e.to_string())?;
        let is_idle = Arc::new(AtomicBool::new(false));
        let was_idle = Arc::clone(&is_idle);
        tokio::spawn(async move {
            // Its error shows in the exchange that is on it.
            drop(driver.await);
            if was_idle.load(Ordering::Acquire) {
                on_closed();
            }
        });
        Ok(Self {
            sender,
            address: address.to_owned(),
            is_idle,
            proven_at: now,
            last_id: None,
        })
    }

    pub(super) fn is_open(&self) -> bool {
        !self.sender.is_closed()
    }

    /// `set_idle` tells whether an end of the connection would be the other end's doing.
    pub(super) fn set_idle(&self, is_idle: bool) {
        self.is_idle.store(is_idle, Ordering::Release);
    }

    /// `exchange` sends one request, if `send_by` has not passed, and reads the whole answer.
    ///
    /// After an error the connection must not be used again: a late answer on it would belong to
    /// this request.
    pub(super) async fn exchange(
        &mut self,
        clock: Clock,
        method: Method,
        path: &str,
        body: Bytes,
        send_by: TimeMs,
    ) -> Result<Reply, ExchangeError> {
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header(header::HOST, &self.address)
            .header(header::CONTENT_TYPE, mime::APPLICATION_JSON.as_ref())
            .body(Full::new(body))
            .map_err(|e| ExchangeError::NotSent(e.to_string()))?;
        let ready = self.sender.ready().await;
        ready.map_err(|e| ExchangeError::NotSent(e.to_string()))?;
        // A process that was frozen wakes up here with work that is long overdue, and another host
        // may have taken over its claim: the deadline ends well before the claim does, so a look at
        // the clock just before the first byte is enough.
        if clock.now() >= send_by {
            return Err(ExchangeError::TooLate);
        }
        let response = self.sender.try_send_request(request).await;
        let response = response.map_err(|mut error| {
            let cause = error.error().to_string();
            if error.take_message().is_some() {
                ExchangeError::NotSent(cause)
            } else {
                ExchangeError::Lost(cause)
            }
        })?;
        let (head, body) = response.into_parts();
        let body = Limited::new(body, MAX_ANSWER_BYTES).collect().await;
        let body = body.map_err(|e| ExchangeError::Lost(e.to_string()))?;
        self.proven_at = clock.now();
        Ok(Reply {
            status: head.status,
            body: body.to_bytes(),
        })
    }
}
