//! Waiting jobs and the order in which they are placed.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use ragwortwick_border::{JobPhase, JobRecord, Table};
use ragwortwick_core::{DurationMs, GangId, JobId, TimeMs};

/// `Job` is an unfinished job of the zone.
#[derive(Clone, Debug)]
pub(super) struct Job {
    pub(super) record: JobRecord,
    /// When this owner first read the job, on the owner's clock.
    pub(super) found_at: TimeMs,
    pub(super) was_found_in_recovery: bool,
    /// Highest attempt number used.
    pub(super) attempt: u32,
    /// Highest attempt that this owner started or recovered.
    pub(super) owned_attempt: u32,
    pub(super) active: Option<GangId>,
    /// The job is not placed before this time.
    pub(super) retry_at: TimeMs,
    /// Workers on which a member of the job failed.
    pub(super) failed_on: BTreeSet<usize>,
    /// Workers that refused the job since it last ran.
    pub(super) refused_by: BTreeSet<usize>,
    /// Whether the final record was requested; only its confirmation is outstanding.
    pub(super) is_done: bool,
    /// Ended gangs that their workers are told to forget once the record is written.
    pub(super) to_forget: Vec<(usize, GangId)>,
    /// Why the job waits or ended, as shown to its client.
    pub(super) explanation: String,
}

impl Job {
    pub(super) fn new(record: JobRecord, now: TimeMs, was_found_in_recovery: bool) -> Self {
        Self {
            attempt: record.attempt,
            record,
            found_at: now,
            was_found_in_recovery,
            owned_attempt: 0,
            active: None,
            retry_at: now,
            failed_on: BTreeSet::new(),
            refused_by: BTreeSet::new(),
            is_done: false,
            to_forget: Vec::new(),
            explanation: String::new(),
        }
    }

    pub(super) fn is_waiting(&self) -> bool {
        self.active.is_none() && !self.is_done
    }

    /// `has_recorded_start` returns whether a start that must not be repeated was recorded.
    pub(super) fn has_recorded_start(&self) -> bool {
        !self.record.spec.repeatable
            && matches!(
                self.record.phase,
                JobPhase::Starting | JobPhase::Running | JobPhase::Stopping
            )
    }
}

/// `is_final` returns whether a job in this phase has ended.
pub(super) fn is_final(phase: JobPhase) -> bool {
    matches!(
        phase,
        JobPhase::Finished | JobPhase::Failed | JobPhase::Cancelled | JobPhase::MayHaveRun
    )
}

/// `Rank` orders waiting jobs, smallest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Rank {
    is_routine: bool,
    virtual_finish_ms: u64,
    accepted_at_ms: u64,
}

/// Longest declared run time that counts in a job's rank, so that a hint cannot postpone a job for ever.
const MAX_HINT_MS: u64 = 3_600_000;

/// `rank` orders urgent jobs first, then by acceptance time plus weighted declared run time.
///
/// A short job overtakes a long one only by the declared difference, so no job starves.
pub(super) fn rank(job: &Job, weights: &Weights) -> Rank {
    let spec = &job.record.spec;
    let weight = weights.weight_of(job);
    let hint_ms = spec.run_time_estimate_ms.0.min(MAX_HINT_MS);
    let hint = DurationMs(scaled(hint_ms, weight));
    Rank {
        is_routine: !weights.is_urgent(job),
        virtual_finish_ms: (job.record.accepted_at_ms + hint).0,
        accepted_at_ms: job.record.accepted_at_ms.0,
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    clippy::cast_precision_loss,
    reason = "a rank needs no exact value, and a hint of four hours fits well"
)]
fn scaled(hint_ms: u64, weight: f64) -> u64 {
    (hint_ms as f64 / weight.clamp(0.1, 10.0)) as u64
}

/// `Weights` holds the weights and urgent classes of the table in force.
#[derive(Clone, Debug, Default)]
pub(super) struct Weights {
    urgent: BTreeSet<(String, String)>,
    by_class: BTreeMap<(String, String), f64>,
    by_customer: BTreeMap<String, f64>,
}

impl Weights {
    pub(super) fn of_table(table: &Table) -> Self {
        let mut weights = Self::default();
        for row in &table.customers {
            weights
                .by_customer
                .insert(row.customer.to_string(), row.weight);
        }
        for row in &table.classes {
            let key = (row.customer.to_string(), row.class.to_string());
            if row.urgent {
                weights.urgent.insert(key.clone());
            }
            weights.by_class.insert(key, row.weight);
        }
        weights
    }

    pub(super) fn is_urgent(&self, job: &Job) -> bool {
        self.urgent.contains(&key_of(job))
    }

    fn weight_of(&self, job: &Job) -> f64 {
        let key = key_of(job);
        let customer = self.by_customer.get(&key.0).copied().unwrap_or(1.0);
        customer * self.by_class.get(&key).copied().unwrap_or(1.0)
    }
}

fn key_of(job: &Job) -> (String, String) {
    let spec = &job.record.spec;
    (spec.customer.to_string(), spec.class.to_string())
}

/// `EndedJobs` keeps the phases of the last jobs that ended.
///
/// Without it, a listing read before the final record was written would add a finished job again
/// and run it a second time.
#[derive(Clone, Debug, Default)]
pub(super) struct EndedJobs {
    phases: BTreeMap<JobId, JobPhase>,
    order: VecDeque<JobId>,
}

/// A listing is at most minutes old; a zone ends a few jobs a minute.
const MAX_ENDED_JOBS: usize = 4096;

impl EndedJobs {
    pub(super) fn insert(&mut self, job_id: &JobId, phase: JobPhase) {
        if self.phases.insert(job_id.clone(), phase).is_none() {
            self.order.push_back(job_id.clone());
        }
        if self.order.len() > MAX_ENDED_JOBS
            && let Some(oldest) = self.order.pop_front()
        {
            self.phases.remove(&oldest);
        }
    }

    pub(super) fn get(&self, job_id: &JobId) -> Option<JobPhase> {
        self.phases.get(job_id).copied()
    }
}
