//! The world: virtual time, events in order, and everything that happens between the parts.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::sync::Arc;

use ragwortwick_area::{
    Action, DesiredState, EndKind, Event, JobPhase, Limits, ProgressRecord, TaskId,
};
use ragwortwick_core::{DurationMs, JobId, TimeMs, WorkerName};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use crate::advisor::Advisor;
use crate::arrivals::{Arrival, Arrivals, desired};
use crate::faults::Fault;
use crate::host::Host;
use crate::invariants::Truth;
use crate::store::{Store, StoredJob};
use crate::value::{LostWorkCause, Scale, Seen, ValueReport};
use crate::worker::{EmuWorker, Saving};
use crate::workload::Workload;

/// How often leases, gangs, elections and feeds are looked after.
pub(crate) const TICK_MS: DurationMs = DurationMs(20);

/// How often workers' entries reach the coordinator.
pub(crate) const FEED_MS: DurationMs = DurationMs(400);

/// Quiet time after the last arrival and fault, in which every job has to come to its end.
const SETTLE_MS: DurationMs = DurationMs(240_000);

/// `SimulationOptions` shapes a run.
#[derive(Clone, Debug)]
pub struct SimulationOptions {
    /// Seed of everything that is drawn.
    pub seed: u64,
    /// Number of workers.
    pub workers: u32,
    /// Workers in a rack.
    pub rack: u32,
    /// What comes in.
    pub workload: Workload,
    /// Bounds of the installation.
    pub limits: Limits,
}

impl Default for SimulationOptions {
    fn default() -> Self {
        Self {
            seed: 1,
            workers: 24,
            rack: 8,
            workload: Workload::default(),
            limits: Limits::default(),
        }
    }
}

/// `SimulationReport` is what a run showed.
#[derive(Clone, Debug)]
pub struct SimulationReport {
    /// Broken promises, in words.
    pub violations: Vec<String>,
    /// Jobs that were accepted.
    pub jobs: usize,
    /// Jobs shown as completed.
    pub completed: usize,
    /// Runs begun.
    pub starts: u64,
    /// Runs stopped on order.
    pub stopped: u64,
    /// Runs whose lease ran out.
    pub expired: u64,
    /// Starts that were refused for want of a ticket.
    pub ticket_refusals: u64,
    /// Core-seconds of work that was stopped or lost, by why.
    pub lost_core_s: BTreeMap<LostWorkCause, u64>,
    /// What callers got of jobs without set times that were not cancelled and could be done.
    pub value: ValueReport,
}

#[derive(Debug)]
pub(crate) enum Happening {
    Tick,
    Arrive(usize),
    Cancel(usize),
    Begin(usize),
    Finish(usize),
    Wakeup(usize, u64),
    /// A run that was told to stop ends: worker, task, run.
    Stopped(usize, TaskId, u32),
    /// A task crashes the worker that runs it: worker, its life, task.
    TaskCrashes(usize, WorkerName, TaskId),
    /// A crashed worker is back.
    Back(usize),
    /// An order reaches a worker.
    Deliver {
        host: usize,
        term: u64,
        action: Action,
        is_late: bool,
        wants_reply: bool,
    },
    /// An event reaches a coordinator.
    Hear {
        host: usize,
        term: u64,
        event: Event,
    },
    /// A batch reaches the store.
    Commit {
        host: usize,
        term: u64,
        batch: u64,
        records: Vec<ProgressRecord>,
    },
}

pub(crate) type GangKey = (JobId, u32, u32, u32);

#[derive(Debug, Default)]
pub(crate) struct Gang {
    pub(crate) members: BTreeMap<TaskId, usize>,
    pub(crate) first_at: TimeMs,
    pub(crate) is_begun: bool,
    pub(crate) will_fail: bool,
}

/// `Simulation` is one run.
#[derive(Debug)]
pub struct Simulation {
    pub(crate) options: SimulationOptions,
    pub(crate) now: TimeMs,
    pub(crate) rng: Pcg64Mcg,
    pub(crate) queue: BinaryHeap<Reverse<(TimeMs, u64)>>,
    pub(crate) happenings: BTreeMap<u64, Happening>,
    pub(crate) next_number: u64,
    pub(crate) arrivals: Vec<Arrival>,
    pub(crate) by_job: BTreeMap<JobId, usize>,
    pub(crate) faults: Vec<Fault>,
    pub(crate) store: Store,
    pub(crate) workers: Vec<EmuWorker>,
    pub(crate) hosts: Vec<Host>,
    pub(crate) gangs: BTreeMap<GangKey, Gang>,
    pub(crate) truth: Truth,
    pub(crate) desired: Arc<DesiredState>,
    pub(crate) advisor: Advisor,
    pub(crate) orders_late: bool,
    pub(crate) calm_from: TimeMs,
    pub(crate) last_feed: TimeMs,
    pub(crate) last_renewal: TimeMs,
    pub(crate) completed_at: BTreeMap<JobId, TimeMs>,
    pub(crate) wasted_core_ms: BTreeMap<LostWorkCause, u64>,
}

impl Simulation {
    /// `new` draws a world.
    #[must_use]
    pub fn new(options: SimulationOptions, mut faults: Vec<Fault>) -> Self {
        faults.extend(&options.workload.faults);
        let racks = options.workers.div_ceil(options.rack.max(1));
        let arrivals = Arrivals::draw(options.seed, &options.workload, racks).jobs;
        let saving = Saving {
            is_restored: options.workload.restores,
            every_ms: options.limits.checkpoint_ms,
            restore_ms: options.limits.restore_ms,
        };
        let workers: Vec<EmuWorker> = (0..options.workers)
            .map(|number| {
                let label = if number % 3 == 0 { "b" } else { "a" };
                let speeds = &options.workload.speeds_percent;
                EmuWorker::new(
                    u64::from(number),
                    number / options.rack.max(1),
                    label,
                    options.workload.capacity,
                    speeds[number as usize % speeds.len()],
                    saving,
                )
            })
            .collect();
        let by_job = arrivals
            .iter()
            .enumerate()
            .map(|(index, arrival)| (arrival.record.job_id.clone(), index))
            .collect();
        let last_fault = faults
            .iter()
            .map(|fault| fault.at + fault.for_ms)
            .max()
            .unwrap_or_default();
        let last_arrival = arrivals.last().map(|job| job.at).unwrap_or_default();
        let accelerators = u64::from(options.workers) * options.workload.capacity.accelerators;
        let mut world = Self {
            now: TimeMs(0),
            rng: Pcg64Mcg::seed_from_u64(options.seed ^ 0x9e37),
            queue: BinaryHeap::new(),
            happenings: BTreeMap::new(),
            next_number: 0,
            by_job,
            store: Store::default(),
            workers,
            hosts: (0..3).map(|_| Host::default()).collect(),
            gangs: BTreeMap::new(),
            truth: Truth::default(),
            desired: Arc::new(desired(&options.workload, accelerators)),
            advisor: Advisor::default(),
            orders_late: false,
            calm_from: last_fault.max(last_arrival),
            last_feed: TimeMs(0),
            last_renewal: TimeMs(0),
            completed_at: BTreeMap::new(),
            wasted_core_ms: BTreeMap::new(),
            arrivals,
            faults,
            options,
        };
        world.plan();
        world
    }

    fn plan(&mut self) {
        for index in 0..self.arrivals.len() {
            let (at, cancel_at) = (self.arrivals[index].at, self.arrivals[index].cancel_at);
            self.at(at, Happening::Arrive(index));
            if let Some(cancel_at) = cancel_at {
                self.at(cancel_at, Happening::Cancel(index));
            }
        }
        for index in 0..self.faults.len() {
            let fault = self.faults[index];
            self.at(fault.at, Happening::Begin(index));
            self.at(fault.at + fault.for_ms, Happening::Finish(index));
        }
        self.at(TimeMs(1), Happening::Tick);
    }

    pub(crate) fn at(&mut self, at: TimeMs, happening: Happening) {
        self.next_number += 1;
        self.queue.push(Reverse((at, self.next_number)));
        self.happenings.insert(self.next_number, happening);
    }

    pub(crate) fn after(&mut self, span_ms: u64, happening: Happening) {
        self.at(self.now + DurationMs(span_ms), happening);
    }

    /// `run` plays everything and tells what was found.
    #[must_use]
    pub fn run(mut self) -> SimulationReport {
        let end = self.calm_from + SETTLE_MS;
        while let Some(Reverse((at, number))) = self.queue.pop() {
            self.now = at;
            if at > end || (at > self.calm_from && self.is_settled()) {
                break;
            }
            if let Some(happening) = self.happenings.remove(&number) {
                self.happen(happening);
            }
            if self.truth.findings.len() > 20 {
                break;
            }
        }
        self.finish()
    }

    fn is_settled(&self) -> bool {
        self.store.jobs.len() == self.arrivals.len()
            && self.store.jobs.values().all(|job| {
                job.progress
                    .as_ref()
                    .is_some_and(|progress| progress.phase.is_final())
            })
    }

    fn finish(mut self) -> SimulationReport {
        let mut worth = ValueReport::default();
        let arrived = self.arrivals.iter().map(|arrival| &*arrival.record);
        let scale = Scale::of(&self.options.workload, arrived);
        let jobs: Vec<StoredJob> = self.store.jobs.values().cloned().collect();
        for job in &jobs {
            let phase = job.progress.as_ref().map_or(JobPhase::Queued, |p| p.phase);
            let job_id = &job.record.job_id;
            if !phase.is_final() && job.cancelled_at.is_none() {
                self.truth.left_open(self.now, job_id, phase);
            }
            if job.cancelled_at.is_some() || job.record.schedule.is_some() {
                continue;
            }
            let done_at = self.completed_at.get(job_id);
            let latency_ms = done_at.map(|at| at.since(job.record.accepted_unix_ms).0);
            if !self.is_hopeless(job_id) {
                let tally = self.truth.by_job.get(job_id).copied().unwrap_or_default();
                let accepted_at = job.record.accepted_unix_ms;
                let seen = Seen {
                    objective_ms: self.objective_ms(job_id),
                    chain_ms: self.chain_ms(job_id),
                    first_start_ms: tally.first_start.map(|at| at.since(accepted_at).0),
                    latency_ms,
                    tally,
                };
                worth.count(&scale, &job.record, &seen);
            }
        }
        SimulationReport {
            violations: self.truth.findings,
            jobs: jobs.len(),
            completed: self.completed_at.len(),
            starts: self.truth.starts,
            stopped: self.truth.stopped,
            expired: self.truth.lapsed,
            ticket_refusals: self.advisor.refused,
            lost_core_s: self
                .wasted_core_ms
                .iter()
                .map(|(&cause, &ms)| (cause, ms / 1_000))
                .collect(),
            value: worth,
        }
    }

    /// Whether every run of the job fails or crashes its worker, so that nobody can do it.
    fn is_hopeless(&self, job_id: &JobId) -> bool {
        let arrival = &self.arrivals[self.by_job[job_id]];
        arrival.failing >= 1.0 || arrival.crasher.is_some()
    }

    /// The objective by the true work, as callers feel it.
    pub(crate) fn objective_ms(&self, job_id: &JobId) -> u64 {
        let terms = &self.arrivals[self.by_job[job_id]].record.policy;
        terms.objective_ms(DurationMs(self.chain_ms(job_id))).0
    }

    /// True duration of all steps, each of which waits for the one before.
    fn chain_ms(&self, job_id: &JobId) -> u64 {
        let arrival = &self.arrivals[self.by_job[job_id]];
        arrival.work_ms.iter().map(|span| span.0).sum()
    }

    fn happen(&mut self, happening: Happening) {
        match happening {
            Happening::Tick => {
                self.tick();
                self.after(TICK_MS.0, Happening::Tick);
            }
            Happening::Arrive(index) => self.arrive(index),
            Happening::Cancel(index) => self.cancel(index),
            Happening::Begin(index) => self.set_fault(index, true),
            Happening::Finish(index) => self.set_fault(index, false),
            Happening::Wakeup(host, term) => self.wake(host, term),
            Happening::Stopped(index, task, run) => {
                self.end_if(index, &task, run, EndKind::Stopped);
            }
            Happening::TaskCrashes(index, name, task) => self.task_crashes(index, &name, &task),
            Happening::Back(index) => self.workers[index].come_back(),
            Happening::Deliver {
                host,
                term,
                action,
                is_late,
                wants_reply,
            } => self.deliver(host, term, action, is_late, wants_reply),
            Happening::Hear { host, term, event } => self.hear(host, term, event),
            Happening::Commit {
                host,
                term,
                batch,
                records,
            } => self.commit(host, term, batch, records),
        }
    }
}
