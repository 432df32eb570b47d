//! `ragwortwick-soak`: plays seeds of troubles against real processes.

use std::process::ExitCode;
use std::time::{Duration, Instant};

use ragwortwick_soak::{Plan, SETTLE, play};

const HELP: &str = "\
ragwortwick-soak: randomized faults against real processes of an area

usage: ragwortwick-soak --binary PATH [--seed N] [--seeds N] [--minutes M]
                        [--hosts N] [--workers N] [--steps N] [--wide-jobs N]
                        [--settle-s N]

  --binary PATH   the ragwortwickd to run
  --seed N        first seed (1)
  --seeds N       how many seeds (1)
  --minutes M     go on with further seeds for so long
  --hosts N       entry hosts (3)
  --workers N     workers (8)
  --steps N       troubles in a play (12)
  --wide-jobs N   jobs of hundreds of small tasks in a play (0)
  --settle-s N    limit for all jobs to end after the troubles (60)

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

#[tokio::main]
async fn main() -> ExitCode {
    let mut arguments = pico_args::Arguments::from_env();
    if arguments.contains(["-h", "--help"]) {
        print!("{HELP}");
        return ExitCode::SUCCESS;
    }
    let (mut plan, seeds, span) = match read(&mut arguments) {
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
        let found = play(&plan).await;
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
