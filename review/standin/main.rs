//! Plays one case: store, runners and clients are stand-ins in this process, entry hosts are processes of their own.
//!
//! Exit code 1: the rule was broken; 0: it held; 2: the case could not run.

mod cases;
mod host;
mod http;
mod json;
mod record;
mod runner;
mod site;
mod store;

use std::process::ExitCode;

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let (Some(case), Some(record)) = (arguments.next(), arguments.next()) else {
        eprintln!("usage: case NAME RECORD");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |text| text != "0");
    match cases::play(&case, &record, has_trouble) {
        Ok(broken) if broken.is_empty() => {
            println!("{case}: the rule held");
            ExitCode::SUCCESS
        }
        Ok(broken) => {
            println!("{case}: the rule was broken");
            for text in broken.iter().take(5) {
                println!("  {text}");
            }
            if broken.len() > 5 {
                println!("  and {} more", broken.len() - 5);
            }
            ExitCode::FAILURE
        }
        Err(error) => {
            println!("{case}: could not run: {error}");
            ExitCode::from(2)
        }
    }
}
