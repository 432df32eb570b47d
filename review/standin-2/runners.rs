//! The runners: each has an address, a clock, a lease and runs, and writes its entry to the store.

use std::collections::{BTreeMap, HashMap};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Reply, Request, Server};
use crate::json::{Json, object};
use crate::record::Record;
use crate::store::Store;

pub const HOLD_MAX_MS: u64 = 10_000;
pub const STOP_MS: u64 = 200;
pub const GANG_WAIT_MS: u64 = 3_000;
pub const HEARTBEAT_MS: u64 = 1_500;
const CHECKPOINT_MS: u64 = 500;
const MAX_ENDS: usize = 500;

/// `Amount` is what a runner offers or a subtask takes.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Amount {
    pub cpu: u64,
    pub mem_mb: u64,
    pub gpu: u64,
}

impl Amount {
    pub fn plus(self, other: Self) -> Self {
        Self {
            cpu: self.cpu + other.cpu,
            mem_mb: self.mem_mb + other.mem_mb,
            gpu: self.gpu + other.gpu,
        }
    }

    pub fn fits(self, room: Self) -> bool {
        self.cpu <= room.cpu && self.mem_mb <= room.mem_mb && self.gpu <= room.gpu
    }

    pub fn minus(self, other: Self) -> Self {
        Self {
            cpu: self.cpu.saturating_sub(other.cpu),
            mem_mb: self.mem_mb.saturating_sub(other.mem_mb),
            gpu: self.gpu.saturating_sub(other.gpu),
        }
    }
}

/// `Step` is one step of a job as its client hands it in, and how long its subtasks work.
#[derive(Clone, Debug, Default)]
pub struct Step {
    pub count: u64,
    pub need: Amount,
    pub work_ms: u64,
    pub after: Vec<u64>,
    pub is_gang: bool,
    /// Whether the subtasks run until the job is cancelled; they are at work after `work_ms`.
    pub lasts: bool,
    /// How many subtasks of a lasting step may be away at one time.
    pub may_miss: u64,
    pub saves: bool,
}

impl Step {
    pub fn to_json(&self) -> Json {
        let mut fields: Vec<(String, Json)> = Vec::new();
        let numbers = [
            ("Count", self.count),
            ("Cpu", self.need.cpu),
            ("MemMb", self.need.mem_mb),
            ("Gpu", self.need.gpu),
            ("EstimateMs", self.work_ms),
            ("MayMiss", self.may_miss),
        ];
        for (name, number) in numbers {
            if number > 0 {
                fields.push((name.to_owned(), number.into()));
            }
        }
        if !self.after.is_empty() {
            let after = self
                .after
                .iter()
                .map(|step| (*step).into())
                .collect::<Vec<Json>>();
            fields.push(("After".to_owned(), after.into()));
        }
        let flags = [
            ("Gang", self.is_gang),
            ("Checkpointing", self.saves),
            ("LongRunning", self.lasts),
        ];
        for (name, flag) in flags {
            if flag {
                fields.push((name.to_owned(), true.into()));
            }
        }
        Json::Object(fields)
    }
}

struct Run {
    started_ms: u64,
    work_ms: u64,
    /// Work that an earlier run had saved.
    resumed_ms: u64,
    /// From when it works; a gang's member waits for the others.
    working_since: Option<u64>,
    ends_by_stop_at: Option<u64>,
    step: Step,
    gang: Option<String>,
}

impl Run {
    fn worked_ms(&self, now: u64) -> u64 {
        self.resumed_ms + self.working_since.map_or(0, |since| now - since)
    }

    fn saved(&self, now: u64) -> String {
        let worked_ms = self.worked_ms(now);
        let saved_ms = if self.ends_by_stop_at.is_some() {
            worked_ms
        } else {
            worked_ms / CHECKPOINT_MS * CHECKPOINT_MS
        };
        if self.step.saves && saved_ms > 0 {
            format!("{saved_ms:016x}")
        } else {
            String::new()
        }
    }
}

struct End {
    number: u64,
    task: String,
    run: u64,
    how: &'static str,
    saved: String,
    noted_ms: Option<u64>,
    at_ms: u64,
}

/// `Runner` is one machine with its present life.
struct Runner {
    service: String,
    name: String,
    id: String,
    address: String,
    zone: String,
    labels: Vec<String>,
    capacity: Amount,
    born: Instant,
    fence: u64,
    deadline: u64,
    runs: BTreeMap<(String, u64), Run>,
    ends: Vec<End>,
    last_number: u64,
    last_seen: u64,
    /// Highest run that was stopped or has ended here, by task.
    over: HashMap<String, u64>,
    sequence: u64,
}

impl Runner {
    fn clock(&self) -> u64 {
        self.born.elapsed().as_millis() as u64
    }

    fn used(&self) -> Amount {
        self.runs
            .values()
            .fold(Amount::default(), |sum, run| sum.plus(run.step.need))
    }

    fn end(&mut self, now: u64, task: &str, run: u64, how: &'static str, saved: String) {
        self.last_number += 1;
        let over = self.over.entry(task.to_owned()).or_insert(0);
        *over = (*over).max(run);
        self.ends.push(End {
            number: self.last_number,
            task: task.to_owned(),
            run,
            how,
            saved,
            noted_ms: None,
            at_ms: now,
        });
    }
}

/// `Summary` is what the runners have seen of one job.
#[derive(Clone, Debug, Default)]
pub struct Summary {
    pub starts: u64,
    pub running: u64,
    pub done: u64,
    pub failed: u64,
    pub alone: u64,
    /// When a run of it last began or ended, from the start of the record.
    pub last_activity_ms: u64,
}

#[derive(Default)]
struct State {
    runners: Vec<Runner>,
    jobs: HashMap<String, (String, Vec<Step>)>,
    seen: HashMap<String, Summary>,
    broken: Vec<String>,
}

/// `Runners` are all runners of the service.
pub struct Runners {
    state: Mutex<State>,
    store: Arc<Store>,
    record: Arc<Record>,
    /// How long a runner takes to answer an order.
    answer: Duration,
}

/// `RunnerSpec` describes one machine.
pub struct RunnerSpec {
    pub service: String,
    pub name: String,
    pub zone: String,
    pub kind: String,
    pub rack: String,
    pub capacity: Amount,
}

impl Runners {
    pub fn open(
        store: Arc<Store>,
        record: Arc<Record>,
        answer: Duration,
        specs: Vec<RunnerSpec>,
    ) -> std::io::Result<Arc<Self>> {
        let runners = Arc::new(Self {
            state: Mutex::default(),
            store,
            record,
            answer,
        });
        for (index, spec) in specs.into_iter().enumerate() {
            let server = runners.listen(index, "127.0.0.1:0")?;
            let runner = Runner {
                id: format!("i-{index:04x}0000"),
                service: spec.service,
                name: spec.name,
                address: server.address.to_string(),
                zone: spec.zone,
                labels: vec![spec.kind, spec.rack],
                capacity: spec.capacity,
                born: Instant::now(),
                fence: 0,
                deadline: 0,
                runs: BTreeMap::new(),
                ends: Vec::new(),
                last_number: 0,
                last_seen: 0,
                over: HashMap::new(),
                sequence: 0,
            };
            runners.lock().runners.push(runner);
        }
        let (beating, ticking) = (Arc::clone(&runners), Arc::clone(&runners));
        thread::spawn(move || {
            loop {
                for index in 0..beating.count() {
                    beating.beat(index);
                }
                thread::sleep(Duration::from_millis(HEARTBEAT_MS));
            }
        });
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(5));
                ticking.tick();
            }
        });
        Ok(runners)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap()
    }

    pub fn count(&self) -> usize {
        self.lock().runners.len()
    }

    fn listen(self: &Arc<Self>, index: usize, address: &str) -> std::io::Result<Server> {
        let runners = Arc::clone(self);
        Server::bind(
            address,
            Arc::new(move |request| runners.answer(index, &request)),
        )
    }

    /// Writes the entry of a runner, as each heartbeat does.
    fn beat(&self, index: usize) {
        let entry = {
            let mut state = self.lock();
            let runner = &mut state.runners[index];
            runner.sequence += 1;
            let labels = runner.labels.iter().map(|label| label.as_str().into());
            let capacity = object([
                ("Cpu", runner.capacity.cpu.into()),
                ("MemMb", runner.capacity.mem_mb.into()),
                ("Gpu", runner.capacity.gpu.into()),
            ]);
            let entry = object([
                ("Service", runner.service.as_str().into()),
                ("Address", runner.address.as_str().into()),
                ("Zone", runner.zone.as_str().into()),
                ("Version", "v1".into()),
                ("Slots", 8.into()),
                ("State", "ready".into()),
                ("ColdRemainingMs", 0.into()),
                ("Capacity", capacity),
                ("Labels", labels.collect::<Vec<Json>>().into()),
                ("ClockMs", runner.clock().into()),
                ("Sequence", runner.sequence.into()),
            ]);
            (format!("servers/{}", runner.id), entry.to_string())
        };
        self.store.put(&entry.0, &entry.1);
    }

    /// Makes a job known to the runners, which judge what they are told to start by it.
    pub fn announce(&self, job: &str, spec: &str, steps: &[Step]) {
        self.lock()
            .jobs
            .insert(job.to_owned(), (spec.to_owned(), steps.to_vec()));
    }

    pub fn summary(&self, job: &str) -> Summary {
        self.lock().seen.get(job).cloned().unwrap_or_default()
    }

    /// What the runners hold against the system, in the order in which it was seen.
    pub fn broken(&self) -> Vec<String> {
        self.lock().broken.clone()
    }

    /// Ends that were listed and for a time since not taken note of, and all ends.
    pub fn unnoted_ends(&self, older_than_ms: u64) -> (usize, usize) {
        let state = self.lock();
        let now = self.record.now_ms();
        let ends = state.runners.iter().flat_map(|runner| &runner.ends);
        let old: Vec<&End> = ends
            .filter(|end| now - end.at_ms >= older_than_ms)
            .collect();
        (
            old.iter().filter(|end| end.noted_ms.is_none()).count(),
            old.len(),
        )
    }

    /// Whether there is room for twice a need on the runners, and the share of the capacity in use.
    pub fn room(&self, need: Amount, count: u64) -> (bool, f64) {
        let state = self.lock();
        let mut places = 0;
        let (mut used, mut all) = (Amount::default(), Amount::default());
        for runner in &state.runners {
            let mut free = runner.capacity.minus(runner.used());
            while need.fits(free) && places < 2 * count {
                free = free.minus(need);
                places += 1;
            }
            used = used.plus(runner.used());
            all = all.plus(runner.capacity);
        }
        let share = |used: u64, all: u64| used as f64 / all.max(1) as f64;
        let share = share(used.cpu, all.cpu)
            .max(share(used.mem_mb, all.mem_mb))
            .max(share(used.gpu, all.gpu));
        (places >= 2 * count, share)
    }

    fn answer(&self, index: usize, request: &Request) -> Reply {
        if request.path == "/hold" {
            return self.hold(index, request);
        }
        thread::sleep(self.answer);
        let body = Json::parse(&request.body)?;
        let mut state = self.lock();
        let runner = &mut state.runners[index];
        if let Some(refusal) = check(runner, request, &body) {
            return Some(refusal);
        }
        let task = body.get("Task").text()?.to_owned();
        let run = body.get("Run").int()? as u64;
        let reply = match request.path.as_str() {
            "/run-start" => self.start(&mut state, index, &task, run, &body),
            "/run-stop" => self.stop(&mut state, index, &task, run),
            "/pace" => (200, ""),
            _ => (404, ""),
        };
        let clock = state.runners[index].clock();
        let body = match reply.1 {
            "" => object([("ClockMs", clock.into())]),
            reason => object([("ClockMs", clock.into()), ("Reason", reason.into())]),
        };
        Some((reply.0, body.to_string()))
    }

    fn start(
        &self,
        state: &mut State,
        index: usize,
        task: &str,
        run: u64,
        body: &Json,
    ) -> (u16, &'static str) {
        let now = self.record.now_ms();
        let Some((job, step_number)) = parts_of(task) else {
            return (400, "");
        };
        let Some((spec, steps)) = state.jobs.get(&job).cloned() else {
            state
                .broken
                .push(format!("UNASKED: {task} of an unknown job is started"));
            return (400, "");
        };
        let Some(step) = steps.get(step_number).cloned() else {
            return (400, "");
        };
        if body.get("Spec").text() != Some(spec.as_str()) {
            state
                .broken
                .push(format!("UNASKED: {task} is started with another Spec"));
        }
        let elsewhere = state.runners.iter().enumerate().any(|(other, runner)| {
            let mut runs = runner.runs.keys();
            runs.any(|(name, number)| name == task && (other != index || *number != run))
        });
        let runner = &mut state.runners[index];
        let wanted = body.get("DeadlineMs").int().unwrap_or(0).max(0) as u64;
        let clock = runner.clock();
        runner.deadline = runner.deadline.max(wanted.min(clock + HOLD_MAX_MS));
        if runner.runs.contains_key(&(task.to_owned(), run)) {
            return (200, "");
        }
        if runner.over.get(task).is_some_and(|over| run <= *over) {
            return (409, "old");
        }
        if wanted <= clock {
            return (409, "late");
        }
        let resumed = body
            .get("Checkpoint")
            .text()
            .and_then(|text| u64::from_str_radix(text, 16).ok());
        let gang = step.is_gang.then(|| {
            format!(
                "{}#{run}",
                task.rsplit_once('.').map_or("", |(step, _)| step)
            )
        });
        let entry = Run {
            started_ms: now,
            work_ms: step.work_ms,
            resumed_ms: resumed.unwrap_or(0),
            working_since: gang.is_none().then_some(now),
            ends_by_stop_at: None,
            step,
            gang,
        };
        runner.runs.insert((task.to_owned(), run), entry);
        let is_over = !runner.used().fits(runner.capacity);
        let (name, id) = (runner.name.clone(), runner.id.clone());
        self.record
            .line(&format!("start {task}#{run} on {name} ({id})"));
        if is_over {
            state
                .broken
                .push(format!("LIMIT: {task} brings {name} over its capacity"));
        }
        if elsewhere {
            state.broken.push(format!(
                "TWICE: {task}#{run} is started while another run is at work"
            ));
        }
        let seen = state.seen.entry(job).or_default();
        seen.starts += 1;
        seen.running += 1;
        seen.last_activity_ms = now;
        (200, "")
    }

    fn stop(&self, state: &mut State, index: usize, task: &str, run: u64) -> (u16, &'static str) {
        let now = self.record.now_ms();
        let runner = &mut state.runners[index];
        let over = runner.over.entry(task.to_owned()).or_insert(0);
        *over = (*over).max(run);
        if let Some(run) = runner.runs.get_mut(&(task.to_owned(), run)) {
            run.ends_by_stop_at.get_or_insert(now + STOP_MS / 2);
        }
        (200, "")
    }

    fn hold(&self, index: usize, request: &Request) -> Reply {
        let body = Json::parse(&request.body)?;
        let number = |name: &str| body.get(name).int().unwrap_or(0).max(0) as u64;
        let until = Instant::now() + Duration::from_millis(number("WaitMs").min(2_000));
        {
            let mut state = self.lock();
            let now = self.record.now_ms();
            let runner = &mut state.runners[index];
            if let Some(refusal) = check(runner, request, &body) {
                return Some(refusal);
            }
            let clock = runner.clock();
            runner.deadline = runner
                .deadline
                .max(number("DeadlineMs").min(clock + HOLD_MAX_MS));
            runner.last_seen = runner.last_seen.max(number("LastSeen"));
            let last_seen = runner.last_seen;
            for end in runner.ends.iter_mut().filter(|end| end.number <= last_seen) {
                end.noted_ms.get_or_insert(now);
            }
        }
        loop {
            let state = self.lock();
            let runner = &state.runners[index];
            let unseen = runner
                .ends
                .iter()
                .filter(|end| end.number > runner.last_seen);
            let unseen: Vec<&End> = unseen.take(MAX_ENDS).collect();
            if !unseen.is_empty() || Instant::now() >= until {
                let now = self.record.now_ms();
                let running = runner
                    .runs
                    .iter()
                    .filter(|(_, run)| run.ends_by_stop_at.is_none());
                let running = running.map(|((task, number), run)| {
                    let percent = run.worked_ms(now) * 100 / run.work_ms.max(1);
                    let row: Vec<Json> = vec![
                        task.as_str().into(),
                        (*number).into(),
                        run.saved(now).into(),
                        percent.min(100).into(),
                        0.into(),
                    ];
                    row.into()
                });
                let ended = unseen.iter().map(|end| {
                    let row: Vec<Json> = vec![
                        end.number.into(),
                        end.task.as_str().into(),
                        end.run.into(),
                        end.how.into(),
                        end.saved.as_str().into(),
                    ];
                    row.into()
                });
                let reply = object([
                    ("ClockMs", runner.clock().into()),
                    ("Running", running.collect::<Vec<Json>>().into()),
                    ("Ended", ended.collect::<Vec<Json>>().into()),
                ]);
                return Some((200, reply.to_string()));
            }
            drop(state);
            thread::sleep(Duration::from_millis(3));
        }
    }

    /// Lets the runs work, and ends those that are over.
    fn tick(&self) {
        let mut state = self.lock();
        let now = self.record.now_ms();
        let mut present: HashMap<String, u64> = HashMap::new();
        for runner in &state.runners {
            for gang in runner.runs.values().filter_map(|run| run.gang.as_ref()) {
                *present.entry(gang.clone()).or_default() += 1;
            }
        }
        let mut over: Vec<(usize, String, u64, &'static str)> = Vec::new();
        for (index, runner) in state.runners.iter_mut().enumerate() {
            let is_lapsed = runner.clock() > runner.deadline;
            for ((task, number), run) in &mut runner.runs {
                let is_whole = run
                    .gang
                    .as_ref()
                    .is_none_or(|gang| present[gang] >= run.step.count);
                let how = if is_lapsed {
                    Some("lapsed")
                } else if run.ends_by_stop_at.is_some_and(|at| now >= at) {
                    Some("stopped")
                } else if run.working_since.is_some() && !is_whole {
                    Some("broken")
                } else if run.working_since.is_some() {
                    (run.worked_ms(now) >= run.work_ms && !run.step.lasts).then_some("done")
                } else if is_whole {
                    run.working_since = Some(now);
                    None
                } else {
                    (now - run.started_ms >= GANG_WAIT_MS).then_some("alone")
                };
                over.extend(how.map(|how| (index, task.clone(), *number, how)));
            }
        }
        for (index, task, number, how) in over {
            let runner = &mut state.runners[index];
            let Some(run) = runner.runs.remove(&(task.clone(), number)) else {
                continue;
            };
            let saved = if how == "done" {
                String::new()
            } else {
                run.saved(now)
            };
            runner.end(now, &task, number, how, saved);
            let name = runner.name.clone();
            self.record
                .line(&format!("end {task}#{number} on {name}: {how}"));
            let seen = state.seen.entry(job_of(&task)).or_default();
            seen.running -= 1;
            seen.last_activity_ms = now;
            match how {
                "done" => seen.done += 1,
                "failed" => seen.failed += 1,
                "alone" => seen.alone += 1,
                _ => {}
            }
        }
    }
}

/// Refuses a call that is meant for another life or comes from an earlier holder.
fn check(runner: &mut Runner, request: &Request, body: &Json) -> Option<(u16, String)> {
    let clock = runner.clock();
    let target = request.header("x-target-instance");
    if !target.is_empty() && target != runner.id {
        return Some((421, object([("ClockMs", clock.into())]).to_string()));
    }
    let token = body.get("FencingToken").int().unwrap_or(0) as u64;
    if token < runner.fence {
        let reply = object([("ClockMs", clock.into()), ("Reason", "fence".into())]);
        return Some((409, reply.to_string()));
    }
    runner.fence = token;
    None
}

/// The job and the number of the step in a subtask's name.
fn parts_of(task: &str) -> Option<(String, usize)> {
    let mut parts = task.split('.');
    let job = parts.next()?.to_owned();
    let step = parts.nth(1)?.parse().ok()?;
    Some((job, step))
}

fn job_of(task: &str) -> String {
    task.split('.').next().unwrap_or("").to_owned()
}
