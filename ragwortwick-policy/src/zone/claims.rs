//! Claims: guarantees that wait for borrowed work to leave, and work that loses its guarantee.

use std::collections::BTreeSet;

use ragwortwick_core::{GangId, TimeMs};

use super::ZonePlacer;
use super::cells::{Cell, Part, merge_parts};
use super::gang::{Gang, GangEvent, GangState};
use super::homes::Wanted;
use super::start::{Pass, Request, overlaps};

impl ZonePlacer {
    /// Takes the customer's own guarantee back from its routine or younger work.
    ///
    /// Only work accepted later is demoted, so two starved jobs can't stop each other in turn.
    pub(super) fn find_demoting(
        &mut self,
        now: TimeMs,
        request: &Request,
        pass: &Pass,
    ) -> Option<Vec<Cell>> {
        if !request.is_urgent && !request.is_starved {
            return None;
        }
        let accepted = self.jobs[&request.job_id].record.accepted_at_ms;
        let mut homes = self.homes.clone();
        let mut closed = pass.closed.clone();
        let mut demotable = Vec::new();
        for (gang_id, gang) in &self.gangs {
            let Some(job) = self.jobs.get(&gang.job_id) else {
                continue;
            };
            let is_routine = !self.weights.is_urgent(job);
            let is_younger = job.record.accepted_at_ms > accepted;
            let gives_way =
                is_routine && job.record.spec.repeatable && (request.is_urgent || is_younger);
            let is_own = gang.spec.customer == request.customer && !gang.is_borrowed;
            if is_own && gives_way && gang.state == GangState::Running {
                homes.unmark(&gang.parts());
                for part in gang.parts() {
                    closed[part.worker] &= !part.mask;
                }
                demotable.push(gang_id.clone());
            }
        }
        if demotable.is_empty() {
            return None;
        }
        let held: Vec<u32> = (0..closed.len())
            .map(|w| pass.closed[w] & !closed[w])
            .collect();
        let borrowed: Vec<u32> = (0..closed.len())
            .map(|w| pass.borrowed[w] | held[w])
            .collect();
        let stop_cost = self.stop_cost(|_| true);
        let wanted = Wanted {
            customer: &request.customer,
            cells: request.cells,
            size: request.size,
            is_urgent: request.is_urgent,
            borrowed: &borrowed,
            stop_cost: &stop_cost,
            closed: &closed,
            excluded: &request.avoided,
        };
        let cells = homes.find(&wanted)?;
        let taken = merge_parts(&cells);
        for gang_id in demotable {
            self.demote_if_touched(&gang_id, &taken);
        }
        debug_assert!(now >= self.owned_since);
        Some(cells)
    }

    pub(super) fn demote_if_touched(&mut self, gang_id: &GangId, taken: &[Part]) {
        let Some(parts) = self.gangs.get(gang_id).map(Gang::parts) else {
            return;
        };
        if parts.iter().any(|part| overlaps(taken, *part)) {
            self.unmark_homes(gang_id, parts);
            self.set_borrowed(gang_id, true);
        }
    }

    /// Gives a gang's accelerators back to their homes, but for those that other covered work holds.
    ///
    /// A worker that comes back may show a gang of which another worker's accelerators have gone to
    /// later work.
    pub(super) fn unmark_homes(&mut self, gang_id: &GangId, mut parts: Vec<Part>) {
        let others = self.gangs.iter().filter(|(id, _)| *id != gang_id);
        for (_, other) in others.filter(|(_, other)| !other.is_borrowed) {
            for held in other.parts() {
                for part in parts.iter_mut().filter(|p| p.worker == held.worker) {
                    part.mask &= !held.mask;
                }
            }
        }
        self.homes.unmark(&parts);
    }

    pub(super) fn set_borrowed(&mut self, gang_id: &GangId, is_borrowed: bool) {
        let Some(gang) = self.gangs.get_mut(gang_id) else {
            return;
        };
        gang.is_borrowed = is_borrowed;
        let workers: Vec<usize> = gang.members.iter().map(|m| m.part.worker).collect();
        for worker in workers {
            for hold in &mut self.ledger.workers[worker].holds {
                if hold.gang_id == *gang_id {
                    hold.is_borrowed = is_borrowed;
                }
            }
        }
    }

    pub(super) fn victims_of(&self, parts: &[Part]) -> BTreeSet<GangId> {
        let mut victims = BTreeSet::new();
        for part in parts {
            for hold in &self.ledger.workers[part.worker].holds {
                if hold.mask & part.mask != 0 {
                    victims.insert(hold.gang_id.clone());
                }
            }
        }
        victims
    }

    /// Lets claims go on whose accelerators are free by now.
    pub(super) fn unblock_claims(&mut self, now: TimeMs) {
        let mut free = Vec::new();
        for (gang_id, gang) in &self.gangs {
            let is_free = gang.state == GangState::Claiming
                && gang.members.iter().all(|member| {
                    let holds = &self.ledger.workers[member.part.worker].holds;
                    holds
                        .iter()
                        .all(|hold| hold.gang_id == *gang_id || hold.mask & member.part.mask == 0)
                });
            if is_free {
                free.push(gang_id.clone());
            }
        }
        for gang_id in free {
            self.tell_reclaimed(now, &gang_id);
            self.fire(now, &gang_id, GangEvent::Unblocked);
        }
    }

    pub(super) fn tell_reclaimed(&mut self, now: TimeMs, gang_id: &GangId) {
        let gang = &self.gangs[gang_id];
        let notice = super::ZoneNotice::Reclaimed {
            customer: gang.spec.customer.clone(),
            reclaim_ms: now.since(gang.since),
        };
        self.notice(notice);
    }
}
