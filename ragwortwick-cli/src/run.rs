//! Runs one command from its arguments to its output and exit code.

use std::ffi::OsString;

use ragwortwick_border::{AcceptedTable, FleetStatus};
use serde::Serialize;

use crate::arguments::{Command, HELP, Invocation, parse};
use crate::entry::EntryHosts;
use crate::{CliError, Environment, ExitClass, status, table};

/// `Outcome` is all that a command leaves behind.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outcome {
    /// Text for standard output.
    pub stdout: String,
    /// Text for standard error.
    pub stderr: String,
    /// Exit code of the process.
    pub exit_code: u8,
}

/// `run` carries out one command line.
#[must_use]
pub fn run(arguments: Vec<OsString>, environment: &Environment) -> Outcome {
    let result = parse(arguments, environment).and_then(carry_out);
    match result {
        Ok(stdout) => Outcome {
            stdout,
            stderr: String::new(),
            exit_code: ExitClass::Done.code(),
        },
        Err(error) => Outcome {
            stdout: String::new(),
            stderr: format!("ragwortwick: {error}\n"),
            exit_code: error.class.code(),
        },
    }
}

fn carry_out(invocation: Invocation) -> Result<String, CliError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|error| {
            CliError::new(
                ExitClass::Failed,
                format!("cannot start: {error}"),
                "check the limits of this machine (ulimit -a)",
            )
        })?;
    runtime.block_on(command(invocation))
}

async fn command(invocation: Invocation) -> Result<String, CliError> {
    let json = invocation.json;
    let hosts = EntryHosts::open(invocation.entry, invocation.timeout_ms);
    match invocation.command {
        Command::Help => Ok(HELP.to_owned()),
        Command::Version => Ok(format!("ragwortwick {}\n", env!("CARGO_PKG_VERSION"))),
        Command::Status { all } => {
            let fleet: FleetStatus = hosts.get("/v1/status").await?;
            if json {
                print_json(&fleet)
            } else {
                Ok(status::show(&fleet, all))
            }
        }
        Command::TableShow => {
            let accepted: AcceptedTable = hosts.get("/v1/table").await?;
            if json {
                print_json(&accepted)
            } else {
                Ok(table::show(&accepted))
            }
        }
    }
}

fn print_json<T: Serialize>(value: &T) -> Result<String, CliError> {
    serde_json::to_string_pretty(value)
        .map(|text| text + "\n")
        .map_err(|error| {
            CliError::new(
                ExitClass::Failed,
                format!("the answer can't be written as JSON: {error}"),
                "leave out --json",
            )
        })
}
