//! Workers that are lost with what ran there: how, and what that tells against its tasks.

use std::fmt;

use ragwortwick_core::{DurationMs, RackName, TimeMs, WorkerName, common};

use crate::coordinator::Coordinator;
use crate::crashes::{RunAtLoss, is_explained, suspects};
use crate::held::{Held, HeldPhase};
use crate::job::TaskId;
use crate::messages::Action;
use crate::settle::Outcome;
use crate::worker::Worker;

/// How far apart workers may fall silent that were lost together. A closed connection shows at once, a
/// silent one only when the answer to a look is overdue.
const TOGETHER_CLOSED_MS: DurationMs = DurationMs(250);
const TOGETHER_UNANSWERED_MS: DurationMs = DurationMs(3_000);

/// Workers lost together with one, for no reason of their own, from which on its tasks are not the reason.
const COMMON_LOSSES: usize = 2;

/// How long a loss is remembered: its neighbours come back, or don't, within seconds.
const REMEMBERED_MS: DurationMs = DurationMs(15_000);

/// `WorkerLoss` is how a worker came to be lost.
#[common(key)]
pub enum WorkerLoss {
    /// Another life answers at its address, and it had not said that it would leave.
    Crashed,
    /// It had said that it would leave.
    Left,
    /// It does not answer, and every lease there has run out: it may be cut off and run on.
    OutOfReach,
}

impl fmt::Display for WorkerLoss {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{self:?}")
    }
}

/// `Silence` is since when a worker does not answer, and how that showed.
#[common]
#[derive(Copy)]
pub struct Silence {
    /// When the first call failed.
    pub since: TimeMs,
    /// Whether its machine closed or refused the connection: the process had ended or a path was reset.
    /// If not, nothing answered at all.
    pub is_closed: bool,
}

impl Silence {
    /// Whether two workers fell silent at the same time and in the same way, as far as that can be told.
    fn is_together(self, other: Self) -> bool {
        let (early, late) = (self.since.min(other.since), self.since.max(other.since));
        let within_ms = if self.is_closed {
            TOGETHER_CLOSED_MS
        } else {
            TOGETHER_UNANSWERED_MS
        };
        self.is_closed == other.is_closed && late.since(early) <= within_ms
    }
}

/// `WorkerLost` tells of a lost worker, for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerLost {
    /// The worker.
    pub worker: WorkerName,
    /// Its rack.
    pub rack: RackName,
    /// How it came to be lost.
    pub loss: WorkerLoss,
    /// How it fell silent; none if it was lost before any call failed.
    pub silence: Option<Silence>,
    /// Runs that were lost with it, with how long each had been running; none if that is not known.
    pub runs: Vec<(TaskId, Option<DurationMs>)>,
    /// Workers with runs that fell silent at the same time.
    pub lost_together: usize,
    /// The tasks that its crash counts against, each with the crashes that count by now.
    pub blamed: Vec<(TaskId, u32)>,
}

/// `PastLoss` is a loss of which the neighbours are still to be judged.
#[derive(Clone, Debug)]
pub(crate) struct PastLoss {
    silence: Silence,
    is_explained: bool,
}

impl Worker {
    /// How long a run had been going when the worker was last known to be there; none if it is not
    /// known when the run began. An order without an answer may have begun just then.
    fn age_of(&self, held: &Held) -> Option<DurationMs> {
        match (held.phase, held.started_at) {
            (HeldPhase::Inherited, _) => None,
            (_, None) => Some(DurationMs(0)),
            (_, Some(started_at)) => Some(self.last_there().since(started_at)),
        }
    }

    /// What was or may have been running there when it was last there.
    fn runs_at_loss(&self) -> Vec<RunAtLoss> {
        let held = self.held.iter();
        let sent = held.filter(|(_, held)| held.phase != HeldPhase::Intended);
        let runs = sent.map(|(task, held)| RunAtLoss {
            task: task.clone(),
            age_ms: self.age_of(held),
            crashes: held.crashes,
        });
        runs.collect()
    }

    /// The last moment at which it was there: a closed connection tells when it ended.
    fn last_there(&self) -> TimeMs {
        match self.silence {
            Some(Silence {
                since,
                is_closed: true,
            }) => since,
            _ => self.heard_at(),
        }
    }
}

impl Coordinator {
    /// A worker is lost: nothing runs there any more.
    pub(crate) fn worker_lost(&mut self, now: TimeMs, name: &WorkerName, loss: WorkerLoss) {
        let Some(worker) = self.workers.get(name) else {
            return;
        };
        let is_leaving = worker.entry.is_draining;
        let loss = if is_leaving { WorkerLoss::Left } else { loss };
        let runs = worker.runs_at_loss();
        let silence = worker.silence;
        let rack = worker.entry.rack.clone();
        let (lost_together, may_be_task) = self.lost_together(name, silence);
        for (task, run) in self.jobs_on(name) {
            self.resolve(now, name, &task, run, Outcome::Lost(loss));
        }
        if self.workers.get(name).is_some_and(Worker::is_forgettable) {
            self.workers.remove(name);
        }
        if runs.is_empty() {
            return;
        }
        let blamed = match loss {
            WorkerLoss::Crashed if may_be_task => self.blame(now, &suspects(&runs)),
            WorkerLoss::Crashed | WorkerLoss::Left | WorkerLoss::OutOfReach => Vec::new(),
        };
        self.remember_loss(now, silence, is_explained(&runs));
        self.actions.push(Action::ReportLoss(WorkerLost {
            worker: name.clone(),
            rack,
            loss,
            silence,
            runs: runs.into_iter().map(|run| (run.task, run.age_ms)).collect(),
            lost_together,
            blamed,
        }));
    }

    /// Notes a crash for the tasks that may be the reason; gives them with their counts.
    fn blame(&mut self, now: TimeMs, suspects: &[&RunAtLoss]) -> Vec<(TaskId, u32)> {
        let mut counts = Vec::with_capacity(suspects.len());
        for run in suspects {
            let Some(job) = self.jobs.get_mut(&run.task.job_id) else {
                continue;
            };
            let is_over = job.blame(&run.task, run.age_ms);
            let count = job.task(&run.task).map_or(0, |task| task.crashes.count);
            counts.push((run.task.clone(), count));
            if is_over {
                self.job_over(now, &run.task.job_id);
            }
        }
        counts
    }

    fn remember_loss(&mut self, now: TimeMs, silence: Option<Silence>, is_explained: bool) {
        self.past_losses
            .retain(|past| now.since(past.silence.since) <= REMEMBERED_MS);
        self.past_losses.extend(silence.map(|silence| PastLoss {
            silence,
            is_explained,
        }));
    }

    /// Counts the other workers with runs that fell silent at the same time, those that are lost and
    /// those that may come back; tells whether a task of the worker may have been the reason.
    ///
    /// A task ends the process of its worker, so that the machine closes its connections. A worker that
    /// does not answer at all has lost its power or its path. Several with closed connections whose own
    /// tasks are no reason were cut off or ended together.
    fn lost_together(&self, name: &WorkerName, silence: Option<Silence>) -> (usize, bool) {
        let Some(silence) = silence else {
            // Nothing tells when it was lost.
            return (0, false);
        };
        let others = self.workers.iter().filter(|(other, _)| *other != name);
        let silent = others.filter_map(|(_, worker)| {
            let silence = worker.silence?;
            let runs = worker.runs_at_loss();
            (!runs.is_empty()).then(|| (silence, is_explained(&runs)))
        });
        let lost = self.past_losses.iter();
        let lost = lost.map(|past| (past.silence, past.is_explained));
        let together: Vec<bool> = silent
            .chain(lost)
            .filter(|(other, _)| other.is_together(silence))
            .map(|(_, is_explained)| is_explained)
            .collect();
        let unexplained = together.iter().filter(|is_explained| !**is_explained);
        let may_be_task = silence.is_closed && unexplained.count() < COMMON_LOSSES;
        (together.len(), may_be_task)
    }
}
