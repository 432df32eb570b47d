//! What the HTTP handlers and the peer server can reach.

use std::panic::RefUnwindSafe;
use std::sync::Arc;

use gotham::state::StateData;

use crate::{
    Clock, ConfigHandle, JobsHandle, Metrics, PeerClient, RequestsHandle, Settings, StateWatches,
    ZoneHandle,
};

/// `App` joins the handles of all duties; clones are cheap.
#[derive(Clone, Debug, StateData)]
pub struct App {
    /// The process's settings.
    pub settings: Arc<Settings>,
    /// The process's clock.
    pub clock: Clock,
    /// The process's metrics.
    pub metrics: Metrics,
    /// Latest facts.
    pub watches: StateWatches,
    /// Calls to other entry hosts.
    pub peers: PeerClient,
    /// Short requests.
    pub requests: RequestsHandle,
    /// Accepted jobs.
    pub jobs: JobsHandle,
    /// The operators' table.
    pub config: ConfigHandle,
    /// The zone that this host may own.
    pub zone: ZoneHandle,
}

// gotham asks for this mark since it catches panics; ours end the process, so nothing is seen
// half-changed.
impl RefUnwindSafe for App {}
