//! Bounds of the installation that the coordinator's decisions depend on.

use ragwortwick_core::DurationMs;

/// `Limits` holds the installation's bounds, from the settings.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// Longest lease that a worker grants to what runs there.
    pub lease_ms: DurationMs,
    /// Longest time that a stop takes on a worker.
    pub stop_ms: DurationMs,
    /// How long the start of a member may lag behind the first of its gang.
    pub gang_wait_ms: DurationMs,
    /// How soon a guaranteed job must have begun.
    pub reclaim_ms: DurationMs,
    /// How many times longer work takes away from its rack.
    pub remote_penalty: f64,
    /// Work between two checkpoints.
    pub checkpoint_ms: DurationMs,
    /// Time to resume from a checkpoint.
    pub restore_ms: DurationMs,
    /// How long a job's final state can be asked for.
    pub retention_ms: DurationMs,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            lease_ms: DurationMs(10_000),
            stop_ms: DurationMs(200),
            gang_wait_ms: DurationMs(3_000),
            reclaim_ms: DurationMs(2_700),
            remote_penalty: 3.0,
            checkpoint_ms: DurationMs(500),
            restore_ms: DurationMs(100),
            retention_ms: DurationMs(120_000),
        }
    }
}
