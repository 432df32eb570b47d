//! Reads request bodies into memory that is reserved from the server's budget.

use std::ops::Deref;
use std::sync::Arc;

use gotham::helpers::http::Body;
use gotham::state::{FromState, State, StateData};
use http::StatusCode;
use http_body_util::BodyExt;
use hyper::body::Body as _;
use ragwortwick_core::DurationMs;
use tokio::time::timeout;

use crate::connections::{Connection, ConnectionTable, increment};
use crate::json::RequestError;
use crate::memory_budget::{MemoryBudget, MemoryReservation};

/// Default timeout for reading a request body.
pub(crate) const BODY_TIMEOUT_MS: DurationMs = DurationMs(15_000);

/// Smallest buffer for a body.
const MIN_BUFFER_BYTES: usize = 1 << 10;

/// Time after which a client whose request found no memory may come back.
const MEMORY_RETRY_AFTER_S: u64 = 1;

/// `RequestContext` is what a request uses of its server.
#[derive(Clone, Debug, StateData)]
pub(crate) struct RequestContext {
    pub(crate) connection: Arc<Connection>,
    pub(crate) connections: ConnectionTable,
    pub(crate) memory: MemoryBudget,
    /// Timeout for reading a complete body.
    pub(crate) body_timeout_ms: DurationMs,
}

impl RequestContext {
    /// Changes a reservation, if need be at the cost of bodies that other clients have not completed.
    async fn resize(
        &self,
        reservation: &mut MemoryReservation,
        bytes: usize,
    ) -> Result<(), RequestError> {
        loop {
            let released = self.memory.released();
            if reservation.try_resize(bytes) {
                return Ok(());
            }
            if !self.connections.evict_for_memory(&self.connection, bytes) {
                increment(&self.connections.counts().requests_without_memory);
                return Err(no_memory());
            }
            released.await;
        }
    }
}

fn no_memory() -> RequestError {
    let problem = "no memory is left for the request";
    RequestError::new(StatusCode::SERVICE_UNAVAILABLE, "body", problem)
        .with_retry_after_s(MEMORY_RETRY_AFTER_S)
}

/// `RequestBody` is a complete request body; its memory stays reserved until it is dropped.
#[derive(Debug)]
pub struct RequestBody {
    bytes: Vec<u8>,
    memory: MemoryReservation,
    context: RequestContext,
}

impl Deref for RequestBody {
    type Target = [u8];

    fn deref(&self) -> &[u8] {
        &self.bytes
    }
}

impl RequestBody {
    /// `into_reservation` drops the body and reserves what the request holds from now on.
    ///
    /// # Errors
    ///
    /// Fails with 503 if no memory is left for it.
    pub async fn into_reservation(self, bytes: usize) -> Result<MemoryReservation, RequestError> {
        let Self {
            bytes: body,
            mut memory,
            context,
        } = self;
        drop(body);
        context.resize(&mut memory, bytes).await?;
        Ok(memory)
    }
}

/// `read_body` reads the request's body, at most `max_bytes`.
///
/// # Errors
///
/// Fails with 413 for a body that is too large, 408 for one that is incomplete at the timeout, 400 for one that is cut
/// off, and 503 if no memory is left for it.
///
/// # Panics
///
/// Panics if the request was not received by a `Server`.
pub async fn read_body(state: &mut State, max_bytes: usize) -> Result<RequestBody, RequestError> {
    let context = RequestContext::borrow_from(state).clone();
    let body = Body::take_from(state);
    let timeout_ms = context.body_timeout_ms;
    // A client that never completes its body would keep the received part and its connection allocated
    // forever.
    let read = timeout(timeout_ms.into(), collect(&context, body, max_bytes)).await;
    context.connection.set_body_bytes(0);
    let Ok(read) = read else {
        let text = format!("expected whole within {timeout_ms} ms");
        return Err(RequestError::new(StatusCode::REQUEST_TIMEOUT, "body", text));
    };
    let (bytes, memory) = read?;
    if !context.connection.begin_processing() {
        return Err(no_memory());
    }
    Ok(RequestBody {
        bytes,
        memory,
        context,
    })
}

/// Copies the frames of a body into one buffer: a frame may be a byte, and takes more memory than its content.
async fn collect(
    context: &RequestContext,
    mut body: Body,
    max_bytes: usize,
) -> Result<(Vec<u8>, MemoryReservation), RequestError> {
    let announced_bytes = body.size_hint().exact();
    let announced_bytes = announced_bytes.map(|bytes| usize::try_from(bytes).unwrap_or(usize::MAX));
    if announced_bytes.is_some_and(|bytes| bytes > max_bytes) {
        return Err(too_large(max_bytes));
    }
    let expected_bytes = announced_bytes.unwrap_or(max_bytes);
    let mut memory = context.memory.reservation();
    let mut bytes = Vec::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| {
            RequestError::new(StatusCode::BAD_REQUEST, "body", error.to_string())
        })?;
        // Trailers carry no part of the body.
        let Ok(data) = frame.into_data() else {
            continue;
        };
        let needed_bytes = bytes.len() + data.len();
        if needed_bytes > max_bytes {
            return Err(too_large(max_bytes));
        }
        if needed_bytes > bytes.capacity() {
            let capacity = grown_capacity(bytes.capacity(), needed_bytes, expected_bytes);
            context.resize(&mut memory, capacity).await?;
            context.connection.set_body_bytes(capacity);
            bytes.reserve_exact(capacity - bytes.len());
        }
        bytes.extend_from_slice(&data);
    }
    Ok((bytes, memory))
}

/// The next size of a buffer that has to hold `needed_bytes`, and is not expected to hold more than `expected_bytes`.
fn grown_capacity(capacity: usize, needed_bytes: usize, expected_bytes: usize) -> usize {
    let doubled = (capacity * 2).max(MIN_BUFFER_BYTES).min(expected_bytes);
    doubled.max(needed_bytes)
}

fn too_large(max_bytes: usize) -> RequestError {
    let text = format!("expected at most {max_bytes} bytes");
    RequestError::new(StatusCode::PAYLOAD_TOO_LARGE, "body", text)
}
