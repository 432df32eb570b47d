//! Timeouts for an HTTP response, and reading its body within them.

use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use displaydoc::Display;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use ragwortwick_core::DurationMs;
use tokio::sync::Semaphore;
use tokio::time::timeout;

/// `ResponseTimeouts` bounds each part of a response, so that a large body may take long in total.
///
/// Some responses grow until a client has read them; with a total timeout alone, each retry would time out
/// too. A single duration converts into the timeouts for a response of known size.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResponseTimeouts {
    /// Longest time until the response head is received.
    pub head_timeout_ms: DurationMs,
    /// Longest time without a frame of the body.
    pub idle_timeout_ms: DurationMs,
    /// Longest time until the whole response is received.
    pub total_timeout_ms: DurationMs,
}

impl From<DurationMs> for ResponseTimeouts {
    fn from(total_timeout_ms: DurationMs) -> Self {
        Self {
            head_timeout_ms: total_timeout_ms,
            idle_timeout_ms: total_timeout_ms,
            total_timeout_ms,
        }
    }
}

/// `BodyError` is the reason why a body could not be read completely.
#[derive(Debug, Display)]
pub(crate) enum BodyError {
    /// nothing more came for {0} ms
    IdleTimeout(DurationMs),
    /// longer than {0} bytes
    TooLarge(usize),
    /// {0}
    Read(String),
}

/// `LargeResponses` bounds how many large response bodies are read at the same time; clones share the bound.
#[derive(Clone, Debug)]
pub(crate) struct LargeResponses {
    /// Longest body that is read without a permit.
    pub(crate) small_bytes: usize,
    pub(crate) permits: Arc<Semaphore>,
}

/// Reads a complete body; a large one waits for its turn.
pub(crate) async fn read_body(
    body: Incoming,
    max_bytes: usize,
    idle_timeout_ms: DurationMs,
    large: Option<&LargeResponses>,
) -> Result<Bytes, BodyError> {
    let mut body = Limited::new(body, max_bytes);
    let mut bytes = BytesMut::new();
    let mut permit = None;
    loop {
        let Ok(frame) = timeout(idle_timeout_ms.into(), body.frame()).await else {
            return Err(BodyError::IdleTimeout(idle_timeout_ms));
        };
        let Some(frame) = frame else {
            return Ok(bytes.freeze());
        };
        let frame = frame.map_err(|error| match error.downcast::<LengthLimitError>() {
            Ok(_) => BodyError::TooLarge(max_bytes),
            Err(error) => BodyError::Read(error.to_string()),
        })?;
        // Trailers carry no part of the body.
        if let Ok(data) = frame.into_data() {
            bytes.extend_from_slice(&data);
        }
        let is_small = large.is_none_or(|large| bytes.len() <= large.small_bytes);
        if let Some(large) = large.filter(|_| !is_small && permit.is_none()) {
            permit = large.permits.acquire().await.ok();
        }
    }
}
