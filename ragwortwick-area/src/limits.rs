//! Time limits and value weights, from the settings, that the coordinator's decisions depend on.

use ragwortwick_core::{DurationMs, common};

use crate::fair_share::CustomerWeights;

/// `Limits` holds the limits of the installation, from the settings.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// Longest lease that a worker grants to its runs.
    pub lease_ms: DurationMs,
    /// Longest time that stopping a run takes on a worker.
    pub stop_ms: DurationMs,
    /// Longest time between the start of the first member of a gang and that of any other.
    pub gang_wait_ms: DurationMs,
    /// Time within which a job inside its guarantee must have started.
    pub reclaim_ms: DurationMs,
    /// Time after the evacuation of a zone from which no run may start there.
    pub evacuate_ms: DurationMs,
    /// Factor by which work takes longer on a rack other than its own.
    pub remote_penalty: f64,
    /// Time of work between two checkpoints.
    pub checkpoint_ms: DurationMs,
    /// Time to resume from a checkpoint.
    pub restore_ms: DurationMs,
    /// How long the final state of a job can be queried.
    pub retention_ms: DurationMs,
    /// Whether work is placed by its expected finish on workers that are known to differ in speed.
    pub places_by_speed: bool,
    /// Whether hosts are told of queues that are short of capacity, so that they refuse jobs of no use.
    pub sheds_load: bool,
    /// Whether customers share the capacity that no guarantee covers while queues are short of it.
    pub shares_fairly: bool,
    /// The customers' weights for that.
    pub customer_weights: CustomerWeights,
    /// Weights that set the value of work.
    pub weights: Weights,
}

/// `Weights` sets the value of work to its clients; operators may change it.
#[common(wire)]
#[serde(default, deny_unknown_fields)]
pub struct Weights {
    /// Value of a job of mean size by the queue's priority, from 0; priorities past the end use the last.
    pub by_priority: Vec<f64>,
    /// Share of the value that remains once the latency objective is missed.
    pub late_share: f64,
}

impl Weights {
    /// `validation_error` returns what is wrong with the weights, if anything is.
    #[must_use]
    pub fn validation_error(&self) -> Option<&'static str> {
        let is_weight = |weight: &f64| weight.is_finite() && *weight > 0.0;
        if self.by_priority.is_empty() || !self.by_priority.iter().all(is_weight) {
            return Some("weights.by_priority: expected at least one number above 0");
        }
        let is_share = (0.0..=1.0).contains(&self.late_share);
        (!is_share).then_some("weights.late_share: expected a number from 0 to 1")
    }

    /// `of_priority` is the value of a job of mean size in a queue of the given priority.
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
            // Urgent results have the highest value to the clients that wait for them.
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
            evacuate_ms: DurationMs(5_000),
            remote_penalty: 3.0,
            checkpoint_ms: DurationMs(500),
            restore_ms: DurationMs(100),
            retention_ms: DurationMs(120_000),
            places_by_speed: false,
            sheds_load: false,
            shares_fairly: false,
            customer_weights: CustomerWeights::new(),
            weights: Weights::default(),
        }
    }
}
