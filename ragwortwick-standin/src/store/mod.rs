//! The platform's store and host list.

mod routes;
mod state;

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::panic::RefUnwindSafe;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use gotham::state::StateData;
use ragwortwick_border::HostEntry;
use ragwortwick_core::HostName;
use ragwortwick_http::{Server, ServerOptions};
use tokio::sync::watch;
use tokio::task::JoinHandle;

pub use self::state::StoreState;
use crate::admin::{self, Role};
use crate::faults::{Faults, Gate, lock};
use crate::now;
use crate::start_log::StartLog;

/// How often lapsed leases are looked for; far below any lease of a test.
const LEASE_CHECK: Duration = Duration::from_millis(20);

/// `Store` is a running store.
#[derive(Debug)]
pub struct Store {
    shared: StoreShared,
    server: Server,
    lease_checks: JoinHandle<()>,
}

/// `StoreShared` is what the handlers of the store reach.
#[derive(Clone, Debug, StateData)]
pub(crate) struct StoreShared {
    gate: Gate,
    log: StartLog,
    state: Arc<Mutex<StoreState>>,
    changed: watch::Sender<u64>,
}

// gotham asks for this mark; a panic of a stand-in fails its test anyway.
impl RefUnwindSafe for StoreShared {}

impl Role for StoreShared {
    fn gate(&self) -> &Gate {
        &self.gate
    }

    fn log(&self) -> &StartLog {
        &self.log
    }

    fn on_faults(&self, faults: &Faults) {
        if faults.lapse_leases {
            lock(&self.state).lapse_all();
        }
        self.wake_watches();
    }
}

impl StoreShared {
    /// `with` runs a change or read of the content and wakes watches if a key changed.
    fn with<R>(&self, run: impl FnOnce(&mut StoreState) -> R) -> R {
        let mut state = lock(&self.state);
        let before = state.revision();
        let result = run(&mut state);
        let is_changed = state.revision() != before;
        drop(state);
        if is_changed {
            self.wake_watches();
        }
        result
    }

    fn wake_watches(&self) {
        self.changed.send_modify(|count| *count += 1);
    }
}

impl Store {
    /// `bind` starts an empty store on the address.
    ///
    /// # Errors
    ///
    /// Fails if the address can't be bound.
    pub async fn bind(address: &str) -> io::Result<Self> {
        Self::bind_with(address, StoreState::default()).await
    }

    /// `bind_with` starts a store with the given content, as after its own restart.
    ///
    /// # Errors
    ///
    /// Fails if the address can't be bound.
    pub async fn bind_with(address: &str, state: StoreState) -> io::Result<Self> {
        let shared = StoreShared {
            gate: Gate::default(),
            log: StartLog::default(),
            state: Arc::new(Mutex::new(state)),
            changed: watch::Sender::new(0),
        };
        let router = admin::router(shared.clone(), routes::draw);
        let server = Server::bind(address, router, ServerOptions::default()).await?;
        let lease_checks = tokio::spawn(check_leases(shared.clone()));
        Ok(Self {
            shared,
            server,
            lease_checks,
        })
    }

    /// `address` is where the store and its host list answer.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// `set_faults` replaces the faults in force.
    pub fn set_faults(&self, faults: Faults) {
        self.shared.set_faults(faults);
    }

    /// `calls` counts calls by kind.
    #[must_use]
    pub fn calls(&self) -> BTreeMap<String, u64> {
        self.shared.gate.calls()
    }

    /// `with_state` looks at or changes the content behind the faults.
    pub fn with_state<R>(&self, run: impl FnOnce(&mut StoreState) -> R) -> R {
        self.shared.with(run)
    }

    /// `put_host` adds a host to the host list or replaces it.
    pub fn put_host(&self, host: HostEntry) {
        self.shared.with(|state| state.put_host(now(), host));
    }

    /// `remove_host` takes a host off the host list.
    pub fn remove_host(&self, name: &HostName) {
        self.shared.with(|state| state.remove_host(now(), name));
    }

    /// `close` ends the store and gives its content.
    pub async fn close(self) -> StoreState {
        self.lease_checks.abort();
        // Waiting watches would hold the close up; with every call down they end at once.
        self.shared.set_faults(Faults {
            down: true,
            ..Faults::default()
        });
        self.shared.gate.close();
        self.server.close().await;
        lock(&self.shared.state).clone()
    }
}

async fn check_leases(shared: StoreShared) {
    loop {
        tokio::time::sleep(LEASE_CHECK).await;
        shared.with(|state| state.advance(now()));
    }
}
