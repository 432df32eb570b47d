//! Workers that run tasks under leases; what a task does stands in its payload.

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
use super::store::AreaStore;
use super::worker_routes;
use crate::faults::lock;
use crate::now;
use crate::relay::{Relay, RelayMode};

/// How often ends and lapsed leases are looked for.
const CHECK: Duration = Duration::from_millis(10);

/// Longest lease that a worker grants.
pub(super) const LEASE_MS: u64 = 4_000;

/// `Payload` tells a stand-in what a task does.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(default)]
pub(super) struct Payload {
    /// How long it works.
    pub(super) work_ms: u64,
    /// Members that have to be there, for a gang.
    pub(super) gang: usize,
    /// Whether a start needs the advisor's ticket.
    pub(super) needs_ticket: bool,
    /// Tail latency of a task that serves users, with nothing beside it.
    pub(super) tail_ms: u64,
    /// Whether the task disturbs those that serve on its worker, by its pace in milliseconds.
    pub(super) disturbs: bool,
}

impl Default for Payload {
    fn default() -> Self {
        Self {
            work_ms: 100,
            gang: 1,
            needs_ticket: false,
            tail_ms: 0,
            disturbs: false,
        }
    }
}

/// `StartedRun` is a run that a worker began.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StartedRun {
    /// The worker.
    pub worker: String,
    /// The task's name.
    pub task: String,
    /// The run.
    pub run: u64,
    /// Whether another worker was running the same task.
    pub is_duplicate: bool,
}

#[derive(Clone, Debug)]
pub(super) struct RunningTask {
    pub(super) run: u64,
    pub(super) payload: Payload,
    pub(super) started_at: TimeMs,
    pub(super) ends_at: Option<TimeMs>,
    /// From 0 to 100.
    pub(super) pace_percent: u64,
}

#[derive(Debug, Default)]
pub(super) struct WorkerState {
    pub(super) token: u64,
    pub(super) lease_until: u64,
    pub(super) running: BTreeMap<String, RunningTask>,
    pub(super) over: BTreeMap<String, u64>,
    pub(super) ended: Vec<(u64, String, u64, &'static str)>,
    last_end: u64,
    pub(super) is_silent: bool,
    has_left: bool,
    /// Whether its process has ended and not begun again.
    is_down: bool,
    /// How often its process has ended.
    life: u32,
}

impl WorkerState {
    /// The name of the present life of a worker.
    pub(super) fn life_name(&self, worker: &str) -> String {
        if self.life == 0 {
            worker.to_owned()
        } else {
            format!("{worker}-{}", self.life)
        }
    }

    pub(super) fn end(&mut self, task: &str, how: &'static str) {
        if let Some(run) = self.running.remove(task) {
            self.last_end += 1;
            self.ended
                .push((self.last_end, task.to_owned(), run.run, how));
            let over = self.over.entry(task.to_owned()).or_insert(0);
            *over = (*over).max(run.run);
        }
    }

    /// Tail latency of a task that serves here.
    pub(super) fn tail_ms(&self, payload: &Payload) -> u64 {
        let beside = self.running.values().filter(|run| run.payload.disturbs);
        payload.tail_ms + beside.map(|run| run.pace_percent).sum::<u64>()
    }

    pub(super) fn told(&self) -> Value {
        let running: Vec<Value> = self
            .running
            .iter()
            .map(|(task, run)| {
                let worked_ms = now().since(run.started_at).0;
                let percent = (worked_ms * 100 / run.payload.work_ms.max(1)).min(99);
                let load = if run.payload.tail_ms > 0 {
                    self.tail_ms(&run.payload)
                } else {
                    0
                };
                json!([task, run.run, "", percent, load])
            })
            .collect();
        let ended: Vec<Value> = self
            .ended
            .iter()
            .map(|(number, task, run, how)| json!([number, task, run, how, ""]))
            .collect();
        json!({"ClockMs": now().0, "Running": running, "Ended": ended})
    }
}

#[derive(Debug, Default)]
pub(super) struct PoolState {
    pub(super) workers: BTreeMap<String, WorkerState>,
    pub(super) starts: Vec<StartedRun>,
    /// The advisor's tickets by worker and step, and until when they hold.
    pub(super) tickets: BTreeMap<(String, String), (String, TimeMs)>,
    /// Starts that were refused for want of a ticket.
    pub(super) without_ticket: usize,
}

/// `PoolShared` is what the handlers of all workers reach.
#[derive(Clone, Debug)]
pub(super) struct PoolShared {
    pool: Arc<Mutex<PoolState>>,
    pub(super) changed: watch::Sender<u64>,
}

/// `OneWorker` is what the handlers of one worker reach.
#[derive(Clone, Debug, StateData)]
pub(super) struct OneWorker {
    pub(super) name: String,
    pub(super) pool: PoolShared,
}

// gotham asks for this mark; a panic of a stand-in fails its test anyway.
impl RefUnwindSafe for OneWorker {}

impl PoolShared {
    pub(super) fn with<R>(&self, step: impl FnOnce(&mut PoolState) -> R) -> R {
        let result = step(&mut lock(&self.pool));
        self.changed.send_modify(|count| *count += 1);
        result
    }

    fn check(&self) {
        let now = now();
        let mut pool = lock(&self.pool);
        let is_changed = pool.advance(now);
        drop(pool);
        if is_changed {
            self.changed.send_modify(|count| *count += 1);
        }
    }
}

impl PoolState {
    /// Ends what is due; tells whether anything changed.
    fn advance(&mut self, now: TimeMs) -> bool {
        self.begin_gangs(now);
        let mut is_changed = false;
        for worker in self.workers.values_mut() {
            let is_lapsed = worker.lease_until <= now.0;
            let due: Vec<(String, &'static str)> = worker
                .running
                .iter()
                .filter_map(|(task, run)| {
                    let is_done = run.ends_at.is_some_and(|at| at <= now);
                    match (is_done, is_lapsed) {
                        (true, _) => Some((task.clone(), "done")),
                        (false, true) => Some((task.clone(), "lapsed")),
                        (false, false) => None,
                    }
                })
                .collect();
            is_changed |= !due.is_empty();
            for (task, how) in due {
                worker.end(&task, how);
            }
        }
        is_changed
    }

    /// A gang works from the moment when all its members are there.
    fn begin_gangs(&mut self, now: TimeMs) {
        let mut present: BTreeMap<(String, u64), usize> = BTreeMap::new();
        for worker in self.workers.values() {
            for (task, run) in &worker.running {
                *present.entry((step_of(task), run.run)).or_insert(0) += 1;
            }
        }
        for worker in self.workers.values_mut() {
            for (task, run) in &mut worker.running {
                let members = present.get(&(step_of(task), run.run));
                let is_whole = members.is_some_and(|&members| members >= run.payload.gang);
                if run.ends_at.is_none() && is_whole {
                    let work_ms = ragwortwick_core::DurationMs(run.payload.work_ms);
                    run.ends_at = Some(now + work_ms);
                }
            }
        }
    }
}

/// The name of a task's step: the name without its last part.
pub(super) fn step_of(task: &str) -> String {
    task.rsplit_once('.')
        .map_or("", |(step, _)| step)
        .to_owned()
}

/// `AreaWorkers` is a pool of running workers, each on an address of its own.
#[derive(Debug)]
pub struct AreaWorkers {
    shared: PoolShared,
    servers: Vec<(String, Server)>,
    /// The paths to the workers, in their order.
    paths: Vec<Relay>,
    advisor: Server,
    checks: JoinHandle<()>,
}

impl AreaWorkers {
    /// `spawn` starts workers of eight accelerators, eight to a rack, and lists them in the store.
    ///
    /// # Errors
    ///
    /// Fails if no port is free.
    pub async fn spawn(count: usize, store: &AreaStore) -> io::Result<Self> {
        let shared = PoolShared {
            pool: Arc::default(),
            changed: watch::Sender::new(0),
        };
        let mut servers = Vec::new();
        let mut paths = Vec::new();
        for number in 0..count {
            let name = format!("w-{number}");
            let one = OneWorker {
                name: name.clone(),
                pool: shared.clone(),
            };
            let router = worker_routes::router(one);
            let server = Server::bind("127.0.0.1:0", router, ServerOptions::default()).await?;
            shared.with(|pool| {
                pool.workers.insert(name.clone(), WorkerState::default());
            });
            paths.push(Relay::bind("127.0.0.1:0", server.address()).await?);
            servers.push((name, server));
        }
        let checked = shared.clone();
        let checks = tokio::spawn(async move {
            loop {
                tokio::time::sleep(CHECK).await;
                checked.check();
            }
        });
        let advisor = advisor::bind(shared.clone()).await?;
        let workers = Self {
            shared,
            servers,
            paths,
            advisor,
            checks,
        };
        workers.write_entries(store);
        Ok(workers)
    }

    /// `write_entries` writes every worker's entry, as their heartbeats do.
    pub fn write_entries(&self, store: &AreaStore) {
        let workers = self.servers.iter().zip(&self.paths);
        for (number, ((name, _), path)) in workers.enumerate() {
            let life = self.shared.with(|pool| {
                let worker = &pool.workers[name];
                let is_there = !worker.has_left && !worker.is_down;
                is_there.then(|| worker.life_name(name))
            });
            let Some(life) = life else {
                continue;
            };
            let entry = json!({
                "Service": "booking",
                "Address": path.address().to_string(),
                "Zone": "z",
                "Version": "v1",
                "Slots": 8,
                "State": "ready",
                "ColdRemainingMs": 0,
                "Capacity": {"Cpu": 32_000, "MemMb": 65_536, "Gpu": 8},
                "Labels": ["a", format!("r-{}", number / 8)],
                "ClockMs": now().0,
                "Sequence": now().0,
            });
            store.put(&format!("servers/{life}"), entry.to_string());
        }
    }

    /// `starts` lists every run that was begun.
    #[must_use]
    pub fn starts(&self) -> Vec<StartedRun> {
        self.shared.with(|pool| pool.starts.clone())
    }

    /// `advice_address` is where the advisor of these workers is asked.
    #[must_use]
    pub fn advice_address(&self) -> String {
        self.advisor.address().to_string()
    }

    /// `starts_without_ticket` counts the starts that were refused for want of a ticket that holds.
    #[must_use]
    pub fn starts_without_ticket(&self) -> usize {
        self.shared.with(|pool| pool.without_ticket)
    }

    /// `tail_latencies_ms` lists the tail latencies of all tasks that serve users.
    #[must_use]
    pub fn tail_latencies_ms(&self) -> Vec<u64> {
        self.shared.with(|pool| {
            let tails = pool.workers.values().flat_map(|worker| {
                let serving = worker
                    .running
                    .values()
                    .filter(|run| run.payload.tail_ms > 0);
                serving.map(|run| worker.tail_ms(&run.payload))
            });
            tails.collect()
        })
    }

    /// `set_path` changes the path to a worker, for all hosts.
    pub fn set_path(&self, number: usize, mode: RelayMode) {
        self.paths[number].set_mode(mode);
    }

    /// `set_unresponsive` makes a worker take calls without an answer.
    pub fn set_unresponsive(&self, number: usize, is_silent: bool) {
        let name = format!("w-{number}");
        self.shared.with(|pool| {
            if let Some(worker) = pool.workers.get_mut(&name) {
                worker.is_silent = is_silent;
            }
        });
    }

    /// `crash` ends the process of a worker, with all that it ran and listed; its machine refuses
    /// connections until `restart`. Its entry in the store stays.
    pub fn crash(&self, name: &str) {
        self.shared.with(|pool| {
            if let Some(worker) = pool.workers.get_mut(name) {
                *worker = WorkerState {
                    is_down: true,
                    life: worker.life,
                    ..WorkerState::default()
                };
            }
        });
        self.set_path_of(name, RelayMode::Cut);
    }

    /// `restart` begins another life of a worker that has crashed.
    pub fn restart(&self, name: &str, store: &AreaStore) {
        let earlier = self.shared.with(|pool| {
            let worker = pool.workers.get_mut(name)?;
            let earlier = worker.life_name(name);
            worker.is_down = false;
            worker.life += 1;
            Some(earlier)
        });
        self.set_path_of(name, RelayMode::Pass);
        if let Some(earlier) = earlier {
            store.remove(&format!("servers/{earlier}"));
        }
    }

    fn set_path_of(&self, name: &str, mode: RelayMode) {
        let known = self.servers.iter().position(|(other, _)| other == name);
        if let Some(number) = known {
            self.set_path(number, mode);
        }
    }

    /// `leave` takes a worker away for good, with all that it ran and listed.
    pub fn leave(&self, name: &str, store: &AreaStore) {
        self.shared.with(|pool| {
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

    /// `close` ends all workers.
    pub fn close(self) {
        self.checks.abort();
        for path in self.paths {
            path.close();
        }
        drop(self.servers);
        drop(self.advisor);
    }
}
