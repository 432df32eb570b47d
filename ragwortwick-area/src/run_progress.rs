//! What reported progress shows: stalled runs, the workers that stall them, and the speed of workers.
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
    /// Records the reported progress of the runs; returns the stalled ones, each with its stall time.
    fn record_progress(&mut self, now: TimeMs, report: &WorkerReport) -> Vec<(TaskId, DurationMs)> {
        let mut is_advancing = false;
        let mut stalled = Vec::new();
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
                ProgressChange::Advancing => is_advancing = true,
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
        stalled
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
        let stalled = worker.record_progress(now, report);
        self.compare_durations(worker_name);
        if has_valid_lease {
            for (task, stalled_ms) in stalled {
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

    /// Compares the runs on a worker with similar tasks, once enough of each was observed.
    fn compare_durations(&mut self, worker_name: &WorkerName) {
        let Some(worker) = self.workers.get_mut(worker_name) else {
            return;
        };
        let allocations = worker.allocations.iter_mut();
        let durations: Vec<(TaskId, DurationMs)> = allocations
            .filter_map(|(task, allocation)| {
                Some((task.clone(), allocation.tracker.as_mut()?.take_duration()?))
            })
            .collect();
        for (task, duration_ms) in durations {
            self.record_duration(worker_name, &task, duration_ms);
        }
    }

    /// Compares the duration of a run that has ended before enough of it was observed. A gang member ends
    /// with the others, so its end says nothing about its own worker.
    pub(crate) fn compare_final_duration(
        &mut self,
        now: TimeMs,
        worker_name: &WorkerName,
        task: &TaskId,
        allocation: &Allocation,
    ) {
        let job = self.jobs.get(&task.job_id);
        let spec = job.and_then(|job| job.spec(task.step));
        let is_gang = spec.is_none_or(|spec| spec.is_gang);
        let is_compared = allocation
            .tracker
            .is_some_and(|tracker| tracker.is_speed_sampled);
        let is_complete_sample = !allocation.is_resumed && !is_compared && !is_gang;
        if let Some(started_at) = allocation.started_at.filter(|_| is_complete_sample) {
            self.record_duration(worker_name, task, now.since(started_at));
        }
    }

    fn record_duration(
        &mut self,
        worker_name: &WorkerName,
        task: &TaskId,
        duration_ms: DurationMs,
    ) {
        let job = self.jobs.get_mut(&task.job_id);
        let step = job.and_then(|job| job.step_mut(task.occurrence, task.step));
        let log_ratio = step.and_then(|step| step.durations.add_duration(duration_ms));
        let worker = self.workers.get_mut(worker_name);
        if let (Some(log_ratio), Some(worker)) = (log_ratio, worker) {
            worker.speed.add_sample(log_ratio);
        }
    }
}
