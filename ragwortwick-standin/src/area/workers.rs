//! Test workers that run tasks under leases; the payload of a task defines its behaviour.

use std::collections::BTreeMap;
use std::io;
use std::panic::RefUnwindSafe;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use gotham::state::StateData;
use ragwortwick_core::{DurationMs, TimeMs};
use ragwortwick_http::{Server, ServerOptions};
use serde::Deserialize;
use serde_json::{Value, json};
use tokio::sync::Notify;
use tokio::task::JoinHandle;

use super::advisor;
use super::completions::{Completion, Completions, RepeatedRun};
use super::store::AreaStore;
use super::worker_routes;
use crate::faults::lock;
use crate::now;
use crate::relay::{Relay, RelayMode};

/// Interval at which finished runs and expired leases are processed.
const CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// Number of run ends that a worker lists in one reply at most, the earliest first.
const MAX_ENDS_PER_REPLY: usize = 500;

/// `Payload` configures the behaviour of a task on a test worker.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(default)]
pub(super) struct Payload {
    /// Duration of the work.
    pub(super) work_ms: u64,
    /// Number of members that must be running before the work begins.
    pub(super) gang: usize,
    /// The work ends at a multiple of this time, so that tasks which began apart end together; zero for none.
    pub(super) ends_every_ms: u64,
    /// Whether a start requires a ticket of the advisor.
    pub(super) needs_ticket: bool,
    /// Tail latency of a latency-sensitive task without interference; zero for any other task.
    pub(super) tail_ms: u64,
    /// Whether the task adds its pace in milliseconds to the tail latency of tasks on the same worker.
    pub(super) disturbs: bool,
}

impl Default for Payload {
    fn default() -> Self {
        Self {
            work_ms: 100,
            gang: 1,
            ends_every_ms: 0,
            needs_ticket: false,
            tail_ms: 0,
            disturbs: false,
        }
    }
}

impl Payload {
    /// Speed of the work on a worker. A gang is as fast on each one, so that its members end together.
    fn speed_percent(&self, of_worker: u64) -> u64 {
        if self.gang > 1 { 100 } else { of_worker }
    }

    /// When work that begins now ends.
    fn end_of_work(&self, now: TimeMs, speed_percent: u64) -> TimeMs {
        let ends_at_ms = now.0 + self.work_ms * 100 / speed_percent;
        let step_ms = self.ends_every_ms.max(1);
        TimeMs(ends_at_ms.next_multiple_of(step_ms))
    }
}

/// `StartedRun` records a run that a worker started.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StartedRun {
    /// The worker.
    pub worker: String,
    /// The task.
    pub task: String,
    /// Number of the run.
    pub run: u64,
    /// Fencing token of the order.
    pub token: u64,
    /// When the worker was told to stop it, if it was.
    pub stop_at: Option<TimeMs>,
    /// When and how it ended; none while it goes on.
    pub end: Option<(TimeMs, &'static str)>,
    /// Whether its end was acknowledged.
    pub is_end_acknowledged: bool,
    /// When the worker started it.
    pub started_at: TimeMs,
    /// Whether another worker was running the same task at that time.
    pub is_duplicate: bool,
}

#[derive(Clone, Debug)]
pub(super) struct RunningTask {
    pub(super) run: u64,
    pub(super) payload: Payload,
    pub(super) started_at: TimeMs,
    pub(super) ends_at: Option<TimeMs>,
    /// When the run ends because it was told to stop, if it was.
    pub(super) stops_at: Option<TimeMs>,
    /// Index of the run among those that were started.
    pub(super) record: usize,
    /// Speed of the run in per cent, from 0 to 100.
    pub(super) pace_percent: u64,
}

/// `EndedRun` is a run end that a worker lists until it is acknowledged.
#[derive(Clone, Debug)]
pub(super) struct EndedRun {
    pub(super) sequence: u64,
    task: String,
    run: u64,
    kind: &'static str,
    /// Index of the run among those that were started.
    pub(super) record: usize,
}

#[expect(
    clippy::struct_excessive_bools,
    reason = "each fault of a test worker is independent of the others"
)]
#[derive(Debug, Default)]
pub(super) struct WorkerState {
    pub(super) token: u64,
    pub(super) lease_until: u64,
    pub(super) running: BTreeMap<String, RunningTask>,
    /// Highest run of each task that has ended or was stopped.
    pub(super) last_ended: BTreeMap<String, u64>,
    /// Unacknowledged run ends.
    pub(super) ended: Vec<EndedRun>,
    /// Wakes polls that wait for a run end.
    pub(super) end_listed: Arc<Notify>,
    /// Whether the worker writes no entry, as one without a path to the store.
    is_unlisted: bool,
    /// Work done in the time of a worker of normal speed, in per cent.
    pub(super) speed_percent: u64,
    last_sequence: u64,
    pub(super) is_unresponsive: bool,
    has_left: bool,
    /// Whether the process has crashed and was not restarted.
    is_down: bool,
    /// How often the process was restarted under another name.
    incarnation: u32,
    /// How often it was restarted under its name, which shows in the start time that it tells.
    restarts_in_place: u64,
}

impl WorkerState {
    /// Returns the name of the worker's current incarnation.
    pub(super) fn instance_name(&self, worker: &str) -> String {
        if self.incarnation == 0 {
            worker.to_owned()
        } else {
            format!("{worker}-{}", self.incarnation)
        }
    }

    /// Returns the time of its start that it tells, in Unix milliseconds.
    fn born(&self) -> u64 {
        FIRST_START_UNIX_MS + self.restarts_in_place
    }

    /// Ends a run and lists its end, if the run is there.
    pub(super) fn end_run(&mut self, task: &str, kind: &'static str) -> Option<EndedRun> {
        let RunningTask { run, record, .. } = self.running.remove(task)?;
        self.last_sequence += 1;
        let end = EndedRun {
            sequence: self.last_sequence,
            task: task.to_owned(),
            run,
            kind,
            record,
        };
        self.ended.push(end.clone());
        let last_ended = self.last_ended.entry(task.to_owned()).or_insert(0);
        *last_ended = (*last_ended).max(run);
        self.end_listed.notify_waiters();
        Some(end)
    }

    /// Returns the tail latency of a latency-sensitive task on this worker.
    pub(super) fn tail_latency_ms(&self, payload: &Payload) -> u64 {
        let interfering = self.running.values().filter(|run| run.payload.disturbs);
        payload.tail_ms + interfering.map(|run| run.pace_percent).sum::<u64>()
    }

    pub(super) fn running_rows(&self, hides_stopping_runs: bool) -> Vec<Value> {
        self.running
            .iter()
            .filter(|(_, run)| run.stops_at.is_none() || !hides_stopping_runs)
            .map(|(task, run)| {
                let remaining_ms = run.ends_at.map(|at| at.since(now()).0);
                let speed_percent = run.payload.speed_percent(self.speed_percent);
                let work_ms = (run.payload.work_ms * 100 / speed_percent).max(1);
                let worked_ms = remaining_ms.map_or(0, |left_ms| work_ms.saturating_sub(left_ms));
                let percent = (worked_ms * 100 / work_ms).min(99);
                let load = if run.payload.tail_ms > 0 {
                    self.tail_latency_ms(&run.payload)
                } else {
                    0
                };
                json!([task, run.run, "", percent, load])
            })
            .collect()
    }

    pub(super) fn report_with(&self, running: &[Value]) -> Value {
        let ended: Vec<Value> = self
            .ended
            .iter()
            .take(MAX_ENDS_PER_REPLY)
            .map(|end| json!([end.sequence, end.task, end.run, end.kind, ""]))
            .collect();
        json!({
            "ClockMs": now().0,
            "Running": running,
            "Ended": ended,
            "born": self.born(),
        })
    }
}

#[derive(Debug, Default)]
pub(super) struct PoolState {
    pub(super) workers: BTreeMap<String, WorkerState>,
    pub(super) starts: Vec<StartedRun>,
    pub(super) completions: Completions,
    /// Tickets of the advisor with their expiry time, by worker and step.
    pub(super) tickets: BTreeMap<(String, String), (String, TimeMs)>,
    /// Starts that were refused without a valid ticket.
    pub(super) starts_without_ticket: usize,
    pub(super) options: WorkerPoolOptions,
}

/// `SharedPool` is the pool state shared by the request handlers of all workers.
#[derive(Clone, Debug)]
pub(super) struct SharedPool {
    pool: Arc<Mutex<PoolState>>,
}

/// `WorkerContext` is the state of the request handlers of one worker.
#[derive(Clone, Debug, StateData)]
pub(super) struct WorkerContext {
    pub(super) name: String,
    pub(super) pool: SharedPool,
}

// gotham requires this marker trait; a panic in a test double fails its test anyway.
impl RefUnwindSafe for WorkerContext {}

impl SharedPool {
    /// Runs a closure on the pool state.
    pub(super) fn with<R>(&self, operation: impl FnOnce(&mut PoolState) -> R) -> R {
        operation(&mut lock(&self.pool))
    }

    fn end_due_runs(&self) {
        let now = now();
        lock(&self.pool).end_due_runs(now);
    }
}

impl PoolState {
    /// Ends runs that have finished or whose lease has expired.
    fn end_due_runs(&mut self, now: TimeMs) {
        self.start_work(now);
        if let Some(gang_wait_ms) = self.options.gang_wait_ms {
            self.end_incomplete_gangs(now, gang_wait_ms);
        }
        for (name, worker) in &mut self.workers {
            let is_expired = worker.lease_until <= now.0;
            if is_expired {
                self.completions.forget_unacknowledged(name);
            }
            let due: Vec<(String, &'static str)> = worker
                .running
                .iter()
                .filter_map(|(task, run)| {
                    let is_stopped = run.stops_at.is_some_and(|at| at <= now);
                    let is_done = run.ends_at.is_some_and(|at| at <= now);
                    match (is_stopped, is_done, is_expired) {
                        (true, _, _) => Some((task.clone(), "stopped")),
                        (false, true, _) => Some((task.clone(), "done")),
                        (false, false, true) => Some((task.clone(), "lapsed")),
                        (false, false, false) => None,
                    }
                })
                .collect();
            for (task, kind) in due {
                let Some(end) = worker.end_run(&task, kind) else {
                    continue;
                };
                self.starts[end.record].end = Some((now, kind));
                if kind == "done" {
                    let starts_before = self.starts.len();
                    let completion = Completion {
                        task,
                        run: end.run,
                        starts_before,
                    };
                    self.completions.record(name, end.sequence, completion);
                }
            }
        }
    }

    /// Ends the runs of gangs that have lost a member, or whose members did not all start in time.
    fn end_incomplete_gangs(&mut self, now: TimeMs, gang_wait_ms: DurationMs) {
        let present = self.present_members();
        for worker in self.workers.values_mut() {
            let due: Vec<(String, &'static str)> = worker
                .running
                .iter()
                .filter(|(_, run)| run.payload.gang > 1)
                .filter(|(task, run)| {
                    let members = present.get(&(step_of(task), run.run));
                    members.is_none_or(|&members| members < run.payload.gang)
                })
                .filter_map(|(task, run)| {
                    // The work of a gang ends at the same time on all members.
                    let is_at_work = run.ends_at.is_some_and(|at| at > now);
                    let is_alone =
                        run.ends_at.is_none() && now.since(run.started_at) > gang_wait_ms;
                    let kind = if is_at_work { "broken" } else { "alone" };
                    (is_at_work || is_alone).then(|| (task.clone(), kind))
                })
                .collect();
            for (task, kind) in due {
                if let Some(end) = worker.end_run(&task, kind) {
                    self.starts[end.record].end = Some((now, kind));
                }
            }
        }
    }

    /// Counts the members of each run of a gang that are on a worker.
    fn present_members(&self) -> BTreeMap<(String, u64), usize> {
        let mut present: BTreeMap<(String, u64), usize> = BTreeMap::new();
        for worker in self.workers.values() {
            for (task, run) in &worker.running {
                if run.payload.gang > 1 {
                    *present.entry((step_of(task), run.run)).or_insert(0) += 1;
                }
            }
        }
        present
    }

    /// Records that a worker's process has ended, with its runs and its unacknowledged run ends.
    fn lose_process(&mut self, name: &str, now: TimeMs) {
        self.completions.forget_unacknowledged(name);
        let lost = self.workers.get(name).into_iter();
        for run in lost.flat_map(|worker| worker.running.values()) {
            self.starts[run.record].end = Some((now, "crashed"));
        }
    }

    /// Starts the work of runs whose gang is complete.
    fn start_work(&mut self, now: TimeMs) {
        let present = self.present_members();
        for worker in self.workers.values_mut() {
            let speed_percent = worker.speed_percent;
            let waiting = worker.running.iter_mut();
            for (task, run) in waiting.filter(|(_, run)| run.ends_at.is_none()) {
                let speed_percent = run.payload.speed_percent(speed_percent);
                let members = present.get(&(step_of(task), run.run));
                let is_complete = members.copied().unwrap_or(1) >= run.payload.gang;
                if is_complete {
                    run.ends_at = Some(run.payload.end_of_work(now, speed_percent));
                }
            }
        }
    }
}

/// Returns the name of a task's step, which is the task's name without its last component.
pub(super) fn step_of(task: &str) -> String {
    task.rsplit_once('.')
        .map_or("", |(step, _)| step)
        .to_owned()
}

/// When the first incarnation of each worker started, as it tells.
const FIRST_START_UNIX_MS: u64 = 1_700_000_000_000;

/// `WorkerPoolOptions` describes a pool of test workers.
#[expect(
    clippy::struct_excessive_bools,
    reason = "each behaviour of the test workers is independent of the others"
)]
#[derive(Clone, Debug)]
pub struct WorkerPoolOptions {
    /// Number of workers.
    pub workers: usize,
    /// Number of availability zones that the racks are spread over.
    pub zones: usize,
    /// Number of workers in a rack; none if a rack spans the zones.
    pub workers_per_rack: usize,
    /// Whether all workers of a rack are in the same zone.
    pub has_racks_in_zones: bool,
    /// Maximum length of a lease; a worker shortens longer ones to it.
    pub max_lease_ms: DurationMs,
    /// Time that a worker takes to stop a run.
    pub stop_ms: DurationMs,
    /// Whether a run that is being stopped is listed neither as running nor as ended.
    pub hides_stopping_runs: bool,
    /// Whether a start is refused as late by the lease of the worker, not by that of the order.
    pub judges_lateness_by_lease: bool,
    /// Time after which a gang's runs end if a member is missing; none if they wait without limit.
    pub gang_wait_ms: Option<DurationMs>,
    /// Speeds of the workers, in turn, in per cent.
    pub speeds_percent: Vec<u64>,
    /// Whether every other worker lists the runs that it had when a poll arrived.
    pub lists_runs_on_arrival: bool,
}

impl Default for WorkerPoolOptions {
    fn default() -> Self {
        Self {
            workers: 1,
            zones: 2,
            workers_per_rack: 8,
            has_racks_in_zones: false,
            max_lease_ms: DurationMs(4_000),
            stop_ms: DurationMs(0),
            hides_stopping_runs: false,
            judges_lateness_by_lease: false,
            gang_wait_ms: None,
            speeds_percent: vec![100],
            lists_runs_on_arrival: false,
        }
    }
}

impl WorkerPoolOptions {
    /// `zone_of` returns the zone of a worker by its number.
    #[must_use]
    pub fn zone_of(&self, number: usize) -> String {
        let place = if self.has_racks_in_zones {
            number / self.workers_per_rack
        } else {
            number
        };
        format!("z-{}", place % self.zones)
    }
}

/// `AreaWorkers` runs a pool of test workers, each on its own address.
#[derive(Debug)]
pub struct AreaWorkers {
    shared: SharedPool,
    servers: Vec<(String, Server)>,
    /// Relay in front of each worker, in the order of the workers.
    relays: Vec<Relay>,
    advisor: Server,
    checks: JoinHandle<()>,
    options: WorkerPoolOptions,
}

impl AreaWorkers {
    /// `spawn` starts workers with eight accelerators, eight workers per rack, and writes their entries.
    ///
    /// # Errors
    ///
    /// Fails if no port is free.
    pub async fn spawn(options: WorkerPoolOptions, store: &AreaStore) -> io::Result<Self> {
        let shared = SharedPool {
            pool: Arc::default(),
        };
        shared.with(|pool| pool.options = options.clone());
        let mut servers = Vec::new();
        let mut relays = Vec::new();
        for number in 0..options.workers {
            let name = format!("w-{number}");
            let context = WorkerContext {
                name: name.clone(),
                pool: shared.clone(),
            };
            let router = worker_routes::router(context);
            let server = Server::bind("127.0.0.1:0", router, ServerOptions::default()).await?;
            shared.with(|pool| {
                let speeds = &options.speeds_percent;
                let worker = WorkerState {
                    speed_percent: speeds[number % speeds.len()],
                    ..WorkerState::default()
                };
                pool.workers.insert(name.clone(), worker);
            });
            relays.push(Relay::bind("127.0.0.1:0", server.address()).await?);
            servers.push((name, server));
        }
        let pool = shared.clone();
        let checks = tokio::spawn(async move {
            loop {
                tokio::time::sleep(CHECK_INTERVAL).await;
                pool.end_due_runs();
            }
        });
        let advisor = advisor::bind(shared.clone()).await?;
        let workers = Self {
            shared,
            servers,
            relays,
            advisor,
            checks,
            options,
        };
        workers.write_entries(store);
        Ok(workers)
    }

    /// `write_entries` writes the entry of every running worker to the store, as its heartbeat does.
    pub fn write_entries(&self, store: &AreaStore) {
        let workers = self.servers.iter().zip(&self.relays);
        for (number, ((name, _), relay)) in workers.enumerate() {
            let instance = self.shared.with(|pool| {
                let worker = &pool.workers[name];
                let is_up = !worker.has_left && !worker.is_down && !worker.is_unlisted;
                is_up.then(|| (worker.instance_name(name), worker.born()))
            });
            let Some((instance, born)) = instance else {
                continue;
            };
            let entry = json!({
                "Service": "booking",
                "Address": relay.address().to_string(),
                "Zone": self.options.zone_of(number),
                "Version": "v1",
                "Slots": 8,
                "State": "ready",
                "ColdRemainingMs": 0,
                "Capacity": {"Cpu": 32_000, "MemMb": 65_536, "Gpu": 8},
                "Labels": ["a", format!("r-{}", number / self.options.workers_per_rack)],
                "ClockMs": now().0,
                "Sequence": now().0,
                "born": born,
            });
            store.put(&format!("servers/{instance}"), entry.to_string());
        }
    }

    /// `zone` returns the availability zone of a worker, by its name or that of its incarnation.
    ///
    /// # Panics
    ///
    /// Panics if there is no such worker.
    #[must_use]
    pub fn zone(&self, worker: &str) -> String {
        let is_worker = |name: &str| {
            let rest = worker.strip_prefix(name);
            rest.is_some_and(|rest| rest.is_empty() || rest.starts_with('-'))
        };
        let number = self.servers.iter().position(|(name, _)| is_worker(name));
        self.options.zone_of(number.expect("a worker of this pool"))
    }

    /// `starts` lists every run that was started.
    #[must_use]
    pub fn starts(&self) -> Vec<StartedRun> {
        self.shared.with(|pool| pool.starts.clone())
    }

    /// `repeated_runs` lists the starts of tasks after a run had completed whose end was acknowledged then or later.
    #[must_use]
    pub fn repeated_runs(&self) -> Vec<RepeatedRun> {
        self.shared
            .with(|pool| pool.completions.repeated_runs(&pool.starts))
    }

    /// `advice_address` returns the address of the advisor.
    #[must_use]
    pub fn advice_address(&self) -> String {
        self.advisor.address().to_string()
    }

    /// `starts_without_ticket` counts the starts that were refused without a valid ticket.
    #[must_use]
    pub fn starts_without_ticket(&self) -> usize {
        self.shared.with(|pool| pool.starts_without_ticket)
    }

    /// `tail_latencies_ms` lists the tail latencies of all running latency-sensitive tasks.
    #[must_use]
    pub fn tail_latencies_ms(&self) -> Vec<u64> {
        self.shared.with(|pool| {
            let latencies = pool.workers.values().flat_map(|worker| {
                let serving = worker
                    .running
                    .values()
                    .filter(|run| run.payload.tail_ms > 0);
                serving.map(|run| worker.tail_latency_ms(&run.payload))
            });
            latencies.collect()
        })
    }

    /// `set_path` sets the mode of the relay between all hosts and a worker.
    pub fn set_path(&self, number: usize, mode: RelayMode) {
        self.relays[number].set_mode(mode);
    }

    /// `overlapping_runs` lists the pairs of runs of one task that were on workers at the same time.
    #[must_use]
    pub fn overlapping_runs(&self) -> Vec<(StartedRun, StartedRun)> {
        let starts = self.starts();
        let mut by_task: BTreeMap<&str, Vec<&StartedRun>> = BTreeMap::new();
        for start in &starts {
            by_task.entry(&start.task).or_default().push(start);
        }
        let mut pairs = Vec::new();
        for runs in by_task.values() {
            // In the order of their starts, so that the second of a pair began while the first went on.
            for (number, later) in runs.iter().enumerate() {
                let earlier = runs[..number].iter();
                let going_on = earlier.filter(|run| {
                    run.end
                        .is_none_or(|(ended_at, _)| ended_at > later.started_at)
                });
                pairs.extend(going_on.map(|run| ((*run).clone(), (*later).clone())));
            }
        }
        pairs
    }

    /// `set_listed` lets a worker write its entry, or removes the entry while the worker goes on.
    pub fn set_listed(&self, number: usize, is_listed: bool, store: &AreaStore) {
        let name = format!("w-{number}");
        let instance = self.shared.with(|pool| {
            let worker = pool.workers.get_mut(&name)?;
            worker.is_unlisted = !is_listed;
            Some(worker.instance_name(&name))
        });
        if let Some(instance) = instance.filter(|_| !is_listed) {
            store.remove(&format!("servers/{instance}"));
        }
    }

    /// `set_unresponsive` makes a worker accept requests without responding.
    pub fn set_unresponsive(&self, number: usize, is_unresponsive: bool) {
        let name = format!("w-{number}");
        self.shared.with(|pool| {
            if let Some(worker) = pool.workers.get_mut(&name) {
                worker.is_unresponsive = is_unresponsive;
            }
        });
    }

    /// `crash` simulates the crash of a worker process, which loses its runs and unacknowledged run ends.
    ///
    /// Connections are refused until `restart`. The entry in the store remains.
    pub fn crash(&self, name: &str) {
        self.shared.with(|pool| {
            pool.lose_process(name, now());
            if let Some(worker) = pool.workers.get_mut(name) {
                *worker = WorkerState {
                    is_down: true,
                    incarnation: worker.incarnation,
                    speed_percent: worker.speed_percent,
                    ..WorkerState::default()
                };
            }
        });
        self.set_path_of(name, RelayMode::Cut);
    }

    /// `restart` starts a new incarnation of a crashed worker and removes the entry of the previous one.
    pub fn restart(&self, name: &str, store: &AreaStore) {
        let previous = self.shared.with(|pool| {
            let worker = pool.workers.get_mut(name)?;
            let previous = worker.instance_name(name);
            worker.is_down = false;
            worker.incarnation += 1;
            Some(previous)
        });
        self.set_path_of(name, RelayMode::Pass);
        if let Some(previous) = previous {
            store.remove(&format!("servers/{previous}"));
        }
    }

    /// `restart_in_place` restarts a worker under its name at once; it has no runs, ends or tokens of before.
    pub fn restart_in_place(&self, name: &str) {
        self.shared.with(|pool| {
            pool.lose_process(name, now());
            if let Some(worker) = pool.workers.get_mut(name) {
                *worker = WorkerState {
                    incarnation: worker.incarnation,
                    restarts_in_place: worker.restarts_in_place + 1,
                    speed_percent: worker.speed_percent,
                    ..WorkerState::default()
                };
            }
        });
    }

    fn set_path_of(&self, name: &str, mode: RelayMode) {
        let position = self.servers.iter().position(|(other, _)| other == name);
        if let Some(number) = position {
            self.set_path(number, mode);
        }
    }

    /// `leave` removes a worker permanently, with its runs, its unacknowledged run ends and its entry.
    pub fn leave(&self, name: &str, store: &AreaStore) {
        self.shared.with(|pool| {
            pool.lose_process(name, now());
            if let Some(worker) = pool.workers.get_mut(name) {
                *worker = WorkerState {
                    has_left: true,
                    speed_percent: worker.speed_percent,
                    ..WorkerState::default()
                };
            }
        });
        self.set_path_of(name, RelayMode::Cut);
        store.remove(&format!("servers/{name}"));
    }

    /// `close` stops all workers and the advisor.
    pub fn close(self) {
        self.checks.abort();
        for relay in self.relays {
            relay.close();
        }
        drop(self.servers);
        drop(self.advisor);
    }
}
