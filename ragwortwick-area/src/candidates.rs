//! What could start now, whose guarantee covers it, and in which order it is tried.

use std::collections::BTreeMap;

use ragwortwick_core::{CustomerName, DurationMs, JobId, PoolName, TimeMs};

use crate::coordinator::{Coordinator, Now};
use crate::job::{JobRecord, StepId};

/// `Candidate` is one step of one occurrence with tasks to place.
#[derive(Clone, Debug)]
pub(crate) struct Candidate {
    pub(crate) job_id: JobId,
    pub(crate) occurrence: u32,
    pub(crate) step: u32,
    pub(crate) pool: PoolName,
    pub(crate) customer: CustomerName,
    pub(crate) priority: u32,
    pub(crate) due_at: TimeMs,
    /// Whether the customer's guarantee covers it.
    pub(crate) is_guaranteed: bool,
    /// When others were stopped for it, if that was a moment ago.
    pub(crate) preempted_at: Option<TimeMs>,
    pub(crate) value_density: f64,
    /// Worth of the whole job if it is in time.
    pub(crate) value: f64,
    /// Whether it can still be of any worth to its caller.
    pub(crate) has_value_left: bool,
    pub(crate) can_meet_objective: bool,
}

impl Candidate {
    pub(crate) fn step_id(&self) -> StepId {
        StepId {
            job_id: self.job_id.clone(),
            occurrence: self.occurrence,
            step: self.step,
        }
    }

    /// Whether others may be stopped for it: a promise, or an urgent answer that can still be in time.
    pub(crate) fn can_preempt(&self) -> bool {
        self.is_guaranteed || (self.priority == 0 && self.can_meet_objective)
    }
}

/// `UrgentUsage` is what urgent work uses now, in accelerators.
#[derive(Debug, Default)]
pub(crate) struct UrgentUsage {
    pub(crate) by_customer: BTreeMap<CustomerName, u64>,
    pub(crate) by_pool: BTreeMap<PoolName, u64>,
}

/// How long a job that others were stopped for goes first: until the stops are over. What they free would
/// else go to each later job that is worth more by the second, and the job would have others stopped again.
const CLEARED_MS: DurationMs = DurationMs(1_500);

impl Coordinator {
    /// All steps that could start now.
    pub(crate) fn candidates(&mut self, now: Now, urgent_usage: &UrgentUsage) -> Vec<Candidate> {
        let mut found = Vec::new();
        let mut next_due: Option<TimeMs> = None;
        for job_id in &self.open_jobs {
            let Some(job) = self.jobs.get(job_id) else {
                continue;
            };
            if let Some(until) = job.backoff.retry_at(now.steady) {
                next_due = Some(next_due.map_or(until, |at| at.min(until)));
                continue;
            }
            let terms = self.queue_policy(job);
            for occurrence in 0..job.record.occurrence_count() {
                let due_at = due_at(now, &job.record, job.accepted_at, occurrence);
                if due_at > now.steady {
                    next_due = Some(next_due.map_or(due_at, |at| at.min(due_at)));
                    break;
                }
                let steps = &job.occurrences[occurrence as usize];
                let mut occurrence_value = None;
                for number in 0..u32::try_from(steps.len()).unwrap_or(u32::MAX) {
                    let step = &steps[number as usize];
                    let is_blocked = step.is_done() || step.is_gang_ending;
                    if is_blocked
                        || !job.is_step_ready(occurrence, number)
                        || step.waiting_count() == 0
                    {
                        continue;
                    }
                    let occurrence_value = *occurrence_value.get_or_insert_with(|| {
                        self.occurrence_value(now.steady, job, occurrence as usize, due_at)
                    });
                    found.push(Candidate {
                        job_id: job_id.clone(),
                        occurrence,
                        step: number,
                        pool: terms.pool.clone(),
                        customer: job.record.customer.clone(),
                        priority: terms.priority,
                        due_at,
                        is_guaranteed: false,
                        preempted_at: None,
                        value_density: occurrence_value.value_density,
                        value: occurrence_value.value,
                        has_value_left: occurrence_value.has_value_left,
                        can_meet_objective: occurrence_value.can_meet_objective,
                    });
                }
            }
        }
        self.next_scheduled_at = next_due;
        self.preempted_for
            .retain(|_, at| now.steady.since(*at) <= CLEARED_MS);
        for candidate in &mut found {
            candidate.preempted_at = self.preempted_for.get(&candidate.step_id()).copied();
        }
        self.mark_guaranteed(&mut found, urgent_usage);
        found
    }

    /// Marks urgent steps as guaranteed, oldest first, while their customer's share covers them.
    fn mark_guaranteed(&self, candidates: &mut [Candidate], urgent_usage: &UrgentUsage) {
        let mut used = urgent_usage.by_customer.clone();
        let mut order: Vec<usize> = (0..candidates.len())
            .filter(|&index| candidates[index].priority == 0)
            .collect();
        order.sort_by_key(|&index| (candidates[index].due_at, candidates[index].job_id.clone()));
        for index in order {
            let candidate = &mut candidates[index];
            let Some(customer) = self.desired.customers.get(&candidate.customer) else {
                continue;
            };
            let Some(need) = self.pending_accelerators(candidate) else {
                continue;
            };
            let taken = used.entry(candidate.customer.clone()).or_insert(0);
            if *taken + need <= customer.guaranteed_accelerators {
                *taken += need;
                candidate.is_guaranteed = true;
            }
        }
    }

    pub(crate) fn pending_accelerators(&self, candidate: &Candidate) -> Option<u64> {
        let job = self.jobs.get(&candidate.job_id)?;
        let count = job
            .step(candidate.occurrence, candidate.step)?
            .waiting_count();
        Some(job.spec(candidate.step)?.need.accelerators * count as u64)
    }

    pub(crate) fn urgent_usage(&self) -> UrgentUsage {
        let mut used = UrgentUsage::default();
        for worker in self.workers.values() {
            for (task, held) in &worker.allocations {
                if held.priority != 0 || held.is_stopping() {
                    continue;
                }
                let accelerators = held.resources.accelerators;
                *used.by_pool.entry(worker.entry.pool.clone()).or_insert(0) += accelerators;
                if let Some(job) = self.jobs.get(&task.job_id) {
                    let customer = job.record.customer.clone();
                    *used.by_customer.entry(customer).or_insert(0) += accelerators;
                }
            }
        }
        used
    }
}

fn due_at(now: Now, record: &JobRecord, accepted_at: TimeMs, occurrence: u32) -> TimeMs {
    if record.schedule.is_none() {
        return accepted_at;
    }
    let due_unix = record.due_unix_ms(occurrence);
    if due_unix > now.unix {
        now.steady + due_unix.since(now.unix)
    } else {
        now.steady - now.unix.since(due_unix)
    }
}

/// What others were stopped for first; then guaranteed work, oldest first; then by worth over the
/// accelerator time still needed.
pub(crate) fn sort_candidates(candidates: &mut [Candidate]) {
    candidates.sort_by(|a, b| {
        let cleared = |candidate: &Candidate| candidate.preempted_at.unwrap_or(TimeMs(u64::MAX));
        cleared(a)
            .cmp(&cleared(b))
            .then_with(|| b.is_guaranteed.cmp(&a.is_guaranteed))
            .then_with(|| {
                if a.is_guaranteed {
                    a.due_at.cmp(&b.due_at)
                } else {
                    b.value_density.total_cmp(&a.value_density)
                }
            })
            .then_with(|| b.can_meet_objective.cmp(&a.can_meet_objective))
            .then_with(|| a.job_id.cmp(&b.job_id))
            .then_with(|| a.occurrence.cmp(&b.occurrence))
            .then_with(|| a.step.cmp(&b.step))
    });
}
