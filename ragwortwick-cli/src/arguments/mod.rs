//! Arguments and environment of the command line.

mod command;
mod environment;
mod help;

use std::ffi::OsString;

use pico_args::Arguments;
use ragwortwick_core::DurationMs;

use crate::CliError;

pub(crate) use command::{Command, JobCommand, Signature, TableCommand};
pub use environment::Environment;
pub(crate) use help::HELP;

/// Longest wait for one host: the slowest call is an acceptance while the store is slow.
const DEFAULT_TIMEOUT_MS: DurationMs = DurationMs(10_000);

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
    let command = command::parse(&mut arguments, environment)?;
    if let Some(extra) = arguments.finish().first() {
        return Err(CliError::usage(format!(
            "unexpected argument {}",
            extra.display()
        )));
    }
    let entry = entry.or_else(|| environment.entry.clone());
    let entry = match command {
        Command::Ends { .. } => Vec::new(),
        _ => addresses(entry.as_deref().unwrap_or_default())?,
    };
    Ok(Invocation {
        entry,
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
