//! Value of jobs at a point in time, which determines their placement order.

use ragwortwick_core::{DurationMs, TimeMs};

use crate::coordinator::Coordinator;
use crate::job::CORES_PER_ACCELERATOR;
use crate::job_state::{JobState, StepState, TaskState};

/// A job that ends later than this many times its latency objective has no value left.
const MAX_LATENESS_FACTOR: f64 = 3.0;

/// Share of its value by which a job that is later than that still ranks, as the client expects its result.
const TOO_LATE_VALUE_SHARE: f64 = 0.01;

/// Cores that one accelerator counts for, as a float.
#[expect(
    clippy::cast_precision_loss,
    reason = "the figure is a small whole number"
)]
const CORES_PER_ACCELERATOR_AS_FLOAT: f64 = CORES_PER_ACCELERATOR as f64;

/// `OccurrenceValue` is the value by which an occurrence of a job ranks among others.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct OccurrenceValue {
    /// Value per accelerator-second of remaining work.
    pub(crate) value_density: f64,
    /// Value of the whole job if it meets its latency objective.
    pub(crate) value: f64,
    /// Whether its result would still have any value to the client.
    pub(crate) has_value_left: bool,
    /// Whether it can still meet its latency objective.
    pub(crate) can_meet_objective: bool,
    /// Largest factor, in per cent, by which the remaining work may take longer and still meet it.
    pub(crate) max_slowdown_percent: u32,
}

impl Coordinator {
    /// Computes the value and the value density of one occurrence of a job.
    pub(crate) fn occurrence_value(
        &self,
        now: TimeMs,
        job: &JobState,
        occurrence: usize,
        due_at: TimeMs,
    ) -> OccurrenceValue {
        let policy = self.queue_policy(job);
        let steps = &job.occurrences[occurrence];
        let remaining_ms = remaining_critical_path_ms(job, steps);
        let objective_ms = policy.objective_ms(job.record.critical_path_ms());
        let ready_at = now + remaining_ms;
        let value_ends_at = due_at + objective_ms.scaled(MAX_LATENESS_FACTOR);
        let can_meet_objective = ready_at <= due_at + objective_ms;
        let left_ms = (due_at + objective_ms).since(now);
        let max_slowdown_percent = left_ms.0.saturating_mul(100) / remaining_ms.0.max(1);
        let has_value_left = ready_at <= value_ends_at;
        let weights = &self.limits.weights;
        let value_share = if can_meet_objective {
            1.0
        } else if has_value_left {
            weights.late_share
        } else {
            TOO_LATE_VALUE_SHARE
        };
        let remaining = remaining_work(job, steps).max(1.0);
        let total = total_work(job).max(1.0);
        // Three tenths of the value are fixed; seven tenths grow with the whole job's work, relative to the
        // queue's mean.
        let mean = self.mean_work(&job.record.queue).unwrap_or(total);
        let value = weights.of_priority(policy.priority) * (0.3 + 0.7 * total / mean).min(4.0);
        OccurrenceValue {
            value_density: value * value_share / remaining,
            value,
            has_value_left,
            can_meet_objective,
            max_slowdown_percent: u32::try_from(max_slowdown_percent).unwrap_or(u32::MAX),
        }
    }

    /// Mean value of a core-second: total value of the submitted jobs over their total core-seconds.
    ///
    /// Lost work needs the same capacity a second time, which other work could have used.
    pub(crate) fn value_per_core_second(&self) -> f64 {
        let mut value = 0.0;
        let mut work = 0.0;
        for (queue, (sum, count)) in &self.submitted_work {
            let priority = self
                .desired
                .queues
                .get(queue)
                .map_or(0, |q| q.policy.priority);
            value += self.limits.weights.of_priority(priority) * f64::from(*count);
            work += sum * CORES_PER_ACCELERATOR_AS_FLOAT;
        }
        if work > 0.0 { value / work } else { 0.0 }
    }

    fn mean_work(&self, queue: &ragwortwick_core::ClassName) -> Option<f64> {
        let (sum, count) = self.submitted_work.get(queue)?;
        (*count > 0).then(|| sum / f64::from(*count))
    }
}

/// Estimated duration of the critical path of the steps that are not done.
fn remaining_critical_path_ms(job: &JobState, steps: &[StepState]) -> DurationMs {
    let mut end_times_ms: Vec<u64> = Vec::with_capacity(steps.len());
    for (spec, step) in job.record.steps.iter().zip(steps) {
        let start_ms = spec
            .after
            .iter()
            .filter_map(|&number| end_times_ms.get(number as usize))
            .max()
            .copied()
            .unwrap_or(0);
        let duration_ms = if step.is_done() {
            0
        } else {
            spec.estimate_ms.0
        };
        end_times_ms.push(start_ms + duration_ms);
    }
    DurationMs(end_times_ms.into_iter().max().unwrap_or(0))
}

/// Accelerator-seconds that one occurrence still needs; tasks without accelerators count for a small amount.
fn remaining_work(job: &JobState, steps: &[StepState]) -> f64 {
    job.record
        .steps
        .iter()
        .zip(steps)
        .map(|(spec, step)| {
            let unfinished = step
                .tasks
                .iter()
                .filter(|task| task.state != TaskState::Done)
                .count();
            task_work(spec) * f64::from(u32::try_from(unfinished).unwrap_or(u32::MAX))
        })
        .sum()
}

/// Accelerator-seconds of one complete occurrence.
pub(crate) fn total_work(job: &JobState) -> f64 {
    job.record
        .steps
        .iter()
        .map(|spec| task_work(spec) * f64::from(spec.count))
        .sum()
}

#[expect(
    clippy::cast_precision_loss,
    reason = "amounts on one worker are far below what a float holds exactly"
)]
fn task_work(spec: &crate::job::StepSpec) -> f64 {
    let accelerators = spec.need.accelerators as f64 + spec.need.cpu_millis as f64 / 8_000.0;
    accelerators.max(0.05) * spec.estimate_ms.0.max(1) as f64 / 1_000.0
}
