//! Free capacity of a pool's workers during one placement pass.

use std::collections::BTreeSet;
use std::sync::Arc;

use ragwortwick_core::{PoolName, RackName, TimeMs};

use crate::coordinator::Coordinator;
use crate::job::{Resources, StepSpec};
use crate::packing::Slot;
use crate::reachability::silent_zones;
use crate::restarts::unsettled_identities;
use crate::worker::Worker;

/// Below this share of accelerators in use, tasks may also be placed where they run slower.
///
/// Idle capacity is of no use, and slow work is better than none while there is capacity left for others.
const MOSTLY_IDLE_PERCENT: u64 = 50;

/// Share of a pool's workers whose first reply is awaited, above which no run is stopped for another.
const MAX_AWAITED_PERCENT: usize = 10;

/// `PoolCapacity` is the free capacity of one pool's workers during a placement pass.
#[derive(Debug, Default)]
pub(crate) struct PoolCapacity {
    pub(crate) slots: Vec<Slot>,
    /// Allocations by slot index since this was last drained.
    pub(crate) allocations: Vec<(usize, Resources)>,
    total_accelerators: u64,
    used_accelerators: u64,
    /// Racks of evacuated zones.
    evacuated_racks: BTreeSet<RackName>,
    /// Whether its workers are known to differ in speed, and work is placed by its expected finish.
    pub(crate) is_uneven: bool,
    /// Whether a worker has yet to list run ends, so that abandoned runs may turn out to have completed.
    pub(crate) awaits_run_ends: bool,
    listed_workers: usize,
    /// Workers that have just been listed and have not replied yet.
    awaited_workers: usize,
}

impl PoolCapacity {
    pub(crate) fn is_mostly_idle(&self) -> bool {
        self.used_accelerators * 100 < self.total_accelerators * MOSTLY_IDLE_PERCENT
    }

    /// Whether so many first replies are awaited that the pool may have much more free capacity than is known.
    pub(crate) fn is_incomplete(&self) -> bool {
        self.awaited_workers * 100 > self.listed_workers * MAX_AWAITED_PERCENT
    }

    /// Whether no task can run close to the step's data, because the zone with the data is evacuated.
    pub(crate) fn has_unreachable_data(&self, spec: &StepSpec) -> bool {
        let data_rack = spec.data_rack.as_ref();
        data_rack.is_some_and(|rack| self.evacuated_racks.contains(rack))
    }

    pub(crate) fn has_free_accelerators(&self) -> bool {
        self.slots.iter().any(|slot| slot.free.accelerators > 0)
    }

    /// Allocates resources for a task on a slot.
    pub(crate) fn allocate(&mut self, index: usize, need: Resources) {
        let slot = &mut self.slots[index];
        slot.allocate(need);
        slot.has_no_recent_start = false;
        self.used_accelerators += need.accelerators;
        self.allocations.push((index, need));
    }

    /// Excludes a slot from further placements in this pass.
    pub(crate) fn close_slot(&mut self, index: usize) {
        self.slots[index].is_closed = true;
    }
}

impl Coordinator {
    /// Returns the free capacity of a pool; only workers that accept new work have slots, and workers in
    /// evacuated zones count for nothing.
    pub(crate) fn pool_capacity(&self, now: TimeMs, pool: &PoolName) -> PoolCapacity {
        let contacts = self.workers.values().filter(|worker| worker.is_listed);
        let silent_zones =
            silent_zones(contacts.map(|worker| (&worker.entry.zone, worker.contact)));
        let unsettled = unsettled_identities(&self.workers);
        let mut pool_capacity = PoolCapacity {
            is_uneven: self.limits.places_by_speed && self.speeds.is_uneven(),
            awaits_run_ends: self.workers.values().any(Worker::is_listing_ends),
            ..PoolCapacity::default()
        };
        for (name, worker) in &self.workers {
            if worker.entry.pool != *pool || !worker.is_listed {
                continue;
            }
            if self.evacuations.contains(&worker.entry.zone) {
                let rack = worker.entry.rack.clone();
                pool_capacity.evacuated_racks.insert(rack);
                continue;
            }
            pool_capacity.listed_workers += 1;
            pool_capacity.awaited_workers += usize::from(worker.awaits_first_reply(now));
            let free = worker.free();
            pool_capacity.total_accelerators += worker.entry.capacity.accelerators;
            pool_capacity.used_accelerators +=
                worker.entry.capacity.accelerators - free.accelerators;
            let is_silent = worker.needs_first_poll() || silent_zones.contains(&worker.entry.zone);
            let is_unsettled = unsettled.contains(name.identity());
            if worker.is_schedulable(now) && !is_silent && !is_unsettled {
                pool_capacity.slots.push(Slot {
                    worker: name.clone(),
                    rack: worker.entry.rack.clone(),
                    rack_number: 0,
                    labels: Arc::clone(&worker.entry.labels),
                    free,
                    overcommitted: worker.overcommitted(),
                    capacity_accelerators: worker.entry.capacity.accelerators,
                    consecutive_failures: worker.consecutive_failures,
                    speed: self.speeds.speed_of(name),
                    is_headroom: false,
                    has_no_recent_start: worker.has_no_recent_start(now),
                    is_closed: false,
                });
            }
        }
        // The slots of a rack are contiguous, so that packing finds them without a map.
        pool_capacity.slots.sort_by(|a, b| a.rack.cmp(&b.rack));
        for (number, rack) in (0..).zip(pool_capacity.slots.chunk_by_mut(|a, b| a.rack == b.rack)) {
            for slot in rack {
                slot.rack_number = number;
            }
        }
        pool_capacity
    }
}
