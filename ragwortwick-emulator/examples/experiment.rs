//! Simulates a workload on many seeds, and compares two such results seed by seed.
//!
//! To evaluate a change of policy, run `play` before and after it, then `compare`. The comparison is paired
//! by seed, so it needs far fewer seeds than a comparison of two means.

use std::collections::BTreeMap;
use std::path::PathBuf;
use std::process::ExitCode;

use anyhow::{Context, bail};
use ragwortwick_area::Limits;
use ragwortwick_core::{DurationMs, TimeMs};
use ragwortwick_emulator::{
    LostWorkCause, Simulation, SimulationOptions, SimulationReport, ValueLossCause, Workload,
    draw_faults,
};
use serde::{Deserialize, Serialize};

const HELP: &str = "\
experiment: value earned by the jobs of a workload file

usage: experiment play LOAD.json [--seed N] [--seeds N] [--faults N] [--workers N] [--rack N]
                                 [--scale PERCENT] [--lease-ms N] [--checkpoint-ms N] [--jobs]
       experiment compare BEFORE AFTER

  play      prints a JSON line per seed, or with --jobs one per job that lost value
  compare   reads two such outputs; prints both means, and the mean difference with its standard error

exit codes: 0 success, 1 an invariant was violated or an input is invalid
";

const LOST_WORK_CAUSES: [LostWorkCause; 5] = [
    LostWorkCause::Displaced,
    LostWorkCause::Cancelled,
    LostWorkCause::Failed,
    LostWorkCause::Broken,
    LostWorkCause::Lapsed,
];

const VALUE_LOSS_CAUSES: [ValueLossCause; 5] = [
    ValueLossCause::Failed,
    ValueLossCause::Lapsed,
    ValueLossCause::Displaced,
    ValueLossCause::Waited,
    ValueLossCause::Slow,
];

/// Results of one seed, by name.
#[derive(Serialize, Deserialize)]
struct Line {
    seed: u64,
    figures: BTreeMap<String, f64>,
}

fn main() -> anyhow::Result<ExitCode> {
    let mut arguments = pico_args::Arguments::from_env();
    if arguments.contains(["-h", "--help"]) {
        print!("{HELP}");
        return Ok(ExitCode::SUCCESS);
    }
    match arguments.subcommand()?.as_deref() {
        Some("play") => play(arguments),
        Some("compare") => compare(&mut arguments),
        _ => bail!("expected play or compare\n{HELP}"),
    }
}

fn play(mut arguments: pico_args::Arguments) -> anyhow::Result<ExitCode> {
    let mut number = |name, default| -> anyhow::Result<u64> {
        Ok(arguments.opt_value_from_str(name)?.unwrap_or(default))
    };
    let first = number("--seed", 1)?;
    let seeds = number("--seeds", 40)?;
    let faults = usize::try_from(number("--faults", 2)?)?;
    let workers = u32::try_from(number("--workers", 48)?)?;
    let workers_per_rack = u32::try_from(number("--rack", 8)?)?;
    let percent = u32::try_from(number("--scale", 100)?)?;
    let limits = Limits {
        lease_ms: DurationMs(number("--lease-ms", 6_000)?),
        checkpoint_ms: DurationMs(number("--checkpoint-ms", 2_000)?),
        ..Limits::default()
    };
    let shows_jobs = arguments.contains("--jobs");
    let file: PathBuf = arguments.free_from_str()?;
    let text = std::fs::read_to_string(&file).with_context(|| file.display().to_string())?;
    let workload: Workload =
        serde_json::from_str(&text).with_context(|| file.display().to_string())?;
    let workload = workload.scaled(f64::from(percent) / 100.0);
    let mut is_violated = false;
    for seed in first..first + seeds {
        let options = SimulationOptions {
            seed,
            workers,
            workers_per_rack,
            workload: workload.clone(),
            limits: limits.clone(),
            ..SimulationOptions::default()
        };
        let until = TimeMs(workload.duration_ms.0);
        let report = Simulation::new(options, draw_faults(seed, faults, until)).run();
        for violation in &report.violations {
            eprintln!("seed={seed} {violation}");
            is_violated = true;
        }
        if shows_jobs {
            let outcomes = report.value.outcomes.iter();
            for outcome in outcomes.filter(|outcome| outcome.cause.is_some()) {
                println!("{}", serde_json::to_string(outcome)?);
            }
            continue;
        }
        let line = Line {
            seed,
            figures: figures(&report),
        };
        println!("{}", serde_json::to_string(&line)?);
    }
    Ok(if is_violated {
        ExitCode::FAILURE
    } else {
        ExitCode::SUCCESS
    })
}

#[expect(
    clippy::cast_precision_loss,
    reason = "counts of a run are far below what a float holds exactly"
)]
fn figures(report: &SimulationReport) -> BTreeMap<String, f64> {
    let mut figures = BTreeMap::new();
    let mut insert = |name: &str, figure: f64| figures.insert(name.to_owned(), figure);
    let lowest_share = |accounts: &BTreeMap<String, ragwortwick_emulator::ValueAccount>| {
        let shares = accounts
            .values()
            .map(ragwortwick_emulator::ValueAccount::share);
        shares.fold(1.0, f64::min)
    };
    insert("share_earned", report.value.total.share());
    insert("share_worst_queue", lowest_share(&report.value.by_queue));
    insert(
        "share_worst_customer",
        lowest_share(&report.value.by_customer),
    );
    for (queue, account) in &report.value.by_queue {
        insert(&format!("share_of_{queue}"), account.share());
    }
    for cause in VALUE_LOSS_CAUSES {
        let lost = report.value.lost.get(&cause).copied().unwrap_or(0.0);
        let owed = report.value.total.owed.max(f64::MIN_POSITIVE);
        insert(&format!("lost_{cause:?}").to_lowercase(), lost / owed);
    }
    for cause in LOST_WORK_CAUSES {
        let lost_core_s = report.lost_core_s.get(&cause).copied().unwrap_or(0);
        let name = format!("wasted_core_s_{cause:?}").to_lowercase();
        insert(&name, lost_core_s as f64);
    }
    insert("starts", report.starts as f64);
    insert("stopped", report.stopped as f64);
    figures
}

fn compare(arguments: &mut pico_args::Arguments) -> anyhow::Result<ExitCode> {
    let before = read(&arguments.free_from_str::<PathBuf>()?)?;
    let after = read(&arguments.free_from_str::<PathBuf>()?)?;
    let mut columns: BTreeMap<&str, Vec<(f64, f64)>> = BTreeMap::new();
    for (seed, figures) in &before {
        let Some(others) = after.get(seed) else {
            continue;
        };
        for (name, &figure) in figures {
            if let Some(&other) = others.get(name) {
                columns.entry(name).or_default().push((figure, other));
            }
        }
    }
    println!("figure seeds before after difference standard_error");
    for (name, pairs) in columns {
        let before = mean(pairs.iter().map(|pair| pair.0));
        let after = mean(pairs.iter().map(|pair| pair.1));
        let error = standard_error(&pairs);
        let difference = after - before;
        let seeds = pairs.len();
        println!("{name} {seeds} {before:.4} {after:.4} {difference:+.4} {error:.4}");
    }
    Ok(ExitCode::SUCCESS)
}

fn read(file: &PathBuf) -> anyhow::Result<BTreeMap<u64, BTreeMap<String, f64>>> {
    let text = std::fs::read_to_string(file).with_context(|| file.display().to_string())?;
    let lines = text.lines().map(|line| {
        let line: Line = serde_json::from_str(line)?;
        Ok((line.seed, line.figures))
    });
    lines.collect()
}

#[expect(clippy::cast_precision_loss, reason = "a number of seeds is small")]
fn mean(figures: impl ExactSizeIterator<Item = f64>) -> f64 {
    let count = figures.len().max(1) as f64;
    figures.sum::<f64>() / count
}

/// Standard error of the mean difference of pairs.
#[expect(clippy::cast_precision_loss, reason = "a number of seeds is small")]
fn standard_error(pairs: &[(f64, f64)]) -> f64 {
    let difference = mean(pairs.iter().map(|pair| pair.1 - pair.0));
    let squares = pairs
        .iter()
        .map(|pair| (pair.1 - pair.0 - difference).powi(2));
    let count = pairs.len() as f64;
    (squares.sum::<f64>() / (count - 1.0).max(1.0) / count.max(1.0)).sqrt()
}
