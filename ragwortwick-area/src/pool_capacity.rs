//! What the workers of a pool have left during one pass of placement.

use std::sync::Arc;

use ragwortwick_core::{PoolName, TimeMs};

use crate::coordinator::Coordinator;
use crate::job::Resources;
use crate::packing::Slot;

/// Below this share of accelerators in use, work also goes where it runs slower.
///
/// What is idle serves nobody, and slow work is better than none while room for others is left.
const SPARE_SHARE_PERCENT: u64 = 50;

/// `PoolCapacity` is what the workers of one pool have left during a pass.
#[derive(Debug, Default)]
pub(crate) struct PoolCapacity {
    pub(crate) slots: Vec<Slot>,
    /// Places taken since this was last emptied.
    pub(crate) allocations: Vec<(usize, Resources)>,
    capacity: u64,
    used: u64,
}

impl PoolCapacity {
    pub(crate) fn is_mostly_idle(&self) -> bool {
        self.used * 100 < self.capacity * SPARE_SHARE_PERCENT
    }

    pub(crate) fn has_free_accelerators(&self) -> bool {
        self.slots.iter().any(|slot| slot.free.accelerators > 0)
    }

    /// Takes room for a task that begins on a worker.
    pub(crate) fn allocate(&mut self, index: usize, need: Resources) {
        let slot = &mut self.slots[index];
        slot.allocate(need);
        slot.has_no_recent_start = false;
        self.used += need.accelerators;
        self.allocations.push((index, need));
    }

    /// Lets nothing else begin on a worker in this pass.
    pub(crate) fn close_slot(&mut self, index: usize) {
        self.slots[index].is_closed = true;
    }
}

impl Coordinator {
    /// What the workers of a pool have left now; only those that take work have slots.
    pub(crate) fn pool_capacity(&self, now: TimeMs, pool: &PoolName) -> PoolCapacity {
        let mut room = PoolCapacity::default();
        for (name, worker) in &self.workers {
            if worker.entry.pool != *pool || !worker.is_listed {
                continue;
            }
            let free = worker.free();
            room.capacity += worker.entry.capacity.accelerators;
            room.used += worker.entry.capacity.accelerators - free.accelerators;
            if worker.is_schedulable(now) {
                room.slots.push(Slot {
                    worker: name.clone(),
                    rack: worker.entry.rack.clone(),
                    rack_number: 0,
                    labels: Arc::clone(&worker.entry.labels),
                    free,
                    overcommitted: worker.overcommitted(),
                    capacity_accelerators: worker.entry.capacity.accelerators,
                    consecutive_failures: worker.consecutive_failures,
                    speed: worker.speed.speed(),
                    is_headroom: false,
                    has_no_recent_start: worker.has_no_recent_start(now),
                    is_closed: false,
                });
            }
        }
        // Racks lie together, so that packing finds them without a map.
        room.slots.sort_by(|a, b| a.rack.cmp(&b.rack));
        for (number, rack) in (0..).zip(room.slots.chunk_by_mut(|a, b| a.rack == b.rack)) {
            for slot in rack {
                slot.rack_number = number;
            }
        }
        room
    }
}
