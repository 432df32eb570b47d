//! Bounds of the installation that the coordinator's decisions depend on.

use ragwortwick_core::{DurationMs, common};

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
    /// What operators say that work is worth.
    pub weights: Weights,
}

/// `Weights` ranks work by what it is worth to its callers; operators may set it.
#[common(wire)]
#[serde(default, deny_unknown_fields)]
pub struct Weights {
    /// Worth of a job of mean size by its queue's priority, 0 first; later priorities count as the last.
    pub by_priority: Vec<f64>,
    /// Share of the worth that is left past the objective.
    pub late_share: f64,
}

impl Weights {
    /// `validation_error` tells what is wrong with the weights, if anything is.
    #[must_use]
    pub fn validation_error(&self) -> Option<&'static str> {
        let is_weight = |weight: &f64| weight.is_finite() && *weight > 0.0;
        if self.by_priority.is_empty() || !self.by_priority.iter().all(is_weight) {
            return Some("weights.by_priority: expected at least one number above 0");
        }
        let is_share = (0.0..=1.0).contains(&self.late_share);
        (!is_share).then_some("weights.late_share: expected a number from 0 to 1")
    }

    /// `of_priority` is the worth of a job of mean size in a queue of the given priority.
    #[must_use]
    pub fn of_priority(&self, priority: u32) -> f64 {
        let last = self.by_priority.last();
        let own = self.by_priority.get(priority as usize);
        own.or(last).copied().unwrap_or(1.0)
    }
}

impl Default for Weights {
    fn default() -> Self {
        Self {
            // Urgent answers are worth most to those who wait for them.
            by_priority: vec![4.0, 3.0, 1.0],
            late_share: 0.4,
        }
    }
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
            weights: Weights::default(),
        }
    }
}
