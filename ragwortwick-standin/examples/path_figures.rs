//! Measures what the request path adds, what a core carries, and what an idle entry host costs.
//!
//! Run with `cargo build --release -p ragwortwick-daemon --bin ragwortwickd` and then
//! `cargo run --release -p ragwortwick-standin --example path_figures`.

use std::error::Error;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use ragwortwick_border::{RequestOutcome, RunnerAnswer, RunnerRequest};
use ragwortwick_core::{DurationMs, ZoneName};
use ragwortwick_standin::{
    Caller, Fleet, FleetOptions, processor_seconds, resident_kb, sample_request,
};

/// Requests timed one after another on each of the two paths.
const TIMED_REQUESTS: usize = 5_000;

/// Requests before any is timed: connections are open and the processor is awake.
const WARM_UP_REQUESTS: usize = 500;

/// Callers that load one host for the throughput.
const CALLERS: usize = 32;

/// How long they do.
const LOAD_TIME: Duration = Duration::from_secs(10);

/// How long nothing happens before and while an idle host is measured.
const IDLE_TIME: Duration = Duration::from_secs(20);

type Outcome<T> = Result<T, Box<dyn Error>>;

#[tokio::main]
async fn main() -> Outcome<()> {
    let binary = std::env::current_exe()?
        .ancestors()
        .nth(2)
        .ok_or("no target folder")?
        .join("ragwortwickd");
    let options = FleetOptions {
        zones: ["north", "middle", "south"].map(ZoneName::new).to_vec(),
        runners: 6,
        slots: 64,
        ..FleetOptions::two_zones(binary)
    };
    idle(options.clone()).await?;
    let fleet = Fleet::open_with_table(options).await?;
    latency(&fleet).await?;
    throughput(&fleet).await?;
    fleet.close().await;
    Ok(())
}

async fn latency(fleet: &Fleet) -> Outcome<()> {
    let mut direct = Histogram::<u64>::new(3)?;
    let mut routed = Histogram::<u64>::new(3)?;
    let runner = fleet.runners.all[0].address().to_string();
    // The two paths take turns, so that a slow moment of the machine meets both.
    for number in 0..WARM_UP_REQUESTS + TIMED_REQUESTS {
        let is_timed = number >= WARM_UP_REQUESTS;
        let begun = Instant::now();
        call_runner(&fleet.caller, &runner, &format!("direct-{number}")).await?;
        if is_timed {
            direct.record(micros(begun))?;
        }
        let begun = Instant::now();
        call_host(&fleet.caller, fleet.address(0), &format!("routed-{number}")).await?;
        if is_timed {
            routed.record(micros(begun))?;
        }
    }
    for quantile in [0.5, 0.99] {
        let direct_us = direct.value_at_quantile(quantile);
        let routed_us = routed.value_at_quantile(quantile);
        println!(
            "figure=latency requests={TIMED_REQUESTS} quantile={quantile} direct_us={direct_us} \
             routed_us={routed_us} added_us={}",
            routed_us.saturating_sub(direct_us)
        );
    }
    Ok(())
}

async fn throughput(fleet: &Fleet) -> Outcome<()> {
    let pid = fleet.daemons[0].pid().ok_or("the host has ended")?;
    let ends_at = Instant::now() + LOAD_TIME;
    let before_s = processor_seconds(pid)?;
    let callers: Vec<_> = (0..CALLERS)
        .map(|caller| {
            tokio::spawn(load(
                fleet.caller.clone(),
                fleet.address(0).to_owned(),
                caller,
                ends_at,
            ))
        })
        .collect();
    let mut answered = 0;
    for caller in callers {
        answered += caller.await?;
    }
    let used_s = processor_seconds(pid)? - before_s;
    println!(
        "figure=throughput callers={CALLERS} answered={answered} per_s={:.0} processor_s={used_s:.2} \
         answered_per_core_s={:.0}",
        f64::from(answered) / LOAD_TIME.as_secs_f64(),
        f64::from(answered) / used_s
    );
    Ok(())
}

async fn load(caller: Caller, address: String, number: usize, ends_at: Instant) -> u32 {
    let mut answered = 0;
    let mut count = 0;
    while Instant::now() < ends_at {
        count += 1;
        let id = format!("load-{number}-{count}");
        answered += u32::from(call_host(&caller, &address, &id).await.is_ok());
    }
    answered
}

async fn idle(mut options: FleetOptions) -> Outcome<()> {
    options.has_relays = true;
    let fleet = Fleet::open_with_table(options).await?;
    tokio::time::sleep(IDLE_TIME).await;
    let paths = fleet.paths.as_ref().ok_or("the fleet has no relays")?;
    let before = paths.bytes().await;
    let pid = fleet.daemons[0].pid().ok_or("the host has ended")?;
    let before_s = processor_seconds(pid)?;
    tokio::time::sleep(IDLE_TIME).await;
    let after = paths.bytes().await;
    let used_s = processor_seconds(pid)? - before_s;
    let rate = |after: u64, before: u64| {
        let hosts = fleet.daemons.len() as u64;
        (after - before) / IDLE_TIME.as_secs() / hosts
    };
    println!(
        "figure=idle hosts={} workers=8 runners=6 resident_kb={} core_percent={:.2}",
        fleet.daemons.len(),
        resident_kb(pid)?,
        100.0 * used_s / IDLE_TIME.as_secs_f64()
    );
    println!(
        "figure=idle_bytes_per_s_and_host store={} host_list={} entry_hosts={} runners={} workers={}",
        rate(after.store, before.store),
        rate(after.host_list, before.host_list),
        rate(after.entry_hosts, before.entry_hosts),
        rate(after.runners, before.runners),
        rate(after.workers, before.workers)
    );
    fleet.close().await;
    Ok(())
}

async fn call_runner(caller: &Caller, address: &str, id: &str) -> Outcome<()> {
    let submit = sample_request(id, 0, true);
    let request = RunnerRequest {
        request_id: submit.request_id.ok_or("the sample has an id")?,
        customer: submit.customer,
        class: submit.class,
        remaining_ms: DurationMs(20_000),
        payload: submit.payload,
    };
    let limit_ms = DurationMs(20_000);
    let http = caller.http();
    let _: RunnerAnswer = http.post(address, "/v1/run", &request, limit_ms).await?;
    Ok(())
}

async fn call_host(caller: &Caller, address: &str, id: &str) -> Outcome<()> {
    let request = sample_request(id, 0, true);
    match caller.request(address, &request).await? {
        RequestOutcome::Answered(_) => Ok(()),
        RequestOutcome::Refused(refusal) => Err(refusal.reason.into()),
    }
}

fn micros(begun: Instant) -> u64 {
    u64::try_from(begun.elapsed().as_micros()).unwrap_or(u64::MAX)
}
