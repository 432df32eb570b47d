//! Pending orders, and the effect of their replies and timeouts on gangs.

use ragwortwick_border::{WorkerCommand, WorkerOutcome, WorkerReply};
use ragwortwick_core::{GangId, TimeMs, WorkerName, common};

use super::gang::{EndCause, GangEvent, GangState, MemberState};
use super::ledger::LOST_AFTER_UNANSWERED_ORDERS;
use super::{OrderId, ZoneNotice, ZonePlacer};

/// `OrderKind` is the request of a pending order.
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

/// `PendingOrder` is an order that awaits its reply.
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
        let Some(pending) = self.pending_orders.remove(&order) else {
            return;
        };
        // A higher epoch means that another host owns the zone. Workers would refuse further orders one by
        // one, which could leave a gang partially started, so this owner stops at once.
        if reply.highest_epoch > self.epoch || reply.outcome == WorkerOutcome::StaleEpoch {
            let epoch = reply.highest_epoch;
            self.clear_state();
            self.notice(ZoneNotice::Fenced { epoch });
            return;
        }
        debug_assert_eq!(self.ledger.index_of(worker), Some(pending.worker));
        self.mark_responsive(pending.worker);
        let index = pending.worker;
        match pending.kind {
            OrderKind::Inventory => self.on_inventory(now, index, order, &reply.gangs),
            OrderKind::Renew => {
                self.ledger.workers[index].is_renewing = false;
                self.on_members(now, index, order, &reply.gangs);
            }
            OrderKind::Reserve(gang_id) => {
                self.on_reserve_reply(now, index, &gang_id, reply.outcome);
            }
            OrderKind::Commit(gang_id) => {
                self.on_commit_reply(now, index, &gang_id, reply.outcome);
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
        let Some(pending) = self.pending_orders.remove(&order) else {
            return;
        };
        let index = pending.worker;
        let entry = &mut self.ledger.workers[index];
        if entry.unanswered_orders == 0 {
            entry.unresponsive_since = now;
        }
        entry.unanswered_orders += 1;
        if entry.unanswered_orders == LOST_AFTER_UNANSWERED_ORDERS {
            self.is_rebind_due = true;
            self.is_place_due = true;
        }
        match pending.kind {
            OrderKind::Inventory | OrderKind::Renew => {
                let entry = &mut self.ledger.workers[index];
                entry.is_renewing = false;
                entry.next_renew_at = now + self.options.renew_interval_ms;
            }
            // The worker may have made the reservation: abort the gang, which sends the release.
            OrderKind::Reserve(gang_id) => {
                self.exclude_worker(&gang_id, index);
                self.abort(now, &gang_id, EndCause::Refused("no answer".to_owned()));
            }
            // The member may run. A commit can be repeated safely, and only a reply shows the state.
            OrderKind::Commit(gang_id) => self.on_commit_timed_out(now, index, &gang_id),
            OrderKind::Release(gang_id) | OrderKind::Stop(gang_id) => {
                self.repeat_stop(now, index, &gang_id);
            }
            OrderKind::Forget => {}
        }
    }

    fn mark_responsive(&mut self, index: usize) {
        let entry = &mut self.ledger.workers[index];
        if entry.unanswered_orders >= LOST_AFTER_UNANSWERED_ORDERS {
            self.is_rebind_due = true;
            self.is_place_due = true;
        }
        entry.unanswered_orders = 0;
    }

    fn on_reserve_reply(
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
        // The ledger differs from the worker, or the worker cannot start members: read its inventory.
        self.ledger.workers[index].next_renew_at = now;
        if outcome == WorkerOutcome::Failing
            && let Some(job_id) = self.gangs.get(gang_id).map(|gang| gang.job_id.clone())
        {
            self.attribute_failure(now, index, &job_id, "it refused to start");
        }
        self.exclude_worker(gang_id, index);
        self.abort(now, gang_id, EndCause::Refused(outcome.to_string()));
    }

    fn on_commit_reply(
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
            self.attribute_failure(now, index, &job_id, reason);
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
        if now < gang.entered_at + self.options.reserve_lease_ms {
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

    /// Excludes a worker that refused the job from its next placements.
    fn exclude_worker(&mut self, gang_id: &GangId, index: usize) {
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
