//! Workloads as data: the capacity of the workers, the submitted jobs, and their value.

use ragwortwick_area::Resources;
use ragwortwick_core::DurationMs;
use rand::Rng;
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};

use crate::faults::Fault;

/// Default workload, from which the tests with fixed seeds draw their jobs.
const ACCELERATORS: &str = include_str!("../loads/accelerators.json");

/// `Workload` describes one installation and the jobs submitted to it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Workload {
    /// Description of the workload.
    #[serde(rename = "about")]
    pub description: String,
    /// Capacity of each worker.
    pub capacity: Resources,
    /// Speeds of the workers in per cent, assigned round-robin.
    pub speeds_percent: Vec<u32>,
    /// Rate of the workers' clocks, in per cent of the true rate.
    #[serde(default = "default_worker_clock_percent")]
    pub worker_clock_percent: u64,
    /// Number of run ends that a worker lists in one reply at most; the rest follows once these are acknowledged.
    #[serde(default = "default_ends_per_report")]
    pub ends_per_report: usize,
    /// What the platform leaves open about its workers.
    #[serde(default)]
    pub worker_behavior: WorkerBehavior,
    /// Policies of the coordinator and the hosts that are on.
    #[serde(default)]
    pub policies: Policies,
    /// Whether workers that crash restart under their identity, so that they accept the orders of before.
    #[serde(default)]
    pub restarts_in_place: bool,
    /// Whether a start from a checkpoint skips the work that was saved.
    ///
    /// The seeds kept as regression tests were found with this disabled.
    #[serde(rename = "restores")]
    pub restores_checkpoints: bool,
    /// Time from a stop order to the end of the run.
    pub stop_ms: u64,
    /// Share of all accelerators that each customer is guaranteed.
    pub guaranteed_shares: Vec<f64>,
    /// Period in which jobs are submitted.
    #[serde(rename = "for_ms")]
    pub duration_ms: DurationMs,
    /// Share of jobs that are cancelled some time after their acceptance.
    #[serde(rename = "cancelled")]
    pub cancelled_share: f64,
    /// Time after its acceptance in which such a job is cancelled.
    #[serde(default = "default_cancelled_within_ms")]
    pub cancelled_within_ms: DurationMs,
    /// Share of orders that arrive late while orders are late.
    #[serde(rename = "late_orders", default = "default_late_order_share")]
    pub late_order_share: f64,
    /// Share of polls that arrive late while orders are late.
    #[serde(rename = "late_polls", default)]
    pub late_poll_share: f64,
    /// Share of runs that fail, among jobs that can complete.
    #[serde(rename = "failing")]
    pub failing_share: f64,
    /// Share of jobs with a task that crashes each worker that starts it.
    #[serde(rename = "crashing", default)]
    pub crashing_share: f64,
    /// Periods with a higher arrival rate.
    pub bursts: Vec<Burst>,
    /// Faults that are part of the workload, in addition to drawn ones.
    pub faults: Vec<Fault>,
    /// The queues.
    pub queues: Vec<QueueWorkload>,
}

/// `Burst` multiplies the arrival rate of a queue for a period.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Burst {
    /// Name of the queue.
    pub queue: String,
    /// When it begins.
    pub at_ms: u64,
    /// How long it lasts.
    #[serde(rename = "for_ms")]
    pub duration_ms: u64,
    /// Factor on the arrival rate.
    #[serde(rename = "times")]
    pub rate_factor: f64,
}

/// `WorkerBehavior` is what the platform's rules leave open about workers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each flag is one independent choice"
)]
pub struct WorkerBehavior {
    /// Whether a start order past its own deadline is accepted while the worker's lease goes on.
    pub accepts_overdue_starts: bool,
    /// Whether a run that is being stopped is no longer listed as running.
    pub omits_stopping_runs: bool,
    /// Whether a gang member that waits for the others is not listed as running.
    pub omits_waiting_members: bool,
    /// Whether the reply to a poll lists the runs as of the poll's arrival.
    pub lists_runs_at_arrival: bool,
}

impl WorkerBehavior {
    /// `draw` draws the choices of one simulation.
    #[must_use]
    pub fn draw(seed: u64) -> Self {
        let mut rng = Pcg64Mcg::new(u128::from(seed) << 8 | 0xb7);
        Self {
            accepts_overdue_starts: rng.random_bool(0.5),
            omits_stopping_runs: false,
            omits_waiting_members: false,
            lists_runs_at_arrival: rng.random_bool(0.5),
        }
    }
}

/// `Policies` are the policies of a deployment that are on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Policies {
    /// Whether work is placed by its expected finish on workers that are known to differ in speed.
    pub places_by_speed: bool,
    /// Whether hosts refuse jobs that would be of no use by the time they end.
    pub sheds_load: bool,
    /// Whether customers share the capacity that no guarantee covers while queues are short of it.
    pub shares_fairly: bool,
}

/// `QueueWorkload` describes the arrival rate and the jobs of one queue.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct QueueWorkload {
    /// Name of the queue.
    pub name: String,
    /// Arrival rate in jobs per second.
    #[serde(rename = "per_s")]
    pub arrivals_per_s: f64,
    /// Priority; 0 is the highest.
    pub priority: u32,
    /// Number of failed runs of a task after which its job fails.
    pub attempts: u32,
    /// Factor on the critical path in the latency objective, to which `target_latency_ms` is added.
    pub stretch: f64,
    /// Constant part of the latency objective.
    pub target_latency_ms: DurationMs,
    /// Value of a job of mean size that meets its objective.
    pub weight: f64,
    /// Value of one that completes within three times its objective.
    pub late_weight: f64,
    /// Demand of one task besides accelerators.
    pub need: TaskDemand,
    /// Numbers of accelerators per task, of which each step draws one.
    pub accelerators: Vec<u64>,
    /// Mean number of tasks of a step.
    #[serde(rename = "width")]
    pub mean_width: f64,
    /// Largest number of tasks of a step.
    #[serde(rename = "widest")]
    pub max_width: u32,
    /// Sigma of the log-normal width; zero draws uniformly between 0.2 and 1.9 times the mean.
    pub width_sigma: f64,
    /// Mean duration of a task.
    #[serde(rename = "work_ms")]
    pub mean_work_ms: f64,
    /// Range of the ratio of an estimate to the true duration.
    pub estimate_factors: [f64; 2],
    /// Sigma of a log-normal ratio, used instead of the range; zero to use the range.
    pub estimate_sigma: f64,
    /// Share of steps whose tasks form a gang.
    #[serde(rename = "gang")]
    pub gang_share: f64,
    /// Share of gangs that prefer a single rack.
    #[serde(rename = "same_rack")]
    pub same_rack_share: f64,
    /// Largest number of accelerators of a gang that prefers a single rack.
    #[serde(rename = "most_in_rack")]
    pub max_in_rack: u64,
    /// Share of jobs with a second step that waits for the first.
    #[serde(rename = "second_step")]
    pub second_step_share: f64,
    /// Share of steps that save checkpoints.
    #[serde(rename = "saves")]
    pub checkpointing_share: f64,
    /// Share of steps that require a label.
    #[serde(rename = "labelled")]
    pub labelled_share: f64,
    /// Share of steps limited to two tasks per worker.
    #[serde(rename = "spread_out")]
    pub spread_share: f64,
    /// Share of jobs that repeat on a schedule.
    #[serde(rename = "timed")]
    pub scheduled_share: f64,
    /// Whether its jobs run only where an advisor allows them.
    #[serde(rename = "advised")]
    pub needs_advice: bool,
}

/// `TaskDemand` is the demand of a task besides accelerators.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TaskDemand {
    /// Processor time, in thousandths of a core.
    pub cpu_millis: u64,
    /// Memory.
    pub memory_mb: u64,
}

fn default_worker_clock_percent() -> u64 {
    99
}

/// The platform's limit.
fn default_ends_per_report() -> usize {
    500
}

fn default_cancelled_within_ms() -> DurationMs {
    DurationMs(6_000)
}

fn default_late_order_share() -> f64 {
    0.15
}

impl Default for Workload {
    fn default() -> Self {
        // A test runs this workload, and would fail if the file were malformed.
        serde_json::from_str(ACCELERATORS).expect("the built-in workload is well-formed")
    }
}

impl Workload {
    /// `with_arrival_rates` sets the arrival rates of the queues, in order.
    #[must_use]
    pub fn with_arrival_rates(mut self, rates_per_s: &[f64]) -> Self {
        for (queue, &per_s) in self.queues.iter_mut().zip(rates_per_s) {
            queue.arrivals_per_s = per_s;
        }
        self
    }

    /// `scaled` multiplies all arrival rates.
    #[must_use]
    pub fn scaled(mut self, factor: f64) -> Self {
        for queue in &mut self.queues {
            queue.arrivals_per_s *= factor;
        }
        self
    }

    /// `with_stop_ms` sets the time from a stop order to the end of the run.
    #[must_use]
    pub fn with_stop_ms(mut self, stop_ms: u64) -> Self {
        self.stop_ms = stop_ms;
        self
    }

    /// `with_worker_behavior` sets what the platform leaves open about its workers.
    #[must_use]
    pub fn with_worker_behavior(mut self, behavior: WorkerBehavior) -> Self {
        self.worker_behavior = behavior;
        self
    }

    /// `with_ends_per_report` sets the number of run ends that a worker lists in one reply at most.
    #[must_use]
    pub fn with_ends_per_report(mut self, ends: usize) -> Self {
        self.ends_per_report = ends;
        self
    }

    /// `with_advisor` makes the queue of priority 1 run jobs only where an advisor allows them.
    #[must_use]
    pub fn with_advisor(mut self) -> Self {
        for queue in self.queues.iter_mut().filter(|queue| queue.priority == 1) {
            queue.needs_advice = true;
        }
        self
    }

    /// Returns the factor on a queue's arrival rate at the given time.
    pub(crate) fn rate_factor_at(&self, queue: &str, at_ms: f64) -> f64 {
        let mut factor = 1.0;
        for burst in self.bursts.iter().filter(|burst| burst.queue == queue) {
            let start = crate::arrivals::as_float(burst.at_ms);
            let span = crate::arrivals::as_float(burst.duration_ms);
            if (start..start + span).contains(&at_ms) {
                factor *= burst.rate_factor;
            }
        }
        factor
    }
}
