//! A fleet for tests: stand-ins in this process and entry hosts as child processes.

mod caller;
mod child;

use std::io;
use std::path::PathBuf;

use displaydoc::Display;
use ragwortwick_core::{HostName, RackName, WorkerName, ZoneName, common};
use serde_json::{Map, Value};
use tempfile::TempDir;

pub use self::caller::Caller;
pub use self::child::{Daemon, DaemonOptions};
use crate::{Runners, RunnersOptions, Store, WorkerSpec, Workers};

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
        workers
            .entries()
            .into_iter()
            .for_each(|e| store.put_host(e));
        for runner in &runners.all {
            store.put_host(runner.entry());
        }
        let mut fleet = Self {
            directory: tempfile::tempdir()?,
            store,
            workers,
            runners,
            daemons: Vec::new(),
            caller: Caller::open(),
            options,
        };
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
        DaemonOptions {
            host: HostName::new(format!("entry-{index}")),
            zone: zones[index % zones.len()].clone(),
            store_address: self.store.address().to_string(),
            hosts_address: self.store.address().to_string(),
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
        self.store.put_host(daemon.entry());
        Ok(daemon)
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

    /// `close` kills the entry hosts and ends the stand-ins.
    pub async fn close(self) {
        drop(self.daemons);
        self.runners.close().await;
        self.workers.close().await;
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
