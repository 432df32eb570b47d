//! Runs on workers: forming of gangs, completion, expiry of leases, polls and crashes.

use std::collections::BTreeSet;

use ragwortwick_area::{EndKind, Event, PollFailure, RefusalCause, TaskId};
use ragwortwick_core::{DurationMs, TimeMs, WorkerName};

use crate::simulation::{GangKey, SimEvent, Simulation};
use crate::value::LostWorkCause;
use crate::worker::{PendingPoll, Reachability};

/// How long a worker is down after a task has crashed it.
const CRASH_OUTAGE_MS: u64 = 3_000;

/// `PollOrder` is a poll as it was sent.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PollOrder {
    pub(crate) sent_at: TimeMs,
    /// End of the lease on the worker's clock, if the poll renews it.
    pub(crate) until: Option<u64>,
    pub(crate) acked_end: u64,
    pub(crate) wait_ms: DurationMs,
}

impl Simulation {
    pub(crate) fn join_gang(&mut self, index: usize, task: &TaskId, run: u32, will_fail: bool) {
        let key = (task.job_id.clone(), task.occurrence, task.step, run);
        let now = self.now;
        let gang = self.gangs.entry(key.clone()).or_default();
        if gang.members.is_empty() {
            gang.first_start_at = now;
        }
        gang.members.insert(task.clone(), index);
        gang.will_fail |= will_fail;
        let arrival = &self.arrivals[self.arrival_by_job[&task.job_id]];
        let spec = &arrival.record.steps[task.step as usize];
        if gang.members.len() != spec.count as usize {
            return;
        }
        gang.is_started = true;
        let members: Vec<(TaskId, usize)> = gang
            .members
            .iter()
            .map(|(id, &worker_index)| (id.clone(), worker_index))
            .collect();
        let will_fail = gang.will_fail;
        let racks: BTreeSet<&str> = members
            .iter()
            .map(|(_, worker_index)| self.workers[*worker_index].rack.as_str())
            .collect();
        let cross_rack_penalty = if spec.wants_same_rack && racks.len() > 1 {
            3.0
        } else {
            1.0
        };
        for (position, (id, worker_index)) in members.iter().enumerate() {
            let worker = &self.workers[*worker_index];
            let (slowdown, is_hung, checkpoint_policy) = (
                worker.slowdown() * cross_rack_penalty,
                worker.is_hung,
                worker.checkpoint_policy,
            );
            if let Some(active) = self.workers[*worker_index].running.get_mut(id) {
                active.start_work(now, slowdown, checkpoint_policy.restore_ms);
                if is_hung {
                    active.pause(now);
                }
                active.will_fail = will_fail && position == 0;
            }
        }
    }

    pub(crate) fn tick_gangs(&mut self) {
        let wait_ms = self.options.limits.gang_wait_ms;
        let incomplete: Vec<GangKey> = self
            .gangs
            .iter()
            .filter(|(_, gang)| !gang.is_started && self.now.since(gang.first_start_at) > wait_ms)
            .map(|(key, _)| key.clone())
            .collect();
        for key in incomplete {
            if let Some(gang) = self.gangs.remove(&key) {
                for (task, index) in gang.members {
                    self.end_if_current(index, &task, key.3, EndKind::GangIncomplete);
                }
            }
        }
    }

    pub(crate) fn end_if_current(&mut self, index: usize, task: &TaskId, run: u32, kind: EndKind) {
        let is_current = self.workers[index]
            .running
            .get(task)
            .is_some_and(|active| active.run == run);
        if is_current {
            self.end_run(index, task, kind);
        }
    }

    /// Pauses or resumes all runs on the given workers.
    pub(crate) fn set_hung(&mut self, hung: &[usize], is_active: bool) {
        for &index in hung {
            self.workers[index].is_hung = is_active;
        }
        let now = self.now;
        for &index in hung {
            for run in self.workers[index].running.values_mut() {
                if is_active && run.span.is_some() {
                    run.pause(now);
                } else if !is_active {
                    run.resume(now);
                }
            }
        }
    }

    /// Whether all members of a gang have completed their work; they end together.
    fn is_gang_done(&self, key: &GangKey) -> bool {
        let Some(gang) = self.gangs.get(key) else {
            return true;
        };
        gang.members.iter().all(|(task, &worker_index)| {
            let run = self.workers[worker_index].running.get(task);
            run.is_some_and(|run| run.is_done(self.now))
        })
    }

    /// Ends a run on a worker, and with it the other members of its gang.
    pub(crate) fn end_run(&mut self, index: usize, task: &TaskId, kind: EndKind) {
        let Some(run) = self.workers[index].end(self.now, task, kind) else {
            return;
        };
        let is_gang = self.is_gang(task);
        self.ground_truth.record_end(task, run.run, kind, is_gang);
        if kind != EndKind::Done {
            let lost_ms = run.unsaved_ms(self.now, kind, &self.workers[index].checkpoint_policy);
            let is_cancelled = self
                .store
                .jobs
                .get(&task.job_id)
                .is_some_and(|job| job.cancelled_at.is_some());
            let cause = LostWorkCause::of(kind, is_cancelled);
            let lost_core_ms = lost_ms * run.demand.core_equivalents();
            *self.lost_core_ms.entry(cause).or_insert(0) += lost_core_ms;
        }
        let key = (task.job_id.clone(), task.occurrence, task.step, run.run);
        if kind != EndKind::GangIncomplete
            && let Some(gang) = self.gangs.remove(&key)
        {
            let member_kind = if kind == EndKind::Done {
                EndKind::Done
            } else {
                EndKind::GangBroken
            };
            for (member, worker_index) in gang.members {
                if member != *task {
                    self.end_if_current(worker_index, &member, run.run, member_kind);
                }
            }
        }
        self.reply_to_poll(index);
    }

    pub(crate) fn reply_to_poll(&mut self, index: usize) {
        if let Some(pending) = self.workers[index].pending_poll.take() {
            let worker = &self.workers[index];
            let name = worker.name.clone();
            let running = pending
                .running
                .unwrap_or_else(|| worker.listed_runs(self.now));
            let event = Event::PollReplied {
                worker: name.clone(),
                sent_at: pending.sent_at,
                report: worker.report(self.now, running),
            };
            self.reply(pending.host, pending.term, &name, event);
        }
    }

    pub(crate) fn poll(&mut self, host: usize, term: u64, index: usize, poll: PollOrder) {
        let PollOrder {
            sent_at,
            until,
            acked_end,
            wait_ms,
        } = poll;
        let lease_ms = self.options.limits.lease_ms;
        let name = self.workers[index].name.clone();
        let acked = match self.workers[index].poll(self.now, term, until, acked_end, lease_ms) {
            Ok(acked) => acked,
            Err(cause) => {
                let failure = match cause {
                    RefusalCause::Fenced => PollFailure::Fenced,
                    _ => PollFailure::NoAnswer,
                };
                let event = Event::PollFailed {
                    worker: name.clone(),
                    failure,
                };
                self.reply(host, term, &name, event);
                return;
            }
        };
        for end in acked {
            if self.workers[index].is_expired(&end) {
                continue;
            }
            let is_gang = self.is_gang(&end.task);
            self.ground_truth
                .record_ack(&end.task, end.run, end.kind, is_gang);
            if !self.workers[index].has_lapsed_since(&end) {
                let now = self.now;
                self.ground_truth
                    .check_starts_before_ack(now, &end, is_gang);
            }
        }
        let worker = &self.workers[index];
        let pending = PendingPoll {
            host,
            term,
            sent_at: sent_at.min(self.now - DurationMs(3)),
            until: self.now + wait_ms,
            running: worker
                .behavior
                .lists_runs_at_arrival
                .then(|| worker.listed_runs(self.now)),
        };
        self.workers[index].pending_poll = Some(pending);
        let must_reply = wait_ms == DurationMs(0) || !self.workers[index].ended.is_empty();
        if must_reply {
            self.reply_to_poll(index);
        }
    }

    pub(crate) fn tick_worker(&mut self, index: usize) {
        if !self.workers[index].is_up() {
            return;
        }
        if self.workers[index]
            .leaves_at
            .is_some_and(|at| self.now >= at)
        {
            self.workers[index].reachability = Reachability::Unresponsive;
            self.crash_worker(index, PollFailure::NoAnswer);
            return;
        }
        for task in self.workers[index].expire_lease(self.now) {
            self.end_run(index, &task, EndKind::LeaseExpired);
        }
        let due: Vec<(TaskId, bool)> = self.workers[index]
            .running
            .iter()
            .filter(|(task, run)| {
                let key = (task.job_id.clone(), task.occurrence, task.step, run.run);
                run.is_done(self.now) && self.is_gang_done(&key)
            })
            .map(|(task, run)| (task.clone(), run.will_fail))
            .collect();
        for (task, will_fail) in due {
            let kind = if will_fail {
                EndKind::Failed
            } else {
                EndKind::Done
            };
            if self.workers[index].running.contains_key(&task) {
                self.end_run(index, &task, kind);
            }
        }
        let pending = self.workers[index].pending_poll.as_ref();
        if pending.is_some_and(|poll| self.now >= poll.until) {
            self.reply_to_poll(index);
        }
    }

    fn is_gang(&self, task: &TaskId) -> bool {
        let arrival = &self.arrivals[self.arrival_by_job[&task.job_id]];
        arrival.record.steps[task.step as usize].is_gang
    }

    /// Crashes the worker's process, unless the task no longer runs there.
    pub(crate) fn crash_by_task(&mut self, index: usize, name: &WorkerName, task: &TaskId) {
        let worker = &mut self.workers[index];
        if worker.name != *name || !worker.is_up() || !worker.running.contains_key(task) {
            return;
        }
        worker.reachability = Reachability::Refusing;
        self.ground_truth.record_crash(task);
        if self.trace.is_of_job(&task.job_id) {
            let text = format_args!("{task} crashes {name}");
            self.trace.add(self.now, 0, text);
        }
        self.crash_worker(index, PollFailure::Closed);
        self.schedule_after(CRASH_OUTAGE_MS, SimEvent::RestoreWorker(index));
    }

    /// Fails a pending poll, immediately if its connection is closed, and otherwise at its timeout.
    pub(crate) fn fail_pending_poll(&mut self, index: usize, failure: PollFailure) {
        let Some(pending) = self.workers[index].pending_poll.take() else {
            return;
        };
        let event = Event::PollFailed {
            worker: self.workers[index].name.clone(),
            failure,
        };
        let deliver = SimEvent::DeliverEvent {
            host: pending.host,
            term: pending.term,
            event,
        };
        let delay_ms = if failure == PollFailure::Closed {
            1
        } else {
            2_700
        };
        self.schedule_after(delay_ms, deliver);
    }

    /// Drops all runs of the worker, and breaks their gangs.
    pub(crate) fn crash_worker(&mut self, index: usize, failure: PollFailure) {
        let runs: Vec<(TaskId, u32)> = self.workers[index]
            .running
            .iter()
            .map(|(task, run)| (task.clone(), run.run))
            .collect();
        self.fail_pending_poll(index, failure);
        let lost = std::mem::take(&mut self.workers[index].ended);
        self.ground_truth.forget_unacked_ends(&lost);
        self.workers[index].restart(self.now);
        for (task, run) in runs {
            let key = (task.job_id.clone(), task.occurrence, task.step, run);
            if let Some(gang) = self.gangs.remove(&key) {
                for (member, worker_index) in gang.members {
                    if worker_index != index {
                        self.end_if_current(worker_index, &member, run, EndKind::GangBroken);
                    }
                }
            }
        }
    }
}
