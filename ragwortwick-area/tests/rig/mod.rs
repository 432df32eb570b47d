//! Test rig: a coordinator whose workers, store and clock are simulated by the test.
#![allow(dead_code, reason = "each test file uses a part of the rig")]

use std::collections::BTreeSet;
use std::sync::Arc;

use ragwortwick_area::{
    Action, Coordinator, Customer, DesiredState, EndKind, EndedTask, EvacuatedZones, Event,
    JobProgress, JobRecord, Limits, Now, OrderReply, PollFailure, Preemption, ProgressRecord,
    Queue, QueuePolicy, RecoveredJob, Resources, RunningTask, StepSpec, TaskId, WorkerEntry,
    WorkerLossReport, WorkerReport,
};
use ragwortwick_core::{
    ClassName, CustomerName, DurationMs, JobId, PoolName, TimeMs, WorkerName, ZoneName,
};

pub const ATTEMPTS: u32 = 3;

/// Time from the confirmation of a stop after which the run must have ended, in the rig's limits.
pub const STOPPED_AFTER_MS: u64 = 450;

/// Time from the confirmation of a stop in which the run may go on, with that of a placement pass left.
pub const STOPPING_MS: u64 = 360;

/// A coordinator, the current time and the actions that were not taken yet.
pub struct Rig {
    pub coordinator: Coordinator,
    pub now: TimeMs,
    pub actions: Vec<Action>,
    evacuated: EvacuatedZones,
    /// Whether the coordinator hears nothing about evacuations.
    pub is_evacuation_feed_cut: bool,
}

pub fn at(ms: u64) -> Now {
    Now {
        steady: TimeMs(ms),
        unix: TimeMs(ms),
    }
}

pub fn worker(name: &str, rack: &str) -> WorkerEntry {
    WorkerEntry {
        name: WorkerName::new(name),
        address: name.into(),
        pool: PoolName::new("booking"),
        zone: "z".into(),
        rack: rack.into(),
        labels: Arc::from(["a".into(), rack.into()]),
        capacity: Resources {
            cpu_millis: 32_000,
            memory_mb: 64_000,
            accelerators: 8,
        },
        is_draining: false,
        remaining_ms: None,
        clock_ms: Some(100_000),
    }
}

pub fn policy(priority: u32) -> QueuePolicy {
    QueuePolicy {
        pool: PoolName::new("booking"),
        priority,
        attempts: ATTEMPTS,
        stretch: 2.0,
        advice: None,
        target_latency_ms: DurationMs(1_000),
    }
}

pub fn desired() -> Arc<DesiredState> {
    let queue = |name: &str, priority| {
        let queue = Queue {
            host: "jobs.example".into(),
            path_prefix: format!("/{name}/").into(),
            policy: policy(priority),
            is_public: false,
        };
        (ClassName::new(name), queue)
    };
    let customer = Customer {
        api_keys: vec!["key".into()],
        guaranteed_accelerators: 16,
    };
    Arc::new(DesiredState {
        version: 1,
        queues: [queue("urgent", 0), queue("middle", 1), queue("patient", 2)].into(),
        customers: [
            (CustomerName::new("c"), customer.clone()),
            (CustomerName::new("d"), customer),
        ]
        .into(),
        max_body_bytes: None,
    })
}

pub fn step(count: u32, accelerators: u64) -> StepSpec {
    StepSpec {
        count,
        need: Resources {
            cpu_millis: 1_000,
            memory_mb: 1_000,
            accelerators,
        },
        estimate_ms: DurationMs(2_000),
        ..StepSpec::default()
    }
}

pub fn gang(count: u32, accelerators: u64) -> StepSpec {
    StepSpec {
        is_gang: true,
        ..step(count, accelerators)
    }
}

pub fn job(id: &str, queue: &str, steps: Vec<StepSpec>) -> Arc<JobRecord> {
    let priority = match queue {
        "urgent" => 0,
        "middle" => 1,
        _ => 2,
    };
    Arc::new(JobRecord {
        job_id: JobId::new(id),
        queue: ClassName::new(queue),
        policy: policy(priority),
        customer: CustomerName::new("c"),
        payload: "payload".into(),
        steps,
        schedule: None,
        accepted_unix_ms: TimeMs(1_000),
    })
}

/// Workers on which a record of the jobs has runs; the test decides how they reply to their first poll.
fn workers_with_recorded_runs(jobs: &[RecoveredJob]) -> BTreeSet<WorkerName> {
    let progress = jobs.iter().filter_map(|job| job.progress.as_ref());
    let tasks = progress.flat_map(|progress| &progress.tasks);
    tasks.filter_map(|task| task.worker.clone()).collect()
}

impl Rig {
    pub fn new(workers: &[WorkerEntry]) -> Self {
        Self::take_over(1_000, Vec::new(), workers)
    }

    /// Begins a term in which the workers without recorded runs have replied that they run nothing.
    pub fn take_over(ms: u64, jobs: Vec<RecoveredJob>, workers: &[WorkerEntry]) -> Self {
        let recorded = workers_with_recorded_runs(&jobs);
        let mut rig = Self::begin_term(ms, jobs, workers);
        for idle in workers
            .iter()
            .filter(|entry| !recorded.contains(&entry.name))
        {
            rig.poll_reply(idle.name.as_str(), Vec::new(), Vec::new());
        }
        rig.extend_lease();
        rig
    }

    /// Begins a term in which no worker has replied yet.
    pub fn take_over_unpolled(ms: u64, jobs: Vec<RecoveredJob>, workers: &[WorkerEntry]) -> Self {
        let mut rig = Self::begin_term(ms, jobs, workers);
        rig.extend_lease();
        rig
    }

    fn begin_term(ms: u64, jobs: Vec<RecoveredJob>, workers: &[WorkerEntry]) -> Self {
        let coordinator =
            Coordinator::take_over(at(ms), Limits::default(), desired(), jobs, workers.to_vec());
        let mut rig = Self {
            coordinator,
            now: TimeMs(ms),
            actions: Vec::new(),
            evacuated: Arc::default(),
            is_evacuation_feed_cut: false,
        };
        rig.confirm_evacuations();
        rig
    }

    /// Lists a new worker, which replies to its first poll.
    pub fn list_worker(&mut self, entry: &WorkerEntry) {
        self.send(Event::WorkerUpdated(entry.clone()));
        self.poll_reply(entry.name.as_str(), Vec::new(), Vec::new());
    }

    fn extend_lease(&mut self) {
        let until = TimeMs(self.now.0 + 1_000_000);
        self.send(Event::LeaseExtended { until });
    }

    /// Evacuates exactly these zones.
    pub fn evacuate(&mut self, zones: &[&str]) {
        self.evacuated = Arc::new(zones.iter().map(ZoneName::new).collect());
        self.confirm_evacuations();
    }

    fn confirm_evacuations(&mut self) {
        if self.is_evacuation_feed_cut {
            return;
        }
        let zones = Arc::clone(&self.evacuated);
        let as_of = self.now;
        self.send(Event::EvacuationsConfirmed { zones, as_of });
    }

    pub fn send(&mut self, event: Event) {
        let actions = self.coordinator.on_event(at(self.now.0), event);
        self.actions.extend(actions);
    }

    /// Advances the time in steps of 10 ms and keeps the worker list fresh.
    pub fn advance(&mut self, span_ms: u64) {
        let end = self.now.0 + span_ms;
        while self.now.0 < end {
            self.now = TimeMs((self.now.0 + 10).min(end));
            self.send(Event::WorkersConfirmed);
            self.confirm_evacuations();
            let actions = self.coordinator.on_wakeup(at(self.now.0));
            self.actions.extend(actions);
        }
    }

    /// Takes the store actions.
    pub fn batches(&mut self) -> Vec<(u64, Vec<ProgressRecord>)> {
        self.take(|action| match action {
            Action::Store { batch, records } => Some((*batch, records.clone())),
            _ => None,
        })
    }

    /// Takes all batches, confirms them as stored and returns their records.
    pub fn store_batches(&mut self) -> Vec<(JobId, JobProgress)> {
        let mut stored = Vec::new();
        loop {
            let batches = self.batches();
            if batches.is_empty() {
                return stored;
            }
            for (batch, records) in batches {
                let records = records.into_iter();
                stored.extend(records.map(|record| (record.job_id, record.progress)));
                self.send(Event::BatchStored { batch });
            }
        }
    }

    /// Submits a job of one step for customer `c`.
    pub fn submit(&mut self, id: &str, queue: &str, step: StepSpec) {
        self.send(Event::JobAccepted(job(id, queue, vec![step])));
    }

    /// Removes the actions for which `pick` returns a value, and returns these values.
    pub fn take<R>(&mut self, pick: impl Fn(&Action) -> Option<R>) -> Vec<R> {
        let mut taken = Vec::new();
        self.actions.retain(|action| {
            let picked = pick(action);
            let is_kept = picked.is_none();
            taken.extend(picked);
            is_kept
        });
        taken
    }

    /// Takes the start orders.
    pub fn starts(&mut self) -> Vec<(WorkerName, TaskId, u32)> {
        self.take(|action| match action {
            Action::Start {
                worker, task, run, ..
            } => Some((worker.clone(), task.clone(), *run)),
            _ => None,
        })
    }

    /// Places, stores, starts and accepts the runs that are ready, and returns them.
    pub fn start_all(&mut self) -> Vec<(WorkerName, TaskId, u32)> {
        self.advance(20);
        self.store_batches();
        let starts = self.starts();
        for start in &starts {
            self.accept(start);
        }
        starts
    }

    /// Submits a job of one step for the given customer, accepted at the current time.
    pub fn submit_as(&mut self, id: &str, customer: &str, queue: &str, step: StepSpec) {
        let record = JobRecord {
            accepted_unix_ms: self.now,
            customer: customer.into(),
            ..(*job(id, queue, vec![step])).clone()
        };
        self.send(Event::JobAccepted(Arc::new(record)));
    }

    /// Reports the given progress for those of the runs that are on the worker.
    pub fn report_progress(
        &mut self,
        worker: &str,
        runs: &[(WorkerName, TaskId, u32)],
        percent: u32,
    ) {
        let on_worker = runs.iter().filter(|run| run.0.as_str() == worker);
        let rows = on_worker.map(|run| RunningTask {
            percent,
            ..running(run)
        });
        self.poll_reply(worker, rows.collect(), Vec::new());
    }

    /// Takes the stop orders.
    pub fn stops(&mut self) -> Vec<(WorkerName, TaskId, u32)> {
        self.take(|action| match action {
            Action::Stop {
                worker, task, run, ..
            } => Some((worker.clone(), task.clone(), *run)),
            _ => None,
        })
    }

    /// Takes and confirms the stop orders, and lets the time pass in which the runs must end. Their workers then reply that
    /// they run nothing. Returns the orders.
    pub fn settle_stops(&mut self) -> Vec<(WorkerName, TaskId, u32)> {
        let stops = self.stops();
        for stop in &stops {
            let clock_ms = 100_000 + self.now.0;
            self.reply_to_stop(stop, OrderReply::Accepted { clock_ms });
        }
        self.advance(STOPPED_AFTER_MS);
        for stop in &stops {
            self.poll_reply(stop.0.as_str(), Vec::new(), Vec::new());
        }
        stops
    }

    /// Lets a poll of the worker time out.
    pub fn poll_fails(&mut self, worker: &WorkerName) {
        self.poll_fails_with(worker, PollFailure::NoAnswer);
    }

    pub fn poll_fails_with(&mut self, worker: &WorkerName, failure: PollFailure) {
        self.send(Event::PollFailed {
            worker: worker.clone(),
            failure,
        });
    }

    /// Takes the log entries of preemptions.
    pub fn preemptions(&mut self) -> Vec<Preemption> {
        self.take(|action| match action {
            Action::LogPreemption(preemption) => Some(preemption.clone()),
            _ => None,
        })
    }

    /// Takes the log entries of lost workers.
    pub fn losses(&mut self) -> Vec<WorkerLossReport> {
        self.take(|action| match action {
            Action::LogWorkerLoss(lost) => Some(lost.clone()),
            _ => None,
        })
    }

    pub fn reply(&mut self, start: &(WorkerName, TaskId, u32), reply: OrderReply) {
        self.send(Event::StartReplied {
            worker: start.0.clone(),
            task: start.1.clone(),
            run: start.2,
            reply,
        });
    }

    pub fn reply_to_stop(&mut self, stop: &(WorkerName, TaskId, u32), reply: OrderReply) {
        self.send(Event::StopReplied {
            worker: stop.0.clone(),
            task: stop.1.clone(),
            run: stop.2,
            reply,
        });
    }

    pub fn accept(&mut self, start: &(WorkerName, TaskId, u32)) {
        let clock_ms = 100_000 + self.now.0;
        self.reply(start, OrderReply::Accepted { clock_ms });
    }

    pub fn poll_reply(&mut self, worker: &str, running: Vec<RunningTask>, ended: Vec<EndedTask>) {
        self.report(worker, running, ended, false);
    }

    /// The worker lists only a part of its run ends.
    pub fn partial_reply(
        &mut self,
        worker: &str,
        running: Vec<RunningTask>,
        ended: Vec<EndedTask>,
    ) {
        self.report(worker, running, ended, true);
    }

    fn report(
        &mut self,
        worker: &str,
        running: Vec<RunningTask>,
        ended: Vec<EndedTask>,
        has_more_ends: bool,
    ) {
        self.send(Event::PollReplied {
            worker: WorkerName::new(worker),
            sent_at: self.now,
            report: WorkerReport {
                clock_ms: 100_000 + self.now.0,
                running,
                ended,
                has_more_ends,
            },
        });
    }
}

pub fn running(start: &(WorkerName, TaskId, u32)) -> RunningTask {
    RunningTask {
        task: start.1.clone(),
        run: start.2,
        checkpoint: "".into(),
        percent: 10,
        load: 0,
    }
}

pub fn ended(sequence: u64, start: &(WorkerName, TaskId, u32), kind: EndKind) -> EndedTask {
    EndedTask {
        sequence,
        task: start.1.clone(),
        run: start.2,
        kind,
        checkpoint: "".into(),
    }
}
