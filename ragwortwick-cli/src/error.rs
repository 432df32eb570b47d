//! Failures of a command: one sentence, a way out and an exit code.

use displaydoc::Display;
use ragwortwick_core::common;

/// `ExitClass` is the meaning of an exit code; docs/OPERATIONS.md lists them.
#[common]
#[derive(Copy, Display)]
pub enum ExitClass {
    /// done
    Done,
    /// failed in a way that no other code names
    Failed,
    /// wrong arguments
    Usage,
    /// no entry host answers
    NoEntryHost,
    /// mistakes in the table or in a field that was sent
    Mistakes,
    /// someone else accepted first
    Conflict,
    /// the store is away
    StoreAway,
    /// nothing of that name
    NotFound,
}

impl ExitClass {
    /// `ALL` lists every class in the order of the codes.
    pub const ALL: [Self; 8] = [
        Self::Done,
        Self::Failed,
        Self::Usage,
        Self::NoEntryHost,
        Self::Mistakes,
        Self::Conflict,
        Self::StoreAway,
        Self::NotFound,
    ];

    /// `code` gives the process's exit code; scripts rely on these numbers.
    #[must_use]
    pub fn code(self) -> u8 {
        match self {
            Self::Done => 0,
            Self::Failed => 1,
            Self::Usage => 2,
            Self::NoEntryHost => 3,
            Self::Mistakes => 4,
            Self::Conflict => 5,
            Self::StoreAway => 6,
            Self::NotFound => 7,
        }
    }
}

/// `CliError` tells what failed and what the operator can do next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CliError {
    /// Meaning of the exit code.
    pub class: ExitClass,
    /// What failed, as one sentence.
    pub problem: String,
    /// What to do next, as one sentence.
    pub way_out: String,
    /// More for scripts, such as the list of mistakes.
    pub details: serde_json::Value,
}

impl CliError {
    /// `new` joins the three parts.
    pub fn new(class: ExitClass, problem: impl Into<String>, way_out: impl Into<String>) -> Self {
        Self {
            class,
            problem: problem.into(),
            way_out: way_out.into(),
            details: serde_json::Value::Null,
        }
    }

    /// `with_details` adds what scripts may want to read.
    #[must_use]
    pub fn with_details(self, details: serde_json::Value) -> Self {
        Self { details, ..self }
    }

    /// `usage` says what is wrong with the arguments.
    pub fn usage(problem: impl Into<String>) -> Self {
        Self::new(
            ExitClass::Usage,
            problem,
            "ragwortwick --help lists the commands and their arguments",
        )
    }
}

impl std::fmt::Display for CliError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}\n  way out: {}", self.problem, self.way_out)
    }
}

impl std::error::Error for CliError {}
