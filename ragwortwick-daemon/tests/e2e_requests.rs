//! Requests under faults of runners and hosts: at most once, truthful refusals, whole answers.

use ragwortwick_border::{HostState, RefusalVerdict, RequestOutcome};
use ragwortwick_core::TimeMs;
use ragwortwick_http::HttpError;
use ragwortwick_standin::{
    Faults, Fleet, FleetOptions, LogEvent, Runner, now, sample_answer, sample_request, wait_until,
};

/// Bound of the project on new work after a runner's first sign of leaving.
const LEAVING_BOUND_MS: u64 = 3_000;

async fn open_fleet() -> Fleet {
    let options = FleetOptions::two_zones(env!("CARGO_BIN_EXE_ragwortwickd"));
    let fleet = Fleet::open_with_table(options).await;
    fleet.expect("the fleet starts")
}

/// Checks an outcome against the runners' own logs.
fn assert_truthful(fleet: &Fleet, id: &str, outcome: &Result<RequestOutcome, HttpError>) {
    let starts = fleet.runners.starts(id);
    match outcome {
        Ok(RequestOutcome::Answered(answer)) => {
            assert_eq!(answer.request_id.as_str(), id);
            assert_eq!(answer.answer, sample_answer(id));
        }
        Ok(RequestOutcome::Refused(refusal)) if refusal.verdict == RefusalVerdict::NotRun => {
            assert_eq!(starts, 0, "{id} is said not to have run: {refusal:?}");
        }
        // "May have run" and a broken connection claim nothing.
        Ok(RequestOutcome::Refused(_)) | Err(_) => {}
    }
}

// A balancer retries: the same order reaches two hosts at once. Callers may see one answer and one
// refusal, but the runners start the order once at most.
#[tokio::test(flavor = "multi_thread")]
async fn verify_an_order_sent_to_two_hosts_at_once_runs_at_most_once() {
    let fleet = open_fleet().await;
    for number in 0..30 {
        let id = format!("twice-{number}");
        let request = sample_request(&id, 20, false);
        let (one, two) = tokio::join!(
            fleet.caller.request(fleet.address(number % 3), &request),
            fleet
                .caller
                .request(fleet.address((number + 1) % 3), &request),
        );
        assert!(fleet.runners.starts(&id) <= 1, "{id}: {one:?} {two:?}");
        let answered = [&one, &two].map(|o| matches!(o, Ok(RequestOutcome::Answered(_))));
        assert!(answered.contains(&true), "nobody ran {id}: {one:?} {two:?}");
    }
    fleet.close().await;
}

// The host that runs an order is killed; the caller asks the others with the same id, and then the
// empty host that took the killed one's place. The order was started once and never again.
#[tokio::test(flavor = "multi_thread")]
async fn verify_an_order_asked_again_after_a_kill_runs_at_most_once() {
    let mut fleet = open_fleet().await;
    let request = sample_request("killed", 1_500, false);
    let caller = fleet.caller.clone();
    let address = fleet.address(0).to_owned();
    let first = {
        let request = request.clone();
        tokio::spawn(async move { caller.request(&address, &request).await })
    };
    wait_until("the order runs", async || {
        fleet.runners.starts("killed") == 1
    })
    .await;
    fleet.daemons[0].kill().expect("the host is killed");
    first
        .await
        .expect("the caller ends")
        .expect_err("no answer");
    let replaced = fleet.replace_daemon(0).await;
    replaced.expect("an empty host takes its place");
    for index in [1, 2, 0] {
        let again = fleet.caller.request(fleet.address(index), &request).await;
        let refusal = again.expect("an outcome");
        let is_truthful = matches!(
            &refusal,
            RequestOutcome::Refused(refusal) if refusal.verdict == RefusalVerdict::MayHaveRun
        );
        assert!(is_truthful, "it did run: {refusal:?}");
        assert_eq!(fleet.runners.starts("killed"), 1);
    }
    fleet.close().await;
}

// The holder of an order is frozen before its answer; the caller gives up and asks another host,
// then the holder wakes. The order is started once at most.
#[tokio::test(flavor = "multi_thread")]
async fn verify_an_order_of_a_frozen_host_runs_at_most_once() {
    let fleet = open_fleet().await;
    let mut pending = Vec::new();
    for number in 0..10 {
        let caller = fleet.caller.clone();
        let address = fleet.address(0).to_owned();
        let request = sample_request(&format!("frozen-{number}"), 100, false);
        pending.push(tokio::spawn(async move {
            caller.request(&address, &request).await
        }));
    }
    fleet.daemons[0].freeze().expect("the host is frozen");
    for number in 0..10 {
        let id = format!("frozen-{number}");
        let request = sample_request(&id, 100, false);
        let outcome = fleet.caller.request(fleet.address(1), &request).await;
        assert_truthful(&fleet, &id, &outcome);
    }
    fleet.daemons[0].wake().expect("the host wakes");
    for (number, caller) in pending.into_iter().enumerate() {
        let id = format!("frozen-{number}");
        let outcome = caller.await.expect("the caller ends");
        assert!(fleet.runners.starts(&id) <= 1, "{id}: {outcome:?}");
    }
    fleet.close().await;
}

// Answers cut in the middle, lost, late, or belonging to another request: the caller gets the whole
// answer to its own request or a truthful refusal, and what must not be repeated runs once at most.
#[tokio::test(flavor = "multi_thread")]
async fn verify_broken_answers_reach_no_caller() {
    let fleet = open_fleet().await;
    for number in 0..40 {
        let faults = match number % 4 {
            0 => Faults {
                cut_answers: 1,
                ..Faults::default()
            },
            1 => Faults {
                lose_answers: 1,
                ..Faults::default()
            },
            2 => Faults {
                stale_answers: 1,
                ..Faults::default()
            },
            _ => Faults {
                fail_starts: true,
                ..Faults::default()
            },
        };
        let runner = &fleet.runners.all[number % 4];
        runner.set_faults(faults);
        let is_repeatable = number % 2 == 0;
        let id = format!("broken-{number}");
        let request = sample_request(&id, 2, is_repeatable);
        let outcome = fleet
            .caller
            .request(fleet.address(number % 3), &request)
            .await;
        assert_truthful(&fleet, &id, &outcome);
        if !is_repeatable {
            assert!(fleet.runners.starts(&id) <= 1, "{id}: {outcome:?}");
        }
        runner.set_faults(Faults::default());
    }
    fleet.close().await;
}

fn starts_after(runner: &Runner, at: TimeMs) -> Vec<String> {
    let entries = runner.log().entries().into_iter();
    entries
        .filter(|entry| entry.event == LogEvent::Started && entry.at_ms > at)
        .map(|entry| entry.id)
        .collect()
}

async fn send_until(fleet: &Fleet, end: TimeMs) {
    let mut number = 0;
    while now() < end {
        let id = format!("leaving-{}-{number}", end.0);
        let request = sample_request(&id, 5, true);
        let outcome = fleet
            .caller
            .request(fleet.address(number % 3), &request)
            .await;
        assert_truthful(fleet, &id, &outcome);
        number += 1;
    }
}

// A runner begins to leave; the platform's list is the only sign, it still takes work itself.
// Callers notice nothing, and 3 s later no entry host sends it anything.
#[tokio::test(flavor = "multi_thread")]
async fn verify_a_runner_listed_as_leaving_gets_nothing_after_three_seconds() {
    let fleet = open_fleet().await;
    send_until(&fleet, TimeMs(now().0 + 500)).await;
    let runner = &fleet.runners.all[0];
    let mut entry = runner.entry();
    entry.state = HostState::Leaving;
    fleet.put_host(&entry).await.expect("the list is changed");
    let bound = TimeMs(now().0 + LEAVING_BOUND_MS);
    send_until(&fleet, TimeMs(bound.0 + 1_500)).await;
    let late = starts_after(runner, bound);
    assert!(late.is_empty(), "started after the bound: {late:?}");
    fleet.close().await;
}

// A runner refuses as leaving while the list still shows it as live: its own word is enough, and
// what it runs is finished.
#[tokio::test(flavor = "multi_thread")]
async fn verify_a_runner_that_says_it_leaves_finishes_and_gets_nothing_new() {
    let fleet = open_fleet().await;
    let caller = fleet.caller.clone();
    let address = fleet.address(0).to_owned();
    let request = sample_request("kept", 1_500, false);
    let running = tokio::spawn(async move { caller.request(&address, &request).await });
    wait_until("the request runs", async || {
        fleet.runners.starts("kept") == 1
    })
    .await;
    let holder = fleet
        .runners
        .all
        .iter()
        .find(|runner| runner.log().count("kept", LogEvent::Started) == 1);
    let holder = holder.expect("one runner has it");
    holder.set_faults(Faults {
        leaving: true,
        ..Faults::default()
    });
    let bound = TimeMs(now().0 + LEAVING_BOUND_MS);
    send_until(&fleet, bound).await;
    let calls_at_bound = holder.calls().get("run").copied();
    send_until(&fleet, TimeMs(now().0 + 1_000)).await;
    assert_eq!(holder.calls().get("run").copied(), calls_at_bound);
    let outcome = running.await.expect("the caller ends");
    assert_truthful(&fleet, "kept", &outcome);
    assert!(matches!(outcome, Ok(RequestOutcome::Answered(_))));
    fleet.close().await;
}
