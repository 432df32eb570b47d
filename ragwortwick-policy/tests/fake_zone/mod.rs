//! Fake workers with a virtual clock, and a fake host that runs a placer against them.
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
const ORDER_TIMEOUT_MS: u64 = 1_000;

/// How one order and its reply are delivered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Delivery {
    Deliver,
    LoseOrder,
    LoseReply,
    Refuse,
}

type DeliveryRule = Box<dyn FnMut(&WorkerName, &WorkerCommand) -> Delivery>;

/// How a job actually runs, independent of its declaration.
#[derive(Clone, Copy, Debug)]
pub struct ActualRun {
    pub run_ms: u64,
    pub fails: bool,
}

/// The placer, workers, store and clock of one zone.
pub struct FakeZone {
    pub now: TimeMs,
    pub placer: ZonePlacer,
    pub epoch: u64,
    pub workers: BTreeMap<WorkerName, FakeWorker>,
    pub actual_runs: BTreeMap<JobId, ActualRun>,
    pub records: BTreeMap<JobId, JobRecord>,
    pub writes: Vec<(TimeMs, JobRecord)>,
    pub notices: Vec<(TimeMs, ZoneNotice)>,
    pub starts: BTreeMap<JobId, Vec<(TimeMs, GangId)>>,
    pub commits: Vec<(GangId, WorkerName)>,
    pub table: Option<Arc<AcceptedTable>>,
    pub is_store_unavailable: bool,
    pub is_paused: bool,
    pub orders_sent: u64,
    /// Time spent in the placer, on the real clock.
    pub placer_time: std::time::Duration,
    events: BTreeMap<(TimeMs, u64), ZoneEvent>,
    next_event: u64,
    delivery_rule: DeliveryRule,
    pub after_event: Option<fn(&FakeZone)>,
    pending_records: Vec<JobRecord>,
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
            actual_runs: BTreeMap::new(),
            records: BTreeMap::new(),
            writes: Vec::new(),
            notices: Vec::new(),
            starts: BTreeMap::new(),
            commits: Vec::new(),
            table: None,
            is_store_unavailable: false,
            is_paused: false,
            orders_sent: 0,
            placer_time: std::time::Duration::ZERO,
            events: BTreeMap::new(),
            next_event: 0,
            delivery_rule: Box::new(|_, _| Delivery::Deliver),
            after_event: None,
            pending_records: Vec::new(),
            checkpointed: BTreeSet::new(),
        }
    }

    /// Creates a zone with a table in force, whose first owner has finished recovery.
    pub fn started(racks: &[&[u32]], table: Table) -> Self {
        let mut zone = Self::new(racks);
        zone.accept(table);
        zone.take_over();
        zone.run_for(400);
        zone
    }

    pub fn set_delivery(
        &mut self,
        delivery_rule: impl FnMut(&WorkerName, &WorkerCommand) -> Delivery + 'static,
    ) {
        self.delivery_rule = Box::new(delivery_rule);
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

    /// A new owner with empty state takes the zone; the old one sends and receives nothing more.
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
            .filter(|r| !is_ended(r))
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
            ActualRun {
                run_ms: 60_000,
                fails: false,
            },
        )
    }

    pub fn submit_job(&mut self, spec: JobSubmit, actual_run: ActualRun) -> JobId {
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
        self.actual_runs.insert(job_id.clone(), actual_run);
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
            self.perform(action);
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
            assert!(
                idle_rounds < 100_000,
                "time does not advance at {}",
                self.now
            );
            self.now = self.now.max(at);
            let next_key = self.events.first_key_value().map(|(key, _)| *key);
            match next_key {
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
        if self.is_paused {
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
        self.is_store_unavailable = false;
        for record in std::mem::take(&mut self.pending_records) {
            self.write(record);
        }
    }

    fn perform(&mut self, action: ZoneAction) {
        match action {
            ZoneAction::Order {
                order,
                worker,
                command,
            } => self.deliver(order, &worker, &command),
            ZoneAction::RecordJob(record) if self.is_store_unavailable => {
                self.pending_records.push(record);
            }
            ZoneAction::RecordJob(record) => self.write(record),
            ZoneAction::Notice(notice) => self.record_notice(notice),
        }
    }

    fn write(&mut self, record: JobRecord) {
        let event = ZoneEvent::JobRecorded {
            job_id: record.job_id.clone(),
            attempt: record.attempt,
        };
        self.writes.push((self.now, record.clone()));
        self.records.insert(record.job_id.clone(), record);
        self.schedule(5, event);
    }

    fn record_notice(&mut self, notice: ZoneNotice) {
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

    fn schedule(&mut self, span_ms: u64, event: ZoneEvent) {
        self.next_event += 1;
        let at = self.now + DurationMs(span_ms);
        self.events.insert((at, self.next_event), event);
    }

    fn deliver(&mut self, order: OrderId, name: &WorkerName, command: &WorkerCommand) {
        self.orders_sent += 1;
        let delivery = (self.delivery_rule)(name, command);
        if let WorkerCommand::Stop(stop) = command
            && stop.grace_ms > DurationMs(0)
        {
            self.checkpoint(name, &stop.gang_id, stop.grace_ms);
        }
        let epoch = Epoch(self.epoch);
        let reply = self.workers.get_mut(name).and_then(|worker| {
            if worker.is_down || delivery == Delivery::LoseOrder {
                return None;
            }
            if delivery == Delivery::Refuse {
                return Some(WorkerReply {
                    gangs: Vec::new(),
                    highest_epoch: worker.highest_epoch,
                    outcome: WorkerOutcome::Occupied,
                });
            }
            if let WorkerCommand::Commit(commit) = command {
                self.commits.push((commit.gang_id.clone(), name.clone()));
            }
            let reply = worker.execute(self.now, epoch, command, &self.actual_runs);
            (delivery != Delivery::LoseReply).then_some(reply)
        });
        let worker = name.clone();
        match reply {
            Some(reply) => self.schedule(
                REPLY_MS,
                ZoneEvent::WorkerReplied {
                    worker,
                    order,
                    reply,
                },
            ),
            None => self.schedule(ORDER_TIMEOUT_MS, ZoneEvent::OrderTimedOut { worker, order }),
        }
    }

    /// Saves the progress of a gang whose workers are all up, which shortens its job's next attempt.
    fn checkpoint(&mut self, name: &WorkerName, gang_id: &GangId, grace_ms: DurationMs) {
        let now = self.now;
        let Some(allocation) = self.workers.get(name).and_then(|w| w.gangs.get(gang_id)) else {
            return;
        };
        let is_whole = allocation.spec.members.iter().all(|member| {
            let worker = self.workers.get(&member.worker);
            worker.is_some_and(|worker| !worker.is_down)
        });
        if !allocation.is_active() || !is_whole || self.checkpointed.contains(gang_id) {
            return;
        }
        let done_ms = (now + grace_ms).since(allocation.started_at);
        let job_id = allocation.spec.job_id.clone();
        self.checkpointed.insert(gang_id.clone());
        if let Some(actual_run) = self.actual_runs.get_mut(&job_id) {
            actual_run.run_ms = actual_run.run_ms.saturating_sub(done_ms.0).max(1_000);
        }
    }

    /// Returns the gangs of which some members run and others do not.
    pub fn partial_gangs(&mut self) -> BTreeSet<GangId> {
        let now = self.now;
        let mut members: BTreeMap<GangId, (u32, u32)> = BTreeMap::new();
        for worker in self.workers.values_mut() {
            worker.advance(now);
            for (gang_id, allocation) in &worker.gangs {
                let entry = members.entry(gang_id.clone()).or_default();
                entry.1 = u32::try_from(allocation.spec.members.len()).expect("small");
                entry.0 += u32::from(allocation.is_active());
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

    /// Returns the gangs of a job that any worker runs now.
    pub fn running(&mut self, job_id: &JobId) -> BTreeSet<GangId> {
        let now = self.now;
        let mut running = BTreeSet::new();
        for worker in self.workers.values_mut() {
            worker.advance(now);
            for (gang_id, allocation) in &worker.gangs {
                if allocation.is_active() && allocation.spec.job_id == *job_id {
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

fn is_ended(record: &JobRecord) -> bool {
    matches!(
        record.phase,
        JobPhase::Finished | JobPhase::Failed | JobPhase::Cancelled | JobPhase::MayHaveRun
    )
}

/// Creates a repeatable job with a declared run time of one minute.
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
