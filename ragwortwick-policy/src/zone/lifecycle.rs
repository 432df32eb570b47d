//! Drives gangs through their chart and settles what becomes of their jobs.

use ragwortwick_border::{
    CommitCommand, GangPhase, GangRef, JobPhase, ReserveCommand, StopCommand, WorkerCommand,
};
use ragwortwick_core::{DurationMs, GangId, TimeMs};

use super::gang::{EndCause, Gang, GangAct, GangEvent, GangGuard, GangState, MemberState};
use super::{ZoneNotice, ZonePlacer};

/// A commit is only sent while the reservation outlasts it by this much.
///
/// An entry host waits less than this for a worker; a shorter margin could commit a member whose
/// neighbour's reservation lapses meanwhile, and half a gang would run.
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
            gang.since = now;
        }
        for action in actions {
            self.act(now, gang_id, action);
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

    fn act(&mut self, now: TimeMs, gang_id: &GangId, action: GangAct) {
        match action {
            GangAct::ReserveMembers => self.reserve_members(now, gang_id),
            GangAct::ReleaseMembers | GangAct::StopMembers => self.end_members(now, gang_id),
            GangAct::RecordStart => self.record_start(gang_id),
            GangAct::CommitReserved => self.commit_reserved(now, gang_id),
            GangAct::AnnounceStart => self.announce_start(now, gang_id),
            GangAct::Settle => self.settle(now, gang_id),
        }
    }

    pub(super) fn reserve_members(&mut self, now: TimeMs, gang_id: &GangId) {
        let Some(gang) = self.gangs.get_mut(gang_id) else {
            return;
        };
        gang.reserved_at = now;
        let spec = gang.spec.clone();
        let since_order = self.next_order + 1;
        let mut workers = Vec::new();
        for member in &mut gang.members {
            member.state = MemberState::Reserving;
            member.since_order = since_order;
            member.lease_until = now + self.options.reserve_lease_ms;
            workers.push(member.part.worker);
        }
        for worker in &workers {
            for hold in &mut self.ledger.workers[*worker].holds {
                hold.is_claim &= hold.gang_id != *gang_id;
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
            member.since_order = order.0;
            member.lease_until = now + lease_ms;
        }
    }

    /// Releases or stops every member that holds or may hold something.
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
                    self.leave(now, worker, gang_id, DurationMs(0), false);
                }
                MemberState::Committing | MemberState::Running | MemberState::Unknown => {
                    self.leave(now, worker, gang_id, grace_ms, true);
                }
                MemberState::Leaving | MemberState::Ended(_) | MemberState::Gone => {}
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

    fn leave(
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
            member.state = MemberState::Leaving;
            member.since_order = order.0;
        }
        if is_committed {
            let entry = &mut self.ledger.workers[worker];
            entry.next_renew = entry.next_renew.min(now + grace_ms + POLL_AFTER_STOP_MS);
        }
    }

    /// Sends a stop again that got no answer, until the member's lease has lapsed.
    pub(super) fn repeat_stop(&mut self, now: TimeMs, worker: usize, gang_id: &GangId) {
        let Some(gang) = self.gangs.get(gang_id) else {
            return;
        };
        let is_committed = gang.may_have_run;
        let is_leaving = gang
            .members
            .iter()
            .any(|m| m.part.worker == worker && m.state == MemberState::Leaving);
        if is_leaving && !self.ledger.workers[worker].is_lost() {
            self.leave(now, worker, gang_id, DurationMs(0), is_committed);
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

    /// Looks at a gang after a member changed and moves it on where that decides something.
    pub(super) fn check_gang(&mut self, now: TimeMs, gang_id: &GangId) {
        let Some(gang) = self.gangs.get(gang_id) else {
            return;
        };
        match gang.state {
            GangState::Reserving if gang.is_found => self.resolve_found(now, gang_id),
            GangState::Reserving => self.check_reserving(now, gang_id),
            GangState::Committing | GangState::Running => self.check_running(now, gang_id),
            GangState::Stopping | GangState::Releasing => {
                if gang.all(MemberState::is_over) && self.is_settleable(gang) {
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
        // A found gang's later answers may show more reservations to be committed.
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

    /// A found gang's end waits for its job's record, or the outcome would have nowhere to go.
    fn is_settleable(&self, gang: &Gang) -> bool {
        !gang.is_found || self.jobs.contains_key(&gang.job_id) || gang.is_orphan
    }
}

/// Delay of the first look after a stop, so that the worker has had its grace and a little more.
pub(super) const POLL_AFTER_STOP_MS: DurationMs = DurationMs(100);
