//! Runs that may be preempted, grouped into what has to be stopped together.
//!
//! The kinds of victims have an order, so that steps do not preempt each other without end: guaranteed work with
//! accelerators may preempt all kinds, guaranteed work without accelerators all but its own kind, other urgent work
//! only lower priorities. Guaranteed shares are in accelerators: work without any fits into every share and is part of
//! none.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::fmt;

use ragwortwick_core::{CustomerName, TimeMs, WorkerName, common};

use crate::allocation::Allocation;
use crate::coordinator::Coordinator;
use crate::job::{Resources, StepId, StepSpec, TaskId};
use crate::packing::Slot;

/// Time for which a stopped run's capacity is unused, which a stop costs in addition to the lost work.
const RESTART_IDLE_MS: u64 = 500;

/// `PreemptionUnit` is what has to be stopped together: one task, or all members of a gang.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct PreemptionUnit {
    pub(crate) step: StepId,
    /// Index of the task, if the step is not a gang.
    index: Option<u32>,
}

impl PreemptionUnit {
    pub(crate) fn contains(&self, task: &TaskId) -> bool {
        task.belongs_to(&self.step) && self.index.is_none_or(|index| index == task.index)
    }
}

/// `VictimKind` is why a unit may be preempted.
#[common]
#[derive(Copy)]
pub enum VictimKind {
    /// It has a lower priority than urgent work.
    LowerPriority,
    /// It is urgent and beyond its customer's guaranteed share.
    Borrower,
    /// It is urgent and uses no accelerators, so that it is part of no guaranteed share.
    WithoutAccelerators,
}

impl VictimKind {
    /// Kind of a run's unit; urgent ones with accelerators are borrowers only beyond their customer's share.
    fn of(allocation: &Allocation) -> Self {
        if allocation.priority > 0 {
            Self::LowerPriority
        } else if allocation.resources.accelerators == 0 {
            Self::WithoutAccelerators
        } else {
            Self::Borrower
        }
    }
}

impl fmt::Display for VictimKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{self:?}")
    }
}

/// `Victim` is a unit that may be preempted.
#[derive(Clone, Debug)]
pub(crate) struct Victim {
    pub(crate) unit: PreemptionUnit,
    pub(crate) kind: VictimKind,
    /// Core-seconds of work that are lost by the stop.
    pub(crate) lost_work: f64,
    /// Lost work and restart time, weighted by the value of its priority; victims are chosen by it.
    pub(crate) cost: f64,
    /// Workers that the unit runs on.
    pub(crate) workers: BTreeSet<WorkerName>,
    /// Resources that the stop frees, by slot index.
    pub(crate) freed: Vec<(usize, Resources)>,
    pub(crate) accelerators: u64,
}

/// Index of each worker's slot in the pass.
pub(crate) type SlotIndex = HashMap<WorkerName, usize>;

pub(crate) fn slots_by_worker(slots: &[Slot]) -> SlotIndex {
    let names = slots.iter().map(|slot| slot.worker.clone());
    names
        .enumerate()
        .map(|(index, name)| (name, index))
        .collect()
}

impl Coordinator {
    /// Returns all units that urgent work may preempt, depending on their kind.
    pub(crate) fn preemptible(&self, now: TimeMs, slot_index: &SlotIndex) -> Vec<Victim> {
        let mut victims = Vec::new();
        let mut sharing = Vec::new();
        for (placed_at, victim) in self.units(now, slot_index) {
            match victim.kind {
                VictimKind::Borrower => sharing.push((placed_at, victim)),
                VictimKind::LowerPriority | VictimKind::WithoutAccelerators => victims.push(victim),
            }
        }
        victims.extend(self.beyond_shares(sharing));
        victims
    }

    /// Returns those of the urgent units with accelerators that are beyond their customer's guaranteed share, the
    /// youngest first.
    fn beyond_shares(&self, urgent: Vec<(TimeMs, Victim)>) -> Vec<Victim> {
        let mut by_customer: BTreeMap<CustomerName, Vec<(TimeMs, Victim)>> = BTreeMap::new();
        for (placed_at, victim) in urgent {
            let job = self.jobs.get(&victim.unit.step.job_id);
            if let Some(customer) = job.map(|job| job.record.customer.clone()) {
                by_customer
                    .entry(customer)
                    .or_default()
                    .push((placed_at, victim));
            }
        }
        // Runs that may not be preempted are no units, and use their customer's share all the same.
        let used_by_customer = self.urgent_usage().by_customer;
        let mut borrowers = Vec::new();
        for (customer, mut units) in by_customer {
            let share = self
                .desired
                .customers
                .get(&customer)
                .map_or(0, |customer| customer.guaranteed_accelerators);
            let mut used = used_by_customer.get(&customer).copied().unwrap_or(0);
            units.sort_by_key(|(placed_at, _)| std::cmp::Reverse(*placed_at));
            for (_, victim) in units {
                if used >= share + victim.accelerators {
                    used -= victim.accelerators;
                    borrowers.push(victim);
                }
            }
        }
        borrowers
    }

    /// Groups the runs into units, each with the time at which it was placed.
    fn units(&self, now: TimeMs, slot_index: &SlotIndex) -> Vec<(TimeMs, Victim)> {
        let mut units: BTreeMap<PreemptionUnit, (TimeMs, Victim)> = BTreeMap::new();
        for (name, worker) in &self.workers {
            for (task, allocation) in &worker.allocations {
                if allocation.is_stopping() {
                    continue;
                }
                let Some(spec) = self
                    .jobs
                    .get(&task.job_id)
                    .and_then(|job| job.spec(task.step))
                else {
                    continue;
                };
                // Only a limited number of these tasks may be missing at once, so they are not preempted.
                if spec.may_miss.is_some() {
                    continue;
                }
                let since = allocation.started_at.unwrap_or(allocation.placed_at);
                // A stop saves a checkpoint, so only the time to resume from it is lost.
                let lost_ms = if spec.saves_checkpoints {
                    self.limits.restore_ms.0
                } else {
                    now.since(since).0
                };
                let unit = unit_of(task, spec);
                let (_, victim) = units.entry(unit.clone()).or_insert_with(|| {
                    let victim = Victim {
                        unit,
                        kind: VictimKind::of(allocation),
                        lost_work: 0.0,
                        cost: 0.0,
                        workers: BTreeSet::new(),
                        freed: Vec::new(),
                        accelerators: 0,
                    };
                    (allocation.placed_at, victim)
                });
                let weight = self.limits.weights.of_priority(allocation.priority);
                victim.cost += weight * core_seconds(spec.need, lost_ms + RESTART_IDLE_MS);
                victim.lost_work += core_seconds(spec.need, lost_ms);
                victim.workers.insert(name.clone());
                // A worker without a slot accepts no work, so capacity freed there does not count.
                if let Some(&index) = slot_index.get(name) {
                    victim.freed.push((index, allocation.resources));
                }
                victim.accelerators += allocation.resources.accelerators;
            }
        }
        units.into_values().collect()
    }
}

#[expect(
    clippy::cast_precision_loss,
    reason = "amounts of work are far below what a float holds exactly"
)]
fn core_seconds(need: Resources, lost_ms: u64) -> f64 {
    need.core_equivalents().max(1) as f64 * lost_ms as f64 / 1_000.0
}

fn unit_of(task: &TaskId, spec: &StepSpec) -> PreemptionUnit {
    PreemptionUnit {
        step: task.step_id(),
        index: (!spec.is_gang).then_some(task.index),
    }
}
