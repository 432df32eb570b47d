//! The simulation: its state, virtual time, and the event loop.

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
use crate::arrivals::{Arrival, Arrivals, desired_state};
use crate::cancelled_runs::OBSERVATION_MS;
use crate::faults::Fault;
use crate::host::Host;
use crate::invariants::GroundTruth;
use crate::network::Delivery;
use crate::store::{Store, StoredJob};
use crate::trace::Trace;
use crate::value::{JobObservation, LostWorkCause, ValueModel, ValueReport};
use crate::worker::{CheckpointPolicy, SimWorker};
use crate::workload::Workload;

/// Interval of the checks of leases, gangs, elections and feeds.
pub(crate) const TICK_MS: DurationMs = DurationMs(20);

/// Interval at which workers' entries and lease renewals reach the coordinator.
pub(crate) const FEED_MS: DurationMs = DurationMs(400);

/// Time without arrivals and faults at the end of a simulation, in which every job has to end.
const SETTLE_MS: DurationMs = DurationMs(240_000);

/// `SimulationOptions` holds the parameters of a simulation.
#[derive(Clone, Debug)]
pub struct SimulationOptions {
    /// Seed of all random numbers.
    pub seed: u64,
    /// Number of workers.
    pub workers: u32,
    /// Number of workers in a rack.
    pub workers_per_rack: u32,
    /// Workers' capacity and submitted jobs.
    pub workload: Workload,
    /// Limits that the coordinator's decisions depend on.
    pub limits: Limits,
    /// Job whose events are traced.
    pub traced_job: Option<JobId>,
}

impl Default for SimulationOptions {
    fn default() -> Self {
        Self {
            seed: 1,
            workers: 24,
            workers_per_rack: 8,
            workload: Workload::default(),
            limits: Limits::default(),
            traced_job: None,
        }
    }
}

/// `SimulationReport` holds the results of a simulation.
#[derive(Clone, Debug)]
pub struct SimulationReport {
    /// Violated invariants, as text.
    pub violations: Vec<String>,
    /// Jobs that were accepted.
    pub jobs: usize,
    /// Jobs reported as completed.
    pub completed: usize,
    /// Runs started.
    pub starts: u64,
    /// Runs stopped by an order.
    pub stopped: u64,
    /// Runs whose lease expired.
    pub expired: u64,
    /// Starts refused for lack of a valid ticket.
    pub ticket_refusals: u64,
    /// Lost work in core-seconds, by cause.
    pub lost_core_s: BTreeMap<LostWorkCause, u64>,
    /// Value earned by unscheduled jobs that were not cancelled and could be completed.
    pub value: ValueReport,
    /// Events of the traced job.
    pub trace: Vec<String>,
}

#[derive(Debug)]
pub(crate) enum SimEvent {
    Tick,
    SubmitJob(usize),
    CancelJob(usize),
    BeginFault(usize),
    EndFault(usize),
    WakeCoordinator(usize, u64),
    /// A stopped run ends: worker, task, run.
    FinishStop(usize, TaskId, u32),
    /// A task crashes the worker that runs it: worker, its incarnation, task.
    CrashWorker(usize, WorkerName, TaskId),
    /// A crashed worker is up again.
    RestoreWorker(usize),
    /// An order or a poll reaches a worker.
    DeliverToWorker {
        host: usize,
        term: u64,
        action: Action,
        delivery: Delivery,
    },
    /// An event reaches a coordinator.
    DeliverEvent {
        host: usize,
        term: u64,
        event: Event,
    },
    /// The actions of a call of the coordinator are carried out, at its end.
    PerformActions {
        host: usize,
        term: u64,
        actions: Vec<Action>,
    },
    /// An order or a poll leaves its host.
    LeaveHost {
        host: usize,
        term: u64,
        action: Action,
        /// Whether it has waited there for so long that it counts as late.
        is_late: bool,
    },
    /// A batch reaches the store.
    CommitBatch {
        host: usize,
        term: u64,
        batch: u64,
        records: Vec<ProgressRecord>,
    },
}

/// Job, occurrence, step and run of a gang.
pub(crate) type GangKey = (JobId, u32, u32, u32);

#[derive(Debug, Default)]
pub(crate) struct Gang {
    pub(crate) members: BTreeMap<TaskId, usize>,
    pub(crate) first_start_at: TimeMs,
    pub(crate) is_started: bool,
    pub(crate) will_fail: bool,
}

/// `Simulation` holds the state of one simulation of an area.
#[derive(Debug)]
pub struct Simulation {
    pub(crate) options: SimulationOptions,
    pub(crate) now: TimeMs,
    pub(crate) rng: Pcg64Mcg,
    pub(crate) event_queue: BinaryHeap<Reverse<(TimeMs, u64)>>,
    pub(crate) events: BTreeMap<u64, SimEvent>,
    pub(crate) last_event_id: u64,
    pub(crate) arrivals: Vec<Arrival>,
    pub(crate) arrival_by_job: BTreeMap<JobId, usize>,
    pub(crate) faults: Vec<Fault>,
    pub(crate) store: Store,
    pub(crate) workers: Vec<SimWorker>,
    pub(crate) hosts: Vec<Host>,
    pub(crate) gangs: BTreeMap<GangKey, Gang>,
    pub(crate) ground_truth: GroundTruth,
    pub(crate) desired_state: Arc<DesiredState>,
    pub(crate) advisor: Advisor,
    pub(crate) is_delaying_orders: bool,
    pub(crate) is_reordering_messages: bool,
    /// Fault that removes the coordinator's host once it has sent a start.
    pub(crate) starter_removal: Option<usize>,
    pub(crate) inputs_end_at: TimeMs,
    pub(crate) last_feed_at: TimeMs,
    pub(crate) last_renewal_at: TimeMs,
    pub(crate) completed_at: BTreeMap<JobId, TimeMs>,
    pub(crate) lost_core_ms: BTreeMap<LostWorkCause, u64>,
    pub(crate) trace: Trace,
}

impl Simulation {
    /// `new` draws the jobs of a simulation, and schedules jobs and faults.
    #[must_use]
    pub fn new(mut options: SimulationOptions, mut faults: Vec<Fault>) -> Self {
        options.limits.places_by_speed |= options.workload.policies.places_by_speed;
        options.limits.sheds_load |= options.workload.policies.sheds_load;
        options.limits.shares_fairly |= options.workload.policies.shares_fairly;
        let stop_ms = DurationMs(options.workload.stop_ms);
        options.limits.stop_ms = options.limits.stop_ms.max(stop_ms);
        faults.extend(&options.workload.faults);
        let racks = options.workers.div_ceil(options.workers_per_rack.max(1));
        let arrivals = Arrivals::draw(options.seed, &options.workload, racks).jobs;
        let checkpoint_policy = CheckpointPolicy {
            is_restored: options.workload.restores_checkpoints,
            interval_ms: options.limits.checkpoint_ms,
            restore_ms: options.limits.restore_ms,
        };
        let workers: Vec<SimWorker> = (0..options.workers)
            .map(|number| {
                let label = if number % 3 == 0 { "b" } else { "a" };
                let speeds = &options.workload.speeds_percent;
                let mut worker = SimWorker::new(
                    u64::from(number),
                    number / options.workers_per_rack.max(1),
                    label,
                    options.workload.capacity,
                    speeds[number as usize % speeds.len()],
                    checkpoint_policy,
                    options.workload.worker_clock_percent,
                );
                worker.restarts_in_place = options.workload.restarts_in_place;
                worker.ends_per_report = options.workload.ends_per_report;
                worker.behavior = options.workload.worker_behavior;
                worker
            })
            .collect();
        let arrival_by_job = arrivals
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
        let mut simulation = Self {
            now: TimeMs(0),
            rng: Pcg64Mcg::seed_from_u64(options.seed ^ 0x9e37),
            event_queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            last_event_id: 0,
            arrival_by_job,
            store: Store::default(),
            workers,
            hosts: (0..3).map(|_| Host::default()).collect(),
            gangs: BTreeMap::new(),
            ground_truth: GroundTruth::default(),
            desired_state: Arc::new(desired_state(&options.workload, accelerators)),
            advisor: Advisor::default(),
            is_delaying_orders: false,
            is_reordering_messages: false,
            starter_removal: None,
            inputs_end_at: last_fault.max(last_arrival),
            last_feed_at: TimeMs(0),
            last_renewal_at: TimeMs(0),
            completed_at: BTreeMap::new(),
            lost_core_ms: BTreeMap::new(),
            trace: Trace::new(options.traced_job.clone()),
            arrivals,
            faults,
            options,
        };
        simulation.schedule_inputs();
        simulation
    }

    fn schedule_inputs(&mut self) {
        for index in 0..self.arrivals.len() {
            let (at, cancel_at) = (self.arrivals[index].at, self.arrivals[index].cancel_at);
            self.schedule_at(at, SimEvent::SubmitJob(index));
            if let Some(cancel_at) = cancel_at {
                self.schedule_at(cancel_at, SimEvent::CancelJob(index));
            }
        }
        for index in 0..self.faults.len() {
            let fault = self.faults[index];
            self.schedule_at(fault.at, SimEvent::BeginFault(index));
            self.schedule_at(fault.at + fault.for_ms, SimEvent::EndFault(index));
        }
        self.schedule_at(TimeMs(1), SimEvent::Tick);
    }

    pub(crate) fn schedule_at(&mut self, at: TimeMs, event: SimEvent) {
        self.last_event_id += 1;
        self.event_queue.push(Reverse((at, self.last_event_id)));
        self.events.insert(self.last_event_id, event);
    }

    pub(crate) fn schedule_after(&mut self, delay_ms: u64, event: SimEvent) {
        self.schedule_at(self.now + DurationMs(delay_ms), event);
    }

    /// `run` processes all events and returns the results.
    #[must_use]
    pub fn run(mut self) -> SimulationReport {
        let end = self.inputs_end_at + SETTLE_MS;
        let cancellations = self.arrivals.iter().filter_map(|job| job.cancel_at);
        let last_cancellation = cancellations.max().unwrap_or_default();
        let observation_end = self.inputs_end_at.max(last_cancellation) + OBSERVATION_MS;
        while let Some(Reverse((at, event_id))) = self.event_queue.pop() {
            self.now = at;
            if at > end || (at > observation_end && self.is_settled()) {
                break;
            }
            if let Some(event) = self.events.remove(&event_id) {
                self.handle(event);
            }
            if self.ground_truth.violations.len() > 20 {
                break;
            }
        }
        self.into_report()
    }

    fn is_settled(&self) -> bool {
        self.store.jobs.len() == self.arrivals.len()
            && !self.has_cancelled_run()
            && self.store.jobs.values().all(|job| {
                job.progress
                    .as_ref()
                    .is_some_and(|progress| progress.phase.is_final())
            })
    }

    fn into_report(mut self) -> SimulationReport {
        let mut value = ValueReport::default();
        let records = self.arrivals.iter().map(|arrival| &*arrival.record);
        let model = ValueModel::new(&self.options.workload, records);
        let jobs: Vec<StoredJob> = self.store.jobs.values().cloned().collect();
        for job in &jobs {
            let phase = job.progress.as_ref().map_or(JobPhase::Queued, |p| p.phase);
            let job_id = &job.record.job_id;
            if !phase.is_final() && job.cancelled_at.is_none() {
                self.ground_truth.report_unfinished(self.now, job_id, phase);
            }
            if job.cancelled_at.is_some() || job.record.schedule.is_some() {
                continue;
            }
            let done_at = self.completed_at.get(job_id);
            let latency_ms = done_at.map(|at| at.since(job.record.accepted_unix_ms).0);
            if !self.is_infeasible(job_id) {
                let counts = self
                    .ground_truth
                    .counts_by_job
                    .get(job_id)
                    .copied()
                    .unwrap_or_default();
                let accepted_at = job.record.accepted_unix_ms;
                let observation = JobObservation {
                    objective_ms: self.objective_ms(job_id),
                    critical_path_ms: self.critical_path_ms(job_id),
                    first_start_ms: counts.first_start_at.map(|at| at.since(accepted_at).0),
                    latency_ms,
                    counts,
                };
                value.add_job(&model, &job.record, &observation);
            }
        }
        SimulationReport {
            violations: self.ground_truth.violations,
            jobs: jobs.len(),
            completed: self.completed_at.len(),
            starts: self.ground_truth.starts,
            stopped: self.ground_truth.stopped,
            expired: self.ground_truth.expired,
            ticket_refusals: self.advisor.refused,
            lost_core_s: self
                .lost_core_ms
                .iter()
                .map(|(&cause, &ms)| (cause, ms / 1_000))
                .collect(),
            value,
            trace: self.trace.lines,
        }
    }

    /// Whether every run of the job fails or crashes its worker, so that it can't complete.
    fn is_infeasible(&self, job_id: &JobId) -> bool {
        let arrival = &self.arrivals[self.arrival_by_job[job_id]];
        arrival.failure_probability >= 1.0 || arrival.crashing_task.is_some()
    }

    /// Returns the latency objective, computed from the true duration of the work.
    pub(crate) fn objective_ms(&self, job_id: &JobId) -> u64 {
        let policy = &self.arrivals[self.arrival_by_job[job_id]].record.policy;
        policy
            .objective_ms(DurationMs(self.critical_path_ms(job_id)))
            .0
    }

    /// Returns the true duration of all steps, each of which waits for the previous one.
    fn critical_path_ms(&self, job_id: &JobId) -> u64 {
        let arrival = &self.arrivals[self.arrival_by_job[job_id]];
        arrival.work_ms.iter().map(|span| span.0).sum()
    }

    fn handle(&mut self, event: SimEvent) {
        match event {
            SimEvent::Tick => {
                self.tick();
                self.schedule_after(TICK_MS.0, SimEvent::Tick);
            }
            SimEvent::SubmitJob(index) => self.submit_job(index),
            SimEvent::CancelJob(index) => self.cancel_job(index),
            SimEvent::BeginFault(index) => self.set_fault(index, true),
            SimEvent::EndFault(index) => self.set_fault(index, false),
            SimEvent::WakeCoordinator(host, term) => self.wake_coordinator(host, term),
            SimEvent::FinishStop(index, task, run) => {
                self.end_if_current(index, &task, run, EndKind::Stopped);
            }
            SimEvent::CrashWorker(index, name, task) => self.crash_by_task(index, &name, &task),
            SimEvent::RestoreWorker(index) => self.workers[index].restore(),
            SimEvent::DeliverToWorker {
                host,
                term,
                action,
                delivery,
            } => self.deliver_to_worker(host, term, action, delivery),
            SimEvent::DeliverEvent { host, term, event } => self.deliver_event(host, term, event),
            SimEvent::PerformActions {
                host,
                term,
                actions,
            } => self.perform_actions(host, term, actions),
            SimEvent::LeaveHost {
                host,
                term,
                action,
                is_late,
            } => self.leave_host(host, term, action, is_late),
            SimEvent::CommitBatch {
                host,
                term,
                batch,
                records,
            } => self.commit_batch(host, term, batch, records),
        }
    }
}
