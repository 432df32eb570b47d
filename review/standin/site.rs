//! A small site: a store, runners, and three entry hosts in three zones.

use std::path::PathBuf;
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::host::Host;
use crate::json::Json;
use crate::record::Record;
use crate::runner::{Runner, Shape};
use crate::store::Store;

pub const ZONES: [&str; 3] = ["fucino-hall", "lario-hall", "po-hall"];

pub struct Site {
    pub record: Record,
    pub store: Store,
    pub runners: Vec<Runner>,
    pub hosts: Vec<Host>,
    folder: PathBuf,
}

/// A route of the desired state.
pub struct Route {
    pub name: &'static str,
    pub prefix: &'static str,
    pub service: &'static str,
    pub priority: u32,
}

/// The desired state, as the operator writes it.
pub fn desired(version: u64, routes: &[Route], services: &[&str]) -> String {
    let routes = routes.iter().map(|route| {
        format!(
            "{{\"Name\":\"{}\",\"Host\":\"jobs.example\",\"Prefix\":\"{}\",\"Type\":\"non_idempotent\",\"TimeoutMs\":3000,\
             \"TargetLatencyMs\":1000,\"Priority\":{},\"Service\":\"{}\",\"Attempts\":3,\"Stretch\":3.0,\"Public\":false}}",
            route.name, route.prefix, route.priority, route.service
        )
    });
    let services = services.iter().map(|name| {
        format!(
            "{{\"Name\":\"{name}\",\"HealthPath\":\"/health\",\"MaxConnections\":64,\"Protocol\":\"h1\",\"Tls\":false,\
             \"AdmissionCheck\":false,\"Standby\":false}}"
        )
    });
    format!(
        "{{\"Version\":{version},\"Routes\":[{}],\"Services\":[{}],\"Limits\":{{\"MaxHeaderBytes\":16384,\
         \"MaxBodyBytes\":262144,\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000}},\"Tenants\":[{{\"Name\":\"kaje80\",\
         \"ApiKeys\":[\"key-1\"],\"Priority\":1,\"Guaranteed\":{{\"Gpu\":8}}}}]}}",
        routes.collect::<Vec<_>>().join(","),
        services.collect::<Vec<_>>().join(",")
    )
}

impl Site {
    pub fn open(record: &str, desired: &str, shapes: &[Shape]) -> Result<Self, String> {
        let text = |error: std::io::Error| error.to_string();
        let record = Record::create(record).map_err(text)?;
        crate::host::end_all_after(Duration::from_secs(112));
        let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        std::fs::create_dir_all(&folder).map_err(text)?;
        let store = Store::open().map_err(text)?;
        store.put("op/config", desired);
        record.line(&format!("operator writes {desired}"));
        let mut site = Self { record, store, runners: Vec::new(), hosts: Vec::new(), folder };
        for (number, shape) in shapes.iter().enumerate() {
            let name = format!("i-{number:02}");
            let runner = Runner::open(&name, shape.clone(), &site.store, &site.record).map_err(text)?;
            site.runners.push(runner);
        }
        for (number, zone) in ZONES.iter().enumerate() {
            let host = Host::start(number, zone, &site.folder, &site.store, &site.record).map_err(text)?;
            site.hosts.push(host);
        }
        site.wait("all hosts are ready and one coordinates", 15, |site| {
            site.hosts.iter().all(Host::is_ready) && site.coordinator().is_some()
        })?;
        // Traffic starts some seconds after the machines do.
        sleep(Duration::from_secs(2));
        Ok(site)
    }

    pub fn wait(&self, what: &str, limit_s: u64, is_reached: impl Fn(&Self) -> bool) -> Result<(), String> {
        let until = Instant::now() + Duration::from_secs(limit_s);
        while !is_reached(self) {
            if Instant::now() >= until {
                return Err(format!("not within {limit_s} s: {what}"));
            }
            sleep(Duration::from_millis(50));
        }
        Ok(())
    }

    /// The host that holds the coordinator's key in the store.
    pub fn coordinator(&self) -> Option<usize> {
        let value = Json::parse(&self.store.get("ragwortwick/coordinator")?)?;
        let name = value.get("host").text().to_owned();
        self.hosts.iter().position(|host| host.name == name)
    }

    pub fn operator_writes(&self, text: &str) {
        self.store.put("op/config", text);
        self.record.line(&format!("operator writes {text}"));
    }

    /// Hands a job in at a host, and asks again elsewhere as a client does.
    pub fn hand_in(&self, path: &str, body: &str) -> Result<(), String> {
        for host in self.hosts.iter().cycle().take(5) {
            if host.call("POST", path, body).is_ok_and(|reply| reply.status / 100 == 2) {
                return Ok(());
            }
        }
        Err(format!("{path} was not accepted"))
    }

    pub fn pause(&self, ms: u64) {
        sleep(Duration::from_millis(ms));
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        self.hosts.clear();
        if std::env::var("KEEP_LOGS").is_err() {
            let _ = std::fs::remove_dir_all(&self.folder);
        } else {
            println!("logs: {}", self.folder.display());
        }
    }
}
