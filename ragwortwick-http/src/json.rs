//! Reading JSON request bodies within limits and building JSON responses.

use bytes::Bytes;
use gotham::handler::IntoResponse;
use gotham::helpers::http::Body;
use gotham::helpers::http::response::create_response;
use gotham::state::{FromState, State, StateData};
use http::{Response, StatusCode};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use ragwortwick_border::Problem;
use ragwortwick_core::DurationMs;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::time::timeout;

/// Default timeout for reading a request body.
pub(crate) const BODY_TIMEOUT_MS: DurationMs = DurationMs(15_000);

/// `BodyTimeout` is the timeout for reading a complete request body.
#[derive(Clone, Copy, Debug, StateData)]
pub(crate) struct BodyTimeout(pub(crate) DurationMs);

/// `RequestError` is an error response that names the invalid field of the request.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestError {
    /// Status code.
    pub status: StatusCode,
    /// Body of the response.
    pub problem: Problem,
}

impl RequestError {
    /// `new` creates an error from the field and what was expected there.
    pub fn new(status: StatusCode, field: impl Into<String>, problem: impl Into<String>) -> Self {
        Self {
            status,
            problem: Problem {
                field: field.into(),
                problem: problem.into(),
            },
        }
    }
}

impl IntoResponse for RequestError {
    fn into_response(self, state: &State) -> Response<Body> {
        json_response(state, self.status, &self.problem)
    }
}

/// `json_response` builds a response with a JSON body.
pub fn json_response<T: Serialize>(state: &State, status: StatusCode, body: &T) -> Response<Body> {
    match serde_json::to_vec(body) {
        Ok(bytes) => create_response(state, status, mime::APPLICATION_JSON, bytes),
        Err(error) => create_response(
            state,
            StatusCode::INTERNAL_SERVER_ERROR,
            mime::TEXT_PLAIN,
            error.to_string(),
        ),
    }
}

/// `read_json` reads the request's body, at most `max_bytes`, and decodes it as `T`.
///
/// # Errors
///
/// Fails with 413 for a body that is too large, 408 for one that is incomplete at the timeout, and 400 with
/// the path of the field for one that can't be decoded as `T`.
pub async fn read_json<T: DeserializeOwned>(
    state: &mut State,
    max_bytes: usize,
) -> Result<T, RequestError> {
    let bytes = read_bytes(state, max_bytes).await?;
    parse(&bytes)
}

/// `read_bytes` reads the request's body, at most `max_bytes`.
///
/// # Errors
///
/// Fails with 413 for a body that is too large, 408 for one that is incomplete at the timeout, and 400 for
/// one that is cut off.
pub async fn read_bytes(state: &mut State, max_bytes: usize) -> Result<Bytes, RequestError> {
    let timeout_ms =
        BodyTimeout::try_borrow_from(state).map_or(BODY_TIMEOUT_MS, |timeout| timeout.0);
    let body = Body::take_from(state);
    let body = Limited::new(body, max_bytes).collect();
    // A client that never completes its body would keep the received part and its connection allocated
    // forever.
    let Ok(body) = timeout(timeout_ms.into(), body).await else {
        let text = format!("expected whole within {timeout_ms} ms");
        return Err(RequestError::new(StatusCode::REQUEST_TIMEOUT, "body", text));
    };
    match body {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(error) if error.is::<LengthLimitError>() => {
            let text = format!("expected at most {max_bytes} bytes");
            Err(RequestError::new(
                StatusCode::PAYLOAD_TOO_LARGE,
                "body",
                text,
            ))
        }
        Err(error) => Err(RequestError::new(
            StatusCode::BAD_REQUEST,
            "body",
            error.to_string(),
        )),
    }
}

fn parse<T: DeserializeOwned>(bytes: &Bytes) -> Result<T, RequestError> {
    let mut deserializer = serde_json::Deserializer::from_slice(bytes);
    let value = serde_path_to_error::deserialize(&mut deserializer).map_err(|error| {
        let path = error.path().to_string();
        // `.` is the path of the root value, `?` that of a position without a known path.
        let has_no_field = matches!(path.as_str(), "." | "?");
        let field = if has_no_field {
            "body".to_owned()
        } else {
            path
        };
        RequestError::new(
            StatusCode::BAD_REQUEST,
            field,
            error.into_inner().to_string(),
        )
    })?;
    deserializer
        .end()
        .map_err(|e| RequestError::new(StatusCode::BAD_REQUEST, "body", e.to_string()))?;
    Ok(value)
}
