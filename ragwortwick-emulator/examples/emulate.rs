//! Runs simulations for a range of seeds and prints violations and totals.

use std::path::PathBuf;
use std::process::ExitCode;

use ragwortwick_area::Limits;
use ragwortwick_core::{DurationMs, JobId, TimeMs};
use ragwortwick_emulator::{
    FaultKind, Simulation, SimulationOptions, WorkerBehavior, Workload, draw_faults, draw_faults_of,
};

const HELP: &str = "\
emulate: simulates an area in virtual time

usage: emulate [--seed N] [--seeds N] [--faults N] [--workers N] [--load PERCENT]
               [--lease-ms N] [--advised] [--load-file FILE] [--trace JOB] [--kinds KIND,...]
               [--longest-ms N] [--ends-per-report N] [--vary-workers] [--stop-ms N]

  --seed N      first seed (1)
  --seeds N     how many seeds (100)
  --faults N    faults drawn for each seed (3)
  --workers N   workers of eight accelerators (24)
  --load N      arrival rates in per cent of the workload's (100)
  --lease-ms N  longest lease of runs on a worker (10000)
  --advised     the middle queue's jobs run only where an advisor allows them
  --load-file F workload file to use in place of the built-in workload
  --kinds K,... kinds of faults to draw, as named in workload files, in place of the usual ones
  --longest-ms N  with --kinds, longest duration of a drawn fault (7000)
  --ends-per-report N  run ends that a worker lists in one reply (as in the workload, 500)
  --vary-workers  draws for each seed what the platform leaves open about workers
  --stop-ms N   time from a stop order to the end of the run (as in the workload)
  --trace JOB   prints what coordinators learn and decide about a job

exit codes: 0 no invariant violated, 1 one was violated, 2 invalid arguments
";

fn main() -> ExitCode {
    let mut arguments = pico_args::Arguments::from_env();
    if arguments.contains(["-h", "--help"]) {
        print!("{HELP}");
        return ExitCode::SUCCESS;
    }
    let is_advised = arguments.contains("--advised");
    let varies_workers = arguments.contains("--vary-workers");
    let base = match read_workload(&mut arguments) {
        Ok(workload) if is_advised => workload.with_advisor(),
        Ok(workload) => workload,
        Err(error) => {
            eprintln!("{error}\n{HELP}");
            return ExitCode::from(2);
        }
    };
    let traced_job: Option<String> = match arguments.opt_value_from_str("--trace") {
        Ok(job) => job,
        Err(error) => {
            eprintln!("{error}\n{HELP}");
            return ExitCode::from(2);
        }
    };
    let kinds = match read_kinds(&mut arguments) {
        Ok(kinds) => kinds,
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
            number("--longest-ms", 7_000)?,
        ])
    })();
    let [first, seeds, faults, workers, percent, lease_ms, max_ms] = match parsed {
        Ok(numbers) => numbers,
        Err(error) => {
            eprintln!("{error}\n{HELP}");
            return ExitCode::from(2);
        }
    };
    let mut violated = 0;
    let (mut starts, mut stopped, mut jobs, mut ticket_refusals) = (0, 0, 0, 0);
    for seed in first..first + seeds {
        let rate_factor = f64::from(u32::try_from(percent).unwrap_or(100)) / 100.0;
        let mut workload = base.clone().scaled(rate_factor);
        if varies_workers {
            workload = workload.with_worker_behavior(WorkerBehavior::draw(seed));
        }
        let options = SimulationOptions {
            seed,
            workload,
            workers: u32::try_from(workers).unwrap_or(24),
            limits: Limits {
                lease_ms: DurationMs(lease_ms),
                ..Limits::default()
            },
            traced_job: traced_job.as_deref().map(JobId::new),
            ..SimulationOptions::default()
        };
        let count = usize::try_from(faults).unwrap_or(3);
        let until = TimeMs(20_000);
        let faults = match &kinds {
            Some(kinds) => draw_faults_of(kinds, DurationMs(max_ms), seed, count, until),
            None => draw_faults(seed, count, until),
        };
        let report = Simulation::new(options, faults.clone()).run();
        starts += report.starts;
        stopped += report.stopped;
        ticket_refusals += report.ticket_refusals;
        jobs += report.jobs;
        for line in &report.trace {
            println!("{line}");
        }
        if !report.violations.is_empty() {
            violated += 1;
            println!("seed={seed} faults={faults:?}");
            for violation in report.violations.iter().take(5) {
                println!("  {violation}");
            }
        }
    }
    println!(
        "seeds={seeds} broken={violated} jobs={jobs} starts={starts} stopped={stopped} \
         without_ticket={ticket_refusals}"
    );
    if violated == 0 {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

/// Reads the kinds of faults to draw, if they are given.
fn read_kinds(arguments: &mut pico_args::Arguments) -> Result<Option<Vec<FaultKind>>, String> {
    let names: Option<String> = arguments
        .opt_value_from_str("--kinds")
        .map_err(|error| error.to_string())?;
    let Some(names) = names else {
        return Ok(None);
    };
    let parse = |name: &str| serde_json::from_value(serde_json::Value::from(name));
    let kinds: Result<Vec<FaultKind>, _> = names.split(',').map(parse).collect();
    kinds
        .map(Some)
        .map_err(|error| format!("--kinds {names}: {error}"))
}

/// Reads the workload from the named file, or takes the built-in one, with the number of run ends in a reply if given.
fn read_workload(arguments: &mut pico_args::Arguments) -> Result<Workload, String> {
    let ends_per_report: Option<usize> = arguments
        .opt_value_from_str("--ends-per-report")
        .map_err(|error| error.to_string())?;
    let stop_ms: Option<u64> = arguments
        .opt_value_from_str("--stop-ms")
        .map_err(|error| error.to_string())?;
    let mut workload = read_workload_file(arguments)?;
    if let Some(stop_ms) = stop_ms {
        workload = workload.with_stop_ms(stop_ms);
    }
    Ok(match ends_per_report {
        Some(ends) => workload.with_ends_per_report(ends),
        None => workload,
    })
}

fn read_workload_file(arguments: &mut pico_args::Arguments) -> Result<Workload, String> {
    let path: Option<PathBuf> = arguments
        .opt_value_from_str("--load-file")
        .map_err(|error| error.to_string())?;
    let Some(path) = path else {
        return Ok(Workload::default());
    };
    let with_path = |error: String| format!("{}: {error}", path.display());
    let text = std::fs::read_to_string(&path).map_err(|error| with_path(error.to_string()))?;
    serde_json::from_str(&text).map_err(|error| with_path(error.to_string()))
}
