//! Settings of an entry host on the users' platform, read from a JSON file.

use ragwortwick_area::{Limits, Weights};
use ragwortwick_core::{DurationMs, HostName, ZoneName};
use serde::Deserialize;

/// `AreaSettings` is the content of the settings file of an area's entry host.
///
/// Fields that it does not know are left alone: the platform adds some from time to time.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct AreaSettings {
    /// Name of this entry host.
    pub host: HostName,
    /// Availability zone of this entry host.
    pub zone: ZoneName,
    /// ip:port for callers.
    pub listen: String,
    /// ip:port of the balancer's question whether this host is ready.
    pub ready_listen: String,
    /// ip:port of the metrics; without one they are not served.
    #[serde(default)]
    pub metrics_listen: Option<String>,
    /// ip:port of the platform's store.
    pub store_address: String,
    /// ip:port of the advisor on which workers may run what; without one no queue may need it.
    #[serde(default)]
    pub advice_address: Option<String>,
    /// Share of a core that this host has.
    #[serde(default = "whole_core")]
    pub cpu_share: f64,
    /// How long a planned stop may take before the process is killed, in seconds.
    pub stop_grace_s: f64,
    /// Longest lease that a worker grants to what runs there.
    pub worker_lease_ms: DurationMs,
    /// Longest time that a stop takes on a worker.
    pub worker_stop_ms: DurationMs,
    /// How long the start of a member may lag behind the first of its gang.
    pub gang_wait_ms: DurationMs,
    /// How soon a guaranteed job must have begun.
    pub reclaim_ms: DurationMs,
    /// How many times longer work takes away from its rack.
    pub remote_penalty: f64,
    /// Work between two checkpoints, in seconds.
    pub checkpoint_s: f64,
    /// Time to resume from a checkpoint.
    pub restore_ms: DurationMs,
    /// How long a job's final state can be asked for, in seconds.
    pub retention_s: f64,
    /// What work is worth, for the order in which it is placed and for what others are stopped.
    #[serde(default)]
    pub weights: Weights,
}

impl AreaSettings {
    /// `parse` reads the file's text.
    ///
    /// # Errors
    ///
    /// Fails with the first mistake and its path.
    pub fn parse(text: &str) -> Result<Self, String> {
        let mut reader = serde_json::Deserializer::from_str(text);
        let settings: Self =
            serde_path_to_error::deserialize(&mut reader).map_err(|error| error.to_string())?;
        match settings.weights.validation_error() {
            Some(problem) => Err(problem.to_owned()),
            None => Ok(settings),
        }
    }

    /// `limits` are the bounds that decisions depend on.
    #[must_use]
    pub fn limits(&self) -> Limits {
        Limits {
            lease_ms: self.worker_lease_ms,
            stop_ms: self.worker_stop_ms,
            gang_wait_ms: self.gang_wait_ms,
            reclaim_ms: self.reclaim_ms,
            remote_penalty: self.remote_penalty,
            checkpoint_ms: seconds_to_ms(self.checkpoint_s),
            restore_ms: self.restore_ms,
            retention_ms: seconds_to_ms(self.retention_s),
            weights: self.weights.clone(),
        }
    }
}

fn whole_core() -> f64 {
    1.0
}

/// Whole milliseconds of a span in seconds.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a negative span counts as none, and spans are hours at most"
)]
pub(super) fn seconds_to_ms(seconds: f64) -> DurationMs {
    DurationMs((seconds.max(0.0) * 1_000.0) as u64)
}
