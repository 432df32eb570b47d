//! Runs one stand-in as a process of its own and prints where it listens.

use std::error::Error;
use std::io;
use std::net::SocketAddr;

use pico_args::Arguments;
use ragwortwick_core::{RackName, WorkerName, ZoneName};
use ragwortwick_standin::{Relay, RelayMode, Runners, RunnersOptions, Store, WorkerSpec, Workers};
use tokio::io::{AsyncBufReadExt, BufReader, stdin};
use tokio::signal::unix::{SignalKind, signal};

const HELP: &str = "\
standin: a stand-in for the platform, workers or runners, for tests only

usage: standin store   [--listen IP:PORT]
       standin workers [--listen IP:PORT] [--zones A,B] [--count N] [--accelerators N] [--rack N]
       standin runners [--ip IP]          [--zones A,B] [--count N] [--slots N]
       standin relay   [--listen IP:PORT] --target IP:PORT

Prints one line of key=value pairs per address, then runs until SIGTERM or SIGINT. With
--end-with-input it also ends with its standard input. A relay takes the modes pass, cut,
blackhole, frozen, silence_open and duplicate as input lines.
";

type Outcome = Result<(), Box<dyn Error>>;

#[tokio::main]
async fn main() -> Outcome {
    let mut arguments = Arguments::from_env();
    let role = arguments.subcommand()?;
    let ends_with_input = arguments.contains("--end-with-input");
    match role.as_deref() {
        Some("store") => store(arguments, ends_with_input).await,
        Some("workers") => workers(arguments, ends_with_input).await,
        Some("runners") => runners(arguments, ends_with_input).await,
        Some("relay") => relay(arguments, ends_with_input).await,
        _ => {
            print!("{HELP}");
            Ok(())
        }
    }
}

async fn store(mut arguments: Arguments, ends_with_input: bool) -> Outcome {
    let store = Store::bind(&listen(&mut arguments)?).await?;
    println!("role=store address={}", store.address());
    wait_for_end(ends_with_input).await?;
    store.close().await;
    Ok(())
}

async fn workers(mut arguments: Arguments, ends_with_input: bool) -> Outcome {
    let address = listen(&mut arguments)?;
    let zones = zones(&mut arguments)?;
    let count = arguments.opt_value_from_str("--count")?.unwrap_or(8_usize);
    let accelerators = arguments.opt_value_from_str("--accelerators")?.unwrap_or(8);
    let per_rack = arguments.opt_value_from_str("--rack")?.unwrap_or(8_usize);
    let specs = (0..count).map(|index| {
        let zone = &zones[index % zones.len()];
        WorkerSpec {
            name: WorkerName::new(format!("worker-{index}")),
            rack: RackName::new(format!("rack-{zone}-{}", index / zones.len() / per_rack)),
            zone: zone.clone(),
            accelerators,
        }
    });
    let workers = Workers::bind(&address, specs.collect()).await?;
    for entry in workers.entries() {
        println!(
            "role=worker name={} zone={} address={}",
            entry.name, entry.zone, entry.address
        );
    }
    wait_for_end(ends_with_input).await?;
    workers.close().await;
    Ok(())
}

async fn runners(mut arguments: Arguments, ends_with_input: bool) -> Outcome {
    let ip: Option<String> = arguments.opt_value_from_str("--ip")?;
    let options = RunnersOptions {
        zones: zones(&mut arguments)?,
        count: arguments.opt_value_from_str("--count")?.unwrap_or(4),
        slots: arguments.opt_value_from_str("--slots")?.unwrap_or(10),
    };
    let runners = Runners::bind(ip.as_deref().unwrap_or("127.0.0.1"), &options).await?;
    for runner in &runners.all {
        let entry = runner.entry();
        println!(
            "role=runner name={} zone={} address={}",
            entry.name, entry.zone, entry.address
        );
    }
    wait_for_end(ends_with_input).await?;
    runners.close().await;
    Ok(())
}

async fn relay(mut arguments: Arguments, ends_with_input: bool) -> Outcome {
    let address = listen(&mut arguments)?;
    let target: SocketAddr = arguments.value_from_str("--target")?;
    let relay = Relay::bind(&address, target).await?;
    println!("role=relay address={} target={target}", relay.address());
    let mut lines = BufReader::new(stdin()).lines();
    while let Some(line) = lines.next_line().await? {
        let mode: RelayMode = serde_json::from_value(line.trim().into())?;
        relay.set_mode(mode);
        println!("mode={}", line.trim());
    }
    wait_for_end(ends_with_input).await?;
    relay.close();
    Ok(())
}

fn listen(arguments: &mut Arguments) -> Result<String, pico_args::Error> {
    let listen = arguments.opt_value_from_str("--listen")?;
    Ok(listen.unwrap_or_else(|| "127.0.0.1:0".to_owned()))
}

fn zones(arguments: &mut Arguments) -> Result<Vec<ZoneName>, pico_args::Error> {
    let names: Option<String> = arguments.opt_value_from_str("--zones")?;
    let names = names.unwrap_or_else(|| "east,west".to_owned());
    Ok(names.split(',').map(ZoneName::new).collect())
}

/// `wait_for_end` waits for a signal, or for the end of the input of a parent that may die.
async fn wait_for_end(ends_with_input: bool) -> io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
        ended = wait_for_input_end(), if ends_with_input => ended?,
    }
    Ok(())
}

async fn wait_for_input_end() -> io::Result<()> {
    let mut lines = BufReader::new(stdin()).lines();
    while lines.next_line().await?.is_some() {}
    Ok(())
}
