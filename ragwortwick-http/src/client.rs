//! A JSON client that reports whether a failed request may have reached the server.

use std::io::ErrorKind;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

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
use tokio::sync::Semaphore;
use tokio::time::timeout;

use crate::response_body::{BodyError, LargeResponses, ResponseTimeouts, read_body};

/// `HttpClientOptions` sets the limits of a client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HttpClientOptions {
    /// Longest time to open a connection.
    pub connect_timeout_ms: DurationMs,
    /// Idle connections kept per address.
    pub max_idle_per_host: usize,
    /// Largest response body that is read.
    pub max_body_bytes: usize,
    /// Bytes of a response that a connection holds before they are read; left to the library if none.
    pub max_buffer_bytes: Option<usize>,
    /// Whether a timeout discards all idle connections, for clients of a single server.
    ///
    /// Connections may fall silent together, and each one that is used again costs another timeout.
    pub discards_idle_on_timeout: bool,
}

impl Default for HttpClientOptions {
    fn default() -> Self {
        Self {
            connect_timeout_ms: DurationMs(1_000),
            max_idle_per_host: 60,
            max_body_bytes: 8 << 20,
            max_buffer_bytes: None,
            discards_idle_on_timeout: false,
        }
    }
}

/// `HttpError` is the reason why a request got no usable response.
#[derive(Debug, Display)]
pub enum HttpError {
    /// not sent to {address}: {cause}
    NotSent {
        /// Address of the server.
        address: String,
        /// What failed.
        cause: String,
        /// Whether the connection was refused: the machine is reachable, but no process listens there.
        is_closed: bool,
    },
    /// no whole answer from {address}: {cause}
    NoResponse {
        /// Address of the server.
        address: String,
        /// What failed.
        cause: String,
        /// Whether the server closed the connection; if not, a timeout expired or the body failed.
        is_closed: bool,
    },
    /// {address} answered {status}: {body}
    Status {
        /// Address of the server.
        address: String,
        /// Status code.
        status: u16,
        /// Body as text.
        body: String,
    },
    /// too long an answer from {address}: {cause}
    TooLarge {
        /// Address of the server.
        address: String,
        /// The limit that the body exceeds.
        cause: String,
    },
    /// malformed answer from {address}: {cause}
    Malformed {
        /// Address of the server.
        address: String,
        /// Why the body could not be decoded.
        cause: String,
    },
}

impl std::error::Error for HttpError {}

impl HttpError {
    /// `may_have_arrived` returns whether the server may have processed the request.
    #[must_use]
    pub fn may_have_arrived(&self) -> bool {
        !matches!(self, Self::NotSent { .. })
    }

    /// `is_closed` returns whether the server refused or closed the connection.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        match self {
            Self::NotSent { is_closed, .. } | Self::NoResponse { is_closed, .. } => *is_closed,
            Self::Status { .. } | Self::TooLarge { .. } | Self::Malformed { .. } => false,
        }
    }
}

/// `HttpResponse` is a complete response.
#[derive(Clone, Debug)]
pub struct HttpResponse {
    /// Status code.
    pub status: StatusCode,
    /// Header fields.
    pub headers: http::HeaderMap,
    /// Complete body.
    pub body: Bytes,
}

/// `ConditionalResponse` is the response to a conditional GET.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ConditionalResponse<R> {
    /// The representation with the given entity tag is still current.
    NotModified,
    /// The current representation.
    Modified {
        /// Decoded body.
        value: R,
        /// Its entity tag for the next conditional GET, if the server sends one.
        etag: Option<String>,
    },
}

type PooledClient = Client<HttpConnector, Full<Bytes>>;

/// `Pool` is the pool of idle connections in use.
#[derive(Debug)]
struct Pool {
    client: PooledClient,
    /// Number of pools discarded before this one.
    generation: u64,
}

/// `HttpClient` sends requests over pooled connections; clones share the pool.
#[derive(Clone, Debug)]
pub struct HttpClient {
    options: HttpClientOptions,
    pool: Arc<Mutex<Pool>>,
    large_responses: Option<LargeResponses>,
}

impl HttpClient {
    /// `new` creates a client; it must be used inside a tokio runtime.
    #[must_use]
    pub fn new(options: &HttpClientOptions) -> Self {
        let pool = Pool {
            client: pooled_client(options),
            generation: 0,
        };
        Self {
            options: options.clone(),
            pool: Arc::new(Mutex::new(pool)),
            large_responses: None,
        }
    }

    /// `with_large_responses` returns a client on the same pool that reads at most `max_large` bodies of more than
    /// `small_bytes` at the same time; further ones wait.
    #[must_use]
    pub fn with_large_responses(&self, max_large: usize, small_bytes: usize) -> Self {
        Self {
            large_responses: Some(LargeResponses {
                small_bytes,
                permits: Arc::new(Semaphore::new(max_large)),
            }),
            ..self.clone()
        }
    }

    fn pool(&self) -> MutexGuard<'_, Pool> {
        self.pool.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn current_pool(&self) -> (PooledClient, u64) {
        let pool = self.pool();
        (pool.client.clone(), pool.generation)
    }

    /// Discards the idle connections after a timeout, unless that was done since the request was sent.
    fn record_timeout(&self, generation: u64) {
        let mut pool = self.pool();
        if self.options.discards_idle_on_timeout && pool.generation == generation {
            *pool = Pool {
                client: pooled_client(&self.options),
                generation: generation + 1,
            };
        }
    }

    /// `send` sends one request and reads the complete response within the timeout.
    ///
    /// # Errors
    ///
    /// Fails with `NotSent` if no byte can have reached the server, else with `NoResponse`.
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

    /// `send_with` is `send` with extra header fields, and a timeout for each part of the response.
    ///
    /// # Errors
    ///
    /// As `send`; with `TooLarge` for a body beyond the client's limit.
    pub async fn send_with(
        &self,
        method: Method,
        address: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: Option<Bytes>,
        timeouts: impl Into<ResponseTimeouts>,
    ) -> Result<HttpResponse, HttpError> {
        let mut request = Request::builder()
            .method(method)
            .uri(format!("http://{address}{path}"))
            .header(header::CONTENT_TYPE, mime::APPLICATION_JSON.as_ref());
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        self.exchange(address, request, body.unwrap_or_default(), timeouts.into())
            .await
    }

    async fn exchange(
        &self,
        address: &str,
        request: http::request::Builder,
        body: Bytes,
        timeouts: ResponseTimeouts,
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
        let timed_out = |timeout_ms: DurationMs| {
            no_response(format!("no answer within {timeout_ms} ms"), false)
        };
        let (client, generation) = self.current_pool();
        let exchange = async {
            let response = timeout(timeouts.head_timeout_ms.into(), client.request(request));
            let Ok(response) = response.await else {
                self.record_timeout(generation);
                return Err(timed_out(timeouts.head_timeout_ms));
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
            let body = read_body(
                body,
                self.options.max_body_bytes,
                timeouts.idle_timeout_ms,
                self.large_responses.as_ref(),
            );
            let body = body.await.map_err(|error| match error {
                BodyError::TooLarge(_) => HttpError::TooLarge {
                    address: address.to_owned(),
                    cause: error.to_string(),
                },
                _ => no_response(error.to_string(), false),
            })?;
            Ok(HttpResponse {
                status: head.status,
                headers: head.headers,
                body,
            })
        };
        timeout(timeouts.total_timeout_ms.into(), exchange)
            .await
            .unwrap_or_else(|_| {
                self.record_timeout(generation);
                Err(timed_out(timeouts.total_timeout_ms))
            })
    }

    /// `post` sends a JSON body and decodes the JSON body of a 2xx response.
    ///
    /// # Errors
    ///
    /// As `send`; also `Status` for other status codes and `Malformed` for a body of another type.
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
        let response = self
            .send(Method::POST, address, path, Some(bytes.into()), timeout_ms)
            .await?;
        decode(address, &response)
    }

    /// `get` decodes the JSON body of a 2xx response.
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
        let response = self
            .send(Method::GET, address, path, None, timeout_ms)
            .await?;
        decode(address, &response)
    }

    /// `get_if_modified` decodes a JSON response unless its entity tag is still `known_etag`.
    ///
    /// The tag is the `ETag` of an earlier response; a server without tags sends the body each time.
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
        let response = self
            .exchange(address, request, Bytes::new(), timeout_ms.into())
            .await?;
        if response.status == StatusCode::NOT_MODIFIED {
            return Ok(ConditionalResponse::NotModified);
        }
        let etag = response.headers.get(header::ETAG);
        Ok(ConditionalResponse::Modified {
            value: decode(address, &response)?,
            etag: etag.and_then(|etag| etag.to_str().ok()).map(str::to_owned),
        })
    }
}

fn pooled_client(options: &HttpClientOptions) -> PooledClient {
    let mut connector = HttpConnector::new();
    connector.set_connect_timeout(Some(options.connect_timeout_ms.into()));
    connector.set_nodelay(true);
    let mut builder = Client::builder(TokioExecutor::new());
    builder
        .pool_max_idle_per_host(options.max_idle_per_host)
        // A transparent retry would hide that the first request may have arrived.
        .retry_canceled_requests(false);
    if let Some(bytes) = options.max_buffer_bytes {
        builder.http1_max_buf_size(bytes);
    }
    builder.build(connector)
}

fn decode<R: DeserializeOwned>(address: &str, response: &HttpResponse) -> Result<R, HttpError> {
    if !response.status.is_success() {
        return Err(HttpError::Status {
            address: address.to_owned(),
            status: response.status.as_u16(),
            body: String::from_utf8_lossy(&response.body).into_owned(),
        });
    }
    serde_json::from_slice(&response.body).map_err(|e| HttpError::Malformed {
        address: address.to_owned(),
        cause: e.to_string(),
    })
}

/// Whether the peer closed or refused the connection, by the chain of error sources.
fn is_closed_by_peer(error: &(dyn std::error::Error + 'static)) -> bool {
    let mut next = Some(error);
    while let Some(error) = next {
        let is_incomplete = error
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
        if is_incomplete || is_refused {
            return true;
        }
        next = error.source();
    }
    false
}

/// Joins the chain of error sources, since the outermost error only says that the request failed.
fn describe(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(cause) = source {
        text = format!("{text}: {cause}");
        source = cause.source();
    }
    text
}
