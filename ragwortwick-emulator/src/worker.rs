//! A worker: runs tasks under a lease, by the platform's published rules.

use std::collections::BTreeMap;
use std::sync::Arc;

use ragwortwick_area::{
    EndKind, EndedTask, OrderReply, RefusalCause, Resources, RunningTask, TaskId, WorkerEntry,
    WorkerReport,
};
use ragwortwick_core::{DurationMs, TimeMs, WorkerName};

use crate::arrivals::{as_float, whole};

/// `Attempt` is one run in progress.
#[derive(Clone, Debug)]
pub(crate) struct Attempt {
    pub(crate) run: u32,
    pub(crate) need: Resources,
    pub(crate) started_at: TimeMs,
    /// Its work at normal speed, and how much of that was done before the present span.
    pub(crate) work_ms: DurationMs,
    pub(crate) brought_ms: DurationMs,
    /// How many times as long as at normal speed it takes.
    pub(crate) factor: f64,
    /// When the work began or went on, and when it is done; none while it stands still.
    pub(crate) span: Option<(TimeMs, TimeMs)>,
    pub(crate) will_fail: bool,
    pub(crate) saves: bool,
}

impl Attempt {
    /// Lets the work begin; it takes `factor` times as long as at normal speed.
    pub(crate) fn begin(&mut self, now: TimeMs, factor: f64, restore_ms: DurationMs) {
        let rest = as_float(self.work_ms.0.saturating_sub(self.brought_ms.0)) * factor;
        let restore_ms = if self.brought_ms.0 > 0 {
            restore_ms.0
        } else {
            0
        };
        self.factor = factor;
        self.span = Some((now, now + DurationMs(whole(rest) + restore_ms)));
    }

    /// Lets the work stand still.
    pub(crate) fn pause(&mut self, now: TimeMs) {
        self.brought_ms = DurationMs(self.done_ms(now));
        self.span = None;
    }

    /// Lets work that stood still go on.
    pub(crate) fn go_on(&mut self, now: TimeMs) {
        if self.span.is_none() && self.factor > 0.0 {
            self.begin(now, self.factor, DurationMs(0));
        }
    }

    pub(crate) fn is_done(&self, now: TimeMs) -> bool {
        self.span.is_some_and(|(_, ends)| now >= ends)
    }

    /// Work that is done, at normal speed.
    fn done_ms(&self, now: TimeMs) -> u64 {
        let Some((began, ends)) = self.span else {
            return self.brought_ms.0;
        };
        let span = ends.since(began).0.max(1);
        let rest = self.work_ms.0.saturating_sub(self.brought_ms.0);
        self.brought_ms.0 + rest * now.since(began).0.min(span) / span
    }

    /// Time spent on work that a run which ends now leaves unsaved.
    pub(crate) fn unsaved_ms(&self, now: TimeMs, kind: EndKind, saving: &Saving) -> u64 {
        let spent_ms = now.since(self.started_at).0;
        if !self.saves {
            spent_ms
        } else if saving.is_restored && kind == EndKind::Stopped {
            0
        } else {
            spent_ms.min(saving.every_ms.0)
        }
    }
}

/// `Saving` tells how the worker saves and restores progress.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Saving {
    /// Whether a start from a checkpoint leaves out what was saved.
    pub(crate) is_restored: bool,
    /// Work between two checkpoints.
    pub(crate) every_ms: DurationMs,
    /// Time that resuming takes.
    pub(crate) restore_ms: DurationMs,
}

impl Saving {
    fn last_saved_ms(&self, done_ms: u64) -> u64 {
        done_ms - done_ms % self.every_ms.0.max(1)
    }
}

/// `EmuWorker` is one worker with its present life.
#[derive(Clone, Debug)]
pub(crate) struct EmuWorker {
    pub(crate) name: WorkerName,
    pub(crate) life: u32,
    pub(crate) rack: String,
    pub(crate) label: &'static str,
    pub(crate) capacity: Resources,
    /// When it shrank; none while it is whole.
    pub(crate) shrunk_at: Option<TimeMs>,
    /// The worker's clock is the world's plus this, and a little slow.
    clock_offset_ms: u64,
    pub(crate) presence: Presence,
    pub(crate) draining_since: Option<TimeMs>,
    pub(crate) leaves_at: Option<TimeMs>,
    pub(crate) slowness: u32,
    pub(crate) speed_percent: u32,
    pub(crate) saving: Saving,
    pub(crate) is_failing: bool,
    pub(crate) is_hung: bool,
    pub(crate) token: u64,
    /// When the lease of everything ends, on the worker's clock.
    lease_until: u64,
    /// Ends up to this number were listed when the lease ran out and killed what ran; by the platform's
    /// rules they don't count as known any more, whoever hears of them later.
    lapsed_to: u64,
    pub(crate) running: BTreeMap<TaskId, Attempt>,
    /// Highest run that ended or was stopped, by task.
    over: BTreeMap<TaskId, u32>,
    pub(crate) ended: Vec<EndedTask>,
    next_end: u64,
    pub(crate) waiting_look: Option<WaitingLook>,
}

/// `Presence` is what a worker's address does with calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Presence {
    /// The worker answers.
    Up,
    /// Its process has ended, and its machine refuses connections.
    Refusing,
    /// Nothing answers.
    Silent,
}

/// `WaitingLook` is a look that waits for an end.
#[derive(Clone, Debug)]
pub(crate) struct WaitingLook {
    pub(crate) host: usize,
    pub(crate) term: u64,
    pub(crate) sent_at: TimeMs,
    pub(crate) until: TimeMs,
}

impl EmuWorker {
    pub(crate) fn new(
        number: u64,
        rack: u32,
        label: &'static str,
        capacity: Resources,
        speed_percent: u32,
        saving: Saving,
    ) -> Self {
        Self {
            name: WorkerName::new(format!("w{number}-0")),
            life: 0,
            rack: format!("r{rack}"),
            label,
            capacity,
            shrunk_at: None,
            clock_offset_ms: 100_000 * (number + 1),
            presence: Presence::Up,
            draining_since: None,
            leaves_at: None,
            slowness: 1,
            speed_percent,
            saving,
            is_failing: false,
            is_hung: false,
            token: 0,
            lease_until: 0,
            lapsed_to: 0,
            running: BTreeMap::new(),
            over: BTreeMap::new(),
            ended: Vec::new(),
            next_end: 1,
            waiting_look: None,
        }
    }

    /// The clock runs one per cent slow.
    pub(crate) fn clock(&self, now: TimeMs) -> u64 {
        self.clock_offset_ms + now.0 * 99 / 100
    }

    pub(crate) fn entry(&self, now: TimeMs) -> WorkerEntry {
        WorkerEntry {
            name: self.name.clone(),
            address: self.name.as_str().into(),
            pool: crate::arrivals::POOL.into(),
            zone: "z".into(),
            rack: self.rack.as_str().into(),
            labels: Arc::from([self.label.into(), self.rack.as_str().into()]),
            capacity: self.capacity,
            is_draining: self.draining_since.is_some(),
            remaining_ms: self.leaves_at.map(|at| at.since(now)),
            clock_ms: Some(self.clock(now)),
        }
    }

    pub(crate) fn is_up(&self) -> bool {
        self.presence == Presence::Up
    }

    pub(crate) fn come_back(&mut self) {
        self.presence = Presence::Up;
    }

    /// A crash: another life begins, which knows nothing.
    pub(crate) fn restart(&mut self) {
        let number = self
            .name
            .as_str()
            .split('-')
            .next()
            .unwrap_or("w")
            .to_owned();
        self.life += 1;
        self.name = WorkerName::new(format!("{number}-{}", self.life));
        self.token = 0;
        self.lease_until = 0;
        self.lapsed_to = 0;
        self.running.clear();
        self.over.clear();
        self.ended.clear();
        self.next_end = 1;
        self.waiting_look = None;
    }

    /// Whether an end had been listed when the lease ran out.
    pub(crate) fn is_lapsed(&self, end: &EndedTask) -> bool {
        end.sequence <= self.lapsed_to
    }

    /// The lease has run out and kills everything.
    pub(crate) fn lapse(&mut self, now: TimeMs) -> Vec<TaskId> {
        if !self.is_lease_over(now) {
            return Vec::new();
        }
        self.lapsed_to = self.next_end - 1;
        self.running.keys().cloned().collect()
    }

    fn grant(&mut self, now: TimeMs, until: u64, lease_ms: DurationMs) {
        let most = self.clock(now) + lease_ms.0;
        self.lease_until = self.lease_until.max(until.min(most));
    }

    /// Whether the lease has run out with something running.
    fn is_lease_over(&self, now: TimeMs) -> bool {
        !self.running.is_empty() && self.clock(now) >= self.lease_until
    }

    /// Checks an order to start; `Ok(true)` begins a new run.
    pub(crate) fn admit(
        &mut self,
        now: TimeMs,
        token: u64,
        task: &TaskId,
        run: u32,
        until: u64,
        lease_ms: DurationMs,
    ) -> Result<bool, RefusalCause> {
        if token < self.token {
            return Err(RefusalCause::Fenced);
        }
        self.token = token;
        if until <= self.clock(now) {
            return Err(RefusalCause::LeaseOver);
        }
        self.grant(now, until, lease_ms);
        if self.running.get(task).is_some_and(|held| held.run == run) {
            return Ok(false);
        }
        if self.over.get(task).is_some_and(|&over| run <= over) {
            return Err(RefusalCause::StaleRun);
        }
        Ok(true)
    }

    /// Ends a run and lists it.
    pub(crate) fn end(&mut self, now: TimeMs, task: &TaskId, kind: EndKind) -> Option<Attempt> {
        let run = self.running.remove(task)?;
        let over = self.over.entry(task.clone()).or_insert(0);
        *over = (*over).max(run.run);
        let saved_ms = if kind == EndKind::Stopped {
            run.done_ms(now)
        } else {
            self.saving.last_saved_ms(run.done_ms(now))
        };
        self.ended.push(EndedTask {
            sequence: self.next_end,
            task: task.clone(),
            run: run.run,
            kind,
            checkpoint: checkpoint(task, &run, saved_ms),
        });
        self.next_end += 1;
        Some(run)
    }

    /// An order to stop; a run that is not there yet is refused from then on.
    pub(crate) fn stop(&mut self, now: TimeMs, token: u64, task: &TaskId, run: u32) -> OrderReply {
        if token < self.token {
            return OrderReply::Refused(RefusalCause::Fenced);
        }
        self.token = token;
        let over = self.over.entry(task.clone()).or_insert(0);
        *over = (*over).max(run);
        OrderReply::Accepted {
            clock_ms: self.clock(now),
        }
    }

    /// A look: renews, forgets known ends, and tells.
    pub(crate) fn look(
        &mut self,
        now: TimeMs,
        token: u64,
        until: Option<u64>,
        noted: u64,
        lease_ms: DurationMs,
    ) -> Result<Vec<EndedTask>, RefusalCause> {
        if token < self.token {
            return Err(RefusalCause::Fenced);
        }
        self.token = token;
        if let Some(until) = until {
            self.grant(now, until, lease_ms);
        }
        let (forgotten, kept) = std::mem::take(&mut self.ended)
            .into_iter()
            .partition(|end| end.sequence <= noted);
        self.ended = kept;
        Ok(forgotten)
    }

    pub(crate) fn told(&self, now: TimeMs) -> WorkerReport {
        WorkerReport {
            clock_ms: self.clock(now),
            running: self
                .running
                .iter()
                .map(|(task, run)| RunningTask {
                    task: task.clone(),
                    run: run.run,
                    checkpoint: checkpoint(task, run, self.saving.last_saved_ms(run.done_ms(now))),
                    percent: percent(run, now),
                    load: 0,
                })
                .collect(),
            ended: self.ended.clone(),
        }
    }

    /// How many times as long as at normal speed work takes here.
    pub(crate) fn factor(&self) -> f64 {
        f64::from(self.slowness) * 100.0 / f64::from(self.speed_percent.max(1))
    }

    pub(crate) fn used(&self) -> Resources {
        self.running
            .values()
            .fold(Resources::default(), |sum, run| sum.plus(run.need))
    }
}

/// A checkpoint names its step, so that a foreign one is noticed, and the work that it saves.
fn checkpoint(task: &TaskId, run: &Attempt, saved_ms: u64) -> Arc<str> {
    if !run.saves || saved_ms == 0 {
        return "".into();
    }
    format!(
        "{}.{}.{}/{saved_ms}",
        task.job_id, task.occurrence, task.step
    )
    .into()
}

/// The step that a checkpoint names, and the work that it saves.
pub(crate) fn read_checkpoint(text: &str) -> (&str, DurationMs) {
    let (step, saved) = text.split_once('/').unwrap_or((text, ""));
    (step, DurationMs(saved.parse().unwrap_or(0)))
}

fn percent(run: &Attempt, now: TimeMs) -> u32 {
    let percent = run.done_ms(now) * 100 / run.work_ms.0.max(1);
    u32::try_from(percent).unwrap_or(100)
}
