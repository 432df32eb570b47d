//! Recovery by a new owner: fence the old one, read inventories, then finish or undo its gangs.

use ragwortwick_border::{
    GangOnWorker, GangPhase, GangRef, GangSpec, JobPhase, StopCommand, WorkerCommand,
};
use ragwortwick_core::{DurationMs, GangId, JobId, TimeMs};

use super::cells::Part;
use super::gang::{EndCause, Gang, GangEvent, GangState, Member, MemberState};
use super::ledger::{Allocation, Listing};
use super::placer::Ownership;
use super::queue::Job;
use super::{OrderId, ZonePlacer};

/// Minimum time of recovery, since listed workers and jobs arrive as separate events.
pub(super) const MIN_RECOVERY_MS: DurationMs = DurationMs(300);

impl ZonePlacer {
    pub(super) fn on_inventory(
        &mut self,
        now: TimeMs,
        index: usize,
        order: OrderId,
        reported: &[GangOnWorker],
    ) {
        let entry = &mut self.ledger.workers[index];
        entry.is_renewing = false;
        let is_first = !std::mem::replace(&mut entry.has_inventory, true);
        entry.next_renew_at = now + self.options.renew_interval_ms;
        if is_first {
            for item in reported {
                self.recover_gang(now, item);
            }
            self.is_rebind_due = true;
            self.is_place_due = true;
        }
        self.on_members(now, index, order, reported);
    }

    /// Recovers a gang from a worker's inventory, whichever owner started it.
    fn recover_gang(&mut self, now: TimeMs, item: &GangOnWorker) {
        let spec = &item.spec;
        if self.gangs.contains_key(&spec.gang_id) || self.is_settled(spec) {
            return;
        }
        let mut members = Vec::new();
        for member in &spec.members {
            let worker = self.ledger.index_or_insert_unlisted(&member.worker, now);
            members.push(Member {
                part: Part {
                    worker,
                    mask: member.device_mask,
                },
                state: MemberState::Unknown,
                valid_from_order: 0,
                lease_until: now + self.options.task_lease_ms,
            });
        }
        let gang = Gang {
            spec: spec.clone(),
            job_id: spec.job_id.clone(),
            state: GangState::Reserving,
            members,
            is_borrowed: spec.is_borrowed,
            cause: None,
            may_have_run: false,
            is_recovered: true,
            is_orphan: false,
            entered_at: now,
            reserved_at: now,
        };
        let allocation = Allocation {
            gang_id: spec.gang_id.clone(),
            mask: 0,
            is_borrowed: spec.is_borrowed,
            is_claim: false,
        };
        self.ledger.allocate(&gang.parts(), &allocation);
        self.gangs.insert(spec.gang_id.clone(), gang);
        let job_id = spec.job_id.clone();
        self.attach_recovered_gangs(now, &job_id);
    }

    /// Whether this owner has settled the gang; a returning worker still reports its old members.
    ///
    /// Recovering such a gang would allocate accelerators that another gang may have by now.
    fn is_settled(&self, spec: &GangSpec) -> bool {
        let is_old = |job: &Job| job.owned_attempt >= spec.attempt;
        self.ended_jobs.get(&spec.job_id).is_some()
            || self.jobs.get(&spec.job_id).is_some_and(is_old)
    }

    /// Attaches the latest recovered attempt to its job and stops earlier attempts.
    pub(super) fn attach_recovered_gangs(&mut self, now: TimeMs, job_id: &JobId) {
        if !self.jobs.contains_key(job_id) {
            return;
        }
        let mut recovered: Vec<(u32, GangId)> = self
            .gangs
            .values()
            .filter(|gang| gang.job_id == *job_id && gang.is_recovered)
            .map(|gang| (gang.spec.attempt, gang.spec.gang_id.clone()))
            .collect();
        recovered.sort();
        let latest = recovered.pop();
        for (_, gang_id) in recovered {
            let cause = EndCause::MemberLost("a later attempt runs".to_owned());
            self.abort(now, &gang_id, cause);
        }
        if let (Some((attempt, gang_id)), Some(job)) = (latest, self.jobs.get_mut(job_id)) {
            job.attempt = job.attempt.max(attempt);
            job.owned_attempt = job.owned_attempt.max(attempt);
            job.active = Some(gang_id.clone());
            if job.record.cancel_requested {
                self.on_job_cancelled(now, job_id);
            }
            self.check_gang(now, &gang_id);
        }
    }

    /// Continues or aborts a recovered gang once enough of its workers have reported.
    ///
    /// Members are committed only after all were reserved, so one committed member proves that the
    /// others are reserved or have run; if none is committed, nothing has run and the gang is undone.
    pub(super) fn resolve_recovered(&mut self, now: TimeMs, gang_id: &GangId) {
        let Some(gang) = self.gangs.get_mut(gang_id) else {
            return;
        };
        let is_committed =
            gang.any(|state| matches!(state, MemberState::Running | MemberState::Ended(_)));
        if is_committed {
            gang.may_have_run = true;
            self.fire(now, gang_id, GangEvent::RecoveredCommitted);
            self.check_gang(now, gang_id);
            return;
        }
        if !gang.any(|state| state == MemberState::Unknown) {
            let cause = EndCause::Refused("no member had been started".to_owned());
            self.abort(now, gang_id, cause);
        }
    }

    pub(super) fn try_finish_recovery(&mut self, now: TimeMs) {
        let is_settled = now >= self.owned_since + MIN_RECOVERY_MS;
        let has_replies = self.ledger.workers.iter().all(|entry| {
            entry.has_inventory || entry.unanswered_orders > 0 || entry.listing == Listing::Unlisted
        });
        if !is_settled || !has_replies || self.ledger.workers.is_empty() {
            return;
        }
        self.ownership = Ownership::Placing;
        self.is_rebind_due = true;
        self.is_place_due = true;
        let gang_ids: Vec<GangId> = self.gangs.keys().cloned().collect();
        for gang_id in gang_ids {
            self.check_gang(now, &gang_id);
        }
    }

    /// Whether a start must wait because the job may still run on a worker that has not reported.
    ///
    /// Such a worker stops its tasks when their lease expires; an earlier second attempt would run
    /// the job twice at once. Urgent repeatable jobs do not wait.
    pub(super) fn is_start_blocked(&self, now: TimeMs, job: &Job) -> bool {
        if job.has_recorded_start() {
            return true;
        }
        let is_exempt = !job.was_found_in_recovery
            || !job.record.spec.repeatable
            || self.weights.is_urgent(job);
        !is_exempt && self.may_run_undetected(now)
    }

    fn may_run_undetected(&self, now: TimeMs) -> bool {
        let is_expired = now > self.owned_since + self.options.task_lease_ms;
        !is_expired && self.ledger.workers.iter().any(|entry| !entry.has_inventory)
    }

    /// Ends jobs whose recorded start no worker confirms: they may have run and never start again.
    pub(super) fn settle_unconfirmed_starts(&mut self, now: TimeMs) {
        if self.ownership != Ownership::Placing || self.may_run_undetected(now) {
            return;
        }
        let unconfirmed: Vec<JobId> = self
            .jobs
            .iter()
            .filter(|(_, job)| job.is_waiting() && job.has_recorded_start())
            .map(|(job_id, _)| job_id.clone())
            .collect();
        for job_id in unconfirmed {
            let reason = "its start was recorded and no worker knows how it went";
            self.end_job(&job_id, JobPhase::MayHaveRun, reason);
        }
    }

    /// Ends a member that belongs to no known gang: the rest of its gang was settled without it.
    pub(super) fn clear_untracked(&mut self, now: TimeMs, index: usize, item: &GangOnWorker) {
        let gang_id = item.spec.gang_id.clone();
        let is_awaited = self.jobs.values().any(|job| {
            job.to_forget
                .iter()
                .any(|(worker, known)| *worker == index && *known == gang_id)
        });
        if is_awaited {
            return;
        }
        let command = match item.phase {
            GangPhase::Reserved => WorkerCommand::Release(GangRef { gang_id }),
            GangPhase::Running | GangPhase::Checkpointing => WorkerCommand::Stop(StopCommand {
                gang_id,
                grace_ms: DurationMs(0),
            }),
            GangPhase::Finished | GangPhase::Failed | GangPhase::Stopped => {
                WorkerCommand::Forget(GangRef { gang_id })
            }
        };
        self.order(now, index, command);
    }
}
