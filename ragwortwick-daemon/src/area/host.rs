//! A running entry host of an area: starts all tasks and stops them in order.

use displaydoc::Display;
use ragwortwick_adapter::StoreClient;
use ragwortwick_core::{DurationMs, log_event};
use tokio::sync::{mpsc, watch};
use tokio::task::JoinSet;

use super::election;
use super::fair_shares::StoreCallSlots;
use super::host_budget::{LARGE_RESPONSES, SMALL_RESPONSE_BYTES};
use super::job_api::{self, JobApi};
use super::job_memory::{JobMemoryLimit, JobMemoryReporter};
use super::job_writer::JobWriter;
use super::load_feed::SharedLoadPicture;
use super::log_rate_limiter::LogRateLimiter;
use super::metrics::{self, AreaMetrics};
use super::operator_feed::OperatorFeed;
use super::outage::OutagePolicy;
use super::readiness::{self, Readiness};
use super::replica::JobReplica;
use super::replica_feed::{CoordinatorKeyState, ReplicaFeed};
use super::servers::{HostLimits, Routers, Servers};
use super::settings::{AreaSettings, seconds_to_ms};
use super::store_health::StoreHealth;
use super::term::TermContext;
use super::tombstones::TombstoneLeases;
use crate::Clock;

/// How long a stopping host accepts new connections: the load balancer probes once per second and opens
/// none after two probes that report not ready.
const DRAIN_MS: DurationMs = DurationMs(3_000);

/// Part of the grace period that is reserved for closing connections and ending the process.
const STOP_RESERVE_MS: DurationMs = DurationMs(700);

/// `AreaHostError` is the reason why the host could not start.
#[derive(Debug, Display)]
pub enum AreaHostError {
    /// cannot listen on {address}: {cause}
    Listen {
        /// The configured address.
        address: String,
        /// The system's error.
        cause: std::io::Error,
    },
    /// cannot register the metrics: {0}
    Metrics(prometheus::Error),
}

impl std::error::Error for AreaHostError {}

/// `AreaHost` is a running entry host.
#[derive(Debug)]
pub struct AreaHost {
    settings: AreaSettings,
    servers: Servers,
    stopping: watch::Sender<bool>,
    feeds: JoinSet<()>,
    election: JoinSet<()>,
}

impl AreaHost {
    /// `spawn` starts all tasks and returns once the host accepts requests.
    ///
    /// # Errors
    ///
    /// Fails if an address can't be bound.
    pub async fn spawn(settings: AreaSettings) -> Result<Self, AreaHostError> {
        let clock = Clock::open();
        let host_limits = HostLimits::open(&settings);
        let job_memory = JobMemoryLimit::new(host_limits.budget.job_bytes);
        let store = StoreClient::open(&settings.store_address);
        let health = StoreHealth::open(clock);
        let replica = JobReplica::default();
        let usage = host_limits.usage_sources(&store, &replica);
        let metrics = AreaMetrics::open(usage).map_err(AreaHostError::Metrics)?;
        let (stopping, stopping_receiver) = watch::channel(false);
        let (key_sender, coordinator_key) = watch::channel(CoordinatorKeyState::Unknown);
        let (subscriptions, subscription_requests) = mpsc::channel(1);

        let mut feeds = JoinSet::new();
        let (operator_feed, intent) =
            OperatorFeed::open(store.clone(), health.clone(), clock, metrics.clone());
        feeds.spawn(operator_feed.run());
        let load = SharedLoadPicture::default();
        let replica_feed = ReplicaFeed {
            store: store.clone(),
            health: health.clone(),
            replica: replica.clone(),
            coordinator_key: key_sender,
            load: load.clone(),
            job_memory: job_memory.clone(),
            clock,
            metrics: metrics.clone(),
        };
        feeds.spawn(replica_feed.run(subscription_requests));
        let limit = job_memory.clone();
        let reporter =
            JobMemoryReporter::open(&store, health.clone(), replica.clone(), limit, clock);
        feeds.spawn(reporter.run());

        let mut election = JoinSet::new();
        let context = TermContext {
            store: store.clone(),
            health: health.clone(),
            clock,
            limits: settings.limits(),
            advice_address: settings.advice_address.clone(),
            desired: intent.desired.clone(),
            evacuations: intent.evacuations,
            subscriptions,
            coordinator_key,
            stopping: stopping_receiver.clone(),
            replica: replica.clone(),
            metrics: metrics.clone(),
        };
        election.spawn(election::run(
            context,
            settings.host.clone(),
            settings.cpu_share,
        ));

        let writer = JobWriter {
            store: store.for_clients(LARGE_RESPONSES, SMALL_RESPONSE_BYTES),
            health: health.clone(),
            replica: replica.clone(),
            tombstones: TombstoneLeases::open(store, health.clone(), clock),
            clock,
            outage_policy: OutagePolicy {
                hold_share: settings.hold_share,
            },
        };
        let api = JobApi {
            clock,
            desired: intent.desired.clone(),
            age: intent.age.clone(),
            writer,
            load: settings.sheds_load.then_some(load),
            store_calls: StoreCallSlots::new(host_limits.budget.store_calls),
            job_memory,
            max_record_bytes: settings.store_value_bytes,
            stopping: stopping_receiver.clone(),
            metrics: metrics.clone(),
            refusal_log_limiter: LogRateLimiter::new("call_refused"),
            limit_log_limiter: LogRateLimiter::new("limit_reached"),
        };
        let readiness = Readiness {
            clock,
            desired: intent.desired,
            age: intent.age,
            replica,
            health,
            stopping: stopping_receiver,
        };
        let routers = Routers {
            clients: job_api::router(api),
            probes: readiness::router(readiness),
            metrics: metrics::router(metrics),
        };
        let servers = Servers::bind(&settings, &host_limits, routers).await?;
        log_listening(&settings, &servers);
        Ok(Self {
            settings,
            servers,
            stopping,
            feeds,
            election,
        })
    }

    /// `address` returns the address of the job API.
    #[must_use]
    pub fn address(&self) -> std::net::SocketAddr {
        self.servers.clients.address()
    }

    /// `ready_address` returns the address of the readiness probe.
    #[must_use]
    pub fn ready_address(&self) -> std::net::SocketAddr {
        self.servers.probes.address()
    }

    /// `close` stops the host as planned: it releases the coordinator key at once, serves clients until the
    /// load balancer sends no more requests, and completes every request in progress.
    pub async fn close(mut self) {
        log_event!(Info, "stopping", host = self.settings.host);
        self.stopping.send_replace(true);
        while self.election.join_next().await.is_some() {}
        tokio::time::sleep(DRAIN_MS.into()).await;
        let remaining_ms = seconds_to_ms(self.settings.stop_grace_s)
            .0
            .saturating_sub(DRAIN_MS.0 + STOP_RESERVE_MS.0);
        let closing = tokio::time::timeout(
            DurationMs(remaining_ms).into(),
            self.servers.clients.close(),
        )
        .await;
        self.feeds.shutdown().await;
        log_event!(
            Info,
            "stopped",
            host = self.settings.host,
            is_complete = closing.is_ok()
        );
    }
}

fn log_listening(settings: &AreaSettings, servers: &Servers) {
    let metrics_address = servers
        .metrics
        .as_ref()
        .map(|server| server.address().to_string());
    log_event!(
        Info,
        "listening",
        host = settings.host,
        zone = settings.zone,
        address = servers.clients.address(),
        ready_address = servers.probes.address(),
        metrics_address = metrics_address.unwrap_or_default()
    );
}
