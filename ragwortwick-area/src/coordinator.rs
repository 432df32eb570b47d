//! The coordinator of an area, which processes events and returns actions.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use ragwortwick_core::{ClassName, DurationMs, JobId, PoolName, TimeMs, WorkerName};

use crate::accounting::RunEndReason;
use crate::advice::AdvisorState;
use crate::desired::DesiredState;
use crate::evacuation::{EvacuatedZones, EvacuationChange, Evacuations};
use crate::headroom::UrgentDemandPeak;
use crate::job::{JobRecord, QueuePolicy, StepId};
use crate::job_state::JobState;
use crate::late_completions::HeldEnds;
use crate::limits::Limits;
use crate::load_picture::LoadPublisher;
use crate::losses::RecentLosses;
use crate::messages::{Action, Event, WorkerEntry};
use crate::progress::{JobPhase, JobProgress};
use crate::record_batches::RecordBatches;
use crate::restarts::earlier_incarnations;
use crate::speed_model::SpeedModel;
use crate::speed_record::{SpeedRecord, SpeedRecordError, SpeedRecorder};
use crate::value::total_work;
use crate::worker::Worker;

/// How long a coordinator keeps renewing worker leases after its own lease has ended.
///
/// Runs survive a store outage that lasts as long as that lease plus this time. A successor waits for the
/// same time before it abandons a run on an unreachable worker.
pub(crate) const RENEWAL_AFTER_LEASE_LOSS_MS: DurationMs = DurationMs(4_000);

/// Maximum age of the worker list for placement.
///
/// A worker must get no new work two seconds after it announced that it leaves.
const MAX_WORKER_LIST_AGE_MS: DurationMs = DurationMs(1_300);

/// Minimum pause between two placement passes, so that a burst of events costs only one.
const MIN_PASS_PAUSE_MS: DurationMs = DurationMs(8);

/// Pause after a placement pass, as a multiple of the duration of that pass.
///
/// On a busy host a pass takes many times as long as on an idle one. If the pause were counted from the start
/// of the pass, the next one would be due at the next event, and each worker reply would wait for a pass.
const PASS_PAUSE_FACTOR: u64 = 3;

/// Maximum pause between two placement passes; urgent work has to start within a second or two.
const MAX_PASS_PAUSE_MS: DurationMs = DurationMs(200);

/// Minimum interval between poll rounds; a round visits all workers, which is too expensive for every event.
const POLL_ROUND_INTERVAL_MS: DurationMs = DurationMs(5);

/// Interval of the periodic maintenance: expired leases, unanswered orders and old jobs.
const MAINTENANCE_INTERVAL_MS: DurationMs = DurationMs(40);

/// Maximum time between wakeups while work is in progress.
const TICK_MS: DurationMs = DurationMs(100);

/// Minimum time without a call, while work is in progress, after which the process counts as paused.
const PAUSED_AFTER_MS: DurationMs = DurationMs(400);

/// Time after a pause in which events from before its end are still processed.
const PAUSE_BACKLOG_MS: DurationMs = DurationMs(300);

/// `Now` is the current time on the two clocks that decisions depend on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Now {
    /// Monotonic clock that includes the time during which the machine is suspended.
    pub steady: TimeMs,
    /// Unix time.
    pub unix: TimeMs,
}

/// `RecoveredJob` is a job as a new coordinator reads it from the store.
#[derive(Clone, Debug)]
pub struct RecoveredJob {
    /// The job as it was accepted.
    pub record: Arc<JobRecord>,
    /// Progress of the job, if a coordinator has stored it.
    pub progress: Option<JobProgress>,
    /// Whether a client cancelled the job.
    pub is_cancelled: bool,
}

/// `Coordinator` places the runs of one area on its workers.
#[derive(Debug)]
pub struct Coordinator {
    pub(crate) limits: Limits,
    pub(crate) desired: Arc<DesiredState>,
    pub(crate) workers: BTreeMap<WorkerName, Worker>,
    pub(crate) jobs: BTreeMap<JobId, JobState>,
    /// Jobs that have not ended; a placement pass visits only these.
    pub(crate) open_jobs: BTreeSet<JobId>,
    pub(crate) records: RecordBatches,
    pub(crate) advice: AdvisorState,
    pub(crate) actions: Vec<Action>,
    /// End of the coordinator's own lease.
    pub(crate) lease_valid_until: TimeMs,
    pub(crate) evacuations: Evacuations,
    /// When the worker list was last confirmed to be complete.
    workers_confirmed_at: Option<TimeMs>,
    /// Whether an event since the last placement pass requires another one.
    pub(crate) needs_pass: bool,
    next_pass_at: TimeMs,
    /// Start of the last placement pass, until its end is recorded.
    pass_started_at: Option<TimeMs>,
    /// Whether an event since the last poll round may have made a poll due.
    needs_poll_round: bool,
    /// When the last poll round was sent.
    polls_sent_at: TimeMs,
    /// When the next poll is due if no event occurs earlier.
    pub(crate) next_poll_at: Option<TimeMs>,
    /// Whether an order may be due before the next periodic maintenance.
    pub(crate) has_due_orders: bool,
    next_maintenance_at: TimeMs,
    /// When the coordinator was last called.
    called_at: TimeMs,
    /// When the last pause of the process ended; none if there was none.
    resumed_at: Option<TimeMs>,
    /// When the next scheduled occurrence of a job is due.
    pub(crate) next_scheduled_at: Option<TimeMs>,
    /// Accelerator-seconds and number of the jobs submitted to each queue.
    pub(crate) submitted_work: BTreeMap<ClassName, (f64, u32)>,
    /// Workers on which the last placement pass reserved capacity.
    pub(crate) reserved_workers: BTreeSet<WorkerName>,
    /// Recent peak of urgent demand in each pool.
    pub(crate) urgent_peaks: BTreeMap<PoolName, UrgentDemandPeak>,
    /// Backlogs of the queues.
    pub(crate) load: LoadPublisher,
    /// Speeds of the workers.
    pub(crate) speeds: SpeedModel,
    speed_recorder: SpeedRecorder,
    /// Recently lost workers.
    pub(crate) losses: RecentLosses,
    /// Listed completions that are not acknowledged yet.
    pub(crate) held_ends: HeldEnds,
    /// Steps for which other runs were preempted, with the time of the preemption.
    pub(crate) preempted_for: BTreeMap<StepId, TimeMs>,
}

impl Coordinator {
    /// `take_over` begins a term with the state read from the store.
    ///
    /// Recorded runs count as running until a poll shows otherwise or their leases have ended.
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
            evacuations: Evacuations::default(),
            workers_confirmed_at: Some(now.steady),
            needs_pass: true,
            next_pass_at: TimeMs(0),
            pass_started_at: None,
            needs_poll_round: true,
            polls_sent_at: TimeMs(0),
            next_poll_at: None,
            has_due_orders: true,
            next_maintenance_at: TimeMs(0),
            called_at: now.steady,
            resumed_at: None,
            next_scheduled_at: None,
            submitted_work: BTreeMap::new(),
            reserved_workers: BTreeSet::new(),
            urgent_peaks: BTreeMap::new(),
            load: LoadPublisher::default(),
            speeds: SpeedModel::default(),
            speed_recorder: SpeedRecorder::new(now.steady),
            losses: RecentLosses::default(),
            held_ends: HeldEnds::default(),
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

    /// `restore_speeds` begins with the speeds that an earlier coordinator stored.
    ///
    /// # Errors
    ///
    /// Fails if the record can't be used; nothing changes then.
    pub fn restore_speeds(
        &mut self,
        now: Now,
        record: &SpeedRecord,
    ) -> Result<(), SpeedRecordError> {
        let workers = &self.workers;
        record.restore(now.unix, &mut self.speeds, |name| {
            workers.contains_key(name)
        })
    }

    /// `on_event` processes one event and returns the resulting actions.
    pub fn on_event(&mut self, now: Now, event: Event) -> Vec<Action> {
        self.record_call(now.steady);
        match event {
            Event::DesiredState(desired) => self.desired = desired,
            Event::WorkerUpdated(entry) => self.on_worker_updated(now.steady, entry),
            Event::WorkerRemoved(name) => self.on_worker_removed(&name),
            Event::WorkersConfirmed => self.workers_confirmed_at = Some(now.steady),
            Event::EvacuationsConfirmed { zones, as_of } => {
                self.on_evacuations_confirmed(zones, as_of);
            }
            Event::JobAccepted(record) => self.on_job_accepted(now, record),
            Event::JobCancelled(job_id) => self.cancel_job(now.steady, &job_id),
            Event::BatchStored { batch } => self.on_batch_stored(now.steady, batch),
            Event::ResultHandedOver(result) => self.on_result_handed_over(now.steady, &result),
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
            } => self.on_poll_replied(now.steady, &worker, sent_at, &report),
            Event::PollFailed { worker, failure } => {
                self.on_poll_failed(now.steady, &worker, failure);
            }
            Event::PaceFailed { worker, task, run } => self.on_pace_failed(&worker, &task, run),
            Event::AdviceReplied { step, asked, reply } => {
                self.on_advice_replied(now.steady, step, asked, reply);
            }
            // Renewals overlap, so the reply to an earlier one may arrive last.
            Event::LeaseExtended { until } => {
                self.lease_valid_until = self.lease_valid_until.max(until);
            }
        }
        self.needs_pass = true;
        self.needs_poll_round = true;
        self.process_due(now)
    }

    /// `on_wakeup` processes what has become due and returns the resulting actions.
    pub fn on_wakeup(&mut self, now: Now) -> Vec<Action> {
        self.record_call(now.steady);
        self.process_due(now)
    }

    /// `next_wakeup` returns when `on_wakeup` must be called if no event occurs earlier.
    #[must_use]
    pub fn next_wakeup(&self, now: Now) -> Option<TimeMs> {
        let is_busy = self.records.has_pending()
            || self.next_poll_at.is_some()
            || !self.open_jobs.is_empty()
            || self
                .workers
                .values()
                .any(|worker| worker.is_replaced || worker.has_unconfirmed_stops());
        let tick = is_busy.then(|| now.steady + TICK_MS);
        let pass = self.needs_pass.then_some(self.next_pass_at);
        let scheduled = self.next_scheduled_at.map(|at| at.max(self.next_pass_at));
        let poll = if self.needs_poll_round {
            Some(self.polls_sent_at + POLL_ROUND_INTERVAL_MS)
        } else {
            self.next_poll_at
        };
        [tick, pass, scheduled, poll].into_iter().flatten().min()
    }

    /// Records a call, and the end of a pause if the last call is long ago.
    fn record_call(&mut self, now: TimeMs) {
        if !self.open_jobs.is_empty() && now.since(self.called_at) >= PAUSED_AFTER_MS {
            self.resumed_at = Some(now);
        }
        self.called_at = now;
    }

    /// Whether an event that is processed now may have occurred during a pause of the process.
    pub(crate) fn is_after_pause(&self, now: TimeMs) -> bool {
        self.resumed_at
            .is_some_and(|at| now.since(at) <= PAUSE_BACKLOG_MS)
    }

    fn process_due(&mut self, now: Now) -> Vec<Action> {
        let is_maintenance_due = now.steady >= self.next_maintenance_at;
        if is_maintenance_due {
            self.next_maintenance_at = now.steady + MAINTENANCE_INTERVAL_MS;
            self.needs_poll_round = true;
            self.expire_leases(now.steady);
            self.settle_replaced_workers(now.steady);
            self.forget_old_starts(now.steady);
            self.attribute_losses(now.steady);
            self.remove_expired_jobs(now.steady);
            self.publish_hints(now);
            let speeds = &mut self.speeds;
            self.workers.retain(|name, worker| {
                let is_gone = worker.can_be_removed();
                if is_gone {
                    speeds.forget(name);
                }
                !is_gone
            });
        }
        let is_occurrence_due = self.next_scheduled_at.is_some_and(|at| at <= now.steady);
        if (self.needs_pass || is_occurrence_due) && now.steady >= self.next_pass_at {
            self.needs_pass = false;
            self.pass_started_at = Some(now.steady);
            self.next_pass_at = now.steady + MIN_PASS_PAUSE_MS;
            self.clear_draining_workers(now.steady);
            self.run_placement_pass(now);
        }
        self.send_record_batches(now.steady);
        if is_maintenance_due || std::mem::take(&mut self.has_due_orders) {
            self.send_orders(now.steady);
        }
        let is_poll_due =
            self.needs_poll_round || self.next_poll_at.is_some_and(|at| at <= now.steady);
        if is_poll_due && now.steady.since(self.polls_sent_at) >= POLL_ROUND_INTERVAL_MS {
            self.needs_poll_round = false;
            self.polls_sent_at = now.steady;
            self.send_polls(now.steady);
        }
        std::mem::take(&mut self.actions)
    }

    /// `record_call_end` records when the last `on_event` or `on_wakeup` returned to the event loop.
    ///
    /// The pause after a placement pass is counted from this time.
    pub fn record_call_end(&mut self, now: TimeMs) {
        if let Some(started_at) = self.pass_started_at.take() {
            let pause_ms = DurationMs(now.since(started_at).0 * PASS_PAUSE_FACTOR)
                .clamp(MIN_PASS_PAUSE_MS, MAX_PASS_PAUSE_MS);
            self.next_pass_at = now + pause_ms;
        }
    }

    /// `open_jobs` counts the jobs that have not ended.
    #[must_use]
    pub fn open_jobs(&self) -> usize {
        self.open_jobs.len()
    }

    /// `workers` counts the known workers.
    #[must_use]
    pub fn workers(&self) -> usize {
        self.workers.len()
    }

    /// `phase` returns the phase of a job, if the job is known.
    #[must_use]
    pub fn phase(&self, job_id: &JobId) -> Option<JobPhase> {
        self.jobs.get(job_id).map(|job| job.phase)
    }

    /// Whether the coordinator's lease is valid, so that its orders and records are in force.
    pub(crate) fn has_valid_lease(&self, now: TimeMs) -> bool {
        now < self.lease_valid_until
    }

    /// Whether new work may be started: the lease is valid, and the evacuated zones are known.
    pub(crate) fn can_start_work(&self, now: TimeMs) -> bool {
        self.has_valid_lease(now) && self.evacuations.is_fresh(now, &self.limits)
    }

    /// Whether the worker list is recent enough for placement.
    pub(crate) fn has_fresh_workers(&self, now: TimeMs) -> bool {
        self.workers_confirmed_at
            .is_some_and(|at| now.since(at) <= MAX_WORKER_LIST_AGE_MS)
    }

    /// Returns the policy of a job's queue: the one in the desired state, or else the one at acceptance.
    pub(crate) fn queue_policy<'a>(&'a self, job: &'a JobState) -> &'a QueuePolicy {
        self.desired
            .queues
            .get(&job.record.queue)
            .map_or(&job.record.policy, |queue| &queue.policy)
    }

    /// Publishes what successors and hosts make use of, and nothing depends on: speeds and shortages.
    fn publish_hints(&mut self, now: Now) {
        if !self.has_valid_lease(now.steady) {
            return;
        }
        if self.limits.places_by_speed {
            let record = self
                .speed_recorder
                .due_record(now.steady, now.unix, &mut self.speeds);
            self.actions.extend(record.map(Action::StoreSpeeds));
        }
        let uses_backlogs = self.limits.sheds_load || self.limits.shares_fairly;
        if uses_backlogs && self.load.is_count_due(now.steady) {
            let waiting = self.count_waiting_jobs();
            self.load.record_count(now.steady, &waiting);
            if self.limits.sheds_load {
                let picture = self.load.due_picture(now.steady);
                self.actions.extend(picture.map(Action::PublishLoad));
            }
        }
    }

    /// Counts the jobs without scheduled times that wait for their first start, by queue.
    fn count_waiting_jobs(&self) -> BTreeMap<ClassName, usize> {
        let mut waiting: BTreeMap<ClassName, usize> = BTreeMap::new();
        let open_jobs = self.open_jobs.iter().filter_map(|id| self.jobs.get(id));
        for job in open_jobs {
            if job.phase == JobPhase::Queued && job.record.schedule.is_none() {
                *waiting.entry(job.record.queue.clone()).or_default() += 1;
            }
        }
        waiting
    }

    fn on_worker_updated(&mut self, now: TimeMs, entry: WorkerEntry) {
        for earlier in earlier_incarnations(&self.workers, &entry.name) {
            self.on_worker_restarted(now, &earlier);
        }
        if let Some(worker) = self.workers.get_mut(&entry.name) {
            worker.update_entry(now, entry);
        } else {
            self.workers
                .insert(entry.name.clone(), Worker::new(now, entry));
        }
    }

    fn on_worker_removed(&mut self, name: &WorkerName) {
        if let Some(worker) = self.workers.get_mut(name) {
            // The runs may continue: the entry also expires when the worker loses contact with the store.
            worker.is_listed = false;
            if worker.can_be_removed() {
                self.workers.remove(name);
            }
        }
    }

    fn on_evacuations_confirmed(&mut self, zones: EvacuatedZones, as_of: TimeMs) {
        for zone in self.evacuations.confirm(zones, as_of) {
            let in_zone = |worker: &&Worker| worker.is_listed && worker.entry.zone == zone;
            let workers = self.workers.values().filter(in_zone);
            let runs = workers.clone().map(|worker| worker.allocations.len());
            self.actions.push(Action::LogEvacuation(EvacuationChange {
                is_evacuated: self.evacuations.contains(&zone),
                workers: workers.clone().count(),
                runs: runs.sum(),
                zone: zone.clone(),
            }));
        }
    }

    fn on_job_accepted(&mut self, now: Now, record: Arc<JobRecord>) {
        let job_id = record.job_id.clone();
        if self.jobs.contains_key(&job_id) {
            return;
        }
        let accepted_at = unix_to_steady(now, record.accepted_unix_ms);
        let mut job = JobState::new(record, accepted_at);
        if job.occurrences.iter().all(Vec::is_empty) {
            job.phase = JobPhase::Completed;
        }
        self.record_submitted_work(&job);
        self.jobs.insert(job_id.clone(), job);
        self.open_jobs.insert(job_id);
    }

    pub(crate) fn record_submitted_work(&mut self, job: &JobState) {
        let submitted = self
            .submitted_work
            .entry(job.record.queue.clone())
            .or_insert((0.0, 0));
        submitted.0 += total_work(job);
        submitted.1 += 1;
    }

    pub(crate) fn cancel_job(&mut self, now: TimeMs, job_id: &JobId) {
        let Some(job) = self.jobs.get_mut(job_id) else {
            return;
        };
        if job.phase.is_final() {
            return;
        }
        job.phase = JobPhase::Cancelled;
        self.end_job(now, job_id);
    }

    /// Ends a job: none of its tasks are placed any more, and its runs are stopped unless it is completed.
    pub(crate) fn end_job(&mut self, now: TimeMs, job_id: &JobId) {
        if let Some(job) = self.jobs.get_mut(job_id) {
            job.ended_at = Some(now);
            job.accounting.on_job_ended(now);
            if job.phase == JobPhase::Completed && job.accounting.is_complete {
                let took_ms = job.accounting.running_ms;
                let estimate_ms = job.record.critical_path_ms();
                let queue = &job.record.queue;
                let backlogs = &mut self.load.backlogs;
                backlogs.record_duration(now, queue, took_ms, estimate_ms);
            }
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

/// Converts a Unix time to the steady clock; the result is not later than now.
pub(crate) fn unix_to_steady(now: Now, unix: TimeMs) -> TimeMs {
    now.steady - now.unix.since(unix)
}
