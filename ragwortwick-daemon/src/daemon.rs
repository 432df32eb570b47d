//! The running entry host: starts every duty and stops them in order.

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
    /// cannot start a duty: {0}
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
        let sources = StateClients::open(&settings, clock, lifecycle_feed);
        let feeds = sources.feeds();
        metrics
            .state
            .follow_store(sources.store.counts())
            .map_err(DaemonError::Metrics)?;
        let peers = PeerClient::open(&settings, clock, feeds.clone());
        let state = StateComponents::spawn(&settings, clock, &metrics, &peers, sources)
            .map_err(DaemonError::Zone)?;
        let requests = Requests::open(
            &settings,
            clock,
            metrics.clone(),
            feeds.clone(),
            peers.clone(),
            StoreClaims::open(&settings.store_address, clock),
        )
        .map_err(DaemonError::Thread)?;
        let app = App {
            settings: Arc::clone(&settings),
            clock,
            metrics,
            watches: feeds,
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

    /// `address` is where callers and operators reach this host.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// `peer_address` is where other entry hosts reach this host.
    #[must_use]
    pub fn peer_address(&self) -> SocketAddr {
        self.peer_server.address()
    }

    /// `close` is the planned stop: it cuts off no request and then ends every duty.
    pub async fn close(self) {
        self.lifecycle.send_replace(Lifecycle::Stopping);
        log_event!(Info, "stopping", host = self.app.settings.host);
        tokio::time::sleep(self.app.settings.drain_notice_ms.into()).await;
        // Requests that peers handed over end with the callers' own; only then the duty may go.
        self.server.close().await;
        self.peer_server.close().await;
        self.requests.close();
        self.state.close().await;
        log_event!(Info, "stopped", host = self.app.settings.host);
    }
}

async fn bind_peers(address: &str, app: &App) -> Result<PeerServer, DaemonError> {
    let failed = |cause| DaemonError::Listen {
        address: address.to_owned(),
        cause,
    };
    let listener = TcpListener::bind(address).await.map_err(failed)?;
    PeerServer::spawn(listener, app.clone()).map_err(failed)
}
