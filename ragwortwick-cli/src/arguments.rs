//! Arguments and environment of the command line.

use std::ffi::OsString;

use pico_args::Arguments;
use ragwortwick_core::DurationMs;

use crate::CliError;

/// Help text; docs/OPERATIONS.md explains the commands at length.
pub(crate) const HELP: &str = "\
ragwortwick: command line for the operators of ragwortwick

usage: ragwortwick [OPTIONS] COMMAND

  status                      zones, owners, guarantees, workers and runners of the whole fleet
  table show                  the table in force

options:
  --entry ADDRESS[,ADDRESS]   entry hosts to ask, tried in order (or RAGWORTWICK_ENTRY)
  --timeout-ms N              longest wait for one host's answer, 10000 if not given
  --json                      print JSON for scripts
  --all                       status: list every worker and runner, not only those that need a look
  -h, --help                  this text
  --version                   the version

exit codes: 0 done, 1 failed, 2 wrong arguments, 3 no entry host answers,
  4 mistakes in the table or a field, 5 someone else accepted first, 6 the store is away,
  7 nothing of that name
";

/// Longest wait for one host: the slowest call is an acceptance while the store is slow.
const DEFAULT_TIMEOUT_MS: DurationMs = DurationMs(10_000);

/// `Environment` is what the command line reads from the process's environment.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Environment {
    /// `RAGWORTWICK_ENTRY`: entry hosts, separated by commas.
    pub entry: Option<String>,
    /// `USER`: who accepts, unless `--by` names another.
    pub user: Option<String>,
}

impl Environment {
    /// `read` takes the variables from the process.
    #[must_use]
    pub fn read() -> Self {
        Self {
            entry: std::env::var("RAGWORTWICK_ENTRY").ok(),
            user: std::env::var("USER").ok(),
        }
    }
}

/// `Invocation` is one checked command line.
#[derive(Debug)]
pub(crate) struct Invocation {
    /// Entry hosts in the order to try.
    pub(crate) entry: Vec<String>,
    /// Longest wait for one host.
    pub(crate) timeout_ms: DurationMs,
    /// Print JSON.
    pub(crate) json: bool,
    /// What to do.
    pub(crate) command: Command,
}

/// `Command` is what the operator asked for.
#[derive(Debug)]
pub(crate) enum Command {
    /// Print the help text.
    Help,
    /// Print the version.
    Version,
    /// Show the fleet.
    Status {
        /// List every worker and runner.
        all: bool,
    },
    /// Show the table in force.
    TableShow,
}

/// `parse` checks the whole command line.
pub(crate) fn parse(
    arguments: Vec<OsString>,
    environment: &Environment,
) -> Result<Invocation, CliError> {
    let mut arguments = Arguments::from_vec(arguments);
    if arguments.contains(["-h", "--help"]) {
        return Ok(without_entry(Command::Help));
    }
    if arguments.contains("--version") {
        return Ok(without_entry(Command::Version));
    }
    let entry = option::<String>(&mut arguments, "--entry")?;
    let timeout_ms =
        option::<u64>(&mut arguments, "--timeout-ms")?.map_or(DEFAULT_TIMEOUT_MS, DurationMs);
    let json = arguments.contains("--json");
    let command = command(&mut arguments)?;
    if let Some(extra) = arguments.finish().first() {
        return Err(CliError::usage(format!(
            "unexpected argument {}",
            extra.display()
        )));
    }
    let entry = entry.or_else(|| environment.entry.clone());
    Ok(Invocation {
        entry: addresses(entry.as_deref().unwrap_or_default())?,
        timeout_ms,
        json,
        command,
    })
}

fn without_entry(command: Command) -> Invocation {
    Invocation {
        entry: Vec::new(),
        timeout_ms: DEFAULT_TIMEOUT_MS,
        json: false,
        command,
    }
}

fn command(arguments: &mut Arguments) -> Result<Command, CliError> {
    let word = subcommand(arguments)?;
    match word.as_deref() {
        Some("status") => Ok(Command::Status {
            all: arguments.contains("--all"),
        }),
        Some("table") => table_command(arguments),
        Some(other) => Err(CliError::usage(format!("unknown command {other}"))),
        None => Err(CliError::usage("a command is missing")),
    }
}

fn table_command(arguments: &mut Arguments) -> Result<Command, CliError> {
    let word = subcommand(arguments)?;
    match word.as_deref() {
        Some("show") => Ok(Command::TableShow),
        Some(other) => Err(CliError::usage(format!("unknown command table {other}"))),
        None => Err(CliError::usage("table needs a command, such as table show")),
    }
}

fn subcommand(arguments: &mut Arguments) -> Result<Option<String>, CliError> {
    arguments
        .subcommand()
        .map_err(|error| CliError::usage(error.to_string()))
}

fn option<T>(arguments: &mut Arguments, name: &'static str) -> Result<Option<T>, CliError>
where
    T: std::str::FromStr,
    T::Err: std::fmt::Display,
{
    arguments
        .opt_value_from_str(name)
        .map_err(|error| CliError::usage(error.to_string()))
}

fn addresses(text: &str) -> Result<Vec<String>, CliError> {
    let addresses: Vec<String> = text
        .split(',')
        .map(str::trim)
        .filter(|address| !address.is_empty())
        .map(str::to_owned)
        .collect();
    if addresses.is_empty() {
        return Err(CliError::usage(
            "no entry host is named: give --entry ADDRESS[,ADDRESS] or set RAGWORTWICK_ENTRY",
        ));
    }
    for address in &addresses {
        if !has_port(address) {
            return Err(CliError::usage(format!(
                "{address} is no address: expected HOST:PORT, such as 10.0.0.5:7400"
            )));
        }
    }
    Ok(addresses)
}

fn has_port(address: &str) -> bool {
    address
        .rsplit_once(':')
        .is_some_and(|(host, port)| !host.is_empty() && port.parse::<u16>().is_ok())
}
