//! Orders under way and what their answers, or the lack of them, mean for gangs.

use ragwortwick_border::{WorkerCommand, WorkerOutcome, WorkerReply};
use ragwortwick_core::{GangId, TimeMs, WorkerName, common};

use super::gang::{EndCause, GangEvent, GangState, MemberState};
use super::ledger::LOST_AFTER_SILENT_ORDERS;
use super::{OrderId, ZoneNotice, ZonePlacer};

/// `OrderKind` is what an order under way asks for.
#[common]
pub(super) enum OrderKind {
    Inventory,
    Renew,
    Reserve(GangId),
    Commit(GangId),
    Release(GangId),
    Stop(GangId),
    Forget,
}

/// `PendingOrder` is an order without answer yet.
#[common]
pub(super) struct PendingOrder {
    pub(super) worker: usize,
    pub(super) kind: OrderKind,
    pub(super) sent_at: TimeMs,
}

impl PendingOrder {
    pub(super) fn new(worker: usize, command: &WorkerCommand, sent_at: TimeMs) -> Self {
        let kind = match command {
            WorkerCommand::Inventory => OrderKind::Inventory,
            WorkerCommand::Renew(_) => OrderKind::Renew,
            WorkerCommand::Reserve(reserve) => OrderKind::Reserve(reserve.spec.gang_id.clone()),
            WorkerCommand::Commit(commit) => OrderKind::Commit(commit.gang_id.clone()),
            WorkerCommand::Release(gang) => OrderKind::Release(gang.gang_id.clone()),
            WorkerCommand::Checkpoint(gang) | WorkerCommand::Forget(gang) => {
                let _ = gang;
                OrderKind::Forget
            }
            WorkerCommand::Stop(stop) => OrderKind::Stop(stop.gang_id.clone()),
            WorkerCommand::Throttle(_) => OrderKind::Forget,
        };
        Self {
            worker,
            kind,
            sent_at,
        }
    }
}

impl ZonePlacer {
    pub(super) fn on_reply(
        &mut self,
        now: TimeMs,
        worker: &WorkerName,
        order: OrderId,
        reply: &WorkerReply,
    ) {
        let Some(pending) = self.orders.remove(&order) else {
            return;
        };
        // An epoch above ours means that another host owns the zone. Acting on would be refused
        // member by member and could leave a gang half started, so this owner stops at once.
        if reply.highest_epoch > self.epoch || reply.outcome == WorkerOutcome::StaleEpoch {
            let epoch = reply.highest_epoch;
            self.forget_all();
            self.notice(ZoneNotice::Fenced { epoch });
            return;
        }
        debug_assert_eq!(self.ledger.index_of(worker), Some(pending.worker));
        self.heard_from(pending.worker);
        let index = pending.worker;
        match pending.kind {
            OrderKind::Inventory => self.on_inventory(now, index, order, &reply.gangs),
            OrderKind::Renew => {
                self.ledger.workers[index].is_renewing = false;
                self.on_members(now, index, order, &reply.gangs);
            }
            OrderKind::Reserve(gang_id) => {
                self.on_reserve_answer(now, index, &gang_id, reply.outcome);
            }
            OrderKind::Commit(gang_id) => {
                self.on_commit_answer(now, index, &gang_id, reply.outcome);
            }
            OrderKind::Release(gang_id) => {
                self.set_member(now, index, &gang_id, MemberState::Gone);
            }
            OrderKind::Stop(gang_id) => {
                if reply.outcome == WorkerOutcome::UnknownGang {
                    self.set_member(now, index, &gang_id, MemberState::Gone);
                }
            }
            OrderKind::Forget => {}
        }
    }

    pub(super) fn on_order_timed_out(&mut self, now: TimeMs, _worker: &WorkerName, order: OrderId) {
        let Some(pending) = self.orders.remove(&order) else {
            return;
        };
        let index = pending.worker;
        let entry = &mut self.ledger.workers[index];
        if entry.silent_orders == 0 {
            entry.silent_since = now;
        }
        entry.silent_orders += 1;
        if entry.silent_orders == LOST_AFTER_SILENT_ORDERS {
            self.is_assign_due = true;
            self.is_place_due = true;
        }
        match pending.kind {
            OrderKind::Inventory | OrderKind::Renew => {
                let entry = &mut self.ledger.workers[index];
                entry.is_renewing = false;
                entry.next_renew = now + self.options.renew_interval_ms;
            }
            // The member may hold its reservation: the gang is given up and the release is sent.
            OrderKind::Reserve(gang_id) => {
                self.avoid_worker(&gang_id, index);
                self.abort(now, &gang_id, EndCause::Refused("no answer".to_owned()));
            }
            // The member may run. Asking again is harmless, and only an answer settles it.
            OrderKind::Commit(gang_id) => self.on_commit_timed_out(now, index, &gang_id),
            OrderKind::Release(gang_id) | OrderKind::Stop(gang_id) => {
                self.repeat_stop(now, index, &gang_id);
            }
            OrderKind::Forget => {}
        }
    }

    fn heard_from(&mut self, index: usize) {
        let entry = &mut self.ledger.workers[index];
        if entry.silent_orders >= LOST_AFTER_SILENT_ORDERS {
            self.is_assign_due = true;
            self.is_place_due = true;
        }
        entry.silent_orders = 0;
    }

    fn on_reserve_answer(
        &mut self,
        now: TimeMs,
        index: usize,
        gang_id: &GangId,
        outcome: WorkerOutcome,
    ) {
        if outcome == WorkerOutcome::Done {
            self.set_member_if(
                now,
                index,
                gang_id,
                MemberState::Reserving,
                MemberState::Reserved,
            );
            return;
        }
        self.set_member_if(
            now,
            index,
            gang_id,
            MemberState::Reserving,
            MemberState::Gone,
        );
        // The ledger and the worker disagree, or it can't start anything: read its inventory.
        self.ledger.workers[index].next_renew = now;
        if outcome == WorkerOutcome::Failing
            && let Some(job_id) = self.gangs.get(gang_id).map(|gang| gang.job_id.clone())
        {
            self.blame(now, index, &job_id, "it refused to start");
        }
        self.avoid_worker(gang_id, index);
        self.abort(now, gang_id, EndCause::Refused(outcome.to_string()));
    }

    fn on_commit_answer(
        &mut self,
        now: TimeMs,
        index: usize,
        gang_id: &GangId,
        outcome: WorkerOutcome,
    ) {
        if outcome == WorkerOutcome::Done {
            let lease_until = now + self.options.task_lease_ms;
            self.extend_lease(index, gang_id, lease_until);
            self.set_member_if(
                now,
                index,
                gang_id,
                MemberState::Committing,
                MemberState::Running,
            );
            return;
        }
        self.set_member_if(
            now,
            index,
            gang_id,
            MemberState::Committing,
            MemberState::Gone,
        );
        let cause = if outcome == WorkerOutcome::Failing {
            EndCause::Failed("the worker could not start it".to_owned())
        } else {
            EndCause::MemberLost(outcome.to_string())
        };
        if let EndCause::Failed(reason) = &cause
            && let Some(job_id) = self.gangs.get(gang_id).map(|gang| gang.job_id.clone())
        {
            self.blame(now, index, &job_id, reason);
        }
        self.abort(now, gang_id, cause);
    }

    fn on_commit_timed_out(&mut self, now: TimeMs, index: usize, gang_id: &GangId) {
        self.extend_lease(index, gang_id, now + self.options.task_lease_ms);
        let Some(gang) = self.gangs.get(gang_id) else {
            return;
        };
        if gang.state != GangState::Committing {
            return;
        }
        if now < gang.since + self.options.reserve_lease_ms {
            self.commit_member(now, index, gang_id);
        } else {
            let cause = EndCause::MemberLost("a commit got no answer".to_owned());
            self.abort(now, gang_id, cause);
        }
    }

    fn extend_lease(&mut self, index: usize, gang_id: &GangId, lease_until: TimeMs) {
        if let Some(member) = self.gangs.get_mut(gang_id).and_then(|g| g.member_on(index)) {
            member.lease_until = member.lease_until.max(lease_until);
        }
    }

    /// Keeps a job off a worker that refused it.
    fn avoid_worker(&mut self, gang_id: &GangId, index: usize) {
        let job_id = self.gangs.get(gang_id).map(|gang| gang.job_id.clone());
        if let Some(job) = job_id.and_then(|job_id| self.jobs.get_mut(&job_id)) {
            job.refused_by.insert(index);
        }
    }

    pub(super) fn abort(&mut self, now: TimeMs, gang_id: &GangId, cause: EndCause) {
        let Some(gang) = self.gangs.get_mut(gang_id) else {
            return;
        };
        if gang.cause.is_none() {
            gang.cause = Some(cause);
        }
        self.fire(now, gang_id, GangEvent::Abort);
        self.check_gang(now, gang_id);
    }
}
