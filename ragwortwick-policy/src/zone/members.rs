//! What workers say of the members that they hold.

use ragwortwick_border::{GangOnWorker, GangPhase};
use ragwortwick_core::{GangId, TimeMs};

use super::gang::MemberState;
use super::{OrderId, ZonePlacer};

impl ZonePlacer {
    /// Takes in what a worker says that it holds.
    pub(super) fn on_members(
        &mut self,
        now: TimeMs,
        index: usize,
        order: OrderId,
        held: &[GangOnWorker],
    ) {
        let mut foreign = 0;
        for item in held {
            let gang_id = &item.spec.gang_id;
            let is_ours = self
                .gangs
                .get_mut(gang_id)
                .is_some_and(|gang| gang.member_on(index).is_some());
            if is_ours {
                self.on_member_phase(now, index, order, item);
            } else {
                if !is_over(item.phase) {
                    foreign |= item.device_mask;
                }
                self.clear_stranger(now, index, item);
            }
        }
        if self.ledger.workers[index].foreign != foreign {
            self.ledger.workers[index].foreign = foreign;
            self.is_assign_due = true;
            self.is_place_due = true;
        }
        self.note_absent(now, index, order, held);
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
        if order.0 < member.since_order {
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
            self.blame(now, index, &job_id, &item.reason);
        }
        if item.phase == GangPhase::Finished {
            self.clear_worker(now, index);
        }
        self.set_member(now, index, gang_id, next);
    }

    /// Members that a worker no longer has are gone, unless the answer is older than their state.
    pub(super) fn note_absent(
        &mut self,
        now: TimeMs,
        index: usize,
        order: OrderId,
        held: &[GangOnWorker],
    ) {
        let mut gone = Vec::new();
        for hold in &self.ledger.workers[index].holds {
            if held.iter().any(|item| item.spec.gang_id == hold.gang_id) {
                continue;
            }
            let Some(gang) = self.gangs.get(&hold.gang_id) else {
                continue;
            };
            let member = gang.members.iter().find(|m| m.part.worker == index);
            let is_absent = member.is_some_and(|member| {
                order.0 >= member.since_order
                    && matches!(
                        member.state,
                        MemberState::Unknown
                            | MemberState::Reserved
                            | MemberState::Running
                            | MemberState::Leaving
                    )
            });
            if is_absent {
                gone.push(hold.gang_id.clone());
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
        // How a member ended is the last word on it.
        if matches!(member.state, MemberState::Ended(_)) {
            return;
        }
        member.state = to;
        member.since_order = next_order;
        if to.is_over() {
            self.ledger.release(index, gang_id);
            self.is_place_due = true;
        }
        self.check_gang(now, gang_id);
    }
}

pub(super) fn is_over(phase: GangPhase) -> bool {
    matches!(
        phase,
        GangPhase::Finished | GangPhase::Failed | GangPhase::Stopped
    )
}
