//! Changes to the listed workers and the binding of guaranteed cells to their accelerators.

use ragwortwick_border::{GuaranteeRow, WorkerCommand};
use ragwortwick_core::{GangId, TimeMs, WorkerName};

use super::bindings::{GuaranteedGang, bind_cells};
use super::gang::{EndCause, GangState};
use super::ledger::{Listing, WorkerEntry};
use super::placer::Ownership;
use super::{WorkerInfo, ZoneNotice, ZonePlacer};

impl ZonePlacer {
    pub(super) fn on_listed(&mut self, now: TimeMs, info: &WorkerInfo) {
        let (index, is_new) = self.ledger.list_worker(info, now);
        self.is_rebind_due = true;
        self.is_place_due = true;
        if is_new && self.ownership != Ownership::NotOwner {
            self.ledger.workers[index].is_renewing = true;
            self.order(now, index, WorkerCommand::Inventory);
        }
    }

    pub(super) fn on_listing_changed(&mut self, worker: &WorkerName, listing: Listing) {
        if let Some(index) = self.ledger.index_of(worker) {
            self.ledger.workers[index].listing = listing;
            self.is_rebind_due = true;
            self.is_place_due = true;
        }
    }

    /// Binds every guaranteed cell to accelerators of the workers that are usable now.
    ///
    /// Guaranteed work that no bound cell contains any more continues as borrowed work.
    pub(super) fn rebind_cells(&mut self, now: TimeMs) {
        let Some(table) = self.table.clone() else {
            return;
        };
        let rows: Vec<&GuaranteeRow> = table
            .table
            .guarantees
            .iter()
            .filter(|row| row.zone == self.zone)
            .collect();
        // A pass that demotes gangs to borrowed work had bound cells around them, so it is repeated.
        while !self.try_rebind_cells(now, &rows) {}
        self.is_place_due = true;
        self.report_short(now);
    }

    /// Binds the cells once and returns whether they contain all guaranteed work.
    fn try_rebind_cells(&mut self, now: TimeMs, rows: &[&GuaranteeRow]) -> bool {
        let mut gang_ids = Vec::new();
        let mut guaranteed = Vec::new();
        for (gang_id, gang) in &self.gangs {
            if !gang.is_borrowed && gang.state != GangState::Ended {
                gang_ids.push(gang_id.clone());
                guaranteed.push(GuaranteedGang {
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
            .map(WorkerEntry::borrowed_mask)
            .collect();
        let steps = self.bindings.steps;
        let (bindings, fits) = bind_cells(rows, &usable, &guaranteed);
        self.bindings = bindings;
        self.bindings.steps += steps;
        let is_complete = fits.iter().all(|is_guaranteed| *is_guaranteed);
        for (gang_id, is_guaranteed) in gang_ids.iter().zip(fits) {
            if !is_guaranteed {
                self.set_borrowed(gang_id, true);
                self.abort_claim(now, gang_id);
            }
        }
        is_complete
    }

    /// Aborts a claim of work that is no longer guaranteed: only a guarantee may preempt borrowed work.
    fn abort_claim(&mut self, now: TimeMs, gang_id: &GangId) {
        let state = self.gangs.get(gang_id).map(|gang| gang.state);
        if state == Some(GangState::Claiming) {
            let cause = EndCause::Refused("its guarantee moved".to_owned());
            self.abort(now, gang_id, cause);
        }
    }

    fn report_short(&mut self, _now: TimeMs) {
        // Until the inventories are read every worker is unusable, which is no shortage to report.
        if self.ownership != Ownership::Placing {
            return;
        }
        let short = self.bindings.cells_short();
        let mut customers: Vec<_> = short
            .keys()
            .chain(self.reported_short.keys())
            .cloned()
            .collect();
        customers.sort();
        customers.dedup();
        for customer in customers {
            let cells_short = short.get(&customer).copied().unwrap_or(0);
            let reported = self.reported_short.get(&customer).copied().unwrap_or(0);
            if cells_short != reported {
                self.notice(ZoneNotice::GuaranteeShort {
                    customer,
                    cells_short,
                });
            }
        }
        self.reported_short = short;
    }
}
