//! Test workers that run tasks under leases; the payload of a task defines its behaviour.

use std::collections::BTreeMap;
use std::io;
use std::panic::RefUnwindSafe;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use gotham::state::StateData;
use ragwortwick_core::TimeMs;
use ragwortwick_http::{Server, ServerOptions};
use serde::Deserialize;
use serde_json::{Value, json};
use tokio::sync::watch;
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

/// Maximum length of a lease; a worker shortens longer ones to it.
pub(super) const MAX_LEASE_MS: u64 = 4_000;

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
    /// When work that begins now ends.
    fn end_of_work(&self, now: TimeMs) -> TimeMs {
        let ends_at_ms = now.0 + self.work_ms;
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
    /// Speed of the run in per cent, from 0 to 100.
    pub(super) pace_percent: u64,
}

#[derive(Debug, Default)]
pub(super) struct WorkerState {
    pub(super) token: u64,
    pub(super) lease_until: u64,
    pub(super) running: BTreeMap<String, RunningTask>,
    /// Highest run of each task that has ended or was stopped.
    pub(super) last_ended: BTreeMap<String, u64>,
    /// Unacknowledged run ends: sequence number, task, run and kind.
    pub(super) ended: Vec<(u64, String, u64, &'static str)>,
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

    /// Ends a run and lists its end; returns the end's sequence number and the run, if it was there.
    pub(super) fn end_run(&mut self, task: &str, kind: &'static str) -> Option<(u64, u64)> {
        let run = self.running.remove(task)?.run;
        self.last_sequence += 1;
        self.ended
            .push((self.last_sequence, task.to_owned(), run, kind));
        let last_ended = self.last_ended.entry(task.to_owned()).or_insert(0);
        *last_ended = (*last_ended).max(run);
        Some((self.last_sequence, run))
    }

    /// Returns the tail latency of a latency-sensitive task on this worker.
    pub(super) fn tail_latency_ms(&self, payload: &Payload) -> u64 {
        let interfering = self.running.values().filter(|run| run.payload.disturbs);
        payload.tail_ms + interfering.map(|run| run.pace_percent).sum::<u64>()
    }

    pub(super) fn report(&self) -> Value {
        let running: Vec<Value> = self
            .running
            .iter()
            .map(|(task, run)| {
                let worked_ms = now().since(run.started_at).0;
                let percent = (worked_ms * 100 / run.payload.work_ms.max(1)).min(99);
                let load = if run.payload.tail_ms > 0 {
                    self.tail_latency_ms(&run.payload)
                } else {
                    0
                };
                json!([task, run.run, "", percent, load])
            })
            .collect();
        let ended: Vec<Value> = self
            .ended
            .iter()
            .take(MAX_ENDS_PER_REPLY)
            .map(|(sequence, task, run, kind)| json!([sequence, task, run, kind, ""]))
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
}

/// `SharedPool` is the pool state shared by the request handlers of all workers.
#[derive(Clone, Debug)]
pub(super) struct SharedPool {
    pool: Arc<Mutex<PoolState>>,
    pub(super) changed: watch::Sender<u64>,
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
    /// Runs a closure on the pool state and wakes waiting requests.
    pub(super) fn with<R>(&self, operation: impl FnOnce(&mut PoolState) -> R) -> R {
        let result = operation(&mut lock(&self.pool));
        self.changed.send_modify(|count| *count += 1);
        result
    }

    fn end_due_runs(&self) {
        let now = now();
        let mut pool = lock(&self.pool);
        let is_changed = pool.end_due_runs(now);
        drop(pool);
        if is_changed {
            self.changed.send_modify(|count| *count += 1);
        }
    }
}

impl PoolState {
    /// Ends runs that have finished or whose lease has expired; returns whether any run has ended.
    fn end_due_runs(&mut self, now: TimeMs) -> bool {
        self.start_work(now);
        let mut is_changed = false;
        for (name, worker) in &mut self.workers {
            let is_expired = worker.lease_until <= now.0;
            if is_expired {
                self.completions.forget_unacknowledged(name);
            }
            let due: Vec<(String, &'static str)> = worker
                .running
                .iter()
                .filter_map(|(task, run)| {
                    let is_done = run.ends_at.is_some_and(|at| at <= now);
                    match (is_done, is_expired) {
                        (true, _) => Some((task.clone(), "done")),
                        (false, true) => Some((task.clone(), "lapsed")),
                        (false, false) => None,
                    }
                })
                .collect();
            is_changed |= !due.is_empty();
            for (task, kind) in due {
                let ended = worker.end_run(&task, kind);
                if let Some((sequence, run)) = ended.filter(|_| kind == "done") {
                    let starts_before = self.starts.len();
                    let completion = Completion {
                        task,
                        run,
                        starts_before,
                    };
                    self.completions.record(name, sequence, completion);
                }
            }
        }
        is_changed
    }

    /// Starts the work of runs whose gang is complete.
    fn start_work(&mut self, now: TimeMs) {
        let mut present: BTreeMap<(String, u64), usize> = BTreeMap::new();
        for worker in self.workers.values() {
            for (task, run) in &worker.running {
                *present.entry((step_of(task), run.run)).or_insert(0) += 1;
            }
        }
        for worker in self.workers.values_mut() {
            for (task, run) in &mut worker.running {
                let members = present.get(&(step_of(task), run.run));
                let is_complete = members.is_some_and(|&members| members >= run.payload.gang);
                if run.ends_at.is_none() && is_complete {
                    run.ends_at = Some(run.payload.end_of_work(now));
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

/// Number of availability zones that the workers are spread over.
const ZONES: usize = 2;

fn zone_of(number: usize) -> String {
    format!("z-{}", number % ZONES)
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
}

impl AreaWorkers {
    /// `spawn` starts workers with eight accelerators, eight workers per rack, and writes their entries.
    ///
    /// # Errors
    ///
    /// Fails if no port is free.
    pub async fn spawn(count: usize, store: &AreaStore) -> io::Result<Self> {
        let shared = SharedPool {
            pool: Arc::default(),
            changed: watch::Sender::new(0),
        };
        let mut servers = Vec::new();
        let mut relays = Vec::new();
        for number in 0..count {
            let name = format!("w-{number}");
            let context = WorkerContext {
                name: name.clone(),
                pool: shared.clone(),
            };
            let router = worker_routes::router(context);
            let server = Server::bind("127.0.0.1:0", router, ServerOptions::default()).await?;
            shared.with(|pool| {
                pool.workers.insert(name.clone(), WorkerState::default());
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
                let is_up = !worker.has_left && !worker.is_down;
                is_up.then(|| (worker.instance_name(name), worker.born()))
            });
            let Some((instance, born)) = instance else {
                continue;
            };
            let entry = json!({
                "Service": "booking",
                "Address": relay.address().to_string(),
                "Zone": zone_of(number),
                "Version": "v1",
                "Slots": 8,
                "State": "ready",
                "ColdRemainingMs": 0,
                "Capacity": {"Cpu": 32_000, "MemMb": 65_536, "Gpu": 8},
                "Labels": ["a", format!("r-{}", number / 8)],
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
        zone_of(number.expect("a worker of this pool"))
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
            pool.completions.forget_unacknowledged(name);
            if let Some(worker) = pool.workers.get_mut(name) {
                *worker = WorkerState {
                    is_down: true,
                    incarnation: worker.incarnation,
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
            pool.completions.forget_unacknowledged(name);
            if let Some(worker) = pool.workers.get_mut(name) {
                *worker = WorkerState {
                    incarnation: worker.incarnation,
                    restarts_in_place: worker.restarts_in_place + 1,
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
            pool.completions.forget_unacknowledged(name);
            if let Some(worker) = pool.workers.get_mut(name) {
                *worker = WorkerState {
                    has_left: true,
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
