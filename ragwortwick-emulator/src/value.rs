//! Value that jobs earn of the value they can earn, by queue and by customer.

use std::collections::BTreeMap;

use ragwortwick_area::{EndKind, JobRecord, StepSpec};
use serde::{Deserialize, Serialize};

use crate::arrivals::as_float;
use crate::invariants::RunCounts;
use crate::workload::{QueueWorkload, Workload};

/// Multiple of its objective up to which a late job still has value; after that, it has none.
const LATE_FACTOR: u64 = 3;

/// `ValueAccount` sums the value that jobs could earn and the value they earned.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ValueAccount {
    /// Value of the jobs if all of them met their objectives.
    pub owed: f64,
    /// Value earned, which depends on how late each job completed.
    pub earned: f64,
}

impl ValueAccount {
    /// `share` is the earned share of the value owed; 1 if none was owed.
    #[must_use]
    pub fn share(&self) -> f64 {
        if self.owed > 0.0 {
            self.earned / self.owed
        } else {
            1.0
        }
    }

    fn add(&mut self, owed: f64, earned: f64) {
        self.owed += owed;
        self.earned += earned;
    }
}

/// `ValueLossCause` is the first applicable reason why a job lost value.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ValueLossCause {
    /// A run of it failed.
    Failed,
    /// The lease of a run expired.
    Lapsed,
    /// It started in time to meet its objective, but a run of it was stopped.
    Displaced,
    /// It started too late to meet its objective.
    Waited,
    /// None of the above: it ran slowly, or its later steps waited.
    Slow,
}

/// `LostWorkCause` is the reason why the work of a run was lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LostWorkCause {
    /// The run was preempted, or its worker was draining.
    Displaced,
    /// Its job was cancelled.
    Cancelled,
    /// It failed.
    Failed,
    /// Another member of its gang failed or ended.
    Broken,
    /// Its lease expired, or its gang was never complete.
    Lapsed,
}

impl LostWorkCause {
    pub(crate) fn of(kind: EndKind, is_cancelled: bool) -> Self {
        match kind {
            EndKind::Stopped if is_cancelled => Self::Cancelled,
            EndKind::Stopped | EndKind::Done => Self::Displaced,
            EndKind::Failed => Self::Failed,
            EndKind::GangBroken => Self::Broken,
            EndKind::LeaseExpired | EndKind::GangIncomplete => Self::Lapsed,
        }
    }
}

/// `JobOutcome` is the outcome of one job.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobOutcome {
    /// Its queue.
    pub queue: String,
    /// Its customer.
    pub customer: String,
    /// Short description of its steps.
    pub steps: String,
    /// Value it could earn.
    pub owed: f64,
    /// Value it earned.
    pub earned: f64,
    /// Latency objective, from its acceptance.
    pub objective_ms: u64,
    /// Time from acceptance to its first start.
    pub first_start_ms: Option<u64>,
    /// Time from acceptance to completion, if it completed.
    pub latency_ms: Option<u64>,
    /// Number of its runs that were stopped.
    pub stopped: u32,
    /// Why it lost value, if it did.
    pub cause: Option<ValueLossCause>,
}

/// `ValueReport` sums the value that jobs earned.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ValueReport {
    /// All jobs.
    #[serde(rename = "whole")]
    pub total: ValueAccount,
    /// By queue.
    pub by_queue: BTreeMap<String, ValueAccount>,
    /// By customer.
    pub by_customer: BTreeMap<String, ValueAccount>,
    /// Value that was lost, by cause.
    pub lost: BTreeMap<ValueLossCause, f64>,
    /// Outcome of every job.
    pub outcomes: Vec<JobOutcome>,
}

/// `ValueModel` computes the value of a job that meets its objective.
pub(crate) struct ValueModel<'a> {
    workload: &'a Workload,
    /// Mean work of the jobs of each queue.
    means: BTreeMap<&'a str, f64>,
}

impl<'a> ValueModel<'a> {
    /// Creates the model from the mean work of each queue's submitted jobs.
    pub(crate) fn new(
        workload: &'a Workload,
        records: impl Iterator<Item = &'a JobRecord>,
    ) -> Self {
        let mut sums: BTreeMap<&str, (f64, f64)> = BTreeMap::new();
        for record in records {
            let sum = sums.entry(record.queue.as_str()).or_default();
            sum.0 += job_work(record);
            sum.1 += 1.0;
        }
        let means = sums.into_iter();
        Self {
            workload,
            means: means
                .map(|(name, (sum, count))| (name, sum / count))
                .collect(),
        }
    }

    fn queue(&self, record: &JobRecord) -> Option<&QueueWorkload> {
        let name = record.queue.as_str();
        self.workload.queues.iter().find(|queue| queue.name == name)
    }

    /// Returns a job's size relative to the mean: 0.3 plus 0.7 times its relative work, at most 4.
    fn relative_size(&self, record: &JobRecord) -> f64 {
        let mean = self.means.get(record.queue.as_str()).copied();
        (0.3 + 0.7 * job_work(record) / mean.unwrap_or(1.0).max(f64::MIN_POSITIVE)).min(4.0)
    }
}

impl ValueReport {
    /// Adds one job to the totals.
    pub(crate) fn add_job(
        &mut self,
        model: &ValueModel<'_>,
        record: &JobRecord,
        observation: &JobObservation,
    ) {
        let Some(queue) = model.queue(record) else {
            return;
        };
        let relative_size = model.relative_size(record);
        let earned = match observation.latency_ms {
            Some(latency_ms) if latency_ms <= observation.objective_ms => queue.weight,
            Some(latency_ms) if latency_ms <= observation.objective_ms * LATE_FACTOR => {
                queue.late_weight
            }
            _ => 0.0,
        };
        let (owed, earned) = (queue.weight * relative_size, earned * relative_size);
        self.total.add(owed, earned);
        let queue_account = self.by_queue.entry(queue.name.clone()).or_default();
        queue_account.add(owed, earned);
        let customer = record.customer.as_str().to_owned();
        let customer_account = self.by_customer.entry(customer.clone()).or_default();
        customer_account.add(owed, earned);
        let cause = (earned < owed).then(|| observation.cause());
        if let Some(cause) = cause {
            *self.lost.entry(cause).or_insert(0.0) += owed - earned;
        }
        self.outcomes.push(JobOutcome {
            queue: queue.name.clone(),
            customer,
            steps: record.steps_summary(usize::MAX),
            owed,
            earned,
            objective_ms: observation.objective_ms,
            first_start_ms: observation.first_start_ms,
            latency_ms: observation.latency_ms,
            stopped: observation.counts.stopped,
            cause,
        });
    }
}

/// `JobObservation` is what the simulation observed of one job; times count from its acceptance.
pub(crate) struct JobObservation {
    pub(crate) objective_ms: u64,
    /// Duration of its critical path.
    pub(crate) critical_path_ms: u64,
    pub(crate) first_start_ms: Option<u64>,
    pub(crate) latency_ms: Option<u64>,
    pub(crate) counts: RunCounts,
}

impl JobObservation {
    fn cause(&self) -> ValueLossCause {
        let can_meet_objective = self
            .first_start_ms
            .is_some_and(|at| at + self.critical_path_ms <= self.objective_ms);
        if self.counts.failed > 0 {
            ValueLossCause::Failed
        } else if self.counts.expired > 0 {
            ValueLossCause::Lapsed
        } else if !can_meet_objective {
            ValueLossCause::Waited
        } else if self.counts.stopped > 0 {
            ValueLossCause::Displaced
        } else {
            ValueLossCause::Slow
        }
    }
}

fn job_work(record: &JobRecord) -> f64 {
    record.steps.iter().map(step_work).sum()
}

fn step_work(spec: &StepSpec) -> f64 {
    let cores = as_float(spec.need.core_equivalents().max(1));
    cores * as_float(spec.estimate_ms.0) * f64::from(spec.count)
}
