//! Asks a runner for its load, to see that it and the connection to it are alive.

use bytes::Bytes;
use http::{Method, StatusCode};
use ragwortwick_border::RunnerLoad;
use ragwortwick_core::{DurationMs, TimeMs};
use tokio::time::timeout;

use super::connection::Connection;
use crate::Clock;

/// Longest wait for a load; a runner answers it without a slot, in about a millisecond.
pub(super) const PROBE_TIMEOUT_MS: DurationMs = DurationMs(500);

/// `ask_load` asks on an open connection; `None` if no whole answer came.
pub(super) async fn ask_load(clock: Clock, connection: &mut Connection) -> Option<RunnerLoad> {
    let never = TimeMs(u64::MAX);
    let exchange = connection.exchange(clock, Method::GET, "/v1/load", Bytes::new(), never);
    let reply = timeout(PROBE_TIMEOUT_MS.into(), exchange)
        .await
        .ok()?
        .ok()?;
    if reply.status != StatusCode::OK {
        return None;
    }
    serde_json::from_slice(&reply.body).ok()
}
