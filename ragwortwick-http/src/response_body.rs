//! Limits on the wait for an answer, and the reading of its body within them.

use bytes::{Bytes, BytesMut};
use displaydoc::Display;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use ragwortwick_core::DurationMs;
use tokio::time::timeout;

/// `ResponseTimeouts` bounds the wait for an answer by its parts, so that a long one may flow for long.
///
/// Where an answer grows until somebody has read it, a limit on its whole time alone makes each further
/// try fail as well. A span of time converts into the limits of an answer whose size is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResponseTimeouts {
    /// Longest wait for the head.
    pub head_timeout_ms: DurationMs,
    /// Longest pause between two parts of the body.
    pub idle_timeout_ms: DurationMs,
    /// Longest time until the answer is whole.
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

/// `BodyError` says why a body is not whole.
#[derive(Debug, Display)]
pub(crate) enum BodyError {
    /// nothing more came for {0} ms
    IdleTimeout(DurationMs),
    /// longer than {0} bytes
    TooLarge(usize),
    /// {0}
    Read(String),
}

/// Reads a body to its end.
pub(crate) async fn read_body(
    body: Incoming,
    max_bytes: usize,
    idle_timeout_ms: DurationMs,
) -> Result<Bytes, BodyError> {
    let mut body = Limited::new(body, max_bytes);
    let mut bytes = BytesMut::new();
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
        // Trailers carry nothing of the answer itself.
        if let Ok(data) = frame.into_data() {
            bytes.extend_from_slice(&data);
        }
    }
}
