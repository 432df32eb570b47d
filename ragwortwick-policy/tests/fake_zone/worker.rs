//! A fake worker, which runs members under leases and rejects orders from older epochs.

use std::collections::BTreeMap;

use ragwortwick_border::{
    GangOnWorker, GangPhase, GangSpec, WorkerCommand, WorkerOutcome, WorkerReply,
};
use ragwortwick_core::{DurationMs, Epoch, GangId, JobId, RackName, TimeMs, WorkerName};
use ragwortwick_policy::WorkerInfo;

use super::ActualRun;

pub struct Allocation {
    pub spec: GangSpec,
    pub mask: u32,
    pub phase: GangPhase,
    pub lease_until: TimeMs,
    pub started_at: TimeMs,
    pub ends_at: TimeMs,
    pub stops_at: Option<TimeMs>,
    pub fails: bool,
}

impl Allocation {
    pub fn is_active(&self) -> bool {
        matches!(self.phase, GangPhase::Running | GangPhase::Checkpointing)
    }

    pub fn is_ended(&self) -> bool {
        !self.is_active() && self.phase != GangPhase::Reserved
    }
}

pub struct FakeWorker {
    pub name: WorkerName,
    pub rack: RackName,
    pub accelerators: u32,
    pub highest_epoch: Epoch,
    pub gangs: BTreeMap<GangId, Allocation>,
    pub is_down: bool,
    pub is_unlisted: bool,
    /// Whether every member that starts here fails.
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

    /// Advances members to `now`: they finish, fail, stop or lose their leases.
    pub fn advance(&mut self, now: TimeMs) {
        for allocation in self.gangs.values_mut() {
            let is_lapsed = allocation.lease_until < now;
            if allocation.is_active() {
                let end = allocation
                    .stops_at
                    .map_or(allocation.ends_at, |at| at.min(allocation.ends_at));
                if allocation.ends_at <= now
                    && end == allocation.ends_at
                    && allocation.lease_until >= allocation.ends_at
                {
                    allocation.phase = if allocation.fails {
                        GangPhase::Failed
                    } else {
                        GangPhase::Finished
                    };
                } else if is_lapsed || allocation.stops_at.is_some_and(|at| at <= now) {
                    allocation.phase = GangPhase::Stopped;
                }
            }
        }
        self.gangs.retain(|_, allocation| {
            allocation.phase != GangPhase::Reserved || allocation.lease_until >= now
        });
    }

    pub fn execute(
        &mut self,
        now: TimeMs,
        epoch: Epoch,
        command: &WorkerCommand,
        actual_runs: &BTreeMap<JobId, ActualRun>,
    ) -> WorkerReply {
        self.advance(now);
        if epoch < self.highest_epoch {
            return self.reply(now, WorkerOutcome::StaleEpoch, false);
        }
        self.highest_epoch = epoch;
        let is_listing = matches!(command, WorkerCommand::Inventory | WorkerCommand::Renew(_));
        let outcome = self.apply(now, command, actual_runs);
        self.reply(now, outcome, is_listing)
    }

    fn apply(
        &mut self,
        now: TimeMs,
        command: &WorkerCommand,
        actual_runs: &BTreeMap<JobId, ActualRun>,
    ) -> WorkerOutcome {
        match command {
            WorkerCommand::Inventory
            | WorkerCommand::Throttle(_)
            | WorkerCommand::Checkpoint(_) => WorkerOutcome::Done,
            WorkerCommand::Reserve(reserve) => self.reserve(now, &reserve.spec, reserve.lease_ms),
            WorkerCommand::Commit(commit) => {
                self.commit(now, &commit.gang_id, commit.lease_ms, actual_runs)
            }
            WorkerCommand::Release(gang) => {
                let allocation = self.gangs.get(&gang.gang_id);
                if allocation.is_some_and(|allocation| allocation.phase == GangPhase::Reserved) {
                    self.gangs.remove(&gang.gang_id);
                }
                WorkerOutcome::Done
            }
            WorkerCommand::Renew(renew) => {
                for allocation in self.gangs.values_mut() {
                    if renew.gang_ids.contains(&allocation.spec.gang_id) && allocation.is_active() {
                        allocation.lease_until = now + renew.lease_ms;
                    }
                }
                WorkerOutcome::Done
            }
            WorkerCommand::Stop(stop) => self.stop(now, &stop.gang_id, stop.grace_ms),
            WorkerCommand::Forget(gang) => {
                let allocation = self.gangs.get(&gang.gang_id);
                if allocation.is_some_and(Allocation::is_ended) {
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
            .any(|allocation| !allocation.is_ended() && allocation.mask & mask != 0);
        if is_taken {
            return WorkerOutcome::Occupied;
        }
        let allocation = Allocation {
            spec: spec.clone(),
            mask,
            phase: GangPhase::Reserved,
            lease_until: now + lease_ms,
            started_at: now,
            ends_at: now,
            stops_at: None,
            fails: false,
        };
        self.gangs.insert(spec.gang_id.clone(), allocation);
        WorkerOutcome::Done
    }

    fn commit(
        &mut self,
        now: TimeMs,
        gang_id: &GangId,
        lease_ms: DurationMs,
        actual_runs: &BTreeMap<JobId, ActualRun>,
    ) -> WorkerOutcome {
        let is_broken = self.is_broken;
        let Some(allocation) = self.gangs.get_mut(gang_id) else {
            return WorkerOutcome::UnknownGang;
        };
        if allocation.phase != GangPhase::Reserved {
            return WorkerOutcome::Done;
        }
        let actual_run = actual_runs
            .get(&allocation.spec.job_id)
            .copied()
            .unwrap_or(ActualRun {
                run_ms: 60_000,
                fails: false,
            });
        allocation.phase = GangPhase::Running;
        allocation.started_at = now;
        allocation.fails = is_broken || actual_run.fails;
        let run_ms = if allocation.fails {
            3_000
        } else {
            actual_run.run_ms
        };
        allocation.ends_at = now + DurationMs(run_ms);
        allocation.lease_until = now + lease_ms;
        WorkerOutcome::Done
    }

    fn stop(&mut self, now: TimeMs, gang_id: &GangId, grace_ms: DurationMs) -> WorkerOutcome {
        let Some(allocation) = self.gangs.get_mut(gang_id) else {
            return WorkerOutcome::UnknownGang;
        };
        if allocation.phase == GangPhase::Reserved {
            self.gangs.remove(gang_id);
        } else if allocation.is_active() {
            allocation.phase = GangPhase::Checkpointing;
            let at = now + grace_ms;
            allocation.stops_at = Some(allocation.stops_at.map_or(at, |known| known.min(at)));
            self.advance(now);
        }
        WorkerOutcome::Done
    }

    fn reply(&self, now: TimeMs, outcome: WorkerOutcome, is_listing: bool) -> WorkerReply {
        let gangs = self.gangs.values().map(|allocation| GangOnWorker {
            device_mask: allocation.mask,
            lease_left_ms: allocation.lease_until.since(now),
            phase: allocation.phase,
            progress: 0.0,
            reason: String::new(),
            spec: allocation.spec.clone(),
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
