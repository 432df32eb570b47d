//! The servers of an entry host, which share one budget.

use std::sync::Arc;

use gotham::router::Router;
use ragwortwick_adapter::StoreClient;
use ragwortwick_core::log_event;
use ragwortwick_http::{MemoryBudget, Server, ServerCounts, ServerOptions};

use super::host::AreaHostError;
use super::host_budget::{
    HostBudget, LISTEN_QUEUE_LENGTH, METRICS_CONNECTIONS, PROBE_CONNECTIONS, SOCKET_BUFFER_BYTES,
};
use super::metrics::UsageSources;
use super::replica::JobReplica;
use super::settings::AreaSettings;

/// `HostLimits` is the budget of a host, with what is used of it.
#[derive(Clone, Debug)]
pub(super) struct HostLimits {
    pub(super) budget: HostBudget,
    pub(super) request_memory: MemoryBudget,
    pub(super) server_counts: Arc<ServerCounts>,
}

impl HostLimits {
    pub(super) fn open(settings: &AreaSettings) -> Self {
        let budget = HostBudget::divide(settings.memory_mb, settings.max_fds);
        log_event!(
            Info,
            "budget",
            client_connections = budget.client_connections,
            store_calls = budget.store_calls,
            request_bytes = budget.request_bytes,
            job_bytes = budget.job_bytes
        );
        Self {
            budget,
            request_memory: MemoryBudget::new(budget.request_bytes),
            server_counts: Arc::default(),
        }
    }

    /// What the metrics show of the host's use.
    pub(super) fn usage_sources(&self, store: &StoreClient, replica: &JobReplica) -> UsageSources {
        UsageSources {
            store_calls: store.call_counts(),
            server: Arc::clone(&self.server_counts),
            request_memory: self.request_memory.clone(),
            replica: replica.clone(),
        }
    }

    fn options(&self, max_connections: usize) -> ServerOptions {
        ServerOptions {
            max_connections,
            listen_queue_length: LISTEN_QUEUE_LENGTH,
            socket_buffer_bytes: Some(SOCKET_BUFFER_BYTES),
            memory: self.request_memory.clone(),
            counts: Arc::clone(&self.server_counts),
            ..ServerOptions::default()
        }
    }
}

/// `Routers` are the handlers of the servers.
pub(super) struct Routers {
    pub(super) clients: Router,
    pub(super) probes: Router,
    pub(super) metrics: Router,
}

/// `Servers` are the running servers of a host.
#[derive(Debug)]
pub(super) struct Servers {
    pub(super) clients: Server,
    pub(super) probes: Server,
    /// None if the settings name no address for it.
    pub(super) metrics: Option<Server>,
}

impl Servers {
    /// Binds the addresses of the settings.
    ///
    /// # Errors
    ///
    /// Fails if an address can't be bound.
    pub(super) async fn bind(
        settings: &AreaSettings,
        limits: &HostLimits,
        routers: Routers,
    ) -> Result<Self, AreaHostError> {
        let options = limits.options(PROBE_CONNECTIONS);
        let probes = bind(&settings.ready_listen, routers.probes, options).await?;
        let metrics = match &settings.metrics_listen {
            Some(address) => {
                let options = limits.options(METRICS_CONNECTIONS);
                Some(bind(address, routers.metrics, options).await?)
            }
            None => None,
        };
        let options = limits.options(limits.budget.client_connections);
        let clients = bind(&settings.listen, routers.clients, options).await?;
        Ok(Self {
            clients,
            probes,
            metrics,
        })
    }
}

async fn bind(
    address: &str,
    router: Router,
    options: ServerOptions,
) -> Result<Server, AreaHostError> {
    Server::bind(address, router, options)
        .await
        .map_err(|cause| AreaHostError::Listen {
            address: address.to_owned(),
            cause,
        })
}
