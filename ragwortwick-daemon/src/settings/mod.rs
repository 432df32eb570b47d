//! Settings of the daemon, read from a JSON file and checked whole.

mod check;
mod fields;

use displaydoc::Display;
use ragwortwick_core::{DurationMs, HostName, ZoneName};
use serde::{Deserialize, Serialize};

pub use fields::{FieldKind, SETTINGS_FIELDS, SettingsField};

/// `Settings` is the checked content of the settings file.
///
/// Bounds and defaults of each field stand in `SETTINGS_FIELDS`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of this entry host, as in the platform's host list.
    pub host: HostName,
    /// Availability zone of this entry host.
    pub zone: ZoneName,
    /// ip:port for callers and operators; port 0 takes a free one.
    pub listen: String,
    /// ip:port for other entry hosts; port 0 takes a free one.
    pub peer_listen: String,
    /// ip:port of the platform's store.
    pub store_address: String,
    /// ip:port of the platform's host list.
    pub hosts_address: String,
    /// Largest request body in bytes.
    pub max_body_bytes: usize,
    /// Most open caller connections.
    pub max_connections: usize,
    /// Largest request head in bytes.
    pub max_header_bytes: usize,
    /// Length of each duty's ring of events.
    pub ring_length: usize,
    /// How long a planned stop goes on accepting while the balancer learns of it.
    pub drain_notice_ms: DurationMs,
    /// Time to live of the zone's ownership lease.
    pub owner_lease_ms: DurationMs,
}

/// {path}: {problem}
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub struct SettingsProblem {
    /// Path of the field in the file.
    pub path: String,
    /// What was expected.
    pub problem: String,
}

impl SettingsProblem {
    fn new(path: impl Into<String>, problem: impl Into<String>) -> Self {
        Self {
            path: path.into(),
            problem: problem.into(),
        }
    }
}

impl Settings {
    /// `parse` reads the file's text and fills in the defaults.
    ///
    /// # Errors
    ///
    /// Gives every mistake with its path.
    pub fn parse(text: &str) -> Result<Self, Vec<SettingsProblem>> {
        let value = check::checked(text)?;
        serde_json::from_value(value)
            .map_err(|error| vec![SettingsProblem::new("settings", error.to_string())])
    }
}
