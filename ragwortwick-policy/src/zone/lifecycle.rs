//! Runs the transitions of gangs and their actions on members.

use ragwortwick_border::{
    CommitCommand, GangPhase, GangRef, JobPhase, ReserveCommand, StopCommand, WorkerCommand,
};
use ragwortwick_core::{DurationMs, GangId, TimeMs};

use super::gang::{EndCause, Gang, GangAction, GangEvent, GangGuard, GangState, MemberState};
use super::{ZoneNotice, ZonePlacer};

/// Time that must remain on the reservations for a commit to be sent.
///
/// An entry host waits less than this for a worker; with a shorter margin another member's
/// reservation could expire after the first commit, and only part of the gang would run.
const COMMIT_MARGIN_MS: DurationMs = DurationMs(3_000);

impl ZonePlacer {
    pub(super) fn fire(&mut self, now: TimeMs, gang_id: &GangId, event: GangEvent) {
        let Some(gang) = self.gangs.get(gang_id) else {
            return;
        };
        let holds = |guard| match guard {
            GangGuard::StartUnrecorded => self.is_start_unrecorded(gang),
            GangGuard::ReservationsFresh => self.are_reservations_fresh(now, gang),
        };
        let Some(step) = self.chart.transition(gang.state, event, holds) else {
            return;
        };
        let (next, actions) = (step.next, step.actions.to_vec());
        if let Some(gang) = self.gangs.get_mut(gang_id) {
            gang.state = next;
            gang.entered_at = now;
        }
        for action in actions {
            self.run_action(now, gang_id, action);
        }
    }

    fn is_start_unrecorded(&self, gang: &Gang) -> bool {
        self.jobs
            .get(&gang.job_id)
            .is_some_and(|job| !job.record.spec.repeatable)
    }

    pub(super) fn are_reservations_fresh(&self, now: TimeMs, gang: &Gang) -> bool {
        now + COMMIT_MARGIN_MS < gang.reserved_at + self.options.reserve_lease_ms
    }

    fn run_action(&mut self, now: TimeMs, gang_id: &GangId, action: GangAction) {
        match action {
            GangAction::ReserveMembers => self.reserve_members(now, gang_id),
            GangAction::ReleaseMembers | GangAction::StopMembers => self.end_members(now, gang_id),
            GangAction::RecordStart => self.record_start(gang_id),
            GangAction::CommitReserved => self.commit_reserved(now, gang_id),
            GangAction::AnnounceStart => self.announce_start(now, gang_id),
            GangAction::Settle => self.settle(now, gang_id),
        }
    }

    pub(super) fn reserve_members(&mut self, now: TimeMs, gang_id: &GangId) {
        let Some(gang) = self.gangs.get_mut(gang_id) else {
            return;
        };
        gang.reserved_at = now;
        let spec = gang.spec.clone();
        let valid_from_order = self.next_order + 1;
        let mut workers = Vec::new();
        for member in &mut gang.members {
            member.state = MemberState::Reserving;
            member.valid_from_order = valid_from_order;
            member.lease_until = now + self.options.reserve_lease_ms;
            workers.push(member.part.worker);
        }
        for worker in &workers {
            for allocation in &mut self.ledger.workers[*worker].allocations {
                allocation.is_claim &= allocation.gang_id != *gang_id;
            }
        }
        for worker in workers {
            let reserve = ReserveCommand {
                spec: spec.clone(),
                lease_ms: self.options.reserve_lease_ms,
            };
            self.order(now, worker, WorkerCommand::Reserve(reserve));
        }
    }

    fn commit_reserved(&mut self, now: TimeMs, gang_id: &GangId) {
        let Some(gang) = self.gangs.get_mut(gang_id) else {
            return;
        };
        gang.may_have_run = true;
        let reserved: Vec<usize> = gang
            .members
            .iter()
            .filter(|member| member.state == MemberState::Reserved)
            .map(|member| member.part.worker)
            .collect();
        for worker in reserved {
            self.commit_member(now, worker, gang_id);
        }
    }

    pub(super) fn commit_member(&mut self, now: TimeMs, worker: usize, gang_id: &GangId) {
        let lease_ms = self.options.task_lease_ms;
        let commit = CommitCommand {
            gang_id: gang_id.clone(),
            lease_ms,
        };
        let order = self.order(now, worker, WorkerCommand::Commit(commit));
        let member = self
            .gangs
            .get_mut(gang_id)
            .and_then(|g| g.member_on(worker));
        if let Some(member) = member {
            member.state = MemberState::Committing;
            member.valid_from_order = order.0;
            member.lease_until = now + lease_ms;
        }
    }

    /// Releases or stops every member that has or may have accelerators.
    fn end_members(&mut self, now: TimeMs, gang_id: &GangId) {
        let Some(gang) = self.gangs.get(gang_id) else {
            return;
        };
        let is_cancelled = gang.cause == Some(EndCause::Cancelled);
        let grace_ms = if is_cancelled {
            DurationMs(0)
        } else {
            self.options.checkpoint_grace_ms
        };
        let workers: Vec<(usize, MemberState)> = gang
            .members
            .iter()
            .map(|member| (member.part.worker, member.state))
            .collect();
        for (worker, state) in workers {
            match state {
                MemberState::Idle => self.set_gone(worker, gang_id),
                MemberState::Reserving | MemberState::Reserved => {
                    self.order_stop(now, worker, gang_id, DurationMs(0), false);
                }
                MemberState::Committing | MemberState::Running | MemberState::Unknown => {
                    self.order_stop(now, worker, gang_id, grace_ms, true);
                }
                MemberState::Stopping | MemberState::Ended(_) | MemberState::Gone => {}
            }
        }
    }

    fn set_gone(&mut self, worker: usize, gang_id: &GangId) {
        self.ledger.release(worker, gang_id);
        if let Some(member) = self
            .gangs
            .get_mut(gang_id)
            .and_then(|g| g.member_on(worker))
        {
            member.state = MemberState::Gone;
        }
    }

    fn order_stop(
        &mut self,
        now: TimeMs,
        worker: usize,
        gang_id: &GangId,
        grace_ms: DurationMs,
        is_committed: bool,
    ) {
        let command = if is_committed {
            WorkerCommand::Stop(StopCommand {
                gang_id: gang_id.clone(),
                grace_ms,
            })
        } else {
            WorkerCommand::Release(GangRef {
                gang_id: gang_id.clone(),
            })
        };
        let order = self.order(now, worker, command);
        let member = self
            .gangs
            .get_mut(gang_id)
            .and_then(|g| g.member_on(worker));
        if let Some(member) = member {
            member.state = MemberState::Stopping;
            member.valid_from_order = order.0;
        }
        if is_committed {
            let entry = &mut self.ledger.workers[worker];
            entry.next_renew_at = entry.next_renew_at.min(now + grace_ms + POLL_AFTER_STOP_MS);
        }
    }

    /// Repeats a stop or release that got no reply, until the member's lease expires or its worker is lost.
    pub(super) fn repeat_stop(&mut self, now: TimeMs, worker: usize, gang_id: &GangId) {
        let Some(gang) = self.gangs.get(gang_id) else {
            return;
        };
        let is_committed = gang.may_have_run;
        let is_stopping = gang
            .members
            .iter()
            .any(|m| m.part.worker == worker && m.state == MemberState::Stopping);
        if is_stopping && !self.ledger.workers[worker].is_lost() {
            self.order_stop(now, worker, gang_id, DurationMs(0), is_committed);
        }
    }

    fn record_start(&mut self, gang_id: &GangId) {
        let Some(gang) = self.gangs.get(gang_id) else {
            return;
        };
        let attempt = gang.spec.attempt;
        if let Some(job) = self.jobs.get_mut(&gang.job_id) {
            job.record.phase = JobPhase::Starting;
            job.record.attempt = attempt;
            "its start is under way".clone_into(&mut job.record.reason);
            let record = job.record.clone();
            self.record(record);
        }
    }

    fn announce_start(&mut self, now: TimeMs, gang_id: &GangId) {
        let Some(gang) = self.gangs.get(gang_id) else {
            return;
        };
        let Some(job) = self.jobs.get_mut(&gang.job_id) else {
            return;
        };
        job.refused_by.clear();
        let notice = ZoneNotice::GangStarted {
            gang_id: gang_id.clone(),
            customer: gang.spec.customer.clone(),
            wait_ms: now.since(job.found_at),
            is_borrowed: gang.is_borrowed,
        };
        self.notice(notice);
    }

    /// Fires the transitions that are due in a gang after one of its members changed.
    pub(super) fn check_gang(&mut self, now: TimeMs, gang_id: &GangId) {
        let Some(gang) = self.gangs.get(gang_id) else {
            return;
        };
        match gang.state {
            GangState::Reserving if gang.is_recovered => self.resolve_recovered(now, gang_id),
            GangState::Reserving => self.check_reserving(now, gang_id),
            GangState::Committing | GangState::Running => self.check_running(now, gang_id),
            GangState::Stopping | GangState::Releasing => {
                if gang.all(MemberState::is_ended) && self.is_settleable(gang) {
                    self.fire(now, gang_id, GangEvent::AllEnded);
                }
            }
            GangState::Claiming | GangState::Recording | GangState::Ended => {}
        }
    }

    fn check_reserving(&mut self, now: TimeMs, gang_id: &GangId) {
        let Some(gang) = self.gangs.get(gang_id) else {
            return;
        };
        if !gang.all(|state| state == MemberState::Reserved) {
            return;
        }
        if self.are_reservations_fresh(now, gang) {
            self.fire(now, gang_id, GangEvent::AllReserved);
        } else {
            self.abort(
                now,
                gang_id,
                EndCause::Refused("reservations aged".to_owned()),
            );
        }
    }

    fn check_running(&mut self, now: TimeMs, gang_id: &GangId) {
        let Some(gang) = self.gangs.get(gang_id) else {
            return;
        };
        let failed = gang.any(|state| state == MemberState::Ended(GangPhase::Failed));
        let stopped = gang.any(|state| {
            matches!(
                state,
                MemberState::Ended(GangPhase::Stopped) | MemberState::Gone
            )
        });
        if failed {
            let cause = EndCause::Failed("a member failed".to_owned());
            return self.abort(now, gang_id, cause);
        }
        if stopped {
            let cause = EndCause::MemberLost("a member is gone".to_owned());
            return self.abort(now, gang_id, cause);
        }
        // For a recovered gang, later replies may report reservations that are still to be committed.
        if gang.state == GangState::Committing && gang.any(|state| state == MemberState::Reserved) {
            self.commit_reserved(now, gang_id);
            return;
        }
        let is_running = |state| {
            matches!(
                state,
                MemberState::Running | MemberState::Ended(GangPhase::Finished)
            )
        };
        if gang.state == GangState::Committing && gang.all(is_running) {
            self.fire(now, gang_id, GangEvent::AllRunning);
        }
        let Some(gang) = self.gangs.get_mut(gang_id) else {
            return;
        };
        let is_finished = gang.all(|state| state == MemberState::Ended(GangPhase::Finished));
        if is_finished {
            gang.cause = Some(EndCause::Finished);
        }
        let Some(gang) = self.gangs.get(gang_id) else {
            return;
        };
        if is_finished && self.is_settleable(gang) {
            self.fire(now, gang_id, GangEvent::AllEnded);
        }
    }

    /// The end of a recovered gang waits for its job's record, which is needed to store the outcome.
    fn is_settleable(&self, gang: &Gang) -> bool {
        !gang.is_recovered || self.jobs.contains_key(&gang.job_id) || gang.is_orphan
    }
}

/// Delay of the first poll after the grace period of a stop.
pub(super) const POLL_AFTER_STOP_MS: DurationMs = DurationMs(100);
