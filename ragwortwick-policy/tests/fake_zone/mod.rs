//! Fake workers with a virtual clock, and a host that drives a placer against them.
#![allow(
    dead_code,
    reason = "each test and bench uses the part of the fake that it needs"
)]

pub mod tables;
mod worker;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use ragwortwick_border::{
    AcceptedTable, JobPhase, JobRecord, JobSubmit, Shape, Table, WorkerCommand, WorkerOutcome,
    WorkerReply,
};
use ragwortwick_core::{
    ClassName, CustomerName, DurationMs, Epoch, GangId, JobId, TimeMs, WorkerName, ZoneName,
};
use ragwortwick_policy::{
    OrderId, WorkerInfo, ZoneAction, ZoneEvent, ZoneNotice, ZoneOptions, ZonePlacer,
};

pub use worker::FakeWorker;

pub const ZONE: &str = "z1";
const REPLY_MS: u64 = 1;
const SILENT_MS: u64 = 1_000;

/// What becomes of one order on its way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fate {
    Deliver,
    LoseOrder,
    LoseAnswer,
    Refuse,
}

type Fates = Box<dyn FnMut(&WorkerName, &WorkerCommand) -> Fate>;

/// How a job really behaves, whatever was declared.
#[derive(Clone, Copy, Debug)]
pub struct Truth {
    pub run_ms: u64,
    pub fails: bool,
}

/// Placer, workers, store and clock of one zone.
pub struct FakeZone {
    pub now: TimeMs,
    pub placer: ZonePlacer,
    pub epoch: u64,
    pub workers: BTreeMap<WorkerName, FakeWorker>,
    pub truths: BTreeMap<JobId, Truth>,
    pub records: BTreeMap<JobId, JobRecord>,
    pub written_at: Vec<(TimeMs, JobRecord)>,
    pub notices: Vec<(TimeMs, ZoneNotice)>,
    pub starts: BTreeMap<JobId, Vec<(TimeMs, GangId)>>,
    pub commits: Vec<(GangId, WorkerName)>,
    pub table: Option<Arc<AcceptedTable>>,
    pub store_is_away: bool,
    pub paused: bool,
    pub orders_sent: u64,
    /// Processor time that the placer took, on the real clock.
    pub placer_time: std::time::Duration,
    events: BTreeMap<(TimeMs, u64), ZoneEvent>,
    next_event: u64,
    fates: Fates,
    pub after_event: Option<fn(&FakeZone)>,
    unwritten: Vec<JobRecord>,
    checkpointed: BTreeSet<GangId>,
}

impl FakeZone {
    pub fn new(racks: &[&[u32]]) -> Self {
        let mut workers = BTreeMap::new();
        for (rack, row) in racks.iter().enumerate() {
            for (index, accelerators) in row.iter().enumerate() {
                let name = WorkerName::new(format!("r{rack:02}w{index}"));
                let rack = format!("r{rack:02}");
                let worker = FakeWorker::new(&name, &rack, *accelerators);
                workers.insert(name, worker);
            }
        }
        Self {
            now: TimeMs(1_000),
            placer: new_placer(),
            epoch: 0,
            workers,
            truths: BTreeMap::new(),
            records: BTreeMap::new(),
            written_at: Vec::new(),
            notices: Vec::new(),
            starts: BTreeMap::new(),
            commits: Vec::new(),
            table: None,
            store_is_away: false,
            paused: false,
            orders_sent: 0,
            placer_time: std::time::Duration::ZERO,
            events: BTreeMap::new(),
            next_event: 0,
            fates: Box::new(|_, _| Fate::Deliver),
            after_event: None,
            unwritten: Vec::new(),
            checkpointed: BTreeSet::new(),
        }
    }

    /// A zone with a table whose first owner is placing.
    pub fn started(racks: &[&[u32]], table: Table) -> Self {
        let mut zone = Self::new(racks);
        zone.accept(table);
        zone.take_over();
        zone.run_for(400);
        zone
    }

    pub fn set_fates(&mut self, fates: impl FnMut(&WorkerName, &WorkerCommand) -> Fate + 'static) {
        self.fates = Box::new(fates);
    }

    pub fn accept(&mut self, table: Table) {
        let number = self.table.as_ref().map_or(0, |known| known.number) + 1;
        let accepted = Arc::new(AcceptedTable {
            accepted_at_ms: self.now,
            accepted_by: "test".to_owned(),
            nonce: number.to_string(),
            number,
            reason: String::new(),
            table,
        });
        self.table = Some(Arc::clone(&accepted));
        self.send(ZoneEvent::TableInForce(accepted));
    }

    /// A new owner with an empty memory takes the zone; the old one is never heard again.
    pub fn take_over(&mut self) {
        self.epoch += 1;
        self.placer = new_placer();
        self.events.clear();
        if let Some(table) = self.table.clone() {
            self.send(ZoneEvent::TableInForce(table));
        }
        let epoch = Epoch(self.epoch);
        self.send(ZoneEvent::OwnershipGained { epoch });
        let infos: Vec<WorkerInfo> = self
            .workers
            .values()
            .filter(|worker| !worker.is_unlisted)
            .map(FakeWorker::info)
            .collect();
        for info in infos {
            self.send(ZoneEvent::WorkerListed(info));
        }
        let unfinished: Vec<JobRecord> = self
            .records
            .values()
            .filter(|r| !is_over(r))
            .cloned()
            .collect();
        for record in unfinished {
            self.send(ZoneEvent::JobFound(record));
        }
    }

    pub fn submit(
        &mut self,
        id: &str,
        customer: &str,
        class: &str,
        cells: u32,
        size: u32,
    ) -> JobId {
        self.submit_job(
            job(id, customer, class, cells, size),
            Truth {
                run_ms: 60_000,
                fails: false,
            },
        )
    }

    pub fn submit_job(&mut self, spec: JobSubmit, truth: Truth) -> JobId {
        let job_id = spec.job_id.clone().expect("tests name their jobs");
        let record = JobRecord {
            accepted_at_ms: self.now,
            attempt: 0,
            cancel_requested: false,
            job_id: job_id.clone(),
            nonce: String::new(),
            phase: JobPhase::Waiting,
            reason: String::new(),
            spec,
            zone: ZoneName::new(ZONE),
        };
        self.truths.insert(job_id.clone(), truth);
        self.records.insert(job_id.clone(), record.clone());
        self.send(ZoneEvent::JobFound(record));
        job_id
    }

    pub fn cancel(&mut self, job_id: &JobId) {
        if let Some(record) = self.records.get_mut(job_id) {
            record.cancel_requested = true;
        }
        self.send(ZoneEvent::JobCancelled(job_id.clone()));
    }

    pub fn unlist(&mut self, name: &WorkerName) {
        if let Some(worker) = self.workers.get_mut(name) {
            worker.is_unlisted = true;
        }
        self.send(ZoneEvent::WorkerUnlisted(name.clone()));
    }

    pub fn kill(&mut self, name: &WorkerName) {
        if let Some(worker) = self.workers.get_mut(name) {
            worker.is_down = true;
            worker.gangs.clear();
        }
    }

    pub fn break_worker(&mut self, name: &WorkerName, is_broken: bool) {
        if let Some(worker) = self.workers.get_mut(name) {
            worker.is_broken = is_broken;
        }
    }

    pub fn revive(&mut self, name: &WorkerName) {
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        worker.is_down = false;
        worker.is_unlisted = false;
        let info = worker.info();
        self.send(ZoneEvent::WorkerListed(info));
    }

    pub fn send(&mut self, event: ZoneEvent) {
        let started = std::time::Instant::now();
        let actions = self.placer.on_event(self.now, event);
        self.placer_time += started.elapsed();
        for action in actions {
            self.carry_out(action);
        }
        if let Some(check) = self.after_event {
            check(self);
        }
    }

    pub fn run_for(&mut self, span_ms: u64) {
        self.run_until(self.now + DurationMs(span_ms));
    }

    pub fn run_until(&mut self, end: TimeMs) {
        let mut idle_rounds = 0;
        while let Some(at) = self.next_time(end) {
            idle_rounds = if at > self.now { 0 } else { idle_rounds + 1 };
            assert!(idle_rounds < 100_000, "time stands still at {}", self.now);
            self.now = self.now.max(at);
            let first = self.events.first_key_value().map(|(key, _)| *key);
            match first {
                Some(key) if key.0 <= self.now => {
                    let event = self.events.remove(&key).expect("the key was just seen");
                    self.send(event);
                }
                _ => self.send(ZoneEvent::Tick),
            }
        }
        self.now = end;
    }

    fn next_time(&mut self, end: TimeMs) -> Option<TimeMs> {
        if self.paused {
            return None;
        }
        let queued = self.events.first_key_value().map(|(key, _)| key.0);
        let started = std::time::Instant::now();
        let due = self.placer.next_wakeup();
        self.placer_time += started.elapsed();
        [queued, due]
            .into_iter()
            .flatten()
            .min()
            .filter(|at| *at <= end)
    }

    pub fn write_pending(&mut self) {
        self.store_is_away = false;
        for record in std::mem::take(&mut self.unwritten) {
            self.write(record);
        }
    }

    fn carry_out(&mut self, action: ZoneAction) {
        match action {
            ZoneAction::Order {
                order,
                worker,
                command,
            } => self.deliver(order, &worker, &command),
            ZoneAction::RecordJob(record) if self.store_is_away => self.unwritten.push(record),
            ZoneAction::RecordJob(record) => self.write(record),
            ZoneAction::Notice(notice) => self.note(notice),
        }
    }

    fn write(&mut self, record: JobRecord) {
        let event = ZoneEvent::JobRecorded {
            job_id: record.job_id.clone(),
            attempt: record.attempt,
        };
        self.written_at.push((self.now, record.clone()));
        self.records.insert(record.job_id.clone(), record);
        self.later(5, event);
    }

    fn note(&mut self, notice: ZoneNotice) {
        if let ZoneNotice::GangStarted { gang_id, .. } = &notice
            && let Some((job_id, _)) = gang_id.job_and_attempt()
        {
            self.starts
                .entry(job_id)
                .or_default()
                .push((self.now, gang_id.clone()));
        }
        self.notices.push((self.now, notice));
    }

    fn later(&mut self, span_ms: u64, event: ZoneEvent) {
        self.next_event += 1;
        let at = self.now + DurationMs(span_ms);
        self.events.insert((at, self.next_event), event);
    }

    fn deliver(&mut self, order: OrderId, name: &WorkerName, command: &WorkerCommand) {
        self.orders_sent += 1;
        let fate = (self.fates)(name, command);
        if let WorkerCommand::Stop(stop) = command
            && stop.grace_ms > DurationMs(0)
        {
            self.checkpoint(name, &stop.gang_id, stop.grace_ms);
        }
        let epoch = Epoch(self.epoch);
        let reply = self.workers.get_mut(name).and_then(|worker| {
            if worker.is_down || fate == Fate::LoseOrder {
                return None;
            }
            if fate == Fate::Refuse {
                return Some(WorkerReply {
                    gangs: Vec::new(),
                    highest_epoch: worker.highest_epoch,
                    outcome: WorkerOutcome::Occupied,
                });
            }
            if let WorkerCommand::Commit(commit) = command {
                self.commits.push((commit.gang_id.clone(), name.clone()));
            }
            let reply = worker.obey(self.now, epoch, command, &self.truths);
            (fate != Fate::LoseAnswer).then_some(reply)
        });
        let worker = name.clone();
        match reply {
            Some(reply) => self.later(
                REPLY_MS,
                ZoneEvent::WorkerReplied {
                    worker,
                    order,
                    reply,
                },
            ),
            None => self.later(SILENT_MS, ZoneEvent::OrderTimedOut { worker, order }),
        }
    }

    /// Keeps what a whole gang has done, so that its job's next attempt has less to do.
    fn checkpoint(&mut self, name: &WorkerName, gang_id: &GangId, grace_ms: DurationMs) {
        let now = self.now;
        let Some(held) = self.workers.get(name).and_then(|w| w.gangs.get(gang_id)) else {
            return;
        };
        let is_whole = held.spec.members.iter().all(|member| {
            let worker = self.workers.get(&member.worker);
            worker.is_some_and(|worker| !worker.is_down)
        });
        if !held.is_active() || !is_whole || self.checkpointed.contains(gang_id) {
            return;
        }
        let done_ms = (now + grace_ms).since(held.started_at);
        let job_id = held.spec.job_id.clone();
        self.checkpointed.insert(gang_id.clone());
        if let Some(truth) = self.truths.get_mut(&job_id) {
            truth.run_ms = truth.run_ms.saturating_sub(done_ms.0).max(1_000);
        }
    }

    /// Gangs of which some member runs and some does not.
    pub fn partial_gangs(&mut self) -> BTreeSet<GangId> {
        let now = self.now;
        let mut members: BTreeMap<GangId, (u32, u32)> = BTreeMap::new();
        for worker in self.workers.values_mut() {
            worker.advance(now);
            for (gang_id, held) in &worker.gangs {
                let entry = members.entry(gang_id.clone()).or_default();
                entry.1 = u32::try_from(held.spec.members.len()).expect("small");
                entry.0 += u32::from(held.is_active());
            }
        }
        let is_partial = |(active, all): (u32, u32)| active > 0 && active < all;
        members
            .into_iter()
            .filter(|(_, counts)| is_partial(*counts))
            .map(|(gang_id, _)| gang_id)
            .collect()
    }

    pub fn phase(&self, job_id: &JobId) -> JobPhase {
        self.records[job_id].phase
    }

    pub fn start_count(&self, job_id: &JobId) -> usize {
        self.starts.get(job_id).map_or(0, Vec::len)
    }

    /// Gangs that any worker runs now, by job.
    pub fn running(&mut self, job_id: &JobId) -> BTreeSet<GangId> {
        let now = self.now;
        let mut running = BTreeSet::new();
        for worker in self.workers.values_mut() {
            worker.advance(now);
            for (gang_id, held) in &worker.gangs {
                if held.is_active() && held.spec.job_id == *job_id {
                    running.insert(gang_id.clone());
                }
            }
        }
        running
    }
}

fn new_placer() -> ZonePlacer {
    ZonePlacer::new(ZoneName::new(ZONE), ZoneOptions::default(), 1)
}

fn is_over(record: &JobRecord) -> bool {
    matches!(
        record.phase,
        JobPhase::Finished | JobPhase::Failed | JobPhase::Cancelled | JobPhase::MayHaveRun
    )
}

/// A repeatable job that declares one minute.
pub fn job(id: &str, customer: &str, class: &str, cells: u32, size: u32) -> JobSubmit {
    JobSubmit {
        class: ClassName::new(class),
        customer: CustomerName::new(customer),
        deadline_ms: None,
        job_id: Some(JobId::new(id)),
        payload: String::new(),
        repeatable: true,
        run_time_estimate_ms: DurationMs(60_000),
        shape: Shape {
            cells,
            cell_accelerators: size,
        },
        tasks_per_cell: 1,
        zone: None,
    }
}
