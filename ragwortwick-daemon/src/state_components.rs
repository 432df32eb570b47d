//! The components behind the watches: table, host list, jobs and zone.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::Arc;

use ragwortwick_border::CustomerJobs;
use ragwortwick_core::{Epoch, HostName};
use ragwortwick_platform::{HostListOptions, HostListPoller, StoreClient, StoreOptions};
use tokio::sync::watch;

use crate::config::{TableDuty, TableInForce};
use crate::jobs::{Doubts, QueueLimit};
use crate::nonce::NonceGenerator;
use crate::zone::{ZoneParts, ZoneRuntime, ZoneStartError};
use crate::{
    Clock, ConfigHandle, JobsHandle, Lifecycle, Metrics, PeerClient, Settings, StateWatches,
    ZoneHandle,
};

/// `StateClients` holds the platform clients and the watches on their state, before the components start.
#[derive(Debug)]
pub(crate) struct StateClients {
    pub(crate) store: StoreClient,
    hosts: HostListPoller,
    in_force: TableInForce,
    waiting_jobs: watch::Sender<Arc<Vec<CustomerJobs>>>,
    owned_epoch: watch::Sender<Option<Epoch>>,
    watches: StateWatches,
}

impl StateClients {
    /// `open` creates the clients and the watches on their state.
    pub(crate) fn open(
        settings: &Settings,
        clock: Clock,
        lifecycle: watch::Receiver<Lifecycle>,
    ) -> Self {
        let seed = seed_of(&settings.host, clock.incarnation());
        let store = StoreClient::open(StoreOptions::new(&settings.store_address, seed));
        let hosts = HostListPoller::spawn(HostListOptions::new(&settings.hosts_address, seed));
        let in_force = TableInForce::default();
        let (owned_epoch, owned_epoch_watch) = watch::channel(None);
        let (waiting_jobs, waiting_jobs_watch) = watch::channel(Arc::default());
        let watches = StateWatches {
            table: in_force.subscribe(),
            hosts: hosts.hosts(),
            is_store_reachable: store.reachable(),
            owned_epoch: owned_epoch_watch,
            waiting_jobs: waiting_jobs_watch,
            lifecycle,
        };
        Self {
            store,
            hosts,
            in_force,
            waiting_jobs,
            owned_epoch,
            watches,
        }
    }

    /// `watches` returns the watches on the state.
    pub(crate) fn watches(&self) -> StateWatches {
        self.watches.clone()
    }
}

/// `StateComponents` holds the running components.
#[derive(Debug)]
pub(crate) struct StateComponents {
    hosts: HostListPoller,
    table: TableDuty,
    zone: ZoneRuntime,
    config: ConfigHandle,
    jobs: JobsHandle,
}

impl StateComponents {
    /// `spawn` starts the components for table, zone and jobs.
    pub(crate) fn spawn(
        settings: &Arc<Settings>,
        clock: Clock,
        metrics: &Metrics,
        peers: &PeerClient,
        clients: StateClients,
    ) -> Result<Self, ZoneStartError> {
        let StateClients {
            store,
            hosts,
            in_force,
            waiting_jobs,
            owned_epoch,
            watches,
        } = clients;
        let nonces = NonceGenerator::new(&settings.host, clock.incarnation());
        let config = ConfigHandle::open(
            in_force,
            store.paced(),
            peers.clone(),
            watches.hosts.clone(),
            clock,
            metrics.clone(),
        );
        let zone = ZoneRuntime::spawn(ZoneParts {
            settings: Arc::clone(settings),
            clock,
            store: store.clone(),
            nonces: nonces.clone(),
            peers: peers.clone(),
            metrics: metrics.clone(),
            table: watches.table,
            hosts: watches.hosts.clone(),
            lifecycle: watches.lifecycle,
            waiting_jobs,
            owned_epoch,
        })?;
        let table = TableDuty::spawn(&config, watches.owned_epoch);
        let jobs = JobsHandle {
            store,
            config: config.clone(),
            hosts: watches.hosts,
            peers: peers.clone(),
            zone: zone.handle(),
            clock,
            nonces,
            queue_limit: QueueLimit::open(watches.waiting_jobs),
            doubts: Doubts::default(),
        };
        Ok(Self {
            hosts,
            table,
            zone,
            config,
            jobs,
        })
    }

    /// `config` returns a handle to the table.
    pub(crate) fn config(&self) -> ConfigHandle {
        self.config.clone()
    }

    /// `jobs` returns a handle to the jobs.
    pub(crate) fn jobs(&self) -> JobsHandle {
        self.jobs.clone()
    }

    /// `zone` returns a handle to the zone.
    pub(crate) fn zone(&self) -> ZoneHandle {
        self.zone.handle()
    }

    /// `close` releases the zone and stops the components.
    pub(crate) async fn close(self) {
        self.zone.close().await;
        self.table.close().await;
        self.hosts.close().await;
    }
}

/// Derives a seed that differs between hosts, so that two hosts started in the same millisecond use
/// different jitter.
fn seed_of(host: &HostName, incarnation: u64) -> u64 {
    let mut hasher = DefaultHasher::new();
    host.hash(&mut hasher);
    incarnation.hash(&mut hasher);
    hasher.finish()
}
