//! A whole area: store, workers and entry hosts as separate processes.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::sync::Arc;

use http::{Method, StatusCode};
use ragwortwick_core::{DurationMs, HostName, ZoneName};
use ragwortwick_http::{HttpClient, HttpClientOptions, HttpError, HttpResponse};
use serde_json::{Map, Value, json};
use tokio::task::JoinHandle;

use super::{AreaStore, AreaWorkers};
use crate::fleet::{Daemon, DaemonOptions, FleetError, wait_until};
use crate::relay::{Relay, RelayMode};

/// How often workers write their entries.
const BEAT_MS: DurationMs = DurationMs(200);

/// Longest wait for an answer to a caller.
const CALL_MS: DurationMs = DurationMs(5_000);

/// Key that callers present.
const KEY: &str = "key-1";

/// `AreaFleet` is a running area.
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
    /// The hosts' paths to the store, by the hosts' names.
    store_paths: BTreeMap<HostName, Relay>,
    beats: JoinHandle<()>,
    spawned: usize,
}

impl AreaFleet {
    /// `spawn` starts an area with a desired state in force.
    ///
    /// # Errors
    ///
    /// Fails if a port or process can't be had.
    pub async fn spawn(binary: &str, hosts: usize, workers: usize) -> Result<Self, FleetError> {
        let store = Arc::new(AreaStore::bind("127.0.0.1:0").await?);
        let workers = Arc::new(AreaWorkers::spawn(workers, &store).await?);
        store.put("op/config", desired(1).to_string());
        let (beaten, beating) = (Arc::clone(&store), Arc::clone(&workers));
        let beats = tokio::spawn(async move {
            loop {
                tokio::time::sleep(BEAT_MS.into()).await;
                beating.write_entries(&beaten);
            }
        });
        let mut fleet = Self {
            store,
            workers,
            hosts: Vec::new(),
            directory: tempfile::tempdir()?,
            binary: Path::new(binary).to_path_buf(),
            http: HttpClient::new(&HttpClientOptions::default()),
            store_paths: BTreeMap::new(),
            beats,
            spawned: 0,
        };
        for _ in 0..hosts {
            let host = fleet.spawn_host().await?;
            fleet.hosts.push(host);
        }
        Ok(fleet)
    }

    /// `spawn_ready` starts an area and waits until a host coordinates and the first takes calls.
    ///
    /// # Errors
    ///
    /// As `spawn`.
    ///
    /// # Panics
    ///
    /// Panics if that does not come about within the outer limit.
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

    /// `wait_for_state` waits until a host shows a job in a state.
    ///
    /// # Panics
    ///
    /// Panics if it does not within the outer limit.
    pub async fn wait_for_state(&self, host: usize, id: &str, wanted: &str) {
        wait_until(wanted, async || {
            self.state(host, id).await.as_deref() == Some(wanted)
        })
        .await;
    }

    /// `spawn_host` starts one more entry host.
    ///
    /// # Errors
    ///
    /// Fails if the process can't be had.
    pub async fn spawn_host(&mut self) -> Result<Daemon, FleetError> {
        self.spawned += 1;
        let host = HostName::new(format!("host-{}", self.spawned));
        let path = Relay::bind("127.0.0.1:0", self.store.address()).await?;
        let store_address = path.address().to_string();
        self.store_paths.insert(host.clone(), path);
        let options = DaemonOptions {
            host,
            zone: ZoneName::new("z"),
            store_address,
            hosts_address: String::new(),
            settings: Map::from_iter([(
                "advice_address".to_owned(),
                json!(self.workers.advice_address()),
            )]),
        };
        Daemon::spawn_area(&self.binary, self.directory.path(), options).await
    }

    /// `set_store_path` changes a host's path to the store.
    pub fn set_store_path(&self, host: usize, mode: RelayMode) {
        if let Some(path) = self.store_paths.get(self.hosts[host].host()) {
            path.set_mode(mode);
        }
    }

    /// `call` sends a caller's call to a host.
    ///
    /// # Errors
    ///
    /// Fails if there is no whole answer.
    pub async fn call(
        &self,
        method: Method,
        host: usize,
        path: &str,
        body: Option<Value>,
    ) -> Result<HttpResponse, HttpError> {
        self.call_as(KEY, method, host, path, body).await
    }

    /// `call_as` is `call` with another key.
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
            .send_with(method, address, path, &headers, body, CALL_MS)
            .await
    }

    /// `submit` hands a job in; gives the status.
    ///
    /// # Errors
    ///
    /// As `call`.
    pub async fn submit(&self, host: usize, id: &str, job: Value) -> Result<StatusCode, HttpError> {
        let path = format!("/work/{id}");
        let reply = self.call(Method::POST, host, &path, Some(job)).await?;
        Ok(reply.status)
    }

    /// `state` asks for a job's state; none if it has none.
    pub async fn state(&self, host: usize, id: &str) -> Option<String> {
        let path = format!("/work/{id}");
        let reply = self.call(Method::GET, host, &path, None).await.ok()?;
        let body: Value = serde_json::from_slice(&reply.body).ok()?;
        body["State"].as_str().map(str::to_owned)
    }

    /// `coordinator` finds the host that coordinates, by its own log.
    #[must_use]
    pub fn coordinator(&self) -> Option<usize> {
        (0..self.hosts.len()).find(|&host| self.coordinates(host))
    }

    /// `coordinates` tells whether a host coordinates, by its own log.
    #[must_use]
    pub fn coordinates(&self, host: usize) -> bool {
        let lines = self.hosts[host].lines();
        let count = |event: &str| {
            let word = format!("event={event} ");
            lines.iter().filter(|line| line.contains(&word)).count()
        };
        count("term_begins") > count("term_ends")
    }

    /// `close` ends everything.
    pub fn close(mut self) {
        for host in &mut self.hosts {
            // A process that is gone needs no kill.
            drop(host.kill());
        }
        self.beats.abort();
    }
}

/// A desired state with two queues, one of them with an advisor, for the stand-in workers.
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
        "Tenants": [{"Name": "c", "ApiKeys": [KEY], "Priority": 1, "Guaranteed": {"Gpu": 16}}]
    })
}

/// A job of one step; its payload tells the stand-in workers what to do.
#[must_use]
pub fn area_job(count: u64, work_ms: u64, is_gang: bool) -> Value {
    let gang = if is_gang { count } else { 1 };
    let payload = json!({"work_ms": work_ms, "gang": gang}).to_string();
    json!({
        "Spec": payload,
        "Steps": [{"Count": count, "Cpu": 1000, "MemMb": 1000, "Gpu": 4,
                   "EstimateMs": work_ms, "Gang": is_gang}]
    })
}
