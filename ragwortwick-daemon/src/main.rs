//! `ragwortwickd`, the entry host daemon.

use std::process::ExitCode;

use ragwortwick_core::log_event;
use ragwortwick_daemon::{AreaHost, AreaSettings, Daemon, Settings, flush_log, open_log};
use tokio::runtime::{Builder, Runtime};
use tokio::signal::unix::{SignalKind, signal};

const HELP: &str = "\
ragwortwickd: entry host of ragwortwick

usage: ragwortwickd [--area] --settings FILE [--check-settings]
       ragwortwickd --help | --version

  --area             entry host of an area on the users' platform
  --settings FILE    JSON settings, see docs/CONFIGURATION.md
  --check-settings   check the file and end

exit codes: 0 planned stop or valid settings, 1 cannot start, 2 wrong arguments or settings
";

/// Exit code for wrong arguments and settings.
const EXIT_USAGE: u8 = 2;

fn main() -> ExitCode {
    // A panic aborts the process: the platform replaces it, and inconsistent state is never used.
    let print_panic = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |info| {
        print_panic(info);
        std::process::abort();
    }));
    let mut arguments = pico_args::Arguments::from_env();
    if arguments.contains(["-h", "--help"]) {
        print!("{HELP}");
        return ExitCode::SUCCESS;
    }
    if arguments.contains("--version") {
        println!("ragwortwickd {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let is_area = arguments.contains("--area");
    let is_check = arguments.contains("--check-settings");
    let path = match arguments.value_from_str::<_, String>("--settings") {
        Ok(path) => path,
        Err(error) => return usage(&error.to_string()),
    };
    if let Some(extra) = arguments.finish().first() {
        return usage(&format!("unexpected argument {}", extra.display()));
    }
    if is_area {
        return start_area(&path, is_check);
    }
    let settings = match read_settings(&path) {
        Ok(settings) => settings,
        Err(problems) => return usage(&problems),
    };
    if is_check {
        println!("settings=valid path={path}");
        return ExitCode::SUCCESS;
    }
    run(settings)
}

fn start_area(path: &str, is_check: bool) -> ExitCode {
    let settings = std::fs::read_to_string(path)
        .map_err(|error| error.to_string())
        .and_then(|text| AreaSettings::parse(&text));
    match settings {
        Ok(_) if is_check => {
            println!("settings=valid path={path}");
            ExitCode::SUCCESS
        }
        Ok(settings) => run_area(settings),
        Err(problem) => usage(&format!("{path}: {problem}")),
    }
}

/// Runs the area host with a single I/O thread: the hosts have a quarter of a core, and thread switches
/// cost processor time. The coordinator runs on a thread of its own.
fn run_area(settings: AreaSettings) -> ExitCode {
    let Some(runtime) = open_runtime(Builder::new_current_thread()) else {
        return ExitCode::FAILURE;
    };
    runtime.block_on(async {
        let signals = (
            signal(SignalKind::terminate()),
            signal(SignalKind::hangup()),
        );
        let (Ok(mut terminate), Ok(mut hangup)) = signals else {
            eprintln!("cannot listen for signals");
            return ExitCode::FAILURE;
        };
        let host = match AreaHost::spawn(settings).await {
            Ok(host) => host,
            Err(error) => {
                eprintln!("{error}");
                return ExitCode::FAILURE;
            }
        };
        loop {
            tokio::select! {
                _ = terminate.recv() => break,
                // Settings that can change without a restart come from the store, not from the file.
                _ = hangup.recv() => log_event!(Info, "reload", is_changed = false),
            }
        }
        host.close().await;
        flush_log();
        ExitCode::SUCCESS
    })
}

/// Opens the log and the runtime; reports a failure on standard error.
fn open_runtime(mut builder: Builder) -> Option<Runtime> {
    if let Err(error) = open_log(log::LevelFilter::Info) {
        eprintln!("cannot open the log: {error}");
        return None;
    }
    let runtime = builder.enable_all().build();
    runtime
        .inspect_err(|error| eprintln!("cannot start threads: {error}"))
        .ok()
}

fn usage(problem: &str) -> ExitCode {
    eprintln!("{problem}\ntry ragwortwickd --help");
    ExitCode::from(EXIT_USAGE)
}

fn read_settings(path: &str) -> Result<Settings, String> {
    let text = std::fs::read_to_string(path).map_err(|e| format!("{path}: {e}"))?;
    Settings::parse(&text).map_err(|problems| {
        problems
            .iter()
            .map(|p| format!("{path}: {p}"))
            .collect::<Vec<_>>()
            .join("\n")
    })
}

fn run(settings: Settings) -> ExitCode {
    let Some(runtime) = open_runtime(Builder::new_multi_thread()) else {
        return ExitCode::FAILURE;
    };
    runtime.block_on(async {
        let mut terminate = match signal(SignalKind::terminate()) {
            Ok(terminate) => terminate,
            Err(error) => {
                eprintln!("cannot listen for signals: {error}");
                return ExitCode::FAILURE;
            }
        };
        match Daemon::spawn(settings).await {
            Ok(daemon) => {
                terminate.recv().await;
                // A second signal has no effect, as this handler stays installed.
                daemon.close().await;
                flush_log();
                ExitCode::SUCCESS
            }
            Err(error) => {
                eprintln!("{error}");
                ExitCode::FAILURE
            }
        }
    })
}
