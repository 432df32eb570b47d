//! Trace of what coordinators learn and decide about one job.

use std::fmt;

use ragwortwick_area::{Action, WorkerLossReport};
use ragwortwick_core::{JobId, TimeMs};

/// `Trace` records the events that concern one job; without a job it records nothing.
#[derive(Debug, Default)]
pub(crate) struct Trace {
    job_id: Option<JobId>,
    pub(crate) lines: Vec<String>,
}

impl Trace {
    pub(crate) fn new(job_id: Option<JobId>) -> Self {
        Self {
            job_id,
            lines: Vec::new(),
        }
    }

    pub(crate) fn is_of_job(&self, job_id: &JobId) -> bool {
        self.job_id.as_ref() == Some(job_id)
    }

    /// Records an event of a term; the job it concerns was checked.
    pub(crate) fn add(&mut self, now: TimeMs, term: u64, text: impl fmt::Display) {
        if self.job_id.is_some() {
            self.lines.push(format!("{now} ms, term {term}: {text}"));
        }
    }

    pub(crate) fn record_action(&mut self, now: TimeMs, term: u64, action: &Action) {
        if self.job_id.is_none() {
            return;
        }
        match action {
            Action::Start {
                worker, task, run, ..
            } if self.is_of_job(&task.job_id) => {
                self.add(
                    now,
                    term,
                    format_args!("start {task} run {run} on {worker}"),
                );
            }
            Action::Stop {
                worker, task, run, ..
            } if self.is_of_job(&task.job_id) => {
                self.add(now, term, format_args!("stop {task} run {run} on {worker}"));
            }
            Action::LogRunEnd(end) if self.is_of_job(&end.task.job_id) => {
                let text = format_args!("{} run {} ends: {}", end.task, end.run, end.reason);
                self.add(now, term, text);
            }
            Action::LogPreemption(preemption)
                if self.is_of_job(&preemption.step.job_id)
                    || self.is_of_job(&preemption.preemptor.job_id) =>
            {
                let text = format_args!(
                    "{} preempts {}: {}, {} accelerators for {} a task, guaranteed: {}",
                    preemption.preemptor,
                    preemption.step,
                    preemption.kind,
                    preemption.accelerators,
                    preemption.accelerators_needed,
                    preemption.is_guaranteed
                );
                self.add(now, term, text);
            }
            Action::LogWorkerLoss(lost) if self.concerns(lost) => {
                let text = format_args!(
                    "{} is lost: {}, {:?}, {} together, suspects {:?}, runs {:?}",
                    lost.worker,
                    lost.cause,
                    lost.contact_loss,
                    lost.lost_together,
                    lost.suspects
                        .iter()
                        .map(|(task, count)| format!("{task}:{count}"))
                        .collect::<Vec<_>>(),
                    lost.runs
                        .iter()
                        .map(|run| format!("{} run {} {:?}", run.task, run.run, run.age_ms))
                        .collect::<Vec<_>>()
                );
                self.add(now, term, text);
            }
            _ => {}
        }
    }

    fn concerns(&self, lost: &WorkerLossReport) -> bool {
        lost.runs.iter().any(|run| self.is_of_job(&run.task.job_id))
    }
}
