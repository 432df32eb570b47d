//! Limits on the wait for an answer, and the reading of its body within them.

use bytes::{Bytes, BytesMut};
use displaydoc::Display;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use ragwortwick_core::DurationMs;
use tokio::time::timeout;

/// `AnswerLimits` bounds the wait for an answer by its parts, so that a long one may flow for long.
///
/// Where an answer grows until somebody has read it, a limit on its whole time alone makes each further
/// try fail as well. A span of time converts into the limits of an answer whose size is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AnswerLimits {
    /// Longest wait for the head.
    pub head_ms: DurationMs,
    /// Longest pause between two parts of the body.
    pub pause_ms: DurationMs,
    /// Longest time until the answer is whole.
    pub whole_ms: DurationMs,
}

impl From<DurationMs> for AnswerLimits {
    fn from(whole_ms: DurationMs) -> Self {
        Self {
            head_ms: whole_ms,
            pause_ms: whole_ms,
            whole_ms,
        }
    }
}

/// `BodyFailure` says why a body is not whole.
#[derive(Debug, Display)]
pub(crate) enum BodyFailure {
    /// nothing more came for {0} ms
    Silent(DurationMs),
    /// longer than {0} bytes
    TooLong(usize),
    /// {0}
    Broken(String),
}

/// Reads a body to its end.
pub(crate) async fn read_body(
    body: Incoming,
    max_bytes: usize,
    pause_ms: DurationMs,
) -> Result<Bytes, BodyFailure> {
    let mut body = Limited::new(body, max_bytes);
    let mut bytes = BytesMut::new();
    loop {
        let Ok(frame) = timeout(pause_ms.into(), body.frame()).await else {
            return Err(BodyFailure::Silent(pause_ms));
        };
        let Some(frame) = frame else {
            return Ok(bytes.freeze());
        };
        let frame = frame.map_err(|error| match error.downcast::<LengthLimitError>() {
            Ok(_) => BodyFailure::TooLong(max_bytes),
            Err(error) => BodyFailure::Broken(error.to_string()),
        })?;
        // Trailers carry nothing of the answer itself.
        if let Ok(data) = frame.into_data() {
            bytes.extend_from_slice(&data);
        }
    }
}
