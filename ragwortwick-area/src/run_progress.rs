//! What reported progress shows: stalled runs, the workers that stall them, and how long runs take.
//!
//! Runs on a worker may make no progress although the worker counts as healthy: urgent work placed there
//! misses its objective however early it started. The progress in one or two poll replies shows this. The
//! worker then gets no new work for a while, and a run there is restarted elsewhere once it has been
//! stalled for as long as the lost work took. This costs at most twice as much as the best decision,
//! however long the fault lasts.

use ragwortwick_core::{DurationMs, TimeMs, WorkerName};

use crate::accounting::RunEndReason;
use crate::allocation::{Allocation, AllocationPhase};
use crate::coordinator::Coordinator;
use crate::job::TaskId;
use crate::job_state::TaskState;
use crate::messages::WorkerReport;
use crate::progress_tracker::{ProgressChange, ProgressTracker};
use crate::speed_model::ObservedDuration;
use crate::worker::Worker;

/// How long a worker with stalled runs gets no new work after the poll reply that showed them.
const AVOID_STALLED_MS: DurationMs = DurationMs(2_500);

/// Cost of a restart beside the repeated work: a stop, a placement pass, a stored record and a start.
const RESTART_COST_MS: DurationMs = DurationMs(500);

/// Stall time above which the estimate of the run is taken to be far too short, not the worker to be at
/// fault: the worker gets new work again.
const MAX_STALL_MS: DurationMs = DurationMs(15_000);

/// Maximum number of stall restarts of a job. A run with a far too short estimate seems stalled on every
/// worker, and would be restarted without end.
const MAX_STALL_RESTARTS: u32 = 2;

/// `RunDuration` is what the progress of one run tells of its duration.
struct RunDuration {
    task: TaskId,
    run: u32,
    observed: ObservedDuration,
}

/// `ReportedProgress` is what one report shows of the runs on a worker.
struct ReportedProgress {
    /// Stalled runs, each with its stall time.
    stalled: Vec<(TaskId, DurationMs)>,
    /// Runs that have advanced.
    durations: Vec<RunDuration>,
}

impl Allocation {
    /// Records the reported progress of the run.
    fn record_progress(&mut self, clock_ms: u64, percent: u32) -> ProgressChange {
        let Some(tracker) = &mut self.tracker else {
            self.tracker = Some(ProgressTracker::new(clock_ms, percent));
            return ProgressChange::Inconclusive;
        };
        tracker.record(clock_ms, percent, self.expected_ms)
    }

    /// How long the run had made no progress at the last sample.
    fn stalled_ms(&self) -> DurationMs {
        self.tracker
            .map_or(DurationMs(0), |tracker| tracker.stalled_ms())
    }

    /// Time that the work took that a restart would lose.
    fn lost_by_restart(&self, restore_ms: DurationMs) -> DurationMs {
        match self.tracker {
            _ if self.saves_checkpoints => restore_ms,
            Some(tracker) => tracker.completed_work_ms(self.expected_ms),
            None => DurationMs(0),
        }
    }
}

impl Worker {
    /// Records the reported progress of the runs.
    fn record_progress(&mut self, now: TimeMs, report: &WorkerReport) -> ReportedProgress {
        let mut is_advancing = false;
        let mut stalled = Vec::new();
        let mut durations = Vec::new();
        for running in &report.running {
            let Some(allocation) = self.allocations.get_mut(&running.task) else {
                continue;
            };
            let is_running = matches!(allocation.phase, AllocationPhase::Running { .. });
            if allocation.run != running.run || !is_running || !allocation.is_tracked {
                continue;
            }
            match allocation.record_progress(report.clock_ms, running.percent) {
                ProgressChange::Inconclusive => {}
                ProgressChange::Advancing => {
                    is_advancing = true;
                    let observed = allocation
                        .tracker
                        .map(|tracker| tracker.observed_duration());
                    durations.extend(observed.map(|observed| RunDuration {
                        task: running.task.clone(),
                        run: running.run,
                        observed,
                    }));
                }
                ProgressChange::Stalled if allocation.stalled_ms() > MAX_STALL_MS => {}
                ProgressChange::Stalled => {
                    stalled.push((running.task.clone(), allocation.stalled_ms()));
                    self.stalled_until = now + AVOID_STALLED_MS;
                }
            }
        }
        if is_advancing {
            // The worker is not at fault: its stalled runs wait for members of their gangs elsewhere.
            self.stalled_until = TimeMs(0);
        }
        ReportedProgress { stalled, durations }
    }
}

impl Coordinator {
    /// Records the progress in a poll reply, and stops stalled runs that are better restarted elsewhere.
    pub(crate) fn check_progress(
        &mut self,
        now: TimeMs,
        worker_name: &WorkerName,
        report: &WorkerReport,
    ) {
        let has_valid_lease = self.has_valid_lease(now);
        let Some(worker) = self.workers.get_mut(worker_name) else {
            return;
        };
        let progress = worker.record_progress(now, report);
        for duration in progress.durations {
            self.observe_duration(now, worker_name, &duration);
        }
        if has_valid_lease {
            for (task, stalled_ms) in progress.stalled {
                self.restart_stalled(now, &task, stalled_ms);
            }
        }
    }

    /// Stops a stalled run, so that the next placement pass places it elsewhere.
    fn restart_stalled(&mut self, now: TimeMs, task: &TaskId, stalled_ms: DurationMs) {
        let Some(lost_ms) = self.lost_by_restart(task) else {
            return;
        };
        let Some(job) = self.jobs.get_mut(&task.job_id) else {
            return;
        };
        if stalled_ms.0 >= lost_ms.0 + RESTART_COST_MS.0 && job.stall_restarts < MAX_STALL_RESTARTS
        {
            job.stall_restarts += 1;
            self.stop_with_gang(now, task, RunEndReason::Stalled);
        }
    }

    /// Time that the work took that a restart would lose; none while a member of the gang is not running.
    ///
    /// A gang loses the work of its most advanced member. A gang makes no progress at its beginning while
    /// the start of a member is in flight; a stop then would only delay it further.
    fn lost_by_restart(&self, task: &TaskId) -> Option<DurationMs> {
        let job = self.jobs.get(&task.job_id)?;
        let step = job.step(task.occurrence, task.step)?;
        let is_gang = job.spec(task.step)?.is_gang;
        let members = (0..).zip(&step.tasks);
        let members = members.filter(|(index, _)| is_gang || *index == task.index);
        let losses = members.map(|(index, member)| {
            let TaskState::Placed(worker) = &member.state else {
                return None;
            };
            let id = TaskId {
                index,
                ..task.clone()
            };
            let allocation = self.workers.get(worker)?.allocations.get(&id)?;
            let is_running = matches!(allocation.phase, AllocationPhase::Running { .. });
            is_running.then(|| allocation.lost_by_restart(self.limits.restore_ms))
        });
        losses.collect::<Option<Vec<_>>>()?.into_iter().max()
    }

    /// Records how long a whole run took. A gang member ends with the others, so its end tells nothing of
    /// its own worker.
    pub(crate) fn observe_whole_run(
        &mut self,
        now: TimeMs,
        worker: &WorkerName,
        task: &TaskId,
        allocation: &Allocation,
    ) {
        let job = self.jobs.get(&task.job_id);
        let spec = job.and_then(|job| job.spec(task.step));
        let is_gang = spec.is_none_or(|spec| spec.is_gang);
        if let Some(started_at) = allocation
            .started_at
            .filter(|_| !allocation.is_resumed && allocation.is_tracked && !is_gang)
        {
            let duration = RunDuration {
                task: task.clone(),
                run: allocation.run,
                observed: ObservedDuration::Whole(now.since(started_at)),
            };
            self.observe_duration(now, worker, &duration);
        }
    }

    /// Passes a duration to the speed model, unless the distance to the task's data lengthens it.
    fn observe_duration(&mut self, now: TimeMs, worker_name: &WorkerName, duration: &RunDuration) {
        let RunDuration {
            task,
            run,
            observed,
        } = duration;
        let job = self.jobs.get(&task.job_id);
        let Some(spec) = job.and_then(|job| job.spec(task.step)) else {
            return;
        };
        let rack = self
            .workers
            .get(worker_name)
            .map(|worker| &worker.entry.rack);
        if spec.data_rack.is_some() && spec.data_rack.as_ref() != rack {
            return;
        }
        self.speeds
            .observe(now, worker_name, task, *run, spec.is_gang, *observed);
    }
}
