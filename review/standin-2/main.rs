//! Plays one case: the platform's store, runners and clients as stand-ins, the entry hosts as processes.
//!
//! usage: standin-2 CASE DAEMON RECORD, with TROUBLE=0 in the environment for the same without the disruption.
//! Exit codes: 0 the rule held, 1 it was broken, 2 the case could not run.

mod cases;
mod clients;
mod hosts;
mod http;
mod json;
mod record;
mod runners;
mod store;

use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use record::Record;

/// A case that takes longer is given up.
const LIMIT: Duration = Duration::from_secs(112);

/// `Verdict` is what one run of a case shows.
pub enum Verdict {
    Held,
    Broken(String),
    CouldNotRun(String),
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, daemon, path] = arguments.as_slice() else {
        eprintln!("usage: standin-2 CASE DAEMON RECORD");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = match Record::create(Path::new(path)) {
        Ok(record) => Arc::new(record),
        Err(error) => {
            eprintln!("{path}: {error}");
            return ExitCode::from(2);
        }
    };
    record.say(&format!("case {case}, disruption: {has_trouble}"));
    let watched = Arc::clone(&record);
    thread::spawn(move || {
        thread::sleep(LIMIT);
        hosts::end_processes();
        watched.say("could not run: it takes too long");
        watched.flush();
        std::process::exit(2);
    });
    let verdict = cases::play(case, daemon, has_trouble, &record);
    let code = match verdict {
        Verdict::Held => {
            record.say("held");
            0
        }
        Verdict::Broken(what) => {
            record.say(&format!("broken: {what}"));
            1
        }
        Verdict::CouldNotRun(why) => {
            record.say(&format!("could not run: {why}"));
            2
        }
    };
    record.flush();
    // The process ends here, with all threads of the stand-ins.
    std::process::exit(code)
}
