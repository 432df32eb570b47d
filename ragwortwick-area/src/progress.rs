//! The stored progress of a job: its phase, the state of its tasks and the workers that may run them.

use std::collections::BTreeMap;
use std::sync::Arc;

use ragwortwick_core::{DurationMs, WorkerName, common};
use serde::{Deserialize, Serialize};

/// `JobPhase` is the state of a job that clients see.
#[common(key)]
#[derive(Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JobPhase {
    /// No task has started.
    #[default]
    Queued,
    /// A task has started.
    Running,
    /// Every task is done.
    Completed,
    /// A task or gang used up the attempts that its queue allows, or a task kept crashing its workers.
    Failed,
    /// A client cancelled it.
    Cancelled,
}

impl JobPhase {
    /// `is_final` reports whether the phase can no longer change.
    #[must_use]
    pub fn is_final(self) -> bool {
        matches!(self, Self::Completed | Self::Failed | Self::Cancelled)
    }
}

/// `JobProgress` is the stored part of a job's state that changes; only the coordinator writes it.
#[common(wire)]
#[derive(Eq, Default)]
pub struct JobProgress {
    /// Phase that clients see.
    pub phase: JobPhase,
    /// Tasks whose state differs from that at acceptance.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub tasks: Vec<TaskProgress>,
    /// Gangs that have failed runs.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub gangs: Vec<GangProgress>,
    /// Addresses of the workers that may run tasks; a worker that has crashed has no entry to read it from.
    #[serde(rename = "at", default, skip_serializing_if = "BTreeMap::is_empty")]
    pub addresses: BTreeMap<WorkerName, Arc<str>>,
}

/// `TaskProgress` is the stored state of one task.
#[common(wire)]
#[derive(Eq)]
pub struct TaskProgress {
    /// Occurrence, from 0.
    #[serde(rename = "o", default, skip_serializing_if = "is_zero")]
    pub occurrence: u32,
    /// Number of the step.
    #[serde(rename = "s", default, skip_serializing_if = "is_zero")]
    pub step: u32,
    /// Number of the task in its step.
    #[serde(rename = "i", default, skip_serializing_if = "is_zero")]
    pub index: u32,
    /// Highest run number that has been used.
    #[serde(rename = "r", default, skip_serializing_if = "is_zero")]
    pub last_run: u32,
    /// Number of failed runs.
    #[serde(rename = "f", default, skip_serializing_if = "is_zero")]
    pub failures: u32,
    /// Runs that were abandoned on unreachable workers, whose results are unknown.
    #[serde(rename = "b", default, skip_serializing_if = "Vec::is_empty")]
    pub abandoned_runs: Vec<u32>,
    /// Number of worker crashes attributed to the task, at the same point of its work.
    #[serde(rename = "k", default, skip_serializing_if = "is_zero")]
    pub crashes: u32,
    /// Age of its run at the last of these crashes with a known age.
    #[serde(rename = "ka", default, skip_serializing_if = "Option::is_none")]
    pub crash_age_ms: Option<DurationMs>,
    /// Number of the last run whose crash was counted.
    #[serde(rename = "kr", default, skip_serializing_if = "is_zero")]
    pub crash_run: u32,
    /// Whether a run has done the work.
    #[serde(rename = "d", default, skip_serializing_if = "is_false")]
    pub is_done: bool,
    /// Worker that may still run its last run.
    #[serde(rename = "w", default, skip_serializing_if = "Option::is_none")]
    pub worker: Option<WorkerName>,
    /// Latest checkpoint that was known when the record was written.
    #[serde(rename = "c", default, skip_serializing_if = "is_empty")]
    pub checkpoint: Arc<str>,
}

/// `GangProgress` counts the failed runs of one gang.
#[common(wire)]
#[derive(Eq)]
pub struct GangProgress {
    /// Occurrence, from 0.
    pub occurrence: u32,
    /// Number of the step.
    pub step: u32,
    /// Number of failed runs.
    pub failures: u32,
    /// Whether a member of the ending run has failed; the run is counted once all members have ended.
    #[serde(default, skip_serializing_if = "is_false")]
    pub is_failing: bool,
}

#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "serde passes the field by reference"
)]
fn is_zero(number: &u32) -> bool {
    *number == 0
}

#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "serde passes the field by reference"
)]
fn is_false(flag: &bool) -> bool {
    !flag
}

fn is_empty(text: &Arc<str>) -> bool {
    text.is_empty()
}
