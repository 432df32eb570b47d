//! A fleet for tests: stand-ins in this process and entry hosts as child processes.

mod caller;
mod child;
mod paths;
mod sample;
mod waiting;

use std::io;
use std::path::PathBuf;

use displaydoc::Display;
use ragwortwick_border::{HostEntry, StoreGet};
use ragwortwick_core::{HostName, RackName, WorkerName, ZoneName, common};
use serde_json::{Map, Value};
use tempfile::TempDir;

pub use self::caller::Caller;
pub use self::child::{Daemon, DaemonOptions};
pub use self::paths::{PathBytes, ZonePaths};
pub use self::sample::{sample_accept, sample_answer, sample_job, sample_request, sample_table};
pub use self::waiting::wait_until;
use crate::{Runners, RunnersOptions, Store, WorkerSpec, Workers, now};

/// Workers of one rack, as in the platform of today.
const WORKERS_PER_RACK: usize = 8;

/// Accelerators of one worker, as in the platform of today.
const ACCELERATORS: u32 = 8;

/// `FleetError` says why the fleet could not be started.
#[derive(Debug, Display)]
pub enum FleetError {
    /// {0}
    Io(io::Error),
    /// the process ended or stayed silent before {0}
    Ended(String),
}

impl std::error::Error for FleetError {}

impl From<io::Error> for FleetError {
    fn from(error: io::Error) -> Self {
        Self::Io(error)
    }
}

/// `FleetOptions` sets the size of a fleet.
#[common]
pub struct FleetOptions {
    /// Path of the `ragwortwickd` binary.
    pub binary: PathBuf,
    /// Zones; hosts, workers and runners are dealt out to them in turn.
    pub zones: Vec<ZoneName>,
    /// Entry hosts in all.
    pub hosts: usize,
    /// Workers in all.
    pub workers: usize,
    /// Runners in all.
    pub runners: usize,
    /// Slots of each runner.
    pub slots: u32,
    /// Whether the paths between zones and to the platform go through relays.
    pub has_relays: bool,
    /// Further settings of every entry host.
    pub settings: Map<String, Value>,
}

impl FleetOptions {
    /// `two_zones` is the smallest fleet with everything in it: 3 hosts, 8 workers, 4 runners.
    #[must_use]
    pub fn two_zones(binary: impl Into<PathBuf>) -> Self {
        Self {
            binary: binary.into(),
            zones: vec![ZoneName::new("east"), ZoneName::new("west")],
            hosts: 3,
            workers: 8,
            runners: 4,
            slots: 10,
            has_relays: false,
            settings: Map::new(),
        }
    }
}

/// `Fleet` is a running fleet; dropping it kills its entry hosts.
#[derive(Debug)]
pub struct Fleet {
    options: FleetOptions,
    directory: TempDir,
    /// The platform's store and host list.
    pub store: Store,
    /// All workers.
    pub workers: Workers,
    /// All runners.
    pub runners: Runners,
    /// The entry hosts in the order of their names.
    pub daemons: Vec<Daemon>,
    /// The paths that can be cut, if the options ask for relays.
    pub paths: Option<ZonePaths>,
    /// Calls to them.
    pub caller: Caller,
}

impl Fleet {
    /// `open` starts the stand-ins and the entry hosts and lists all of them.
    ///
    /// # Errors
    ///
    /// Fails if a port or process can't be had.
    pub async fn open(options: FleetOptions) -> Result<Self, FleetError> {
        let store = Store::bind("127.0.0.1:0").await?;
        let workers = Workers::bind("127.0.0.1:0", worker_specs(&options)).await?;
        let runners = RunnersOptions {
            zones: options.zones.clone(),
            count: options.runners,
            slots: options.slots,
        };
        let runners = Runners::bind("127.0.0.1", &runners).await?;
        let paths = if options.has_relays {
            Some(ZonePaths::open(&options.zones, store.address()).await?)
        } else {
            None
        };
        let mut fleet = Self {
            directory: tempfile::tempdir()?,
            store,
            workers,
            runners,
            daemons: Vec::new(),
            paths,
            caller: Caller::open(),
            options,
        };
        for worker in fleet.workers.entries() {
            fleet.put_host(&worker).await?;
        }
        for runner in &fleet.runners.all {
            fleet.put_host(&runner.entry()).await?;
        }
        for index in 0..fleet.options.hosts {
            let daemon = fleet.spawn_daemon(fleet.daemon_options(index)).await?;
            fleet.daemons.push(daemon);
        }
        Ok(fleet)
    }

    /// `daemon_options` are the options of the entry host with this number.
    #[must_use]
    pub fn daemon_options(&self, index: usize) -> DaemonOptions {
        let zones = &self.options.zones;
        let zone = zones[index % zones.len()].clone();
        let direct = || self.store.address().to_string();
        let paths = self.paths.as_ref();
        DaemonOptions {
            host: HostName::new(format!("entry-{index}")),
            store_address: paths.map_or_else(direct, |paths| paths.store_address(&zone)),
            hosts_address: paths.map_or_else(direct, |paths| paths.hosts_address(&zone)),
            zone,
            settings: self.options.settings.clone(),
        }
    }

    /// `spawn_daemon` starts one more entry host and lists it.
    ///
    /// # Errors
    ///
    /// Fails if the process can't be started.
    pub async fn spawn_daemon(&self, options: DaemonOptions) -> Result<Daemon, FleetError> {
        let daemon = Daemon::spawn(&self.options.binary, self.directory.path(), options).await?;
        self.put_host(&daemon.entry()).await?;
        Ok(daemon)
    }

    /// `put_host` puts a host into the platform's list, as every zone sees it.
    ///
    /// # Errors
    ///
    /// Fails if a relay finds no port.
    pub async fn put_host(&self, host: &HostEntry) -> io::Result<()> {
        if let Some(paths) = &self.paths {
            return paths.put_host(host).await;
        }
        self.store.put_host(host.clone());
        Ok(())
    }

    /// `replace_daemon` starts an empty entry host in the place of one that was killed.
    ///
    /// # Errors
    ///
    /// Fails if the process can't be started.
    pub async fn replace_daemon(&mut self, index: usize) -> Result<(), FleetError> {
        let options = self.daemons[index].options().clone();
        self.daemons[index].kill()?;
        self.daemons[index] = self.spawn_daemon(options).await?;
        Ok(())
    }

    /// `kill_all` kills every entry host before any of them is waited for.
    ///
    /// # Errors
    ///
    /// Fails if a process can't be waited for.
    pub fn kill_all(&mut self) -> io::Result<()> {
        // A frozen host does nothing any more, so none of them outlives another.
        for daemon in &self.daemons {
            daemon.freeze()?;
        }
        self.daemons.iter_mut().try_for_each(Daemon::kill)
    }

    /// `owner` is the number of the entry host that holds the zone's lease in the store.
    #[must_use]
    pub fn owner(&self, zone: &ZoneName) -> Option<usize> {
        let key = format!("zones/{zone}/owner");
        let reply = self
            .store
            .with_state(|state| state.get(now(), &StoreGet { key }));
        let held: Map<String, Value> = serde_json::from_str(&reply.entry?.value).ok()?;
        self.daemons
            .iter()
            .position(|daemon| held.values().any(|v| *v == *daemon.host().as_str()))
    }

    /// `zones` are the fleet's zones.
    #[must_use]
    pub fn zones(&self) -> &[ZoneName] {
        &self.options.zones
    }

    /// `address` is where the entry host with this number is reached.
    #[must_use]
    pub fn address(&self, index: usize) -> &str {
        self.daemons[index].address()
    }

    /// `close` kills the entry hosts and ends the stand-ins.
    pub async fn close(self) {
        drop(self.daemons);
        self.runners.close().await;
        self.workers.close().await;
        if let Some(paths) = self.paths {
            paths.close().await;
        }
        self.store.close().await;
    }
}

fn worker_specs(options: &FleetOptions) -> Vec<WorkerSpec> {
    let zones = options.zones.len();
    (0..options.workers)
        .map(|index| WorkerSpec {
            name: WorkerName::new(format!("worker-{index}")),
            rack: RackName::new(format!(
                "rack-{}-{}",
                index % zones,
                index / zones / WORKERS_PER_RACK
            )),
            zone: options.zones[index % zones].clone(),
            accelerators: ACCELERATORS,
        })
        .collect()
}
