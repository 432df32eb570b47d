//! The placer's record of the zone's workers and of the gangs that their accelerators are allocated to.

use std::collections::{BTreeMap, BTreeSet};

use ragwortwick_core::{GangId, JobId, RackName, TimeMs, WorkerName, common};

use super::WorkerInfo;
use super::cells::Part;
use super::pool::{Pool, full_mask};

/// `Listing` is a worker's state in the platform's host list.
#[common(key)]
pub(super) enum Listing {
    Live,
    Leaving,
    Unlisted,
}

/// `WorkerHealth` is the state of a worker that its failed jobs lead to.
#[common(key)]
pub(super) enum WorkerHealth {
    Trusted,
    Quarantined { trial_at: TimeMs },
    Trial,
}

/// `Allocation` is the accelerators of one worker that a gang has or claims.
#[common]
pub(super) struct Allocation {
    pub(super) gang_id: GangId,
    pub(super) mask: u32,
    pub(super) is_borrowed: bool,
    /// The gang waits for borrowed work to stop and has not reserved the accelerators yet.
    pub(super) is_claim: bool,
}

/// `WorkerEntry` is the state of one worker in the ledger.
#[derive(Clone, Debug)]
pub(super) struct WorkerEntry {
    pub(super) name: WorkerName,
    pub(super) rack: usize,
    pub(super) accelerators: u32,
    pub(super) listing: Listing,
    /// Whether its inventory was read under this epoch.
    pub(super) has_inventory: bool,
    /// Consecutive orders without a reply.
    pub(super) unanswered_orders: u32,
    /// When the first of these orders timed out.
    pub(super) unresponsive_since: TimeMs,
    pub(super) next_renew_at: TimeMs,
    pub(super) is_renewing: bool,
    pub(super) health: WorkerHealth,
    pub(super) quarantines: u32,
    pub(super) failed_jobs: BTreeSet<JobId>,
    pub(super) allocations: Vec<Allocation>,
    /// Accelerators in use by members that belong to no known gang.
    pub(super) untracked_mask: u32,
}

/// Consecutive unanswered orders after which nothing new is placed on a worker.
pub(super) const LOST_AFTER_UNANSWERED_ORDERS: u32 = 2;

impl WorkerEntry {
    pub(super) fn is_lost(&self) -> bool {
        self.unanswered_orders >= LOST_AFTER_UNANSWERED_ORDERS || self.listing == Listing::Unlisted
    }

    /// Whether guaranteed cells may be bound to its accelerators.
    pub(super) fn is_usable(&self) -> bool {
        self.listing == Listing::Live
            && !self.is_lost()
            && self.has_inventory
            && self.health == WorkerHealth::Trusted
    }

    pub(super) fn capacity_mask(&self) -> u32 {
        full_mask(self.accelerators)
    }

    pub(super) fn allocated_mask(&self) -> u32 {
        self.allocations
            .iter()
            .fold(self.untracked_mask, |mask, allocation| {
                mask | allocation.mask
            })
    }

    /// Accelerators allocated to borrowed work.
    pub(super) fn borrowed_mask(&self) -> u32 {
        self.allocations
            .iter()
            .filter(|allocation| allocation.is_borrowed && !allocation.is_claim)
            .fold(0, |mask, allocation| mask | allocation.mask)
    }

    /// Accelerators that no guarantee can reclaim now: guaranteed work, claims and untracked members.
    pub(super) fn unavailable_mask(&self) -> u32 {
        self.allocations
            .iter()
            .filter(|allocation| !allocation.is_borrowed || allocation.is_claim)
            .fold(self.untracked_mask, |mask, allocation| {
                mask | allocation.mask
            })
    }

    pub(super) fn state(&self) -> &'static str {
        match (self.is_lost(), self.listing, self.health) {
            (true, _, _) => "lost",
            (_, Listing::Leaving, _) => "leaving",
            (_, _, WorkerHealth::Quarantined { .. }) => "quarantined",
            (_, _, WorkerHealth::Trial) => "trial",
            _ => "live",
        }
    }
}

/// `Ledger` holds all workers of the zone.
#[derive(Clone, Debug, Default)]
pub(super) struct Ledger {
    pub(super) workers: Vec<WorkerEntry>,
    by_name: BTreeMap<WorkerName, usize>,
    racks: BTreeMap<RackName, usize>,
}

impl Ledger {
    pub(super) fn index_of(&self, worker: &WorkerName) -> Option<usize> {
        self.by_name.get(worker).copied()
    }

    pub(super) fn rack_name(&self, rack: usize) -> Option<&RackName> {
        self.racks
            .iter()
            .find(|(_, index)| **index == rack)
            .map(|(name, _)| name)
    }

    /// `list_worker` adds or updates a worker; returns its index and whether it is new or listed again.
    pub(super) fn list_worker(&mut self, info: &WorkerInfo, now: TimeMs) -> (usize, bool) {
        let next_rack = self.racks.len();
        let rack = *self.racks.entry(info.rack.clone()).or_insert(next_rack);
        if let Some(index) = self.index_of(&info.worker) {
            let entry = &mut self.workers[index];
            let is_back = entry.listing == Listing::Unlisted;
            entry.listing = Listing::Live;
            entry.rack = rack;
            entry.accelerators = info.accelerators;
            if is_back {
                entry.has_inventory = false;
                entry.unanswered_orders = 0;
            }
            return (index, is_back);
        }
        let index = self.workers.len();
        self.by_name.insert(info.worker.clone(), index);
        self.workers.push(WorkerEntry {
            name: info.worker.clone(),
            rack,
            accelerators: info.accelerators,
            listing: Listing::Live,
            has_inventory: false,
            unanswered_orders: 0,
            unresponsive_since: now,
            next_renew_at: now,
            is_renewing: false,
            health: WorkerHealth::Trusted,
            quarantines: 0,
            failed_jobs: BTreeSet::new(),
            allocations: Vec::new(),
            untracked_mask: 0,
        });
        (index, true)
    }

    /// `allocate` allocates the parts to a gang.
    pub(super) fn allocate(&mut self, parts: &[Part], allocation: &Allocation) {
        for part in parts {
            self.workers[part.worker].allocations.push(Allocation {
                mask: part.mask,
                ..allocation.clone()
            });
        }
    }

    /// `release` frees the accelerators of one worker that are allocated to a gang.
    pub(super) fn release(&mut self, worker: usize, gang_id: &GangId) {
        self.workers[worker]
            .allocations
            .retain(|allocation| allocation.gang_id != *gang_id);
    }

    /// `usable_pool` returns the accelerators that guaranteed cells may be bound to, allocated or not.
    pub(super) fn usable_pool(&self) -> Pool {
        self.pool(|worker| {
            if worker.is_usable() {
                worker.capacity_mask() & !worker.untracked_mask
            } else {
                0
            }
        })
    }

    /// `idle_pool` returns the accelerators on which a gang can start now.
    pub(super) fn idle_pool(&self) -> Pool {
        self.pool(|worker| {
            if worker.is_usable() {
                worker.capacity_mask() & !worker.allocated_mask()
            } else {
                0
            }
        })
    }

    /// `listed_pool` returns all accelerators of the listed workers.
    pub(super) fn listed_pool(&self) -> Pool {
        self.pool(|worker| {
            if worker.listing == Listing::Unlisted {
                0
            } else {
                worker.capacity_mask()
            }
        })
    }

    fn pool(&self, free: impl Fn(&WorkerEntry) -> u32) -> Pool {
        let mut pool = Pool::default();
        for worker in &self.workers {
            pool.add_worker(worker.rack, free(worker), 0);
        }
        pool
    }
}

impl Ledger {
    /// `index_or_insert_unlisted` finds a worker, or adds one that only a gang names.
    pub(super) fn index_or_insert_unlisted(&mut self, worker: &WorkerName, now: TimeMs) -> usize {
        if let Some(index) = self.index_of(worker) {
            return index;
        }
        let info = WorkerInfo {
            worker: worker.clone(),
            rack: RackName::new(""),
            accelerators: 0,
        };
        let (index, _) = self.list_worker(&info, now);
        self.workers[index].listing = Listing::Unlisted;
        index
    }
}
