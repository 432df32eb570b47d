//! Clients: they hand jobs in, ask for them and cancel them, each call at the next host.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::http::call;
use crate::json::{Json, object};
use crate::record::Record;
use crate::runners::{Runners, Step};

/// Names and keys of the tenants; GPUs may be guaranteed to the second one.
const TENANTS: [(&str, &str); 2] = [
    ("kaje80", "d4a3hwrr6x73d3zji9n7"),
    ("mova12", "3hh2b9wu3fexd9dnn2ct"),
];
/// Route of the second tenant's jobs.
pub const SECOND_TENANTS_ROUTE: u64 = 4;
const HOST: &str = "nony24.example";
const TIMEOUT: Duration = Duration::from_millis(3_000);
const TRIES: u32 = 5;

/// One route of the desired state: its number is in its prefix.
pub struct Route {
    pub number: u64,
    pub priority: u64,
    pub service: &'static str,
}

/// One version of the desired state.
pub fn desired_state(
    version: u64,
    services: &[&str],
    routes: &[Route],
    guaranteed_gpus: u64,
) -> String {
    let routes = routes.iter().map(|route| {
        object([
            ("Name", format!("r-{}", route.number).into()),
            ("Host", HOST.into()),
            ("Prefix", format!("/p{}/", route.number).into()),
            ("Type", "non_idempotent".into()),
            ("TimeoutMs", 3_000.into()),
            ("TargetLatencyMs", 1_000.into()),
            ("Priority", route.priority.into()),
            ("Service", route.service.into()),
            ("Attempts", 3.into()),
            ("Stretch", 3.into()),
            ("Public", false.into()),
        ])
    });
    let services = services.iter().map(|service| {
        object([
            ("Name", (*service).into()),
            ("HealthPath", "/health".into()),
            ("MaxConnections", 64.into()),
            ("Protocol", "h1".into()),
            ("Tls", false.into()),
            ("AdmissionCheck", false.into()),
            ("Standby", false.into()),
        ])
    });
    let tenants = TENANTS.iter().zip([0, guaranteed_gpus]);
    let tenants = tenants.map(|((name, key), gpus)| {
        object([
            ("Name", (*name).into()),
            ("ApiKeys", vec![(*key).into()].into()),
            ("Priority", 1.into()),
            ("Guaranteed", object([("Gpu", gpus.into())])),
        ])
    });
    let state = object([
        ("Version", version.into()),
        ("Routes", routes.collect::<Vec<Json>>().into()),
        ("Services", services.collect::<Vec<Json>>().into()),
        ("Limits", object([("MaxBodyBytes", 262_144.into())])),
        ("Tenants", tenants.collect::<Vec<Json>>().into()),
    ]);
    state.to_string()
}

/// `Clients` send their calls to the hosts in turn.
pub struct Clients {
    fronts: Vec<String>,
    next: AtomicUsize,
    runners: Arc<Runners>,
    record: Arc<Record>,
}

impl Clients {
    pub fn open(fronts: Vec<String>, runners: Arc<Runners>, record: Arc<Record>) -> Self {
        Self {
            fronts,
            next: AtomicUsize::new(0),
            runners,
            record,
        }
    }

    fn call(&self, method: &str, route: u64, job: &str, body: &str) -> Option<(u16, String)> {
        let path = format!("/p{route}/{job}");
        let (_, key) = TENANTS[usize::from(route == SECOND_TENANTS_ROUTE)];
        let authorization = format!("Token {key}");
        let host = self.next.fetch_add(1, Ordering::SeqCst) % self.fronts.len();
        let headers = [
            ("Host", HOST),
            ("Authorization", authorization.as_str()),
            ("Content-Type", "application/json"),
            ("X-Deadline-Ms", "3000"),
        ];
        call(&self.fronts[host], method, &path, &headers, body, TIMEOUT)
    }

    /// Hands a job in; returns whether it was accepted.
    pub fn submit(&self, route: u64, job: &str, steps: &[Step]) -> bool {
        self.submit_for(route, job, steps, None)
    }

    /// Hands a job in that runs once, at a time from now if there is one; returns whether it was accepted.
    pub fn submit_for(
        &self,
        route: u64,
        job: &str,
        steps: &[Step],
        due_in: Option<Duration>,
    ) -> bool {
        let spec = format!("spec of {job}");
        self.runners.announce(job, &spec, steps);
        let list: Vec<Json> = steps.iter().map(Step::to_json).collect();
        let mut fields = vec![
            ("Spec".to_owned(), spec.into()),
            ("Steps".to_owned(), list.into()),
        ];
        if let Some(due_in) = due_in {
            let due_ms = SystemTime::now()
                .duration_since(UNIX_EPOCH)
                .unwrap_or_default()
                + due_in;
            fields.push(("Times".to_owned(), 1.into()));
            fields.push(("StartAtMs".to_owned(), (due_ms.as_millis() as u64).into()));
            fields.push(("IntervalMs".to_owned(), 60_000.into()));
        }
        let body = Json::Object(fields).to_string();
        let path = format!("/p{route}/{job}");
        for _ in 0..TRIES {
            let reply = self.call("POST", route, job, &body);
            let status = reply.as_ref().map_or(0, |(status, _)| *status);
            self.record.line(&format!("POST {path} {body} -> {status}"));
            if (200..300).contains(&status) {
                return true;
            }
            if (400..500).contains(&status) && status != 429 {
                return false;
            }
            thread::sleep(Duration::from_millis(700));
        }
        false
    }

    /// Asks for the state of a job.
    pub fn state(&self, route: u64, job: &str) -> String {
        let path = format!("/p{route}/{job}");
        let reply = self.call("GET", route, job, "");
        let state = match &reply {
            Some((200, body)) => {
                let body = Json::parse(body.as_bytes()).unwrap_or(Json::Null);
                body.get("State").text().unwrap_or("?").to_owned()
            }
            Some((status, _)) => status.to_string(),
            None => "no answer".to_owned(),
        };
        self.record.line(&format!("GET {path} -> {state}"));
        state
    }

    /// Asks until the job has one of the states, for so many seconds at most; returns the last state.
    pub fn wait_for(&self, route: u64, job: &str, states: &[&str], seconds: u64) -> String {
        let mut state = String::new();
        for _ in 0..seconds * 2 {
            state = self.state(route, job);
            if states.contains(&state.as_str()) {
                return state;
            }
            thread::sleep(Duration::from_millis(500));
        }
        state
    }
}
