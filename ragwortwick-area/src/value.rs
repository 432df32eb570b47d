//! What work is worth at a moment, for the order in which it is placed.

use ragwortwick_core::{DurationMs, TimeMs};

use crate::coordinator::Coordinator;
use crate::job::CORES_PER_ACCELERATOR;
use crate::job_state::{JobState, StepState, TaskState};

/// Past this many times the objective a job is worth nothing more.
const LATE_LIMIT: f64 = 3.0;

/// Share of the worth of what has missed even that; it is still owed to its caller.
const HOPELESS_SHARE: f64 = 0.01;

/// What an accelerator counts for in cores, as a float.
#[expect(
    clippy::cast_precision_loss,
    reason = "the figure is a small whole number"
)]
const CORES_PER_ACCELERATOR_AS_FLOAT: f64 = CORES_PER_ACCELERATOR as f64;

/// `OccurrenceValue` is how a job's open occurrence ranks among others.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct OccurrenceValue {
    /// Worth for each accelerator-second that is still to be spent.
    pub(crate) value_density: f64,
    /// Worth of the whole job if it is in time.
    pub(crate) value: f64,
    /// Whether it can still be of any worth to its caller.
    pub(crate) has_value_left: bool,
    /// Whether it can still make its objective.
    pub(crate) can_meet_objective: bool,
}

impl Coordinator {
    /// Ranks one occurrence of a job by worth over the accelerator time that it still needs.
    pub(crate) fn occurrence_value(
        &self,
        now: TimeMs,
        job: &JobState,
        occurrence: usize,
        due_at: TimeMs,
    ) -> OccurrenceValue {
        let terms = self.queue_policy(job);
        let steps = &job.occurrences[occurrence];
        let rest_ms = rest_of_chain_ms(job, steps);
        let objective_ms = terms.objective_ms(job.record.critical_path_ms());
        let ready_at = now + rest_ms;
        let late_at = due_at + objective_ms.scaled(LATE_LIMIT);
        let can_meet_objective = ready_at <= due_at + objective_ms;
        let has_value_left = ready_at <= late_at;
        let weights = &self.limits.weights;
        let share = if can_meet_objective {
            1.0
        } else if has_value_left {
            weights.late_share
        } else {
            HOPELESS_SHARE
        };
        let spent = rest_of_work(job, steps).max(1.0);
        let whole = total_work(job).max(1.0);
        // The worth grows with the whole job's work, at seven tenths of it.
        let mean = self.mean_work(&job.record.queue).unwrap_or(whole);
        let value = weights.of_priority(terms.priority) * (0.3 + 0.7 * whole / mean).min(4.0);
        OccurrenceValue {
            value_density: value * share / spent,
            value,
            has_value_left,
            can_meet_objective,
        }
    }

    /// Worth of a core-second, an accelerator counted in cores: all that came in, over what it takes.
    ///
    /// What is thrown away takes as much room a second time, and other work would have had it.
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

/// Estimated time of the longest chain of steps that are not done.
fn rest_of_chain_ms(job: &JobState, steps: &[StepState]) -> DurationMs {
    let mut ends: Vec<u64> = Vec::with_capacity(steps.len());
    for (spec, step) in job.record.steps.iter().zip(steps) {
        let begin = spec
            .after
            .iter()
            .filter_map(|&earlier| ends.get(earlier as usize))
            .max()
            .copied()
            .unwrap_or(0);
        let own = if step.is_done() {
            0
        } else {
            spec.estimate_ms.0
        };
        ends.push(begin + own);
    }
    DurationMs(ends.into_iter().max().unwrap_or(0))
}

/// Accelerator-seconds that one occurrence still needs; tasks without accelerators count a little.
fn rest_of_work(job: &JobState, steps: &[StepState]) -> f64 {
    job.record
        .steps
        .iter()
        .zip(steps)
        .map(|(spec, step)| {
            let open = step
                .tasks
                .iter()
                .filter(|task| task.state != TaskState::Done)
                .count();
            task_work(spec) * f64::from(u32::try_from(open).unwrap_or(u32::MAX))
        })
        .sum()
}

/// Accelerator-seconds of one whole occurrence.
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
