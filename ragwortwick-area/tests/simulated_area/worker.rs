//! A simulated worker that follows the platform's protocol: leases, fencing tokens, stops and run ends.

use std::collections::BTreeMap;

use ragwortwick_area::{
    EndKind, EndedTask, OrderReply, RefusalCause, RunningTask, TaskId, WorkerEntry, WorkerReport,
};
use ragwortwick_core::{DurationMs, WorkerName};

use crate::rig;

/// Longest lease that a worker grants.
const MAX_LEASE_MS: u64 = 10_000;

/// Time that a stop takes.
pub const STOP_MS: u64 = 200;

/// Duration of tasks that outlast a schedule's faults.
pub const LONG_MS: u64 = 60_000;

/// Accelerators of a worker.
const ACCELERATORS: u64 = 8;

/// A run in progress.
#[derive(Clone, Debug)]
pub struct ActiveRun {
    pub accelerators: u64,
    pub started_at: u64,
    /// When it ends by itself, and how.
    pub ends: (u64, EndKind),
    /// When a stop in progress ends it.
    pub stops_at: Option<u64>,
}

impl ActiveRun {
    fn percent(&self, now: u64) -> u32 {
        let percent = (now - self.started_at) * 100 / LONG_MS;
        u32::try_from(percent).unwrap_or(100)
    }
}

/// A poll that waits for a run end.
#[derive(Clone, Copy, Debug)]
pub struct WaitingPoll {
    pub request: u64,
    pub until: u64,
    pub acked_end: u64,
}

/// One worker in its current incarnation.
#[derive(Debug)]
pub struct SimWorker {
    number: usize,
    /// Run ends that a reply lists at most, the earliest first.
    ends_per_reply: usize,
    incarnation: u32,
    pub name: WorkerName,
    pub is_listed: bool,
    /// When it leaves; none if it isn't draining.
    pub leaves_at: Option<u64>,
    fencing_token: u64,
    /// End of the lease, on the worker's clock.
    lease_until: u64,
    pub runs: BTreeMap<(TaskId, u32), ActiveRun>,
    /// Highest run number that ended or was stopped, by task.
    highest_ended: BTreeMap<TaskId, u32>,
    ended: Vec<EndedTask>,
    last_sequence: u64,
    pub polls: Vec<WaitingPoll>,
    /// No request or reply passes before this time.
    pub cut_until: u64,
    /// It refuses all requests as unhealthy before this time.
    pub unhealthy_until: u64,
    /// It refuses two of three requests as unhealthy before this time.
    pub flaky_until: u64,
    requests: u64,
    /// Two of three orders to it go without a reply and are carried out late before this time.
    pub silent_until: u64,
    orders: u64,
}

/// Whether the request with this number is among the third that a faulty worker handles, in no regular pattern.
fn is_spared(number: u64) -> bool {
    let mixed = number.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    let mixed = (mixed ^ (mixed >> 29)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    (mixed ^ (mixed >> 32)).is_multiple_of(3)
}

fn name(number: usize, incarnation: u32) -> WorkerName {
    WorkerName::new(format!("w{number}-{incarnation}"))
}

impl SimWorker {
    pub fn new(number: usize, ends_per_reply: usize) -> Self {
        Self {
            number,
            ends_per_reply,
            incarnation: 0,
            name: name(number, 0),
            is_listed: true,
            leaves_at: None,
            fencing_token: 0,
            lease_until: 0,
            runs: BTreeMap::new(),
            highest_ended: BTreeMap::new(),
            ended: Vec::new(),
            last_sequence: 0,
            polls: Vec::new(),
            cut_until: 0,
            unhealthy_until: 0,
            flaky_until: 0,
            requests: 0,
            silent_until: 0,
            orders: 0,
        }
    }

    /// Replaces the worker by its next incarnation, which has no state.
    pub fn restart(&mut self) {
        let incarnation = self.incarnation + 1;
        *self = Self {
            incarnation,
            name: name(self.number, incarnation),
            ..Self::new(self.number, self.ends_per_reply)
        };
    }

    pub fn is_cut(&self, now: u64) -> bool {
        now < self.cut_until
    }

    /// Counts a request and returns whether it is refused as unhealthy.
    pub fn refuses(&mut self, now: u64) -> bool {
        self.requests += 1;
        now < self.unhealthy_until || (now < self.flaky_until && !is_spared(self.requests))
    }

    /// Counts an order and returns whether it goes without a reply and is carried out late.
    pub fn delays_order(&mut self, now: u64) -> bool {
        self.orders += 1;
        now < self.silent_until && !is_spared(self.orders + 1_000)
    }

    /// The worker's clock, which runs 2 % slow.
    pub fn clock(&self, now: u64) -> u64 {
        100_000 * (self.number as u64 + 1) + now * 98 / 100
    }

    pub fn entry(&self, now: u64) -> WorkerEntry {
        WorkerEntry {
            clock_ms: Some(self.clock(now)),
            is_draining: self.leaves_at.is_some(),
            remaining_ms: self.leaves_at.map(|at| DurationMs(at.saturating_sub(now))),
            ..rig::worker(self.name.as_str(), "r1")
        }
    }

    fn extend_lease(&mut self, now: u64, until: u64) {
        let granted = until.min(self.clock(now) + MAX_LEASE_MS);
        self.lease_until = self.lease_until.max(granted);
    }

    /// Checks a request's fencing token; a lower one than before has no effect.
    fn accept_token(&mut self, token: u64) -> Result<(), RefusalCause> {
        if token < self.fencing_token {
            return Err(RefusalCause::Fenced);
        }
        self.fencing_token = token;
        Ok(())
    }

    /// Handles a start order; the second part of the result is whether a run begins.
    pub fn start(
        &mut self,
        now: u64,
        token: u64,
        run: (TaskId, u32),
        lease_until: u64,
        new_run: ActiveRun,
    ) -> (OrderReply, bool) {
        if let Err(cause) = self.accept_token(token) {
            return (OrderReply::Refused(cause), false);
        }
        if lease_until <= self.clock(now) {
            return (OrderReply::Refused(RefusalCause::LeaseOver), false);
        }
        self.extend_lease(now, lease_until);
        let clock_ms = self.clock(now);
        if self.runs.contains_key(&run) {
            return (OrderReply::Accepted { clock_ms }, false);
        }
        let highest = self.highest_ended.get(&run.0).copied().unwrap_or(0);
        if run.1 <= highest {
            return (OrderReply::Refused(RefusalCause::StaleRun), false);
        }
        let used: u64 = self.runs.values().map(|active| active.accelerators).sum();
        if used + new_run.accelerators > ACCELERATORS {
            return (OrderReply::Refused(RefusalCause::NoRoom), false);
        }
        self.runs.insert(run, new_run);
        (OrderReply::Accepted { clock_ms }, true)
    }

    /// Handles a stop order, which also rules out a start that arrives later.
    pub fn stop(&mut self, now: u64, token: u64, run: (TaskId, u32)) -> OrderReply {
        if let Err(cause) = self.accept_token(token) {
            return OrderReply::Refused(cause);
        }
        if let Some(active) = self.runs.get_mut(&run) {
            active.stops_at.get_or_insert(now + STOP_MS);
        }
        let highest = self.highest_ended.entry(run.0).or_insert(0);
        *highest = (*highest).max(run.1);
        OrderReply::Accepted {
            clock_ms: self.clock(now),
        }
    }

    /// Handles a poll: renews the lease and forgets the acknowledged ends.
    pub fn poll(
        &mut self,
        now: u64,
        token: u64,
        lease_until: Option<u64>,
        acked_end: u64,
    ) -> Result<(), RefusalCause> {
        self.accept_token(token)?;
        if let Some(until) = lease_until {
            self.extend_lease(now, until);
        }
        self.ended.retain(|end| end.sequence > acked_end);
        Ok(())
    }

    pub fn report(&self, now: u64) -> WorkerReport {
        let running = self.runs.iter().map(|((task, run), active)| RunningTask {
            task: task.clone(),
            run: *run,
            checkpoint: "".into(),
            percent: active.percent(now),
            load: 0,
        });
        let ended = self.ended.iter().take(self.ends_per_reply);
        WorkerReport {
            clock_ms: self.clock(now),
            running: running.collect(),
            ended: ended.cloned().collect(),
            has_more_ends: self.ended.len() >= self.ends_per_reply,
        }
    }

    /// Takes the waiting polls that are answered now.
    pub fn take_due_polls(&mut self, now: u64) -> Vec<WaitingPoll> {
        let ended = &self.ended;
        let is_due = |poll: &WaitingPoll| {
            now >= poll.until || ended.iter().any(|end| end.sequence > poll.acked_end)
        };
        let (due, waiting) = self.polls.drain(..).partition(is_due);
        self.polls = waiting;
        due
    }

    /// Ends a run and lists its end.
    pub fn end(&mut self, run: &(TaskId, u32), kind: EndKind) {
        if self.runs.remove(run).is_none() {
            return;
        }
        let highest = self.highest_ended.entry(run.0.clone()).or_insert(0);
        *highest = (*highest).max(run.1);
        self.last_sequence += 1;
        self.ended.push(EndedTask {
            sequence: self.last_sequence,
            task: run.0.clone(),
            run: run.1,
            kind,
            checkpoint: "".into(),
        });
    }

    /// The runs that end now: by a stop, by themselves, or because the lease has expired.
    pub fn due_ends(&self, now: u64) -> Vec<((TaskId, u32), EndKind)> {
        let is_expired = self.clock(now) >= self.lease_until;
        let due = self.runs.iter().filter_map(|(run, active)| {
            let kind = if is_expired {
                EndKind::LeaseExpired
            } else if active.stops_at.is_some_and(|at| now >= at) {
                EndKind::Stopped
            } else if now >= active.ends.0 {
                active.ends.1
            } else {
                return None;
            };
            Some((run.clone(), kind))
        });
        due.collect()
    }
}
