//! Validation of a job before it is accepted; each error names the invalid field.

use std::fmt;

use crate::job::{JobRecord, Resources, StepSpec};

/// Maximum number of tasks of one job over all occurrences; a record has to fit into one store value.
const MAX_TASKS: u64 = 20_000;

/// Longest estimate, and longest time between occurrences; sums over all tasks of a job stay representable.
const MAX_SPAN_MS: u64 = 1 << 40;

/// Latest start of a schedule, thousands of years from now.
const MAX_UNIX_MS: u64 = 1 << 48;

/// `JobValidationError` says which field of a job is invalid and why.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JobValidationError {
    field: String,
    problem: String,
}

impl JobValidationError {
    /// `field` is the path of the invalid field.
    #[must_use]
    pub fn field(&self) -> &str {
        &self.field
    }
}

impl fmt::Display for JobValidationError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.field, self.problem)
    }
}

impl std::error::Error for JobValidationError {}

fn invalid(field: String, problem: impl Into<String>) -> JobValidationError {
    JobValidationError {
        field,
        problem: problem.into(),
    }
}

impl JobRecord {
    /// `validate` rejects a job that could never be carried out.
    ///
    /// # Errors
    ///
    /// Returns the first invalid field with the reason.
    pub fn validate(&self) -> Result<(), JobValidationError> {
        if self.steps.is_empty() {
            return Err(invalid("steps".to_owned(), "expected at least one step"));
        }
        for (number, step) in self.steps.iter().enumerate() {
            if step.count == 0 {
                let field = format!("steps[{number}].count");
                return Err(invalid(field, "expected at least one task"));
            }
            validate_amounts(number, step)?;
            let later = step
                .after
                .iter()
                .find(|&&earlier| earlier as usize >= number);
            if let Some(later) = later {
                let field = format!("steps[{number}].after");
                let text = format!("step {later} is not an earlier step");
                return Err(invalid(field, text));
            }
        }
        if let Some(schedule) = &self.schedule
            && (schedule.first_unix_ms.0 > MAX_UNIX_MS || schedule.interval_ms.0 > MAX_SPAN_MS)
        {
            let text = "expected times that the calendar has";
            return Err(invalid("schedule".to_owned(), text));
        }
        let tasks: u64 = self.steps.iter().map(|step| u64::from(step.count)).sum();
        let total = tasks.saturating_mul(u64::from(self.occurrence_count()));
        if total > MAX_TASKS {
            let text = format!("{total} tasks over all occurrences, at most {MAX_TASKS} are taken");
            return Err(invalid("steps".to_owned(), text));
        }
        Ok(())
    }
}

/// Rejects amounts that no worker has, with which sums over tasks would overflow.
fn validate_amounts(number: usize, step: &StepSpec) -> Result<(), JobValidationError> {
    if !step.need.saturating_sub(Resources::MAX).is_zero() {
        let field = format!("steps[{number}].need");
        return Err(invalid(
            field,
            format!("expected at most {:?}", Resources::MAX),
        ));
    }
    if step.estimate_ms.0 > MAX_SPAN_MS {
        let field = format!("steps[{number}].estimate_ms");
        return Err(invalid(field, format!("expected at most {MAX_SPAN_MS} ms")));
    }
    Ok(())
}
