//! Workers that are lost with what ran there.

use std::fmt;

use ragwortwick_core::{DurationMs, RackName, TimeMs, WorkerName, common};

use crate::coordinator::Coordinator;
use crate::job::TaskId;
use crate::messages::Action;
use crate::settle::Outcome;
use crate::worker::{Held, HeldPhase, Worker};

/// How far apart workers may fall silent that were lost together. A closed connection shows at once, a
/// silent one only when the answer to a look is overdue.
const TOGETHER_MS: DurationMs = DurationMs(1_000);
const TOGETHER_UNANSWERED_MS: DurationMs = DurationMs(3_000);

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
    /// Whether two workers fell silent at the same time, as far as that can be told.
    fn is_together(self, other: Self) -> bool {
        let (early, late) = (self.since.min(other.since), self.since.max(other.since));
        let within_ms = if self.is_closed && other.is_closed {
            TOGETHER_MS
        } else {
            TOGETHER_UNANSWERED_MS
        };
        late.since(early) <= within_ms
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
    /// How it fell silent; none if it answered until then.
    pub silence: Option<Silence>,
    /// Runs that were lost with it, with how long each had been running; none if that is not known.
    pub runs: Vec<(TaskId, Option<DurationMs>)>,
    /// Workers with runs that fell silent at the same time.
    pub lost_together: usize,
}

/// `PastLoss` is a loss of which the neighbours are still to be judged.
#[derive(Clone, Debug)]
pub(crate) struct PastLoss {
    silence: Silence,
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
        self.report_loss(now, name, loss);
        for (task, run) in self.jobs_on(name) {
            self.resolve(now, name, &task, run, Outcome::Lost(loss));
        }
        if self.workers.get(name).is_some_and(Worker::is_forgettable) {
            self.workers.remove(name);
        }
    }

    fn report_loss(&mut self, now: TimeMs, name: &WorkerName, loss: WorkerLoss) {
        let Some(worker) = self.workers.get(name) else {
            return;
        };
        if worker.held.is_empty() {
            return;
        }
        let silence = worker.silence;
        let runs = worker.held.iter();
        let runs = runs.map(|(task, held)| (task.clone(), worker.age_of(held)));
        let report = WorkerLost {
            worker: name.clone(),
            rack: worker.entry.rack.clone(),
            loss,
            silence,
            runs: runs.collect(),
            lost_together: self.lost_together(name, silence),
        };
        self.past_losses
            .retain(|past| now.since(past.silence.since) <= REMEMBERED_MS);
        if let Some(silence) = silence {
            self.past_losses.push(PastLoss { silence });
        }
        self.actions.push(Action::ReportLoss(report));
    }

    /// Counts the other workers with runs that fell silent at the same time, those that are lost and
    /// those that may come back.
    fn lost_together(&self, name: &WorkerName, silence: Option<Silence>) -> usize {
        let Some(silence) = silence else {
            return 0;
        };
        let silent = self.workers.iter().filter(|(other, worker)| {
            *other != name
                && !worker.held.is_empty()
                && worker
                    .silence
                    .is_some_and(|other| other.is_together(silence))
        });
        let lost = self.past_losses.iter();
        let lost = lost.filter(|past| past.silence.is_together(silence));
        silent.count() + lost.count()
    }
}
