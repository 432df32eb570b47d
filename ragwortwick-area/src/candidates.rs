//! Steps that could start now, the guarantees that cover them, and their placement order.

use std::collections::BTreeMap;

use ragwortwick_core::{CustomerName, DurationMs, JobId, PoolName, TimeMs};

use crate::coordinator::{Coordinator, Now};
use crate::job::{JobRecord, Resources, StepId};

/// `Candidate` is one step of one job occurrence that has tasks to place.
#[derive(Clone, Debug)]
pub(crate) struct Candidate {
    pub(crate) job_id: JobId,
    pub(crate) occurrence: u32,
    pub(crate) step: u32,
    pub(crate) pool: PoolName,
    pub(crate) customer: CustomerName,
    pub(crate) priority: u32,
    pub(crate) due_at: TimeMs,
    /// Accelerators that one task needs; a guaranteed share includes no work without any.
    pub(crate) accelerators_needed: u64,
    /// Whether the customer's guaranteed share covers it.
    pub(crate) is_guaranteed: bool,
    /// When other runs were preempted for it, if that was recently.
    pub(crate) preempted_at: Option<TimeMs>,
    pub(crate) value_density: f64,
    /// Value of the whole job if it meets its latency objective.
    pub(crate) value: f64,
    /// Whether its result would still have any value to the client.
    pub(crate) has_value_left: bool,
    pub(crate) can_meet_objective: bool,
    /// Largest factor, in per cent, by which its remaining work may take longer and still meet it.
    pub(crate) max_slowdown_percent: u32,
}

impl Candidate {
    pub(crate) fn step_id(&self) -> StepId {
        StepId {
            job_id: self.job_id.clone(),
            occurrence: self.occurrence,
            step: self.step,
        }
    }

    pub(crate) fn needs_accelerators(&self) -> bool {
        self.accelerators_needed > 0
    }

    /// Whether other runs may be preempted for it: it is guaranteed, or urgent and can still meet its
    /// objective.
    pub(crate) fn can_preempt(&self) -> bool {
        self.is_guaranteed || (self.priority == 0 && self.can_meet_objective)
    }
}

/// `UrgentUsage` is the number of accelerators that urgent runs use now.
#[derive(Debug, Default)]
pub(crate) struct UrgentUsage {
    pub(crate) by_customer: BTreeMap<CustomerName, u64>,
    pub(crate) by_pool: BTreeMap<PoolName, u64>,
}

/// How long a step for which others were preempted is placed first: until the stops are complete. Otherwise
/// the freed capacity would go to any later job with a higher value density, and the step would preempt
/// again.
const PREEMPTED_FIRST_MS: DurationMs = DurationMs(1_500);

impl Coordinator {
    /// Returns all steps that could start now.
    pub(crate) fn candidates(&mut self, now: Now, urgent_usage: &UrgentUsage) -> Vec<Candidate> {
        let mut found = Vec::new();
        let mut next_scheduled_at: Option<TimeMs> = None;
        for job_id in &self.open_jobs {
            let Some(job) = self.jobs.get(job_id) else {
                continue;
            };
            if let Some(until) = job.backoff.retry_at(now.steady) {
                next_scheduled_at = Some(next_scheduled_at.map_or(until, |at| at.min(until)));
                continue;
            }
            let policy = self.queue_policy(job);
            for occurrence in 0..job.record.occurrence_count() {
                let due_at = due_at(now, &job.record, job.accepted_at, occurrence);
                if due_at > now.steady {
                    next_scheduled_at = Some(next_scheduled_at.map_or(due_at, |at| at.min(due_at)));
                    break;
                }
                let steps = &job.occurrences[occurrence as usize];
                let mut occurrence_value = None;
                for step_number in 0..u32::try_from(steps.len()).unwrap_or(u32::MAX) {
                    let step = &steps[step_number as usize];
                    let is_blocked = step.is_done() || step.is_gang_ending;
                    if is_blocked
                        || !job.is_step_ready(occurrence, step_number)
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
                        step: step_number,
                        pool: policy.pool.clone(),
                        customer: job.record.customer.clone(),
                        priority: policy.priority,
                        due_at,
                        accelerators_needed: job
                            .spec(step_number)
                            .map_or(0, |spec| spec.need.accelerators),
                        is_guaranteed: false,
                        preempted_at: None,
                        value_density: occurrence_value.value_density,
                        value: occurrence_value.value,
                        has_value_left: occurrence_value.has_value_left,
                        can_meet_objective: occurrence_value.can_meet_objective,
                        max_slowdown_percent: occurrence_value.max_slowdown_percent,
                    });
                }
            }
        }
        self.next_scheduled_at = next_scheduled_at;
        self.preempted_for
            .retain(|_, at| now.steady.since(*at) <= PREEMPTED_FIRST_MS);
        for candidate in &mut found {
            candidate.preempted_at = self.preempted_for.get(&candidate.step_id()).copied();
        }
        self.mark_guaranteed(&mut found, urgent_usage);
        found
    }

    /// Marks urgent steps as guaranteed, oldest first, while their customer's guaranteed share covers them.
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
            let covered = used.entry(candidate.customer.clone()).or_insert(0);
            if *covered + need <= customer.guaranteed_accelerators {
                *covered += need;
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

    /// Resources that the waiting tasks of a step need.
    pub(crate) fn pending_demand(&self, candidate: &Candidate) -> Resources {
        let job = self.jobs.get(&candidate.job_id);
        let step = job.and_then(|job| job.step(candidate.occurrence, candidate.step));
        let spec = job.and_then(|job| job.spec(candidate.step));
        let (Some(step), Some(spec)) = (step, spec) else {
            return Resources::default();
        };
        spec.demand().scaled(step.waiting_count() as u64)
    }

    pub(crate) fn urgent_usage(&self) -> UrgentUsage {
        let mut used = UrgentUsage::default();
        for worker in self.workers.values() {
            for (task, allocation) in &worker.allocations {
                if allocation.priority != 0 || allocation.is_stopping() {
                    continue;
                }
                let accelerators = allocation.resources.accelerators;
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

/// Sorts the candidates: first steps for which others were preempted, then guaranteed steps, oldest first,
/// then the rest by value per accelerator-second of remaining work.
///
/// Guaranteed steps without accelerators come after those with, which may preempt them. Otherwise the former could
/// reserve capacity that the latter are owed.
pub(crate) fn sort_candidates(candidates: &mut [Candidate]) {
    candidates.sort_by(|a, b| {
        let preempted_at =
            |candidate: &Candidate| candidate.preempted_at.unwrap_or(TimeMs(u64::MAX));
        preempted_at(a)
            .cmp(&preempted_at(b))
            .then_with(|| b.is_guaranteed.cmp(&a.is_guaranteed))
            .then_with(|| {
                if a.is_guaranteed {
                    b.needs_accelerators()
                        .cmp(&a.needs_accelerators())
                        .then_with(|| a.due_at.cmp(&b.due_at))
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
