//! A simulated worker: runs tasks under a lease, by the platform's published rules.

use std::collections::BTreeMap;
use std::sync::Arc;

use ragwortwick_area::{
    EndKind, EndedTask, OrderReply, PollFailure, RefusalCause, Resources, RunningTask, TaskId,
    WorkerEntry, WorkerReport,
};
use ragwortwick_core::{DurationMs, TimeMs, WorkerName, ZoneName};

use crate::arrivals::{as_float, truncate};
use crate::invariants::OtherRun;
use crate::workload::WorkerBehavior;

/// `ActiveRun` is one run in progress.
#[derive(Clone, Debug)]
pub(crate) struct ActiveRun {
    pub(crate) run: u32,
    pub(crate) demand: Resources,
    pub(crate) started_at: TimeMs,
    /// Total work at normal speed, and the part of it done before the current span.
    pub(crate) work_ms: DurationMs,
    pub(crate) done_before_ms: DurationMs,
    /// Factor by which the run takes longer than at normal speed.
    pub(crate) slowdown: f64,
    /// When the work started or resumed, and when it will be done; none while it is paused.
    pub(crate) span: Option<(TimeMs, TimeMs)>,
    pub(crate) will_fail: bool,
    pub(crate) saves_checkpoints: bool,
    /// Whether its start order was carried out seconds after it was sent.
    pub(crate) is_late: bool,
}

impl ActiveRun {
    /// Whether it is a gang member that waits for the others.
    fn is_waiting(&self) -> bool {
        self.slowdown == 0.0
    }

    /// Starts the work, which takes `slowdown` times as long as at normal speed.
    pub(crate) fn start_work(&mut self, now: TimeMs, slowdown: f64, restore_ms: DurationMs) {
        let rest = as_float(self.work_ms.0.saturating_sub(self.done_before_ms.0)) * slowdown;
        let restore_ms = if self.done_before_ms.0 > 0 {
            restore_ms.0
        } else {
            0
        };
        self.slowdown = slowdown;
        self.span = Some((now, now + DurationMs(truncate(rest) + restore_ms)));
    }

    /// Pauses the work.
    pub(crate) fn pause(&mut self, now: TimeMs) {
        self.done_before_ms = DurationMs(self.done_ms(now));
        self.span = None;
    }

    /// Resumes paused work.
    pub(crate) fn resume(&mut self, now: TimeMs) {
        if self.span.is_none() && self.slowdown > 0.0 {
            self.start_work(now, self.slowdown, DurationMs(0));
        }
    }

    pub(crate) fn is_done(&self, now: TimeMs) -> bool {
        self.span.is_some_and(|(_, ends)| now >= ends)
    }

    /// Returns the work done so far, as its duration at normal speed.
    fn done_ms(&self, now: TimeMs) -> u64 {
        let Some((began, ends)) = self.span else {
            return self.done_before_ms.0;
        };
        let span = ends.since(began).0.max(1);
        let rest = self.work_ms.0.saturating_sub(self.done_before_ms.0);
        self.done_before_ms.0 + rest * now.since(began).0.min(span) / span
    }

    /// Returns the time spent on work that is lost if the run ends now.
    pub(crate) fn unsaved_ms(
        &self,
        now: TimeMs,
        kind: EndKind,
        checkpoint_policy: &CheckpointPolicy,
    ) -> u64 {
        let spent_ms = now.since(self.started_at).0;
        if !self.saves_checkpoints {
            spent_ms
        } else if checkpoint_policy.is_restored && kind == EndKind::Stopped {
            0
        } else {
            spent_ms.min(checkpoint_policy.interval_ms.0)
        }
    }
}

/// `CheckpointPolicy` states how often workers save checkpoints and what restoring one costs.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CheckpointPolicy {
    /// Whether a start from a checkpoint skips the work that was saved.
    pub(crate) is_restored: bool,
    /// Work between two checkpoints.
    pub(crate) interval_ms: DurationMs,
    /// Time to resume from a checkpoint.
    pub(crate) restore_ms: DurationMs,
}

impl CheckpointPolicy {
    fn last_saved_ms(&self, done_ms: u64) -> u64 {
        done_ms - done_ms % self.interval_ms.0.max(1)
    }
}

/// Returns the part of a worker's name that all its incarnations share.
pub(crate) fn machine_of(name: &WorkerName) -> &str {
    name.as_str().split('-').next().unwrap_or_default()
}

/// `SimWorker` is one worker in its current incarnation.
#[derive(Clone, Debug)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each flag is one independent fault"
)]
pub(crate) struct SimWorker {
    pub(crate) name: WorkerName,
    /// Incarnation that its entry in the store names.
    pub(crate) registered_name: WorkerName,
    pub(crate) incarnation: u32,
    pub(crate) rack: String,
    pub(crate) zone: ZoneName,
    pub(crate) label: &'static str,
    pub(crate) capacity: Resources,
    /// When its capacity shrank; none while it has its full capacity.
    pub(crate) shrunk_at: Option<TimeMs>,
    /// Offset of the worker's clock from the simulation's clock, and its rate in per cent.
    clock_offset_ms: u64,
    clock_percent: u64,
    /// Whether it restarts under its identity.
    pub(crate) restarts_in_place: bool,
    /// When its present incarnation started.
    pub(crate) restarted_at: TimeMs,
    pub(crate) reachability: Reachability,
    pub(crate) draining_since: Option<TimeMs>,
    pub(crate) leaves_at: Option<TimeMs>,
    pub(crate) fault_slowdown: u32,
    pub(crate) speed_percent: u32,
    pub(crate) checkpoint_policy: CheckpointPolicy,
    pub(crate) is_failing: bool,
    pub(crate) is_hung: bool,
    /// Whether it refuses most requests as unhealthy.
    pub(crate) is_refusing: bool,
    /// Whether it refuses the first stop orders for each run.
    pub(crate) is_refusing_stops: bool,
    /// Number of refused stop orders, by task and run.
    refused_stops: BTreeMap<(TaskId, u32), u32>,
    /// Whether its entry in the store has expired although it is up.
    pub(crate) is_unlisted: bool,
    /// Since when its machine is suspended.
    suspended_since: Option<TimeMs>,
    /// Total time for which its machine was suspended, which its clock does not count.
    suspended_ms: DurationMs,
    pub(crate) fencing_token: u64,
    /// When the lease of all runs expires, on the worker's clock.
    lease_until: u64,
    /// Run ends up to this sequence number were listed when the lease expired and killed all runs. By the
    /// platform's rules, a later acknowledgement of them has no effect.
    expired_through: u64,
    /// Run ends up to this sequence number were listed when the lease expired, also if nothing was running.
    lapsed_through: u64,
    /// Number of run ends that a reply lists at most.
    pub(crate) ends_per_report: usize,
    pub(crate) behavior: WorkerBehavior,
    pub(crate) running: BTreeMap<TaskId, ActiveRun>,
    /// Highest run number that ended or was stopped, by task.
    highest_ended_run: BTreeMap<TaskId, u32>,
    pub(crate) ended: Vec<EndedTask>,
    next_sequence: u64,
    pub(crate) pending_poll: Option<PendingPoll>,
}

/// Time without heartbeats after which the store removes the entry of a worker.
const ENTRY_TTL_MS: DurationMs = DurationMs(3_000);

/// Number of stop orders for a run that a worker refuses where it refuses stop orders.
const REFUSED_STOPS_PER_RUN: u32 = 3;

/// Number of availability zones, over which the racks are spread.
const ZONES: usize = 3;

/// Returns the zone of a rack, or of a fault, by its number.
pub(crate) fn zone_name(number: usize) -> ZoneName {
    ZoneName::new(format!("z{}", number % ZONES))
}

/// `Reachability` states how a worker's address responds to requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Reachability {
    /// The worker responds.
    Up,
    /// The process has exited, and its machine refuses connections.
    Refusing,
    /// Requests time out.
    Unresponsive,
}

/// `PendingPoll` is a long poll that waits for a run to end.
#[derive(Clone, Debug)]
pub(crate) struct PendingPoll {
    pub(crate) host: usize,
    pub(crate) term: u64,
    pub(crate) sent_at: TimeMs,
    pub(crate) until: TimeMs,
    /// Runs to list in the reply; none if it lists those that are running then.
    pub(crate) running: Option<Vec<RunningTask>>,
}

impl SimWorker {
    pub(crate) fn new(
        number: u64,
        rack: u32,
        label: &'static str,
        capacity: Resources,
        speed_percent: u32,
        checkpoint_policy: CheckpointPolicy,
        clock_percent: u64,
    ) -> Self {
        Self {
            name: WorkerName::new(format!("w{number}-0")),
            registered_name: WorkerName::new(format!("w{number}-0")),
            incarnation: 0,
            rack: format!("r{rack}"),
            zone: zone_name(rack as usize),
            label,
            capacity,
            shrunk_at: None,
            clock_offset_ms: 100_000 * (number + 1),
            clock_percent,
            restarts_in_place: false,
            restarted_at: TimeMs(0),
            reachability: Reachability::Up,
            draining_since: None,
            leaves_at: None,
            fault_slowdown: 1,
            speed_percent,
            checkpoint_policy,
            is_failing: false,
            is_hung: false,
            is_refusing: false,
            is_refusing_stops: false,
            refused_stops: BTreeMap::new(),
            is_unlisted: false,
            suspended_since: None,
            suspended_ms: DurationMs(0),
            fencing_token: 0,
            lease_until: 0,
            expired_through: 0,
            lapsed_through: 0,
            ends_per_report: usize::MAX,
            behavior: WorkerBehavior::default(),
            running: BTreeMap::new(),
            highest_ended_run: BTreeMap::new(),
            ended: Vec::new(),
            next_sequence: 1,
            pending_poll: None,
        }
    }

    /// Returns the time of the worker's clock, which may run slow.
    pub(crate) fn clock(&self, now: TimeMs) -> u64 {
        let now = self.suspended_since.unwrap_or(now) - self.suspended_ms;
        self.clock_offset_ms + now.0 * self.clock_percent / 100
    }

    pub(crate) fn entry(&self, now: TimeMs) -> WorkerEntry {
        WorkerEntry {
            name: self.registered_name.clone(),
            address: self.name.identity().into(),
            pool: crate::arrivals::POOL.into(),
            zone: self.zone.clone(),
            rack: self.rack.as_str().into(),
            labels: Arc::from([self.label.into(), self.rack.as_str().into()]),
            capacity: self.capacity,
            is_draining: self.draining_since.is_some(),
            remaining_ms: self.leaves_at.map(|at| at.since(now)),
            clock_ms: Some(self.clock(now)),
        }
    }

    pub(crate) fn is_up(&self) -> bool {
        self.reachability == Reachability::Up
    }

    /// Whether the store has an entry of the worker.
    pub(crate) fn is_listed(&self, now: TimeMs) -> bool {
        let is_alive = self
            .suspended_since
            .map_or(self.is_up(), |since| now.since(since) < ENTRY_TTL_MS);
        is_alive && !self.is_unlisted
    }

    pub(crate) fn is_suspended(&self) -> bool {
        self.suspended_since.is_some()
    }

    /// Suspends the machine; its runs and its clock stop.
    pub(crate) fn suspend(&mut self, now: TimeMs) {
        self.reachability = Reachability::Unresponsive;
        self.suspended_since = Some(now);
        for run in self.running.values_mut().filter(|run| run.span.is_some()) {
            run.pause(now);
        }
    }

    /// Resumes the machine if it is suspended.
    pub(crate) fn resume(&mut self, now: TimeMs) {
        let Some(since) = self.suspended_since.take() else {
            return;
        };
        self.suspended_ms = self.suspended_ms + now.since(since);
        self.restore();
        for run in self.running.values_mut() {
            run.resume(now);
        }
    }

    /// Whether the worker refuses a stop order as unhealthy; repeated orders succeed.
    pub(crate) fn refuses_stop(&mut self, task: &TaskId, run: u32) -> bool {
        if !self.is_refusing_stops {
            return false;
        }
        let refused = self.refused_stops.entry((task.clone(), run)).or_default();
        *refused += 1;
        *refused <= REFUSED_STOPS_PER_RUN
    }

    pub(crate) fn restore(&mut self) {
        self.reachability = Reachability::Up;
    }

    /// Whether it has forgotten an order that it received before it restarted, and left unanswered.
    pub(crate) fn has_forgotten(&self, sent_at: TimeMs) -> bool {
        self.restarts_in_place && sent_at < self.restarted_at
    }

    /// How it refuses a poll that is meant for the given incarnation; none if that is the present one.
    pub(crate) fn poll_failure_of(&self, name: &WorkerName) -> Option<PollFailure> {
        if self.name == *name {
            None
        } else if self.name.identity() == name.identity() {
            Some(PollFailure::Restarted)
        } else {
            Some(PollFailure::WrongLife)
        }
    }

    /// Returns the part of the name that all incarnations share.
    pub(crate) fn machine(&self) -> &str {
        machine_of(&self.name)
    }

    /// Replaces the worker by a new incarnation that has no state.
    pub(crate) fn restart(&mut self, now: TimeMs) {
        self.restarted_at = now;
        self.incarnation += 1;
        if self.restarts_in_place {
            let started = u64::from(self.incarnation);
            self.name = WorkerName::of_incarnation(self.name.identity(), Some(started));
            self.clock_offset_ms = self.incarnation.into();
        } else {
            self.name = WorkerName::new(format!("{}-{}", self.machine(), self.incarnation));
        }
        self.registered_name = self.name.clone();
        self.fencing_token = 0;
        self.lease_until = 0;
        self.expired_through = 0;
        self.lapsed_through = 0;
        self.running.clear();
        self.highest_ended_run.clear();
        self.refused_stops.clear();
        self.suspended_since = None;
        self.ended.clear();
        self.next_sequence = 1;
        self.pending_poll = None;
    }

    /// Whether a run end was already listed when the lease expired.
    pub(crate) fn is_expired(&self, end: &EndedTask) -> bool {
        end.sequence <= self.expired_through
    }

    /// Whether the lease has expired since a run end was listed.
    pub(crate) fn has_lapsed_since(&self, end: &EndedTask) -> bool {
        end.sequence <= self.lapsed_through
    }

    /// Returns the runs to kill if the lease has expired.
    pub(crate) fn expire_lease(&mut self, now: TimeMs) -> Vec<TaskId> {
        if self.clock(now) >= self.lease_until {
            self.lapsed_through = self.next_sequence - 1;
        }
        if !self.is_lease_expired(now) {
            return Vec::new();
        }
        self.expired_through = self.next_sequence - 1;
        self.running.keys().cloned().collect()
    }

    fn extend_lease(&mut self, now: TimeMs, until: u64, lease_ms: DurationMs) {
        let latest = self.clock(now) + lease_ms.0;
        self.lease_until = self.lease_until.max(until.min(latest));
    }

    /// Whether the lease has expired while something is running.
    fn is_lease_expired(&self, now: TimeMs) -> bool {
        !self.running.is_empty() && self.clock(now) >= self.lease_until
    }

    /// Checks a start order; `Ok(true)` starts a new run, `Ok(false)` confirms one that is active.
    pub(crate) fn admit_start(
        &mut self,
        now: TimeMs,
        fencing_token: u64,
        task: &TaskId,
        run: u32,
        until: u64,
        lease_ms: DurationMs,
    ) -> Result<bool, RefusalCause> {
        if fencing_token < self.fencing_token {
            return Err(RefusalCause::Fenced);
        }
        self.fencing_token = fencing_token;
        let is_overdue = until <= self.clock(now);
        let has_lease = self.clock(now) < self.lease_until;
        if is_overdue && !(self.behavior.accepts_overdue_starts && has_lease) {
            return Err(RefusalCause::LeaseOver);
        }
        self.extend_lease(now, until, lease_ms);
        if self
            .running
            .get(task)
            .is_some_and(|active| active.run == run)
        {
            return Ok(false);
        }
        if self
            .highest_ended_run
            .get(task)
            .is_some_and(|&ended| run <= ended)
        {
            return Err(RefusalCause::StaleRun);
        }
        Ok(true)
    }

    /// Ends a run and adds it to the list of run ends.
    pub(crate) fn end(&mut self, now: TimeMs, task: &TaskId, kind: EndKind) -> Option<ActiveRun> {
        let run = self.running.remove(task)?;
        let highest = self.highest_ended_run.entry(task.clone()).or_insert(0);
        *highest = (*highest).max(run.run);
        let saved_ms = if kind == EndKind::Stopped {
            run.done_ms(now)
        } else {
            self.checkpoint_policy.last_saved_ms(run.done_ms(now))
        };
        self.ended.push(EndedTask {
            sequence: self.next_sequence,
            task: task.clone(),
            run: run.run,
            kind,
            checkpoint: checkpoint(task, &run, saved_ms),
        });
        self.next_sequence += 1;
        Some(run)
    }

    /// Handles a stop order; a later start of this or an earlier run is refused as stale.
    pub(crate) fn stop(
        &mut self,
        now: TimeMs,
        fencing_token: u64,
        task: &TaskId,
        run: u32,
    ) -> OrderReply {
        if fencing_token < self.fencing_token {
            return OrderReply::Refused(RefusalCause::Fenced);
        }
        self.fencing_token = fencing_token;
        let highest = self.highest_ended_run.entry(task.clone()).or_insert(0);
        *highest = (*highest).max(run);
        OrderReply::Accepted {
            clock_ms: self.clock(now),
        }
    }

    /// Handles a poll: renews the lease, and removes and returns the acknowledged run ends.
    pub(crate) fn poll(
        &mut self,
        now: TimeMs,
        fencing_token: u64,
        until: Option<u64>,
        acked_end: u64,
        lease_ms: DurationMs,
    ) -> Result<Vec<EndedTask>, RefusalCause> {
        if fencing_token < self.fencing_token {
            return Err(RefusalCause::Fenced);
        }
        self.fencing_token = fencing_token;
        if let Some(until) = until {
            self.extend_lease(now, until, lease_ms);
        }
        let (acked, kept) = std::mem::take(&mut self.ended)
            .into_iter()
            .partition(|end| end.sequence <= acked_end);
        self.ended = kept;
        Ok(acked)
    }

    /// Whether a stop order for the run was carried out.
    fn is_stopping(&self, task: &TaskId, run: &ActiveRun) -> bool {
        let highest = self.highest_ended_run.get(task);
        highest.is_some_and(|&highest| run.run <= highest)
    }

    /// Returns the run of a task that another worker is about to start.
    pub(crate) fn other_run(&self, task: &TaskId) -> Option<OtherRun> {
        let active = self.running.get(task)?;
        Some(OtherRun {
            worker: self.name.clone(),
            run: active.run,
            is_stopping: self.is_stopping(task, active),
            is_late: active.is_late,
        })
    }

    /// Returns the runs that a reply lists as running.
    pub(crate) fn listed_runs(&self, now: TimeMs) -> Vec<RunningTask> {
        let is_omitted = |task: &TaskId, run: &ActiveRun| {
            self.behavior.omits_stopping_runs && self.is_stopping(task, run)
                || self.behavior.omits_waiting_members && run.is_waiting()
        };
        let listed = self
            .running
            .iter()
            .filter(|(task, run)| !is_omitted(task, run));
        let rows = listed.map(|(task, run)| RunningTask {
            task: task.clone(),
            run: run.run,
            checkpoint: checkpoint(
                task,
                run,
                self.checkpoint_policy.last_saved_ms(run.done_ms(now)),
            ),
            percent: percent(run, now),
            load: 0,
        });
        rows.collect()
    }

    /// Returns the reply to a poll. The earliest run ends are listed first; a full list may be cut short.
    pub(crate) fn report(&self, now: TimeMs, running: Vec<RunningTask>) -> WorkerReport {
        let ended = self.ended.iter().take(self.ends_per_report);
        WorkerReport {
            clock_ms: self.clock(now),
            running,
            ended: ended.cloned().collect(),
            has_more_ends: self.ended.len() >= self.ends_per_report,
        }
    }

    /// Returns the factor by which work takes longer here than at normal speed.
    pub(crate) fn slowdown(&self) -> f64 {
        f64::from(self.fault_slowdown) * 100.0 / f64::from(self.speed_percent.max(1))
    }

    pub(crate) fn used(&self) -> Resources {
        self.running
            .values()
            .fold(Resources::default(), |sum, run| sum.plus(run.demand))
    }
}

/// Formats a checkpoint: its step, so that one of another step is detected, and the work it saves.
fn checkpoint(task: &TaskId, run: &ActiveRun, saved_ms: u64) -> Arc<str> {
    if !run.saves_checkpoints || saved_ms == 0 {
        return "".into();
    }
    format!(
        "{}.{}.{}/{saved_ms}",
        task.job_id, task.occurrence, task.step
    )
    .into()
}

/// Parses a checkpoint into its step and the work it saves.
pub(crate) fn read_checkpoint(text: &str) -> (&str, DurationMs) {
    let (step, saved) = text.split_once('/').unwrap_or((text, ""));
    (step, DurationMs(saved.parse().unwrap_or(0)))
}

fn percent(run: &ActiveRun, now: TimeMs) -> u32 {
    let percent = run.done_ms(now) * 100 / run.work_ms.0.max(1);
    u32::try_from(percent).unwrap_or(100)
}
