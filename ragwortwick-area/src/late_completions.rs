//! Results that a worker reports after their runs were abandoned.
//!
//! A worker may be unreachable for longer than the coordinator waits for its runs. A run may have completed
//! before its lease ended, and its task must not be executed again; a run that failed counts as an attempt.

use std::collections::{BTreeMap, BTreeSet};

use ragwortwick_core::{TimeMs, WorkerName};

use crate::accounting::RunEndReason;
use crate::coordinator::Coordinator;
use crate::job::TaskId;
use crate::job_state::{JobState, TaskState};
use crate::messages::EndedTask;
use crate::progress::JobPhase;

/// `HeldEnds` holds completions that are not acknowledged while a later run of the same task may still start.
///
/// The order that starts the later run may be carried out late. Until then the completion stays listed at its
/// worker, so that each coordinator learns of it and stops the later run.
#[derive(Debug, Default)]
pub(crate) struct HeldEnds {
    /// Listed completions, by the task whose later run is not settled.
    by_task: BTreeMap<TaskId, BTreeSet<(WorkerName, u64)>>,
}

impl JobState {
    /// Records that the run of a task was abandoned, so that its result may still be listed.
    pub(crate) fn record_abandoned_run(&mut self, id: &TaskId, run: u32) {
        if let Some(task) = self.task_mut(id)
            && !task.abandoned_runs.contains(&run)
        {
            task.abandoned_runs.push(run);
        }
    }

    /// Counts the failure of an abandoned run, once for all members of a gang; returns whether the attempts
    /// are used up.
    fn count_abandoned_failure(&mut self, id: &TaskId, run: u32, attempts: u32) -> bool {
        let is_gang = self.spec(id.step).is_some_and(|spec| spec.is_gang);
        let is_abandoned = self
            .task(id)
            .is_some_and(|task| task.abandoned_runs.contains(&run));
        let Some(step) = self.step_mut(id.occurrence, id.step) else {
            return false;
        };
        if !is_abandoned || step.is_done() {
            return false;
        }
        let member = &mut step.tasks[id.index as usize];
        if !is_gang {
            member.abandoned_runs.retain(|abandoned| *abandoned != run);
            member.failures = member.failures.saturating_add(1);
            return member.failures >= attempts;
        }
        if step.is_gang_ending && member.last_run == run {
            // The failure is counted when the last member of the run has ended.
            step.has_failed_member = true;
            return false;
        }
        for task in &mut step.tasks {
            task.abandoned_runs.retain(|abandoned| *abandoned != run);
        }
        step.gang_failures = step.gang_failures.saturating_add(1);
        step.gang_failures >= attempts
    }

    /// Tasks of which a run is, or may be, on a worker: the given one, or all members of its gang.
    fn unsettled_tasks(&self, id: &TaskId) -> Vec<TaskId> {
        let is_gang = self.spec(id.step).is_some_and(|spec| spec.is_gang);
        let step = self.step(id.occurrence, id.step);
        let members = (0..).zip(step.into_iter().flat_map(|step| &step.tasks));
        let members = members.filter(|(index, _)| is_gang || *index == id.index);
        let unsettled = members.filter_map(|(index, task)| {
            let id = TaskId {
                index,
                ..id.clone()
            };
            let is_placed = matches!(task.state, TaskState::Placed(_));
            (is_placed || self.superseded_runs.contains_key(&id)).then_some(id)
        });
        unsettled.collect()
    }
}

impl Coordinator {
    /// Marks the task of an abandoned run as done and stops the runs that were started for it since.
    pub(crate) fn complete_late(&mut self, now: TimeMs, task: &TaskId) {
        let Some(job) = self.jobs.get_mut(&task.job_id) else {
            return;
        };
        let is_long_running = job.spec(task.step).is_none_or(|spec| spec.is_long_running);
        let is_done = job
            .task(task)
            .is_none_or(|task| task.state == TaskState::Done);
        if job.phase.is_final() || is_long_running || is_done {
            return;
        }
        let is_job_ended = job.mark_done(task);
        self.stop_with_gang(now, task, RunEndReason::DoneBefore);
        if is_job_ended {
            self.end_job(now, &task.job_id);
        }
        self.records.mark_dirty(&task.job_id);
        self.needs_pass = true;
    }

    /// Counts the failure of an abandoned run as an attempt; ends the job if its attempts are used up.
    pub(crate) fn count_late_failure(&mut self, now: TimeMs, task: &TaskId, run: u32) {
        let attempts = self.max_attempts(&task.job_id);
        let Some(job) = self.jobs.get_mut(&task.job_id) else {
            return;
        };
        let is_long_running = job.spec(task.step).is_none_or(|spec| spec.is_long_running);
        if job.phase.is_final() || is_long_running {
            return;
        }
        let is_failed = job.count_abandoned_failure(task, run, attempts);
        self.records.mark_dirty(&task.job_id);
        if is_failed && let Some(job) = self.jobs.get_mut(&task.job_id) {
            job.phase = JobPhase::Failed;
            self.end_job(now, &task.job_id);
        }
    }

    /// Holds a listed completion until no later run of its task, or of its gang, can start any more.
    pub(crate) fn hold_until_settled(&mut self, worker_name: &WorkerName, end: &EndedTask) {
        let Some(worker) = self.workers.get_mut(worker_name) else {
            return;
        };
        let Some(job) = self.jobs.get(&end.task.job_id) else {
            return;
        };
        if job
            .spec(end.task.step)
            .is_none_or(|spec| spec.is_long_running)
        {
            return;
        }
        for task in job.unsettled_tasks(&end.task) {
            worker.held_ends.insert(end.sequence);
            let ends = self.held_ends.by_task.entry(task).or_default();
            ends.insert((worker_name.clone(), end.sequence));
        }
    }

    /// Releases the completions that wait for the run of a task, which has ended, and for no other.
    pub(crate) fn release_held_ends(&mut self, task: &TaskId) {
        let Some(ends) = self.held_ends.by_task.remove(task) else {
            return;
        };
        for end in ends {
            let mut others = self.held_ends.by_task.values();
            if !others.any(|held| held.contains(&end))
                && let Some(worker) = self.workers.get_mut(&end.0)
            {
                worker.release_held_end(end.1);
            }
        }
    }
}
