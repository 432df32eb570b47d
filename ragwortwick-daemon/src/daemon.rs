//! The running entry host: starts all components and stops them in order.

use std::net::SocketAddr;
use std::sync::Arc;

use displaydoc::Display;
use ragwortwick_core::log_event;
use ragwortwick_http::{Server, ServerOptions};
use tokio::net::TcpListener;
use tokio::sync::watch;

use crate::peers::PeerServer;
use crate::state_components::{StateClients, StateComponents};
use crate::{
    App, Clock, Lifecycle, Metrics, PeerClient, Requests, Settings, StoreClaims, ZoneStartError,
    http,
};

/// `DaemonError` is why the process could not start.
#[derive(Debug, Display)]
pub enum DaemonError {
    /// cannot listen on {address}: {cause}
    Listen {
        /// Requested address.
        address: String,
        /// Error from the system.
        cause: std::io::Error,
    },
    /// cannot register the metrics: {0}
    Metrics(prometheus::Error),
    /// cannot start a thread: {0}
    Thread(std::io::Error),
    /// {0}
    Zone(ZoneStartError),
}

impl std::error::Error for DaemonError {}

/// `Daemon` is a running entry host.
#[derive(Debug)]
pub struct Daemon {
    app: App,
    server: Server,
    peer_server: PeerServer,
    requests: Requests,
    lifecycle: watch::Sender<Lifecycle>,
    state: StateComponents,
}

impl Daemon {
    /// `spawn` starts all components and returns once the host accepts calls.
    ///
    /// # Errors
    ///
    /// Fails if an address cannot be bound or a component cannot be started.
    pub async fn spawn(settings: Settings) -> Result<Self, DaemonError> {
        let settings = Arc::new(settings);
        let clock = Clock::open();
        let metrics = Metrics::open().map_err(DaemonError::Metrics)?;
        let (lifecycle, lifecycle_watch) = watch::channel(Lifecycle::Running);
        let clients = StateClients::open(&settings, clock, lifecycle_watch);
        let watches = clients.watches();
        metrics
            .state
            .follow_store(clients.store.counts())
            .map_err(DaemonError::Metrics)?;
        let peers = PeerClient::open(&settings, clock, watches.clone());
        let state = StateComponents::spawn(&settings, clock, &metrics, &peers, clients)
            .map_err(DaemonError::Zone)?;
        let requests = Requests::open(
            &settings,
            clock,
            metrics.clone(),
            watches.clone(),
            peers.clone(),
            StoreClaims::open(&settings.store_address, clock),
        )
        .map_err(DaemonError::Thread)?;
        let app = App {
            settings: Arc::clone(&settings),
            clock,
            metrics,
            watches,
            peers,
            requests: requests.handle(),
            jobs: state.jobs(),
            config: state.config(),
            zone: state.zone(),
        };
        let peer_server = bind_peers(&settings.peer_listen, &app).await?;
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
            address = server.address(),
            peer_address = peer_server.address()
        );
        Ok(Self {
            app,
            server,
            peer_server,
            requests,
            lifecycle,
            state,
        })
    }

    /// `address` is the address for callers and operators.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// `peer_address` is the address for other entry hosts.
    #[must_use]
    pub fn peer_address(&self) -> SocketAddr {
        self.peer_server.address()
    }

    /// `close` performs a planned stop: it completes all requests and then stops all components.
    pub async fn close(self) {
        self.lifecycle.send_replace(Lifecycle::Stopping);
        log_event!(Info, "stopping", host = self.app.settings.host);
        tokio::time::sleep(self.app.settings.drain_notice_ms.into()).await;
        // Requests from callers and from peers have to end before the component that runs them.
        self.server.close().await;
        self.peer_server.close().await;
        self.requests.close();
        self.state.close().await;
        log_event!(Info, "stopped", host = self.app.settings.host);
    }
}

async fn bind_peers(address: &str, app: &App) -> Result<PeerServer, DaemonError> {
    let listen_error = |cause| DaemonError::Listen {
        address: address.to_owned(),
        cause,
    };
    let listener = TcpListener::bind(address).await.map_err(listen_error)?;
    PeerServer::spawn(listener, app.clone()).map_err(listen_error)
}
