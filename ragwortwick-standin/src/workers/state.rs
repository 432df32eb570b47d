//! What every worker of the process holds, and how it answers orders.

use std::collections::BTreeMap;

use ragwortwick_border::{
    CommitCommand, GangOnWorker, GangPhase, RenewCommand, ReserveCommand, StopCommand,
    WorkerCommand, WorkerOrder, WorkerOutcome, WorkerReply,
};
use ragwortwick_core::{Epoch, GangId, JobId, TimeMs, WorkerName};

use super::member::Member;
use crate::faults::Faults;
use crate::start_log::{LogEntry, LogEvent, StartLog};

/// `WorkersState` is the content of many workers; checkpoints are shared between them.
#[derive(Clone, Debug, Default)]
pub struct WorkersState {
    workers: BTreeMap<WorkerName, WorkerState>,
    checkpoints: BTreeMap<JobId, f64>,
    log: StartLog,
}

#[derive(Clone, Debug, Default)]
struct WorkerState {
    accelerators: u32,
    highest_epoch: Epoch,
    members: BTreeMap<GangId, Member>,
}

impl WorkersState {
    /// `new` makes workers without members that write to the log.
    #[must_use]
    pub fn new(workers: impl IntoIterator<Item = (WorkerName, u32)>, log: StartLog) -> Self {
        let workers = workers
            .into_iter()
            .map(|(name, accelerators)| {
                let worker = WorkerState {
                    accelerators,
                    ..WorkerState::default()
                };
                (name, worker)
            })
            .collect();
        Self {
            workers,
            checkpoints: BTreeMap::new(),
            log,
        }
    }

    /// `order` carries out an order; `None` if there is no such worker.
    ///
    /// Of the faults, `fail_starts` and `without_fencing` act here.
    pub fn order(
        &mut self,
        now: TimeMs,
        name: &WorkerName,
        order: &WorkerOrder,
        faults: &Faults,
    ) -> Option<WorkerReply> {
        self.advance(now);
        let worker = self.workers.get_mut(name)?;
        // A frozen owner that wakes has a lower epoch than its successor; without the refusal both
        // would start gangs on the same accelerators.
        if order.epoch < worker.highest_epoch && !faults.without_fencing {
            self.log.push(LogEntry {
                at_ms: now,
                place: name.to_string(),
                id: String::new(),
                event: LogEvent::Fenced,
                epoch: order.epoch,
            });
            return Some(WorkerReply {
                outcome: WorkerOutcome::StaleEpoch,
                highest_epoch: worker.highest_epoch,
                gangs: Vec::new(),
            });
        }
        worker.highest_epoch = worker.highest_epoch.max(order.epoch);
        let mut work = Order {
            now,
            epoch: order.epoch,
            name,
            worker,
            checkpoints: &self.checkpoints,
            log: &self.log,
            fails_starts: faults.fail_starts,
        };
        let outcome = work.run(&order.command);
        let with_report = matches!(
            order.command,
            WorkerCommand::Inventory | WorkerCommand::Renew(_)
        );
        let highest_epoch = worker.highest_epoch;
        self.advance(now);
        let worker = self.workers.get(name)?;
        Some(WorkerReply {
            outcome,
            highest_epoch,
            gangs: if with_report {
                worker.report(now)
            } else {
                Vec::new()
            },
        })
    }

    /// `advance` ends what finished, lapsed or was to be stopped by now.
    pub fn advance(&mut self, now: TimeMs) {
        for (name, worker) in &mut self.workers {
            for (gang_id, member) in &mut worker.members {
                let advance = member.advance(now);
                if let Some(progress) = advance.checkpoint {
                    self.checkpoints
                        .insert(member.spec.job_id.clone(), progress);
                }
                if let Some(event) = advance.event {
                    self.log.push(LogEntry {
                        at_ms: now,
                        place: name.to_string(),
                        id: gang_id.to_string(),
                        event,
                        epoch: member.epoch,
                    });
                }
            }
            worker.drop_lapsed_reservations();
        }
    }

    /// `lapse_leases` ends every lease, as if nobody had renewed for long.
    pub fn lapse_leases(&mut self, now: TimeMs) {
        for member in self
            .workers
            .values_mut()
            .flat_map(|w| w.members.values_mut())
        {
            member.lease_ends_at = member.lease_ends_at.min(now);
        }
        self.advance(now);
    }

    /// `held` gives the members on a worker.
    #[must_use]
    pub fn held(&self, now: TimeMs, name: &WorkerName) -> Vec<GangOnWorker> {
        self.workers
            .get(name)
            .map_or_else(Vec::new, |worker| worker.report(now))
    }
}

impl WorkerState {
    fn report(&self, now: TimeMs) -> Vec<GangOnWorker> {
        self.members.values().map(|m| m.report(now)).collect()
    }

    fn drop_lapsed_reservations(&mut self) {
        // A reservation leaves no trace: only members that were started are reported when ended.
        self.members
            .retain(|_, member| member.phase != GangPhase::Stopped || member.was_started());
    }

    fn is_free(&self, mask: u32, gang_id: &GangId) -> bool {
        let in_reach = mask.checked_shr(self.accelerators).unwrap_or(0) == 0;
        let is_taken = self
            .members
            .iter()
            .any(|(id, other)| id != gang_id && other.is_held() && other.device_mask & mask != 0);
        in_reach && !is_taken
    }
}

/// `Order` is one order on its way through one worker.
struct Order<'a> {
    now: TimeMs,
    epoch: Epoch,
    name: &'a WorkerName,
    worker: &'a mut WorkerState,
    checkpoints: &'a BTreeMap<JobId, f64>,
    log: &'a StartLog,
    fails_starts: bool,
}

impl Order<'_> {
    fn run(&mut self, command: &WorkerCommand) -> WorkerOutcome {
        match command {
            WorkerCommand::Inventory => WorkerOutcome::Done,
            WorkerCommand::Reserve(reserve) => self.reserve(reserve),
            WorkerCommand::Commit(commit) => self.commit(commit),
            WorkerCommand::Release(gang) => self.release(&gang.gang_id),
            WorkerCommand::Renew(renew) => self.renew(renew),
            WorkerCommand::Checkpoint(gang) => self.checkpoint(&gang.gang_id),
            WorkerCommand::Stop(stop) => self.stop(stop),
            WorkerCommand::Throttle(throttle) => {
                let now = self.now;
                self.on_member(&throttle.gang_id, |m| m.throttle(now, throttle.percent))
            }
            WorkerCommand::Forget(gang) => self.forget(&gang.gang_id),
        }
    }

    fn reserve(&mut self, reserve: &ReserveCommand) -> WorkerOutcome {
        let spec = &reserve.spec;
        let Some(part) = spec.members.iter().find(|m| m.worker == *self.name) else {
            return WorkerOutcome::UnknownGang;
        };
        let lease_ends_at = self.now + reserve.lease_ms;
        if let Some(member) = self.worker.members.get_mut(&spec.gang_id) {
            if member.phase == GangPhase::Reserved {
                member.lease_ends_at = lease_ends_at;
            }
            return WorkerOutcome::Done;
        }
        if !self.worker.is_free(part.device_mask, &spec.gang_id) {
            return WorkerOutcome::Occupied;
        }
        let member = Member::reserved(spec.clone(), part.device_mask, self.epoch, lease_ends_at);
        self.worker.members.insert(spec.gang_id.clone(), member);
        self.note(&spec.gang_id, LogEvent::Reserved);
        WorkerOutcome::Done
    }

    fn commit(&mut self, commit: &CommitCommand) -> WorkerOutcome {
        let Some(member) = self.worker.members.get_mut(&commit.gang_id) else {
            return WorkerOutcome::UnknownGang;
        };
        // A repeated commit after a lost answer must not start the member again.
        if member.phase != GangPhase::Reserved {
            return WorkerOutcome::Done;
        }
        let from = self.checkpoints.get(&member.spec.job_id).copied();
        member.start(self.now, self.epoch, commit.lease_ms, from.unwrap_or(0.0));
        self.note(&commit.gang_id, LogEvent::Started);
        if self.fails_starts {
            self.on_member(&commit.gang_id, |member| member.fail("exit 1 at start"));
            self.note(&commit.gang_id, LogEvent::Failed);
        }
        WorkerOutcome::Done
    }

    fn release(&mut self, gang_id: &GangId) -> WorkerOutcome {
        match self.worker.members.get(gang_id).map(|m| m.phase) {
            None => WorkerOutcome::UnknownGang,
            Some(GangPhase::Reserved) => {
                self.worker.members.remove(gang_id);
                self.note(gang_id, LogEvent::Released);
                WorkerOutcome::Done
            }
            Some(_) => WorkerOutcome::Occupied,
        }
    }

    fn renew(&mut self, renew: &RenewCommand) -> WorkerOutcome {
        for gang_id in &renew.gang_ids {
            if let Some(member) = self.worker.members.get_mut(gang_id)
                && member.is_held()
            {
                member.lease_ends_at = self.now + renew.lease_ms;
                member.epoch = self.epoch;
            }
        }
        WorkerOutcome::Done
    }

    fn checkpoint(&mut self, gang_id: &GangId) -> WorkerOutcome {
        let now = self.now;
        self.on_member(gang_id, |member| {
            if member.phase == GangPhase::Running {
                member.checkpoint(now);
            }
        })
    }

    fn stop(&mut self, stop: &StopCommand) -> WorkerOutcome {
        let now = self.now;
        let phase = self.worker.members.get(&stop.gang_id).map(|m| m.phase);
        if phase == Some(GangPhase::Reserved) {
            return self.release(&stop.gang_id);
        }
        self.on_member(&stop.gang_id, |member| {
            if member.is_held() {
                member.stop(now, stop.grace_ms);
            }
        })
    }

    fn forget(&mut self, gang_id: &GangId) -> WorkerOutcome {
        match self.worker.members.get(gang_id) {
            None => WorkerOutcome::UnknownGang,
            Some(member) if member.is_held() => WorkerOutcome::Occupied,
            Some(_) => {
                self.worker.members.remove(gang_id);
                WorkerOutcome::Done
            }
        }
    }

    fn on_member(&mut self, gang_id: &GangId, change: impl FnOnce(&mut Member)) -> WorkerOutcome {
        let Some(member) = self.worker.members.get_mut(gang_id) else {
            return WorkerOutcome::UnknownGang;
        };
        change(member);
        WorkerOutcome::Done
    }

    fn note(&self, gang_id: &GangId, event: LogEvent) {
        self.log.push(LogEntry {
            at_ms: self.now,
            place: self.name.to_string(),
            id: gang_id.to_string(),
            event,
            epoch: self.epoch,
        });
    }
}
