//! Loads as data: what an installation's workers have, what callers hand in, and what it is worth.

use ragwortwick_area::Resources;
use ragwortwick_core::DurationMs;
use serde::{Deserialize, Serialize};

use crate::faults::Fault;

/// The load that the fixed seeds of the tests are drawn from.
const ACCELERATORS: &str = include_str!("../loads/accelerators.json");

/// `Workload` is one installation and what comes in there.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Workload {
    /// The load pattern, in words.
    pub about: String,
    /// What each worker has.
    pub capacity: Resources,
    /// Speeds of the workers in per cent, dealt out in turn.
    pub speeds_percent: Vec<u32>,
    /// Whether a start from a checkpoint leaves out what was saved.
    ///
    /// The seeds that are kept as regression cases were found without it.
    pub restores: bool,
    /// How long a stop takes.
    pub stop_ms: u64,
    /// Share of all accelerators that each customer is guaranteed.
    pub guaranteed_shares: Vec<f64>,
    /// How long jobs come in.
    pub for_ms: DurationMs,
    /// Share of jobs that are cancelled some time after their acceptance.
    pub cancelled: f64,
    /// Share of runs that fail, of jobs that can be done.
    pub failing: f64,
    /// Share of jobs with a task that crashes each worker that starts it.
    #[serde(default)]
    pub crashing: f64,
    /// Times at which a queue brings more.
    pub bursts: Vec<Burst>,
    /// Troubles that belong to the load, beside those that are drawn.
    pub faults: Vec<Fault>,
    /// The queues.
    pub queues: Vec<QueueWorkload>,
}

/// `Burst` multiplies what a queue brings for a while.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Burst {
    /// Name of the queue.
    pub queue: String,
    /// When it begins.
    pub at_ms: u64,
    /// How long it lasts.
    pub for_ms: u64,
    /// How many times as much comes in.
    pub times: f64,
}

/// `QueueWorkload` is what one queue's jobs look like.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct QueueWorkload {
    /// Name of the queue.
    pub name: String,
    /// Jobs a second.
    pub per_s: f64,
    /// Zero comes first.
    pub priority: u32,
    /// Runs of a task that may fail.
    pub attempts: u32,
    /// The objective is this many times the longest chain of work, and `target_latency_ms` more.
    pub stretch: f64,
    /// Constant part of the objective.
    pub target_latency_ms: DurationMs,
    /// What a job of mean size is worth to its callers within its objective.
    pub weight: f64,
    /// The same up to three times the objective.
    pub late_weight: f64,
    /// What one task takes beside accelerators.
    pub need: TaskDemand,
    /// Accelerators of one task, of which each step draws one figure.
    pub accelerators: Vec<u64>,
    /// Mean number of tasks of a step.
    pub width: f64,
    /// Largest number of tasks of a step.
    pub widest: u32,
    /// Sigma of the log-normal width; zero draws evenly between a fifth and nearly twice the mean.
    pub width_sigma: f64,
    /// Mean duration of a task.
    pub work_ms: f64,
    /// Least and largest factor by which an estimate differs from the true duration.
    pub estimate_factors: [f64; 2],
    /// Sigma of log-normal factors instead of these; zero for none.
    pub estimate_sigma: f64,
    /// Share of steps whose tasks work only together.
    pub gang: f64,
    /// Share of these that want one rack.
    pub same_rack: f64,
    /// Most accelerators of a gang that wants one rack.
    pub most_in_rack: u64,
    /// Share of jobs with a second step that waits for the first.
    pub second_step: f64,
    /// Share of steps that save checkpoints.
    pub saves: f64,
    /// Share of steps that require a label.
    pub labelled: f64,
    /// Share of steps with at most two tasks on a worker.
    pub spread_out: f64,
    /// Share of jobs that repeat at set times.
    pub timed: f64,
    /// Whether its jobs run only where an advisor allows them.
    pub advised: bool,
}

/// `TaskDemand` is what a task takes beside accelerators.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TaskDemand {
    /// Processor time, in thousandths of a core.
    pub cpu_millis: u64,
    /// Memory.
    pub memory_mb: u64,
}

impl Default for Workload {
    fn default() -> Self {
        // A test plays this load, so a file that can't be read is noticed there.
        serde_json::from_str(ACCELERATORS).expect("the load that is built in is well-formed")
    }
}

impl Workload {
    /// `with_arrival_rates` sets how many jobs a second each queue brings, in their order.
    #[must_use]
    pub fn with_arrival_rates(mut self, per_s: &[f64]) -> Self {
        for (queue, &per_s) in self.queues.iter_mut().zip(per_s) {
            queue.per_s = per_s;
        }
        self
    }

    /// `scaled` brings the given multiple of all jobs.
    #[must_use]
    pub fn scaled(mut self, times: f64) -> Self {
        for queue in &mut self.queues {
            queue.per_s *= times;
        }
        self
    }

    /// `with_advisor` lets the middle queue's jobs run only where an advisor allows them.
    #[must_use]
    pub fn with_advisor(mut self) -> Self {
        for queue in self.queues.iter_mut().filter(|queue| queue.priority == 1) {
            queue.advised = true;
        }
        self
    }

    /// How many times as much as usual a queue brings at a moment.
    pub(crate) fn factor_at(&self, queue: &str, at_ms: f64) -> f64 {
        let mut factor = 1.0;
        for burst in self.bursts.iter().filter(|burst| burst.queue == queue) {
            let from = crate::arrivals::as_float(burst.at_ms);
            let span = crate::arrivals::as_float(burst.for_ms);
            if (from..from + span).contains(&at_ms) {
                factor *= burst.times;
            }
        }
        factor
    }
}
