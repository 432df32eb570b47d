//! Compares the request path with a naive router on the same arrivals through the same stand-ins.
//!
//! Run with `cargo build --release -p ragwortwick-daemon --bin ragwortwickd` and then
//! `cargo run --release -p ragwortwick-standin --example request_bench`.
//!
//! The naive router is round robin, retries on any error and knows no limits. It runs inside this
//! process, without the hop from the caller to an entry host, which is an advantage for it.

use std::collections::BTreeMap;
use std::error::Error;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use http::Method;
use ragwortwick_border::{
    IssuedIds, RefusalVerdict, RequestOutcome, RequestSubmit, RunnerAnswer, RunnerRequest,
};
use ragwortwick_core::{ClassName, DurationMs, RequestId, ZoneName};
use ragwortwick_http::{HttpClient, HttpClientOptions};
use ragwortwick_standin::{Caller, Faults, Fleet, FleetOptions, LogEvent, sample_request};

/// Entry hosts; urgent work comes in at the first one, routine work at all others.
const HOSTS: usize = 8;

/// Runners of 10 slots; a fifth of a deployment's 50, so that one machine carries it.
const RUNNERS: usize = 10;

/// Length of a scenario.
const LENGTH_MS: u64 = 8_000;

/// Part of it in which routine work comes three times as often.
const BURST_MS: std::ops::Range<u64> = 2_000..6_000;

/// Urgent requests a second, 50 ms of work each.
const URGENT_PER_S: u64 = 40;

/// Routine requests a second outside of the burst, 200 ms of work each: 60% of the slots.
const ROUTINE_PER_S: u64 = 300;

/// Tries that the naive router gives a request.
const NAIVE_TRIES: usize = 3;

type Outcome<T> = Result<T, Box<dyn Error>>;

/// One request of the fixed list.
#[derive(Clone, Debug)]
struct Arrival {
    at_ms: u64,
    host: usize,
    is_urgent: bool,
    request: RequestSubmit,
}

/// How one request ended for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    Answered,
    NotRun,
    MayHaveRun,
    Lost,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Router {
    Ours,
    Naive,
}

#[tokio::main]
async fn main() -> Outcome<()> {
    for has_faults in [false, true] {
        for router in [Router::Naive, Router::Ours] {
            run(router, has_faults).await?;
        }
    }
    Ok(())
}

async fn run(router: Router, has_faults: bool) -> Outcome<()> {
    let binary = std::env::current_exe()?
        .ancestors()
        .nth(2)
        .ok_or("no target folder")?
        .join("ragwortwickd");
    let fleet = Fleet::open_with_table(FleetOptions {
        zones: ["north", "middle", "south"].map(ZoneName::new).to_vec(),
        hosts: HOSTS,
        runners: RUNNERS,
        workers: 6,
        ..FleetOptions::two_zones(binary)
    })
    .await?;
    tokio::time::sleep(Duration::from_secs(3)).await;
    if has_faults {
        set_faults(&fleet);
    }
    let mut arrivals = arrivals();
    if router == Router::Ours {
        take_ids(&fleet, &mut arrivals).await?;
    }
    let ends = replay(&fleet, router, &arrivals).await?;
    tokio::time::sleep(Duration::from_secs(1)).await;
    report(&fleet, router, has_faults, &arrivals, &ends);
    fleet.close().await;
    Ok(())
}

/// One runner fails all that it starts, one loses answers after the work, one is slow to answer.
fn set_faults(fleet: &Fleet) {
    let [failing, losing, slow] = [0, 1, 2].map(|index| &fleet.runners.all[index]);
    failing.set_faults(Faults {
        fail_starts: true,
        ..Faults::default()
    });
    losing.set_faults(Faults {
        lose_answers: 200,
        ..Faults::default()
    });
    slow.set_faults(Faults {
        answer_delay_ms: DurationMs(300),
        ..Faults::default()
    });
}

/// A fixed list: a small generator of its own decides which routine host each request comes to.
fn arrivals() -> Vec<Arrival> {
    let mut state = 42_u64;
    let mut next = move || {
        state = state
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1);
        usize::try_from(state >> 33).unwrap_or(0)
    };
    let mut all = Vec::new();
    for step in 0..LENGTH_MS * URGENT_PER_S / 1_000 {
        let at_ms = step * 1_000 / URGENT_PER_S;
        all.push(arrival(at_ms, 0, true, step, 50, 1_000));
    }
    let mut number = 0;
    for at_ms in 0..LENGTH_MS {
        let is_burst = BURST_MS.contains(&at_ms);
        let per_s = ROUTINE_PER_S * if is_burst { 3 } else { 1 };
        let due = per_s * (at_ms + 1) / 1_000 - per_s * at_ms / 1_000;
        for _ in 0..due {
            let host = 1 + next() % (HOSTS - 1);
            let work_ms = 100 + u64::try_from(next() % 200).unwrap_or(0);
            all.push(arrival(at_ms, host, false, number, work_ms, 3_000));
            number += 1;
        }
    }
    all.sort_by_key(|arrival| arrival.at_ms);
    all
}

fn arrival(
    at_ms: u64,
    host: usize,
    is_urgent: bool,
    number: u64,
    work_ms: u64,
    deadline_ms: u64,
) -> Arrival {
    let class = if is_urgent { "urgent" } else { "routine" };
    let id = format!("{class}-{number}");
    // Every fourth request must not be repeated.
    let mut request = sample_request(&id, work_ms, !number.is_multiple_of(4));
    request.class = ClassName::new(class);
    request.deadline_ms = Some(DurationMs(deadline_ms));
    Arrival {
        at_ms,
        host,
        is_urgent,
        request,
    }
}

/// Orders get ids of the host that they come to, as a caller of ours takes them.
async fn take_ids(fleet: &Fleet, arrivals: &mut [Arrival]) -> Outcome<()> {
    for host in 0..HOSTS {
        let path = "/v1/request-ids?count=1000";
        let limit_ms = DurationMs(5_000);
        let http = fleet.caller.http();
        let reply = http
            .send(Method::POST, fleet.address(host), path, None, limit_ms)
            .await?;
        let mut ids: IssuedIds = serde_json::from_slice(&reply.body)?;
        let orders = arrivals
            .iter_mut()
            .filter(|a| a.host == host && !a.request.repeatable);
        for arrival in orders {
            arrival.request.request_id = ids.request_ids.pop();
        }
    }
    Ok(())
}

async fn replay(
    fleet: &Fleet,
    router: Router,
    arrivals: &[Arrival],
) -> Outcome<Vec<(End, Duration)>> {
    let runners = fleet.runners.all.iter();
    let naive = Arc::new(Naive {
        http: HttpClient::new(&HttpClientOptions::default()),
        runners: runners.map(|r| r.address().to_string()).collect(),
        next: (0..HOSTS).map(|_| AtomicUsize::new(0)).collect(),
    });
    let start = Instant::now();
    let mut calls = Vec::with_capacity(arrivals.len());
    for arrival in arrivals {
        let due = start + Duration::from_millis(arrival.at_ms);
        tokio::time::sleep_until(due.into()).await;
        let arrival = arrival.clone();
        let (naive, caller) = (Arc::clone(&naive), fleet.caller.clone());
        let address = fleet.address(arrival.host).to_owned();
        calls.push(tokio::spawn(async move {
            let sent_at = Instant::now();
            let end = match router {
                Router::Ours => ours(&caller, &address, &arrival.request).await,
                Router::Naive => naive.send(arrival.host, &arrival.request).await,
            };
            (end, sent_at.elapsed())
        }));
    }
    let mut ends = Vec::with_capacity(calls.len());
    for call in calls {
        ends.push(call.await?);
    }
    Ok(ends)
}

async fn ours(caller: &Caller, address: &str, request: &RequestSubmit) -> End {
    match caller.request(address, request).await {
        Ok(RequestOutcome::Answered(_)) => End::Answered,
        Ok(RequestOutcome::Refused(refusal)) => match refusal.verdict {
            RefusalVerdict::NotRun => End::NotRun,
            RefusalVerdict::MayHaveRun => End::MayHaveRun,
        },
        Err(_) => End::Lost,
    }
}

/// Round robin on each host, another try on any error, no limits.
struct Naive {
    http: HttpClient,
    runners: Vec<String>,
    next: Vec<AtomicUsize>,
}

impl Naive {
    async fn send(&self, host: usize, request: &RequestSubmit) -> End {
        let limit_ms = request.deadline_ms.unwrap_or_default();
        let body = RunnerRequest {
            request_id: request.request_id.clone().unwrap_or(RequestId::new("none")),
            customer: request.customer.clone(),
            class: request.class.clone(),
            remaining_ms: limit_ms,
            payload: request.payload.clone(),
        };
        for _ in 0..NAIVE_TRIES {
            let index = self.next[host].fetch_add(1, Ordering::Relaxed);
            let runner = &self.runners[index % self.runners.len()];
            let sent = self.http.post(runner, "/v1/run", &body, limit_ms);
            if sent.await.is_ok_and(|_: RunnerAnswer| true) {
                return End::Answered;
            }
        }
        End::Lost
    }
}

fn report(
    fleet: &Fleet,
    router: Router,
    has_faults: bool,
    arrivals: &[Arrival],
    ends: &[(End, Duration)],
) {
    let mut starts: BTreeMap<String, u64> = BTreeMap::new();
    for runner in &fleet.runners.all {
        for entry in runner.log().entries() {
            let is_start = entry.event == LogEvent::Started;
            *starts.entry(entry.id).or_default() += u64::from(is_start);
        }
    }
    let calls: Vec<u64> = fleet
        .runners
        .all
        .iter()
        .map(|runner| runner.calls().get("run").copied().unwrap_or(0))
        .collect();
    let doubled = arrivals
        .iter()
        .filter(|a| !a.request.repeatable)
        .filter_map(|a| starts.get(a.request.request_id.as_ref()?.as_str()))
        .filter(|count| **count > 1)
        .count();
    println!(
        "router={router:?} faults={has_faults} run_calls={} calls_per_runner={calls:?} doubled_orders={doubled}",
        calls.iter().sum::<u64>()
    );
    for is_urgent in [true, false] {
        let pairs = arrivals.iter().zip(ends);
        let of_class: Vec<_> = pairs.filter(|(a, _)| a.is_urgent == is_urgent).collect();
        let count = |end: End| of_class.iter().filter(|(_, (e, _))| *e == end).count();
        let late = of_class
            .iter()
            .filter(|(a, (end, took))| {
                let deadline_ms = a.request.deadline_ms.unwrap_or_default();
                *end == End::Answered && *took > Duration::from(deadline_ms)
            })
            .count();
        let in_burst = of_class
            .iter()
            .filter(|(a, (end, _))| *end == End::Answered && BURST_MS.contains(&a.at_ms));
        let mut times = Histogram::<u64>::new(3).expect("three digits are valid");
        for (_, (_, took)) in in_burst {
            times += u64::try_from(took.as_micros()).unwrap_or(u64::MAX);
        }
        println!(
            "  urgent={is_urgent} sent={} answered={} late={late} not_run={} may_have_run={} lost={} burst_p50_ms={:.1} burst_p99_ms={:.1}",
            of_class.len(),
            count(End::Answered),
            count(End::NotRun),
            count(End::MayHaveRun),
            count(End::Lost),
            ms(times.value_at_quantile(0.5)),
            ms(times.value_at_quantile(0.99)),
        );
    }
}

#[expect(clippy::cast_precision_loss, reason = "times of a few seconds")]
fn ms(us: u64) -> f64 {
    us as f64 / 1_000.0
}
