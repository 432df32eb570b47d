//! Coordinators: the events that they receive, and the actions that they request.

use ragwortwick_area::{Action, Event, JobPhase, JobProgress, ProgressRecord, TaskId};
use ragwortwick_core::{DurationMs, JobId};
use rand::Rng;

use crate::faults::FaultKind;
use crate::network::as_timeout;
use crate::simulation::{SimEvent, Simulation};

/// Longest call of a slow coordinator that stores records.
const MAX_CALL_MS: u64 = 800;

impl Simulation {
    pub(crate) fn deliver_event(&mut self, host: usize, term: u64, event: Event) {
        if let Some(until) = self.hosts[host].paused_until(self.now) {
            // Events that arrive at a frozen process are read when it resumes.
            let is_timeout =
                self.is_fault_active(FaultKind::CoordinatorStalled) && self.rng.random_bool(0.5);
            let event = if is_timeout { as_timeout(event) } else { event };
            self.schedule_at(until, SimEvent::DeliverEvent { host, term, event });
            return;
        }
        let now = self.clock();
        let Some(state) = &mut self.hosts[host].term else {
            return;
        };
        if state.number != term {
            return;
        }
        if let Event::ResultHandedOver(result) = &event
            && self.trace.is_of_job(&result.task.job_id)
        {
            let text = format_args!(
                "{} run {} handed over: {:?}",
                result.task, result.run, result.kind
            );
            self.trace.add(self.now, term, text);
        }
        if let Event::BatchStored { batch } = event {
            state.unstored.remove_batch(batch);
        }
        let actions = state.coordinator.on_event(now, event);
        self.finish_call(host, term, actions);
    }

    pub(crate) fn wake_coordinator(&mut self, host: usize, term: u64) {
        if let Some(until) = self.hosts[host].paused_until(self.now) {
            self.hosts[host].wakeup_at = Some(until);
            self.schedule_at(until, SimEvent::WakeCoordinator(host, term));
            return;
        }
        if self.hosts[host].wakeup_at != Some(self.now) {
            return;
        }
        self.hosts[host].wakeup_at = None;
        let now = self.clock();
        let Some(state) = &mut self.hosts[host].term else {
            return;
        };
        if state.number != term {
            return;
        }
        let actions = state.coordinator.on_wakeup(now);
        self.finish_call(host, term, actions);
    }

    /// Carries out the actions of a call at its end; a slow call takes hundreds of milliseconds.
    fn finish_call(&mut self, host: usize, term: u64, actions: Vec<Action>) {
        let is_pass = actions
            .iter()
            .any(|action| matches!(action, Action::Store { .. }));
        if !is_pass || !self.is_fault_active(FaultKind::CoordinatorSlow) {
            self.perform_actions(host, term, actions);
            return;
        }
        let call_ms = self.rng.random_range(0..MAX_CALL_MS);
        self.hosts[host].busy_until = self.now + DurationMs(call_ms);
        let perform = SimEvent::PerformActions {
            host,
            term,
            actions,
        };
        self.schedule_after(call_ms, perform);
    }

    pub(crate) fn perform_actions(&mut self, host: usize, term: u64, actions: Vec<Action>) {
        let mut has_sent_start = false;
        for action in actions {
            self.trace.record_action(self.now, term, &action);
            if let Some(state) = &mut self.hosts[host].term {
                state.unstored.record_action(&action);
            }
            match action {
                Action::Store { batch, records } => {
                    let commit = SimEvent::CommitBatch {
                        host,
                        term,
                        batch,
                        records,
                    };
                    self.schedule_after(5, commit);
                }
                Action::StoreSpeeds(record) => {
                    if !self.store.is_unavailable && self.hosts[host].reaches_store() {
                        self.store.speeds = Some(record);
                    }
                }
                Action::PublishLoad(picture) => {
                    self.store.load = picture;
                    self.store.load_heard_at = self.now;
                }
                Action::LogPreemption(preemption) => {
                    self.ground_truth
                        .check_preemption(self.now, term, &preemption);
                }
                Action::LogRunEnd(_)
                | Action::LogWorkerLoss(_)
                | Action::LogUntrackedRun(_)
                | Action::LogEvacuation(_) => {}
                Action::Resign => self.hosts[host].end_term(),
                Action::DeleteJob(job_id) => {
                    self.store.jobs.remove(&job_id);
                }
                Action::RequestAdvice {
                    step,
                    workers,
                    answer_ms,
                } => {
                    let event = self.request_advice(step, workers, answer_ms);
                    self.schedule_after(
                        answer_ms.0 + 2,
                        SimEvent::DeliverEvent { host, term, event },
                    );
                }
                request => {
                    has_sent_start |= matches!(request, Action::Start { .. });
                    self.dispatch(host, term, request);
                }
            }
        }
        if has_sent_start && let Some(fault) = self.starter_removal.take() {
            self.remove_host(host, fault);
            return;
        }
        let now = self.clock();
        let Some(state) = &self.hosts[host].term else {
            return;
        };
        let Some(at) = state.coordinator.next_wakeup(now) else {
            return;
        };
        let at = at.max(self.now + DurationMs(1));
        let scheduled = self.hosts[host].wakeup_at;
        // Schedules one wakeup at a time; otherwise their number would grow with every event.
        if scheduled.is_none_or(|scheduled| at < scheduled || scheduled <= self.now) {
            self.hosts[host].wakeup_at = Some(at);
            self.schedule_at(at, SimEvent::WakeCoordinator(host, term));
        }
    }

    pub(crate) fn commit_batch(
        &mut self,
        host: usize,
        term: u64,
        batch: u64,
        records: Vec<ProgressRecord>,
    ) {
        let is_current_term = self.hosts[host]
            .term
            .as_ref()
            .is_some_and(|state| state.number == term);
        if !is_current_term {
            return;
        }
        if self.store.is_unavailable || !self.hosts[host].reaches_store() {
            let commit = SimEvent::CommitBatch {
                host,
                term,
                batch,
                records,
            };
            self.schedule_after(100, commit);
            return;
        }
        if self.store.holder(self.now) != Some(term) {
            self.hosts[host].end_term();
            return;
        }
        for record in &records {
            self.store_progress(&record.job_id, &record.progress);
        }
        let is_reply_lost = self.store.loses_replies && self.rng.random_bool(0.5);
        let delay_ms = if is_reply_lost { 120 } else { 2 } + self.draw_queueing_ms();
        let event = Event::BatchStored { batch };
        self.schedule_after(delay_ms, SimEvent::DeliverEvent { host, term, event });
    }

    pub(crate) fn store_progress(&mut self, job_id: &JobId, progress: &JobProgress) {
        let is_all_done = self.is_all_done(job_id);
        let Some(job) = self.store.jobs.get_mut(job_id) else {
            return;
        };
        let previous_phase = job.progress.as_ref().map(|previous| previous.phase);
        job.progress = Some(progress.clone());
        if previous_phase == Some(progress.phase) {
            return;
        }
        self.ground_truth
            .check_phase(self.now, job_id, progress.phase, is_all_done);
        if progress.phase == JobPhase::Failed {
            let attempts = self.arrivals[self.arrival_by_job[job_id]]
                .record
                .policy
                .attempts;
            self.ground_truth
                .check_failed_phase(self.now, job_id, attempts);
        }
        if progress.phase == JobPhase::Completed {
            self.completed_at.insert(job_id.clone(), self.now);
        }
    }

    pub(crate) fn is_all_done(&self, job_id: &JobId) -> bool {
        let record = &self.arrivals[self.arrival_by_job[job_id]].record;
        (0..record.occurrence_count()).all(|occurrence| {
            (0..).zip(&record.steps).all(|(step, spec)| {
                let task = |index| TaskId {
                    job_id: job_id.clone(),
                    occurrence,
                    step,
                    index,
                };
                if spec.is_gang {
                    (0..spec.count).any(|index| self.ground_truth.done.contains(&task(index)))
                } else {
                    (0..spec.count).all(|index| self.ground_truth.done.contains(&task(index)))
                }
            })
        })
    }
}
