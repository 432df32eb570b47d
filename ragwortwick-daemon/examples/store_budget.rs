//! Measures the store calls of entry hosts: idle, per job, during an outage and after it.
//!
//! Run with `cargo build --release -p ragwortwick-daemon --bin ragwortwickd` and then
//! `cargo run --release -p ragwortwick-daemon --example store_budget`.

use std::collections::BTreeMap;
use std::error::Error;
use std::path::PathBuf;
use std::time::{Duration, Instant};

use ragwortwick_core::ZoneName;
use ragwortwick_standin::{Faults, Fleet, FleetOptions, sample_job, sample_table, wait_until};

/// How long idle hosts are watched.
const IDLE_TIME: Duration = Duration::from_secs(30);

/// How long the store is away; longer than every lease and every longest wait of a retry.
const OUTAGE: Duration = Duration::from_secs(20);

/// How long the return is watched.
const RETURN_TIME: Duration = Duration::from_secs(10);

/// How long the day's load is watched; five jobs and six tables fall into it.
const DAY_LOAD_TIME: Duration = Duration::from_secs(66);

/// 6,500 jobs a day.
const DAY_JOB_GAP: Duration = Duration::from_millis(13_292);

/// 8,200 changes of the table a day.
const DAY_TABLE_GAP: Duration = Duration::from_millis(10_537);

/// Jobs submitted for the slope of calls per job.
const JOBS: usize = 60;

/// Tables accepted for the time until one is in force everywhere.
const TABLES: usize = 20;

/// Pause between two looks at the counters.
const SAMPLE: Duration = Duration::from_millis(20);

/// Kinds of calls that the store serves; the host list is another end of the platform.
const STORE_KINDS: [&str; 7] = [
    "get",
    "list",
    "cas",
    "watch",
    "lease_grant",
    "lease_renew",
    "lease_revoke",
];

type Outcome<T> = Result<T, Box<dyn Error>>;
type Calls = BTreeMap<String, u64>;

#[tokio::main]
async fn main() -> Outcome<()> {
    idle(1, &["north"]).await?;
    idle(3, &["north"]).await?;
    idle(9, &["north", "middle", "south"]).await?;
    day_load().await?;
    let fleet = open(9, &["north", "middle", "south"]).await?;
    jobs(&fleet).await?;
    tables(&fleet).await?;
    outage(&fleet).await;
    fleet.close().await;
    Ok(())
}

async fn open(hosts: usize, zones: &[&str]) -> Outcome<Fleet> {
    let binary: PathBuf = std::env::current_exe()?
        .ancestors()
        .nth(2)
        .ok_or("no target folder")?
        .join("ragwortwickd");
    let options = FleetOptions {
        hosts,
        zones: zones.iter().copied().map(ZoneName::new).collect(),
        workers: 24,
        runners: 0,
        ..FleetOptions::two_zones(binary)
    };
    let fleet = Fleet::open_with_table(options).await?;
    for zone in fleet.zones() {
        wait_until("every zone has an owner", async || {
            fleet.owner(zone).is_some()
        })
        .await;
    }
    Ok(fleet)
}

async fn idle(hosts: usize, zones: &[&str]) -> Outcome<()> {
    let fleet = open(hosts, zones).await?;
    tokio::time::sleep(Duration::from_secs(2)).await;
    let before = fleet.store.calls();
    tokio::time::sleep(IDLE_TIME).await;
    let made = difference(&before, &fleet.store.calls());
    for (kind, calls) in &made {
        println!(
            "figure=idle_store_calls hosts={hosts} zones={} kind={kind} calls_per_s={:.3}",
            zones.len(),
            as_f64(*calls) / IDLE_TIME.as_secs_f64()
        );
    }
    fleet.close().await;
    Ok(())
}

async fn jobs(fleet: &Fleet) -> Outcome<()> {
    let before = fleet.store.calls();
    let begun = Instant::now();
    let mut accept_ms = Vec::new();
    for number in 0..JOBS {
        let job = sample_job(&format!("job-{number}"), 1, 100, true);
        let host = number % fleet.daemons.len();
        let sent = Instant::now();
        fleet.caller.job(fleet.address(host), &job).await?;
        accept_ms.push(sent.elapsed().as_millis());
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    let made = difference(&before, &fleet.store.calls());
    for (kind, calls) in &made {
        println!(
            "figure=job_store_calls jobs={JOBS} span_ms={} kind={kind} calls={calls}",
            begun.elapsed().as_millis()
        );
    }
    accept_ms.sort_unstable();
    println!(
        "figure=job_accept_ms jobs={JOBS} p50={} max={}",
        accept_ms[JOBS / 2],
        accept_ms[JOBS - 1]
    );
    Ok(())
}

/// One host takes the jobs and the changes of the table of the planned fleet's whole day.
async fn day_load() -> Outcome<()> {
    let fleet = open(1, &["north"]).await?;
    let before = fleet.store.calls();
    let begun = Instant::now();
    let (mut jobs, mut tables) = (0, 0);
    while begun.elapsed() < DAY_LOAD_TIME {
        if begun.elapsed() >= DAY_JOB_GAP * jobs {
            jobs += 1;
            let job = sample_job(&format!("day-{jobs}"), 1, 100, true);
            fleet.caller.job(fleet.address(0), &job).await?;
        }
        if begun.elapsed() >= DAY_TABLE_GAP * tables {
            tables += 1;
            accept_next(&fleet, u64::from(tables), 0).await?;
        }
        tokio::time::sleep(SAMPLE).await;
    }
    let made = difference(&before, &fleet.store.calls());
    for (kind, calls) in &made {
        println!(
            "figure=day_load_store_calls hosts=1 jobs={jobs} tables={tables} kind={kind} \
             calls_per_s={:.3}",
            as_f64(*calls) / begun.elapsed().as_secs_f64()
        );
    }
    fleet.close().await;
    Ok(())
}

/// Accepts a changed table on the base of the given number.
async fn accept_next(fleet: &Fleet, number: u64, host: usize) -> Outcome<()> {
    let mut table = sample_table(fleet.zones());
    table.customers[0].weight += as_f64(number);
    let accept = ragwortwick_border::TableAccept {
        based_on_number: number,
        nonce: format!("measure-{number}"),
        accepted_by: "operator".to_owned(),
        reason: "measure".to_owned(),
        table,
    };
    let address = fleet.address(host);
    fleet.caller.accept_table(address, &accept).await?;
    Ok(())
}

async fn tables(fleet: &Fleet) -> Outcome<()> {
    let mut everywhere_ms = Vec::new();
    for number in 1..=TABLES {
        let sent = Instant::now();
        let host = number % fleet.daemons.len();
        accept_next(fleet, number as u64, host).await?;
        for daemon in &fleet.daemons {
            wait_until("the table is in force", async || {
                let table = fleet.caller.table(daemon.address()).await;
                table.is_ok_and(|table| table.number > number as u64)
            })
            .await;
        }
        everywhere_ms.push(sent.elapsed().as_millis());
    }
    everywhere_ms.sort_unstable();
    println!(
        "figure=table_everywhere_ms hosts={} tables={TABLES} p50={} max={}",
        fleet.daemons.len(),
        everywhere_ms[TABLES / 2],
        everywhere_ms[TABLES - 1]
    );
    Ok(())
}

async fn outage(fleet: &Fleet) {
    set_down(fleet, true);
    tokio::time::sleep(Duration::from_secs(2)).await;
    let away = peak(fleet, OUTAGE).await;
    set_down(fleet, false);
    let back = peak(fleet, RETURN_TIME).await;
    println!("figure=outage_store_calls hosts=9 state=away peak_calls_per_s={away}");
    println!("figure=outage_store_calls hosts=9 state=return peak_calls_per_s={back}");
}

/// The most calls in any window of one second.
async fn peak(fleet: &Fleet, span: Duration) -> u64 {
    let begun = Instant::now();
    let mut samples = vec![(begun, total(&fleet.store.calls()))];
    while begun.elapsed() < span {
        tokio::time::sleep(SAMPLE).await;
        samples.push((Instant::now(), total(&fleet.store.calls())));
    }
    let in_window = |end: usize| {
        let (at, calls) = samples[end];
        let start = samples[..=end]
            .iter()
            .find(|(begun, _)| at.duration_since(*begun) <= Duration::from_secs(1));
        start.map_or(0, |(_, before)| calls - before)
    };
    (0..samples.len()).map(in_window).max().unwrap_or(0)
}

fn set_down(fleet: &Fleet, is_down: bool) {
    fleet.store.set_faults(Faults {
        only: STORE_KINDS.map(str::to_owned).to_vec(),
        down: is_down,
        ..Faults::default()
    });
}

fn difference(before: &Calls, after: &Calls) -> Calls {
    let of_kind = |kind: &str| {
        let earlier = before.get(kind).copied().unwrap_or(0);
        after.get(kind).copied().unwrap_or(0) - earlier
    };
    STORE_KINDS
        .iter()
        .map(|kind| ((*kind).to_owned(), of_kind(kind)))
        .collect()
}

fn total(calls: &Calls) -> u64 {
    STORE_KINDS
        .iter()
        .map(|kind| calls.get(*kind).copied().unwrap_or(0))
        .sum()
}

#[expect(
    clippy::cast_precision_loss,
    reason = "counts of a short run are far below 2^52"
)]
fn as_f64(count: u64) -> f64 {
    count as f64
}
