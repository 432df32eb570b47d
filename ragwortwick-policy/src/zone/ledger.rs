//! The zone's own account of its workers and of who holds which accelerators.

use std::collections::{BTreeMap, BTreeSet};

use ragwortwick_core::{GangId, JobId, RackName, TimeMs, WorkerName, common};

use super::WorkerInfo;
use super::cells::Part;
use super::pool::{Pool, full_mask};

/// `Listing` is what the platform's host list says of a worker.
#[common(key)]
pub(super) enum Listing {
    Live,
    Leaving,
    Unlisted,
}

/// `Judgement` is the evidence-based state of a worker.
#[common(key)]
pub(super) enum Judgement {
    Trusted,
    Quarantined { trial_at: TimeMs },
    Trial,
}

/// `Hold` is a gang's claim on accelerators of one worker.
#[common]
pub(super) struct Hold {
    pub(super) gang_id: GangId,
    pub(super) mask: u32,
    pub(super) is_borrowed: bool,
    /// Waiting for borrowed work to leave; not yet the gang's own.
    pub(super) is_claim: bool,
}

/// `WorkerEntry` is one worker in the ledger.
#[derive(Clone, Debug)]
pub(super) struct WorkerEntry {
    pub(super) name: WorkerName,
    pub(super) rack: usize,
    pub(super) accelerators: u32,
    pub(super) listing: Listing,
    /// Its inventory was read under this epoch.
    pub(super) is_known: bool,
    /// Orders in a row without answer.
    pub(super) silent_orders: u32,
    /// When the first of these orders went unanswered.
    pub(super) silent_since: TimeMs,
    pub(super) next_renew: TimeMs,
    pub(super) is_renewing: bool,
    pub(super) judgement: Judgement,
    pub(super) quarantines: u32,
    pub(super) evidence: BTreeSet<JobId>,
    pub(super) holds: Vec<Hold>,
    /// Accelerators held by members that no known gang has.
    pub(super) foreign: u32,
}

/// Unanswered orders in a row after which nothing new is placed on a worker.
pub(super) const LOST_AFTER_SILENT_ORDERS: u32 = 2;

impl WorkerEntry {
    pub(super) fn is_lost(&self) -> bool {
        self.silent_orders >= LOST_AFTER_SILENT_ORDERS || self.listing == Listing::Unlisted
    }

    /// Whether guarantees may rest on it.
    pub(super) fn is_usable(&self) -> bool {
        self.listing == Listing::Live
            && !self.is_lost()
            && self.is_known
            && self.judgement == Judgement::Trusted
    }

    pub(super) fn full(&self) -> u32 {
        full_mask(self.accelerators)
    }

    pub(super) fn held(&self) -> u32 {
        self.holds
            .iter()
            .fold(self.foreign, |mask, hold| mask | hold.mask)
    }

    /// Accelerators held by borrowed work.
    pub(super) fn borrowed(&self) -> u32 {
        self.holds
            .iter()
            .filter(|hold| hold.is_borrowed && !hold.is_claim)
            .fold(0, |mask, hold| mask | hold.mask)
    }

    /// Accelerators that even a guarantee can't get now: covered work, claims, strangers.
    pub(super) fn closed(&self) -> u32 {
        self.holds
            .iter()
            .filter(|hold| !hold.is_borrowed || hold.is_claim)
            .fold(self.foreign, |mask, hold| mask | hold.mask)
    }

    pub(super) fn state(&self) -> &'static str {
        match (self.is_lost(), self.listing, self.judgement) {
            (true, _, _) => "lost",
            (_, Listing::Leaving, _) => "leaving",
            (_, _, Judgement::Quarantined { .. }) => "quarantined",
            (_, _, Judgement::Trial) => "trial",
            _ => "live",
        }
    }
}

/// `Ledger` is all workers of the zone.
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

    /// `list` adds a worker or takes over what changed; tells its index and whether it is new.
    pub(super) fn list(&mut self, info: &WorkerInfo, now: TimeMs) -> (usize, bool) {
        let next_rack = self.racks.len();
        let rack = *self.racks.entry(info.rack.clone()).or_insert(next_rack);
        if let Some(index) = self.index_of(&info.worker) {
            let entry = &mut self.workers[index];
            let is_back = entry.listing == Listing::Unlisted;
            entry.listing = Listing::Live;
            entry.rack = rack;
            entry.accelerators = info.accelerators;
            if is_back {
                entry.is_known = false;
                entry.silent_orders = 0;
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
            is_known: false,
            silent_orders: 0,
            silent_since: now,
            next_renew: now,
            is_renewing: false,
            judgement: Judgement::Trusted,
            quarantines: 0,
            evidence: BTreeSet::new(),
            holds: Vec::new(),
            foreign: 0,
        });
        (index, true)
    }

    /// `hold` books a gang's parts.
    pub(super) fn hold(&mut self, parts: &[Part], hold: &Hold) {
        for part in parts {
            self.workers[part.worker].holds.push(Hold {
                mask: part.mask,
                ..hold.clone()
            });
        }
    }

    /// `release` gives back what a gang holds on one worker.
    pub(super) fn release(&mut self, worker: usize, gang_id: &GangId) {
        self.workers[worker]
            .holds
            .retain(|hold| hold.gang_id != *gang_id);
    }

    /// `usable_pool` gives the accelerators that guarantees may rest on, held or not.
    pub(super) fn usable_pool(&self) -> Pool {
        self.pool(|worker| {
            if worker.is_usable() {
                worker.full() & !worker.foreign
            } else {
                0
            }
        })
    }

    /// `idle_pool` gives the accelerators where a gang can start now.
    pub(super) fn idle_pool(&self) -> Pool {
        self.pool(|worker| {
            if worker.is_usable() {
                worker.full() & !worker.held()
            } else {
                0
            }
        })
    }

    /// `listed_pool` gives all accelerators of the listed workers.
    pub(super) fn listed_pool(&self) -> Pool {
        self.pool(|worker| {
            if worker.listing == Listing::Unlisted {
                0
            } else {
                worker.full()
            }
        })
    }

    fn pool(&self, free: impl Fn(&WorkerEntry) -> u32) -> Pool {
        let mut pool = Pool::default();
        for worker in &self.workers {
            pool.push(worker.rack, free(worker), 0);
        }
        pool
    }
}

impl Ledger {
    /// `index_or_unlisted` finds a worker, or enters one that is named by a gang but not listed.
    pub(super) fn index_or_unlisted(&mut self, worker: &WorkerName, now: TimeMs) -> usize {
        if let Some(index) = self.index_of(worker) {
            return index;
        }
        let info = WorkerInfo {
            worker: worker.clone(),
            rack: RackName::new(""),
            accelerators: 0,
        };
        let (index, _) = self.list(&info, now);
        self.workers[index].listing = Listing::Unlisted;
        index
    }
}
