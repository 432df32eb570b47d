//! A complete area for tests: entry hosts as daemon processes, with an in-process store and workers.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::sync::Arc;

use http::{Method, StatusCode};
use ragwortwick_core::{DurationMs, HostName, ZoneName};
use ragwortwick_http::{HttpClient, HttpClientOptions, HttpError, HttpResponse};
use serde_json::{Map, Value, json};
use tokio::task::JoinHandle;

use super::{AreaStore, AreaWorkers, WorkerPoolOptions};
use crate::fleet::{Daemon, DaemonOptions, FleetError, wait_until};
use crate::relay::{Relay, RelayMode};

/// Interval at which workers write their entries to the store.
const HEARTBEAT_INTERVAL_MS: DurationMs = DurationMs(200);

/// Timeout of a client request.
const REQUEST_TIMEOUT_MS: DurationMs = DurationMs(5_000);

/// API key of the test clients.
const API_KEY: &str = "key-1";

/// Key of the coordinator in the store, bound to its lease.
const COORDINATOR_KEY: &str = "ragwortwick/coordinator";

/// `AreaOptions` describes an area for tests.
#[derive(Clone, Debug)]
pub struct AreaOptions {
    /// Number of entry hosts.
    pub hosts: usize,
    /// Its workers.
    pub workers: WorkerPoolOptions,
    /// Interval at which workers write their entries.
    pub heartbeat_interval_ms: DurationMs,
    /// The first desired state.
    pub desired: Value,
    /// Further settings of every entry host.
    pub settings: Map<String, Value>,
}

impl AreaOptions {
    /// `new` describes an area of two zones with the desired state of `desired`.
    #[must_use]
    pub fn new(hosts: usize, workers: usize) -> Self {
        Self {
            hosts,
            workers: WorkerPoolOptions {
                workers,
                ..WorkerPoolOptions::default()
            },
            heartbeat_interval_ms: HEARTBEAT_INTERVAL_MS,
            desired: desired(1),
            settings: Map::new(),
        }
    }
}

/// `AreaFleet` runs the store, the workers and the entry hosts of one area.
#[derive(Debug)]
pub struct AreaFleet {
    /// The store.
    pub store: Arc<AreaStore>,
    /// The workers.
    pub workers: Arc<AreaWorkers>,
    /// The entry hosts.
    pub hosts: Vec<Daemon>,
    directory: tempfile::TempDir,
    binary: PathBuf,
    http: HttpClient,
    /// Relay between each host and the store, by host name.
    store_relays: BTreeMap<HostName, Relay>,
    heartbeats: JoinHandle<()>,
    /// Number of hosts started so far, from which their names are formed.
    spawned_hosts: usize,
    settings: Map<String, Value>,
}

impl AreaFleet {
    /// `spawn` starts an area whose store holds a desired state.
    ///
    /// # Errors
    ///
    /// Fails if a port can't be bound or a process can't be started.
    pub async fn spawn(binary: &str, hosts: usize, workers: usize) -> Result<Self, FleetError> {
        Self::spawn_with(binary, AreaOptions::new(hosts, workers)).await
    }

    /// `spawn_with` starts the area that the options describe.
    ///
    /// # Errors
    ///
    /// As `spawn`.
    pub async fn spawn_with(binary: &str, options: AreaOptions) -> Result<Self, FleetError> {
        let AreaOptions {
            hosts,
            workers,
            heartbeat_interval_ms,
            desired,
            settings,
        } = options;
        let store = Arc::new(AreaStore::bind("127.0.0.1:0").await?);
        let workers = Arc::new(AreaWorkers::spawn(workers, &store).await?);
        store.put("op/config", desired.to_string());
        let (heartbeat_store, heartbeat_workers) = (Arc::clone(&store), Arc::clone(&workers));
        let heartbeats = tokio::spawn(async move {
            loop {
                tokio::time::sleep(heartbeat_interval_ms.into()).await;
                heartbeat_workers.write_entries(&heartbeat_store);
            }
        });
        let mut fleet = Self {
            store,
            workers,
            hosts: Vec::new(),
            directory: tempfile::tempdir()?,
            binary: Path::new(binary).to_path_buf(),
            http: HttpClient::new(&HttpClientOptions::default()),
            store_relays: BTreeMap::new(),
            heartbeats,
            spawned_hosts: 0,
            settings,
        };
        for _ in 0..hosts {
            let host = fleet.spawn_host().await?;
            fleet.hosts.push(host);
        }
        Ok(fleet)
    }

    /// `spawn_ready` starts an area and waits until a host coordinates and the first one serves requests.
    ///
    /// # Errors
    ///
    /// As `spawn`.
    ///
    /// # Panics
    ///
    /// Panics if the area is not ready within the limit of `wait_until`.
    pub async fn spawn_ready(
        binary: &str,
        hosts: usize,
        workers: usize,
    ) -> Result<Self, FleetError> {
        let fleet = Self::spawn(binary, hosts, workers).await?;
        wait_until("a host coordinates", async || fleet.coordinator().is_some()).await;
        wait_until("the desired state is in force", async || {
            let reply = fleet.call(Method::GET, 0, "/work/", None).await;
            reply.is_ok_and(|reply| reply.status == StatusCode::OK)
        })
        .await;
        Ok(fleet)
    }

    /// `wait_for_state` waits until a host reports the given state for a job.
    ///
    /// # Panics
    ///
    /// Panics if the state is not reported within the limit of `wait_until`.
    pub async fn wait_for_state(&self, host: usize, id: &str, wanted: &str) {
        wait_until(wanted, async || {
            self.state(host, id).await.as_deref() == Some(wanted)
        })
        .await;
    }

    /// `spawn_host` starts an additional entry host.
    ///
    /// # Errors
    ///
    /// Fails if a port can't be bound or the process can't be started.
    pub async fn spawn_host(&mut self) -> Result<Daemon, FleetError> {
        self.spawn_host_with(self.settings.clone()).await
    }

    /// `spawn_host_with` starts an additional entry host with further settings of its own.
    ///
    /// # Errors
    ///
    /// As `spawn_host`.
    pub async fn spawn_host_with(
        &mut self,
        mut settings: Map<String, Value>,
    ) -> Result<Daemon, FleetError> {
        self.spawned_hosts += 1;
        let host = HostName::new(format!("host-{}", self.spawned_hosts));
        let relay = Relay::bind("127.0.0.1:0", self.store.address()).await?;
        let store_address = relay.address().to_string();
        self.store_relays.insert(host.clone(), relay);
        let advice_address = json!(self.workers.advice_address());
        settings.insert("advice_address".to_owned(), advice_address);
        let options = DaemonOptions {
            host,
            zone: ZoneName::new("z"),
            store_address,
            hosts_address: String::new(),
            settings,
        };
        Daemon::spawn_area(&self.binary, self.directory.path(), options).await
    }

    /// `set_store_path` sets the mode of the relay between a host and the store.
    pub fn set_store_path(&self, host: usize, mode: RelayMode) {
        if let Some(relay) = self.store_relays.get(self.hosts[host].host()) {
            relay.set_mode(mode);
        }
    }

    /// `key_holder` returns the index of the host that holds the coordinator key in the store.
    #[must_use]
    pub fn key_holder(&self) -> Option<usize> {
        let item = self.store.get(COORDINATOR_KEY)?;
        let key: Value = serde_json::from_slice(&item.value).ok()?;
        let hosts = self.hosts.iter();
        let mut names = hosts.map(|host| host.host().as_str());
        names.position(|name| key["host"] == name)
    }

    /// `expire_coordinator_lease` ends the coordinator's lease in the store.
    pub fn expire_coordinator_lease(&self) {
        self.store.expire_lease_of(COORDINATOR_KEY);
    }

    /// `evacuate` writes the operators' request to send nothing more to the workers of a zone.
    pub fn evacuate(&self, zone: &str) {
        self.store.put(&evacuation_key(zone), "{}");
    }

    /// `take_back` removes the request to evacuate a zone.
    pub fn take_back(&self, zone: &str) {
        self.store.remove(&evacuation_key(zone));
    }

    /// `call` sends a client request to a host with the default API key.
    ///
    /// # Errors
    ///
    /// Fails if no complete response arrives in time.
    pub async fn call(
        &self,
        method: Method,
        host: usize,
        path: &str,
        body: Option<Value>,
    ) -> Result<HttpResponse, HttpError> {
        self.call_as(API_KEY, method, host, path, body).await
    }

    /// `call_as` sends a client request to a host with the given API key.
    ///
    /// # Errors
    ///
    /// As `call`.
    pub async fn call_as(
        &self,
        key: &str,
        method: Method,
        host: usize,
        path: &str,
        body: Option<Value>,
    ) -> Result<HttpResponse, HttpError> {
        let authorization = format!("Token {key}");
        let headers = [
            ("host", "jobs.example"),
            ("authorization", authorization.as_str()),
            ("x-deadline-ms", "3000"),
        ];
        let address = self.hosts[host].address();
        let body = body.map(|body| body.to_string().into());
        self.http
            .send_with(method, address, path, &headers, body, REQUEST_TIMEOUT_MS)
            .await
    }

    /// `submit` submits a job to a host and returns the response status.
    ///
    /// # Errors
    ///
    /// As `call`.
    pub async fn submit(&self, host: usize, id: &str, job: Value) -> Result<StatusCode, HttpError> {
        self.submit_to("work", host, id, job).await
    }

    /// `submit_to` submits a job to a queue by way of a host and returns the response status.
    ///
    /// # Errors
    ///
    /// As `call`.
    pub async fn submit_to(
        &self,
        queue: &str,
        host: usize,
        id: &str,
        job: Value,
    ) -> Result<StatusCode, HttpError> {
        let path = format!("/{queue}/{id}");
        let reply = self.call(Method::POST, host, &path, Some(job)).await?;
        Ok(reply.status)
    }

    /// `state` fetches the state of a job from a host; none if the host does not report one.
    pub async fn state(&self, host: usize, id: &str) -> Option<String> {
        self.state_in("work", host, id).await
    }

    /// `state_in` fetches the state of a job of a queue from a host; none if the host does not report one.
    pub async fn state_in(&self, queue: &str, host: usize, id: &str) -> Option<String> {
        let path = format!("/{queue}/{id}");
        let reply = self.call(Method::GET, host, &path, None).await.ok()?;
        let body: Value = serde_json::from_slice(&reply.body).ok()?;
        body["State"].as_str().map(str::to_owned)
    }

    /// `coordinator` returns the index of the host that coordinates according to its log.
    #[must_use]
    pub fn coordinator(&self) -> Option<usize> {
        (0..self.hosts.len()).find(|&host| self.coordinates(host))
    }

    /// `coordinates` returns whether a host coordinates according to its log.
    #[must_use]
    pub fn coordinates(&self, host: usize) -> bool {
        let lines = self.hosts[host].lines();
        let count = |event: &str| {
            let field = format!("event={event} ");
            lines.iter().filter(|line| line.contains(&field)).count()
        };
        count("term_begins") > count("term_ends")
    }

    /// `close` kills the hosts and stops the heartbeats.
    pub fn close(mut self) {
        for host in &mut self.hosts {
            // The process may have exited already.
            drop(host.kill());
        }
        self.heartbeats.abort();
    }
}

fn evacuation_key(zone: &str) -> String {
    format!("op/evacuate/{zone}")
}

/// `desired` returns a desired state with two queues for the test workers; the second requires advice.
#[must_use]
pub fn desired(version: u64) -> Value {
    json!({
        "Version": version,
        "Routes": [
            {"Name": "work", "Host": "jobs.example", "Prefix": "/work/", "Type": "non_idempotent",
             "TimeoutMs": 3000, "TargetLatencyMs": 1000, "Priority": 1, "Service": "booking",
             "Attempts": 3, "Stretch": 3.0, "Public": false},
            {"Name": "advised", "Host": "jobs.example", "Prefix": "/advised/",
             "Type": "non_idempotent", "TimeoutMs": 3000, "TargetLatencyMs": 1000, "Priority": 1,
             "Service": "booking", "Attempts": 3, "Stretch": 3.0, "Public": false,
             "Advice": {"DecideMs": 20, "PerItemMs": 1, "ValidMs": 1500}}
        ],
        "Services": [],
        "Limits": {"MaxBodyBytes": 4096},
        "Tenants": [{"Name": "c", "ApiKeys": [API_KEY], "Priority": 1, "Guaranteed": {"Gpu": 16}}]
    })
}

/// `area_job` returns a job of one step whose payload configures the test workers.
#[must_use]
pub fn area_job(count: u64, work_ms: u64, is_gang: bool) -> Value {
    let gang_size = if is_gang { count } else { 1 };
    let payload = json!({"work_ms": work_ms, "gang": gang_size}).to_string();
    json!({
        "Spec": payload,
        "Steps": [{"Count": count, "Cpu": 1000, "MemMb": 1000, "Gpu": 4,
                   "EstimateMs": work_ms, "Gang": is_gang}]
    })
}

/// `wide_job` returns a job of one step with many tasks that are small enough to share a worker.
///
/// The payload configures the test workers, as in `area_job`; `gang` or `ends_every_ms` let the tasks end together.
#[must_use]
pub fn wide_job(count: u64, work_ms: u64, payload: &Value) -> Value {
    json!({
        "Spec": payload.to_string(),
        "Steps": [{"Count": count, "Cpu": 20, "MemMb": 20, "EstimateMs": work_ms}]
    })
}
