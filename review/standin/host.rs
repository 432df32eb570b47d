//! An entry host: `ragwortwickd` as a process of its own, started with the command of the deploy file.

use std::fs::{self, File};
use std::net::TcpListener;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::time::{Duration, Instant};

use crate::http::{Response, call};
use crate::json::{Json, quoted};
use crate::record::Record;
use crate::store::Store;

/// `GraceS`.
const GRACE: Duration = Duration::from_secs(6);

/// `X-Deadline-Ms` of the clients.
const PATIENCE: Duration = Duration::from_secs(3);

pub struct Host {
    pub name: String,
    process: Child,
    front: String,
    ready: String,
    settings: PathBuf,
    record: Record,
}

fn free_address() -> std::io::Result<String> {
    Ok(TcpListener::bind("127.0.0.1:0")?.local_addr()?.to_string())
}

impl Host {
    /// Starts a host with the settings that the template gives on a machine of a small site.
    pub fn start(number: usize, zone: &str, folder: &Path, store: &Store, record: &Record) -> std::io::Result<Self> {
        let name = format!("edge-{number}");
        let (front, ready, metrics) = (free_address()?, free_address()?, free_address()?);
        let settings = folder.join(format!("{name}.json"));
        let text = format!(
            "{{\"host\":{},\"zone\":{},\"listen\":\"{front}\",\"ready_listen\":\"{ready}\",\"metrics_listen\":\"{metrics}\",\
             \"store_address\":\"{}\",\"cpu_share\":0.25,\"stop_grace_s\":6,\"worker_lease_ms\":10000,\
             \"worker_stop_ms\":200,\"gang_wait_ms\":3000,\"reclaim_ms\":2700,\"remote_penalty\":3,\
             \"checkpoint_s\":0.5,\"restore_ms\":100,\"places_by_speed\":true,\"shares_fairly\":true,\"retention_s\":120}}",
            quoted(&name),
            quoted(zone),
            store.address
        );
        fs::write(&settings, text)?;
        let process = spawn(&settings, &folder.join(format!("{name}.log")))?;
        record.line(&format!("host {name} starts"));
        Ok(Self { name, process, front, ready, settings, record: record.clone() })
    }

    /// Starts the host again with its settings.
    pub fn start_again(&mut self) -> std::io::Result<()> {
        self.process = spawn(&self.settings, &self.settings.with_extension("log"))?;
        self.record.line(&format!("host {} starts again", self.name));
        Ok(())
    }

    pub fn is_ready(&self) -> bool {
        let reply = call(&self.ready, "GET", "/readiness", &[], "", Duration::from_secs(1));
        reply.is_ok_and(|reply| reply.status == 200)
    }

    fn signal(&self, signal: &str) {
        // A process that has just ended takes no signal, and needs none.
        let _ = Command::new("kill").args([signal, &self.process.id().to_string()]).status();
    }

    /// A planned stop: SIGTERM, and SIGKILL after the grace period.
    pub fn stop(&mut self) {
        self.record.line(&format!("host {} gets SIGTERM", self.name));
        self.signal("-TERM");
        let until = Instant::now() + GRACE;
        while Instant::now() < until && matches!(self.process.try_wait(), Ok(None)) {
            std::thread::sleep(Duration::from_millis(20));
        }
        let _ = self.process.kill();
        let _ = self.process.wait();
        forget(&self.process);
        self.record.line(&format!("host {} has ended", self.name));
    }

    pub fn kill(&mut self) {
        self.record.line(&format!("host {} gets SIGKILL", self.name));
        let _ = self.process.kill();
        let _ = self.process.wait();
        forget(&self.process);
    }

    /// Sends one call as a client of the tenant.
    pub fn call(&self, method: &str, path: &str, body: &str) -> Result<Response, String> {
        let headers = [("Host", "jobs.example"), ("Authorization", "Token key-1"), ("X-Deadline-Ms", "3000")];
        let reply = call(&self.front, method, path, &headers, body, PATIENCE);
        let text = match &reply {
            Ok(reply) => format!("{} {}", reply.status, reply.body),
            Err(error) => error.clone(),
        };
        self.record.line(&format!("client {method} {path} {body} at {} -> {text}", self.name));
        reply
    }

    /// The state of a job that this host tells.
    pub fn state(&self, path: &str) -> Option<String> {
        let reply = self.call("GET", path, "").ok()?;
        let state = Json::parse(&reply.body)?.get("State").text().to_owned();
        (reply.status == 200).then_some(state)
    }

    /// The number of jobs of a queue that have not begun, as this host tells it.
    pub fn pending(&self, path: &str) -> Option<u64> {
        let reply = self.call("GET", path, "").ok()?;
        let pending = Json::parse(&reply.body)?.get("Pending").number();
        pending.filter(|_| reply.status == 200)
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
        forget(&self.process);
    }
}

/// Processes that were started.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends all processes after the time that a script has, should the case hang.
pub fn end_all_after(limit: Duration) {
    std::thread::spawn(move || {
        std::thread::sleep(limit);
        for id in STARTED.lock().unwrap().iter() {
            // Those that were waited for are no longer children, and their ids are not in the list.
            let _ = Command::new("kill").args(["-KILL", &id.to_string()]).status();
        }
        println!("the case took too long");
        std::process::exit(2);
    });
}

fn forget(process: &Child) {
    STARTED.lock().unwrap().retain(|id| *id != process.id());
}

fn spawn(settings: &Path, log: &Path) -> std::io::Result<Child> {
    let binary = std::env::var("RAGWORTWICKD").unwrap_or_else(|_| "target/release/ragwortwickd".to_owned());
    let log = File::options().create(true).append(true).open(log)?;
    let process = Command::new(binary)
        .arg("--area")
        .arg("--settings")
        .arg(settings)
        .env("RAGWORTWICK_CONFIG", settings)
        .stdin(Stdio::null())
        .stdout(log.try_clone()?)
        .stderr(log)
        .spawn()?;
    STARTED.lock().unwrap().push(process.id());
    Ok(process)
}
