//! Delivery of orders to workers, and the start of runs.

use ragwortwick_area::{Action, EndKind, Event, OrderReply, PollFailure, RefusalCause, TaskId};
use ragwortwick_core::{DurationMs, WorkerName};
use rand::Rng;

use crate::invariants::ObservedStart;
use crate::network::Delivery;
use crate::runs::PollOrder;
use crate::simulation::{SimEvent, Simulation};
use crate::worker::{ActiveRun, Reachability, SimWorker, machine_of, read_checkpoint};

/// Time after a capacity has shrunk in which starts are still checked against the full capacity.
const SHRINK_GRACE_MS: DurationMs = DurationMs(4_500);

/// Share of the requests that an unhealthy worker refuses.
const REFUSED_SHARE: f64 = 0.65;

impl Simulation {
    pub(crate) fn deliver_to_worker(
        &mut self,
        host: usize,
        term: u64,
        action: Action,
        delivery: Delivery,
    ) {
        let Delivery {
            sent_at,
            is_late,
            wants_reply,
        } = delivery;
        let name = match &action {
            Action::Start { worker, .. }
            | Action::Stop { worker, .. }
            | Action::Poll { worker, .. } => worker.clone(),
            _ => return,
        };
        let Some(index) = self.machine_of(&name) else {
            return;
        };
        if is_late && self.workers[index].has_forgotten(sent_at) {
            return;
        }
        if !self.workers[index].is_up() || self.refuses_request(index, &action) {
            if wants_reply {
                self.reply_as_not_handled(host, term, index, &action);
            }
            return;
        }
        let poll_failure = self.workers[index].poll_failure_of(&name);
        let is_wrong_incarnation = poll_failure == Some(PollFailure::WrongLife);
        let event = match action {
            Action::Start {
                worker,
                task,
                run,
                payload,
                checkpoint,
                lease_until_ms,
                ticket,
                ..
            } => {
                let reply = if is_wrong_incarnation {
                    OrderReply::WrongLife
                } else {
                    self.start_run(
                        index,
                        term,
                        &task,
                        run,
                        &payload,
                        &checkpoint,
                        lease_until_ms,
                        ticket.as_deref(),
                        is_late,
                    )
                };
                Event::StartReplied {
                    worker,
                    task,
                    run,
                    reply,
                }
            }
            Action::Stop {
                worker, task, run, ..
            } => {
                let reply = if is_wrong_incarnation {
                    OrderReply::WrongLife
                } else {
                    self.stop_run(index, term, &task, run)
                };
                Event::StopReplied {
                    worker,
                    task,
                    run,
                    reply,
                }
            }
            Action::Poll {
                worker,
                lease_until_ms,
                acked_end,
                wait_ms,
                ..
            } => {
                if let Some(failure) = poll_failure {
                    Event::PollFailed { worker, failure }
                } else {
                    let poll = PollOrder {
                        sent_at,
                        until: lease_until_ms,
                        acked_end,
                        wait_ms,
                    };
                    self.poll(host, term, index, poll);
                    return;
                }
            }
            _ => return,
        };
        if wants_reply {
            self.reply(host, term, &name, event);
        }
    }

    /// Returns the index of the machine that a worker ran on, in whichever incarnation.
    pub(crate) fn machine_of(&self, name: &WorkerName) -> Option<usize> {
        let is_same_machine = |worker: &SimWorker| worker.machine() == machine_of(name);
        self.workers.iter().position(is_same_machine)
    }

    /// Whether the worker refuses the request as unhealthy.
    fn refuses_request(&mut self, index: usize, action: &Action) -> bool {
        if let Action::Stop { task, run, .. } = action
            && self.workers[index].refuses_stop(task, *run)
        {
            return true;
        }
        self.workers[index].is_refusing && self.rng.random_bool(REFUSED_SHARE)
    }

    /// Replies to a request that a worker did not handle, because it is down or unhealthy.
    fn reply_as_not_handled(&mut self, host: usize, term: u64, index: usize, action: &Action) {
        match self.workers[index].reachability {
            Reachability::Up => self.reply_unhealthy(host, term, action),
            Reachability::Refusing => self.reply_connection_refused(host, term, action),
            Reachability::Unresponsive => self.reply_timeout(host, term, action),
        }
    }

    /// Handles a stop order on a worker; the run ends some time later.
    fn stop_run(&mut self, index: usize, term: u64, task: &TaskId, run: u32) -> OrderReply {
        let reply = self.workers[index].stop(self.now, term, task, run);
        let active = self.workers[index].running.get(task);
        let active = active
            .map(|active| active.run)
            .filter(|&active_run| active_run <= run);
        if let (OrderReply::Accepted { .. }, Some(active)) = (reply, active) {
            self.finish_stop(index, task, active);
        }
        reply
    }

    fn finish_stop(&mut self, index: usize, task: &TaskId, run: u32) {
        let stop_ms = self.options.workload.stop_ms;
        if stop_ms == 0 {
            self.end_run(index, task, EndKind::Stopped);
        } else {
            self.schedule_after(stop_ms, SimEvent::FinishStop(index, task.clone(), run));
        }
    }

    #[expect(
        clippy::too_many_arguments,
        reason = "an order to start is made of just these parts"
    )]
    pub(crate) fn start_run(
        &mut self,
        index: usize,
        term: u64,
        task: &TaskId,
        run: u32,
        payload: &str,
        checkpoint: &str,
        lease_until_ms: u64,
        ticket: Option<&str>,
        is_late: bool,
    ) -> OrderReply {
        let lease_ms = self.options.limits.lease_ms;
        let admitted =
            self.workers[index].admit_start(self.now, term, task, run, lease_until_ms, lease_ms);
        match admitted {
            Ok(true) if !self.has_valid_ticket(index, task, ticket) => {
                return OrderReply::Refused(RefusalCause::NoTicket);
            }
            Ok(true) => {}
            Ok(false) => {
                return OrderReply::Accepted {
                    clock_ms: self.workers[index].clock(self.now),
                };
            }
            Err(cause) => return OrderReply::Refused(cause),
        }
        self.observe_start(index, task, run, payload, checkpoint, is_late);
        let arrival = &self.arrivals[self.arrival_by_job[&task.job_id]];
        let spec = &arrival.record.steps[task.step as usize];
        let is_remote = spec
            .data_rack
            .as_ref()
            .is_some_and(|rack| rack.as_str() != self.workers[index].rack);
        let remote_penalty = if is_remote { 3.0 } else { 1.0 };
        let failure_probability = arrival.failure_probability;
        let will_fail = self.workers[index].is_failing || self.rng.random_bool(failure_probability);
        let is_gang = spec.is_gang;
        let checkpoint_policy = self.workers[index].checkpoint_policy;
        let (_, saved_ms) = read_checkpoint(checkpoint);
        let work_ms = arrival.work_ms[task.step as usize];
        let mut active = ActiveRun {
            run,
            demand: spec.need,
            started_at: self.now,
            work_ms,
            done_before_ms: if checkpoint_policy.is_restored {
                saved_ms.min(work_ms)
            } else {
                DurationMs(0)
            },
            slowdown: 0.0,
            span: None,
            will_fail,
            saves_checkpoints: spec.saves_checkpoints,
            is_late,
        };
        if !is_gang {
            let slowdown = self.workers[index].slowdown() * remote_penalty;
            active.start_work(self.now, slowdown, checkpoint_policy.restore_ms);
            if self.workers[index].is_hung {
                active.pause(self.now);
            }
        }
        self.workers[index].running.insert(task.clone(), active);
        if is_gang {
            self.join_gang(index, task, run, will_fail);
        }
        self.schedule_crash(index, task);
        OrderReply::Accepted {
            clock_ms: self.workers[index].clock(self.now),
        }
    }

    /// Schedules the crash of the worker if the task is a crashing one.
    fn schedule_crash(&mut self, index: usize, task: &TaskId) {
        let crashing_task = self.arrivals[self.arrival_by_job[&task.job_id]].crashing_task;
        let Some(crashing_task) = crashing_task
            .filter(|crashing_task| crashing_task.index == task.index && task.step == 0)
        else {
            return;
        };
        let name = self.workers[index].name.clone();
        let crash = SimEvent::CrashWorker(index, name, task.clone());
        self.schedule_after(crashing_task.after_ms, crash);
    }

    pub(crate) fn observe_start(
        &mut self,
        index: usize,
        task: &TaskId,
        run: u32,
        payload: &str,
        checkpoint: &str,
        is_late: bool,
    ) {
        let arrival = &self.arrivals[self.arrival_by_job[&task.job_id]];
        let record = &arrival.record;
        let spec = &record.steps[task.step as usize];
        let worker = &self.workers[index];
        let up = self.workers.iter().filter(|other| other.is_up());
        let other_runs = up.filter_map(|other| other.other_run(task)).collect();
        let used_after = worker.used().plus(spec.need);
        // Coordinators learn of a smaller capacity from the worker's entry, after a delay.
        let is_recently_shrunk = worker
            .shrunk_at
            .is_some_and(|at| self.now.since(at) <= SHRINK_GRACE_MS);
        let capacity = if is_recently_shrunk {
            self.options.workload.capacity
        } else {
            worker.capacity
        };
        let same_step_count = worker
            .running
            .keys()
            .filter(|other| {
                other.job_id == task.job_id
                    && other.occurrence == task.occurrence
                    && other.step == task.step
            })
            .count();
        let is_step_ready = spec.after.iter().all(|&dependency| {
            let required = &record.steps[dependency as usize];
            let is_done = |index| {
                let id = TaskId {
                    step: dependency,
                    index,
                    ..task.clone()
                };
                self.ground_truth.done.contains(&id)
            };
            if required.is_gang {
                (0..required.count).any(is_done)
            } else {
                (0..required.count).all(is_done)
            }
        });
        let is_due = record.schedule.is_none()
            || self.now + DurationMs(250) >= record.due_unix_ms(task.occurrence);
        let expected_step = format!("{}.{}.{}", task.job_id, task.occurrence, task.step);
        let observed = ObservedStart {
            now: self.now,
            worker: &worker.name.clone(),
            task,
            run,
            is_late,
            other_runs,
            is_over_capacity: !used_after.saturating_sub(capacity).is_zero(),
            has_label: spec
                .required_label
                .as_ref()
                .is_none_or(|label| label.as_str() == worker.label),
            draining_since: worker.draining_since,
            evacuated_since: self.store.evacuated.get(&worker.zone).copied(),
            cancelled_at: self.ground_truth.cancelled_at.get(&task.job_id).copied(),
            is_step_ready,
            is_due,
            same_step_count: u32::try_from(same_step_count).unwrap_or(u32::MAX) + 1,
            max_per_worker: spec.max_per_worker,
            attempts: record.policy.attempts,
            is_gang: spec.is_gang,
            has_own_payload: *record.payload == *payload,
            has_own_checkpoint: checkpoint.is_empty()
                || read_checkpoint(checkpoint).0 == expected_step,
        };
        self.ground_truth.check_start(&observed);
    }
}
