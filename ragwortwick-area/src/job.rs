//! A job as its customer declares it: a graph of steps, each with one or more tasks.

use std::fmt;
use std::sync::Arc;

use ragwortwick_core::{
    ClassName, CustomerName, DurationMs, JobId, LabelName, PoolName, RackName, TimeMs, common,
};
use serde::{Deserialize, Serialize};

/// `Resources` is an amount of each resource that a worker offers or a task requires.
#[common(key)]
#[derive(Default, Serialize, Deserialize)]
pub struct Resources {
    /// Processor share in thousandths of a core.
    pub cpu_millis: u64,
    /// Memory in megabytes.
    pub memory_mb: u64,
    /// Number of whole accelerators.
    pub accelerators: u64,
}

impl Resources {
    /// `MAX` is more of each resource than any worker has; sums over all workers of an area stay representable.
    pub const MAX: Self = Self {
        cpu_millis: 1 << 40,
        memory_mb: 1 << 40,
        accelerators: 1 << 40,
    };

    /// `plus` adds another amount per resource.
    #[must_use]
    pub fn plus(self, other: Self) -> Self {
        Self {
            cpu_millis: self.cpu_millis + other.cpu_millis,
            memory_mb: self.memory_mb + other.memory_mb,
            accelerators: self.accelerators + other.accelerators,
        }
    }

    /// `saturating_sub` subtracts another amount per resource, stopping at zero.
    #[must_use]
    pub fn saturating_sub(self, other: Self) -> Self {
        Self {
            cpu_millis: self.cpu_millis.saturating_sub(other.cpu_millis),
            memory_mb: self.memory_mb.saturating_sub(other.memory_mb),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }

    /// `component_min` returns the lesser amount of each resource.
    #[must_use]
    pub fn component_min(self, other: Self) -> Self {
        Self {
            cpu_millis: self.cpu_millis.min(other.cpu_millis),
            memory_mb: self.memory_mb.min(other.memory_mb),
            accelerators: self.accelerators.min(other.accelerators),
        }
    }

    /// `is_zero` reports whether the amount of every resource is zero.
    #[must_use]
    pub fn is_zero(self) -> bool {
        self == Self::default()
    }

    /// `scaled` multiplies the amount of each resource by a count.
    #[must_use]
    pub fn scaled(self, count: u64) -> Self {
        Self {
            cpu_millis: self.cpu_millis * count,
            memory_mb: self.memory_mb * count,
            accelerators: self.accelerators * count,
        }
    }

    /// `task_capacity` returns how many tasks with the given demand fit into this amount.
    #[must_use]
    pub fn task_capacity(self, demand: Self) -> u64 {
        let tasks_by =
            |available: u64, required: u64| available.checked_div(required).unwrap_or(u64::MAX);
        tasks_by(self.cpu_millis, demand.cpu_millis)
            .min(tasks_by(self.memory_mb, demand.memory_mb))
            .min(tasks_by(self.accelerators, demand.accelerators))
    }

    /// `dominant_share` returns the largest of the shares of a capacity, over the resources.
    #[must_use]
    #[expect(
        clippy::cast_precision_loss,
        reason = "amounts in an area are far below what a float holds exactly"
    )]
    pub fn dominant_share(self, capacity: Self) -> f64 {
        let share = |used: u64, capacity: u64| used as f64 / capacity.max(1) as f64;
        share(self.cpu_millis, capacity.cpu_millis)
            .max(share(self.memory_mb, capacity.memory_mb))
            .max(share(self.accelerators, capacity.accelerators))
    }

    /// `core_equivalents` converts the amount to cores, with `CORES_PER_ACCELERATOR` for an accelerator.
    #[must_use]
    pub fn core_equivalents(self) -> u64 {
        self.cpu_millis / 1_000 + self.accelerators * CORES_PER_ACCELERATOR
    }
}

/// Cores that one accelerator counts as when amounts of work are compared.
pub const CORES_PER_ACCELERATOR: u64 = 8;

/// `StepSpec` declares one step: a number of identical tasks.
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
    /// Resources that one task requires.
    pub need: Resources,
    /// The customer's estimate of the duration of one task.
    pub estimate_ms: DurationMs,
    /// Numbers of the earlier steps that must be done first.
    pub after: Vec<u32>,
    /// Whether the tasks form a gang: they run only all together.
    pub is_gang: bool,
    /// Whether the tasks run slower when spread over more than one rack.
    pub wants_same_rack: bool,
    /// Label that the worker must have.
    pub required_label: Option<LabelName>,
    /// Rack that holds the step's data; the tasks run slower on other racks.
    pub data_rack: Option<RackName>,
    /// Maximum number of tasks of one occurrence on one worker.
    pub max_per_worker: Option<u32>,
    /// Whether tasks save checkpoints.
    pub saves_checkpoints: bool,
    /// Whether duplicates of a task may run in parallel.
    pub may_duplicate: bool,
    /// Whether the tasks run until the job is cancelled.
    pub is_long_running: bool,
    /// Name of the image that the tasks run; tasks with the same image behave alike.
    pub image: Option<Arc<str>>,
    /// Upper bound of the tail latency that a long-running task offers its own users.
    pub tail_target_ms: Option<DurationMs>,
    /// Whether the tasks are fillers, which use only processor time that other tasks leave unused.
    pub is_filler: bool,
    /// Maximum number of tasks of a long-running step that may be down at one time because the scheduler
    /// stopped them.
    pub may_miss: Option<u32>,
}

impl StepSpec {
    /// `placement_key` returns the spec with only the fields that decide where a task fits; estimate, count
    /// and dependencies differ between similar jobs and are cleared.
    #[must_use]
    pub(crate) fn placement_key(&self) -> Self {
        Self {
            estimate_ms: DurationMs(0),
            after: Vec::new(),
            count: 0,
            ..self.clone()
        }
    }

    /// `demand` is the part of a worker's capacity that one task reserves.
    #[must_use]
    pub fn demand(&self) -> Resources {
        if self.is_filler {
            // A filler reserves no processor share: it uses what other tasks leave unused.
            Resources {
                cpu_millis: 0,
                ..self.need
            }
        } else {
            self.need
        }
    }
}

/// Formats the properties that decide where the tasks are placed, in a few characters for log lines.
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
        let mut set_flags = flags.iter().filter(|(is_set, _)| *is_set);
        set_flags.try_for_each(|(_, name)| write!(f, "+{name}"))
    }
}

/// `Schedule` repeats a job's steps at a fixed interval.
#[common(wire)]
#[derive(Eq)]
pub struct Schedule {
    /// Unix time at which the first occurrence is due.
    pub first_unix_ms: TimeMs,
    /// Time between the start times of successive occurrences.
    pub interval_ms: DurationMs,
    /// Number of occurrences.
    pub occurrences: u32,
}

/// `QueuePolicy` holds how a queue runs its jobs: pool, priority, attempts and latency objective.
///
/// A job keeps the policy of its acceptance. The policy in the desired state in force takes precedence;
/// the kept one applies once the queue has been removed from the desired state.
#[common(wire)]
pub struct QueuePolicy {
    /// Pool whose workers run the tasks.
    pub pool: PoolName,
    /// Priority; zero is the highest and may preempt the others.
    pub priority: u32,
    /// Number of failed runs of a task at which the job fails.
    pub attempts: u32,
    /// Factor on the critical path in the latency objective; `target_latency_ms` is added to it.
    pub stretch: f64,
    /// Constant part of the latency objective.
    pub target_latency_ms: DurationMs,
    /// Timing of the queue's advisor; none if any worker may run its jobs.
    pub advice: Option<AdvisorTiming>,
}

impl QueuePolicy {
    /// `objective_ms` is the latency objective of a job with a critical path of the given length.
    #[must_use]
    pub fn objective_ms(&self, critical_path_ms: DurationMs) -> DurationMs {
        critical_path_ms.scaled(self.stretch) + self.target_latency_ms
    }
}

/// `AdvisorTiming` holds how long a reply of the advisor takes and how long its tickets are valid.
#[common(wire)]
#[derive(Eq)]
pub struct AdvisorTiming {
    /// Constant part of the time that a reply takes.
    pub answer_ms: DurationMs,
    /// Additional time for each worker in the advice request.
    pub per_worker_ms: DurationMs,
    /// How long a ticket is valid.
    pub valid_ms: DurationMs,
}

/// `StepId` identifies one step of one occurrence of a job.
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

/// `JobRecord` is an accepted job as it is stored; it never changes.
#[common(wire)]
pub struct JobRecord {
    /// Id chosen by the client.
    pub job_id: JobId,
    /// Queue that the job was submitted to.
    pub queue: ClassName,
    /// Policy of the queue at acceptance.
    #[serde(rename = "terms")]
    pub policy: QueuePolicy,
    /// Customer whose API key the submission carried.
    pub customer: CustomerName,
    /// Text that is passed to every task.
    pub payload: Arc<str>,
    /// Steps, indexed by their numbers.
    pub steps: Vec<StepSpec>,
    /// Schedule of the occurrences; none if the steps run once.
    pub schedule: Option<Schedule>,
    /// Unix time of acceptance on the accepting host's clock.
    pub accepted_unix_ms: TimeMs,
}

impl JobRecord {
    /// `occurrence_count` is the number of times that the steps run.
    #[must_use]
    pub fn occurrence_count(&self) -> u32 {
        self.schedule
            .as_ref()
            .map_or(1, |schedule| schedule.occurrences)
    }

    /// `due_unix_ms` is the Unix time from which the given occurrence may start.
    #[must_use]
    pub fn due_unix_ms(&self, occurrence: u32) -> TimeMs {
        self.schedule
            .as_ref()
            .map_or(self.accepted_unix_ms, |schedule| {
                schedule.first_unix_ms + DurationMs(schedule.interval_ms.0 * u64::from(occurrence))
            })
    }

    /// `steps_summary` formats the first steps, and how many follow, for log lines.
    #[must_use]
    pub fn steps_summary(&self, max_steps: usize) -> String {
        let shown = self.steps.iter().take(max_steps);
        let mut steps: Vec<String> = shown.map(StepSpec::to_string).collect();
        if self.steps.len() > max_steps {
            steps.push(format!("{}_more", self.steps.len() - max_steps));
        }
        steps.join(",")
    }

    /// `critical_path_ms` estimates the duration of the longest chain of dependent steps of one occurrence.
    #[must_use]
    pub fn critical_path_ms(&self) -> DurationMs {
        let mut step_ends_ms: Vec<u64> = Vec::with_capacity(self.steps.len());
        for step in &self.steps {
            let start_ms = step
                .after
                .iter()
                .filter_map(|&number| step_ends_ms.get(number as usize))
                .max()
                .copied()
                .unwrap_or(0);
            step_ends_ms.push(start_ms + step.estimate_ms.0);
        }
        DurationMs(step_ends_ms.into_iter().max().unwrap_or(0))
    }
}

impl TaskId {
    /// `belongs_to` reports whether the task belongs to the step.
    #[must_use]
    pub fn belongs_to(&self, step: &StepId) -> bool {
        self.job_id == step.job_id && self.occurrence == step.occurrence && self.step == step.step
    }

    /// `step_id` returns the id of the step that the task belongs to.
    #[must_use]
    pub fn step_id(&self) -> StepId {
        StepId {
            job_id: self.job_id.clone(),
            occurrence: self.occurrence,
            step: self.step,
        }
    }
}

/// `TaskId` identifies one task of one occurrence of a job.
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
