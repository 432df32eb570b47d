//! Claims, by which guarantees wait for preempted borrowed work, and demotion of guaranteed work.

use std::collections::BTreeSet;

use ragwortwick_core::{GangId, TimeMs};

use super::ZonePlacer;
use super::bindings::CellQuery;
use super::cells::{Cell, Part, merge_parts};
use super::gang::{Gang, GangEvent, GangState};
use super::start::{PlacementPass, PlacementRequest, overlaps};

impl ZonePlacer {
    /// Finds cells for an urgent or starved job by demoting its customer's non-urgent work.
    ///
    /// A starved job demotes only work accepted later, so two starved jobs cannot preempt each other
    /// in turn.
    pub(super) fn find_demoting(
        &mut self,
        now: TimeMs,
        request: &PlacementRequest,
        pass: &PlacementPass,
    ) -> Option<Vec<Cell>> {
        if !request.is_urgent && !request.is_starved {
            return None;
        }
        let accepted = self.jobs[&request.job_id].record.accepted_at_ms;
        let mut bindings = self.bindings.clone();
        let mut unavailable = pass.unavailable.clone();
        let mut demotable = Vec::new();
        for (gang_id, gang) in &self.gangs {
            let Some(job) = self.jobs.get(&gang.job_id) else {
                continue;
            };
            let is_routine = !self.weights.is_urgent(job);
            let is_younger = job.record.accepted_at_ms > accepted;
            let is_preemptible =
                is_routine && job.record.spec.repeatable && (request.is_urgent || is_younger);
            let is_own = gang.spec.customer == request.customer && !gang.is_borrowed;
            if is_own && is_preemptible && gang.state == GangState::Running {
                bindings.mark_unused(&gang.parts());
                for part in gang.parts() {
                    unavailable[part.worker] &= !part.mask;
                }
                demotable.push(gang_id.clone());
            }
        }
        if demotable.is_empty() {
            return None;
        }
        let demotable_mask: Vec<u32> = (0..unavailable.len())
            .map(|w| pass.unavailable[w] & !unavailable[w])
            .collect();
        let borrowed: Vec<u32> = (0..unavailable.len())
            .map(|w| pass.borrowed[w] | demotable_mask[w])
            .collect();
        let stop_cost = self.stop_cost(|_| true);
        let query = CellQuery {
            customer: &request.customer,
            cells: request.cells,
            size: request.size,
            is_urgent: request.is_urgent,
            borrowed: &borrowed,
            stop_cost: &stop_cost,
            unavailable: &unavailable,
            excluded: &request.excluded_workers,
        };
        let cells = bindings.find_cells(&query)?;
        let taken = merge_parts(&cells);
        for gang_id in demotable {
            self.demote_if_overlapping(&gang_id, &taken);
        }
        debug_assert!(now >= self.owned_since);
        Some(cells)
    }

    pub(super) fn demote_if_overlapping(&mut self, gang_id: &GangId, taken: &[Part]) {
        let Some(parts) = self.gangs.get(gang_id).map(Gang::parts) else {
            return;
        };
        if parts.iter().any(|part| overlaps(taken, *part)) {
            self.mark_cells_unused(gang_id, parts);
            self.set_borrowed(gang_id, true);
        }
    }

    /// Marks a gang's accelerators as unused, except those allocated to other guaranteed work.
    ///
    /// A returning worker may report a gang whose accelerators on another worker have since been
    /// allocated to later work.
    pub(super) fn mark_cells_unused(&mut self, gang_id: &GangId, mut parts: Vec<Part>) {
        let others = self.gangs.iter().filter(|(id, _)| *id != gang_id);
        for (_, other) in others.filter(|(_, other)| !other.is_borrowed) {
            for other_part in other.parts() {
                for part in parts.iter_mut().filter(|p| p.worker == other_part.worker) {
                    part.mask &= !other_part.mask;
                }
            }
        }
        self.bindings.mark_unused(&parts);
    }

    pub(super) fn set_borrowed(&mut self, gang_id: &GangId, is_borrowed: bool) {
        let Some(gang) = self.gangs.get_mut(gang_id) else {
            return;
        };
        gang.is_borrowed = is_borrowed;
        let workers: Vec<usize> = gang.members.iter().map(|m| m.part.worker).collect();
        for worker in workers {
            for allocation in &mut self.ledger.workers[worker].allocations {
                if allocation.gang_id == *gang_id {
                    allocation.is_borrowed = is_borrowed;
                }
            }
        }
    }

    pub(super) fn victims_of(&self, parts: &[Part]) -> BTreeSet<GangId> {
        let mut victims = BTreeSet::new();
        for part in parts {
            for allocation in &self.ledger.workers[part.worker].allocations {
                if allocation.mask & part.mask != 0 {
                    victims.insert(allocation.gang_id.clone());
                }
            }
        }
        victims
    }

    /// Continues claims whose accelerators are now free.
    pub(super) fn unblock_claims(&mut self, now: TimeMs) {
        let mut free = Vec::new();
        for (gang_id, gang) in &self.gangs {
            let is_free = gang.state == GangState::Claiming
                && gang.members.iter().all(|member| {
                    let allocations = &self.ledger.workers[member.part.worker].allocations;
                    allocations.iter().all(|allocation| {
                        allocation.gang_id == *gang_id || allocation.mask & member.part.mask == 0
                    })
                });
            if is_free {
                free.push(gang_id.clone());
            }
        }
        for gang_id in free {
            self.report_reclaimed(now, &gang_id);
            self.fire(now, &gang_id, GangEvent::Unblocked);
        }
    }

    pub(super) fn report_reclaimed(&mut self, now: TimeMs, gang_id: &GangId) {
        let gang = &self.gangs[gang_id];
        let notice = super::ZoneNotice::Reclaimed {
            customer: gang.spec.customer.clone(),
            reclaim_ms: now.since(gang.entered_at),
        };
        self.notice(notice);
    }
}
