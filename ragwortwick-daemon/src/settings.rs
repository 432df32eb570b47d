//! Settings of the daemon, read from a JSON file and checked whole.

use displaydoc::Display;
use ragwortwick_core::{DurationMs, HostName, ZoneName};
use serde::Deserialize;

/// `Settings` is the checked content of the settings file.
#[derive(Clone, Debug, PartialEq, Deserialize)]
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
    #[serde(default = "default_max_body_bytes")]
    pub max_body_bytes: usize,
    /// Most open caller connections.
    #[serde(default = "default_max_connections")]
    pub max_connections: usize,
    /// Largest request head in bytes.
    #[serde(default = "default_max_header_bytes")]
    pub max_header_bytes: usize,
    /// Length of each duty's ring of events.
    #[serde(default = "default_ring_length")]
    pub ring_length: usize,
    /// How long a planned stop goes on accepting while the balancer learns of it.
    #[serde(default = "default_drain_notice_ms")]
    pub drain_notice_ms: DurationMs,
    /// Time to live of the zone's ownership lease.
    #[serde(default = "default_owner_lease_ms")]
    pub owner_lease_ms: DurationMs,
}

fn default_max_body_bytes() -> usize {
    1 << 20
}

fn default_max_connections() -> usize {
    4_096
}

fn default_max_header_bytes() -> usize {
    16 << 10
}

fn default_ring_length() -> usize {
    4_096
}

fn default_drain_notice_ms() -> DurationMs {
    DurationMs(3_000)
}

fn default_owner_lease_ms() -> DurationMs {
    DurationMs(6_000)
}

/// {path}: {problem}
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub struct SettingsProblem {
    /// Path of the field in the file.
    pub path: String,
    /// What was expected.
    pub problem: String,
}

impl Settings {
    /// `parse` reads the file's text.
    ///
    /// # Errors
    ///
    /// Gives every mistake with its path.
    pub fn parse(text: &str) -> Result<Self, Vec<SettingsProblem>> {
        let mut reader = serde_json::Deserializer::from_str(text);
        serde_path_to_error::deserialize(&mut reader).map_err(|error| {
            let path = error.path().to_string();
            vec![SettingsProblem {
                path,
                problem: error.into_inner().to_string(),
            }]
        })
    }
}
