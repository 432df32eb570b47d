//! Runs that stand still, and the workers that they are on.
//!
//! Answers the load in which what runs on some workers stands still while they count as healthy: urgent
//! work that is placed there is late however early it began. What a worker tells of each run's progress
//! shows it within a look or two. Such a worker gets no new work for a while, and a run there starts
//! again elsewhere once it has stood still for as long as the work that this throws away took: then it
//! never costs more than twice what was best, however long the trouble lasts.

use ragwortwick_core::{DurationMs, TimeMs, WorkerName};

use crate::accounting::RunEndReason;
use crate::allocation::{Allocation, AllocationPhase};
use crate::coordinator::Coordinator;
use crate::job::TaskId;
use crate::job_state::TaskState;
use crate::messages::WorkerReport;
use crate::progress_tracker::{ProgressChange, ProgressTracker};
use crate::worker::Worker;

/// How long a worker with stalled runs gets no new work after the look that showed it.
const AVOID_MS: DurationMs = DurationMs(2_500);

/// What starting again costs beside the work that is done again: the stop, a pass, a record, the start.
const AGAIN_MS: DurationMs = DurationMs(500);

/// A run that has not moved for longer is taken as one whose estimate is wrong by far: its worker gets
/// new work again.
const LONGEST_STALL_MS: DurationMs = DurationMs(15_000);

/// How often a job's runs are started elsewhere for standing still. One whose estimate is wrong by far
/// seems to stand still wherever it is, and would never come to its end.
const MOST_MOVES: u32 = 2;

impl Allocation {
    /// Takes in what the worker tells of the run's progress.
    fn hear_progress(&mut self, clock_ms: u64, percent: u32) -> ProgressChange {
        let Some(watch) = &mut self.tracker else {
            self.tracker = Some(ProgressTracker::new(clock_ms, percent));
            return ProgressChange::Inconclusive;
        };
        watch.record(clock_ms, percent, self.expected_ms)
    }

    /// How long it has stood still when it was last heard of.
    fn still_ms(&self) -> DurationMs {
        self.tracker
            .map_or(DurationMs(0), |watch| watch.stalled_ms())
    }

    /// Time that the work took which its stop throws away.
    fn lost_by_move(&self, restore_ms: DurationMs) -> DurationMs {
        match self.tracker {
            _ if self.saves_checkpoints => restore_ms,
            Some(watch) => watch.completed_work_ms(self.expected_ms),
            None => DurationMs(0),
        }
    }
}

impl Worker {
    /// Takes in the progress of what runs; gives what stands still, and for how long.
    fn hear_progress(&mut self, now: TimeMs, look: &WorkerReport) -> Vec<(TaskId, DurationMs)> {
        let mut is_moving = false;
        let mut stalled = Vec::new();
        for row in &look.running {
            let Some(held) = self.allocations.get_mut(&row.task) else {
                continue;
            };
            let is_running = matches!(held.phase, AllocationPhase::Running { .. });
            if held.run != row.run || !is_running || !held.is_tracked {
                continue;
            }
            match held.hear_progress(look.clock_ms, row.percent) {
                ProgressChange::Inconclusive => {}
                ProgressChange::Advancing => is_moving = true,
                ProgressChange::Stalled if held.still_ms() > LONGEST_STALL_MS => {}
                ProgressChange::Stalled => {
                    stalled.push((row.task.clone(), held.still_ms()));
                    self.stalled_until = now + AVOID_MS;
                }
            }
        }
        if is_moving {
            // What stalls here waits for a member of its gang elsewhere.
            self.stalled_until = TimeMs(0);
        }
        stalled
    }
}

impl Coordinator {
    /// Takes in what a look tells of progress, and stops what is better off elsewhere.
    pub(crate) fn check_progress(
        &mut self,
        now: TimeMs,
        worker_name: &WorkerName,
        look: &WorkerReport,
    ) {
        let can_start_work = self.can_start_work(now);
        let Some(worker) = self.workers.get_mut(worker_name) else {
            return;
        };
        let stalled = worker.hear_progress(now, look);
        self.compare_durations(worker_name);
        if can_start_work {
            for (task, still_ms) in stalled {
                self.move_stalled(now, &task, still_ms);
            }
        }
    }

    /// Stops a run that stands still, so that the next pass places it elsewhere.
    fn move_stalled(&mut self, now: TimeMs, task: &TaskId, still_ms: DurationMs) {
        let Some(lost_ms) = self.lost_by_move(task) else {
            return;
        };
        let Some(job) = self.jobs.get_mut(&task.job_id) else {
            return;
        };
        if still_ms.0 >= lost_ms.0 + AGAIN_MS.0 && job.stall_restarts < MOST_MOVES {
            job.stall_restarts += 1;
            self.stop_with_gang(now, task, RunEndReason::Stalled);
        }
    }

    /// Time that the work took which a run's stop throws away; none if that can't be told yet.
    ///
    /// A gang loses what its furthest member has done. It stands still at its beginning while the start
    /// of a member is on its way; stopped then, it would lose what it waited for.
    fn lost_by_move(&self, task: &TaskId) -> Option<DurationMs> {
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
            let held = self.workers.get(worker)?.allocations.get(&id)?;
            let is_running = matches!(held.phase, AllocationPhase::Running { .. });
            is_running.then(|| held.lost_by_move(self.limits.restore_ms))
        });
        losses.collect::<Option<Vec<_>>>()?.into_iter().max()
    }
}
