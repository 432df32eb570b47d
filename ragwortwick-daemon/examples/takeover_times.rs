//! Measures how long a zone is without an owner after a kill, and when work starts again.
//!
//! Run with `cargo build --release -p ragwortwick-daemon --bin ragwortwickd` and then
//! `cargo run --release -p ragwortwick-daemon --example takeover_times`.

use std::error::Error;
use std::time::Instant;

use ragwortwick_core::ZoneName;
use ragwortwick_standin::{Fleet, FleetOptions, LogEvent, sample_job, wait_until};

/// Kills measured.
const KILLS: usize = 12;

type Outcome<T> = Result<T, Box<dyn Error>>;

#[tokio::main]
async fn main() -> Outcome<()> {
    let binary = std::env::current_exe()?
        .ancestors()
        .nth(2)
        .ok_or("no target folder")?
        .join("ragwortwickd");
    let options = FleetOptions {
        hosts: 3,
        zones: vec![ZoneName::new("north")],
        workers: 16,
        runners: 0,
        ..FleetOptions::two_zones(binary)
    };
    let mut fleet = Fleet::open_with_table(options).await?;
    let mut owner_ms = Vec::new();
    let mut start_ms = Vec::new();
    for number in 0..KILLS {
        let (owner, start) = one_kill(&mut fleet, number).await?;
        owner_ms.push(owner);
        start_ms.push(start);
    }
    print("takeover_owner_ms", owner_ms);
    print("takeover_first_start_ms", start_ms);
    fleet.close().await;
    Ok(())
}

async fn one_kill(fleet: &mut Fleet, number: usize) -> Outcome<(u128, u128)> {
    let zone = fleet.zones()[0].clone();
    wait_until("the zone has an owner", async || {
        fleet.owner(&zone).is_some()
    })
    .await;
    let first = fleet.owner(&zone).ok_or("no owner")?;
    let killed = Instant::now();
    fleet.daemons[first].kill()?;
    let id = format!("after-{number}");
    let job = sample_job(&id, 1, 100, true);
    let other = (first + 1) % fleet.daemons.len();
    // The other host may have been replaced a moment ago and have no table yet.
    wait_until("the job is accepted", async || {
        fleet.caller.job(fleet.address(other), &job).await.is_ok()
    })
    .await;
    wait_until("another host owns the zone", async || {
        fleet.owner(&zone).is_some_and(|owner| owner != first)
    })
    .await;
    let owner_ms = killed.elapsed().as_millis();
    let gang = format!("{id}.1");
    wait_until("the job starts", async || {
        fleet.workers.log().count(&gang, LogEvent::Started) > 0
    })
    .await;
    let start_ms = killed.elapsed().as_millis();
    fleet.replace_daemon(first).await?;
    Ok((owner_ms, start_ms))
}

fn print(figure: &str, mut times_ms: Vec<u128>) {
    times_ms.sort_unstable();
    println!(
        "figure={figure} kills={KILLS} min={} p50={} max={}",
        times_ms[0],
        times_ms[KILLS / 2],
        times_ms[KILLS - 1]
    );
}
