//! What the command line reads from the process around it.

use std::io::IsTerminal;

/// `Environment` is what the command line reads from the process around it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Environment {
    /// `RAGWORTWICK_ENTRY`: entry hosts, separated by commas.
    pub entry: Option<String>,
    /// `USER`: who accepts, unless `--by` names another.
    pub user: Option<String>,
    /// Whether somebody sits at a terminal and can answer a question.
    pub can_ask: bool,
}

impl Environment {
    /// `read` takes the variables from the process.
    #[must_use]
    pub fn read() -> Self {
        Self {
            entry: std::env::var("RAGWORTWICK_ENTRY").ok(),
            user: std::env::var("USER").ok(),
            can_ask: std::io::stdin().is_terminal() && std::io::stderr().is_terminal(),
        }
    }
}
