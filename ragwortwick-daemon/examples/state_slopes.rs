//! Measures the bytes and calls of ownership: to the store by host, to workers by worker and gang.
//!
//! Run with `cargo build --release -p ragwortwick-daemon --bin ragwortwickd` and then
//! `cargo run --release -p ragwortwick-daemon --example state_slopes`.

use std::error::Error;
use std::time::Duration;

use ragwortwick_core::ZoneName;
use ragwortwick_standin::{Fleet, FleetOptions, LogEvent, sample_job, wait_until};

/// How long a fleet is watched.
const SPAN: Duration = Duration::from_secs(20);

/// Time for the first inventory, starts and connections before the watch begins.
const SETTLE: Duration = Duration::from_secs(5);

/// Run time of the gangs that are renewed meanwhile.
const RUN_MS: u64 = 600_000;

type Outcome<T> = Result<T, Box<dyn Error>>;

#[tokio::main]
async fn main() -> Outcome<()> {
    for hosts in [1, 3, 6] {
        watch(hosts, 8, 0).await?;
    }
    for workers in [16, 32, 64] {
        watch(1, workers, 0).await?;
    }
    for gangs in [8, 16, 32] {
        watch(1, 32, gangs).await?;
    }
    Ok(())
}

async fn watch(hosts: usize, workers: usize, gangs: usize) -> Outcome<()> {
    let fleet = open(hosts, workers).await?;
    start(&fleet, gangs).await;
    tokio::time::sleep(SETTLE).await;
    let paths = fleet.paths.as_ref().ok_or("no relays")?;
    let bytes_before = paths.bytes().await;
    let orders_before = orders(&fleet);
    tokio::time::sleep(SPAN).await;
    let bytes = paths.bytes().await;
    let per_s = |count: u64| count / SPAN.as_secs();
    println!(
        "figure=ownership_traffic hosts={hosts} workers={workers} gangs={gangs} \
         store_bytes_per_s={} host_list_bytes_per_s={} entry_host_bytes_per_s={} \
         worker_bytes_per_s={} orders_per_s={}",
        per_s(bytes.store - bytes_before.store),
        per_s(bytes.host_list - bytes_before.host_list),
        per_s(bytes.entry_hosts - bytes_before.entry_hosts),
        per_s(bytes.workers - bytes_before.workers),
        per_s(orders(&fleet) - orders_before),
    );
    fleet.close().await;
    Ok(())
}

async fn open(hosts: usize, workers: usize) -> Outcome<Fleet> {
    let binary = std::env::current_exe()?
        .ancestors()
        .nth(2)
        .ok_or("no target folder")?
        .join("ragwortwickd");
    let options = FleetOptions {
        hosts,
        zones: vec![ZoneName::new("north")],
        workers,
        runners: 0,
        has_relays: true,
        ..FleetOptions::two_zones(binary)
    };
    Ok(Fleet::open_with_table(options).await?)
}

/// Starts gangs of one member each and waits until all of them run.
async fn start(fleet: &Fleet, gangs: usize) {
    for number in 0..gangs {
        let id = format!("gang-{number}");
        let job = sample_job(&id, 1, RUN_MS, true);
        wait_until("the job is accepted", async || {
            fleet.caller.job(fleet.address(0), &job).await.is_ok()
        })
        .await;
        wait_until("the gang runs", async || {
            fleet
                .workers
                .log()
                .count(&format!("{id}.1"), LogEvent::Started)
                == 1
        })
        .await;
    }
}

fn orders(fleet: &Fleet) -> u64 {
    fleet.workers.calls().get("order").copied().unwrap_or(0)
}
