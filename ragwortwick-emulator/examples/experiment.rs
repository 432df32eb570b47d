//! Plays a load on many seeds, and compares two such plays seed by seed.
//!
//! A round of a change of policy: `play` before it, `play` after it, `compare`. The seeds being the
//! same, the difference shows with far fewer of them than two means would.

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
experiment: what callers get of what they are owed, under a load that a file describes

usage: experiment play LOAD.json [--seed N] [--seeds N] [--faults N] [--workers N] [--rack N]
                                 [--scale PERCENT] [--lease-ms N] [--checkpoint-ms N] [--jobs]
       experiment compare BEFORE AFTER

  play      prints a JSON line a seed; with --jobs one for each job that lost worth instead
  compare   reads two such outputs: mean of both, and mean difference with its standard error

exit codes: 0 all went well, 1 a promise was broken or an input is wrong
";

const WASTE_CAUSES: [LostWorkCause; 5] = [
    LostWorkCause::Displaced,
    LostWorkCause::Cancelled,
    LostWorkCause::Failed,
    LostWorkCause::Broken,
    LostWorkCause::Lapsed,
];

const LOSS_CAUSES: [ValueLossCause; 5] = [
    ValueLossCause::Failed,
    ValueLossCause::Lapsed,
    ValueLossCause::Displaced,
    ValueLossCause::Waited,
    ValueLossCause::Slow,
];

/// Figures of one seed, by name.
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
    let rack = u32::try_from(number("--rack", 8)?)?;
    let percent = u32::try_from(number("--scale", 100)?)?;
    let limits = Limits {
        lease_ms: DurationMs(number("--lease-ms", 6_000)?),
        checkpoint_ms: DurationMs(number("--checkpoint-ms", 2_000)?),
        ..Limits::default()
    };
    let shows_jobs = arguments.contains("--jobs");
    let file: PathBuf = arguments.free_from_str()?;
    let text = std::fs::read_to_string(&file).with_context(|| file.display().to_string())?;
    let load: Workload = serde_json::from_str(&text).with_context(|| file.display().to_string())?;
    let load = load.scaled(f64::from(percent) / 100.0);
    let mut is_broken = false;
    for seed in first..first + seeds {
        let options = SimulationOptions {
            seed,
            workers,
            rack,
            workload: load.clone(),
            limits: limits.clone(),
        };
        let until = TimeMs(load.for_ms.0);
        let report = Simulation::new(options, draw_faults(seed, faults, until)).run();
        for finding in &report.violations {
            eprintln!("seed={seed} {finding}");
            is_broken = true;
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
    Ok(if is_broken {
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
    let mut tell = |name: &str, figure: f64| figures.insert(name.to_owned(), figure);
    let shares = |accounts: &BTreeMap<String, ragwortwick_emulator::ValueAccount>| {
        let shares = accounts
            .values()
            .map(ragwortwick_emulator::ValueAccount::share);
        shares.fold(1.0, f64::min)
    };
    tell("share_earned", report.value.total.share());
    tell("share_worst_queue", shares(&report.value.by_queue));
    tell("share_worst_customer", shares(&report.value.by_customer));
    for (queue, account) in &report.value.by_queue {
        tell(&format!("share_of_{queue}"), account.share());
    }
    for cause in LOSS_CAUSES {
        let lost = report.value.lost.get(&cause).copied().unwrap_or(0.0);
        let owed = report.value.total.owed.max(f64::MIN_POSITIVE);
        tell(&format!("lost_{cause:?}").to_lowercase(), lost / owed);
    }
    for cause in WASTE_CAUSES {
        let wasted = report.lost_core_s.get(&cause).copied().unwrap_or(0);
        let name = format!("wasted_core_s_{cause:?}").to_lowercase();
        tell(&name, wasted as f64);
    }
    tell("starts", report.starts as f64);
    tell("stopped", report.stopped as f64);
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
