//! Runs that stand still, and the workers that they are on.
//!
//! Answers the load in which what runs on some workers stands still while they count as healthy: urgent
//! work that is placed there is late however early it began. What a worker tells of each run's progress
//! shows it within a look or two. Such a worker gets no new work for a while, and a run there starts
//! again elsewhere once it has stood still for as long as the work that this throws away took: then it
//! never costs more than twice what was best, however long the trouble lasts.

use ragwortwick_core::{DurationMs, TimeMs, WorkerName};

use crate::coordinator::Coordinator;
use crate::job::TaskId;
use crate::job_state::TaskState;
use crate::messages::Look;
use crate::watch::{Movement, Watch};
use crate::worker::{Held, HeldPhase, Worker};

/// How long a worker with stalled runs gets no new work after the look that showed it.
const AVOID_MS: DurationMs = DurationMs(2_500);

/// What starting again costs beside the work that is done again: the stop, a pass, a record, the start.
const AGAIN_MS: DurationMs = DurationMs(500);

/// A run that has not moved for longer is taken as one whose estimate is wrong by far: its worker gets
/// new work again. Troubles of some ten seconds were played.
const LONGEST_STALL_MS: DurationMs = DurationMs(15_000);

/// How often a job's runs are started elsewhere for standing still. One whose estimate is wrong by far
/// seems to stand still wherever it is, and would never come to its end.
const MOST_MOVES: u32 = 2;

impl Held {
    /// Takes in what the worker tells of the run's progress.
    fn hear_progress(&mut self, clock_ms: u64, percent: u32) -> Movement {
        let Some(watch) = &mut self.watch else {
            self.watch = Some(Watch::begin(clock_ms, percent));
            return Movement::Unknown;
        };
        watch.hear(clock_ms, percent, self.expected_ms)
    }

    fn is_stalled_too_long(&self) -> bool {
        self.watch
            .is_some_and(|watch| watch.still_ms() > LONGEST_STALL_MS)
    }

    /// Whether it has stood still for as long as starting again would throw away.
    fn is_better_elsewhere(&self, restore_ms: DurationMs) -> bool {
        let Some(watch) = self.watch else {
            return false;
        };
        let lost_ms = if self.saves_checkpoints {
            restore_ms
        } else {
            watch.done_ms(self.expected_ms)
        };
        watch.still_ms().0 >= lost_ms.0 + AGAIN_MS.0
    }
}

impl Worker {
    /// Takes in the progress of what runs; gives what is better off elsewhere.
    fn hear_progress(&mut self, now: TimeMs, look: &Look, restore_ms: DurationMs) -> Vec<TaskId> {
        let mut is_moving = false;
        let mut stalled = Vec::new();
        for row in &look.running {
            let Some(held) = self.held.get_mut(&row.task) else {
                continue;
            };
            let is_running = matches!(held.phase, HeldPhase::Running { .. });
            if held.run != row.run || !is_running || !held.is_watched {
                continue;
            }
            match held.hear_progress(look.clock_ms, row.percent) {
                Movement::Unknown => {}
                Movement::Moving => is_moving = true,
                Movement::Stalled if held.is_stalled_too_long() => {}
                Movement::Stalled => {
                    if held.is_better_elsewhere(restore_ms) {
                        stalled.push(row.task.clone());
                    }
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
    pub(crate) fn hear_progress(&mut self, now: TimeMs, worker_name: &WorkerName, look: &Look) {
        let restore_ms = self.limits.restore_ms;
        let may_order = self.may_order(now);
        let Some(worker) = self.workers.get_mut(worker_name) else {
            return;
        };
        let stalled = worker.hear_progress(now, look, restore_ms);
        if may_order {
            for task in stalled {
                self.move_stalled(now, &task);
            }
        }
    }

    /// Stops a run that stands still, so that the next pass places it elsewhere.
    fn move_stalled(&mut self, now: TimeMs, task: &TaskId) {
        if !self.has_begun(task) {
            return;
        }
        let Some(job) = self.jobs.get_mut(&task.job_id) else {
            return;
        };
        if job.moves < MOST_MOVES {
            job.moves += 1;
            self.stop_group(now, task);
        }
    }

    /// Whether all members of the task's gang are known to run. A gang stands still at its beginning
    /// while the start of a member is on its way; stopped then, it would lose what it waited for.
    fn has_begun(&self, task: &TaskId) -> bool {
        let step = self
            .jobs
            .get(&task.job_id)
            .filter(|job| job.spec(task.step).is_some_and(|spec| spec.is_gang))
            .and_then(|job| job.step(task.occurrence, task.step));
        let Some(step) = step else {
            return true;
        };
        (0..).zip(&step.tasks).all(|(index, member)| {
            let TaskState::Placed(worker) = &member.state else {
                return false;
            };
            let id = TaskId {
                index,
                ..task.clone()
            };
            let held = self.workers.get(worker).and_then(|w| w.held.get(&id));
            held.is_some_and(|held| matches!(held.phase, HeldPhase::Running { .. }))
        })
    }
}
