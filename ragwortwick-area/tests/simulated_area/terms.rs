//! Terms of the coordinator and their writes to the simulated store.

use std::collections::BTreeMap;
use std::sync::Arc;

use ragwortwick_area::{
    Action, Coordinator, Event, Limits, ProgressRecord, RunResult, TaskId, UnstoredResults,
};
use ragwortwick_core::{TimeMs, ZoneName};

use super::network::Message;
use super::{World, at};
use crate::rig::desired;

/// Time that a commit takes.
const COMMIT_MS: u64 = 10;

/// Time until the reply to a commit.
const COMMIT_REPLY_MS: u64 = 10;

/// Time for which a coordinator's lease is valid to itself.
const LEASE_MS: u64 = 800;

/// Time after which the store ends the lease of a coordinator that doesn't renew it.
const STORE_LEASE_MS: u64 = 1_000;

/// Pause after a term that has learned of a later one.
const RESIGN_PAUSE_MS: u64 = 300;

/// One term of a coordinator.
#[derive(Debug)]
pub struct Term {
    pub number: u64,
    pub coordinator: Coordinator,
    unstored: UnstoredResults,
    batches: BTreeMap<u64, Vec<ProgressRecord>>,
    /// When it ends, if it has lost the store.
    ends_at: Option<u64>,
}

impl World {
    /// The term that holds the key.
    pub fn current_term(&self) -> Option<u64> {
        let last = self.terms.last()?;
        last.ends_at.is_none().then_some(last.number)
    }

    /// Begins a term if it is due, with what the store holds.
    pub fn begin_due_term(&mut self) {
        let due = self.terms.iter().filter_map(|term| term.ends_at);
        if due.min().is_some_and(|at| at <= self.now) {
            self.drop_ended_terms();
        }
        if self.next_term_at.is_none_or(|at| at > self.now) {
            return;
        }
        self.next_term_at = None;
        self.last_term += 1;
        let number = self.last_term;
        let jobs = self.jobs.values().map(super::jobs::StoredJob::recovered);
        let listed = self.workers.iter().filter(|worker| worker.is_listed);
        let coordinator = Coordinator::take_over(
            at(self.now),
            Limits::default(),
            desired(),
            jobs.collect(),
            listed.map(|worker| worker.entry(self.now)).collect(),
        );
        self.terms.push(Term {
            number,
            coordinator,
            unstored: UnstoredResults::default(),
            batches: BTreeMap::new(),
            ends_at: None,
        });
        self.calm_from = self.calm_from.max(self.now);
        self.log(format!("term {number} begins"));
        self.renew_term();
        for result in std::mem::take(&mut self.handed_over) {
            self.on_event(number, Event::ResultHandedOver(result));
        }
    }

    /// Renews the lease of the term that holds the key and confirms the lists that it follows.
    pub fn renew_term(&mut self) {
        let Some(number) = self.current_term() else {
            return;
        };
        let until = TimeMs(self.now + LEASE_MS);
        self.on_event(number, Event::LeaseExtended { until });
        let zones = self.is_evacuated.then(|| ZoneName::new("z"));
        let evacuations = Event::EvacuationsConfirmed {
            zones: Arc::new(zones.into_iter().collect()),
            as_of: TimeMs(self.now),
        };
        self.on_event(number, evacuations);
        self.on_event(number, Event::WorkersConfirmed);
    }

    /// Passes an event to a term, if it still runs, and carries out the resulting actions.
    pub fn on_event(&mut self, number: u64, event: Event) {
        let now = at(self.now);
        let Some(term) = self.terms.iter_mut().find(|term| term.number == number) else {
            return;
        };
        let actions = term.coordinator.on_event(now, event);
        self.carry_out(number, actions);
    }

    /// Wakes the coordinators whose wakeup is due.
    pub fn wake_terms(&mut self) {
        let now = at(self.now);
        let mut due = Vec::new();
        for term in &mut self.terms {
            let wakeup = term.coordinator.next_wakeup(now);
            if wakeup.is_some_and(|wakeup| wakeup <= now.steady) {
                due.push((term.number, term.coordinator.on_wakeup(now)));
            }
        }
        for (number, actions) in due {
            self.carry_out(number, actions);
        }
    }

    fn carry_out(&mut self, number: u64, actions: Vec<Action>) {
        for action in actions {
            let Some(term) = self.terms.iter_mut().find(|term| term.number == number) else {
                return;
            };
            term.unstored.record_action(&action);
            match action {
                Action::Store { batch, records } => self.store(number, batch, records),
                Action::Start { .. } | Action::Stop { .. } | Action::Poll { .. } => {
                    self.send_request(number, action);
                }
                Action::LogRunEnd(ended) => self.log(format!(
                    "term {number} ends {} run {} at {}: {:?}",
                    ended.task, ended.run, ended.worker, ended.reason
                )),
                Action::LogWorkerLoss(lost) => self.log(format!(
                    "term {number} loses {}: {:?}",
                    lost.worker, lost.cause
                )),
                Action::Resign => {
                    self.log(format!("term {number} resigns"));
                    if self.current_term() == Some(number) {
                        self.next_term_at = Some(self.now + RESIGN_PAUSE_MS);
                    }
                    self.drop_term(number);
                }
                Action::SetPace { .. }
                | Action::RequestAdvice { .. }
                | Action::LogPreemption(_)
                | Action::LogUntrackedRun(_)
                | Action::LogEvacuation(_)
                | Action::StoreSpeeds(_)
                | Action::PublishLoad(_)
                | Action::DeleteJob(_) => {}
            }
        }
    }

    fn store(&mut self, number: u64, batch: u64, records: Vec<ProgressRecord>) {
        let commit_at = (self.now + COMMIT_MS).max(self.commits_delayed_until);
        if let Some(term) = self.terms.iter_mut().find(|term| term.number == number) {
            term.batches.insert(batch, records);
        }
        if self.current_term() == Some(number) {
            let commit = Message::Commit {
                term: number,
                batch,
            };
            self.send_at(commit_at, commit);
        }
    }

    /// Stores a batch of the term that holds the key.
    pub fn commit(&mut self, number: u64, batch: u64) {
        if self.current_term() != Some(number) {
            return;
        }
        let last = self.terms.last_mut();
        let Some(records) = last.and_then(|term| term.batches.remove(&batch)) else {
            return;
        };
        for record in records {
            let Some(stored) = self.jobs.get_mut(&record.job_id) else {
                continue;
            };
            if record.progress.phase.is_final() {
                stored.ended_at.get_or_insert(self.now);
            }
            for task in record.progress.tasks.iter().filter(|task| task.is_done) {
                let id = TaskId {
                    job_id: record.job_id.clone(),
                    occurrence: task.occurrence,
                    step: task.step,
                    index: task.index,
                };
                stored.done_at.entry(id).or_insert(self.now);
            }
            let tasks = record.progress.tasks.iter();
            let tasks = tasks.map(|task| (task.index, task.last_run, task.worker.clone()));
            let line = format!(
                "{} is stored: {:?} {:?}",
                record.job_id,
                record.progress.phase,
                tasks.collect::<Vec<_>>()
            );
            stored.progress = Some(record.progress);
            self.log(line);
        }
        let at = self.now + COMMIT_REPLY_MS;
        let stored = Message::Stored {
            term: number,
            batch,
        };
        self.send_at(at, stored);
    }

    /// Tells a term that its batch is stored.
    pub fn on_stored(&mut self, number: u64, batch: u64) {
        if let Some(term) = self.terms.iter_mut().find(|term| term.number == number) {
            term.unstored.remove_batch(batch);
            self.on_event(number, Event::BatchStored { batch });
        }
    }

    /// Settles the batches in flight of the term that holds the key.
    fn settle_batches(&mut self, is_committed: bool) {
        let Some(term) = self.terms.last_mut() else {
            return;
        };
        let number = term.number;
        let batches: Vec<u64> = term.batches.keys().copied().collect();
        if is_committed {
            for batch in batches {
                self.commit(number, batch);
            }
        } else {
            term.batches.clear();
        }
    }

    /// Ends the term that holds the key, as when its host shuts down.
    pub fn end_term(&mut self, is_committed: bool, keeps_requests: bool, gap_ms: u64) {
        let Some(number) = self.current_term() else {
            return;
        };
        self.settle_batches(is_committed);
        if !keeps_requests {
            self.drop_prompt_requests(number);
        }
        self.log(format!("term {number} ends"));
        self.drop_term(number);
        self.next_term_at = Some(self.now + gap_ms);
    }

    /// Cuts the term that holds the key off from the store.
    pub fn depose(&mut self, is_committed: bool, goes_on_ms: u64) {
        if self.current_term().is_none() {
            return;
        }
        self.settle_batches(is_committed);
        let next_term_at = self.now + STORE_LEASE_MS;
        let ends_at = next_term_at + goes_on_ms;
        if let Some(term) = self.terms.last_mut() {
            term.ends_at = Some(ends_at);
        }
        self.next_term_at = Some(next_term_at);
        self.impair_until(ends_at);
    }

    fn drop_ended_terms(&mut self) {
        let ended = self.terms.iter().filter(|term| {
            let ends_at = term.ends_at;
            ends_at.is_some_and(|at| at <= self.now)
        });
        let ended: Vec<u64> = ended.map(|term| term.number).collect();
        for number in ended {
            self.log(format!("term {number} ends"));
            self.drop_term(number);
        }
    }

    /// Removes a term and hands its unstored results over.
    fn drop_term(&mut self, number: u64) {
        let Some(index) = self.terms.iter().position(|term| term.number == number) else {
            return;
        };
        let mut term = self.terms.remove(index);
        let results: Vec<RunResult> = term.unstored.take().into_values().flatten().collect();
        if self.current_term().is_some() {
            for result in results {
                self.publish(Event::ResultHandedOver(result));
            }
        } else {
            self.handed_over.extend(results);
        }
    }
}
