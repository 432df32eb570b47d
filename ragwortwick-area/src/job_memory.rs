//! Estimates the memory that an accepted job takes on a host.

use crate::job::{JobRecord, StepSpec};
use crate::job_state::{JobState, StepState, Task};

/// Memory of the map entries, names and allocations of a job that its sizes below leave out.
const ENTRY_BYTES: usize = 1 << 10;

impl JobRecord {
    /// `record_bytes` estimates the memory of the record.
    #[must_use]
    pub fn record_bytes(&self) -> usize {
        let steps: usize = self.steps.iter().map(step_bytes).sum();
        size_of::<Self>() + self.payload.len() + steps
    }

    /// `memory_bytes` estimates the memory of the record and of the state that a coordinator keeps for the job.
    #[must_use]
    pub fn memory_bytes(&self) -> usize {
        let tasks: usize = self.steps.iter().map(|step| step.count as usize).sum();
        let occurrence =
            self.steps.len() * size_of::<StepState>() + tasks.saturating_mul(size_of::<Task>());
        let state = (self.occurrence_count() as usize).saturating_mul(occurrence);
        ENTRY_BYTES + size_of::<JobState>() + self.record_bytes().saturating_add(state)
    }
}

fn step_bytes(step: &StepSpec) -> usize {
    let names = [
        step.required_label
            .as_ref()
            .map_or(0, |name| name.as_str().len()),
        step.data_rack
            .as_ref()
            .map_or(0, |name| name.as_str().len()),
        step.image.as_ref().map_or(0, |name| name.len()),
    ];
    size_of::<StepSpec>() + step.after.len() * size_of::<u32>() + names.into_iter().sum::<usize>()
}
