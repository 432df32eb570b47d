//! A `ragwortwickd` child process: its settings file, its log lines and signals to it.

use std::io::{self, BufRead, BufReader};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::Duration;

use ragwortwick_border::{HostEntry, HostKind, HostState};
use ragwortwick_core::{HostName, ZoneName, common};
use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Map, Value, json};
use tokio::sync::watch;
use tokio::time::timeout;

use super::FleetError;
use crate::faults::lock;

/// Longest wait for a line of the log; only a hung process reaches it.
const LINE_LIMIT: Duration = Duration::from_secs(30);

/// `DaemonOptions` describes one entry host.
#[common]
pub struct DaemonOptions {
    /// Its name.
    pub host: HostName,
    /// Its zone.
    pub zone: ZoneName,
    /// ip:port of the store.
    pub store_address: String,
    /// ip:port of the host list.
    pub hosts_address: String,
    /// Further settings, which replace the generated ones.
    pub settings: Map<String, Value>,
}

/// `Daemon` is a running entry host process; dropping it kills the process.
#[derive(Debug)]
pub struct Daemon {
    options: DaemonOptions,
    child: Option<Child>,
    lines: watch::Receiver<Vec<String>>,
    reading: Arc<Reading>,
    address: String,
    peer_address: Option<String>,
}

impl Daemon {
    /// `spawn` writes the settings file, starts the binary and waits until it listens.
    ///
    /// # Errors
    ///
    /// Fails if the process can't be started or ends before it listens.
    pub async fn spawn(
        binary: &Path,
        directory: &Path,
        options: DaemonOptions,
    ) -> Result<Self, FleetError> {
        let path = write_settings(directory, &options)?;
        let mut command = Command::new(binary);
        command.arg("--settings").arg(&path);
        Self::start(command, options).await
    }

    /// `spawn_area` starts the entry host of an area, by the name and store of the options.
    ///
    /// # Errors
    ///
    /// As `spawn`.
    pub async fn spawn_area(
        binary: &Path,
        directory: &Path,
        options: DaemonOptions,
    ) -> Result<Self, FleetError> {
        let path = write_area_settings(directory, &options)?;
        let mut command = Command::new(binary);
        command.arg("--area").arg("--settings").arg(&path);
        Self::start(command, options).await
    }

    async fn start(mut command: Command, options: DaemonOptions) -> Result<Self, FleetError> {
        let mut child = command
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .spawn()?;
        let reading = Arc::new(Reading::default());
        let lines = follow_lines(&mut child, Arc::clone(&reading));
        let mut daemon = Self {
            options,
            child: Some(child),
            lines,
            reading,
            address: String::new(),
            peer_address: None,
        };
        let line = daemon.wait_for_event("listening").await?;
        daemon.address = field(&line, "address").unwrap_or_default();
        daemon.peer_address = field(&line, "peer_address");
        Ok(daemon)
    }

    /// `address` is where callers and operators reach it.
    #[must_use]
    pub fn address(&self) -> &str {
        &self.address
    }

    /// `ready_address` is where the balancer asks an area's host.
    ///
    /// # Errors
    ///
    /// Fails for a process that is no area's host.
    pub async fn ready_address(&self) -> Result<String, FleetError> {
        let line = self.wait_for_event("listening").await?;
        field(&line, "ready_address").ok_or(FleetError::Ended("ready_address".to_owned()))
    }

    /// `metrics_address` is where an area's host shows its metrics.
    ///
    /// # Errors
    ///
    /// Fails for a process that is no area's host.
    pub async fn metrics_address(&self) -> Result<String, FleetError> {
        let line = self.wait_for_event("listening").await?;
        field(&line, "metrics_address").ok_or(FleetError::Ended("metrics_address".to_owned()))
    }

    /// `host` is its name.
    #[must_use]
    pub fn host(&self) -> &HostName {
        &self.options.host
    }

    /// `zone` is its zone.
    #[must_use]
    pub fn zone(&self) -> &ZoneName {
        &self.options.zone
    }

    /// `options` are what it was started with.
    #[must_use]
    pub fn options(&self) -> &DaemonOptions {
        &self.options
    }

    /// `pid` is its process id.
    #[must_use]
    pub fn pid(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// `entry` is its line in the platform's host list.
    #[must_use]
    pub fn entry(&self) -> HostEntry {
        HostEntry {
            name: self.options.host.clone(),
            kind: HostKind::Entry,
            zone: self.options.zone.clone(),
            address: self.address.clone(),
            peer_address: self.peer_address.clone(),
            rack: None,
            accelerators: 0,
            slots: 0,
            state: HostState::Live,
        }
    }

    /// `set_reading` stops reading its log, so that its pipe fills up, or goes on.
    pub fn set_reading(&self, is_reading: bool) {
        *lock(&self.reading.is_paused) = !is_reading;
        self.reading.changed.notify_all();
    }

    /// `lines` copies its log so far.
    #[must_use]
    pub fn lines(&self) -> Vec<String> {
        self.lines.borrow().clone()
    }

    /// `wait_for_event` waits until the log has the event and gives its first line.
    ///
    /// # Errors
    ///
    /// Fails if the process ends first or nothing comes for long.
    pub async fn wait_for_event(&self, event: &str) -> Result<String, FleetError> {
        let word = format!("event={event}");
        let find = |lines: &Vec<String>| {
            lines
                .iter()
                .find(|line| line.split_whitespace().any(|w| w == word))
                .cloned()
        };
        let mut lines = self.lines.clone();
        let found = timeout(LINE_LIMIT, lines.wait_for(|lines| find(lines).is_some())).await;
        match found {
            Ok(Ok(lines)) => find(&lines).ok_or(FleetError::Ended(word)),
            _ => Err(FleetError::Ended(word)),
        }
    }

    /// `freeze` stops the process without ending it, as a long pause would.
    ///
    /// # Errors
    ///
    /// Fails if there is no such process.
    pub fn freeze(&self) -> io::Result<()> {
        self.signal(Signal::STOP)
    }

    /// `wake` lets a frozen process go on.
    ///
    /// # Errors
    ///
    /// Fails if there is no such process.
    pub fn wake(&self) -> io::Result<()> {
        self.signal(Signal::CONT)
    }

    /// `hang_up` says that the settings file has changed.
    ///
    /// # Errors
    ///
    /// Fails if there is no such process.
    pub fn hang_up(&self) -> io::Result<()> {
        self.signal(Signal::HUP)
    }

    /// `terminate` asks for a planned stop.
    ///
    /// # Errors
    ///
    /// Fails if there is no such process.
    pub fn terminate(&self) -> io::Result<()> {
        self.signal(Signal::TERM)
    }

    /// `kill` ends the process at once and waits until it is gone.
    ///
    /// # Errors
    ///
    /// Fails if the process can't be waited for.
    pub fn kill(&mut self) -> io::Result<()> {
        let Some(mut child) = self.child.take() else {
            return Ok(());
        };
        child.kill()?;
        child.wait().map(drop)
    }

    /// `wait` waits for the end that `terminate` asked for.
    ///
    /// # Errors
    ///
    /// Fails if the process can't be waited for.
    pub async fn wait(&mut self) -> io::Result<Option<ExitStatus>> {
        // The log ends when the process does, so this wait leaves the handle in place meanwhile.
        let mut lines = self.lines.clone();
        while lines.changed().await.is_ok() {}
        self.child.take().map(|mut child| child.wait()).transpose()
    }

    fn signal(&self, signal: Signal) -> io::Result<()> {
        let pid = self
            .pid()
            .and_then(|pid| i32::try_from(pid).ok())
            .and_then(Pid::from_raw)
            .ok_or(io::ErrorKind::NotFound)?;
        Ok(kill_process(pid, signal)?)
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        // A test that fails half-way must leave no process behind; one that is gone needs no kill.
        drop(self.kill());
    }
}

fn write_settings(directory: &Path, options: &DaemonOptions) -> io::Result<PathBuf> {
    let mut settings = json!({
        "host": options.host,
        "zone": options.zone,
        "listen": "127.0.0.1:0",
        "peer_listen": "127.0.0.1:0",
        "store_address": options.store_address,
        "hosts_address": options.hosts_address,
    });
    if let Value::Object(fields) = &mut settings {
        fields.extend(options.settings.clone());
    }
    let path = directory.join(format!("{}.json", options.host));
    std::fs::write(&path, settings.to_string())?;
    Ok(path)
}

fn write_area_settings(directory: &Path, options: &DaemonOptions) -> io::Result<PathBuf> {
    let mut settings = json!({
        "host": options.host,
        "zone": options.zone,
        "listen": "127.0.0.1:0",
        "ready_listen": "127.0.0.1:0",
        "metrics_listen": "127.0.0.1:0",
        "store_address": options.store_address,
        "stop_grace_s": 6,
        "worker_lease_ms": 4_000,
        "worker_stop_ms": 200,
        "gang_wait_ms": 3_000,
        "reclaim_ms": 2_700,
        "remote_penalty": 3,
        "checkpoint_s": 0.5,
        "restore_ms": 100,
        "retention_s": 120,
    });
    if let Value::Object(fields) = &mut settings {
        fields.extend(options.settings.clone());
    }
    let path = directory.join(format!("{}.json", options.host));
    std::fs::write(&path, settings.to_string())?;
    Ok(path)
}

/// `Reading` tells the thread that reads a log whether to go on.
#[derive(Debug, Default)]
struct Reading {
    is_paused: Mutex<bool>,
    changed: Condvar,
}

impl Reading {
    fn wait(&self) {
        let paused = lock(&self.is_paused);
        // A poisoned lock means that the test has failed already.
        drop(self.changed.wait_while(paused, |is_paused| *is_paused));
    }
}

fn follow_lines(child: &mut Child, reading: Arc<Reading>) -> watch::Receiver<Vec<String>> {
    let (sender, receiver) = watch::channel(Vec::new());
    if let Some(stdout) = child.stdout.take() {
        thread::spawn(move || {
            for line in BufReader::new(stdout).lines().map_while(Result::ok) {
                sender.send_modify(|lines: &mut Vec<String>| lines.push(line));
                reading.wait();
            }
        });
    }
    receiver
}

fn field(line: &str, key: &str) -> Option<String> {
    line.split_whitespace()
        .find_map(|pair| pair.strip_prefix(key)?.strip_prefix('='))
        .map(str::to_owned)
}
