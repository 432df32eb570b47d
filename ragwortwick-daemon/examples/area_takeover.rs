//! Measures how long an area is without a coordinator, and when work starts again, by what befell it.
//!
//! Run with `cargo build --release -p ragwortwick-daemon --bin ragwortwickd` and then
//! `cargo run --release -p ragwortwick-daemon --example area_takeover`.

use std::error::Error;
use std::time::Instant;

use hdrhistogram::Histogram;
use ragwortwick_standin::{AreaFleet, RelayMode, area_job, wait_until};

/// Takeovers measured of each kind.
const ROUNDS: usize = 12;

type Outcome<T> = Result<T, Box<dyn Error>>;

/// What befalls the coordinating host.
#[derive(Clone, Copy, Debug)]
enum Loss {
    /// Its process is killed.
    Kill,
    /// Its process stands still for good.
    Freeze,
    /// It no longer reaches the store.
    Cut,
    /// It is told to stop.
    Terminate,
}

#[tokio::main]
async fn main() -> Outcome<()> {
    let binary = std::env::current_exe()?
        .ancestors()
        .nth(2)
        .ok_or("no target folder")?
        .join("ragwortwickd");
    let binary = binary.to_str().ok_or("a path that is no text")?;
    for loss in [Loss::Kill, Loss::Freeze, Loss::Cut, Loss::Terminate] {
        let mut fleet = AreaFleet::spawn(binary, 3, 8).await?;
        let mut owner_ms = Histogram::<u64>::new(3)?;
        let mut start_ms = Histogram::<u64>::new(3)?;
        for _ in 0..ROUNDS {
            let (owner, start) = one_loss(&mut fleet, loss).await?;
            owner_ms.record(owner)?;
            start_ms.record(start)?;
        }
        print(loss, "coordinator_ms", &owner_ms);
        print(loss, "first_start_ms", &start_ms);
        fleet.close();
    }
    Ok(())
}

async fn one_loss(fleet: &mut AreaFleet, loss: Loss) -> Outcome<(u64, u64)> {
    wait_until("a host coordinates", async || fleet.coordinator().is_some()).await;
    let first = fleet.coordinator().ok_or("no coordinator")?;
    let others: Vec<usize> = (0..fleet.hosts.len())
        .filter(|&host| host != first)
        .collect();
    let begun = fleet.workers.starts().len();
    let lost_at = Instant::now();
    match loss {
        Loss::Kill => fleet.hosts[first].kill()?,
        Loss::Freeze => fleet.hosts[first].freeze()?,
        Loss::Cut => fleet.set_store_path(first, RelayMode::Blackhole),
        Loss::Terminate => fleet.hosts[first].terminate()?,
    }
    let id = format!("{begun:016x}");
    let job = area_job(1, 50, false);
    wait_until("the job is accepted", async || {
        let status = fleet.submit(others[0], &id, job.clone()).await;
        status.is_ok_and(|status| status.is_success())
    })
    .await;
    wait_until("another host coordinates", async || {
        others.iter().any(|&host| fleet.coordinates(host))
    })
    .await;
    let owner_ms = elapsed_ms(lost_at);
    wait_until("the job starts", async || {
        fleet.workers.starts().len() > begun
    })
    .await;
    let start_ms = elapsed_ms(lost_at);
    drop(fleet.hosts[first].kill());
    fleet.hosts[first] = fleet.spawn_host().await?;
    Ok((owner_ms, start_ms))
}

fn elapsed_ms(since: Instant) -> u64 {
    u64::try_from(since.elapsed().as_millis()).unwrap_or(u64::MAX)
}

fn print(loss: Loss, figure: &str, times_ms: &Histogram<u64>) {
    println!(
        "loss={loss:?} figure={figure} rounds={ROUNDS} min={} p50={} max={}",
        times_ms.min(),
        times_ms.value_at_quantile(0.5),
        times_ms.max()
    );
}
