//! The entry host process: serves requests and jobs, maintains the table in force and places gangs.

mod app;
mod area;
mod clock;
mod config;
mod daemon;
mod event_loop;
mod http;
mod jobs;
mod keys;
mod logging;
mod metrics;
mod nonce;
mod peers;
mod requests;
mod settings;
mod state_components;
mod status;
mod watches;
mod zone;

pub use app::App;
pub use area::{AreaHost, AreaHostError, AreaSettings};
pub use clock::{Clock, unix_now};
pub use config::ConfigHandle;
pub use daemon::{Daemon, DaemonError};
pub use event_loop::{EventHandler, EventLoop, EventLoopSender, SendError};
pub use jobs::{JobError, JobsHandle};
pub use logging::{flush_log, open_log};
pub use metrics::{MetricDescription, MetricRegistry, Metrics, StateMetrics};
pub use peers::{LocalLoad, PEER_PROTOCOL, PeerClient, PeerError};
pub use requests::{ClaimStore, IdsRefused, RequestLoad, Requests, RequestsHandle, StoreClaims};
pub use settings::{FieldKind, SETTINGS_FIELDS, Settings, SettingsField, SettingsProblem};
pub use status::{fleet_status, host_status};
pub use watches::{Lifecycle, StateWatches};
pub use zone::{
    Claim, Ownership, OwnershipAction, OwnershipEvent, OwnershipGuard, OwnershipState, Tenure,
    ZoneHandle, ZoneStartError,
};
