//! A simulated store, network and workers around the real coordinators of successive terms.

pub mod delivery;
pub mod jobs;
pub mod network;
pub mod schedule;
pub mod terms;
pub mod worker;

use std::collections::{BTreeMap, VecDeque};

use ragwortwick_area::{Event, JobPhase, TaskId};
use ragwortwick_core::{JobId, WorkerName};

use jobs::StoredJob;
use network::{Message, OrderQueue, PendingRequest};
use schedule::{Fate, RequestKind, Step};
use terms::Term;
use worker::{STOP_MS, SimWorker};

/// Time within which an acknowledged cancel takes effect.
pub const CANCEL_MS: u64 = 3_000;

/// Time after an impairment from which its area counts as calm.
pub const STABLE_MS: u64 = 3_000;

/// Resolution of the simulated time.
const TICK_MS: u64 = 5;

/// Time between two events of the store that each term receives while it holds the key.
const RENEWAL_MS: u64 = 250;

/// Time for which a draining worker goes on.
const DRAIN_MS: u64 = 4_000;

/// Delay of the watch of the store.
const WATCH_MS: u64 = 10;

/// The runs that have to be gone once the area is calm.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Checked {
    /// Those of cancelled and failed jobs.
    EndedJobs,
    /// Also those of tasks that are done, and of completed jobs.
    EndedJobsAndDoneTasks,
}

/// The simulated area.
#[derive(Debug)]
pub struct World {
    pub now: u64,
    pub workers: Vec<SimWorker>,
    pub jobs: BTreeMap<JobId, StoredJob>,
    /// Coordinators that still run; the last one may hold the key.
    pub terms: Vec<Term>,
    pub last_term: u64,
    /// Start of the next term; none while one holds the key.
    pub next_term_at: Option<u64>,
    pub handed_over: Vec<ragwortwick_area::RunResult>,
    messages: BTreeMap<(u64, u64), Message>,
    requests: BTreeMap<u64, PendingRequest>,
    order_queues: BTreeMap<(u64, WorkerName), OrderQueue>,
    last_number: u64,
    fates: BTreeMap<RequestKind, VecDeque<Fate>>,
    pub is_evacuated: bool,
    watch_delayed_until: u64,
    commits_delayed_until: u64,
    /// Since when nothing impairs the area.
    pub calm_from: u64,
    pub trace: Vec<String>,
    pub violation: Option<String>,
    checked: Checked,
}

impl World {
    pub fn new(workers: usize, ends_per_reply: usize, checked: Checked) -> Self {
        let workers = (0..workers).map(|number| SimWorker::new(number, ends_per_reply));
        Self {
            now: 1_000,
            workers: workers.collect(),
            jobs: BTreeMap::new(),
            terms: Vec::new(),
            last_term: 0,
            next_term_at: Some(1_000),
            handed_over: Vec::new(),
            messages: BTreeMap::new(),
            requests: BTreeMap::new(),
            order_queues: BTreeMap::new(),
            last_number: 0,
            fates: BTreeMap::new(),
            is_evacuated: false,
            watch_delayed_until: 0,
            commits_delayed_until: 0,
            calm_from: 1_000,
            trace: Vec::new(),
            violation: None,
            checked,
        }
    }

    pub fn log(&mut self, text: impl AsRef<str>) {
        self.trace
            .push(format!("{:>6} {}", self.now, text.as_ref()));
    }

    /// Records an impairment that lasts until the given time.
    fn impair_until(&mut self, until: u64) {
        self.calm_from = self.calm_from.max(until + STABLE_MS);
    }

    pub fn worker_index(&self, number: u8) -> usize {
        usize::from(number) % self.workers.len()
    }

    /// Carries out one step of a schedule.
    pub fn apply(&mut self, step: Step) {
        self.log(format!("step {step:?}"));
        match step {
            Step::Submit(kind) => self.submit(kind),
            Step::Cancel(number) => self.cancel(number),
            Step::Decide { kind, fate, count } => {
                let fates = self.fates.entry(kind).or_default();
                fates.extend(std::iter::repeat_n(fate, usize::from(count)));
            }
            Step::EndTerm {
                is_committed,
                keeps_requests,
                gap_ms,
            } => self.end_term(is_committed, keeps_requests, u64::from(gap_ms)),
            Step::Depose {
                is_committed,
                goes_on_ms,
            } => self.depose(is_committed, u64::from(goes_on_ms)),
            Step::Unlist(number) => {
                let index = self.worker_index(number);
                self.set_listed(index, false);
            }
            Step::List(number) => {
                let index = self.worker_index(number);
                self.set_listed(index, true);
            }
            Step::Restart(number) => {
                let index = self.worker_index(number);
                self.restart(index);
                self.impair_until(self.now);
            }
            Step::Drain(number) => self.drain(number),
            Step::Evacuate(is_evacuated) => {
                self.is_evacuated = is_evacuated;
                self.renew_term();
            }
            Step::Cut(number, ms) => {
                let index = self.worker_index(number);
                let until = self.now + u64::from(ms);
                self.workers[index].cut_until = until;
                self.impair_until(until);
            }
            Step::Outage(number, ms) => {
                self.apply(Step::Cut(number, ms));
                self.run_for(u64::from(ms));
            }
            Step::Flaky(number, ms) => {
                let index = self.worker_index(number);
                let until = self.now + u64::from(ms);
                self.workers[index].flaky_until = until;
                self.impair_until(until);
            }
            Step::Silent(number, ms) => {
                let index = self.worker_index(number);
                let until = self.now + u64::from(ms);
                self.workers[index].silent_until = until;
                self.impair_until(until);
            }
            Step::Refuse(number, ms) => {
                let index = self.worker_index(number);
                let until = self.now + u64::from(ms);
                self.workers[index].unhealthy_until = until;
                self.impair_until(until);
            }
            Step::DelayWatch(ms) => {
                let until = self.now + u64::from(ms);
                // Events stay in their order, so that a shorter delay doesn't end a longer one.
                self.watch_delayed_until = self.watch_delayed_until.max(until);
                self.impair_until(self.watch_delayed_until);
            }
            Step::DelayCommits(ms) => {
                self.commits_delayed_until = self.now + u64::from(ms);
                self.impair_until(self.commits_delayed_until);
            }
            Step::Wait(ms) => self.run_for(u64::from(ms)),
        }
    }

    fn set_listed(&mut self, index: usize, is_listed: bool) {
        self.calm_from = self.calm_from.max(self.now);
        let worker = &mut self.workers[index];
        worker.is_listed = is_listed;
        let event = if is_listed {
            Event::WorkerUpdated(worker.entry(self.now))
        } else {
            Event::WorkerRemoved(worker.name.clone())
        };
        self.publish(event);
    }

    fn drain(&mut self, number: u8) {
        let index = self.worker_index(number);
        let worker = &mut self.workers[index];
        worker.leaves_at.get_or_insert(self.now + DRAIN_MS);
        self.calm_from = self.calm_from.max(self.now + DRAIN_MS);
        if worker.is_listed {
            self.set_listed(index, true);
        }
    }

    /// Replaces the workers that have drained.
    fn replace_drained(&mut self) {
        for index in 0..self.workers.len() {
            let leaves_at = self.workers[index].leaves_at;
            if leaves_at.is_some_and(|at| at <= self.now) {
                self.restart(index);
            }
        }
    }

    fn restart(&mut self, index: usize) {
        let gone = self.workers[index].name.clone();
        let broken: Vec<(TaskId, u32)> = self.workers[index].runs.keys().cloned().collect();
        self.workers[index].restart();
        for run in broken {
            self.break_gang(&run);
        }
        self.publish(Event::WorkerRemoved(gone));
        self.set_listed(index, true);
    }

    /// Passes an event of the store to the term that holds the key.
    fn publish(&mut self, event: Event) {
        let at = (self.now + WATCH_MS).max(self.watch_delayed_until);
        if let Some(term) = self.current_term() {
            self.send_at(at, Message::Event { term, event });
        }
    }

    /// Runs the area for the given time.
    pub fn run_for(&mut self, span_ms: u64) {
        let end = self.now + span_ms;
        while self.now < end && self.violation.is_none() {
            self.now += TICK_MS;
            self.begin_due_term();
            self.replace_drained();
            self.deliver_due_messages();
            self.end_due_runs();
            self.answer_due_polls();
            self.wake_terms();
            if self.now % RENEWAL_MS < TICK_MS {
                self.renew_term();
            }
            self.check_runs();
        }
    }

    /// Looks for a run of an ended job that goes on although the area has been calm for long enough.
    fn check_runs(&mut self) {
        let Some(bound) = self.bound() else {
            return;
        };
        let mut found = None;
        for worker in &self.workers {
            for (task, run) in worker.runs.keys() {
                if self.is_ended_by(&task.job_id, bound) || self.is_done_by(task, bound) {
                    found = Some((worker.name.clone(), task.clone(), *run));
                }
            }
        }
        if let Some((worker, task, run)) = found {
            let state = self.describe(&task.job_id);
            self.report(format!(
                "{task} run {run} goes on at {worker}; its job {state}"
            ));
        }
    }

    /// Jobs that ended by this time have to be gone; none if the area has not been calm for long enough.
    fn bound(&self) -> Option<u64> {
        let allowed_ms = CANCEL_MS + STOP_MS;
        (self.now > self.calm_from + allowed_ms).then(|| self.now - allowed_ms)
    }

    /// Whether a job was cancelled, or was stored as failed, before the given time.
    fn is_ended_by(&self, job_id: &JobId, time: u64) -> bool {
        self.jobs.get(job_id).is_some_and(|job| {
            let is_cancelled = job.cancelled_at.is_some_and(|at| at < time);
            let is_failed =
                job.phase() == JobPhase::Failed && job.ended_at.is_some_and(|at| at < time);
            is_cancelled || is_failed
        })
    }

    /// Whether a task was stored as done, or its job as completed, before the given time.
    fn is_done_by(&self, task: &TaskId, time: u64) -> bool {
        let job = self.jobs.get(&task.job_id);
        self.checked == Checked::EndedJobsAndDoneTasks
            && job.is_some_and(|job| {
                let done_at = job.done_at.get(task).copied().or(job.ended_at);
                done_at.is_some_and(|at| at < time)
            })
    }

    /// Checks an order that a coordinator sends.
    fn check_order(&mut self, term: u64, worker: &WorkerName, task: &TaskId, run: u32) {
        let is_late = self
            .bound()
            .is_some_and(|bound| self.is_ended_by(&task.job_id, bound));
        if is_late && self.current_term() == Some(term) {
            let state = self.describe(&task.job_id);
            self.report(format!(
                "an order for {task} run {run} is sent to {worker}; its job {state}"
            ));
        }
    }

    fn describe(&self, job_id: &JobId) -> String {
        self.jobs.get(job_id).map_or_else(
            || "is unknown".to_owned(),
            |job| {
                format!(
                    "was cancelled at {:?} and is stored as {:?} since {:?}; calm from {}",
                    job.cancelled_at,
                    job.phase(),
                    job.ended_at,
                    self.calm_from
                )
            },
        )
    }

    pub fn report(&mut self, text: String) {
        self.log(format!("VIOLATION {text}"));
        self.violation.get_or_insert(text);
    }
}

/// The time as the coordinators get it.
pub fn at(ms: u64) -> ragwortwick_area::Now {
    crate::rig::at(ms)
}
