//! The commands and their own arguments.

use std::path::PathBuf;

use pico_args::Arguments;
use ragwortwick_core::JobId;

use super::{Environment, option};
use crate::CliError;
use crate::sheet::Edit;

/// Accepted tables shown if no limit is given: a screenful.
const HISTORY_LIMIT: u32 = 20;

/// Jobs shown if no limit is given.
const JOB_LIMIT: u32 = 100;

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
    /// Something about the table.
    Table(TableCommand),
    /// Something about jobs.
    Job(JobCommand),
    /// Tell from hosts' logs how jobs fared.
    Ends {
        /// The log files.
        files: Vec<PathBuf>,
    },
}

/// `TableCommand` is a command about the table.
#[derive(Debug)]
pub(crate) enum TableCommand {
    /// Show the table in force.
    Show,
    /// Write it to a file.
    Export {
        /// The file.
        file: PathBuf,
    },
    /// Change a file.
    Edit {
        /// The file.
        file: PathBuf,
        /// The changes, in order.
        edits: Vec<Edit>,
    },
    /// Tell what a file would change.
    Review {
        /// The file.
        file: PathBuf,
    },
    /// Put a file in force.
    Accept {
        /// The file.
        file: PathBuf,
        /// Who and why.
        signature: Signature,
    },
    /// Carry a file's edits over to the table in force.
    Rebase {
        /// The file.
        file: PathBuf,
    },
    /// Show the accepted tables.
    History {
        /// Most tables to show.
        limit: u32,
    },
    /// Accept an earlier table again.
    RevertTo {
        /// Its number.
        number: u64,
        /// Who and why.
        signature: Signature,
    },
}

/// `JobCommand` is a command about jobs.
#[derive(Debug)]
pub(crate) enum JobCommand {
    /// List accepted jobs.
    List {
        /// Show those after this one.
        after: Option<JobId>,
        /// Most jobs to show.
        limit: u32,
    },
    /// Show one job.
    Show(JobId),
    /// Explain one job.
    Why(JobId),
    /// Cancel one job.
    Cancel(JobId),
}

/// `Signature` says who accepts, why, and how.
#[derive(Debug)]
pub(crate) struct Signature {
    /// Who accepts.
    pub(crate) accepted_by: String,
    /// Why.
    pub(crate) reason: String,
    /// Repeats an acceptance; a fresh one is chosen if it is absent.
    pub(crate) nonce: Option<String>,
    /// Whether to go on without asking.
    pub(crate) is_sure: bool,
    /// Whether somebody can be asked.
    pub(crate) can_ask: bool,
}

pub(super) fn parse(
    arguments: &mut Arguments,
    environment: &Environment,
) -> Result<Command, CliError> {
    let word = word(arguments)?;
    match word.as_deref() {
        Some("status") => Ok(Command::Status {
            all: arguments.contains("--all"),
        }),
        Some("table") => table(arguments, environment).map(Command::Table),
        Some("job") => job(arguments).map(Command::Job),
        Some("ends") => Ok(Command::Ends {
            files: files(arguments)?,
        }),
        Some(other) => Err(CliError::usage(format!("unknown command {other}"))),
        None => Err(CliError::usage("a command is missing")),
    }
}

fn table(arguments: &mut Arguments, environment: &Environment) -> Result<TableCommand, CliError> {
    let word = word(arguments)?;
    match word.as_deref() {
        Some("show") => Ok(TableCommand::Show),
        Some("export") => Ok(TableCommand::Export {
            file: file(arguments)?,
        }),
        Some("edit") => {
            let edits = edits(arguments)?;
            let file = file(arguments)?;
            Ok(TableCommand::Edit { file, edits })
        }
        Some("review") => Ok(TableCommand::Review {
            file: file(arguments)?,
        }),
        Some("accept") => {
            let signature = signature(arguments, environment)?;
            let file = file(arguments)?;
            Ok(TableCommand::Accept { file, signature })
        }
        Some("rebase") => Ok(TableCommand::Rebase {
            file: file(arguments)?,
        }),
        Some("history") => Ok(TableCommand::History {
            limit: option(arguments, "--limit")?.unwrap_or(HISTORY_LIMIT),
        }),
        Some("revert-to") => {
            let signature = signature(arguments, environment)?;
            let number = free(arguments, "the number of an accepted table")?;
            let number = number
                .parse()
                .map_err(|error| CliError::usage(format!("{number} is no table: {error}")))?;
            Ok(TableCommand::RevertTo { number, signature })
        }
        Some(other) => Err(CliError::usage(format!("unknown command table {other}"))),
        None => Err(CliError::usage("table needs a command, such as table show")),
    }
}

fn job(arguments: &mut Arguments) -> Result<JobCommand, CliError> {
    let word = word(arguments)?;
    match word.as_deref() {
        Some("list") => Ok(JobCommand::List {
            after: option::<String>(arguments, "--after")?
                .map(checked_job_id)
                .transpose()?,
            limit: option(arguments, "--limit")?.unwrap_or(JOB_LIMIT),
        }),
        Some("show") => Ok(JobCommand::Show(job_id(arguments)?)),
        Some("why") => Ok(JobCommand::Why(job_id(arguments)?)),
        Some("cancel") => Ok(JobCommand::Cancel(job_id(arguments)?)),
        Some(other) => Err(CliError::usage(format!("unknown command job {other}"))),
        None => Err(CliError::usage("job needs a command, such as job list")),
    }
}

/// Ids become a part of a path, where other characters would ask for something else.
fn job_id(arguments: &mut Arguments) -> Result<JobId, CliError> {
    checked_job_id(free(arguments, "the id of a job")?)
}

fn checked_job_id(id: String) -> Result<JobId, CliError> {
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || "._-:".contains(c);
    if id.is_empty() || !id.chars().all(is_allowed) {
        return Err(CliError::usage(format!("{id:?} is no id of a job")));
    }
    Ok(JobId::new(id))
}

fn file(arguments: &mut Arguments) -> Result<PathBuf, CliError> {
    free(arguments, "a FILE").map(PathBuf::from)
}

fn files(arguments: &mut Arguments) -> Result<Vec<PathBuf>, CliError> {
    let mut files = vec![file(arguments)?];
    while let Ok(file) = file(arguments) {
        files.push(file);
    }
    Ok(files)
}

fn edits(arguments: &mut Arguments) -> Result<Vec<Edit>, CliError> {
    let adds = values(arguments, "--add")?;
    let sets = values(arguments, "--set")?;
    let removes = values(arguments, "--remove")?;
    let adds = adds.into_iter().map(|row| Edit::Add { row });
    let sets = sets.into_iter().map(|cell| Edit::Set { cell });
    let removes = removes.into_iter().map(|row| Edit::Remove { row });
    Ok(adds.chain(sets).chain(removes).collect())
}

fn signature(arguments: &mut Arguments, environment: &Environment) -> Result<Signature, CliError> {
    let by = option::<String>(arguments, "--by")?.or_else(|| environment.user.clone());
    let reason = option::<String>(arguments, "--reason")?;
    let nonce = option::<String>(arguments, "--nonce")?;
    let is_sure = arguments.contains("--yes");
    let is_given = |text: &String| !text.trim().is_empty();
    Ok(Signature {
        accepted_by: by
            .filter(is_given)
            .ok_or_else(|| CliError::usage("nobody is named: give --by NAME"))?,
        reason: reason
            .filter(is_given)
            .ok_or_else(|| CliError::usage("the history needs a --reason TEXT"))?,
        nonce: nonce.filter(is_given),
        is_sure,
        can_ask: environment.can_ask,
    })
}

fn word(arguments: &mut Arguments) -> Result<Option<String>, CliError> {
    arguments
        .subcommand()
        .map_err(|error| CliError::usage(error.to_string()))
}

fn free(arguments: &mut Arguments, what: &str) -> Result<String, CliError> {
    arguments
        .opt_free_from_str::<String>()
        .map_err(|error| CliError::usage(error.to_string()))?
        .filter(|text| !text.starts_with("--"))
        .ok_or_else(|| CliError::usage(format!("{what} is missing")))
}

fn values(arguments: &mut Arguments, name: &'static str) -> Result<Vec<String>, CliError> {
    arguments
        .values_from_str(name)
        .map_err(|error| CliError::usage(error.to_string()))
}
