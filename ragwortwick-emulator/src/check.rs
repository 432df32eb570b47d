//! What must always hold, judged by what workers see and the store keeps.

use std::collections::{BTreeMap, BTreeSet};

use ragwortwick_area::{EndKind, JobPhase, TaskId};
use ragwortwick_core::{DurationMs, JobId, TimeMs, WorkerName};

/// Bound on new work for a worker that leaves.
const DRAIN_MS: DurationMs = DurationMs(2_000);

/// Bound on new work of a cancelled job.
const CANCEL_MS: DurationMs = DurationMs(3_000);

/// `Truth` is what really happened, beside what any coordinator believes.
#[derive(Debug, Default)]
pub(crate) struct Truth {
    /// Tasks of which an end `done` is known for good.
    pub(crate) noted_done: BTreeSet<TaskId>,
    /// Tasks of which a run ended `done`.
    pub(crate) done: BTreeSet<TaskId>,
    /// Failed runs that are known for good, by task; of a gang, by its first member and run.
    pub(crate) noted_failed: BTreeMap<TaskId, BTreeSet<u32>>,
    pub(crate) findings: Vec<String>,
    pub(crate) starts: u64,
    pub(crate) stopped: u64,
    pub(crate) lapsed: u64,
    pub(crate) by_job: BTreeMap<JobId, Tally>,
}

/// `Tally` is what befell the runs of one job.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Tally {
    pub(crate) first_start: Option<TimeMs>,
    pub(crate) stopped: u32,
    pub(crate) failed: u32,
    pub(crate) lapsed: u32,
}

/// `StartSeen` is a run that a worker begins.
#[derive(Debug)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each flag is one independent observation"
)]
pub(crate) struct StartSeen<'a> {
    pub(crate) now: TimeMs,
    pub(crate) worker: &'a WorkerName,
    pub(crate) task: &'a TaskId,
    pub(crate) run: u32,
    pub(crate) is_late: bool,
    /// Workers that are up and run the same task.
    pub(crate) others: Vec<WorkerName>,
    pub(crate) is_over_capacity: bool,
    pub(crate) has_label: bool,
    pub(crate) draining_since: Option<TimeMs>,
    pub(crate) cancelled_at: Option<TimeMs>,
    pub(crate) is_step_open: bool,
    pub(crate) is_due: bool,
    pub(crate) same_step_here: u32,
    pub(crate) max_per_worker: Option<u32>,
    pub(crate) attempts: u32,
    pub(crate) is_payload_right: bool,
    pub(crate) is_checkpoint_right: bool,
}

impl Truth {
    fn find(&mut self, now: TimeMs, text: &str) {
        self.findings.push(format!("at {now} ms: {text}"));
    }

    pub(crate) fn started(&mut self, seen: &StartSeen<'_>) {
        self.starts += 1;
        let tally = self.by_job.entry(seen.task.job_id.clone()).or_default();
        tally.first_start.get_or_insert(seen.now);
        let (task, run, worker) = (seen.task, seen.run, seen.worker);
        let mut problems: Vec<String> = Vec::new();
        if !seen.others.is_empty() {
            problems.push(format!("runs twice, also on {:?}", seen.others));
        }
        if self.noted_done.contains(task) {
            problems.push("started after its end was known".to_owned());
        }
        if seen.is_over_capacity {
            problems.push("is over the worker's capacity".to_owned());
        }
        if !seen.has_label {
            problems.push("the worker lacks its label".to_owned());
        }
        if !seen.is_step_open {
            problems.push("started before earlier steps were done".to_owned());
        }
        if !seen.is_due {
            problems.push("started before its time".to_owned());
        }
        if seen
            .max_per_worker
            .is_some_and(|most| seen.same_step_here > most)
        {
            problems.push("too many of its step on the worker".to_owned());
        }
        let first = TaskId {
            index: 0,
            ..task.clone()
        };
        let failed = |id: &TaskId| self.noted_failed.get(id).map_or(0, BTreeSet::len);
        let failures = failed(task).max(failed(&first));
        if failures >= seen.attempts as usize {
            problems.push(format!("started after {failures} failed runs"));
        }
        if !seen.is_payload_right || !seen.is_checkpoint_right {
            problems.push("has a payload or checkpoint of another task".to_owned());
        }
        if !seen.is_late {
            let is_past =
                |since: Option<TimeMs>, bound| since.is_some_and(|at| seen.now.since(at) > bound);
            if is_past(seen.draining_since, DRAIN_MS) {
                problems.push("started on a worker that leaves".to_owned());
            }
            if is_past(seen.cancelled_at, CANCEL_MS) {
                problems.push("started after its job was cancelled".to_owned());
            }
        }
        for problem in problems {
            let text = format!("{task} run {run} on {worker}: {problem}");
            self.find(seen.now, &text);
        }
    }

    pub(crate) fn ended(&mut self, task: &TaskId, kind: EndKind) {
        let tally = self.by_job.entry(task.job_id.clone()).or_default();
        match kind {
            EndKind::Stopped => tally.stopped += 1,
            EndKind::Failed => tally.failed += 1,
            EndKind::LeaseExpired => tally.lapsed += 1,
            EndKind::Done | EndKind::GangBroken | EndKind::GangIncomplete => {}
        }
        match kind {
            EndKind::Done => {
                self.done.insert(task.clone());
            }
            EndKind::Stopped => self.stopped += 1,
            EndKind::LeaseExpired => self.lapsed += 1,
            EndKind::Failed | EndKind::GangBroken | EndKind::GangIncomplete => {}
        }
    }

    /// A worker was told that an end is known.
    pub(crate) fn noted(&mut self, task: &TaskId, run: u32, kind: EndKind, is_gang: bool) {
        match kind {
            EndKind::Done => {
                self.noted_done.insert(task.clone());
            }
            EndKind::Failed => {
                let id = if is_gang {
                    TaskId {
                        index: 0,
                        ..task.clone()
                    }
                } else {
                    task.clone()
                };
                self.noted_failed.entry(id).or_default().insert(run);
            }
            _ => {}
        }
    }

    pub(crate) fn shown(
        &mut self,
        now: TimeMs,
        job_id: &JobId,
        phase: JobPhase,
        is_all_done: bool,
    ) {
        if phase == JobPhase::Completed && !is_all_done {
            self.find(now, &format!("{job_id} is shown as completed and is not"));
        }
    }

    pub(crate) fn left_open(&mut self, now: TimeMs, job_id: &JobId, phase: JobPhase) {
        self.find(
            now,
            &format!("{job_id} is left {phase:?} with everything calm"),
        );
    }
}
