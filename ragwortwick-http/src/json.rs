//! Reading JSON request bodies within limits and building JSON responses.

use gotham::handler::IntoResponse;
use gotham::helpers::http::Body;
use gotham::helpers::http::response::create_response;
use gotham::state::State;
use http::{HeaderValue, Response, StatusCode, header};
use ragwortwick_border::Problem;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::request_body::read_body;

/// Longest text of an error: clients are shown what is wrong, not all that they sent.
const MAX_TEXT_BYTES: usize = 500;

/// `RequestError` is an error response that names the invalid field of the request.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestError {
    /// Status code.
    pub status: StatusCode,
    /// Body of the response.
    pub problem: Problem,
    /// Seconds after which the client may come back, if the request can be served later.
    pub retry_after_s: Option<u64>,
}

impl RequestError {
    /// `new` creates an error from the field and what was expected there.
    pub fn new(status: StatusCode, field: impl Into<String>, problem: impl Into<String>) -> Self {
        Self {
            status,
            problem: Problem {
                field: shortened(field.into()),
                problem: shortened(problem.into()),
            },
            retry_after_s: None,
        }
    }

    /// `with_retry_after_s` tells the client when to come back.
    #[must_use]
    pub fn with_retry_after_s(self, seconds: u64) -> Self {
        Self {
            retry_after_s: Some(seconds),
            ..self
        }
    }
}

/// Cuts a text that may quote the request.
fn shortened(mut text: String) -> String {
    if text.len() > MAX_TEXT_BYTES {
        let end = (0..=MAX_TEXT_BYTES)
            .rev()
            .find(|&end| text.is_char_boundary(end));
        text.truncate(end.unwrap_or(0));
        text.push_str("...");
        text.shrink_to_fit();
    }
    text
}

impl IntoResponse for RequestError {
    fn into_response(self, state: &State) -> Response<Body> {
        let mut response = json_response(state, self.status, &self.problem);
        if let Some(seconds) = self.retry_after_s {
            let value = HeaderValue::from(seconds);
            response.headers_mut().insert(header::RETRY_AFTER, value);
        }
        response
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
/// Fails with 413 for a body that is too large, 408 for one that is incomplete at the timeout, 503 if no memory is left
/// for it, and 400 with the path of the field for one that can't be decoded as `T`.
pub async fn read_json<T: DeserializeOwned>(
    state: &mut State,
    max_bytes: usize,
) -> Result<T, RequestError> {
    let body = read_body(state, max_bytes).await?;
    parse(&body)
}

fn parse<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, RequestError> {
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
