//! Workers' platform agents: many workers in one process, told apart by their path.

mod member;
mod state;

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::panic::RefUnwindSafe;
use std::sync::{Arc, Mutex};

use gotham::handler::SimpleHandlerResult;
use gotham::prelude::{
    DefineSingleRoute, DrawRoutes, FromState, StateData, StaticResponseExtender,
};
use gotham::state::State;
use http::StatusCode;
use ragwortwick_border::{HostEntry, HostKind, HostState, WorkerOrder};
use ragwortwick_core::{HostName, RackName, WorkerName, ZoneName, common};
use ragwortwick_http::{Server, ServerOptions};
use serde::Deserialize;
use tokio::task::JoinHandle;

pub use self::state::WorkersState;
use crate::admin::{self, Answer, Role, RouteBuilder, call};
use crate::faults::{Faults, Gate, lock};
use crate::now;
use crate::start_log::StartLog;

/// How often ends of members are noted, so that the log has them without an order.
const END_CHECK: std::time::Duration = std::time::Duration::from_millis(20);

/// `WorkerSpec` describes one worker.
#[common]
pub struct WorkerSpec {
    /// Its name.
    pub name: WorkerName,
    /// Its rack.
    pub rack: RackName,
    /// Its zone.
    pub zone: ZoneName,
    /// Its accelerators.
    pub accelerators: u32,
}

impl WorkerSpec {
    /// `entry` is the worker's line in the platform's host list.
    #[must_use]
    pub fn entry(&self, address: SocketAddr) -> HostEntry {
        HostEntry {
            name: HostName::new(&self.name),
            kind: HostKind::Worker,
            zone: self.zone.clone(),
            address: address.to_string(),
            peer_address: None,
            rack: Some(self.rack.clone()),
            accelerators: self.accelerators,
            slots: 0,
            state: HostState::Live,
        }
    }
}

/// `Workers` is a running process of workers.
#[derive(Debug)]
pub struct Workers {
    shared: WorkersShared,
    specs: Vec<WorkerSpec>,
    server: Server,
    end_checks: JoinHandle<()>,
}

#[derive(Clone, Debug, StateData)]
struct WorkersShared {
    gate: Gate,
    log: StartLog,
    state: Arc<Mutex<WorkersState>>,
}

// gotham asks for this mark; a panic of a stand-in fails its test anyway.
impl RefUnwindSafe for WorkersShared {}

impl Role for WorkersShared {
    fn gate(&self) -> &Gate {
        &self.gate
    }

    fn log(&self) -> &StartLog {
        &self.log
    }

    fn on_faults(&self, faults: &Faults) {
        if faults.lapse_leases {
            lock(&self.state).lapse_leases(now());
        }
    }
}

impl Workers {
    /// `bind` starts the workers at one address.
    ///
    /// # Errors
    ///
    /// Fails if the address can't be bound.
    pub async fn bind(address: &str, specs: Vec<WorkerSpec>) -> io::Result<Self> {
        let log = StartLog::default();
        let workers = specs.iter().map(|s| (s.name.clone(), s.accelerators));
        let state = WorkersState::new(workers, log.clone());
        let shared = WorkersShared {
            gate: Gate::default(),
            log,
            state: Arc::new(Mutex::new(state)),
        };
        let router = admin::router(shared.clone(), draw);
        let server = Server::bind(address, router, ServerOptions::default()).await?;
        let end_checks = tokio::spawn(check_ends(shared.clone()));
        Ok(Self {
            shared,
            specs,
            server,
            end_checks,
        })
    }

    /// `address` is where all workers answer.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// `entries` are the workers' lines for the platform's host list.
    #[must_use]
    pub fn entries(&self) -> Vec<HostEntry> {
        let address = self.address();
        self.specs.iter().map(|spec| spec.entry(address)).collect()
    }

    /// `set_faults` replaces the faults of the workers named in `only`, or of all.
    pub fn set_faults(&self, faults: Faults) {
        self.shared.set_faults(faults);
    }

    /// `calls` counts calls by kind.
    #[must_use]
    pub fn calls(&self) -> BTreeMap<String, u64> {
        self.shared.gate.calls()
    }

    /// `log` shows what was started and ended.
    #[must_use]
    pub fn log(&self) -> &StartLog {
        &self.shared.log
    }

    /// `with_state` looks at or changes the workers behind the faults.
    pub fn with_state<R>(&self, run: impl FnOnce(&mut WorkersState) -> R) -> R {
        run(&mut lock(&self.shared.state))
    }

    /// `close` ends the workers.
    pub async fn close(self) {
        self.end_checks.abort();
        self.shared.gate.close();
        self.server.close().await;
    }
}

async fn check_ends(shared: WorkersShared) {
    loop {
        tokio::time::sleep(END_CHECK).await;
        lock(&shared.state).advance(now());
    }
}

#[derive(Deserialize, StateData, StaticResponseExtender)]
struct WorkerPath {
    name: String,
}

fn draw(route: &mut RouteBuilder<'_, WorkersShared>) {
    route
        .post("/v1/workers/:name/orders")
        .with_path_extractor::<WorkerPath>()
        .to_async_borrowing(order);
}

async fn order(state: &mut State) -> SimpleHandlerResult {
    let name = WorkerPath::take_from(state).name;
    let worker = WorkerName::new(&name);
    call(
        state,
        &name,
        "order",
        |shared: WorkersShared, order: WorkerOrder| async move {
            let faults = shared.gate.faults(worker.as_str(), "order");
            let reply = lock(&shared.state).order(now(), &worker, &order, &faults);
            let status = if reply.is_some() {
                StatusCode::OK
            } else {
                StatusCode::NOT_FOUND
            };
            Answer {
                status,
                body: reply,
            }
        },
    )
    .await
}
