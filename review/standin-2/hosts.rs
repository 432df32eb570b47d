//! Entry hosts: processes of the daemon with settings like those of the deploy template.

use std::fs::{self, OpenOptions};
use std::net::TcpListener;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::time::Duration;

use crate::http::call;
use crate::record::Record;
use crate::runners::{GANG_WAIT_MS, HOLD_MAX_MS, STOP_MS};

/// Longest time until a host is ready.
const START_TRIES: u32 = 100;

/// Starts of one host, as another process may take the ports that it was to have.
const MAX_STARTS: u32 = 5;

/// Process ids of the hosts, for a case that takes too long.
static PROCESS_IDS: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends the processes of all hosts from any thread.
pub fn end_processes() {
    let ids = PROCESS_IDS
        .lock()
        .map(|ids| ids.clone())
        .unwrap_or_default();
    for id in ids {
        let _ = Command::new("kill").args(["-9", &id.to_string()]).status();
    }
}

/// `Host` is one running process of the daemon.
pub struct Host {
    child: Child,
    pub front: String,
    ready: String,
}

impl Host {
    /// Waits until the host says that it is ready; false if its process has ended or time is up.
    fn is_ready(&mut self) -> bool {
        (0..START_TRIES).any(|_| {
            std::thread::sleep(Duration::from_millis(100));
            let timeout = Duration::from_millis(500);
            let reply = call(&self.ready, "GET", "/readiness", &[], "", timeout);
            reply.is_some_and(|(status, _)| status == 200) || self.has_ended()
        }) && !self.has_ended()
    }

    fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }

    fn end(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// `Hosts` are all of them; they end with the value.
pub struct Hosts {
    pub all: Vec<Host>,
    folder: PathBuf,
}

impl Hosts {
    /// Starts the hosts; none if one of them does not get ready.
    pub fn start(daemon: &str, store: &str, zones: &[&str]) -> std::io::Result<Option<Self>> {
        let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        fs::create_dir_all(&folder)?;
        let mut hosts = Self {
            all: Vec::new(),
            folder,
        };
        for (number, zone) in zones.iter().enumerate() {
            let mut starts = 0;
            loop {
                let mut host = start(daemon, store, &hosts.folder, number, zone)?;
                if host.is_ready() {
                    hosts.all.push(host);
                    break;
                }
                host.end();
                starts += 1;
                if starts == MAX_STARTS {
                    return Ok(None);
                }
            }
        }
        Ok(Some(hosts))
    }

    /// Stops the hosts with SIGTERM, one after the other, and starts each again.
    pub fn roll(&mut self, daemon: &str, record: &Record) {
        for (number, host) in self.all.iter_mut().enumerate() {
            let id = host.child.id().to_string();
            record.say(&format!("SIGTERM to edge-{number}"));
            let _ = Command::new("kill").args(["-TERM", &id]).status();
            let _ = host.child.wait();
            if let Ok(child) = spawn(daemon, &self.folder, number) {
                host.child = child;
            }
            record.say(&format!("edge-{number} is up again: {}", host.is_ready()));
        }
    }

    /// Number of hosts whose process has ended by itself.
    pub fn ended(&mut self) -> usize {
        let ended = self
            .all
            .iter_mut()
            .filter_map(|host| host.has_ended().then_some(()));
        ended.count()
    }
}

impl Drop for Hosts {
    fn drop(&mut self) {
        self.all.iter_mut().for_each(Host::end);
        if std::env::var("KEEP_LOGS").is_err() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

fn free_address() -> std::io::Result<String> {
    Ok(TcpListener::bind("127.0.0.1:0")?.local_addr()?.to_string())
}

fn start(
    daemon: &str,
    store: &str,
    folder: &Path,
    number: usize,
    zone: &str,
) -> std::io::Result<Host> {
    let (front, ready) = (free_address()?, free_address()?);
    let settings = format!(
        r#"{{
  "host": "edge-{number}", "zone": "{zone}", "listen": "{front}", "ready_listen": "{ready}",
  "store_address": "{store}", "cpu_share": 0.25, "stop_grace_s": 6,
  "worker_lease_ms": {HOLD_MAX_MS}, "worker_stop_ms": {STOP_MS}, "gang_wait_ms": {GANG_WAIT_MS},
  "reclaim_ms": 2700, "remote_penalty": 3, "checkpoint_s": 0.5, "restore_ms": 100,
  "places_by_speed": true, "shares_fairly": true, "retention_s": 120
}}"#
    );
    let path = folder.join(format!("edge-{number}.json"));
    fs::write(&path, settings)?;
    let child = spawn(daemon, folder, number)?;
    Ok(Host {
        child,
        front,
        ready,
    })
}

fn spawn(daemon: &str, folder: &Path, number: usize) -> std::io::Result<Child> {
    let log = OpenOptions::new()
        .create(true)
        .append(true)
        .open(folder.join(format!("edge-{number}.log")))?;
    let child = Command::new(daemon)
        .args(["--area", "--settings"])
        .arg(folder.join(format!("edge-{number}.json")))
        .stdin(Stdio::null())
        .stderr(log.try_clone()?)
        .stdout(log)
        .spawn()?;
    if let Ok(mut ids) = PROCESS_IDS.lock() {
        ids.push(child.id());
    }
    Ok(child)
}
