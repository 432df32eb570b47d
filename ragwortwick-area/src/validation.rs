//! Checks of a job before it is accepted, each with the field at fault.

use std::fmt;

use crate::job::JobRecord;

/// Most tasks of one job, over all its occurrences; a record has to fit into one store value.
const MAX_TASKS: u64 = 20_000;

/// `JobValidationError` says what is wrong with a job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JobValidationError {
    field: String,
    problem: String,
}

impl JobValidationError {
    /// `field` is the path of the field at fault.
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

fn problem(field: String, problem: impl Into<String>) -> JobValidationError {
    JobValidationError {
        field,
        problem: problem.into(),
    }
}

impl JobRecord {
    /// `validate` finds what could never be carried out.
    ///
    /// # Errors
    ///
    /// Gives the first problem with its field.
    pub fn validate(&self) -> Result<(), JobValidationError> {
        if self.steps.is_empty() {
            return Err(problem("steps".to_owned(), "expected at least one step"));
        }
        for (number, step) in self.steps.iter().enumerate() {
            if step.count == 0 {
                let field = format!("steps[{number}].count");
                return Err(problem(field, "expected at least one task"));
            }
            let later = step
                .after
                .iter()
                .find(|&&earlier| earlier as usize >= number);
            if let Some(later) = later {
                let field = format!("steps[{number}].after");
                let text = format!("step {later} is not an earlier step");
                return Err(problem(field, text));
            }
        }
        let tasks: u64 = self.steps.iter().map(|step| u64::from(step.count)).sum();
        let all = tasks.saturating_mul(u64::from(self.occurrence_count()));
        if all > MAX_TASKS {
            let text = format!("{all} tasks over all occurrences, at most {MAX_TASKS} are taken");
            return Err(problem("steps".to_owned(), text));
        }
        Ok(())
    }
}
