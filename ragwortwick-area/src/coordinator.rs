//! The coordinator of an area: takes in events, asks for actions.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use ragwortwick_core::{ClassName, DurationMs, JobId, PoolName, TimeMs, WorkerName};

use crate::accounting::RunEndReason;
use crate::advice::AdvisorState;
use crate::desired::DesiredState;
use crate::headroom::UrgentDemandPeak;
use crate::job::{JobRecord, QueuePolicy, StepId};
use crate::job_state::JobState;
use crate::limits::Limits;
use crate::losses::RecentLosses;
use crate::messages::{Action, Event, WorkerEntry};
use crate::progress::{JobPhase, JobProgress};
use crate::record_batches::RecordBatches;
use crate::value::total_work;
use crate::worker::Worker;

/// How long a coordinator that lost the store goes on renewing what runs.
///
/// It covers a store outage of lease plus this; a successor waits as long before it gives up a run
/// on a worker that it can't reach.
pub(crate) const RENEWAL_AFTER_LEASE_LOSS_MS: DurationMs = DurationMs(4_000);

/// How old the list of workers may be when work is placed by it.
///
/// A worker that leaves must get no work two seconds after it said so.
const WORKERS_FRESH_MS: DurationMs = DurationMs(1_300);

/// Pause between two passes of placement, so that a burst of events costs one pass.
const PASS_INTERVAL_MS: DurationMs = DurationMs(8);

/// How many times as long as a pass took the next one is put off, counted from its end.
///
/// On a busy host a pass takes many times as long as on an idle one. Counted from its beginning, the next
/// one would be due with the very next event, and answers of workers would wait for a pass each.
const PAUSE_PER_PASS: u64 = 3;

/// Longest pause between two passes; urgent work has to start within a second or two.
const MOST_PASS_PAUSE_MS: DurationMs = DurationMs(200);

/// Pause between two rounds of looks: each goes through all workers, which is too dear for every event.
const LOOKS_INTERVAL_MS: DurationMs = DurationMs(5);

/// How often leases that ran out, orders without an answer and old jobs are looked for.
const CHORES_MS: DurationMs = DurationMs(40);

/// Longest sleep while work is under way.
const TICK_MS: DurationMs = DurationMs(100);

/// `Now` is the present time on the two clocks that decisions need.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Now {
    /// A clock that never steps and goes on while the machine is suspended.
    pub steady: TimeMs,
    /// Unix time.
    pub unix: TimeMs,
}

/// `RecoveredJob` is a job as a new coordinator finds it in the store.
#[derive(Clone, Debug)]
pub struct RecoveredJob {
    /// The job.
    pub record: Arc<JobRecord>,
    /// How far it is, if a coordinator stored that.
    pub progress: Option<JobProgress>,
    /// Whether a caller cancelled it.
    pub is_cancelled: bool,
}

/// `Coordinator` decides what runs where in one area.
#[derive(Debug)]
pub struct Coordinator {
    pub(crate) limits: Limits,
    pub(crate) desired: Arc<DesiredState>,
    pub(crate) workers: BTreeMap<WorkerName, Worker>,
    pub(crate) jobs: BTreeMap<JobId, JobState>,
    /// Jobs that are not over, so that a pass doesn't go through all that ever were.
    pub(crate) open_jobs: BTreeSet<JobId>,
    pub(crate) records: RecordBatches,
    pub(crate) advice: AdvisorState,
    pub(crate) actions: Vec<Action>,
    pub(crate) lease_valid_until: TimeMs,
    workers_fresh_at: Option<TimeMs>,
    pub(crate) needs_pass: bool,
    next_pass_at: TimeMs,
    /// When the pass began whose end is not known yet.
    pass_began: Option<TimeMs>,
    /// Whether something happened since looks were last sent, so that one may be due.
    wants_looks: bool,
    /// When looks were last sent.
    looks_sent_at: TimeMs,
    /// When the next look is due, if nothing happens before.
    pub(crate) next_poll_at: Option<TimeMs>,
    /// Whether an order may be due before the next regular look for due ones.
    pub(crate) has_due_orders: bool,
    next_chores_at: TimeMs,
    pub(crate) next_scheduled_at: Option<TimeMs>,
    /// Accelerator-seconds and number of the jobs that each queue has brought.
    pub(crate) submitted_work: BTreeMap<ClassName, (f64, u32)>,
    /// Workers on which the last pass kept room.
    pub(crate) reserved_workers: BTreeSet<WorkerName>,
    /// Recent peak of urgent demand in each pool.
    pub(crate) urgent_peaks: BTreeMap<PoolName, UrgentDemandPeak>,
    /// Workers that were lost lately.
    pub(crate) losses: RecentLosses,
    /// Steps for which others were stopped, and when that was.
    pub(crate) preempted_for: BTreeMap<StepId, TimeMs>,
}

impl Coordinator {
    /// `take_over` begins a term with what the store holds.
    ///
    /// Runs that the records place on workers count as running until a look, or time, tells.
    #[must_use]
    pub fn take_over(
        now: Now,
        limits: Limits,
        desired: Arc<DesiredState>,
        jobs: Vec<RecoveredJob>,
        entries: Vec<WorkerEntry>,
    ) -> Self {
        let mut coordinator = Self {
            limits,
            desired,
            workers: BTreeMap::new(),
            jobs: BTreeMap::new(),
            open_jobs: BTreeSet::new(),
            records: RecordBatches::default(),
            advice: AdvisorState::default(),
            actions: Vec::new(),
            lease_valid_until: now.steady,
            workers_fresh_at: Some(now.steady),
            needs_pass: true,
            next_pass_at: TimeMs(0),
            pass_began: None,
            wants_looks: true,
            looks_sent_at: TimeMs(0),
            next_poll_at: None,
            has_due_orders: true,
            next_chores_at: TimeMs(0),
            next_scheduled_at: None,
            submitted_work: BTreeMap::new(),
            reserved_workers: BTreeSet::new(),
            urgent_peaks: BTreeMap::new(),
            losses: RecentLosses::default(),
            preempted_for: BTreeMap::new(),
        };
        for entry in entries {
            let name = entry.name.clone();
            coordinator
                .workers
                .insert(name, Worker::new(now.steady, entry));
        }
        for job in jobs {
            coordinator.recover_job(now, job);
        }
        coordinator
    }

    /// `on_event` takes in one event.
    pub fn on_event(&mut self, now: Now, event: Event) -> Vec<Action> {
        match event {
            Event::DesiredState(desired) => self.desired = desired,
            Event::WorkerUpdated(entry) => self.worker_seen(now.steady, entry),
            Event::WorkerRemoved(name) => self.worker_gone(&name),
            Event::WorkersConfirmed => self.workers_fresh_at = Some(now.steady),
            Event::JobAccepted(record) => self.job_accepted(now, record),
            Event::JobCancelled(job_id) => self.cancel(now.steady, &job_id),
            Event::BatchStored { batch } => self.on_batch_stored(now.steady, batch),
            Event::CompletionHandedOver { task, run } => {
                self.on_completion_handed_over(now.steady, &task, run);
            }
            Event::StartReplied {
                worker,
                task,
                run,
                reply,
            } => self.on_start_replied(now.steady, &worker, &task, run, reply),
            Event::StopReplied {
                worker,
                task,
                run,
                reply,
            } => self.on_stop_replied(now.steady, &worker, &task, run, reply),
            Event::PollReplied {
                worker,
                sent_at,
                report,
            } => self.on_poll_reply(now.steady, &worker, sent_at, &report),
            Event::PollFailed { worker, failure } => {
                self.on_poll_failed(now.steady, &worker, failure);
            }
            Event::PaceFailed { worker, task, run } => self.on_pace_failed(&worker, &task, run),
            Event::AdviceReplied { step, asked, reply } => {
                self.on_advice_replied(now.steady, step, asked, reply);
            }
            Event::LeaseExtended { until } => self.lease_valid_until = until,
        }
        self.needs_pass = true;
        self.wants_looks = true;
        self.act(now)
    }

    /// `on_wakeup` does what has become due.
    pub fn on_wakeup(&mut self, now: Now) -> Vec<Action> {
        self.act(now)
    }

    /// `next_wakeup` tells when something becomes due without an event.
    #[must_use]
    pub fn next_wakeup(&self, now: Now) -> Option<TimeMs> {
        let is_busy =
            self.records.has_pending() || self.next_poll_at.is_some() || !self.open_jobs.is_empty();
        let tick = is_busy.then(|| now.steady + TICK_MS);
        let pass = self.needs_pass.then_some(self.next_pass_at);
        let due = self.next_scheduled_at.map(|at| at.max(self.next_pass_at));
        let look = if self.wants_looks {
            Some(self.looks_sent_at + LOOKS_INTERVAL_MS)
        } else {
            self.next_poll_at
        };
        [tick, pass, due, look].into_iter().flatten().min()
    }

    fn act(&mut self, now: Now) -> Vec<Action> {
        let has_chores = now.steady >= self.next_chores_at;
        if has_chores {
            self.next_chores_at = now.steady + CHORES_MS;
            self.wants_looks = true;
            self.expire_leases(now.steady);
            self.attribute_losses(now.steady);
            self.remove_expired_jobs(now.steady);
        }
        let is_due = self.next_scheduled_at.is_some_and(|at| at <= now.steady);
        if (self.needs_pass || is_due) && now.steady >= self.next_pass_at {
            self.needs_pass = false;
            self.pass_began = Some(now.steady);
            self.next_pass_at = now.steady + PASS_INTERVAL_MS;
            self.evacuate_draining_workers(now.steady);
            self.run_placement_pass(now);
        }
        self.send_record_batches(now.steady);
        if has_chores || std::mem::take(&mut self.has_due_orders) {
            self.send_orders(now.steady);
        }
        let is_look_due = self.wants_looks || self.next_poll_at.is_some_and(|at| at <= now.steady);
        if is_look_due && now.steady.since(self.looks_sent_at) >= LOOKS_INTERVAL_MS {
            self.wants_looks = false;
            self.looks_sent_at = now.steady;
            self.send_polls(now.steady);
        }
        std::mem::take(&mut self.actions)
    }

    /// `record_call_end` tells when the last call was over, so that a long pass leaves time to the events
    /// that came meanwhile.
    pub fn record_call_end(&mut self, now: TimeMs) {
        if let Some(began) = self.pass_began.take() {
            let pause_ms = DurationMs(now.since(began).0 * PAUSE_PER_PASS)
                .clamp(PASS_INTERVAL_MS, MOST_PASS_PAUSE_MS);
            self.next_pass_at = now + pause_ms;
        }
    }

    /// `open_jobs` counts the jobs that have not come to their end.
    #[must_use]
    pub fn open_jobs(&self) -> usize {
        self.open_jobs.len()
    }

    /// `workers` counts the workers that it knows of.
    #[must_use]
    pub fn workers(&self) -> usize {
        self.workers.len()
    }

    /// `phase` tells how far a job is, if it is known.
    #[must_use]
    pub fn phase(&self, job_id: &JobId) -> Option<JobPhase> {
        self.jobs.get(job_id).map(|job| job.phase)
    }

    /// `can_start_work` tells whether the term still allows new work to be started.
    pub(crate) fn can_start_work(&self, now: TimeMs) -> bool {
        now < self.lease_valid_until
    }

    /// Whether the list of workers is new enough to place work by it.
    pub(crate) fn has_fresh_workers(&self, now: TimeMs) -> bool {
        self.workers_fresh_at
            .is_some_and(|at| now.since(at) <= WORKERS_FRESH_MS)
    }

    /// The terms in force for a job: the desired state's, or those of its acceptance.
    pub(crate) fn queue_policy<'a>(&'a self, job: &'a JobState) -> &'a QueuePolicy {
        self.desired
            .queues
            .get(&job.record.queue)
            .map_or(&job.record.policy, |queue| &queue.policy)
    }

    fn worker_seen(&mut self, now: TimeMs, entry: WorkerEntry) {
        if let Some(worker) = self.workers.get_mut(&entry.name) {
            worker.update_entry(now, entry);
        } else {
            self.workers
                .insert(entry.name.clone(), Worker::new(now, entry));
        }
    }

    fn worker_gone(&mut self, name: &WorkerName) {
        if let Some(worker) = self.workers.get_mut(name) {
            // Its runs may go on: an entry also vanishes when the worker is cut off from the store.
            worker.is_listed = false;
            if worker.can_be_removed() {
                self.workers.remove(name);
            }
        }
    }

    fn job_accepted(&mut self, now: Now, record: Arc<JobRecord>) {
        let job_id = record.job_id.clone();
        if self.jobs.contains_key(&job_id) {
            return;
        }
        let accepted_at = unix_to_steady(now, record.accepted_unix_ms);
        let mut job = JobState::new(record, accepted_at);
        if job.occurrences.iter().all(Vec::is_empty) {
            job.phase = JobPhase::Completed;
        }
        self.record_work(&job);
        self.jobs.insert(job_id.clone(), job);
        self.open_jobs.insert(job_id);
    }

    pub(crate) fn record_work(&mut self, job: &JobState) {
        let seen = self
            .submitted_work
            .entry(job.record.queue.clone())
            .or_insert((0.0, 0));
        seen.0 += total_work(job);
        seen.1 += 1;
    }

    pub(crate) fn cancel(&mut self, now: TimeMs, job_id: &JobId) {
        let Some(job) = self.jobs.get_mut(job_id) else {
            return;
        };
        if job.phase.is_final() {
            return;
        }
        job.phase = JobPhase::Cancelled;
        self.end_job(now, job_id);
    }

    /// A job has come to its end: nothing of it is placed any more, and what runs has to stop.
    pub(crate) fn end_job(&mut self, now: TimeMs, job_id: &JobId) {
        if let Some(job) = self.jobs.get_mut(job_id) {
            job.ended_at = Some(now);
            job.accounting.on_job_ended(now);
        }
        self.open_jobs.remove(job_id);
        self.advice.remove_job(job_id);
        self.records.mark_dirty(job_id);
        let is_completed = self.phase(job_id) == Some(JobPhase::Completed);
        if !is_completed {
            self.stop_matching(now, RunEndReason::JobOver, |task| task.job_id == *job_id);
        }
    }
}

/// Unix time on the steady clock, not later than now.
pub(crate) fn unix_to_steady(now: Now, unix: TimeMs) -> TimeMs {
    now.steady - now.unix.since(unix)
}
