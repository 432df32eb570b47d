//! What time makes due: lease renewals, lapsed leases, lost workers, late claims and trials.

use ragwortwick_border::{RenewCommand, WorkerCommand};
use ragwortwick_core::{DurationMs, GangId, TimeMs};

use super::ZonePlacer;
use super::gang::{EndCause, GangState, MemberState};
use super::ledger::{Judgement, Listing};
use super::placer::Ownership;
use super::queue::Job;
use super::recovery::SETTLE_MS;

/// A worker silent for this long loses its gangs; its members count as running until their lease
/// has lapsed.
///
/// Shorter would stop gangs over a brief cut, longer keeps the other members idle.
const MEMBER_LOST_MS: DurationMs = DurationMs(10_000);

/// A claim that is not free by then is given up; its job looks for another place.
const CLAIM_LIMIT_MS: DurationMs = DurationMs(4_000);

/// A found gang whose job's record never comes up is stopped after this.
const ORPHAN_MS: DurationMs = DurationMs(30_000);

/// Interval of looks at a worker on which a member is being stopped.
const STOP_POLL_MS: DurationMs = DurationMs(250);

/// Interval of passes over waiting jobs while nothing changes; patience and starvation end by time.
const PLACE_AGAIN_MS: DurationMs = DurationMs(5_000);

/// Idle workers are asked this many times more rarely than busy ones.
const IDLE_RENEW_FACTOR: u64 = 5;

impl ZonePlacer {
    pub(super) fn run_timers(&mut self, now: TimeMs) {
        if self.ownership == Ownership::Away {
            return;
        }
        self.last_tick = now;
        for index in 0..self.ledger.workers.len() {
            self.renew_worker(now, index);
            self.start_trial(now, index);
        }
        let watched: Vec<GangId> = self.gangs.keys().cloned().collect();
        for gang_id in watched {
            self.run_gang_timers(now, &gang_id);
        }
        // A hold ends exactly at its tick.
        let is_hold_over = self
            .jobs
            .values()
            .any(|job| job.is_waiting() && job.hold_until == now);
        if self.next_place <= now {
            // A refusal may be over by now; keeping it would bar a job from its own guarantee.
            for job in self.jobs.values_mut() {
                job.refused_by.clear();
            }
        }
        if self.next_place <= now || is_hold_over {
            self.next_place = now + PLACE_AGAIN_MS;
            self.is_place_due = true;
        }
    }

    fn renew_worker(&mut self, now: TimeMs, index: usize) {
        let entry = &self.ledger.workers[index];
        let is_due = entry.next_renew <= now && !entry.is_renewing;
        if !is_due || entry.listing == Listing::Unlisted {
            return;
        }
        let mut gang_ids = Vec::new();
        let mut is_stopping = false;
        for hold in &entry.holds {
            let Some(gang) = self.gangs.get_mut(&hold.gang_id) else {
                continue;
            };
            let Some(member) = gang.member_on(index) else {
                continue;
            };
            is_stopping |= member.state == MemberState::Leaving;
            // A lost worker's leases must be able to lapse, or its gangs could never be settled.
            if member.state == MemberState::Running && !entry.is_lost() {
                gang_ids.push(hold.gang_id.clone());
            }
        }
        let is_idle = entry.holds.is_empty() && entry.is_known;
        let interval = if is_stopping && !entry.is_lost() {
            STOP_POLL_MS
        } else if is_idle {
            DurationMs(self.options.renew_interval_ms.0 * IDLE_RENEW_FACTOR)
        } else {
            self.options.renew_interval_ms
        };
        let command = if entry.is_known {
            WorkerCommand::Renew(RenewCommand {
                gang_ids,
                lease_ms: self.options.task_lease_ms,
            })
        } else {
            WorkerCommand::Inventory
        };
        let entry = &mut self.ledger.workers[index];
        entry.next_renew = now + interval;
        entry.is_renewing = true;
        self.order(now, index, command);
    }

    fn start_trial(&mut self, now: TimeMs, index: usize) {
        let entry = &mut self.ledger.workers[index];
        if let Judgement::Quarantined { trial_at } = entry.judgement
            && trial_at <= now
        {
            self.judge(index, Judgement::Trial, "its quarantine is over");
        }
    }

    fn run_gang_timers(&mut self, now: TimeMs, gang_id: &GangId) {
        let Some(gang) = self.gangs.get(gang_id) else {
            return;
        };
        let age = now.since(gang.since);
        match gang.state {
            GangState::Claiming if age >= CLAIM_LIMIT_MS => {
                let cause = EndCause::Refused("borrowed work did not leave in time".to_owned());
                self.abort(now, gang_id, cause);
            }
            GangState::Recording if !self.are_reservations_fresh(now, gang) => {
                let cause = EndCause::Refused("its start could not be recorded".to_owned());
                self.abort(now, gang_id, cause);
            }
            GangState::Committing | GangState::Running | GangState::Reserving => {
                self.drop_lost_members(now, gang_id);
            }
            _ => {}
        }
        self.lapse_members(now, gang_id);
        self.stop_orphan(now, gang_id);
    }

    fn drop_lost_members(&mut self, now: TimeMs, gang_id: &GangId) {
        let Some(gang) = self.gangs.get(gang_id) else {
            return;
        };
        let is_lost = gang.members.iter().any(|member| {
            let entry = &self.ledger.workers[member.part.worker];
            let is_silent = entry.is_lost() && now.since(entry.silent_since) >= MEMBER_LOST_MS;
            let is_unlisted = entry.listing == Listing::Unlisted;
            !member.state.is_over() && (is_unlisted || is_silent)
        });
        if is_lost && !gang.is_found {
            let cause = EndCause::MemberLost("a worker is lost".to_owned());
            self.abort(now, gang_id, cause);
        }
    }

    /// Counts members as gone whose lease has lapsed without a renewal.
    fn lapse_members(&mut self, now: TimeMs, gang_id: &GangId) {
        let Some(gang) = self.gangs.get(gang_id) else {
            return;
        };
        let lapsed: Vec<usize> = gang
            .members
            .iter()
            .filter(|member| !member.state.is_over() && member.lease_until < now)
            .map(|member| member.part.worker)
            .collect();
        for worker in lapsed {
            self.set_member(now, worker, gang_id, MemberState::Gone);
        }
    }

    fn stop_orphan(&mut self, now: TimeMs, gang_id: &GangId) {
        let is_placing = self.ownership == Ownership::Placing;
        let is_old = now.since(self.owned_since) >= ORPHAN_MS;
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
                due.push(entry.next_renew);
            }
            if let Judgement::Quarantined { trial_at } = entry.judgement {
                due.push(trial_at);
            }
        }
        for gang in self.gangs.values() {
            if gang.state == GangState::Claiming {
                due.push(gang.since + CLAIM_LIMIT_MS);
            }
            if !matches!(gang.state, GangState::Running) {
                let leases = gang.members.iter().filter(|m| !m.state.is_over());
                due.extend(leases.map(|member| member.lease_until + DurationMs(1)));
            }
        }
        if self.ownership == Ownership::Recovering {
            due.push(self.owned_since + SETTLE_MS);
        }
        if self.jobs.values().any(Job::is_waiting) {
            due.push(self.next_place);
        }
        let held = self.jobs.values().filter(|job| job.is_waiting());
        due.extend(held.map(|job| job.hold_until));
        // What was due by the last tick and still stands waits for an event, not for time; counting
        // it would make the owner tick without pause.
        due.into_iter().filter(|at| *at > self.last_tick).min()
    }
}
