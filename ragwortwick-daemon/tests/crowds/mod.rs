//! Crowds of misbehaving clients, and what the host that they press on uses meanwhile.

mod clients;
mod usage;

pub use clients::{Crowd, chunked_request, large_job, list_job, request_head, sized_request};
use usage::{UsageBounds, UsageMonitor};

use http::{Method, StatusCode};
use ragwortwick_standin::{AreaFleet, AreaOptions, area_job, desired, wait_until};
use serde_json::{Map, Value, json};
use tokio::sync::{Mutex, MutexGuard};

/// Memory of the host under test, in megabytes.
pub const MEMORY_MB: u64 = 64;

/// Descriptors of the host under test.
pub const MAX_FDS: u64 = 1_024;

/// Largest body that the desired state allows.
pub const MAX_BODY_BYTES: usize = 262_144;

/// API key of a customer that does not belong to the crowd.
pub const OTHER_API_KEY: &str = "key-2";

/// Crowds press one after the other: the memory of two hosts under test says nothing about one.
static ONE_AT_A_TIME: Mutex<()> = Mutex::const_new(());

/// `Pressed` is an area with a small host that a crowd presses on.
pub struct Pressed {
    /// The area.
    pub fleet: AreaFleet,
    monitor: UsageMonitor,
    _turn: MutexGuard<'static, ()>,
}

fn settings_of(memory_mb: u64) -> Map<String, Value> {
    let mut settings = Map::new();
    settings.insert("memory_mb".to_owned(), json!(memory_mb));
    settings.insert("max_fds".to_owned(), json!(MAX_FDS));
    settings
}

impl Pressed {
    /// Starts an area of one host with the memory and descriptors of the tests.
    pub async fn open() -> Self {
        let turn = ONE_AT_A_TIME.lock().await;
        let binary = env!("CARGO_BIN_EXE_ragwortwickd");
        let mut desired = desired(1);
        desired["Limits"]["MaxBodyBytes"] = json!(MAX_BODY_BYTES);
        let other_customer = json!({"Name": "d", "ApiKeys": [OTHER_API_KEY]});
        let customers = desired["Tenants"].as_array_mut();
        customers.expect("customers").push(other_customer);
        let options = AreaOptions {
            desired,
            settings: settings_of(MEMORY_MB),
            ..AreaOptions::new(1, 2)
        };
        let fleet = AreaFleet::spawn_with(binary, options).await;
        let fleet = fleet.expect("the area starts");
        wait_until("the host coordinates", async || {
            fleet.coordinator().is_some()
        })
        .await;
        wait_until("the host serves", async || {
            let reply = fleet.call(Method::GET, 0, "/work/", None).await;
            reply.is_ok_and(|reply| reply.status == StatusCode::OK)
        })
        .await;
        let monitor = UsageMonitor::spawn(&fleet.hosts[0]).await;
        Self {
            fleet,
            monitor,
            _turn: turn,
        }
    }

    /// Address of the first host's job API.
    pub fn address(&self) -> &str {
        self.fleet.hosts[0].address()
    }

    /// Starts a second host with more memory; returns its number.
    pub async fn spawn_large_host(&mut self, memory_mb: u64) -> usize {
        let host = self.fleet.spawn_host_with(settings_of(memory_mb)).await;
        self.fleet.hosts.push(host.expect("the host starts"));
        let number = self.fleet.hosts.len() - 1;
        wait_until("the second host serves", async || {
            let reply = self.fleet.call(Method::GET, number, "/work/", None).await;
            reply.is_ok_and(|reply| reply.status == StatusCode::OK)
        })
        .await;
        number
    }

    /// Checks that the first host lives, stayed within its limits and still serves an ordinary client.
    pub async fn close(self) {
        let id = "00000000000000aa";
        wait_until("an ordinary job is accepted", async || {
            let status = self.fleet.submit(0, id, area_job(1, 50, false)).await;
            status.ok() == Some(StatusCode::OK)
        })
        .await;
        wait_until("an ordinary job is shown", async || {
            self.fleet.state(0, id).await.is_some()
        })
        .await;
        self.monitor.close_within(UsageBounds {
            memory_mb: MEMORY_MB,
            fds: MAX_FDS,
        });
        self.fleet.close();
    }

    /// Number of waiting jobs that a host reports.
    pub async fn pending(&self, host: usize) -> Option<u64> {
        let reply = self.fleet.call(Method::GET, host, "/work/", None).await;
        let body: Value = serde_json::from_slice(&reply.ok()?.body).ok()?;
        body["Pending"].as_u64()
    }

    /// Submits a job by one raw request, and returns the status of its response.
    pub async fn submit_raw(&self, request: Vec<u8>) -> Option<u16> {
        clients::exchange(self.address(), &request).await
    }
}

/// A body of the given length that is a valid job: white space fills it up.
pub fn padded(job: &Value, length: usize) -> Vec<u8> {
    let mut body = job.to_string().into_bytes();
    assert!(
        body.len() <= length,
        "the job is longer than {length} bytes"
    );
    body.resize(length, b' ');
    body
}
