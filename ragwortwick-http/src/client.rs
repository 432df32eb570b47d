//! A client that sends JSON and says whether a failed request may have reached the other end.

use std::io::ErrorKind;

use bytes::Bytes;
use displaydoc::Display;
use http::{Method, Request, StatusCode, header};
use http_body_util::Full;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use ragwortwick_core::DurationMs;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::time::timeout;

use crate::response_body::{BodyError, ResponseTimeouts, read_body};

/// `HttpClientOptions` sets the bounds of a client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HttpClientOptions {
    /// Longest time to open a connection.
    pub connect_timeout_ms: DurationMs,
    /// Idle connections kept per address.
    pub max_idle_per_host: usize,
    /// Largest answer read.
    pub max_body_bytes: usize,
}

impl Default for HttpClientOptions {
    fn default() -> Self {
        Self {
            connect_timeout_ms: DurationMs(1_000),
            max_idle_per_host: 60,
            max_body_bytes: 8 << 20,
        }
    }
}

/// `HttpError` tells why there is no whole answer.
#[derive(Debug, Display)]
pub enum HttpError {
    /// not sent to {address}: {cause}
    NotSent {
        /// Whom it was meant for.
        address: String,
        /// What failed.
        cause: String,
        /// Whether the other end refused the connection: its machine answers, and nobody listens.
        is_closed: bool,
    },
    /// no whole answer from {address}: {cause}
    NoResponse {
        /// Whom it was sent to.
        address: String,
        /// What failed.
        cause: String,
        /// Whether the other end closed the connection; if not, it was silent for too long.
        is_closed: bool,
    },
    /// {address} answered {status}: {body}
    Status {
        /// Who answered.
        address: String,
        /// Status code.
        status: u16,
        /// Body as text.
        body: String,
    },
    /// too long an answer from {address}: {cause}
    TooLarge {
        /// Who answered.
        address: String,
        /// The bound that it is beyond.
        cause: String,
    },
    /// malformed answer from {address}: {cause}
    Malformed {
        /// Who answered.
        address: String,
        /// What could not be read.
        cause: String,
    },
}

impl std::error::Error for HttpError {}

impl HttpError {
    /// `may_have_arrived` tells whether the other end may have acted on the request.
    #[must_use]
    pub fn may_have_arrived(&self) -> bool {
        !matches!(self, Self::NotSent { .. })
    }

    /// `is_closed` tells whether the other end refused or closed the connection.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        match self {
            Self::NotSent { is_closed, .. } | Self::NoResponse { is_closed, .. } => *is_closed,
            Self::Status { .. } | Self::TooLarge { .. } | Self::Malformed { .. } => false,
        }
    }
}

/// `HttpResponse` is a whole answer.
#[derive(Clone, Debug)]
pub struct HttpResponse {
    /// Status code.
    pub status: StatusCode,
    /// Header fields.
    pub headers: http::HeaderMap,
    /// Body, whole.
    pub body: Bytes,
}

/// `ConditionalResponse` is the answer to a conditional read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ConditionalResponse<R> {
    /// Nothing changed since the answer that the tag names.
    NotModified,
    /// The whole answer.
    Modified {
        /// What was read.
        value: R,
        /// Names this answer in the next read, if the server gives tags.
        etag: Option<String>,
    },
}

/// `HttpClient` sends requests over pooled connections; clones share the pool.
#[derive(Clone, Debug)]
pub struct HttpClient {
    inner: Client<HttpConnector, Full<Bytes>>,
    max_body_bytes: usize,
}

impl HttpClient {
    /// `new` makes a client; it must be used inside a tokio runtime.
    #[must_use]
    pub fn new(options: &HttpClientOptions) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(options.connect_timeout_ms.into()));
        connector.set_nodelay(true);
        let inner = Client::builder(TokioExecutor::new())
            .pool_max_idle_per_host(options.max_idle_per_host)
            // A silent second try would hide from us that the first one may have arrived.
            .retry_canceled_requests(false)
            .build(connector);
        Self {
            inner,
            max_body_bytes: options.max_body_bytes,
        }
    }

    /// `send` sends one request and reads the whole answer within the timeout.
    ///
    /// # Errors
    ///
    /// Fails with `NotSent` if no byte can have arrived, else with `NoResponse`.
    pub async fn send(
        &self,
        method: Method,
        address: &str,
        path: &str,
        body: Option<Bytes>,
        timeout_ms: DurationMs,
    ) -> Result<HttpResponse, HttpError> {
        self.send_with(method, address, path, &[], body, timeout_ms)
            .await
    }

    /// `send_with` is `send` with further header fields, and limits for each part of the answer.
    ///
    /// # Errors
    ///
    /// As `send`; with `TooLarge` for a body beyond the client's bound.
    pub async fn send_with(
        &self,
        method: Method,
        address: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: Option<Bytes>,
        limits: impl Into<ResponseTimeouts>,
    ) -> Result<HttpResponse, HttpError> {
        let mut request = Request::builder()
            .method(method)
            .uri(format!("http://{address}{path}"))
            .header(header::CONTENT_TYPE, mime::APPLICATION_JSON.as_ref());
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        self.exchange(address, request, body.unwrap_or_default(), limits.into())
            .await
    }

    async fn exchange(
        &self,
        address: &str,
        request: http::request::Builder,
        body: Bytes,
        limits: ResponseTimeouts,
    ) -> Result<HttpResponse, HttpError> {
        let request = request
            .body(Full::new(body))
            .map_err(|e| HttpError::NotSent {
                address: address.to_owned(),
                cause: e.to_string(),
                is_closed: false,
            })?;
        let no_response = |cause: String, is_closed: bool| HttpError::NoResponse {
            address: address.to_owned(),
            cause,
            is_closed,
        };
        let late =
            |limit_ms: DurationMs| no_response(format!("no answer within {limit_ms} ms"), false);
        let exchange = async {
            let response = timeout(limits.head_timeout_ms.into(), self.inner.request(request));
            let Ok(response) = response.await else {
                return Err(late(limits.head_timeout_ms));
            };
            let response = response.map_err(|e| {
                if e.is_connect() {
                    HttpError::NotSent {
                        address: address.to_owned(),
                        cause: describe(&e),
                        is_closed: is_closed_by_peer(&e),
                    }
                } else {
                    no_response(describe(&e), is_closed_by_peer(&e))
                }
            })?;
            let (head, body) = response.into_parts();
            let body = read_body(body, self.max_body_bytes, limits.idle_timeout_ms);
            let body = body.await.map_err(|failure| match failure {
                BodyError::TooLarge(_) => HttpError::TooLarge {
                    address: address.to_owned(),
                    cause: failure.to_string(),
                },
                _ => no_response(failure.to_string(), false),
            })?;
            Ok(HttpResponse {
                status: head.status,
                headers: head.headers,
                body,
            })
        };
        timeout(limits.total_timeout_ms.into(), exchange)
            .await
            .unwrap_or_else(|_| Err(late(limits.total_timeout_ms)))
    }

    /// `post` sends a JSON body and reads a JSON answer of status 2xx.
    ///
    /// # Errors
    ///
    /// As `send`; also `Status` for other codes and `Malformed` for a body of another type.
    pub async fn post<Q: Serialize + Sync, R: DeserializeOwned>(
        &self,
        address: &str,
        path: &str,
        body: &Q,
        timeout_ms: DurationMs,
    ) -> Result<R, HttpError> {
        let bytes = serde_json::to_vec(body).map_err(|e| HttpError::NotSent {
            address: address.to_owned(),
            cause: e.to_string(),
            is_closed: false,
        })?;
        let reply = self
            .send(Method::POST, address, path, Some(bytes.into()), timeout_ms)
            .await?;
        decode(address, &reply)
    }

    /// `get` reads a JSON answer of status 2xx.
    ///
    /// # Errors
    ///
    /// As `post`.
    pub async fn get<R: DeserializeOwned>(
        &self,
        address: &str,
        path: &str,
        timeout_ms: DurationMs,
    ) -> Result<R, HttpError> {
        let reply = self
            .send(Method::GET, address, path, None, timeout_ms)
            .await?;
        decode(address, &reply)
    }

    /// `get_if_modified` reads a JSON answer unless it is still the one that `known_etag` names.
    ///
    /// The tag is the `ETag` of an earlier answer; a server without tags sends the whole each time.
    ///
    /// # Errors
    ///
    /// As `post`.
    pub async fn get_if_modified<R: DeserializeOwned>(
        &self,
        address: &str,
        path: &str,
        known_etag: Option<&str>,
        timeout_ms: DurationMs,
    ) -> Result<ConditionalResponse<R>, HttpError> {
        let mut request = Request::builder()
            .method(Method::GET)
            .uri(format!("http://{address}{path}"));
        if let Some(etag) = known_etag {
            request = request.header(header::IF_NONE_MATCH, etag);
        }
        let reply = self
            .exchange(address, request, Bytes::new(), timeout_ms.into())
            .await?;
        if reply.status == StatusCode::NOT_MODIFIED {
            return Ok(ConditionalResponse::NotModified);
        }
        let etag = reply.headers.get(header::ETAG);
        Ok(ConditionalResponse::Modified {
            value: decode(address, &reply)?,
            etag: etag.and_then(|etag| etag.to_str().ok()).map(str::to_owned),
        })
    }
}

fn decode<R: DeserializeOwned>(address: &str, reply: &HttpResponse) -> Result<R, HttpError> {
    if !reply.status.is_success() {
        return Err(HttpError::Status {
            address: address.to_owned(),
            status: reply.status.as_u16(),
            body: String::from_utf8_lossy(&reply.body).into_owned(),
        });
    }
    serde_json::from_slice(&reply.body).map_err(|e| HttpError::Malformed {
        address: address.to_owned(),
        cause: e.to_string(),
    })
}

/// Whether the other end's system closed or refused the connection, by the chain of causes.
fn is_closed_by_peer(error: &(dyn std::error::Error + 'static)) -> bool {
    let mut next = Some(error);
    while let Some(error) = next {
        let is_cut_short = error
            .downcast_ref::<hyper::Error>()
            .is_some_and(|error| error.is_incomplete_message() || error.is_closed());
        let is_refused = error.downcast_ref::<std::io::Error>().is_some_and(|error| {
            matches!(
                error.kind(),
                ErrorKind::ConnectionRefused
                    | ErrorKind::ConnectionReset
                    | ErrorKind::ConnectionAborted
                    | ErrorKind::BrokenPipe
            )
        });
        if is_cut_short || is_refused {
            return true;
        }
        next = error.source();
    }
    false
}

/// The chain of causes, since the outermost one only says that something failed.
fn describe(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(cause) = source {
        text = format!("{text}: {cause}");
        source = cause.source();
    }
    text
}
