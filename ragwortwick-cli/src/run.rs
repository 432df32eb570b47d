//! Runs one command from its arguments to its output and exit code.

use std::ffi::OsString;

use ragwortwick_border::FleetStatus;
use serde_json::{Value, json};

use crate::arguments::{Command, HELP, Invocation, parse};
use crate::entry::EntryHosts;
use crate::shown::Shown;
use crate::{CliError, Environment, ExitClass, ends, job, status, table};

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
    // Scripts that asked for JSON get it for wrong arguments too.
    let wants_json = arguments.iter().any(|word| word == "--json");
    let result = parse(arguments, environment).and_then(carry_out);
    match result {
        Ok(shown) if wants_json => done(pretty(&shown.json)),
        Ok(shown) => done(shown.text),
        Err(error) => Outcome {
            stdout: if wants_json {
                pretty(&failure(&error))
            } else {
                String::new()
            },
            stderr: format!("ragwortwick: {error}\n"),
            exit_code: error.class.code(),
        },
    }
}

fn done(stdout: String) -> Outcome {
    Outcome {
        stdout,
        stderr: String::new(),
        exit_code: ExitClass::Done.code(),
    }
}

fn failure(error: &CliError) -> Value {
    json!({
        "exit_code": error.class.code(),
        "problem": error.problem,
        "way_out": error.way_out,
        "details": error.details,
    })
}

fn pretty(value: &Value) -> String {
    format!("{value:#}\n")
}

fn carry_out(invocation: Invocation) -> Result<Shown, CliError> {
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

async fn command(invocation: Invocation) -> Result<Shown, CliError> {
    let hosts = EntryHosts::open(invocation.entry, invocation.timeout_ms);
    match invocation.command {
        Command::Help => Shown::new(HELP.to_owned(), &HELP),
        Command::Version => {
            let version = env!("CARGO_PKG_VERSION");
            Shown::new(format!("ragwortwick {version}\n"), &version)
        }
        Command::Status { all } => {
            let fleet: FleetStatus = hosts.get("/v1/status").await?;
            Shown::new(status::show(&fleet, all), &fleet)
        }
        Command::Table(command) => table::run(&hosts, command, invocation.json).await,
        Command::Job(command) => job::run(&hosts, command).await,
        Command::Ends { files } => ends::run(&files),
    }
}
