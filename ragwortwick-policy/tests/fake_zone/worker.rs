//! A fake worker: holds members under leases and obeys orders under epochs.

use std::collections::BTreeMap;

use ragwortwick_border::{
    GangOnWorker, GangPhase, GangSpec, WorkerCommand, WorkerOutcome, WorkerReply,
};
use ragwortwick_core::{DurationMs, Epoch, GangId, JobId, RackName, TimeMs, WorkerName};
use ragwortwick_policy::WorkerInfo;

use super::Truth;

pub struct Held {
    pub spec: GangSpec,
    pub mask: u32,
    pub phase: GangPhase,
    pub lease_until: TimeMs,
    pub started_at: TimeMs,
    pub ends_at: TimeMs,
    pub stops_at: Option<TimeMs>,
    pub fails: bool,
}

impl Held {
    pub fn is_active(&self) -> bool {
        matches!(self.phase, GangPhase::Running | GangPhase::Checkpointing)
    }

    pub fn is_over(&self) -> bool {
        !self.is_active() && self.phase != GangPhase::Reserved
    }
}

pub struct FakeWorker {
    pub name: WorkerName,
    pub rack: RackName,
    pub accelerators: u32,
    pub highest_epoch: Epoch,
    pub gangs: BTreeMap<GangId, Held>,
    pub is_down: bool,
    pub is_unlisted: bool,
    /// Every member that starts here fails.
    pub is_broken: bool,
}

impl FakeWorker {
    pub fn new(name: &WorkerName, rack: &str, accelerators: u32) -> Self {
        Self {
            name: name.clone(),
            rack: RackName::new(rack),
            accelerators,
            highest_epoch: Epoch(0),
            gangs: BTreeMap::new(),
            is_down: false,
            is_unlisted: false,
            is_broken: false,
        }
    }

    pub fn info(&self) -> WorkerInfo {
        WorkerInfo {
            worker: self.name.clone(),
            rack: self.rack.clone(),
            accelerators: self.accelerators,
        }
    }

    /// Lets time pass: members finish, fail, checkpoint and lose their leases.
    pub fn advance(&mut self, now: TimeMs) {
        for held in self.gangs.values_mut() {
            let is_lapsed = held.lease_until < now;
            if held.is_active() {
                let end = held
                    .stops_at
                    .map_or(held.ends_at, |at| at.min(held.ends_at));
                if held.ends_at <= now && end == held.ends_at && held.lease_until >= held.ends_at {
                    held.phase = if held.fails {
                        GangPhase::Failed
                    } else {
                        GangPhase::Finished
                    };
                } else if is_lapsed || held.stops_at.is_some_and(|at| at <= now) {
                    held.phase = GangPhase::Stopped;
                }
            }
        }
        self.gangs
            .retain(|_, held| held.phase != GangPhase::Reserved || held.lease_until >= now);
    }

    pub fn obey(
        &mut self,
        now: TimeMs,
        epoch: Epoch,
        command: &WorkerCommand,
        truths: &BTreeMap<JobId, Truth>,
    ) -> WorkerReply {
        self.advance(now);
        if epoch < self.highest_epoch {
            return self.reply(now, WorkerOutcome::StaleEpoch, false);
        }
        self.highest_epoch = epoch;
        let is_listing = matches!(command, WorkerCommand::Inventory | WorkerCommand::Renew(_));
        let outcome = self.apply(now, command, truths);
        self.reply(now, outcome, is_listing)
    }

    fn apply(
        &mut self,
        now: TimeMs,
        command: &WorkerCommand,
        truths: &BTreeMap<JobId, Truth>,
    ) -> WorkerOutcome {
        match command {
            WorkerCommand::Inventory
            | WorkerCommand::Throttle(_)
            | WorkerCommand::Checkpoint(_) => WorkerOutcome::Done,
            WorkerCommand::Reserve(reserve) => self.reserve(now, &reserve.spec, reserve.lease_ms),
            WorkerCommand::Commit(commit) => {
                self.commit(now, &commit.gang_id, commit.lease_ms, truths)
            }
            WorkerCommand::Release(gang) => {
                let held = self.gangs.get(&gang.gang_id);
                if held.is_some_and(|held| held.phase == GangPhase::Reserved) {
                    self.gangs.remove(&gang.gang_id);
                }
                WorkerOutcome::Done
            }
            WorkerCommand::Renew(renew) => {
                for held in self.gangs.values_mut() {
                    if renew.gang_ids.contains(&held.spec.gang_id) && held.is_active() {
                        held.lease_until = now + renew.lease_ms;
                    }
                }
                WorkerOutcome::Done
            }
            WorkerCommand::Stop(stop) => self.stop(now, &stop.gang_id, stop.grace_ms),
            WorkerCommand::Forget(gang) => {
                let held = self.gangs.get(&gang.gang_id);
                if held.is_some_and(Held::is_over) {
                    self.gangs.remove(&gang.gang_id);
                }
                WorkerOutcome::Done
            }
        }
    }

    fn reserve(&mut self, now: TimeMs, spec: &GangSpec, lease_ms: DurationMs) -> WorkerOutcome {
        let member = spec
            .members
            .iter()
            .find(|member| member.worker == self.name);
        let Some(mask) = member.map(|member| member.device_mask) else {
            return WorkerOutcome::UnknownGang;
        };
        let is_taken = self
            .gangs
            .values()
            .any(|held| !held.is_over() && held.mask & mask != 0);
        if is_taken {
            return WorkerOutcome::Occupied;
        }
        let held = Held {
            spec: spec.clone(),
            mask,
            phase: GangPhase::Reserved,
            lease_until: now + lease_ms,
            started_at: now,
            ends_at: now,
            stops_at: None,
            fails: false,
        };
        self.gangs.insert(spec.gang_id.clone(), held);
        WorkerOutcome::Done
    }

    fn commit(
        &mut self,
        now: TimeMs,
        gang_id: &GangId,
        lease_ms: DurationMs,
        truths: &BTreeMap<JobId, Truth>,
    ) -> WorkerOutcome {
        let is_broken = self.is_broken;
        let Some(held) = self.gangs.get_mut(gang_id) else {
            return WorkerOutcome::UnknownGang;
        };
        if held.phase != GangPhase::Reserved {
            return WorkerOutcome::Done;
        }
        let truth = truths.get(&held.spec.job_id).copied().unwrap_or(Truth {
            run_ms: 60_000,
            fails: false,
        });
        held.phase = GangPhase::Running;
        held.started_at = now;
        held.fails = is_broken || truth.fails;
        let run_ms = if held.fails { 3_000 } else { truth.run_ms };
        held.ends_at = now + DurationMs(run_ms);
        held.lease_until = now + lease_ms;
        WorkerOutcome::Done
    }

    fn stop(&mut self, now: TimeMs, gang_id: &GangId, grace_ms: DurationMs) -> WorkerOutcome {
        let Some(held) = self.gangs.get_mut(gang_id) else {
            return WorkerOutcome::UnknownGang;
        };
        if held.phase == GangPhase::Reserved {
            self.gangs.remove(gang_id);
        } else if held.is_active() {
            held.phase = GangPhase::Checkpointing;
            let at = now + grace_ms;
            held.stops_at = Some(held.stops_at.map_or(at, |known| known.min(at)));
            self.advance(now);
        }
        WorkerOutcome::Done
    }

    fn reply(&self, now: TimeMs, outcome: WorkerOutcome, is_listing: bool) -> WorkerReply {
        let gangs = self.gangs.values().map(|held| GangOnWorker {
            device_mask: held.mask,
            lease_left_ms: held.lease_until.since(now),
            phase: held.phase,
            progress: 0.0,
            reason: String::new(),
            spec: held.spec.clone(),
        });
        WorkerReply {
            gangs: if is_listing {
                gangs.collect()
            } else {
                Vec::new()
            },
            highest_epoch: self.highest_epoch,
            outcome,
        }
    }
}
