//! Orders to the platform's agents on workers.

use ragwortwick_border::{WorkerOrder, WorkerReply};
use ragwortwick_core::{DurationMs, WorkerName};
use ragwortwick_http::{HttpClient, HttpClientOptions, HttpError};

/// `WorkerClientOptions` sets the bounds of a client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerClientOptions {
    /// Longest wait for an answer; well below the lease of a reservation.
    pub timeout_ms: DurationMs,
    /// Idle connections kept per worker agent.
    pub max_idle_per_host: usize,
}

impl Default for WorkerClientOptions {
    fn default() -> Self {
        Self {
            timeout_ms: DurationMs(1_000),
            max_idle_per_host: 8,
        }
    }
}

/// `WorkerClient` sends orders to workers; clones share connections.
#[derive(Clone, Debug)]
pub struct WorkerClient {
    http: HttpClient,
    timeout_ms: DurationMs,
}

impl WorkerClient {
    /// `open` makes a client; it must be used inside a tokio runtime.
    #[must_use]
    pub fn open(options: &WorkerClientOptions) -> Self {
        let http = HttpClient::new(&HttpClientOptions {
            max_idle_per_host: options.max_idle_per_host,
            ..HttpClientOptions::default()
        });
        Self {
            http,
            timeout_ms: options.timeout_ms,
        }
    }

    /// `order` sends one order to the worker whose agent listens at `address`.
    ///
    /// # Errors
    ///
    /// Fails if there is no whole answer; the order may have been carried out.
    pub async fn order(
        &self,
        address: &str,
        worker: &WorkerName,
        order: &WorkerOrder,
    ) -> Result<WorkerReply, HttpError> {
        let path = format!("/v1/workers/{worker}/orders");
        self.http.post(address, &path, order, self.timeout_ms).await
    }
}
