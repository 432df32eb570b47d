//! How fast workers are, by how long alike tasks take there.
//!
//! Answers the load in which urgent gangs have little time to spare while workers differ in speed: a gang
//! is as late as its slowest member. Tasks of one step are alike, so what one takes against the others
//! tells of its worker, however wrong the customer's estimate is.

use ragwortwick_core::{DurationMs, TimeMs, WorkerName};

use crate::allocation::Allocation;
use crate::coordinator::Coordinator;
use crate::job::TaskId;
use crate::progress_tracker::ProgressTracker;

/// Least share of a run, in per cent, that its whole duration is told from.
const LEAST_SEEN_PERCENT: u32 = 25;

/// Least duration that is compared: of a shorter one much is the way there and back.
const LEAST_MS: DurationMs = DurationMs(500);

/// Samples that the assumption of usual speed counts for.
const PRIOR_SAMPLES: f64 = 2.0;

/// Samples after which older ones fade, so that a worker that has turned slow is seen soon.
const MOST_SAMPLES: f64 = 12.0;

/// Logarithm of the factor from which on a worker counts as slow.
const SLOW_LOG: f64 = 0.10;

/// The same for one that is several times slower.
const CRAWLING_LOG: f64 = 0.7;

/// `Speed` is how fast a worker is against others.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Speed {
    /// As fast as most, as far as is known.
    #[default]
    Normal,
    /// Slower than most.
    Slow,
    /// Several times slower.
    VerySlow,
}

/// `SpeedEstimate` sums what alike tasks took on a worker against elsewhere.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct SpeedEstimate {
    /// Sum of the logarithms of the ratios.
    log_sum: f64,
    samples: f64,
}

impl SpeedEstimate {
    fn hear(&mut self, log_ratio: f64) {
        if self.samples >= MOST_SAMPLES {
            let keep = (MOST_SAMPLES - 1.0) / self.samples;
            self.log_sum *= keep;
            self.samples *= keep;
        }
        self.log_sum += log_ratio;
        self.samples += 1.0;
    }

    pub(crate) fn speed(&self) -> Speed {
        let log_ratio = self.log_sum / (self.samples + PRIOR_SAMPLES);
        if log_ratio >= CRAWLING_LOG {
            Speed::VerySlow
        } else if log_ratio >= SLOW_LOG {
            Speed::Slow
        } else {
            Speed::Normal
        }
    }
}

/// `StepDurations` sums what the tasks of a step took.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct StepDurations {
    log_sum: f64,
    count: f64,
}

impl StepDurations {
    /// Takes in a duration; gives the logarithm of its ratio to the others' mean, if there are any.
    #[expect(
        clippy::cast_precision_loss,
        reason = "spans of hours in milliseconds are exact in a float"
    )]
    fn hear(&mut self, duration_ms: DurationMs) -> Option<f64> {
        let log = (duration_ms.0 as f64).ln();
        let ratio = (self.count > 0.0).then(|| log - self.log_sum / self.count);
        self.log_sum += log;
        self.count += 1.0;
        ratio
    }
}

impl ProgressTracker {
    /// The whole duration of the run once enough of it was seen; none a second time.
    fn take_duration(&mut self) -> Option<DurationMs> {
        if self.is_speed_sampled || self.observed_percent() < LEAST_SEEN_PERCENT {
            return None;
        }
        let whole_ms = self.total_ms()?;
        self.is_speed_sampled = true;
        Some(whole_ms)
    }
}

impl Coordinator {
    /// Compares what runs on a worker with its like, once enough of each run was seen.
    pub(crate) fn compare_durations(&mut self, worker_name: &WorkerName) {
        let Some(worker) = self.workers.get_mut(worker_name) else {
            return;
        };
        let held = worker.allocations.iter_mut();
        let durations: Vec<(TaskId, DurationMs)> = held
            .filter_map(|(task, held)| {
                Some((task.clone(), held.tracker.as_mut()?.take_duration()?))
            })
            .collect();
        for (task, duration_ms) in durations {
            self.hear_duration(worker_name, &task, duration_ms);
        }
    }

    /// The same for a run that has ended before enough of it was seen. A member of a gang ends with the
    /// others, so its end tells nothing of its own worker.
    pub(crate) fn compare_final_duration(
        &mut self,
        now: TimeMs,
        worker_name: &WorkerName,
        task: &TaskId,
        held: &Allocation,
    ) {
        let job = self.jobs.get(&task.job_id);
        let spec = job.and_then(|job| job.spec(task.step));
        let is_gang = spec.is_none_or(|spec| spec.is_gang);
        let is_compared = held.tracker.is_some_and(|watch| watch.is_speed_sampled);
        let is_whole = !held.is_resumed && !is_compared && !is_gang;
        if let Some(started_at) = held.started_at.filter(|_| is_whole) {
            self.hear_duration(worker_name, task, now.since(started_at));
        }
    }

    fn hear_duration(&mut self, worker_name: &WorkerName, task: &TaskId, duration_ms: DurationMs) {
        if duration_ms < LEAST_MS {
            return;
        }
        let job = self.jobs.get_mut(&task.job_id);
        let step = job.and_then(|job| job.step_mut(task.occurrence, task.step));
        let log_ratio = step.and_then(|step| step.durations.hear(duration_ms));
        let worker = self.workers.get_mut(worker_name);
        if let (Some(log_ratio), Some(worker)) = (log_ratio, worker) {
            worker.speed.hear(log_ratio);
        }
    }
}
