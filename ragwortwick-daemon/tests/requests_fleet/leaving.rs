//! Proves that a leaving runner gets no new work from any entry host, and finishes what it runs.

use futures_util::future::join_all;
use ragwortwick_border::{HostEntry, HostState};
use ragwortwick_standin::{Faults, sample_request};

use crate::fleet::{is_answer, one_zone, pause, run_calls, starts_on, submit, wait_for_start};

/// The bound: after this much time from its first sign, a leaving runner gets nothing new.
const BOUND_MS: u64 = 3_000;

#[tokio::test(flavor = "multi_thread")]
async fn verify_own_sign_of_leaving_reaches_every_host_within_the_bound() {
    // No caller sees a refusal. Runner 0 begins to leave and only says so in its answers; the host
    // list still shows it as live. Host 0 hears of it first; the other hosts send nothing until the
    // bound has passed, and then must not call the runner even once.
    let fleet = one_zone(3, 3).await;
    let long = sample_request("long", 4_500, true);
    let address = fleet.address(0).to_owned();
    let caller = fleet.caller.clone();
    let running = tokio::spawn(async move { caller.request(&address, &long).await });
    wait_for_start(&fleet, "long").await;
    let runner = (0..3).find(|r| starts_on(&fleet, *r) > 0).expect("started");
    fleet.runners.all[runner].set_faults(Faults {
        leaving: true,
        ..Faults::default()
    });
    let before = run_calls(&fleet, runner);
    let mut number = 0;
    while run_calls(&fleet, runner) == before {
        let id = format!("first-{number}");
        let outcome = submit(&fleet, 0, &sample_request(&id, 0, true)).await;
        assert!(is_answer(&outcome, &id), "{outcome:?}");
        number += 1;
    }
    pause(BOUND_MS).await;
    let at_bound = run_calls(&fleet, runner);
    for number in 0..60 {
        let id = format!("later-{number}");
        let outcome = submit(&fleet, number % 3, &sample_request(&id, 0, true)).await;
        assert!(is_answer(&outcome, &id), "{outcome:?}");
    }
    assert_eq!(
        run_calls(&fleet, runner),
        at_bound,
        "called after the bound"
    );
    let outcome = running.await.expect("no panic").expect("an outcome");
    assert!(is_answer(&outcome, "long"), "{outcome:?}");
    fleet.close().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn verify_listed_leaving_stops_new_work_within_the_bound() {
    // No caller sees a refusal. The platform lists runner 0 as leaving while the runner itself still
    // takes whatever it is sent; after the bound no host starts anything on it.
    let fleet = one_zone(3, 3).await;
    let leaving = HostEntry {
        state: HostState::Leaving,
        ..fleet.runners.all[0].entry()
    };
    fleet.put_host(&leaving).await.expect("the list");
    pause(BOUND_MS).await;
    let at_bound = starts_on(&fleet, 0);
    for number in 0..60 {
        let id = format!("r-{number}");
        let outcome = submit(&fleet, number % 3, &sample_request(&id, 0, true)).await;
        assert!(is_answer(&outcome, &id), "{outcome:?}");
    }
    assert_eq!(starts_on(&fleet, 0), at_bound);
    fleet.close().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn verify_leaving_is_seen_in_a_burst_while_the_store_is_down() {
    // No caller sees a refusal. The store and the host list are down, so only the runner itself can
    // say that it leaves; callers of all hosts keep every slot busy. After the bound no host calls
    // the runner any more.
    let fleet = one_zone(3, 3).await;
    fleet.store.set_faults(Faults {
        down: true,
        ..Faults::default()
    });
    fleet.runners.all[0].set_faults(Faults {
        leaving: true,
        ..Faults::default()
    });
    let mut at_bound = None;
    let start = std::time::Instant::now();
    let mut round = 0;
    while start.elapsed().as_millis() < u128::from(BOUND_MS + 1_500) {
        let calls = (0..24).map(|number| {
            let (fleet, id) = (&fleet, format!("r{round}-{number}"));
            async move {
                let request = sample_request(&id, 20, true);
                let outcome = submit(fleet, number % 3, &request).await;
                assert!(is_answer(&outcome, &id), "{outcome:?}");
            }
        });
        join_all(calls).await;
        round += 1;
        if at_bound.is_none() && start.elapsed().as_millis() >= u128::from(BOUND_MS) {
            at_bound = Some(run_calls(&fleet, 0));
        }
    }
    assert_eq!(Some(run_calls(&fleet, 0)), at_bound);
    fleet.close().await;
}
