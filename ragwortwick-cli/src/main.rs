//! `ragwortwick`, the operators' command line.

use std::io::Write;
use std::process::ExitCode;

use ragwortwick_cli::{Environment, run};

fn main() -> ExitCode {
    let outcome = run(std::env::args_os().skip(1).collect(), &Environment::read());
    // A reader that closed the pipe wants no more text; the exit code still tells the outcome.
    let _ = std::io::stdout().write_all(outcome.stdout.as_bytes());
    let _ = std::io::stderr().write_all(outcome.stderr.as_bytes());
    ExitCode::from(outcome.exit_code)
}
