//! Lost workers: the cause of each loss, and the attribution of crashes to tasks that ran there.

use std::fmt;

use ragwortwick_core::{DurationMs, RackName, TimeMs, WorkerName, common};

use crate::allocation::{Allocation, AllocationPhase};
use crate::coordinator::Coordinator;
use crate::crashes::{RunAtLoss, has_likely_cause, suspect_runs};
use crate::job::{Resources, TaskId};
use crate::messages::{Action, RunEndEvidence};
use crate::outcome::RunOutcome;
use crate::worker::Worker;

/// Maximum time between contact losses that count as one event if connections were closed: a closed
/// connection shows at once.
const SAME_EVENT_CLOSED_MS: DurationMs = DurationMs(250);

/// The same if there was no reply, which shows only once the reply to a poll is overdue.
const SAME_EVENT_UNANSWERED_MS: DurationMs = DurationMs(3_000);

/// The same for workers lost before the term, which show in the first polls.
const SAME_EVENT_UNSEEN_MS: DurationMs = DurationMs(1_000);

/// Number of other workers, lost in the same event with no likely cause among their runs, at which the
/// event is taken to have a common cause: no worker's loss is then attributed to its runs.
const COMMON_CAUSE_LOSSES: usize = 2;

/// Maximum time between the first order of a start and its confirmation for which the age of the run is known
/// well enough to compare crashes.
const MAX_START_UNCERTAINTY_MS: DurationMs = DurationMs(400);

/// Longest time after which a start order that a network has kept back is expected at a worker that is in reach again.
const MAX_ABANDONED_START_MS: DurationMs = DurationMs(60_000);

/// How long a loss is kept for comparison: workers lost in the same event come back within seconds, or
/// not at all.
const RECENT_LOSS_MS: DurationMs = DurationMs(15_000);

/// `WorkerLossCause` is why a worker was lost.
#[common(key)]
pub enum WorkerLossCause {
    /// Another incarnation replies at its address, and it had not announced that it would leave.
    Crashed,
    /// It had announced that it would leave.
    Left,
    /// It is unresponsive and every lease granted there has expired; it may be partitioned and still up.
    OutOfReach,
}

impl fmt::Display for WorkerLossCause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{self:?}")
    }
}

/// `ContactLossKind` is how the coordinator noticed that a worker is unresponsive.
#[common(key)]
pub enum ContactLossKind {
    /// Its machine closed or refused the connection: the process ended, or the network path was reset.
    Closed,
    /// There was no reply.
    Unanswered,
    /// It was lost before its first reply to this coordinator.
    Unseen,
}

/// `ContactLoss` is the time since which a worker is unresponsive, and how that was noticed.
#[common]
#[derive(Copy)]
pub struct ContactLoss {
    /// When the first request failed.
    pub since: TimeMs,
    /// Whether the coordinator had been paused right before, so that the worker may have been lost earlier.
    pub is_noticed_late: bool,
    /// How it was noticed.
    pub kind: ContactLossKind,
}

impl ContactLoss {
    /// Whether two workers became unresponsive in the same event: at about the same time, in the same way.
    fn is_same_event(self, other: Self) -> bool {
        let (earlier, later) = (self.since.min(other.since), self.since.max(other.since));
        let within_ms = match self.kind {
            ContactLossKind::Closed => SAME_EVENT_CLOSED_MS,
            ContactLossKind::Unanswered => SAME_EVENT_UNANSWERED_MS,
            ContactLossKind::Unseen => SAME_EVENT_UNSEEN_MS,
        };
        self.kind == other.kind && later.since(earlier) <= within_ms
    }
}

/// `LostRun` is a run that was lost with its worker.
#[common]
pub struct LostRun {
    /// The task.
    pub task: TaskId,
    /// Number of the run.
    pub run: u32,
    /// Age of the run at the loss; none if it is unknown.
    pub age_ms: Option<DurationMs>,
}

/// `WorkerLossReport` describes a lost worker, for the log and for the next coordinator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerLossReport {
    /// The worker.
    pub worker: WorkerName,
    /// Its rack.
    pub rack: RackName,
    /// Why it was lost.
    pub cause: WorkerLossCause,
    /// When and how contact was lost; none if the worker was lost before any request failed.
    pub contact_loss: Option<ContactLoss>,
    /// Runs that were lost with it.
    pub runs: Vec<LostRun>,
    /// Number of other workers with runs that became unresponsive in the same event.
    pub lost_together: usize,
    /// Tasks that the crash is attributed to, each with its number of attributed crashes so far.
    pub suspects: Vec<(TaskId, u32)>,
}

/// `RecentLoss` is a loss kept to decide whether later ones belong to the same event.
#[derive(Clone, Debug)]
pub(crate) struct RecentLoss {
    worker: WorkerName,
    contact_loss: ContactLoss,
    has_likely_cause: bool,
}

/// `LostWorker` is a lost worker whose loss may be attributed to tasks that ran there.
#[derive(Clone, Debug)]
pub(crate) struct LostWorker {
    worker: WorkerName,
    rack: RackName,
    pub(crate) cause: WorkerLossCause,
    contact_loss: Option<ContactLoss>,
    runs: Vec<RunAtLoss>,
}

/// `RecentLosses` tracks the workers that were lost in the last seconds.
#[derive(Debug, Default)]
pub(crate) struct RecentLosses {
    recent: Vec<RecentLoss>,
    /// Losses that wait for others of the same event, each with the time of its attribution.
    unattributed: Vec<(TimeMs, LostWorker)>,
}

impl RecentLosses {
    fn record(&mut self, now: TimeMs, lost: &LostWorker) {
        self.recent
            .retain(|loss| now.since(loss.contact_loss.since) <= RECENT_LOSS_MS);
        self.recent
            .extend(lost.contact_loss.map(|contact_loss| RecentLoss {
                worker: lost.worker.clone(),
                contact_loss,
                has_likely_cause: has_likely_cause(&lost.runs),
            }));
    }
}

impl Worker {
    /// Age of a run when the worker was last known to be up; none if it is not known well enough.
    ///
    /// A run may have started at any time between its first order and the worker's confirmation, or up to now
    /// without one.
    fn run_age_ms(&self, allocation: &Allocation) -> Option<DurationMs> {
        let ordered_at = allocation.ordered_at?;
        let last_up_at = self.last_up_at();
        let started_by = allocation.started_at.unwrap_or(last_up_at);
        let is_noticed_late = self
            .contact_loss
            .is_some_and(|contact_loss| contact_loss.is_noticed_late);
        if is_noticed_late || started_by.since(ordered_at) > MAX_START_UNCERTAINTY_MS {
            return None;
        }
        Some(last_up_at.since(started_by))
    }

    /// The runs that were, or may have been, on the worker when it was last up.
    fn runs_at_loss(&self) -> Vec<RunAtLoss> {
        let allocations = self.allocations.iter();
        let sent = allocations
            .filter(|(_, allocation)| allocation.phase != AllocationPhase::AwaitingRecord);
        let runs = sent.map(|(task, allocation)| RunAtLoss {
            task: task.clone(),
            run: allocation.run,
            age_ms: self.run_age_ms(allocation),
            crash_history: allocation.crash_history,
        });
        runs.collect()
    }

    /// The runs with a start order of this term that had no reply, with their resources. The worker refuses orders of
    /// earlier terms.
    fn unanswered_starts(&self) -> Vec<(TaskId, u32, Resources)> {
        let allocations = self.allocations.iter();
        let unanswered = allocations.filter(|(_, allocation)| {
            allocation.ordered_at.is_some() && allocation.has_unanswered_start()
        });
        unanswered
            .map(|(task, allocation)| (task.clone(), allocation.run, allocation.resources))
            .collect()
    }

    /// The contact loss of a worker that is lost now; none if it replied to requests until now.
    fn contact_loss_at(&self, now: TimeMs) -> Option<ContactLoss> {
        let is_unseen = self
            .allocations
            .values()
            .all(|allocation| allocation.phase == AllocationPhase::Recovered);
        let unseen = ContactLoss {
            since: now,
            is_noticed_late: true,
            kind: ContactLossKind::Unseen,
        };
        self.contact_loss.or_else(|| is_unseen.then_some(unseen))
    }

    /// When the worker was last known to be up; a closed connection shows when it went down.
    fn last_up_at(&self) -> TimeMs {
        match self.contact_loss {
            Some(ContactLoss {
                since,
                kind: ContactLossKind::Closed,
                ..
            }) => since,
            _ => self.last_reply_at(),
        }
    }
}

impl Coordinator {
    /// Ends all runs on a lost worker, where nothing runs any more.
    pub(crate) fn lose_worker(&mut self, now: TimeMs, name: &WorkerName, cause: WorkerLossCause) {
        let Some(lost) = self.describe_loss(now, name, cause) else {
            return;
        };
        let outcome = RunOutcome::Lost(lost.cause);
        let evidence = match cause {
            WorkerLossCause::OutOfReach => RunEndEvidence::LeasesExpired,
            WorkerLossCause::Crashed | WorkerLossCause::Left => RunEndEvidence::OtherIncarnation,
        };
        let unanswered = self.workers.get(name).map(Worker::unanswered_starts);
        for (task, run) in self.runs_on(name) {
            self.end_run(now, name, &task, run, outcome, evidence);
        }
        if let Some(worker) = self.workers.get_mut(name) {
            worker.untracked.clear_reported();
            let may_come_back = cause == WorkerLossCause::OutOfReach && !worker.is_replaced;
            for (task, run, demand) in unanswered.into_iter().flatten().filter(|_| may_come_back) {
                let until = now + MAX_ABANDONED_START_MS;
                worker.untracked.insert_expected(task, run, demand, until);
            }
        }
        if self.workers.get(name).is_some_and(Worker::can_be_removed) {
            self.workers.remove(name);
        }
        self.record_loss(now, lost);
    }

    /// Describes a worker that is lost now.
    pub(crate) fn describe_loss(
        &self,
        now: TimeMs,
        name: &WorkerName,
        cause: WorkerLossCause,
    ) -> Option<LostWorker> {
        let worker = self.workers.get(name)?;
        Some(LostWorker {
            worker: name.clone(),
            rack: worker.entry.rack.clone(),
            cause: if worker.entry.is_draining {
                WorkerLossCause::Left
            } else {
                cause
            },
            contact_loss: worker.contact_loss_at(now),
            runs: worker.runs_at_loss(),
        })
    }

    /// Records a loss, and attributes it once others of the same event are known.
    pub(crate) fn record_loss(&mut self, now: TimeMs, lost: LostWorker) {
        if lost.runs.is_empty() {
            return;
        }
        self.losses.record(now, &lost);
        let kind = lost.contact_loss.map(|contact_loss| contact_loss.kind);
        if kind == Some(ContactLossKind::Unseen) {
            let attributed_at = now + SAME_EVENT_UNSEEN_MS;
            self.losses.unattributed.push((attributed_at, lost));
        } else {
            self.attribute_loss(now, lost);
        }
    }

    /// Attributes the losses that have waited long enough for others of the same event.
    pub(crate) fn attribute_losses(&mut self, now: TimeMs) {
        let unattributed = std::mem::take(&mut self.losses.unattributed);
        let (due, later): (Vec<_>, Vec<_>) =
            unattributed.into_iter().partition(|(at, _)| *at <= now);
        self.losses.unattributed = later;
        for (_, lost) in due {
            self.attribute_loss(now, lost);
        }
    }

    fn attribute_loss(&mut self, now: TimeMs, lost: LostWorker) {
        let (lost_together, may_be_task) = self.lost_together(&lost.worker, lost.contact_loss);
        let suspects = match lost.cause {
            WorkerLossCause::Crashed if may_be_task => {
                self.attribute_crash(now, &suspect_runs(&lost.runs))
            }
            WorkerLossCause::Crashed | WorkerLossCause::Left | WorkerLossCause::OutOfReach => {
                Vec::new()
            }
        };
        let runs = lost.runs.into_iter().map(|run| LostRun {
            task: run.task,
            run: run.run,
            age_ms: run.age_ms,
        });
        self.actions.push(Action::LogWorkerLoss(WorkerLossReport {
            worker: lost.worker,
            rack: lost.rack,
            cause: lost.cause,
            contact_loss: lost.contact_loss,
            runs: runs.collect(),
            lost_together,
            suspects,
        }));
    }

    /// Counts a crash for each suspect task; returns the tasks with their counts.
    fn attribute_crash(&mut self, now: TimeMs, suspects: &[&RunAtLoss]) -> Vec<(TaskId, u32)> {
        let mut counts = Vec::with_capacity(suspects.len());
        for suspect in suspects {
            let count = self.count_crash(now, &suspect.task, suspect.run, suspect.age_ms);
            counts.extend(count.map(|count| (suspect.task.clone(), count)));
        }
        counts
    }

    /// Counts the other workers with runs that became unresponsive in the same event, whether lost by now
    /// or still expected back, and reports whether a task of this worker may have caused the loss.
    ///
    /// A task can end the process of its worker, whereupon the machine closes its connections. A worker
    /// that does not reply at all has lost power or its network path. Several workers with closed
    /// connections, or lost before this term, have a common cause outside their tasks, unless their own
    /// runs give a likely cause.
    fn lost_together(&self, name: &WorkerName, contact_loss: Option<ContactLoss>) -> (usize, bool) {
        let Some(contact_loss) = contact_loss else {
            // The time of the loss is unknown.
            return (0, false);
        };
        let others = self.workers.iter().filter(|(other, _)| *other != name);
        let unresponsive = others.filter_map(|(_, worker)| {
            let contact_loss = worker.contact_loss?;
            let runs = worker.runs_at_loss();
            (!runs.is_empty()).then(|| (contact_loss, has_likely_cause(&runs)))
        });
        let lost = self
            .losses
            .recent
            .iter()
            .filter(|loss| loss.worker != *name);
        let lost = lost.map(|loss| (loss.contact_loss, loss.has_likely_cause));
        let same_event: Vec<bool> = unresponsive
            .chain(lost)
            .filter(|(other, _)| other.is_same_event(contact_loss))
            .map(|(_, has_likely_cause)| has_likely_cause)
            .collect();
        let unexplained = same_event
            .iter()
            .filter(|has_likely_cause| !**has_likely_cause);
        let may_be_task = contact_loss.kind != ContactLossKind::Unanswered
            && unexplained.count() < COMMON_CAUSE_LOSSES;
        (same_event.len(), may_be_task)
    }
}
