//! The world: virtual time, events in order, and everything that happens between the parts.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::sync::Arc;

use ragwortwick_area::{
    Action, Coordinator, DesiredState, EndKind, Event, JobPhase, Limits, Now, OrderReply, Progress,
    RefusalCause, Resources, StoredProgress, TaskId,
};
use ragwortwick_core::{DurationMs, JobId, TimeMs, WorkerName};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::arrivals::{Arrival, Arrivals, Load, desired};
use crate::check::{StartSeen, Truth};
use crate::faults::{Fault, FaultKind};
use crate::host::{Host, Term};
use crate::store::{LEASE_TTL_MS, Store, StoredJob};
use crate::worker::{Attempt, EmuWorker, WaitingLook};

/// How often leases, gangs, elections and feeds are looked after.
const TICK_MS: DurationMs = DurationMs(20);

/// How often workers' entries reach the coordinator.
const FEED_MS: DurationMs = DurationMs(400);

/// Quiet time after the last arrival and fault, in which every job has to come to its end.
const SETTLE_MS: DurationMs = DurationMs(240_000);

/// `Options` shapes a run.
#[derive(Clone, Debug)]
pub struct Options {
    /// Seed of everything that is drawn.
    pub seed: u64,
    /// Workers, of eight accelerators each.
    pub workers: u32,
    /// Workers in a rack.
    pub rack: u32,
    /// What comes in.
    pub load: Load,
    /// Bounds of the installation.
    pub limits: Limits,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            seed: 1,
            workers: 24,
            rack: 8,
            load: Load::default(),
            limits: Limits::default(),
        }
    }
}

/// `Report` is what a run showed.
#[derive(Clone, Debug)]
pub struct Report {
    /// Broken promises, in words.
    pub findings: Vec<String>,
    /// Jobs that were accepted.
    pub jobs: usize,
    /// Jobs shown as completed.
    pub completed: usize,
    /// Runs begun.
    pub starts: u64,
    /// Runs stopped on order.
    pub stopped: u64,
    /// Runs whose lease ran out.
    pub lapsed: u64,
    /// Time from acceptance to completion, by queue.
    pub latencies_ms: BTreeMap<String, Vec<u64>>,
    /// Jobs that made their objective, by queue.
    pub in_time: BTreeMap<String, usize>,
    /// Jobs that were owed, by queue.
    pub owed: BTreeMap<String, usize>,
    /// Core-seconds of work that was stopped or lost.
    pub wasted_core_s: u64,
}

#[derive(Debug)]
enum Happening {
    Tick,
    Arrive(usize),
    Cancel(usize),
    Begin(usize),
    Finish(usize),
    Wakeup(usize, u64),
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
        records: Vec<StoredProgress>,
    },
}

type GangKey = (JobId, u32, u32, u32);

#[derive(Debug, Default)]
struct Gang {
    members: BTreeMap<TaskId, usize>,
    first_at: TimeMs,
    is_begun: bool,
    will_fail: bool,
}

/// `World` is one run.
#[derive(Debug)]
pub struct World {
    options: Options,
    now: TimeMs,
    rng: Pcg64Mcg,
    queue: BinaryHeap<Reverse<(TimeMs, u64)>>,
    happenings: BTreeMap<u64, Happening>,
    next_number: u64,
    arrivals: Vec<Arrival>,
    by_job: BTreeMap<JobId, usize>,
    faults: Vec<Fault>,
    store: Store,
    workers: Vec<EmuWorker>,
    hosts: Vec<Host>,
    gangs: BTreeMap<GangKey, Gang>,
    truth: Truth,
    desired: Arc<DesiredState>,
    orders_late: bool,
    calm_from: TimeMs,
    last_feed: TimeMs,
    last_renewal: TimeMs,
    completed_at: BTreeMap<JobId, TimeMs>,
    wasted_core_ms: u64,
}

impl World {
    /// `new` draws a world.
    #[must_use]
    pub fn new(options: Options, faults: Vec<Fault>) -> Self {
        let racks = options.workers.div_ceil(options.rack.max(1));
        let arrivals = Arrivals::draw(options.seed, &options.load, racks).jobs;
        let workers: Vec<EmuWorker> = (0..options.workers)
            .map(|number| {
                let label = if number % 3 == 0 { "b" } else { "a" };
                let capacity = Resources {
                    cpu_millis: 32_000,
                    memory_mb: 65_536,
                    accelerators: 8,
                };
                EmuWorker::new(
                    u64::from(number),
                    number / options.rack.max(1),
                    label,
                    capacity,
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
        let accelerators = u64::from(options.workers) * 8;
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
            desired: Arc::new(desired(accelerators)),
            orders_late: false,
            calm_from: last_fault.max(last_arrival),
            last_feed: TimeMs(0),
            last_renewal: TimeMs(0),
            completed_at: BTreeMap::new(),
            wasted_core_ms: 0,
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

    fn at(&mut self, at: TimeMs, happening: Happening) {
        self.next_number += 1;
        self.queue.push(Reverse((at, self.next_number)));
        self.happenings.insert(self.next_number, happening);
    }

    fn after(&mut self, span_ms: u64, happening: Happening) {
        self.at(self.now + DurationMs(span_ms), happening);
    }

    /// `run` plays everything and tells what was found.
    #[must_use]
    pub fn run(mut self) -> Report {
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

    fn finish(mut self) -> Report {
        let mut latencies_ms: BTreeMap<String, Vec<u64>> = BTreeMap::new();
        let mut in_time: BTreeMap<String, usize> = BTreeMap::new();
        let mut owed: BTreeMap<String, usize> = BTreeMap::new();
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
            let queue = job.record.queue.as_str().to_owned();
            *owed.entry(queue.clone()).or_insert(0) += 1;
            let Some(done_at) = self.completed_at.get(job_id) else {
                continue;
            };
            let latency_ms = done_at.since(job.record.accepted_unix_ms).0;
            latencies_ms
                .entry(queue.clone())
                .or_default()
                .push(latency_ms);
            if latency_ms <= self.objective_ms(job_id) {
                *in_time.entry(queue).or_insert(0) += 1;
            }
        }
        Report {
            findings: self.truth.findings,
            jobs: jobs.len(),
            completed: self.completed_at.len(),
            starts: self.truth.starts,
            stopped: self.truth.stopped,
            lapsed: self.truth.lapsed,
            latencies_ms,
            in_time,
            owed,
            wasted_core_s: self.wasted_core_ms / 1_000,
        }
    }

    /// The objective by the true work, as callers feel it.
    fn objective_ms(&self, job_id: &JobId) -> u64 {
        let arrival = &self.arrivals[self.by_job[job_id]];
        let chain: u64 = arrival.work_ms.iter().map(|span| span.0).sum();
        let terms = &arrival.record.terms;
        crate::arrivals::whole(crate::arrivals::as_float(chain) * terms.stretch)
            + terms.target_latency_ms.0
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

    // Callers.

    fn arrive(&mut self, index: usize) {
        if self.store.is_away {
            self.after(200, Happening::Arrive(index));
            return;
        }
        let mut record = (*self.arrivals[index].record).clone();
        record.accepted_unix_ms = self.now;
        let job = StoredJob {
            record: Arc::new(record),
            progress: None,
            cancelled_at: None,
        };
        self.store.jobs.insert(job.record.job_id.clone(), job);
    }

    fn cancel(&mut self, index: usize) {
        let job_id = self.arrivals[index].record.job_id.clone();
        let is_away = self.store.is_away;
        match self.store.jobs.get_mut(&job_id) {
            Some(job) if !is_away => job.cancelled_at = Some(self.now),
            _ => self.after(200, Happening::Cancel(index)),
        }
    }

    // Time.

    fn tick(&mut self) {
        for index in 0..self.workers.len() {
            self.tick_worker(index);
        }
        self.tick_gangs();
        let is_feed = self.now.since(self.last_feed) >= FEED_MS;
        if is_feed {
            self.last_feed = self.now;
        }
        let is_renewal = self.now.since(self.last_renewal) >= FEED_MS;
        if is_renewal {
            self.last_renewal = self.now;
        }
        for host in 0..self.hosts.len() {
            if self.hosts[host].is_stopped(self.now) {
                continue;
            }
            self.elect(host);
            if is_renewal {
                self.renew(host);
            }
            self.feed(host, is_feed);
        }
    }

    fn elect(&mut self, host: usize) {
        let may_try = self.hosts[host].term.is_none() && self.hosts[host].reaches_store();
        if !may_try {
            return;
        }
        let Some(number) = self.store.take_key(self.now) else {
            return;
        };
        let entries: Vec<_> = self
            .workers
            .iter()
            .filter(|worker| worker.is_up)
            .map(|worker| worker.entry(self.now))
            .collect();
        let told_workers = entries.iter().map(|entry| entry.name.clone()).collect();
        let told = self.store.jobs.keys().cloned().collect();
        let cancelled = self.store.jobs.values();
        let told_cancelled = cancelled
            .filter(|job| job.cancelled_at.is_some())
            .map(|job| job.record.job_id.clone())
            .collect();
        let coordinator = Coordinator::take_over(
            self.clock(),
            self.options.limits.clone(),
            Arc::clone(&self.desired),
            self.store.known_jobs(),
            entries,
        );
        self.hosts[host].wakes_at = None;
        self.hosts[host].term = Some(Term {
            number,
            coordinator,
            told,
            told_cancelled,
            told_workers,
        });
        let until = self.now + LEASE_TTL_MS - DurationMs(200);
        self.hear(host, number, Event::Tenure { until });
    }

    fn renew(&mut self, host: usize) {
        let Some(number) = self.hosts[host].term.as_ref().map(|term| term.number) else {
            return;
        };
        if self.store.is_away || !self.hosts[host].reaches_store() {
            return;
        }
        if self.store.renew(self.now, number) {
            let until = self.now + LEASE_TTL_MS - DurationMs(200);
            self.hear(host, number, Event::Tenure { until });
        } else {
            self.hosts[host].term = None;
        }
    }

    fn feed(&mut self, host: usize, is_feed: bool) {
        if self.store.is_away || !self.hosts[host].reaches_store() {
            return;
        }
        let Some(term) = &mut self.hosts[host].term else {
            return;
        };
        let number = term.number;
        let mut events = Vec::new();
        for (job_id, job) in &self.store.jobs {
            if term.told.insert(job_id.clone()) {
                events.push(Event::JobAccepted(Arc::clone(&job.record)));
            }
            if job.cancelled_at.is_some() && term.told_cancelled.insert(job_id.clone()) {
                events.push(Event::JobCancelled(job_id.clone()));
            }
        }
        if is_feed {
            let mut present = std::collections::BTreeSet::new();
            for worker in self.workers.iter().filter(|worker| worker.is_up) {
                present.insert(worker.name.clone());
                events.push(Event::WorkerSeen(worker.entry(self.now)));
            }
            let gone: Vec<_> = term.told_workers.difference(&present).cloned().collect();
            events.extend(gone.into_iter().map(Event::WorkerGone));
            term.told_workers = present;
            events.push(Event::WorkersFresh);
        }
        for event in events {
            self.hear(host, number, event);
        }
    }

    fn clock(&self) -> Now {
        Now {
            steady: self.now,
            unix: self.now,
        }
    }

    // The coordinator.

    fn hear(&mut self, host: usize, term: u64, event: Event) {
        if let Some(until) = self.hosts[host].frozen_until
            && self.now < until
        {
            // What arrives at a frozen process is read when it wakes.
            self.at(until, Happening::Hear { host, term, event });
            return;
        }
        let now = self.clock();
        let Some(state) = &mut self.hosts[host].term else {
            return;
        };
        if state.number != term {
            return;
        }
        let actions = state.coordinator.on_event(now, event);
        self.act(host, term, actions);
    }

    fn wake(&mut self, host: usize, term: u64) {
        if let Some(until) = self.hosts[host].frozen_until
            && self.now < until
        {
            self.hosts[host].wakes_at = Some(until);
            self.at(until, Happening::Wakeup(host, term));
            return;
        }
        if self.hosts[host].wakes_at != Some(self.now) {
            return;
        }
        self.hosts[host].wakes_at = None;
        let now = self.clock();
        let Some(state) = &mut self.hosts[host].term else {
            return;
        };
        if state.number != term {
            return;
        }
        let actions = state.coordinator.on_wakeup(now);
        self.act(host, term, actions);
    }

    fn act(&mut self, host: usize, term: u64, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Store { batch, records } => {
                    let commit = Happening::Commit {
                        host,
                        term,
                        batch,
                        records,
                    };
                    self.after(5, commit);
                }
                Action::Report(_) => {}
                Action::Resign => self.hosts[host].term = None,
                Action::Forget(job_id) => {
                    self.store.jobs.remove(&job_id);
                }
                order => self.send(host, term, order),
            }
        }
        let now = self.clock();
        let Some(state) = &self.hosts[host].term else {
            return;
        };
        let Some(at) = state.coordinator.next_wakeup(now) else {
            return;
        };
        let at = at.max(self.now + DurationMs(1));
        let planned = self.hosts[host].wakes_at;
        // One planned wakeup is enough; others would multiply with every event.
        if planned.is_none_or(|planned| at < planned || planned <= self.now) {
            self.hosts[host].wakes_at = Some(at);
            self.at(at, Happening::Wakeup(host, term));
        }
    }

    fn commit(&mut self, host: usize, term: u64, batch: u64, records: Vec<StoredProgress>) {
        let is_term = self.hosts[host]
            .term
            .as_ref()
            .is_some_and(|state| state.number == term);
        if !is_term {
            return;
        }
        if self.store.is_away || !self.hosts[host].reaches_store() {
            let commit = Happening::Commit {
                host,
                term,
                batch,
                records,
            };
            self.after(100, commit);
            return;
        }
        if self.store.holder(self.now) != Some(term) {
            self.hosts[host].term = None;
            return;
        }
        for record in &records {
            self.keep(&record.job_id, &record.progress);
        }
        let is_lost = self.store.loses_answers && self.rng.random_bool(0.5);
        let delay_ms = if is_lost { 120 } else { 2 };
        let event = Event::Stored { batch };
        self.after(delay_ms, Happening::Hear { host, term, event });
    }

    fn keep(&mut self, job_id: &JobId, progress: &Progress) {
        let is_all_done = self.is_all_done(job_id);
        let Some(job) = self.store.jobs.get_mut(job_id) else {
            return;
        };
        let before = job.progress.as_ref().map(|known| known.phase);
        job.progress = Some(progress.clone());
        if before == Some(progress.phase) {
            return;
        }
        self.truth
            .shown(self.now, job_id, progress.phase, is_all_done);
        if progress.phase == JobPhase::Completed {
            self.completed_at.insert(job_id.clone(), self.now);
        }
    }

    fn is_all_done(&self, job_id: &JobId) -> bool {
        let record = &self.arrivals[self.by_job[job_id]].record;
        (0..record.occurrences()).all(|occurrence| {
            (0..).zip(&record.steps).all(|(step, spec)| {
                let task = |index| TaskId {
                    job_id: job_id.clone(),
                    occurrence,
                    step,
                    index,
                };
                if spec.is_gang {
                    (0..spec.count).any(|index| self.truth.done.contains(&task(index)))
                } else {
                    (0..spec.count).all(|index| self.truth.done.contains(&task(index)))
                }
            })
        })
    }

    // The network.

    fn send(&mut self, host: usize, term: u64, action: Action) {
        let is_order = !matches!(action, Action::Look { .. });
        let is_late = self.orders_late && is_order && self.rng.random_bool(0.15);
        let worker = match &action {
            Action::Start { worker, .. }
            | Action::Stop { worker, .. }
            | Action::Look { worker, .. } => worker.clone(),
            _ => return,
        };
        if !self.hosts[host].reaches(&worker) {
            self.reply_unknown(host, term, &action);
            return;
        }
        if is_late {
            self.reply_unknown(host, term, &action);
        }
        let delay_ms = if is_late {
            self.rng.random_range(2_000..12_000)
        } else {
            self.rng.random_range(1..4)
        };
        let deliver = Happening::Deliver {
            host,
            term,
            action,
            is_late,
            wants_reply: !is_late,
        };
        self.after(delay_ms, deliver);
    }

    fn reply_unknown(&mut self, host: usize, term: u64, action: &Action) {
        let (event, delay_ms) = match action {
            Action::Start {
                worker, task, run, ..
            } => {
                let event = Event::StartReplied {
                    worker: worker.clone(),
                    task: task.clone(),
                    run: *run,
                    reply: OrderReply::Unknown,
                };
                (event, 600)
            }
            Action::Stop {
                worker, task, run, ..
            } => {
                let event = Event::StopReplied {
                    worker: worker.clone(),
                    task: task.clone(),
                    run: *run,
                    reply: OrderReply::Unknown,
                };
                (event, 600)
            }
            Action::Look {
                worker, wait_ms, ..
            } => {
                let event = Event::LookFailed {
                    worker: worker.clone(),
                    is_wrong_life: false,
                    is_fenced: false,
                };
                (event, 700 + wait_ms.0)
            }
            _ => return,
        };
        self.after(delay_ms, Happening::Hear { host, term, event });
    }

    /// Sends an answer back, unless answers are cut.
    fn reply(&mut self, host: usize, term: u64, worker: &WorkerName, event: Event) {
        let is_lost = self.hosts[host].loses_answers || !self.hosts[host].reaches(worker);
        let (event, delay_ms) = if is_lost {
            (unanswered(event), 600)
        } else {
            (event, 1)
        };
        self.after(delay_ms, Happening::Hear { host, term, event });
    }

    // Workers.

    fn deliver(&mut self, host: usize, term: u64, action: Action, is_late: bool, wants: bool) {
        let name = match &action {
            Action::Start { worker, .. }
            | Action::Stop { worker, .. }
            | Action::Look { worker, .. } => worker.clone(),
            _ => return,
        };
        let number = name.as_str().split('-').next().unwrap_or("");
        let same = |worker: &EmuWorker| worker.name.as_str().split('-').next() == Some(number);
        let Some(index) = self.workers.iter().position(same) else {
            return;
        };
        if !self.workers[index].is_up {
            if wants {
                self.reply_unknown(host, term, &action);
            }
            return;
        }
        let is_wrong_life = self.workers[index].name != name;
        let event = match action {
            Action::Start {
                worker,
                task,
                run,
                payload,
                checkpoint,
                lease_until_ms,
                ..
            } => {
                let reply = if is_wrong_life {
                    OrderReply::WrongLife
                } else {
                    self.start(
                        index,
                        term,
                        &task,
                        run,
                        &payload,
                        &checkpoint,
                        lease_until_ms,
                        is_late,
                    )
                };
                Event::StartReplied {
                    worker,
                    task,
                    run,
                    reply,
                }
            }
            Action::Stop {
                worker, task, run, ..
            } => {
                let reply = if is_wrong_life {
                    OrderReply::WrongLife
                } else {
                    let reply = self.workers[index].stop(self.now, term, &task, run);
                    let is_there = self.workers[index]
                        .running
                        .get(&task)
                        .is_some_and(|held| held.run <= run);
                    if matches!(reply, OrderReply::Accepted { .. }) && is_there {
                        self.end(index, &task, EndKind::Stopped);
                    }
                    reply
                };
                Event::StopReplied {
                    worker,
                    task,
                    run,
                    reply,
                }
            }
            Action::Look {
                worker,
                lease_until_ms,
                noted,
                wait_ms,
                ..
            } => {
                if is_wrong_life {
                    Event::LookFailed {
                        worker,
                        is_wrong_life: true,
                        is_fenced: false,
                    }
                } else {
                    self.look(host, term, index, lease_until_ms, noted, wait_ms);
                    return;
                }
            }
            _ => return,
        };
        if wants {
            self.reply(host, term, &name, event);
        }
    }

    #[expect(
        clippy::too_many_arguments,
        reason = "an order to start is made of just these parts"
    )]
    fn start(
        &mut self,
        index: usize,
        term: u64,
        task: &TaskId,
        run: u32,
        payload: &str,
        checkpoint: &str,
        until: u64,
        is_late: bool,
    ) -> OrderReply {
        let lease_ms = self.options.limits.lease_ms;
        let admitted = self.workers[index].admit(self.now, term, task, run, until, lease_ms);
        match admitted {
            Ok(true) => {}
            Ok(false) => {
                return OrderReply::Accepted {
                    clock_ms: self.workers[index].clock(self.now),
                };
            }
            Err(cause) => return OrderReply::Refused(cause),
        }
        self.judge_start(index, task, run, payload, checkpoint, is_late);
        let arrival = &self.arrivals[self.by_job[&task.job_id]];
        let spec = &arrival.record.steps[task.step as usize];
        let mut work_ms = arrival.work_ms[task.step as usize].0 * self.workers[index].slowness;
        if spec
            .data_rack
            .as_ref()
            .is_some_and(|rack| rack.as_str() != self.workers[index].rack)
        {
            work_ms *= 3;
        }
        let failing = arrival.failing;
        let will_fail = self.workers[index].is_failing || self.rng.random_bool(failing);
        let is_gang = spec.is_gang;
        let held = Attempt {
            run,
            need: spec.need,
            started_at: self.now,
            ends_at: (!is_gang).then(|| self.now + DurationMs(work_ms)),
            will_fail,
            saves: spec.saves_checkpoints,
        };
        self.workers[index].running.insert(task.clone(), held);
        if is_gang {
            self.join_gang(index, task, run, will_fail);
        }
        OrderReply::Accepted {
            clock_ms: self.workers[index].clock(self.now),
        }
    }

    fn judge_start(
        &mut self,
        index: usize,
        task: &TaskId,
        run: u32,
        payload: &str,
        checkpoint: &str,
        is_late: bool,
    ) {
        let arrival = &self.arrivals[self.by_job[&task.job_id]];
        let record = &arrival.record;
        let spec = &record.steps[task.step as usize];
        let worker = &self.workers[index];
        let others = self
            .workers
            .iter()
            .filter(|other| other.is_up && other.running.contains_key(task))
            .map(|other| other.name.clone())
            .collect();
        let used = worker.used().plus(spec.need);
        let same_step_here = worker
            .running
            .keys()
            .filter(|other| {
                other.job_id == task.job_id
                    && other.occurrence == task.occurrence
                    && other.step == task.step
            })
            .count();
        let is_step_open = spec.after.iter().all(|&earlier| {
            let before = &record.steps[earlier as usize];
            let is_done = |index| {
                let id = TaskId {
                    step: earlier,
                    index,
                    ..task.clone()
                };
                self.truth.done.contains(&id)
            };
            if before.is_gang {
                (0..before.count).any(is_done)
            } else {
                (0..before.count).all(is_done)
            }
        });
        let is_due = record.schedule.is_none()
            || self.now + DurationMs(250) >= record.due_unix_ms(task.occurrence);
        let expected = format!("{}.{}.{}", task.job_id, task.occurrence, task.step);
        let stored = self.store.jobs.get(&task.job_id);
        let seen = StartSeen {
            now: self.now,
            worker: &worker.name.clone(),
            task,
            run,
            is_late,
            others,
            is_over_capacity: used.cpu_millis > worker.capacity.cpu_millis
                || used.memory_mb > worker.capacity.memory_mb
                || used.accelerators > worker.capacity.accelerators,
            has_label: spec
                .required_label
                .as_ref()
                .is_none_or(|label| label.as_str() == worker.label),
            draining_since: worker.draining_since,
            cancelled_at: stored.and_then(|job| job.cancelled_at),
            is_step_open,
            is_due,
            same_step_here: u32::try_from(same_step_here).unwrap_or(u32::MAX) + 1,
            max_per_worker: spec.max_per_worker,
            attempts: record.terms.attempts,
            is_payload_right: *record.payload == *payload,
            is_checkpoint_right: checkpoint.is_empty() || checkpoint == expected,
        };
        self.truth.started(&seen);
    }

    fn join_gang(&mut self, index: usize, task: &TaskId, run: u32, will_fail: bool) {
        let key = (task.job_id.clone(), task.occurrence, task.step, run);
        let now = self.now;
        let gang = self.gangs.entry(key.clone()).or_default();
        if gang.members.is_empty() {
            gang.first_at = now;
        }
        gang.members.insert(task.clone(), index);
        gang.will_fail |= will_fail;
        let arrival = &self.arrivals[self.by_job[&task.job_id]];
        let spec = &arrival.record.steps[task.step as usize];
        if gang.members.len() != spec.count as usize {
            return;
        }
        gang.is_begun = true;
        let members: Vec<(TaskId, usize)> = gang
            .members
            .iter()
            .map(|(id, &at)| (id.clone(), at))
            .collect();
        let will_fail = gang.will_fail;
        let slowest = members
            .iter()
            .map(|(_, at)| self.workers[*at].slowness)
            .max();
        let racks: std::collections::BTreeSet<&str> = members
            .iter()
            .map(|(_, at)| self.workers[*at].rack.as_str())
            .collect();
        let far = if spec.wants_same_rack && racks.len() > 1 {
            3
        } else {
            1
        };
        let work_ms = arrival.work_ms[task.step as usize].0 * slowest.unwrap_or(1) * far;
        for (position, (id, at)) in members.iter().enumerate() {
            if let Some(held) = self.workers[*at].running.get_mut(id) {
                held.ends_at = Some(now + DurationMs(work_ms));
                held.will_fail = will_fail && position == 0;
            }
        }
    }

    fn tick_gangs(&mut self) {
        let wait_ms = self.options.limits.gang_wait_ms;
        let alone: Vec<GangKey> = self
            .gangs
            .iter()
            .filter(|(_, gang)| !gang.is_begun && self.now.since(gang.first_at) > wait_ms)
            .map(|(key, _)| key.clone())
            .collect();
        for key in alone {
            if let Some(gang) = self.gangs.remove(&key) {
                for (task, index) in gang.members {
                    self.end_if(index, &task, key.3, EndKind::GangIncomplete);
                }
            }
        }
    }

    fn end_if(&mut self, index: usize, task: &TaskId, run: u32, kind: EndKind) {
        let is_there = self.workers[index]
            .running
            .get(task)
            .is_some_and(|held| held.run == run);
        if is_there {
            self.end(index, task, kind);
        }
    }

    /// Ends a run on a worker, and with it what depends on it.
    fn end(&mut self, index: usize, task: &TaskId, kind: EndKind) {
        let Some(run) = self.workers[index].end(self.now, task, kind) else {
            return;
        };
        self.truth.ended(task, kind);
        if kind != EndKind::Done {
            let spent_ms = self.now.since(run.started_at).0;
            let lost_ms = if run.saves {
                spent_ms.min(500)
            } else {
                spent_ms
            };
            self.wasted_core_ms += lost_ms * run.need.core_equivalents();
        }
        let key = (task.job_id.clone(), task.occurrence, task.step, run.run);
        if kind != EndKind::GangIncomplete
            && let Some(gang) = self.gangs.remove(&key)
        {
            let others = if kind == EndKind::Done {
                EndKind::Done
            } else {
                EndKind::GangBroken
            };
            for (member, at) in gang.members {
                if member != *task {
                    self.end_if(at, &member, run.run, others);
                }
            }
        }
        self.answer_look(index);
    }

    fn answer_look(&mut self, index: usize) {
        if let Some(waiting) = self.workers[index].waiting_look.take() {
            let name = self.workers[index].name.clone();
            let event = Event::Looked {
                worker: name.clone(),
                sent_at: waiting.sent_at,
                look: self.workers[index].told(self.now),
            };
            self.reply(waiting.host, waiting.term, &name, event);
        }
    }

    fn look(
        &mut self,
        host: usize,
        term: u64,
        index: usize,
        until: Option<u64>,
        noted: u64,
        wait_ms: DurationMs,
    ) {
        let lease_ms = self.options.limits.lease_ms;
        let name = self.workers[index].name.clone();
        let forgotten = match self.workers[index].look(self.now, term, until, noted, lease_ms) {
            Ok(forgotten) => forgotten,
            Err(cause) => {
                let event = Event::LookFailed {
                    worker: name.clone(),
                    is_wrong_life: false,
                    is_fenced: cause == RefusalCause::Fenced,
                };
                self.reply(host, term, &name, event);
                return;
            }
        };
        for end in forgotten {
            let arrival = &self.arrivals[self.by_job[&end.task.job_id]];
            let is_gang = arrival.record.steps[end.task.step as usize].is_gang;
            self.truth.noted(&end.task, end.run, end.kind, is_gang);
        }
        let waiting = WaitingLook {
            host,
            term,
            sent_at: self.now - DurationMs(3),
            until: self.now + wait_ms,
        };
        self.workers[index].waiting_look = Some(waiting);
        let must_answer = wait_ms == DurationMs(0) || !self.workers[index].ended.is_empty();
        if must_answer {
            self.answer_look(index);
        }
    }

    fn tick_worker(&mut self, index: usize) {
        if !self.workers[index].is_up {
            return;
        }
        if self.workers[index]
            .leaves_at
            .is_some_and(|at| self.now >= at)
        {
            self.workers[index].is_up = false;
            self.crash(index);
            return;
        }
        if self.workers[index].is_lease_over(self.now) {
            let tasks: Vec<TaskId> = self.workers[index].running.keys().cloned().collect();
            for task in tasks {
                self.end(index, &task, EndKind::LeaseExpired);
            }
        }
        let due: Vec<(TaskId, bool)> = self.workers[index]
            .running
            .iter()
            .filter(|(_, run)| run.ends_at.is_some_and(|at| self.now >= at))
            .map(|(task, run)| (task.clone(), run.will_fail))
            .collect();
        for (task, will_fail) in due {
            let kind = if will_fail {
                EndKind::Failed
            } else {
                EndKind::Done
            };
            if self.workers[index].running.contains_key(&task) {
                self.end(index, &task, kind);
            }
        }
        let is_waiting = self.workers[index].waiting_look.as_ref();
        if is_waiting.is_some_and(|look| self.now >= look.until) {
            self.answer_look(index);
        }
    }

    /// Everything on the worker ends without a trace; gangs lose a member.
    fn crash(&mut self, index: usize) {
        let runs: Vec<(TaskId, u32)> = self.workers[index]
            .running
            .iter()
            .map(|(task, run)| (task.clone(), run.run))
            .collect();
        if let Some(waiting) = self.workers[index].waiting_look.take() {
            let event = Event::LookFailed {
                worker: self.workers[index].name.clone(),
                is_wrong_life: false,
                is_fenced: false,
            };
            let hear = Happening::Hear {
                host: waiting.host,
                term: waiting.term,
                event,
            };
            self.after(2_700, hear);
        }
        self.workers[index].restart();
        for (task, run) in runs {
            let key = (task.job_id.clone(), task.occurrence, task.step, run);
            if let Some(gang) = self.gangs.remove(&key) {
                for (member, at) in gang.members {
                    if at != index {
                        self.end_if(at, &member, run, EndKind::GangBroken);
                    }
                }
            }
        }
    }

    // Faults.

    fn set_fault(&mut self, index: usize, is_on: bool) {
        let fault = self.faults[index];
        let until = fault.at + fault.for_ms;
        let holder = self.store.coordinator.map(|(term, _)| term);
        let leader = (0..self.hosts.len())
            .find(|&host| {
                let term = self.hosts[host].term.as_ref();
                term.is_some_and(|term| Some(term.number) == holder)
            })
            .unwrap_or(0);
        let third: Vec<usize> = (0..self.workers.len())
            .filter(|number| (number + index).is_multiple_of(3))
            .collect();
        let few: Vec<usize> = (0..self.workers.len())
            .filter(|number| (number + index).is_multiple_of(8))
            .collect();
        match fault.kind {
            FaultKind::CoordinatorKilled if is_on => {
                self.hosts[leader] = Host {
                    down_until: Some(until),
                    ..Host::default()
                };
            }
            FaultKind::CoordinatorFrozen if is_on => {
                self.hosts[leader].frozen_until = Some(until);
            }
            FaultKind::CoordinatorCutFromStore if is_on => {
                self.hosts[leader].is_cut_from_store = true;
            }
            FaultKind::CoordinatorCutFromWorkers if is_on => {
                let names = third.iter().map(|&at| self.workers[at].name.clone());
                self.hosts[leader].cut_workers = names.collect();
            }
            FaultKind::AnswersCut if is_on => self.hosts[leader].loses_answers = true,
            FaultKind::CoordinatorCutFromStore
            | FaultKind::CoordinatorCutFromWorkers
            | FaultKind::AnswersCut => {
                for host in &mut self.hosts {
                    host.is_cut_from_store = false;
                    host.cut_workers.clear();
                    host.loses_answers = false;
                }
            }
            FaultKind::CoordinatorKilled | FaultKind::CoordinatorFrozen => {}
            FaultKind::StoreAway => self.store.is_away = is_on,
            FaultKind::StoreAnswersLost => self.store.loses_answers = is_on,
            FaultKind::WorkersCrash => {
                for at in few {
                    if is_on {
                        self.workers[at].is_up = false;
                        self.crash(at);
                    } else {
                        self.workers[at].is_up = true;
                    }
                }
            }
            FaultKind::OrdersLate => self.orders_late = is_on,
            FaultKind::WorkersLeave => {
                for at in few {
                    if is_on {
                        self.workers[at].draining_since = Some(self.now);
                        self.workers[at].leaves_at = Some(until);
                    } else {
                        self.workers[at].draining_since = None;
                        self.workers[at].leaves_at = None;
                        if self.workers[at].is_up {
                            self.crash(at);
                        }
                        self.workers[at].is_up = true;
                    }
                }
            }
            FaultKind::WorkersSlow => {
                for at in few {
                    self.workers[at].slowness = if is_on { 5 } else { 1 };
                }
            }
            FaultKind::WorkersFailing => {
                for at in few {
                    self.workers[at].is_failing = is_on;
                }
            }
        }
    }
}

/// What a coordinator hears in place of an answer that is lost.
fn unanswered(event: Event) -> Event {
    match event {
        Event::StartReplied {
            worker, task, run, ..
        } => Event::StartReplied {
            worker,
            task,
            run,
            reply: OrderReply::Unknown,
        },
        Event::StopReplied {
            worker, task, run, ..
        } => Event::StopReplied {
            worker,
            task,
            run,
            reply: OrderReply::Unknown,
        },
        Event::Looked { worker, .. } | Event::LookFailed { worker, .. } => Event::LookFailed {
            worker,
            is_wrong_life: false,
            is_fenced: false,
        },
        event => event,
    }
}
