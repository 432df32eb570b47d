//! `ragwortwick-soak`: plays seeds of troubles against real processes.

use std::process::ExitCode;
use std::time::{Duration, Instant};

use ragwortwick_soak::{Plan, SETTLE, StormFault, StormPlan, play, play_storm};

const HELP: &str = "\
ragwortwick-soak: randomized faults against real processes of an area

usage: ragwortwick-soak --binary PATH [--seed N] [--seeds N] [--minutes M]
                        [--hosts N] [--workers N] [--steps N] [--wide-jobs N]
                        [--settle-s N] [--storm-s N] [--faults KINDS]
                        [--load PERCENT] [--processor PERCENT] [--logs PATH]

  --binary PATH   the ragwortwickd to run
  --seed N        first seed (1)
  --seeds N       how many seeds (1)
  --minutes M     go on with further seeds for so long
  --hosts N       entry hosts (3)
  --workers N     workers (8)
  --steps N       troubles in a play (12)
  --wide-jobs N   jobs of hundreds of small tasks in a play (0)
  --settle-s N    limit for all jobs to end after the troubles (60)

  --storm-s N     play a storm of N seconds instead: gangs in four zones
  --faults KINDS  zones, workers, store, coordinators, entries, restarts,
                  unlisted-stops, late-starts, separated by commas (none)
  --load PERCENT  accelerator time handed in, of what the workers have (90)
  --processor PERCENT
                  least share of a core for each host (30)
  --logs PATH     where the hosts' logs and the runs are written

exit codes: 0 every promise held, 1 one was broken, 2 wrong arguments
";

fn read(arguments: &mut pico_args::Arguments) -> Result<(Plan, u64, Duration), pico_args::Error> {
    let plan = Plan {
        binary: arguments.value_from_str("--binary")?,
        seed: arguments.opt_value_from_str("--seed")?.unwrap_or(1),
        hosts: arguments.opt_value_from_str("--hosts")?.unwrap_or(3),
        workers: arguments.opt_value_from_str("--workers")?.unwrap_or(8),
        steps: arguments.opt_value_from_str("--steps")?.unwrap_or(12),
        wide_jobs: arguments.opt_value_from_str("--wide-jobs")?.unwrap_or(0),
        settle: arguments
            .opt_value_from_str("--settle-s")?
            .map_or(SETTLE, Duration::from_secs),
    };
    let seeds = arguments.opt_value_from_str("--seeds")?.unwrap_or(1);
    let minutes: u64 = arguments.opt_value_from_str("--minutes")?.unwrap_or(0);
    Ok((plan, seeds, Duration::from_secs(minutes * 60)))
}

/// Reads the plan of a storm, if one is to be played.
fn read_storm(
    arguments: &mut pico_args::Arguments,
    plan: &Plan,
) -> Result<Option<StormPlan>, pico_args::Error> {
    let span: Option<u64> = arguments.opt_value_from_str("--storm-s")?;
    let faults = arguments.opt_value_from_fn("--faults", |names| {
        StormFault::parse_list(names).ok_or("unknown kind of fault")
    })?;
    let processor_percent = arguments.opt_value_from_str("--processor")?.unwrap_or(30);
    let load_percent = arguments.opt_value_from_str("--load")?.unwrap_or(90);
    let log_directory = arguments.opt_value_from_str("--logs")?;
    Ok(span.map(|span_s| StormPlan {
        binary: plan.binary.clone(),
        seed: plan.seed,
        hosts: plan.hosts,
        workers: plan.workers,
        span: Duration::from_secs(span_s),
        processor_percent,
        load_percent,
        faults: faults.unwrap_or_default(),
        settle: plan.settle,
        log_directory,
    }))
}

#[tokio::main]
async fn main() -> ExitCode {
    let mut arguments = pico_args::Arguments::from_env();
    if arguments.contains(["-h", "--help"]) {
        print!("{HELP}");
        return ExitCode::SUCCESS;
    }
    let parts = read(&mut arguments).and_then(|(plan, seeds, span)| {
        let storm = read_storm(&mut arguments, &plan)?;
        Ok((plan, storm, seeds, span))
    });
    let (mut plan, mut storm, seeds, span) = match parts {
        Ok(parts) => parts,
        Err(error) => {
            eprintln!("{error}\n{HELP}");
            return ExitCode::from(2);
        }
    };
    let begun = Instant::now();
    let mut played = 0;
    let mut broken = 0;
    while played < seeds || begun.elapsed() < span {
        let found = match &mut storm {
            Some(storm) => {
                storm.seed = plan.seed;
                play_storm(storm).await
            }
            None => play(&plan).await,
        };
        println!(
            "seed={} accepted={} refused={} starts={} findings={}",
            plan.seed,
            found.accepted,
            found.refused,
            found.starts,
            found.findings.len()
        );
        for finding in &found.findings {
            println!("  {finding}");
        }
        broken += u64::from(!found.findings.is_empty());
        played += 1;
        plan.seed += 1;
    }
    println!("seeds={played} broken={broken}");
    if broken == 0 {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}
