//! Workers as the platform lists them, and the homes that rest on them.

use ragwortwick_border::{GuaranteeRow, WorkerCommand};
use ragwortwick_core::{GangId, TimeMs, WorkerName};

use super::gang::{EndCause, GangState};
use super::homes::{Covered, assign};
use super::ledger::{Listing, WorkerEntry};
use super::placer::Ownership;
use super::{WorkerInfo, ZoneNotice, ZonePlacer};

impl ZonePlacer {
    pub(super) fn on_listed(&mut self, now: TimeMs, info: &WorkerInfo) {
        let (index, is_new) = self.ledger.list(info, now);
        self.is_assign_due = true;
        self.is_place_due = true;
        if is_new && self.ownership != Ownership::Away {
            self.ledger.workers[index].is_renewing = true;
            self.order(now, index, WorkerCommand::Inventory);
        }
    }

    pub(super) fn on_listing(&mut self, worker: &WorkerName, listing: Listing) {
        if let Some(index) = self.ledger.index_of(worker) {
            self.ledger.workers[index].listing = listing;
            self.is_assign_due = true;
            self.is_place_due = true;
        }
    }

    /// Gives every guaranteed cell a home on the workers that are usable now.
    ///
    /// Covered work that the guarantees no longer hold goes on as borrowed work.
    pub(super) fn assign_homes(&mut self, now: TimeMs) {
        let Some(table) = self.table.clone() else {
            return;
        };
        let rows: Vec<&GuaranteeRow> = table
            .table
            .guarantees
            .iter()
            .filter(|row| row.zone == self.zone)
            .collect();
        // Homes were laid around work that turned out to be uncovered: they are laid anew without it.
        while !self.lay_homes(now, &rows) {}
        self.is_place_due = true;
        self.tell_short(now);
    }

    /// Lays the homes once; tells whether they hold all covered work that they were laid around.
    fn lay_homes(&mut self, now: TimeMs, rows: &[&GuaranteeRow]) -> bool {
        let mut gang_ids = Vec::new();
        let mut covered = Vec::new();
        for (gang_id, gang) in &self.gangs {
            if !gang.is_borrowed && gang.state != GangState::Ended {
                gang_ids.push(gang_id.clone());
                covered.push(Covered {
                    customer: gang.spec.customer.clone(),
                    parts: gang.parts(),
                });
            }
        }
        let mut usable = self.ledger.usable_pool();
        usable.avoid = self
            .ledger
            .workers
            .iter()
            .map(WorkerEntry::borrowed)
            .collect();
        let steps = self.homes.steps;
        let (homes, fits) = assign(rows, &usable, &covered);
        self.homes = homes;
        self.homes.steps += steps;
        let holds_all = fits.iter().all(|is_covered| *is_covered);
        for (gang_id, is_covered) in gang_ids.iter().zip(fits) {
            if !is_covered {
                self.set_borrowed(gang_id, true);
                self.drop_claim(now, gang_id);
            }
        }
        holds_all
    }

    /// Only a guarantee may claim what borrowed work holds.
    fn drop_claim(&mut self, now: TimeMs, gang_id: &GangId) {
        let state = self.gangs.get(gang_id).map(|gang| gang.state);
        if state == Some(GangState::Claiming) {
            let cause = EndCause::Refused("its guarantee moved".to_owned());
            self.abort(now, gang_id, cause);
        }
    }

    fn tell_short(&mut self, _now: TimeMs) {
        // Before the inventories are in, every worker counts as unusable; that is no news.
        if self.ownership != Ownership::Placing {
            return;
        }
        let short = self.homes.cells_short();
        let mut customers: Vec<_> = short
            .keys()
            .chain(self.short_told.keys())
            .cloned()
            .collect();
        customers.sort();
        customers.dedup();
        for customer in customers {
            let cells_short = short.get(&customer).copied().unwrap_or(0);
            let told = self.short_told.get(&customer).copied().unwrap_or(0);
            if cells_short != told {
                self.notice(ZoneNotice::GuaranteeShort {
                    customer,
                    cells_short,
                });
            }
        }
        self.short_told = short;
    }
}
