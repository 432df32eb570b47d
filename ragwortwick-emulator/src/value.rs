//! What callers get of what they are owed, by queue and by customer.

use std::collections::BTreeMap;

use ragwortwick_area::{EndKind, JobRecord, StepSpec};
use serde::{Deserialize, Serialize};

use crate::arrivals::as_float;
use crate::invariants::RunCounts;
use crate::workload::{QueueWorkload, Workload};

/// Up to this many times its objective a job is late; past it, it is worth nothing to its caller.
const LATE_FACTOR: u64 = 3;

/// `ValueAccount` is worth that was owed, and what was earned of it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ValueAccount {
    /// Value of all jobs that callers wait for.
    pub owed: f64,
    /// Value of those that they got, by how late.
    pub earned: f64,
}

impl ValueAccount {
    /// `share` is what was earned of what was owed; all if nothing was.
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

/// `ValueLossCause` is the first of the things that befell a job whose worth was lost in part.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ValueLossCause {
    /// A run of it failed.
    Failed,
    /// The lease of a run ran out.
    Lapsed,
    /// It began in time, and a run of it was stopped.
    Displaced,
    /// It began when it could no longer be in time.
    Waited,
    /// None of these: it ran slowly, or its later steps waited.
    Slow,
}

/// `LostWorkCause` is why work was thrown away.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LostWorkCause {
    /// It was stopped for other work, or since its worker was about to leave.
    Displaced,
    /// Its caller cancelled it.
    Cancelled,
    /// It failed.
    Failed,
    /// Another member of its gang failed or ended.
    Broken,
    /// Its lease ran out, or its gang never came together.
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

/// `JobOutcome` is what became of one job.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobOutcome {
    /// Its queue.
    pub queue: String,
    /// Its customer.
    pub customer: String,
    /// Its steps in short.
    pub steps: String,
    /// What it was worth.
    pub owed: f64,
    /// What its caller got of that.
    pub earned: f64,
    /// Time from acceptance within which it was to be done.
    pub objective_ms: u64,
    /// Time from acceptance to its first start.
    pub first_start_ms: Option<u64>,
    /// Time from acceptance to its end.
    pub latency_ms: Option<u64>,
    /// Runs that were stopped.
    pub stopped: u32,
    /// Why something was lost, if so.
    pub cause: Option<ValueLossCause>,
}

/// `ValueReport` sums what callers got.
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
    /// Every job.
    pub outcomes: Vec<JobOutcome>,
}

/// `ValueModel` tells what a job is worth within its objective.
pub(crate) struct ValueModel<'a> {
    workload: &'a Workload,
    /// Mean work of a queue's jobs.
    means: BTreeMap<&'a str, f64>,
}

impl<'a> ValueModel<'a> {
    /// Weighs by the mean work of each queue's jobs that come in.
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

    /// Large jobs are worth more, at seven tenths of their work and up to four times the mean.
    fn relative_size(&self, record: &JobRecord) -> f64 {
        let mean = self.means.get(record.queue.as_str()).copied();
        (0.3 + 0.7 * job_work(record) / mean.unwrap_or(1.0).max(f64::MIN_POSITIVE)).min(4.0)
    }
}

impl ValueReport {
    /// Takes in one job that its caller waited for.
    pub(crate) fn add_job(
        &mut self,
        model: &ValueModel<'_>,
        record: &JobRecord,
        observation: &JobObservation,
    ) {
        let Some(queue) = model.queue(record) else {
            return;
        };
        let size = model.relative_size(record);
        let earned = match observation.latency_ms {
            Some(latency_ms) if latency_ms <= observation.objective_ms => queue.weight,
            Some(latency_ms) if latency_ms <= observation.objective_ms * LATE_FACTOR => {
                queue.late_weight
            }
            _ => 0.0,
        };
        let (owed, earned) = (queue.weight * size, earned * size);
        self.total.add(owed, earned);
        let of_queue = self.by_queue.entry(queue.name.clone()).or_default();
        of_queue.add(owed, earned);
        let customer = record.customer.as_str().to_owned();
        let of_customer = self.by_customer.entry(customer.clone()).or_default();
        of_customer.add(owed, earned);
        let cause = (earned < owed).then(|| observation.cause());
        if let Some(cause) = cause {
            *self.lost.entry(cause).or_insert(0.0) += owed - earned;
        }
        self.outcomes.push(JobOutcome {
            queue: queue.name.clone(),
            customer,
            steps: record.steps_summary(),
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

/// `JobObservation` is what the world saw of one job; spans count from its acceptance.
pub(crate) struct JobObservation {
    pub(crate) objective_ms: u64,
    /// Duration of its longest chain of steps.
    pub(crate) critical_path_ms: u64,
    pub(crate) first_start_ms: Option<u64>,
    pub(crate) latency_ms: Option<u64>,
    pub(crate) counts: RunCounts,
}

impl JobObservation {
    fn cause(&self) -> ValueLossCause {
        let begins_in_time = self
            .first_start_ms
            .is_some_and(|at| at + self.critical_path_ms <= self.objective_ms);
        if self.counts.failed > 0 {
            ValueLossCause::Failed
        } else if self.counts.expired > 0 {
            ValueLossCause::Lapsed
        } else if !begins_in_time {
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
