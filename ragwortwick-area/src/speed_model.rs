//! Estimates the speed of workers from the durations of all runs together.
//!
//! The load: many short steps on workers of different speed, with estimates that are wrong by a factor. Tasks of
//! a step are alike, so their durations tell the speeds of their workers relative to each other, and only that. A
//! step whose tasks all ran on slow workers looks like a long step, unless these workers are known from other
//! steps. The model therefore explains each duration by its step and its worker at once.

use std::collections::BTreeMap;

use ragwortwick_core::{DurationMs, TimeMs, WorkerName};

use crate::job::{StepId, TaskId};
use crate::speed::SpeedEstimate;

/// Variance of the logarithm of a gang member's duration on a worker of known speed. All members do equal work.
const MEMBER_VARIANCE: f64 = 0.003;

/// The same for an independent task; tasks of a step differ.
const TASK_VARIANCE: f64 = 0.12;

/// Standard deviation of an observed share of progress, in per cent, due to rounding.
const PERCENT_DEVIATION: f64 = 0.6;

/// Smallest share of progress, in per cent, from which a duration is estimated.
const MIN_PERCENT: u32 = 8;

/// Shortest duration that is compared: a shorter one consists largely of the time for start and report.
const MIN_DURATION_MS: DurationMs = DurationMs(500);

/// Minimum time between two solutions; each visits all observations.
const SOLVE_INTERVAL_MS: DurationMs = DurationMs(250);

/// Passes over all observations in one solution; each begins with the results of the last.
const SOLVE_PASSES: usize = 3;

/// Age of an observation, relative to newer ones of the same worker, at which it counts for a third.
const MEMORY_MS: DurationMs = DurationMs(15_000);

/// Time after which the observations are replaced by the estimates that they led to.
const EPOCH_MS: DurationMs = DurationMs(20_000);

/// Number of observations for each worker from which the same happens earlier.
const MAX_OBSERVATIONS_PER_WORKER: usize = 24;

/// Factor by which an estimate of an earlier epoch or an earlier coordinator is less certain.
const EPOCH_VARIANCE_FACTOR: f64 = 2.0;

/// Smallest variance of such an estimate.
const MIN_PRIOR_VARIANCE: f64 = 0.005;

/// Number of standard deviations from which an observation counts for less, as it may be due to a passing fault.
const OUTLIER_DEVIATIONS: f64 = 2.5;

/// Share of the workers, in per cent, that must be known to differ before the speeds in an area count as uneven.
const UNEVEN_FROM_PERCENT: usize = 10;

/// Share of the workers, in per cent, below which they count as even again.
const UNEVEN_UNTIL_PERCENT: usize = 5;

/// Smallest difference, as the logarithm of the duration ratio, of a worker that counts as different.
const UNEVEN_LOG_RATIO: f64 = 0.15;

/// Number of standard deviations by which such a worker has to differ.
const UNEVEN_DEVIATIONS: f64 = 2.5;

/// Difference of the logarithm from which an estimate counts as changed since it was recorded.
const RECORDED_LOG_DIFFERENCE: f64 = 0.1;

/// Share of the workers, in per cent, above which changed estimates are recorded again.
const RECORDED_PERCENT: usize = 1;

/// Logarithm of the duration ratio beyond which a difference is taken for a fault.
const FAULT_LOG_RATIO: f64 = 0.7;

/// `ObservedDuration` is how long a run takes in all, by what was seen of it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum ObservedDuration {
    /// Extrapolated from its progress.
    Progress {
        /// Time that the observed share took.
        span_ms: DurationMs,
        /// Observed share in per cent.
        percent: u32,
    },
    /// It was done at most this long after its start.
    AtMost(DurationMs),
    /// The whole run was observed.
    Whole(DurationMs),
}

impl ObservedDuration {
    /// Logarithm of the whole duration and the variance of its measurement; none if too little was seen.
    fn log_duration(self) -> Option<(f64, f64)> {
        let (total_s, variance) = match self {
            Self::Progress { percent, .. } if percent < MIN_PERCENT => return None,
            Self::Progress { span_ms, percent } => {
                let deviation = PERCENT_DEVIATION / f64::from(percent);
                let total_s = span_ms.as_secs_f64() * 100.0 / f64::from(percent);
                (total_s, deviation * deviation)
            }
            Self::AtMost(total_ms) | Self::Whole(total_ms) => (total_ms.as_secs_f64(), 0.0),
        };
        (total_s >= MIN_DURATION_MS.as_secs_f64()).then(|| (total_s.ln(), variance))
    }
}

/// `Observation` is the duration of one run.
#[derive(Clone, Copy, Debug)]
struct Observation {
    /// Index of the worker.
    worker: usize,
    /// Index of the task and number of the run.
    run: (u32, u32),
    log_duration: f64,
    variance: f64,
    /// Whether the run may have taken less time.
    is_upper_bound: bool,
    observed_at: TimeMs,
}

/// `WorkerSpeed` is what is known of one worker.
#[derive(Clone, Copy, Debug)]
struct WorkerSpeed {
    /// Estimate before the present epoch.
    prior: SpeedEstimate,
    estimate: SpeedEstimate,
    /// Logarithm in the last record.
    recorded_log_ratio: f64,
    observed_at: TimeMs,
}

/// `SpeedModel` estimates the speeds of the workers of an area.
#[derive(Debug, Default)]
pub(crate) struct SpeedModel {
    indexes: BTreeMap<WorkerName, usize>,
    speeds: Vec<WorkerSpeed>,
    /// Observations of the present epoch, by step.
    steps: BTreeMap<StepId, Vec<Observation>>,
    observations: usize,
    epoch_began_at: TimeMs,
    solved_at: TimeMs,
    has_new_observations: bool,
    is_uneven: bool,
}

impl SpeedModel {
    /// Returns the estimated speed of a worker.
    pub(crate) fn speed_of(&self, worker: &WorkerName) -> SpeedEstimate {
        let index = self.indexes.get(worker);
        index.map_or(SpeedEstimate::UNKNOWN, |&index| self.speeds[index].estimate)
    }

    /// Whether workers are known to differ in speed, other than by passing faults.
    pub(crate) fn is_uneven(&self) -> bool {
        self.is_uneven
    }

    /// Whether the estimates have changed enough to be recorded again; those of now count as recorded then.
    pub(crate) fn take_change(&mut self) -> bool {
        let is_changed = |speed: &WorkerSpeed| {
            (speed.estimate.log_ratio - speed.recorded_log_ratio).abs() >= RECORDED_LOG_DIFFERENCE
        };
        let changed = self.speeds.iter().filter(|speed| is_changed(speed)).count();
        if changed * 100 <= self.speeds.len() * RECORDED_PERCENT {
            return false;
        }
        for speed in &mut self.speeds {
            speed.recorded_log_ratio = speed.estimate.log_ratio;
        }
        true
    }

    /// Returns the workers of which something is known.
    pub(crate) fn known(&self) -> impl Iterator<Item = (&WorkerName, SpeedEstimate)> {
        let speeds = self.indexes.iter();
        let speeds = speeds.map(|(worker, &index)| (worker, self.speeds[index].estimate));
        speeds.filter(|(_, speed)| speed.variance < SpeedEstimate::UNKNOWN.variance)
    }

    /// Begins with an estimate of an earlier coordinator.
    pub(crate) fn restore(&mut self, worker: &WorkerName, estimate: SpeedEstimate) {
        let index = self.index_of(worker);
        let prior = weakened(estimate);
        self.speeds[index].prior = prior;
        self.speeds[index].estimate = prior;
        self.update_unevenness();
    }

    /// Records what was seen of a run; a later observation of the same run replaces an earlier one.
    pub(crate) fn observe(
        &mut self,
        now: TimeMs,
        worker: &WorkerName,
        task: &TaskId,
        run: u32,
        is_gang: bool,
        observed: ObservedDuration,
    ) {
        let Some((log_duration, measured_variance)) = observed.log_duration() else {
            return;
        };
        let worker = self.index_of(worker);
        let variance = if is_gang {
            MEMBER_VARIANCE
        } else {
            TASK_VARIANCE
        };
        let observation = Observation {
            worker,
            run: (task.index, run),
            log_duration,
            variance: variance + measured_variance,
            is_upper_bound: matches!(observed, ObservedDuration::AtMost(_)),
            observed_at: now,
        };
        let step = self.steps.entry(task.step_id()).or_default();
        let earlier = step.iter_mut().find(|other| other.run == observation.run);
        match earlier {
            Some(earlier)
                if observation.is_upper_bound
                    && (!earlier.is_upper_bound
                        || earlier.log_duration <= observation.log_duration) => {}
            Some(earlier) => *earlier = observation,
            None => {
                step.push(observation);
                self.observations += 1;
            }
        }
        self.speeds[worker].observed_at = now;
        self.has_new_observations = true;
    }

    /// Forgets a worker that is gone.
    pub(crate) fn forget(&mut self, worker: &WorkerName) {
        if self.indexes.remove(worker).is_some() {
            // Indexes stay valid until the next epoch.
            self.has_new_observations = true;
        }
    }

    /// Updates the estimates, if there is something new and the last update is long enough ago.
    pub(crate) fn update(&mut self, now: TimeMs) {
        if !self.has_new_observations || now.since(self.solved_at) < SOLVE_INTERVAL_MS {
            return;
        }
        self.solved_at = now;
        self.has_new_observations = false;
        for _ in 0..SOLVE_PASSES {
            self.solve_once();
        }
        let is_full = self.observations > MAX_OBSERVATIONS_PER_WORKER * self.speeds.len();
        if is_full || now.since(self.epoch_began_at) >= EPOCH_MS {
            self.begin_epoch(now);
        }
        self.update_unevenness();
    }

    fn index_of(&mut self, worker: &WorkerName) -> usize {
        if let Some(&index) = self.indexes.get(worker) {
            return index;
        }
        let index = self.speeds.len();
        self.indexes.insert(worker.clone(), index);
        self.speeds.push(WorkerSpeed {
            prior: SpeedEstimate::UNKNOWN,
            estimate: SpeedEstimate::UNKNOWN,
            recorded_log_ratio: SpeedEstimate::UNKNOWN.log_ratio,
            observed_at: TimeMs(0),
        });
        index
    }

    /// Improves all estimates once, each given the others.
    fn solve_once(&mut self) {
        let mut evidence = vec![(0.0, 0.0); self.speeds.len()];
        for step in self.steps.values() {
            self.add_evidence(step, &mut evidence);
        }
        for (speed, (sum, weight)) in self.speeds.iter_mut().zip(evidence) {
            let prior_weight = 1.0 / speed.prior.variance;
            let total = prior_weight + weight;
            speed.estimate = SpeedEstimate {
                log_ratio: (speed.prior.log_ratio * prior_weight + sum) / total,
                variance: 1.0 / total,
            };
        }
    }

    /// Adds what the durations of one step tell of each worker: a weighted sum of logarithms, and the weight.
    fn add_evidence(&self, step: &[Observation], evidence: &mut [(f64, f64)]) {
        let terms = step.iter().map(|observation| {
            let speed = self.speeds[observation.worker].estimate;
            let weight = 1.0 / (observation.variance + speed.variance);
            let normal = observation.log_duration - speed.log_ratio;
            // A bound tells nothing of the step: how far it is from the duration is unknown.
            if observation.is_upper_bound {
                (0.0, normal)
            } else {
                (weight, normal)
            }
        });
        let terms: Vec<(f64, f64)> = terms.collect();
        let total: f64 = terms.iter().map(|(weight, _)| weight).sum();
        let sum: f64 = terms.iter().map(|(weight, normal)| weight * normal).sum();
        for (observation, (own_weight, own_normal)) in step.iter().zip(terms) {
            let others = total - own_weight;
            if others <= f64::EPSILON {
                continue;
            }
            let effect = (sum - own_weight * own_normal) / others;
            let sample = observation.log_duration - effect;
            let speed = &self.speeds[observation.worker];
            let residual = sample - speed.estimate.log_ratio;
            if observation.is_upper_bound && residual >= 0.0 {
                continue;
            }
            let noise = observation.variance + 1.0 / others;
            let spread = (noise + speed.estimate.variance).sqrt();
            let robustness = (OUTLIER_DEVIATIONS * spread / residual.abs().max(1e-9)).min(1.0);
            let age_ms = speed.observed_at.since(observation.observed_at);
            let recency = (-age_ms.as_secs_f64() / MEMORY_MS.as_secs_f64()).exp();
            let weight = robustness * recency / noise;
            let (sum, total) = &mut evidence[observation.worker];
            *sum += weight * sample;
            *total += weight;
        }
    }

    /// Replaces the observations by the estimates that they led to.
    fn begin_epoch(&mut self, now: TimeMs) {
        self.epoch_began_at = now;
        self.steps.clear();
        self.observations = 0;
        let speeds = std::mem::take(&mut self.speeds);
        for index in self.indexes.values_mut() {
            let mut speed = speeds[*index];
            speed.prior = weakened(speed.estimate);
            speed.estimate = speed.prior;
            *index = self.speeds.len();
            self.speeds.push(speed);
        }
    }

    fn update_unevenness(&mut self) {
        let different = self.indexes.values().filter(|&&index| {
            let SpeedEstimate {
                log_ratio,
                variance,
            } = self.speeds[index].estimate;
            let threshold = UNEVEN_LOG_RATIO.max(UNEVEN_DEVIATIONS * variance.sqrt());
            (threshold..FAULT_LOG_RATIO).contains(&log_ratio.abs())
        });
        // Hysteresis keeps the placement from changing with each estimate.
        let percent = if self.is_uneven {
            UNEVEN_UNTIL_PERCENT
        } else {
            UNEVEN_FROM_PERCENT
        };
        self.is_uneven = different.count() * 100 > self.indexes.len() * percent;
    }
}

/// The estimate as a later epoch begins with it: speeds may have changed meanwhile.
fn weakened(estimate: SpeedEstimate) -> SpeedEstimate {
    let variance = estimate.variance * EPOCH_VARIANCE_FACTOR;
    SpeedEstimate {
        variance: variance.clamp(MIN_PRIOR_VARIANCE, SpeedEstimate::UNKNOWN.variance),
        ..estimate
    }
}
