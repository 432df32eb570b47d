//! Workers that are lost with what ran there: how, and what that tells against its tasks.

use std::fmt;

use ragwortwick_core::{DurationMs, RackName, TimeMs, WorkerName, common};

use crate::allocation::{Allocation, AllocationPhase};
use crate::coordinator::Coordinator;
use crate::crashes::{RunAtLoss, has_likely_cause, suspects};
use crate::job::TaskId;
use crate::messages::Action;
use crate::outcome::RunOutcome;
use crate::worker::Worker;

/// How far apart workers may fall silent that were lost together: a closed connection shows at once.
const TOGETHER_CLOSED_MS: DurationMs = DurationMs(250);

/// The same where nothing answers, which shows when the answer to a look is overdue.
const TOGETHER_UNANSWERED_MS: DurationMs = DurationMs(3_000);

/// The same of workers lost before the term, which the first looks show.
const TOGETHER_UNSEEN_MS: DurationMs = DurationMs(1_000);

/// Workers lost together with one, for no reason of their own, from which on its tasks are not the reason.
const COMMON_LOSSES: usize = 2;

/// How long a loss is remembered: its neighbours come back, or don't, within seconds.
const REMEMBERED_MS: DurationMs = DurationMs(15_000);

/// `WorkerLossCause` is how a worker came to be lost.
#[common(key)]
pub enum WorkerLossCause {
    /// Another life answers at its address, and it had not said that it would leave.
    Crashed,
    /// It had said that it would leave.
    Left,
    /// It does not answer, and every lease there has run out: it may be cut off and run on.
    OutOfReach,
}

impl fmt::Display for WorkerLossCause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{self:?}")
    }
}

/// `ContactLossKind` is how it showed that a worker no longer answers.
#[common(key)]
pub enum ContactLossKind {
    /// Its machine closed or refused the connection: the process had ended, or the path was reset.
    Closed,
    /// Nothing answered.
    Unanswered,
    /// It was lost before this coordinator heard of it for the first time.
    Unseen,
}

/// `ContactLoss` is since when a worker does not answer, and how that showed.
#[common]
#[derive(Copy)]
pub struct ContactLoss {
    /// When the first call failed.
    pub since: TimeMs,
    /// How that showed.
    pub kind: ContactLossKind,
}

impl ContactLoss {
    /// Whether two workers fell silent at the same time and in the same way, as far as that can be told.
    fn is_together(self, other: Self) -> bool {
        let (early, late) = (self.since.min(other.since), self.since.max(other.since));
        let within_ms = match self.kind {
            ContactLossKind::Closed => TOGETHER_CLOSED_MS,
            ContactLossKind::Unanswered => TOGETHER_UNANSWERED_MS,
            ContactLossKind::Unseen => TOGETHER_UNSEEN_MS,
        };
        self.kind == other.kind && late.since(early) <= within_ms
    }
}

/// `WorkerLossReport` tells of a lost worker, for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerLossReport {
    /// The worker.
    pub worker: WorkerName,
    /// Its rack.
    pub rack: RackName,
    /// How it came to be lost.
    pub cause: WorkerLossCause,
    /// How it fell silent; none if it was lost before any call failed.
    pub contact_loss: Option<ContactLoss>,
    /// Runs that were lost with it, with how long each had been running; none if that is not known.
    pub runs: Vec<(TaskId, Option<DurationMs>)>,
    /// Workers with runs that fell silent at the same time.
    pub lost_together: usize,
    /// The tasks that its crash counts against, each with the crashes that count by now.
    pub suspects: Vec<(TaskId, u32)>,
}

/// `PastLoss` is a loss that the reasons of others are judged by.
#[derive(Clone, Debug)]
pub(crate) struct PastLoss {
    worker: WorkerName,
    silence: ContactLoss,
    is_explained: bool,
}

/// `LostWorker` is a lost worker whose reason is to be judged.
#[derive(Clone, Debug)]
struct LostWorker {
    worker: WorkerName,
    rack: RackName,
    cause: WorkerLossCause,
    silence: Option<ContactLoss>,
    runs: Vec<RunAtLoss>,
}

/// `RecentLosses` is what is known of workers that were lost lately.
#[derive(Debug, Default)]
pub(crate) struct RecentLosses {
    past: Vec<PastLoss>,
    /// Losses that wait for those found together with them, with when they are judged.
    unjudged: Vec<(TimeMs, LostWorker)>,
}

impl RecentLosses {
    fn remember(&mut self, now: TimeMs, lost: &LostWorker) {
        self.past
            .retain(|past| now.since(past.silence.since) <= REMEMBERED_MS);
        self.past.extend(lost.silence.map(|silence| PastLoss {
            worker: lost.worker.clone(),
            silence,
            is_explained: has_likely_cause(&lost.runs),
        }));
    }
}

impl Worker {
    /// How long a run had been going when the worker was last known to be there; none if it is not
    /// known when the run began. An order without an answer may have begun just then.
    fn age_of(&self, held: &Allocation) -> Option<DurationMs> {
        match (held.phase, held.started_at) {
            (AllocationPhase::Recovered, _) => None,
            (_, None) => Some(DurationMs(0)),
            (_, Some(started_at)) => Some(self.last_there().since(started_at)),
        }
    }

    /// What was or may have been running there when it was last there.
    fn runs_at_loss(&self) -> Vec<RunAtLoss> {
        let held = self.allocations.iter();
        let sent = held.filter(|(_, held)| held.phase != AllocationPhase::AwaitingRecord);
        let runs = sent.map(|(task, held)| RunAtLoss {
            task: task.clone(),
            age_ms: self.age_of(held),
            crash_history: held.crash_history,
        });
        runs.collect()
    }

    /// How it fell silent, if it is lost now; none if calls to it were answered until now.
    fn silence_at_loss(&self, now: TimeMs) -> Option<ContactLoss> {
        let is_unseen = self
            .allocations
            .values()
            .all(|held| held.phase == AllocationPhase::Recovered);
        let unseen = ContactLoss {
            since: now,
            kind: ContactLossKind::Unseen,
        };
        self.contact_loss.or_else(|| is_unseen.then_some(unseen))
    }

    /// The last moment at which it was there: a closed connection tells when it ended.
    fn last_there(&self) -> TimeMs {
        match self.contact_loss {
            Some(ContactLoss {
                since,
                kind: ContactLossKind::Closed,
            }) => since,
            _ => self.last_reply_at(),
        }
    }
}

impl Coordinator {
    /// A worker is lost: nothing runs there any more.
    pub(crate) fn lose_worker(&mut self, now: TimeMs, name: &WorkerName, cause: WorkerLossCause) {
        let Some(worker) = self.workers.get(name) else {
            return;
        };
        let is_leaving = worker.entry.is_draining;
        let lost = LostWorker {
            worker: name.clone(),
            rack: worker.entry.rack.clone(),
            cause: if is_leaving {
                WorkerLossCause::Left
            } else {
                cause
            },
            silence: worker.silence_at_loss(now),
            runs: worker.runs_at_loss(),
        };
        for (task, run) in self.runs_on(name) {
            self.end_run(now, name, &task, run, RunOutcome::Lost(lost.cause));
        }
        if self.workers.get(name).is_some_and(Worker::can_be_removed) {
            self.workers.remove(name);
        }
        if lost.runs.is_empty() {
            return;
        }
        self.losses.remember(now, &lost);
        let kind = lost.silence.map(|silence| silence.kind);
        if kind == Some(ContactLossKind::Unseen) {
            let judged_at = now + TOGETHER_UNSEEN_MS;
            self.losses.unjudged.push((judged_at, lost));
        } else {
            self.judge(now, lost);
        }
    }

    /// Judges the losses that have waited for others.
    pub(crate) fn attribute_losses(&mut self, now: TimeMs) {
        let unjudged = std::mem::take(&mut self.losses.unjudged);
        let (due, later): (Vec<_>, Vec<_>) = unjudged.into_iter().partition(|(at, _)| *at <= now);
        self.losses.unjudged = later;
        for (_, lost) in due {
            self.judge(now, lost);
        }
    }

    fn judge(&mut self, now: TimeMs, lost: LostWorker) {
        let (lost_together, may_be_task) = self.lost_together(&lost.worker, lost.silence);
        let blamed = match lost.cause {
            WorkerLossCause::Crashed if may_be_task => self.blame(now, &suspects(&lost.runs)),
            WorkerLossCause::Crashed | WorkerLossCause::Left | WorkerLossCause::OutOfReach => {
                Vec::new()
            }
        };
        let runs = lost.runs.into_iter().map(|run| (run.task, run.age_ms));
        self.actions.push(Action::LogWorkerLoss(WorkerLossReport {
            worker: lost.worker,
            rack: lost.rack,
            cause: lost.cause,
            contact_loss: lost.silence,
            runs: runs.collect(),
            lost_together,
            suspects: blamed,
        }));
    }

    /// Notes a crash for the tasks that may be the reason; gives them with their counts.
    fn blame(&mut self, now: TimeMs, suspects: &[&RunAtLoss]) -> Vec<(TaskId, u32)> {
        let mut counts = Vec::with_capacity(suspects.len());
        for run in suspects {
            let Some(job) = self.jobs.get_mut(&run.task.job_id) else {
                continue;
            };
            let is_over = job.count_crash(&run.task, run.age_ms);
            let count = job
                .task(&run.task)
                .map_or(0, |task| task.crash_history.count);
            counts.push((run.task.clone(), count));
            if is_over {
                self.end_job(now, &run.task.job_id);
            }
        }
        counts
    }

    /// Counts the other workers with runs that fell silent at the same time, those that are lost and
    /// those that may come back; tells whether a task of the worker may have been the reason.
    ///
    /// A task ends the process of its worker, so that the machine closes its connections. A worker that
    /// does not answer at all has lost its power or its path. Several with closed connections, or that
    /// were lost before this term, were cut off or ended together if their own tasks are no reason.
    fn lost_together(&self, name: &WorkerName, silence: Option<ContactLoss>) -> (usize, bool) {
        let Some(silence) = silence else {
            // Nothing tells when it was lost.
            return (0, false);
        };
        let others = self.workers.iter().filter(|(other, _)| *other != name);
        let silent = others.filter_map(|(_, worker)| {
            let silence = worker.contact_loss?;
            let runs = worker.runs_at_loss();
            (!runs.is_empty()).then(|| (silence, has_likely_cause(&runs)))
        });
        let lost = self.losses.past.iter().filter(|past| past.worker != *name);
        let lost = lost.map(|past| (past.silence, past.is_explained));
        let together: Vec<bool> = silent
            .chain(lost)
            .filter(|(other, _)| other.is_together(silence))
            .map(|(_, is_explained)| is_explained)
            .collect();
        let unexplained = together.iter().filter(|is_explained| !**is_explained);
        let may_be_task =
            silence.kind != ContactLossKind::Unanswered && unexplained.count() < COMMON_LOSSES;
        (together.len(), may_be_task)
    }
}
