//! A stand-in for one runner, as PROTOCOL.md tells it under "Running subtasks".

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Link, Request, Response, serve};
use crate::json::{Json, quoted};
use crate::record::Record;
use crate::store::Store;

/// `HeartbeatMs`.
const HEARTBEAT: Duration = Duration::from_millis(1_500);

/// `HoldMaxMs` of the small sites' sheets.
const HOLD_MAX_MS: u64 = 10_000;

/// Time that a stop takes; `StopMs` allows 200.
const STOP_MS: u64 = 50;

/// Ends in one answer.
const ENDS_AT_ONCE: usize = 500;

/// What a runner is made of.
#[derive(Clone, Debug)]
pub struct Shape {
    pub service: String,
    pub kind: String,
    pub zone: String,
    pub rack: String,
    pub cpu: u64,
    pub mem_mb: u64,
    pub gpu: u64,
}

#[derive(Clone, Debug)]
struct Run {
    run: u64,
    started_ms: u64,
    work_ms: u64,
    /// When a stop that was accepted takes effect.
    stops_at_ms: Option<u64>,
}

#[derive(Clone, Debug)]
struct End {
    number: u64,
    task: String,
    run: u64,
    how: &'static str,
}

#[derive(Debug, Default)]
struct State {
    id: String,
    token: u64,
    lease_until_ms: u64,
    running: BTreeMap<String, Run>,
    /// Highest run of each subtask that ended or was stopped here.
    over: BTreeMap<String, u64>,
    ended: Vec<End>,
    last_end: u64,
    /// Whether the lease has lapsed since it was last extended.
    is_lapsed: bool,
    is_draining: bool,
    is_up: bool,
    incarnation: u32,
}

#[derive(Clone)]
pub struct Runner {
    pub name: String,
    pub link: Arc<Link>,
    shape: Shape,
    address: SocketAddr,
    shared: Arc<(Mutex<State>, Condvar)>,
    store: Store,
    record: Record,
    began: Instant,
}

impl Runner {
    pub fn open(name: &str, shape: Shape, store: &Store, record: &Record) -> std::io::Result<Self> {
        let state = State { id: format!("{name}-0"), is_up: true, ..State::default() };
        let shared = Arc::new((Mutex::new(state), Condvar::new()));
        let link = Arc::new(Link::default());
        let began = Instant::now();
        let context = Context { name: name.to_owned(), shared: Arc::clone(&shared), record: record.clone(), began };
        let served = context.clone();
        let address = serve(Arc::clone(&link), move |request| served.answer(&request))?;
        let runner = Self {
            name: name.to_owned(),
            link,
            shape,
            address,
            shared,
            store: store.clone(),
            record: record.clone(),
            began,
        };
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(5));
                context.end_due_runs();
            }
        });
        runner.beat();
        let beating = runner.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(HEARTBEAT);
                beating.beat();
            }
        });
        Ok(runner)
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.shared.0.lock().unwrap()
    }

    /// Writes the entry in the store, as each heartbeat does.
    fn beat(&self) {
        let state = self.state();
        if !state.is_up {
            return;
        }
        let clock_ms = self.began.elapsed().as_millis();
        let status = if state.is_draining { "draining" } else { "ready" };
        let remaining = if state.is_draining { ",\"RemainingMs\":2000" } else { "" };
        let entry = format!(
            "{{\"Service\":{},\"Address\":\"{}\",\"Zone\":{},\"Version\":\"v1\",\"Slots\":8,\"State\":\"{status}\",\
             \"ColdRemainingMs\":0,\"Capacity\":{{\"Cpu\":{},\"MemMb\":{},\"Gpu\":{}}},\"Labels\":[{},{}],\
             \"ClockMs\":{clock_ms},\"Sequence\":{clock_ms}{remaining}}}",
            quoted(&self.shape.service),
            self.address,
            quoted(&self.shape.zone),
            self.shape.cpu,
            self.shape.mem_mb,
            self.shape.gpu,
            quoted(&self.shape.kind),
            quoted(&self.shape.rack),
        );
        self.store.put(&format!("servers/{}", state.id), &entry);
    }

    /// Says that it is about to leave.
    pub fn drain(&self) {
        self.state().is_draining = true;
        self.record.line(&format!("runner {} reports draining", self.name));
        self.beat();
    }

    /// Leaves for good; its entry goes with it.
    pub fn leave(&self) {
        let id = {
            let mut state = self.state();
            state.is_up = false;
            state.running.clear();
            state.id.clone()
        };
        self.link.take_down();
        self.store.remove(&format!("servers/{id}"));
        self.record.line(&format!("runner {} has left", self.name));
    }

    /// The process ends without a word; what ran there is gone.
    pub fn crash(&self) {
        let id = {
            let mut state = self.state();
            state.is_up = false;
            let running: Vec<String> = state.running.keys().cloned().collect();
            self.record.line(&format!("runner {} crashes with {}", self.name, running.join(" ")));
            state.running.clear();
            state.ended.clear();
            state.id.clone()
        };
        self.link.take_down();
        self.shared.1.notify_all();
        let store = self.store.clone();
        // Its entry is removed after three heartbeats of silence.
        thread::spawn(move || {
            thread::sleep(HEARTBEAT * 3);
            store.remove(&format!("servers/{id}"));
        });
    }

    /// Starts again at its address, as another incarnation with another id.
    pub fn restart(&self) {
        {
            let mut state = self.state();
            let incarnation = state.incarnation + 1;
            *state = State {
                id: format!("{}-{incarnation}", self.name),
                is_up: true,
                incarnation,
                ..State::default()
            };
        }
        self.link.bring_up();
        self.record.line(&format!("runner {} is back as another incarnation", self.name));
        self.beat();
    }

    pub fn running(&self) -> usize {
        self.state().running.len()
    }
}

#[derive(Clone)]
struct Context {
    name: String,
    shared: Arc<(Mutex<State>, Condvar)>,
    record: Record,
    began: Instant,
}

impl Context {
    fn clock_ms(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }

    fn end_run(&self, state: &mut State, task: &str, how: &'static str) {
        let Some(run) = state.running.remove(task) else {
            return;
        };
        state.last_end += 1;
        let number = state.last_end;
        state.ended.push(End { number, task: task.to_owned(), run: run.run, how });
        let over = state.over.entry(task.to_owned()).or_insert(0);
        *over = (*over).max(run.run);
        self.record.ended(&self.name, state.incarnation, number, task, run.run, how);
    }

    fn end_due_runs(&self) {
        let now = self.clock_ms();
        let mut state = self.shared.0.lock().unwrap();
        let is_lapsed = state.lease_until_ms <= now;
        let due: Vec<(String, &'static str)> = state
            .running
            .iter()
            .filter_map(|(task, run)| {
                let how = if run.stops_at_ms.is_some_and(|at| at <= now) {
                    "stopped"
                } else if run.started_ms + run.work_ms <= now {
                    "done"
                } else if is_lapsed {
                    "lapsed"
                } else {
                    return None;
                };
                Some((task.clone(), how))
            })
            .collect();
        if is_lapsed && !state.is_lapsed {
            self.record.lapsed(&self.name, state.incarnation);
        }
        state.is_lapsed = is_lapsed;
        for (task, how) in &due {
            self.end_run(&mut state, task, how);
        }
        if !due.is_empty() {
            self.shared.1.notify_all();
        }
    }

    fn answer(&self, request: &Request) -> Response {
        if request.method == "GET" {
            return Response { status: 200, body: "{}".to_owned() };
        }
        let Some(body) = Json::parse(&request.body) else {
            return Response { status: 400, body: "{}".to_owned() };
        };
        let (status, reason) = {
            let mut state = self.shared.0.lock().unwrap();
            let target = request.headers.get("x-target-instance");
            if target.is_some_and(|target| *target != state.id) {
                return Response { status: 421, body: "{}".to_owned() };
            }
            let token = body.get("FencingToken").number().unwrap_or(0);
            if token < state.token {
                (409, "fence")
            } else {
                state.token = token;
                match request.path.as_str() {
                    "/run-start" => self.start(&mut state, &body),
                    "/run-stop" => self.stop(&mut state, &body),
                    "/hold" => return self.hold(state, &body),
                    "/pace" => (200, ""),
                    _ => (400, ""),
                }
            }
        };
        self.shared.1.notify_all();
        let reason = if reason.is_empty() { String::new() } else { format!(",\"Reason\":\"{reason}\"") };
        Response { status, body: format!("{{\"ClockMs\":{}{reason}}}", self.clock_ms()) }
    }

    fn extend_lease(&self, state: &mut State, body: &Json) {
        if let Some(until_ms) = body.get("DeadlineMs").number() {
            let until_ms = until_ms.min(self.clock_ms() + HOLD_MAX_MS);
            state.lease_until_ms = state.lease_until_ms.max(until_ms);
        }
    }

    fn start(&self, state: &mut State, body: &Json) -> (u16, &'static str) {
        let task = body.get("Task").text().to_owned();
        let run = body.get("Run").number().unwrap_or(0);
        let deadline_ms = body.get("DeadlineMs").number().unwrap_or(0);
        if deadline_ms <= self.clock_ms() {
            return (409, "late");
        }
        self.extend_lease(state, body);
        if state.running.get(&task).is_some_and(|running| running.run == run) {
            return (200, "");
        }
        if state.over.get(&task).is_some_and(|&over| run <= over) || state.running.contains_key(&task) {
            return (409, "old");
        }
        // Spec is the work in milliseconds.
        let work_ms = body.get("Spec").text().parse().unwrap_or(1_000);
        let started_ms = self.clock_ms();
        state.running.insert(task.clone(), Run { run, started_ms, work_ms, stops_at_ms: None });
        self.record.started(&self.name, state.incarnation, &task, run);
        (200, "")
    }

    fn stop(&self, state: &mut State, body: &Json) -> (u16, &'static str) {
        let task = body.get("Task").text().to_owned();
        let run = body.get("Run").number().unwrap_or(0);
        self.record.line(&format!("runner {} is told to stop {task} run {run}", self.name));
        let at = self.clock_ms() + STOP_MS;
        match state.running.get_mut(&task) {
            Some(running) if running.run == run => {
                running.stops_at_ms.get_or_insert(at);
            }
            _ => {
                let over = state.over.entry(task).or_insert(0);
                *over = (*over).max(run);
            }
        }
        (200, "")
    }

    fn hold(&self, mut state: MutexGuard<'_, State>, body: &Json) -> Response {
        self.extend_lease(&mut state, body);
        let last_seen = body.get("LastSeen").number().unwrap_or(0);
        state.ended.retain(|end| end.number > last_seen);
        self.record.seen(&self.name, state.incarnation, last_seen);
        let wait_ms = body.get("WaitMs").number().unwrap_or(0).min(2_000);
        let until = Instant::now() + Duration::from_millis(wait_ms);
        let incarnation = state.incarnation;
        while state.ended.is_empty() && state.is_up && state.incarnation == incarnation {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                break;
            }
            state = self.shared.1.wait_timeout(state, left).unwrap().0;
        }
        let now = self.clock_ms();
        let running = state.running.iter().map(|(task, run)| {
            let percent = ((now - run.started_ms) * 100 / run.work_ms.max(1)).min(99);
            format!("[{},{},\"\",{percent},0]", quoted(task), run.run)
        });
        let running: Vec<String> = running.collect();
        let listed = state.ended.iter().take(ENDS_AT_ONCE);
        let ended = listed.map(|end| format!("[{},{},{},\"{}\",\"\"]", end.number, quoted(&end.task), end.run, end.how));
        let ended: Vec<String> = ended.collect();
        if state.ended.len() > ENDS_AT_ONCE {
            let text = format!("runner {} lists {} of {} ends", self.name, ended.len(), state.ended.len());
            self.record.line(&text);
        }
        let body = format!("{{\"ClockMs\":{now},\"Running\":[{}],\"Ended\":[{}]}}", running.join(","), ended.join(","));
        Response { status: 200, body }
    }
}
