//! Plays seeds of the emulator and prints what they show.

use std::path::PathBuf;
use std::process::ExitCode;

use ragwortwick_area::Limits;
use ragwortwick_core::{DurationMs, TimeMs};
use ragwortwick_emulator::{Simulation, SimulationOptions, Workload, draw_faults};

const HELP: &str = "\
emulate: plays an area in virtual time

usage: emulate [--seed N] [--seeds N] [--faults N] [--workers N] [--load PERCENT]
               [--lease-ms N] [--advised] [--load-file FILE]

  --seed N      first seed (1)
  --seeds N     how many seeds (100)
  --faults N    troubles in each (3)
  --workers N   workers of eight accelerators (24)
  --load N      per cent of the usual arrivals (100)
  --lease-ms N  longest lease of what runs on a worker (10000)
  --advised     the middle queue's jobs run only where an advisor allows them
  --load-file F what comes in, in place of the load that is built in

exit codes: 0 every promise held, 1 one was broken, 2 wrong arguments
";

fn main() -> ExitCode {
    let mut arguments = pico_args::Arguments::from_env();
    if arguments.contains(["-h", "--help"]) {
        print!("{HELP}");
        return ExitCode::SUCCESS;
    }
    let is_advised = arguments.contains("--advised");
    let base = match read_load(&mut arguments) {
        Ok(load) => load,
        Err(error) => {
            eprintln!("{error}\n{HELP}");
            return ExitCode::from(2);
        }
    };
    let mut number = |name, default| -> Result<u64, pico_args::Error> {
        Ok(arguments.opt_value_from_str(name)?.unwrap_or(default))
    };
    let parsed = (|| {
        Ok::<_, pico_args::Error>([
            number("--seed", 1)?,
            number("--seeds", 100)?,
            number("--faults", 3)?,
            number("--workers", 24)?,
            number("--load", 100)?,
            number("--lease-ms", 10_000)?,
        ])
    })();
    let [first, seeds, faults, workers, percent, lease_ms] = match parsed {
        Ok(numbers) => numbers,
        Err(error) => {
            eprintln!("{error}\n{HELP}");
            return ExitCode::from(2);
        }
    };
    let mut broken = 0;
    let (mut starts, mut stopped, mut jobs, mut without_ticket) = (0, 0, 0, 0);
    for seed in first..first + seeds {
        let share = f64::from(u32::try_from(percent).unwrap_or(100)) / 100.0;
        let options = SimulationOptions {
            seed,
            workload: if is_advised {
                base.clone().scaled(share).with_advisor()
            } else {
                base.clone().scaled(share)
            },
            workers: u32::try_from(workers).unwrap_or(24),
            limits: Limits {
                lease_ms: DurationMs(lease_ms),
                ..Limits::default()
            },
            ..SimulationOptions::default()
        };
        let count = usize::try_from(faults).unwrap_or(3);
        let faults = draw_faults(seed, count, TimeMs(20_000));
        let report = Simulation::new(options, faults.clone()).run();
        starts += report.starts;
        stopped += report.stopped;
        without_ticket += report.ticket_refusals;
        jobs += report.jobs;
        if !report.violations.is_empty() {
            broken += 1;
            println!("seed={seed} faults={faults:?}");
            for finding in report.violations.iter().take(5) {
                println!("  {finding}");
            }
        }
    }
    println!(
        "seeds={seeds} broken={broken} jobs={jobs} starts={starts} stopped={stopped} \
         without_ticket={without_ticket}"
    );
    if broken == 0 {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

/// The load of the named file, or the one that is built in.
fn read_load(arguments: &mut pico_args::Arguments) -> Result<Workload, String> {
    let path: Option<PathBuf> = arguments
        .opt_value_from_str("--load-file")
        .map_err(|error| error.to_string())?;
    let Some(path) = path else {
        return Ok(Workload::default());
    };
    let at = |error: String| format!("{}: {error}", path.display());
    let text = std::fs::read_to_string(&path).map_err(|error| at(error.to_string()))?;
    serde_json::from_str(&text).map_err(|error| at(error.to_string()))
}
