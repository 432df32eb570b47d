//! A job as its customer declares it: a graph of steps, each of many tasks.

use std::fmt;
use std::sync::Arc;

use ragwortwick_core::{
    ClassName, CustomerName, DurationMs, JobId, LabelName, PoolName, RackName, TimeMs, common,
};
use serde::{Deserialize, Serialize};

/// `Resources` is an amount of what a worker has and a task needs.
#[common(key)]
#[derive(Default, Serialize, Deserialize)]
pub struct Resources {
    /// Processor time, in thousandths of a core.
    pub cpu_millis: u64,
    /// Memory.
    pub memory_mb: u64,
    /// Whole accelerators.
    pub accelerators: u64,
}

impl Resources {
    /// `plus` adds two amounts.
    #[must_use]
    pub fn plus(self, other: Self) -> Self {
        Self {
            cpu_millis: self.cpu_millis + other.cpu_millis,
            memory_mb: self.memory_mb + other.memory_mb,
            accelerators: self.accelerators + other.accelerators,
        }
    }

    /// `saturating_sub` takes away another amount, down to zero.
    #[must_use]
    pub fn saturating_sub(self, other: Self) -> Self {
        Self {
            cpu_millis: self.cpu_millis.saturating_sub(other.cpu_millis),
            memory_mb: self.memory_mb.saturating_sub(other.memory_mb),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }

    /// `component_min` gives the lesser of two amounts, of each resource.
    #[must_use]
    pub fn component_min(self, other: Self) -> Self {
        Self {
            cpu_millis: self.cpu_millis.min(other.cpu_millis),
            memory_mb: self.memory_mb.min(other.memory_mb),
            accelerators: self.accelerators.min(other.accelerators),
        }
    }

    /// `is_zero` tells whether there is none of any resource.
    #[must_use]
    pub fn is_zero(self) -> bool {
        self == Self::default()
    }

    /// `scaled` multiplies the amount.
    #[must_use]
    pub fn scaled(self, count: u64) -> Self {
        Self {
            cpu_millis: self.cpu_millis * count,
            memory_mb: self.memory_mb * count,
            accelerators: self.accelerators * count,
        }
    }

    /// `task_capacity` counts how many tasks of the given need go into this amount.
    #[must_use]
    pub fn task_capacity(self, need: Self) -> u64 {
        let part = |have: u64, want: u64| have.checked_div(want).unwrap_or(u64::MAX);
        part(self.cpu_millis, need.cpu_millis)
            .min(part(self.memory_mb, need.memory_mb))
            .min(part(self.accelerators, need.accelerators))
    }

    /// `core_equivalents` weighs the amount in cores, an accelerator as `CORES_PER_ACCELERATOR`.
    #[must_use]
    pub fn core_equivalents(self) -> u64 {
        self.cpu_millis / 1_000 + self.accelerators * CORES_PER_ACCELERATOR
    }
}

/// What an accelerator counts for in cores when work is weighed.
pub const CORES_PER_ACCELERATOR: u64 = 8;

/// `StepSpec` declares one step: a number of alike tasks.
#[common(wire)]
#[derive(Eq, Default)]
#[serde(default)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each flag is one independent property that the customer declares"
)]
pub struct StepSpec {
    /// Number of tasks.
    pub count: u32,
    /// What one task needs.
    pub need: Resources,
    /// Rough duration of one task, by the customer.
    pub estimate_ms: DurationMs,
    /// Numbers of earlier steps that must be done before.
    pub after: Vec<u32>,
    /// Whether the tasks work only together.
    pub is_gang: bool,
    /// Whether the tasks are slower on more than one rack.
    pub wants_same_rack: bool,
    /// Label that the worker must have.
    pub required_label: Option<LabelName>,
    /// Rack where the step's data is; the tasks are slower elsewhere.
    pub data_rack: Option<RackName>,
    /// Most tasks of one occurrence on a worker.
    pub max_per_worker: Option<u32>,
    /// Whether tasks save checkpoints.
    pub saves_checkpoints: bool,
    /// Whether copies of a task may run in parallel.
    pub may_duplicate: bool,
    /// Whether the tasks run until the job is cancelled.
    pub is_long_running: bool,
    /// Name of what the tasks run; tasks of one image behave alike.
    pub image: Option<Arc<str>>,
    /// Bound of the tail latency that a long-running task gives its own users.
    pub tail_target_ms: Option<DurationMs>,
    /// Whether the tasks use only processor time that others leave unused.
    pub is_filler: bool,
    /// Tasks of a long-running step that may be away at once through our own actions.
    pub may_miss: Option<u32>,
}

impl StepSpec {
    /// `placement_key` is what decides where a task fits, without what differs between alike jobs.
    #[must_use]
    pub(crate) fn placement_key(&self) -> Self {
        Self {
            estimate_ms: DurationMs(0),
            after: Vec::new(),
            count: 0,
            ..self.clone()
        }
    }

    /// `demand` is what one task takes from a worker's capacity.
    #[must_use]
    pub fn demand(&self) -> Resources {
        if self.is_filler {
            // A filler's processor share comes from what others leave unused.
            Resources {
                cpu_millis: 0,
                ..self.need
            }
        } else {
            self.need
        }
    }
}

/// Tells in a few characters what decides where a step's tasks go, for log lines.
impl fmt::Display for StepSpec {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Resources {
            cpu_millis,
            memory_mb,
            accelerators,
        } = self.need;
        write!(
            f,
            "{}x{accelerators}acc/{cpu_millis}m/{memory_mb}MB/{}ms",
            self.count, self.estimate_ms
        )?;
        let flags = [
            (self.is_gang, "gang"),
            (self.wants_same_rack, "rack"),
            (self.saves_checkpoints, "saves"),
            (self.required_label.is_some(), "label"),
            (self.data_rack.is_some(), "data"),
            (self.max_per_worker.is_some(), "apart"),
            (!self.after.is_empty(), "after"),
        ];
        let mut set = flags.iter().filter(|(is_set, _)| *is_set);
        set.try_for_each(|(_, name)| write!(f, "+{name}"))
    }
}

/// `Schedule` repeats a job's steps at set times.
#[common(wire)]
#[derive(Eq)]
pub struct Schedule {
    /// Unix time at which the first occurrence is due.
    pub first_unix_ms: TimeMs,
    /// Time between occurrences.
    pub interval_ms: DurationMs,
    /// Number of occurrences.
    pub occurrences: u32,
}

/// `QueuePolicy` is what a queue promised when a job was accepted.
///
/// A later desired state goes before it; it stands in for a queue that was removed meanwhile.
#[common(wire)]
pub struct QueuePolicy {
    /// Pool of workers that runs the tasks.
    pub pool: PoolName,
    /// Zero comes first and may preempt the others.
    pub priority: u32,
    /// Runs of a task that may fail before the job fails.
    pub attempts: u32,
    /// The objective is this many times the longest chain of work, and `target_latency_ms` more.
    pub stretch: f64,
    /// Constant part of the objective.
    pub target_latency_ms: DurationMs,
    /// How the advisor of the queue's policy answers; none if any worker may run its jobs.
    pub advice: Option<AdvisorTiming>,
}

impl QueuePolicy {
    /// `objective_ms` is the time that a job may take whose longest chain of steps takes `chain_ms`.
    #[must_use]
    pub fn objective_ms(&self, chain_ms: DurationMs) -> DurationMs {
        chain_ms.scaled(self.stretch) + self.target_latency_ms
    }
}

/// `AdvisorTiming` tells how long the advisor takes and how long its tickets hold.
#[common(wire)]
#[derive(Eq)]
pub struct AdvisorTiming {
    /// Constant part of the time of an answer.
    pub answer_ms: DurationMs,
    /// Further time for each worker asked about.
    pub per_worker_ms: DurationMs,
    /// How long a ticket holds.
    pub valid_ms: DurationMs,
}

/// `StepId` names one step of one occurrence of a job.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StepId {
    /// The job.
    pub job_id: JobId,
    /// Occurrence, from 0.
    pub occurrence: u32,
    /// Number of the step, from 0.
    pub step: u32,
}

impl fmt::Display for StepId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}", self.job_id, self.occurrence, self.step)
    }
}

/// `JobRecord` is an accepted job as the store keeps it; it never changes.
#[common(wire)]
pub struct JobRecord {
    /// Id that the caller chose.
    pub job_id: JobId,
    /// Queue that the job was handed in to.
    pub queue: ClassName,
    /// Policy of the queue at acceptance.
    #[serde(rename = "terms")]
    pub policy: QueuePolicy,
    /// Customer whose key the call carried.
    pub customer: CustomerName,
    /// Text that every task gets.
    pub payload: Arc<str>,
    /// Steps in the order of their numbers.
    pub steps: Vec<StepSpec>,
    /// Set times, if the job has any.
    pub schedule: Option<Schedule>,
    /// Unix time of acceptance, by the accepting host's clock.
    pub accepted_unix_ms: TimeMs,
}

impl JobRecord {
    /// `occurrence_count` counts how often the steps run.
    #[must_use]
    pub fn occurrence_count(&self) -> u32 {
        self.schedule
            .as_ref()
            .map_or(1, |schedule| schedule.occurrences)
    }

    /// `due_unix_ms` is when the given occurrence may start.
    #[must_use]
    pub fn due_unix_ms(&self, occurrence: u32) -> TimeMs {
        self.schedule
            .as_ref()
            .map_or(self.accepted_unix_ms, |schedule| {
                schedule.first_unix_ms + DurationMs(schedule.interval_ms.0 * u64::from(occurrence))
            })
    }

    /// `steps_summary` describes the steps for log lines.
    #[must_use]
    pub fn steps_summary(&self) -> String {
        let steps: Vec<String> = self.steps.iter().map(StepSpec::to_string).collect();
        steps.join(",")
    }

    /// `critical_path_ms` estimates the longest chain of steps of one occurrence.
    #[must_use]
    pub fn critical_path_ms(&self) -> DurationMs {
        let mut ends: Vec<u64> = Vec::with_capacity(self.steps.len());
        for step in &self.steps {
            let begin = step
                .after
                .iter()
                .filter_map(|&number| ends.get(number as usize))
                .max()
                .copied()
                .unwrap_or(0);
            ends.push(begin + step.estimate_ms.0);
        }
        DurationMs(ends.into_iter().max().unwrap_or(0))
    }
}

impl TaskId {
    /// `belongs_to` tells whether the task belongs to the step.
    #[must_use]
    pub fn belongs_to(&self, step: &StepId) -> bool {
        self.job_id == step.job_id && self.occurrence == step.occurrence && self.step == step.step
    }

    /// `step_id` names the step that the task belongs to.
    #[must_use]
    pub fn step_id(&self) -> StepId {
        StepId {
            job_id: self.job_id.clone(),
            occurrence: self.occurrence,
            step: self.step,
        }
    }
}

/// `TaskId` names one task of one occurrence of a job.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskId {
    /// The job.
    pub job_id: JobId,
    /// Occurrence, from 0.
    pub occurrence: u32,
    /// Number of the step, from 0.
    pub step: u32,
    /// Number of the task in its step, from 0.
    pub index: u32,
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            job_id,
            occurrence,
            step,
            index,
        } = self;
        write!(f, "{job_id}.{occurrence}.{step}.{index}")
    }
}
