//! Settings of an area's entry host, read from a JSON file.

use ragwortwick_area::{CustomerWeights, Limits, Weights};
use ragwortwick_core::{DurationMs, HostName, ZoneName};
use serde::Deserialize;

/// Largest share of a caller's time for which a call may wait: the rest is for another host.
const MAX_HOLD_SHARE: f64 = 0.5;

/// `AreaSettings` is the content of the settings file of an area's entry host.
///
/// Unknown fields are ignored, because the platform adds some from time to time.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct AreaSettings {
    /// Name of this entry host.
    pub host: HostName,
    /// Availability zone of this entry host.
    pub zone: ZoneName,
    /// ip:port of the job API for clients.
    pub listen: String,
    /// ip:port of the readiness probe for the load balancer.
    pub ready_listen: String,
    /// ip:port of the metrics; without it they are not served.
    #[serde(default)]
    pub metrics_listen: Option<String>,
    /// ip:port of the platform's store.
    pub store_address: String,
    /// ip:port of the advisor, which names the workers that may run a step; without it no queue may require
    /// advice.
    #[serde(default)]
    pub advice_address: Option<String>,
    /// Memory of this host, in megabytes.
    #[serde(default = "default_memory_mb")]
    pub memory_mb: f64,
    /// Descriptors that the process may open.
    #[serde(default = "default_max_fds")]
    pub max_fds: u64,
    /// Largest value that the store takes.
    #[serde(default = "default_value_bytes")]
    pub store_value_bytes: usize,
    /// CPU of this host, in cores.
    #[serde(default = "whole_core")]
    pub cpu_share: f64,
    /// Time that a planned stop may take before the process is killed, in seconds.
    pub stop_grace_s: f64,
    /// Longest lease that a worker grants to its runs.
    pub worker_lease_ms: DurationMs,
    /// Longest time that a worker takes to stop a run.
    pub worker_stop_ms: DurationMs,
    /// Longest delay between the start of a gang's first member and that of any other.
    pub gang_wait_ms: DurationMs,
    /// Time within which a job inside its customer's guaranteed share must have started.
    pub reclaim_ms: DurationMs,
    /// Time after the evacuation of a zone from which no run may start there.
    #[serde(default = "default_evacuate_ms")]
    pub evacuate_ms: DurationMs,
    /// Factor by which work takes longer on a rack other than its own.
    pub remote_penalty: f64,
    /// Interval between two checkpoints, in seconds of work.
    pub checkpoint_s: f64,
    /// Time to resume from a checkpoint.
    pub restore_ms: DurationMs,
    /// How long a job's final state stays available after its end, in seconds.
    pub retention_s: f64,
    /// Whether work is placed by its expected finish on workers that are known to differ in speed.
    #[serde(default)]
    pub places_by_speed: bool,
    /// Share of its caller's time for which a call waits while the store is away, from 0 to 0.5.
    #[serde(default)]
    pub hold_share: f64,
    /// Whether jobs are refused that would be of no use to their callers by the time they end.
    #[serde(default)]
    pub sheds_load: bool,
    /// Whether customers share the capacity that no guarantee covers while queues are short of it.
    #[serde(default)]
    pub shares_fairly: bool,
    /// The customers' weights for that; one that is not named has weight 1.
    #[serde(default)]
    pub customer_weights: CustomerWeights,
    /// Weights of a job's value, for the order of placement and for preemption.
    #[serde(default)]
    pub weights: Weights,
}

impl AreaSettings {
    /// `parse` reads the settings from the file's text.
    ///
    /// # Errors
    ///
    /// Fails with the first invalid value and its path.
    pub fn parse(text: &str) -> Result<Self, String> {
        let mut reader = serde_json::Deserializer::from_str(text);
        let settings: Self =
            serde_path_to_error::deserialize(&mut reader).map_err(|error| error.to_string())?;
        if !(0.0..=MAX_HOLD_SHARE).contains(&settings.hold_share) {
            return Err(format!(
                "hold_share: expected a number from 0 to {MAX_HOLD_SHARE}"
            ));
        }
        if !(settings.memory_mb.is_finite() && settings.memory_mb > 0.0) {
            return Err("memory_mb: expected a number above 0".to_owned());
        }
        let is_weight = |weight: &f64| weight.is_finite() && *weight > 0.0;
        if !settings.customer_weights.values().all(is_weight) {
            return Err("customer_weights: expected numbers above 0".to_owned());
        }
        match settings.weights.validation_error() {
            Some(problem) => Err(problem.to_owned()),
            None => Ok(settings),
        }
    }

    /// `limits` returns the limits that scheduling decisions depend on.
    #[must_use]
    pub fn limits(&self) -> Limits {
        Limits {
            lease_ms: self.worker_lease_ms,
            stop_ms: self.worker_stop_ms,
            gang_wait_ms: self.gang_wait_ms,
            reclaim_ms: self.reclaim_ms,
            evacuate_ms: self.evacuate_ms,
            remote_penalty: self.remote_penalty,
            checkpoint_ms: seconds_to_ms(self.checkpoint_s),
            restore_ms: self.restore_ms,
            retention_ms: seconds_to_ms(self.retention_s),
            places_by_speed: self.places_by_speed,
            sheds_load: self.sheds_load,
            shares_fairly: self.shares_fairly,
            customer_weights: self.customer_weights.clone(),
            weights: self.weights.clone(),
        }
    }
}

fn default_evacuate_ms() -> DurationMs {
    Limits::default().evacuate_ms
}

fn default_memory_mb() -> f64 {
    256.0
}

fn default_max_fds() -> u64 {
    4_096
}

fn default_value_bytes() -> usize {
    1 << 20
}

fn whole_core() -> f64 {
    1.0
}

/// Converts seconds to whole milliseconds.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a negative span counts as none, and spans are hours at most"
)]
pub(super) fn seconds_to_ms(seconds: f64) -> DurationMs {
    DurationMs((seconds.max(0.0) * 1_000.0) as u64)
}
