//! Jobs in the simulated store, and what their tasks do on a worker.

use std::collections::BTreeMap;
use std::sync::Arc;

use ragwortwick_area::{
    EndKind, Event, JobPhase, JobProgress, JobRecord, RecoveredJob, StepSpec, TaskId,
};
use ragwortwick_core::JobId;

use super::World;
use super::schedule::JobKind;
use super::worker::{ActiveRun, LONG_MS};
use crate::rig::{gang, job, step};

/// Duration of tasks that are done soon.
const SHORT_MS: u64 = 800;

/// Time after which a failing task fails.
const FAILURE_MS: u64 = 100;

/// Time for which a member waits for the others of its gang.
const GANG_WAIT_MS: u64 = 3_000;

/// Time until the end of a member reaches the others of its gang.
const GANG_BREAK_MS: u64 = 50;

/// A job in the store.
#[derive(Debug)]
pub struct StoredJob {
    pub kind: JobKind,
    pub record: Arc<JobRecord>,
    pub progress: Option<JobProgress>,
    /// When its cancel was acknowledged.
    pub cancelled_at: Option<u64>,
    /// When each of its tasks that are done was stored as done.
    pub done_at: BTreeMap<TaskId, u64>,
    /// When its final phase was stored.
    pub ended_at: Option<u64>,
}

impl StoredJob {
    pub fn phase(&self) -> JobPhase {
        self.progress
            .as_ref()
            .map_or(JobPhase::Queued, |progress| progress.phase)
    }

    pub fn recovered(&self) -> RecoveredJob {
        RecoveredJob {
            record: Arc::clone(&self.record),
            progress: self.progress.clone(),
            is_cancelled: self.cancelled_at.is_some(),
        }
    }

    /// What a run of a task does that begins now.
    fn run_of(&self, now: u64, task: &TaskId, run: u32) -> ActiveRun {
        let spec = &self.record.steps[task.step as usize];
        let is_first_member = task.index == 0;
        let own_end = match self.kind {
            JobKind::Short => Some((now + SHORT_MS, EndKind::Done)),
            JobKind::ShortAndLong if is_first_member => Some((now + SHORT_MS, EndKind::Done)),
            JobKind::Failing if is_first_member => Some((now + FAILURE_MS, EndKind::Failed)),
            JobKind::SlowAgain | JobKind::SlowAgainAndLong if run == 1 && is_first_member => {
                Some((now + SHORT_MS, EndKind::Done))
            }
            JobKind::Gang | JobKind::FailingGang | JobKind::ShortGang => {
                Some((now + GANG_WAIT_MS, EndKind::GangIncomplete))
            }
            _ => None,
        };
        ActiveRun {
            accelerators: spec.need.accelerators,
            started_at: now,
            ends: own_end.unwrap_or((now + LONG_MS, EndKind::Done)),
            stops_at: None,
        }
    }

    /// What a gang member does that begins to work now, with all the others.
    fn gang_end(&self, now: u64, task: &TaskId) -> (u64, EndKind) {
        match self.kind {
            JobKind::FailingGang if task.index == 0 => (now + FAILURE_MS, EndKind::Failed),
            JobKind::ShortGang => (now + SHORT_MS, EndKind::Done),
            _ => (now + LONG_MS, EndKind::Done),
        }
    }
}

fn steps(kind: JobKind) -> Vec<StepSpec> {
    let spec = match kind {
        JobKind::Long | JobKind::Short | JobKind::SlowAgain => step(1, 4),
        JobKind::Several => step(3, 2),
        JobKind::Many => step(8, 1),
        JobKind::Gang | JobKind::FailingGang | JobKind::ShortGang => gang(2, 3),
        JobKind::Failing | JobKind::ShortAndLong => step(2, 4),
        JobKind::SlowAgainAndLong => step(2, 8),
        JobKind::Lasting => StepSpec {
            is_long_running: true,
            ..step(1, 2)
        },
    };
    vec![spec]
}

impl World {
    /// Accepts a job.
    pub fn submit(&mut self, kind: JobKind) {
        let id = format!("{:016x}", self.jobs.len() + 1);
        let queue = ["middle", "patient"][self.jobs.len() % 2];
        let record = job(&id, queue, steps(kind));
        let stored = StoredJob {
            kind,
            record: Arc::clone(&record),
            progress: None,
            cancelled_at: None,
            done_at: BTreeMap::new(),
            ended_at: None,
        };
        self.jobs.insert(JobId::new(&id), stored);
        self.publish(Event::JobAccepted(record));
    }

    /// Cancels a job and acknowledges it to the client.
    pub fn cancel(&mut self, number: u8) {
        let now = self.now;
        let count = self.jobs.len().max(1);
        let Some((job_id, stored)) = self.jobs.iter_mut().nth(usize::from(number) % count) else {
            return;
        };
        if stored.phase().is_final() || stored.cancelled_at.is_some() {
            return;
        }
        stored.cancelled_at = Some(now);
        let job_id = job_id.clone();
        self.log(format!("{job_id} is cancelled"));
        self.publish(Event::JobCancelled(job_id));
    }

    /// The run that a start order begins; none if the store has no such job.
    pub fn new_run(&self, run: &(TaskId, u32)) -> Option<ActiveRun> {
        let stored = self.jobs.get(&run.0.job_id)?;
        Some(stored.run_of(self.now, &run.0, run.1))
    }

    fn is_gang(&self, task: &TaskId) -> bool {
        self.jobs
            .get(&task.job_id)
            .is_some_and(|stored| stored.record.steps[task.step as usize].is_gang)
    }

    /// Lets a gang work if all members of this run are present.
    pub fn join_gang(&mut self, run: &(TaskId, u32)) {
        if !self.is_gang(&run.0) {
            return;
        }
        let stored = &self.jobs[&run.0.job_id];
        let now = self.now;
        let step = run.0.step_id();
        let is_member = |other: &(TaskId, u32)| other.1 == run.1 && other.0.belongs_to(&step);
        let present = self.workers.iter().flat_map(|worker| worker.runs.keys());
        let count = stored.record.steps[run.0.step as usize].count;
        if present.filter(|other| is_member(other)).count() < count as usize {
            return;
        }
        for worker in &mut self.workers {
            for (member, active) in &mut worker.runs {
                if is_member(member) {
                    active.ends = stored.gang_end(now, &member.0);
                }
            }
        }
    }

    /// Ends the other members of a gang's run after one has ended.
    pub fn break_gang(&mut self, run: &(TaskId, u32)) {
        if !self.is_gang(&run.0) {
            return;
        }
        let step = run.0.step_id();
        let ends_at = self.now + GANG_BREAK_MS;
        for worker in &mut self.workers {
            for (member, active) in &mut worker.runs {
                let is_other = member.1 == run.1 && member.0.belongs_to(&step);
                if is_other && active.ends.0 > ends_at {
                    active.ends = (ends_at, EndKind::GangBroken);
                }
            }
        }
    }

    pub fn end_due_runs(&mut self) {
        for index in 0..self.workers.len() {
            for (run, kind) in self.workers[index].due_ends(self.now) {
                self.workers[index].end(&run, kind);
                let name = self.workers[index].name.clone();
                self.log(format!("{} run {} ends at {name}: {kind:?}", run.0, run.1));
                if kind != EndKind::Done {
                    self.break_gang(&run);
                }
            }
        }
    }
}
