//! Memory, processor time and bytes a second of idle entry hosts in processes of their own.

use std::error::Error;
use std::path::PathBuf;
use std::time::Duration;

use ragwortwick_core::ZoneName;
use ragwortwick_standin::{Fleet, FleetOptions, processor_seconds, resident_kb};

use crate::series::Series;

/// How long a fleet settles before it is measured: connections, leases, first listings.
const SETTLE: Duration = Duration::from_secs(8);

/// How long it is measured.
const WINDOW: Duration = Duration::from_secs(15);

type Outcome<T> = Result<T, Box<dyn Error>>;

/// What one idle entry host costs.
struct Cost {
    resident_kb: f64,
    core_percent: f64,
    host_list: f64,
    store: f64,
    entry_hosts: f64,
    workers: f64,
}

pub async fn run() -> Outcome<()> {
    by_workers().await?;
    by_hosts().await
}

async fn by_workers() -> Outcome<()> {
    let mut series = all_series(
        [
            "owner_resident",
            "owner_processor",
            "owner_host_list",
            "owner_store",
            "owner_entry_hosts",
            "owner_to_workers",
        ],
        "zone_workers",
    );
    for workers in [8, 100, 350] {
        let cost = cost(1, workers).await?;
        add(&mut series, workers, &cost);
    }
    series.iter().for_each(Series::print);
    Ok(())
}

async fn by_hosts() -> Outcome<()> {
    let mut series = all_series(
        [
            "host_resident",
            "host_processor",
            "host_host_list",
            "host_store",
            "host_entry_hosts",
            "host_to_workers",
        ],
        "entry_hosts",
    );
    for hosts in [2, 4, 8, 16] {
        let cost = cost(hosts, 8).await?;
        add(&mut series, hosts, &cost);
    }
    series.iter().for_each(Series::print);
    Ok(())
}

fn all_series(names: [&'static str; 6], size: &'static str) -> [Series; 6] {
    let units = [
        "KB",
        "percent_of_a_core",
        "bytes_per_s",
        "bytes_per_s",
        "bytes_per_s",
        "bytes_per_s",
    ];
    let mut units = units.into_iter();
    names.map(|name| Series::new(name, size, units.next().unwrap_or_default()))
}

fn add(series: &mut [Series; 6], size: usize, cost: &Cost) {
    let values = [
        cost.resident_kb,
        cost.core_percent,
        cost.host_list,
        cost.store,
        cost.entry_hosts,
        cost.workers,
    ];
    for (series, value) in series.iter_mut().zip(values) {
        series.point(size, value);
    }
}

/// The cost of the first host; bytes are the mean of all hosts.
async fn cost(hosts: usize, workers: usize) -> Outcome<Cost> {
    let options = FleetOptions {
        zones: vec![ZoneName::new("north")],
        hosts,
        workers,
        runners: 2,
        has_relays: true,
        ..FleetOptions::two_zones(binary()?)
    };
    let fleet = Fleet::open_with_table(options).await?;
    tokio::time::sleep(SETTLE).await;
    let paths = fleet.paths.as_ref().ok_or("the fleet has no relays")?;
    let pid = fleet.daemons[0].pid().ok_or("the host has ended")?;
    let before = paths.bytes().await;
    let before_s = processor_seconds(pid)?;
    tokio::time::sleep(WINDOW).await;
    let after = paths.bytes().await;
    let used_s = processor_seconds(pid)? - before_s;
    let rate = |before: u64, after: u64| per_host_and_s(after - before, hosts);
    let cost = Cost {
        resident_kb: f64::from(resident_kb(pid)?),
        core_percent: 100.0 * used_s / WINDOW.as_secs_f64(),
        host_list: rate(before.host_list, after.host_list),
        store: rate(before.store, after.store),
        entry_hosts: rate(before.entry_hosts, after.entry_hosts),
        workers: rate(before.workers, after.workers),
    };
    fleet.close().await;
    Ok(cost)
}

fn binary() -> Outcome<PathBuf> {
    let binary = std::env::current_exe()?
        .ancestors()
        .nth(2)
        .ok_or("no target folder")?
        .join("ragwortwickd");
    if binary.exists() {
        Ok(binary)
    } else {
        Err("build the entry host first: cargo build --release --bin ragwortwickd".into())
    }
}

#[expect(
    clippy::cast_precision_loss,
    reason = "byte counts stay far below 2^52"
)]
fn per_host_and_s(bytes: u64, hosts: usize) -> f64 {
    bytes as f64 / WINDOW.as_secs_f64() / hosts as f64
}
