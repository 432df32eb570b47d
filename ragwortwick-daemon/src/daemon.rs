//! The running entry host: starts every duty and stops them in order.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::sync::Arc;

use displaydoc::Display;
use ragwortwick_core::log_event;
use ragwortwick_http::{Server, ServerOptions};
use ragwortwick_platform::{HostListOptions, HostListPoller, StoreClient, StoreOptions};
use tokio::sync::watch;

use crate::config::TableDuty;
use crate::nonce::Nonces;
use crate::zone::{ZoneParts, ZoneRuntime};
use crate::{
    App, Clock, ConfigHandle, Feeds, JobsHandle, Lifecycle, Metrics, PeerClient, RequestsHandle,
    Settings, ZoneStartError, http,
};

/// `DaemonError` says why the process could not start.
#[derive(Debug, Display)]
pub enum DaemonError {
    /// cannot listen on {address}: {cause}
    Listen {
        /// The address asked for.
        address: String,
        /// What the system said.
        cause: std::io::Error,
    },
    /// cannot register the metrics: {0}
    Metrics(prometheus::Error),
    /// {0}
    Zone(ZoneStartError),
}

impl std::error::Error for DaemonError {}

/// `Daemon` is a running entry host.
#[derive(Debug)]
pub struct Daemon {
    app: App,
    server: Server,
    lifecycle: watch::Sender<Lifecycle>,
    state: StateDuties,
}

/// `StateDuties` are the duties behind the feeds: table, host list and zone.
#[derive(Debug)]
struct StateDuties {
    hosts: HostListPoller,
    table: TableDuty,
    zone: ZoneRuntime,
}

impl StateDuties {
    async fn close(self) {
        self.zone.close().await;
        self.table.close().await;
        self.hosts.close().await;
    }
}

impl Daemon {
    /// `spawn` starts all duties and returns once the host can be called.
    ///
    /// # Errors
    ///
    /// Fails if an address can't be bound.
    pub async fn spawn(settings: Settings) -> Result<Self, DaemonError> {
        let settings = Arc::new(settings);
        let clock = Clock::open();
        let metrics = Metrics::open().map_err(DaemonError::Metrics)?;
        let (lifecycle, lifecycle_feed) = watch::channel(Lifecycle::Running);
        let seed = clock.incarnation() ^ hash_of(settings.host.as_str());
        let store = StoreClient::open(StoreOptions::new(&settings.store_address, seed));
        metrics
            .state
            .follow_store(store.counts())
            .map_err(DaemonError::Metrics)?;
        let hosts = HostListPoller::spawn(HostListOptions::new(&settings.hosts_address, seed));
        let nonces = Nonces::new(&settings.host, clock.incarnation());
        let peers = PeerClient;
        let config = ConfigHandle::open(store.clone(), peers.clone(), clock, metrics.clone());
        let feeds = Feeds {
            table: config.feed(),
            hosts: hosts.hosts(),
            store_is_reachable: store.reachable(),
            lifecycle: lifecycle_feed,
        };
        let zone = ZoneRuntime::spawn(ZoneParts {
            settings: Arc::clone(&settings),
            clock,
            store: store.clone(),
            nonces: nonces.clone(),
            metrics: metrics.clone(),
            table: feeds.table.clone(),
            hosts: feeds.hosts.clone(),
            lifecycle: feeds.lifecycle.clone(),
        })
        .map_err(DaemonError::Zone)?;
        let table = TableDuty::spawn(&config, zone.owned());
        let jobs = JobsHandle {
            store,
            config: config.clone(),
            hosts: feeds.hosts.clone(),
            peers: peers.clone(),
            zone: zone.handle(),
            clock,
            nonces,
        };
        let app = App {
            settings: Arc::clone(&settings),
            clock,
            metrics,
            feeds,
            peers,
            requests: RequestsHandle,
            jobs,
            config,
            zone: zone.handle(),
        };
        let state = StateDuties { hosts, table, zone };
        let options = ServerOptions {
            max_connections: settings.max_connections,
            max_header_bytes: settings.max_header_bytes,
            ..ServerOptions::default()
        };
        let server = Server::bind(&settings.listen, http::router(app.clone()), options)
            .await
            .map_err(|cause| DaemonError::Listen {
                address: settings.listen.clone(),
                cause,
            })?;
        log_event!(
            Info,
            "listening",
            host = settings.host,
            address = server.address()
        );
        Ok(Self {
            app,
            server,
            lifecycle,
            state,
        })
    }

    /// `address` is where callers and operators reach this host.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// `close` is the planned stop: it cuts off no request and then ends every duty.
    pub async fn close(self) {
        self.lifecycle.send_replace(Lifecycle::Stopping);
        log_event!(Info, "stopping", host = self.app.settings.host);
        tokio::time::sleep(self.app.settings.drain_notice_ms.into()).await;
        self.server.close().await;
        self.state.close().await;
        log_event!(Info, "stopped", host = self.app.settings.host);
    }
}

/// A number that differs between hosts, so that two started in one millisecond share no jitter.
fn hash_of(text: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    text.hash(&mut hasher);
    hasher.finish()
}
