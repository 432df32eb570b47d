//! What the store keeps of a job besides its declaration: how far it is and where its runs may be.

use std::sync::Arc;

use ragwortwick_core::{DurationMs, WorkerName, common};
use serde::{Deserialize, Serialize};

/// `JobPhase` is what callers see of a job.
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
    /// A task or gang failed as often as its queue allows, or a task crashed its workers.
    Failed,
    /// A caller cancelled it.
    Cancelled,
}

impl JobPhase {
    /// `is_final` tells whether the phase never changes again.
    #[must_use]
    pub fn is_final(self) -> bool {
        matches!(self, Self::Completed | Self::Failed | Self::Cancelled)
    }
}

/// `JobProgress` is the changing part of a job's state; only the coordinator writes it.
#[common(wire)]
#[derive(Eq, Default)]
pub struct JobProgress {
    /// What callers see.
    pub phase: JobPhase,
    /// Tasks that are no longer as they were at acceptance.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub tasks: Vec<TaskProgress>,
    /// Failed runs of each gang that has any.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub gangs: Vec<GangProgress>,
}

/// `TaskProgress` is the state of one task.
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
    /// Highest run number that was ever used.
    #[serde(rename = "r", default, skip_serializing_if = "is_zero")]
    pub last_run: u32,
    /// Runs that failed.
    #[serde(rename = "f", default, skip_serializing_if = "is_zero")]
    pub failures: u32,
    /// Workers that crashed under it, at the same point of its work.
    #[serde(rename = "k", default, skip_serializing_if = "is_zero")]
    pub crashes: u32,
    /// How long its run had been going at the last of these crashes.
    #[serde(rename = "ka", default, skip_serializing_if = "is_none_ms")]
    pub crash_age_ms: DurationMs,
    /// Whether a run ended well.
    #[serde(rename = "d", default, skip_serializing_if = "is_false")]
    pub is_done: bool,
    /// Worker where the last run may still be.
    #[serde(rename = "w", default, skip_serializing_if = "Option::is_none")]
    pub worker: Option<WorkerName>,
    /// Newest checkpoint known when this was stored.
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
    /// Runs that failed.
    pub failures: u32,
    /// Whether a member of the run that is ending has failed; the run counts once all have ended.
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

#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "serde passes the field by reference"
)]
fn is_none_ms(span_ms: &DurationMs) -> bool {
    span_ms.0 == 0
}

fn is_empty(text: &Arc<str>) -> bool {
    text.is_empty()
}
