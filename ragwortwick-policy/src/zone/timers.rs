//! Timers: lease renewals, expired leases, lost workers, claim timeouts and trials.

use ragwortwick_border::{RenewCommand, WorkerCommand};
use ragwortwick_core::{DurationMs, GangId, TimeMs};

use super::ZonePlacer;
use super::gang::{EndCause, GangState, MemberState};
use super::ledger::{Listing, WorkerHealth};
use super::placer::Ownership;
use super::queue::Job;
use super::recovery::MIN_RECOVERY_MS;

/// Time after which the gangs of an unresponsive worker are aborted; its members count as running
/// until their lease expires.
///
/// A shorter time would stop gangs over a brief network cut, a longer one keeps the other members idle.
const MEMBER_LOST_MS: DurationMs = DurationMs(10_000);

/// Time after which a claim whose accelerators are still in use is aborted and its job placed again.
const CLAIM_TIMEOUT_MS: DurationMs = DurationMs(4_000);

/// Time after which a recovered gang without a job record is stopped.
const ORPHAN_TIMEOUT_MS: DurationMs = DurationMs(30_000);

/// Poll interval of a worker on which a member is being stopped.
const STOP_POLL_MS: DurationMs = DurationMs(250);

/// Interval of placement passes while nothing changes, since waits and starvation bounds expire by time.
const PLACE_INTERVAL_MS: DurationMs = DurationMs(5_000);

/// Factor by which the renewal interval of an idle worker is longer than that of a busy one.
const IDLE_RENEW_FACTOR: u64 = 5;

impl ZonePlacer {
    pub(super) fn run_timers(&mut self, now: TimeMs) {
        if self.ownership == Ownership::NotOwner {
            return;
        }
        self.last_tick = now;
        for index in 0..self.ledger.workers.len() {
            self.renew_worker(now, index);
            self.start_trial(now, index);
        }
        let gang_ids: Vec<GangId> = self.gangs.keys().cloned().collect();
        for gang_id in gang_ids {
            self.run_gang_timers(now, &gang_id);
        }
        // A tick is scheduled exactly at `retry_at`.
        let is_retry_due = self
            .jobs
            .values()
            .any(|job| job.is_waiting() && job.retry_at == now);
        if self.next_place_at <= now {
            // A refusal may no longer apply; keeping it could block a job from its own guarantee.
            for job in self.jobs.values_mut() {
                job.refused_by.clear();
            }
        }
        if self.next_place_at <= now || is_retry_due {
            self.next_place_at = now + PLACE_INTERVAL_MS;
            self.is_place_due = true;
        }
    }

    fn renew_worker(&mut self, now: TimeMs, index: usize) {
        let entry = &self.ledger.workers[index];
        let is_due = entry.next_renew_at <= now && !entry.is_renewing;
        if !is_due || entry.listing == Listing::Unlisted {
            return;
        }
        let mut gang_ids = Vec::new();
        let mut is_stopping = false;
        for allocation in &entry.allocations {
            let Some(gang) = self.gangs.get_mut(&allocation.gang_id) else {
                continue;
            };
            let Some(member) = gang.member_on(index) else {
                continue;
            };
            is_stopping |= member.state == MemberState::Stopping;
            // The leases on a lost worker must be able to expire, or its gangs could never be settled.
            if member.state == MemberState::Running && !entry.is_lost() {
                gang_ids.push(allocation.gang_id.clone());
            }
        }
        let is_idle = entry.allocations.is_empty() && entry.has_inventory;
        let interval = if is_stopping && !entry.is_lost() {
            STOP_POLL_MS
        } else if is_idle {
            DurationMs(self.options.renew_interval_ms.0 * IDLE_RENEW_FACTOR)
        } else {
            self.options.renew_interval_ms
        };
        let command = if entry.has_inventory {
            WorkerCommand::Renew(RenewCommand {
                gang_ids,
                lease_ms: self.options.task_lease_ms,
            })
        } else {
            WorkerCommand::Inventory
        };
        let entry = &mut self.ledger.workers[index];
        entry.next_renew_at = now + interval;
        entry.is_renewing = true;
        self.order(now, index, command);
    }

    fn start_trial(&mut self, now: TimeMs, index: usize) {
        let entry = &mut self.ledger.workers[index];
        if let WorkerHealth::Quarantined { trial_at } = entry.health
            && trial_at <= now
        {
            self.set_health(index, WorkerHealth::Trial, "its quarantine ended");
        }
    }

    fn run_gang_timers(&mut self, now: TimeMs, gang_id: &GangId) {
        let Some(gang) = self.gangs.get(gang_id) else {
            return;
        };
        let age = now.since(gang.entered_at);
        match gang.state {
            GangState::Claiming if age >= CLAIM_TIMEOUT_MS => {
                let cause = EndCause::Refused("borrowed work did not leave in time".to_owned());
                self.abort(now, gang_id, cause);
            }
            GangState::Recording if !self.are_reservations_fresh(now, gang) => {
                let cause = EndCause::Refused("its start could not be recorded".to_owned());
                self.abort(now, gang_id, cause);
            }
            GangState::Committing | GangState::Running | GangState::Reserving => {
                self.abort_on_lost_member(now, gang_id);
            }
            _ => {}
        }
        self.expire_members(now, gang_id);
        self.stop_orphan(now, gang_id);
    }

    fn abort_on_lost_member(&mut self, now: TimeMs, gang_id: &GangId) {
        let Some(gang) = self.gangs.get(gang_id) else {
            return;
        };
        let is_lost = gang.members.iter().any(|member| {
            let entry = &self.ledger.workers[member.part.worker];
            let is_unresponsive =
                entry.is_lost() && now.since(entry.unresponsive_since) >= MEMBER_LOST_MS;
            let is_unlisted = entry.listing == Listing::Unlisted;
            !member.state.is_ended() && (is_unlisted || is_unresponsive)
        });
        if is_lost && !gang.is_recovered {
            let cause = EndCause::MemberLost("a worker is lost".to_owned());
            self.abort(now, gang_id, cause);
        }
    }

    /// Marks members as gone whose lease expired without a renewal.
    fn expire_members(&mut self, now: TimeMs, gang_id: &GangId) {
        let Some(gang) = self.gangs.get(gang_id) else {
            return;
        };
        let expired: Vec<usize> = gang
            .members
            .iter()
            .filter(|member| !member.state.is_ended() && member.lease_until < now)
            .map(|member| member.part.worker)
            .collect();
        for worker in expired {
            self.set_member(now, worker, gang_id, MemberState::Gone);
        }
    }

    fn stop_orphan(&mut self, now: TimeMs, gang_id: &GangId) {
        let is_placing = self.ownership == Ownership::Placing;
        let is_old = now.since(self.owned_since) >= ORPHAN_TIMEOUT_MS;
        let Some(gang) = self.gangs.get_mut(gang_id) else {
            return;
        };
        if !is_placing || !is_old || gang.is_orphan || self.jobs.contains_key(&gang.job_id) {
            return;
        }
        gang.is_orphan = true;
        let cause = EndCause::MemberLost("its job is not on record".to_owned());
        self.abort(now, gang_id, cause);
    }

    pub(super) fn next_timer(&self) -> Option<TimeMs> {
        let mut due = Vec::new();
        for entry in &self.ledger.workers {
            if entry.listing != Listing::Unlisted && !entry.is_renewing {
                due.push(entry.next_renew_at);
            }
            if let WorkerHealth::Quarantined { trial_at } = entry.health {
                due.push(trial_at);
            }
        }
        for gang in self.gangs.values() {
            if gang.state == GangState::Claiming {
                due.push(gang.entered_at + CLAIM_TIMEOUT_MS);
            }
            if !matches!(gang.state, GangState::Running) {
                let leases = gang.members.iter().filter(|m| !m.state.is_ended());
                due.extend(leases.map(|member| member.lease_until + DurationMs(1)));
            }
        }
        if self.ownership == Ownership::Recovering {
            due.push(self.owned_since + MIN_RECOVERY_MS);
        }
        if self.jobs.values().any(Job::is_waiting) {
            due.push(self.next_place_at);
        }
        let waiting = self.jobs.values().filter(|job| job.is_waiting());
        due.extend(waiting.map(|job| job.retry_at));
        // A timer that was due by the last tick and is still set waits for an event, not for time;
        // including it would make the owner tick in a busy loop.
        due.into_iter().filter(|at| *at > self.last_tick).min()
    }
}
