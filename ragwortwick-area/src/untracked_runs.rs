//! Runs that a worker reports and that the coordinator holds no allocation for.
//!
//! Such a run takes resources and belongs to nothing that was placed, so it is stopped. Its worker is polled
//! and kept until the run is gone: nothing else would notice a stop order without effect. Its resources are taken until its
//! end is listed, or its stop must have ended it.

use std::collections::BTreeMap;

use ragwortwick_core::{DurationMs, TimeMs, WorkerName, common};

use crate::job::{Resources, TaskId};
use crate::messages::{OrderReply, RunningTask};
use crate::progress::JobPhase;
use crate::stop_progress::StopProgress;

/// `UntrackedRun` is a run without an allocation, for the log.
#[common]
pub struct UntrackedRun {
    /// The worker that reports it.
    pub worker: WorkerName,
    /// The task.
    pub task: TaskId,
    /// Number of the run.
    pub run: u32,
    /// Phase of its job; none if the coordinator doesn't know the job.
    pub job_phase: Option<JobPhase>,
}

/// `UntrackedRuns` holds the runs without an allocation on one worker, as of its last report.
#[derive(Clone, Debug, Default)]
pub(crate) struct UntrackedRuns(BTreeMap<(TaskId, u32), UntrackedState>);

#[derive(Clone, Copy, Debug)]
struct UntrackedState {
    /// Resources of the run; none if its job is unknown.
    demand: Resources,
    stop: StopProgress,
    /// Until when a start order that is on its way may begin the run; none if a report has listed it.
    expected_until: Option<TimeMs>,
}

impl UntrackedState {
    /// Whether no order on its way can begin the run any more, as far as time tells.
    fn is_expectation_over(&self, now: TimeMs) -> bool {
        self.expected_until.is_some_and(|until| now >= until)
    }
}

impl UntrackedRuns {
    pub(crate) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    pub(crate) fn clear(&mut self) {
        self.0.clear();
    }

    /// Forgets the runs that were reported.
    pub(crate) fn clear_reported(&mut self) {
        self.0.retain(|_, state| state.expected_until.is_some());
    }

    /// Adds a run that a worker may have once a late order is carried out, which is possible until the given time.
    pub(crate) fn insert_expected(
        &mut self,
        task: TaskId,
        run: u32,
        demand: Resources,
        expected_until: TimeMs,
    ) {
        let state = UntrackedState {
            demand,
            stop: StopProgress::PENDING,
            expected_until: Some(expected_until),
        };
        self.0.insert((task, run), state);
    }

    /// Begins all stops anew: a later incarnation of the worker knows nothing of the earlier ones.
    pub(crate) fn restart_stops(&mut self) {
        for state in self.0.values_mut() {
            state.stop = StopProgress::PENDING;
        }
    }

    /// Whether an order on its way may begin a run, as long as its stop has not taken effect.
    pub(crate) fn has_expected(&self) -> bool {
        self.0.values().any(|state| state.expected_until.is_some())
    }

    /// Forgets the runs that no order on its way can begin any more.
    pub(crate) fn forget_old_expectations(&mut self, now: TimeMs) {
        self.0.retain(|_, state| !state.is_expectation_over(now));
    }

    /// Removes a run whose end is listed.
    pub(crate) fn remove_ended(&mut self, id: &(TaskId, u32)) {
        self.0.remove(id);
    }

    /// Removes the runs whose confirmed stops must have ended them by now.
    pub(crate) fn remove_stopped(&mut self, now: TimeMs, stop_ms: DurationMs) {
        self.0
            .retain(|_, state| !state.stop.is_over_at(now, stop_ms));
    }

    /// Total resources of the runs.
    pub(crate) fn resources(&self) -> Resources {
        let demands = self.0.values().map(|state| state.demand);
        demands.fold(Resources::default(), Resources::plus)
    }

    /// Updates the runs from a report; one that it no longer lists is gone once its stop must have ended it. Returns the
    /// runs that are new.
    pub(crate) fn update<'a>(
        &mut self,
        reported: &[&'a RunningTask],
        poll_sent_at: TimeMs,
        stop_ms: DurationMs,
        demand_of: impl Fn(&TaskId) -> Resources,
    ) -> Vec<&'a RunningTask> {
        let mut previous = std::mem::take(&mut self.0);
        let mut new = Vec::new();
        for &row in reported {
            let id = (row.task.clone(), row.run);
            let mut stop = if let Some(state) = previous.remove(&id) {
                state.stop
            } else {
                new.push(row);
                StopProgress::PENDING
            };
            stop.record_running(poll_sent_at, stop_ms);
            let demand = demand_of(&row.task);
            let state = UntrackedState {
                demand,
                stop,
                expected_until: None,
            };
            self.0.insert(id, state);
        }
        previous.retain(|_, state| !state.stop.is_over_at(poll_sent_at, stop_ms));
        self.0.extend(previous);
        new
    }

    pub(crate) fn has_unconfirmed_stops(&self) -> bool {
        self.0.values().any(|state| !state.stop.is_confirmed())
    }

    /// Runs for which a stop order has to be sent now. A worker that is out of reach is not told to stop runs that it may
    /// only have later.
    pub(crate) fn due_stops(
        &self,
        now: TimeMs,
        is_reachable: bool,
    ) -> impl Iterator<Item = &(TaskId, u32)> {
        let due = self.0.iter();
        due.filter(move |(_, state)| {
            state.stop.is_order_due(now) && (is_reachable || state.expected_until.is_none())
        })
        .map(|(id, _)| id)
    }

    /// Records that a stop order is sent for the run.
    pub(crate) fn record_order(&mut self, now: TimeMs, id: &(TaskId, u32)) {
        if let Some(state) = self.0.get_mut(id) {
            state.stop.record_order(now);
        }
    }

    /// Records the reply to a stop order; returns whether the run is known.
    pub(crate) fn record_reply(
        &mut self,
        now: TimeMs,
        id: &(TaskId, u32),
        reply: OrderReply,
    ) -> bool {
        let state = self.0.get_mut(id);
        state.is_some_and(|state| {
            state.stop.record_reply(now, reply);
            true
        })
    }
}
