//! Processing of the members that workers report.

use ragwortwick_border::{GangOnWorker, GangPhase};
use ragwortwick_core::{GangId, TimeMs};

use super::gang::MemberState;
use super::{OrderId, ZonePlacer};

impl ZonePlacer {
    /// Processes the full list of members that a worker reported.
    pub(super) fn on_members(
        &mut self,
        now: TimeMs,
        index: usize,
        order: OrderId,
        reported: &[GangOnWorker],
    ) {
        let mut untracked_mask = 0;
        for item in reported {
            let gang_id = &item.spec.gang_id;
            let is_ours = self
                .gangs
                .get_mut(gang_id)
                .is_some_and(|gang| gang.member_on(index).is_some());
            if is_ours {
                self.on_member_phase(now, index, order, item);
            } else {
                if !is_ended(item.phase) {
                    untracked_mask |= item.device_mask;
                }
                self.clear_untracked(now, index, item);
            }
        }
        if self.ledger.workers[index].untracked_mask != untracked_mask {
            self.ledger.workers[index].untracked_mask = untracked_mask;
            self.is_rebind_due = true;
            self.is_place_due = true;
        }
        self.mark_absent_gone(now, index, order, reported);
    }

    pub(super) fn on_member_phase(
        &mut self,
        now: TimeMs,
        index: usize,
        order: OrderId,
        item: &GangOnWorker,
    ) {
        let gang_id = &item.spec.gang_id;
        let lease_until = now + self.options.task_lease_ms;
        let Some(member) = self.gangs.get_mut(gang_id).and_then(|g| g.member_on(index)) else {
            return;
        };
        if order.0 < member.valid_from_order {
            return;
        }
        let next = match (item.phase, member.state) {
            (GangPhase::Finished | GangPhase::Failed | GangPhase::Stopped, _) => {
                MemberState::Ended(item.phase)
            }
            (GangPhase::Reserved, MemberState::Unknown) => MemberState::Reserved,
            (
                GangPhase::Running | GangPhase::Checkpointing,
                MemberState::Unknown | MemberState::Committing | MemberState::Reserved,
            ) => MemberState::Running,
            (_, state) => state,
        };
        if member.state == MemberState::Running || next == MemberState::Running {
            member.lease_until = member.lease_until.max(lease_until);
        }
        if next == member.state {
            return;
        }
        if item.phase == GangPhase::Failed {
            let job_id = item.spec.job_id.clone();
            self.attribute_failure(now, index, &job_id, &item.reason);
        }
        if item.phase == GangPhase::Finished {
            self.clear_failures(now, index);
        }
        self.set_member(now, index, gang_id, next);
    }

    /// Marks members as gone that a worker no longer reports, unless the reply is older than their state.
    pub(super) fn mark_absent_gone(
        &mut self,
        now: TimeMs,
        index: usize,
        order: OrderId,
        reported: &[GangOnWorker],
    ) {
        let mut gone = Vec::new();
        for allocation in &self.ledger.workers[index].allocations {
            if reported
                .iter()
                .any(|item| item.spec.gang_id == allocation.gang_id)
            {
                continue;
            }
            let Some(gang) = self.gangs.get(&allocation.gang_id) else {
                continue;
            };
            let member = gang.members.iter().find(|m| m.part.worker == index);
            let is_absent = member.is_some_and(|member| {
                order.0 >= member.valid_from_order
                    && matches!(
                        member.state,
                        MemberState::Unknown
                            | MemberState::Reserved
                            | MemberState::Running
                            | MemberState::Stopping
                    )
            });
            if is_absent {
                gone.push(allocation.gang_id.clone());
            }
        }
        for gang_id in gone {
            self.set_member(now, index, &gang_id, MemberState::Gone);
        }
    }

    pub(super) fn set_member_if(
        &mut self,
        now: TimeMs,
        index: usize,
        gang_id: &GangId,
        from: MemberState,
        to: MemberState,
    ) {
        let member = self.gangs.get_mut(gang_id).and_then(|g| g.member_on(index));
        if member.is_some_and(|member| member.state == from) {
            self.set_member(now, index, gang_id, to);
        }
    }

    pub(super) fn set_member(
        &mut self,
        now: TimeMs,
        index: usize,
        gang_id: &GangId,
        to: MemberState,
    ) {
        let next_order = self.next_order + 1;
        let Some(member) = self.gangs.get_mut(gang_id).and_then(|g| g.member_on(index)) else {
            return;
        };
        // The outcome that a worker reported for a member is final.
        if matches!(member.state, MemberState::Ended(_)) {
            return;
        }
        member.state = to;
        member.valid_from_order = next_order;
        if to.is_ended() {
            self.ledger.release(index, gang_id);
            self.is_place_due = true;
        }
        self.check_gang(now, gang_id);
    }
}

pub(super) fn is_ended(phase: GangPhase) -> bool {
    matches!(
        phase,
        GangPhase::Finished | GangPhase::Failed | GangPhase::Stopped
    )
}
