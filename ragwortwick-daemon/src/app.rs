//! State shared by the HTTP handlers and the peer server.

use std::panic::RefUnwindSafe;
use std::sync::Arc;

use gotham::state::StateData;

use crate::{
    Clock, ConfigHandle, JobsHandle, Metrics, PeerClient, RequestsHandle, Settings, StateWatches,
    ZoneHandle,
};

/// `App` holds the handles of all components; clones are cheap.
#[derive(Clone, Debug, StateData)]
pub struct App {
    /// Settings of the process.
    pub settings: Arc<Settings>,
    /// Clock of the process.
    pub clock: Clock,
    /// Metrics of the process.
    pub metrics: Metrics,
    /// Latest state of table, hosts, store, zone and process.
    pub watches: StateWatches,
    /// Client for calls to other entry hosts.
    pub peers: PeerClient,
    /// Handle to the short requests.
    pub requests: RequestsHandle,
    /// Handle to the accepted jobs.
    pub jobs: JobsHandle,
    /// Handle to the operators' table.
    pub config: ConfigHandle,
    /// Handle to the zone that this host may own.
    pub zone: ZoneHandle,
}

// gotham requires this trait because it catches panics. A panic here aborts the process, so no
// inconsistent state can be observed.
impl RefUnwindSafe for App {}
