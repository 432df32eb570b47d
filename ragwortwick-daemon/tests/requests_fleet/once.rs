//! Proves that a request marked as not to be repeated runs at most once over all entry hosts.

use std::time::{Duration, Instant};

use futures_util::future::join_all;
use ragwortwick_border::{RefusalVerdict, StoreGet};
use ragwortwick_core::DurationMs;
use ragwortwick_standin::{Faults, Fleet, RelayMode, now};

use crate::fleet::{
    is_answer, issue_id, one_zone, order, pause, refusal, submit, two_zones_with_paths,
    wait_for_start,
};

#[tokio::test(flavor = "multi_thread")]
async fn verify_order_sent_to_every_host_at_once_runs_once() {
    // One caller sees the answer, the others "may have run" or the answer. A balancer sends each
    // order to all three hosts at once, under an id that its caller chose; the claim in the store
    // lets one host run it.
    let fleet = one_zone(3, 4).await;
    for number in 0..10 {
        let id = format!("order-{number}");
        let request = order(&id, 30, 5_000);
        let outcomes = join_all((0..3).map(|host| submit(&fleet, host, &request))).await;
        assert_eq!(fleet.runners.starts(&id), 1, "{outcomes:?}");
        assert!(outcomes.iter().any(|outcome| is_answer(outcome, &id)));
    }
    fleet.close().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn verify_issued_id_runs_at_its_home_wherever_it_is_sent() {
    // All callers see the whole answer. The id was issued by one host and is sent to all three at
    // once and once more later; the others hand it to its home, which runs it once.
    let fleet = one_zone(3, 4).await;
    for home in 0..3 {
        let id = issue_id(&fleet, home).await;
        let request = order(id.as_str(), 50, 5_000);
        let outcomes = join_all((0..3).map(|host| submit(&fleet, host, &request))).await;
        let all = outcomes.iter().all(|o| is_answer(o, id.as_str()));
        assert!(all, "{outcomes:?}");
        let later = submit(&fleet, (home + 1) % 3, &request).await;
        assert!(is_answer(&later, id.as_str()), "{later:?}");
        assert_eq!(fleet.runners.starts(id.as_str()), 1);
    }
    fleet.close().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn verify_order_of_a_killed_host_is_not_run_again() {
    // The caller that comes back through another host sees "may have run", with an issued id and
    // with its own. The host that ran the order is killed in the middle of it; the order still ends
    // on its runner, so running it again would double it.
    let mut fleet = one_zone(3, 4).await;
    let issued = issue_id(&fleet, 0).await.to_string();
    for id in [issued.as_str(), "chosen"] {
        let request = order(id, 1_500, 10_000);
        let address = fleet.address(0).to_owned();
        let caller = fleet.caller.clone();
        let sent = request.clone();
        let lost = tokio::spawn(async move { caller.request(&address, &sent).await });
        wait_for_start(&fleet, id).await;
        if id == "chosen" {
            fleet.daemons[0].kill().expect("the host ends");
            let outcome = lost.await.expect("no panic");
            outcome.expect_err("its connection ended with the host");
        }
    }
    for id in [issued.as_str(), "chosen"] {
        let request = order(id, 1_500, 10_000);
        for host in [1, 2] {
            let outcome = submit(&fleet, host, &request).await;
            assert_eq!(refusal(&outcome), Some(RefusalVerdict::MayHaveRun));
        }
        assert_eq!(fleet.runners.starts(id), 1);
    }
    // A replaced home knows nothing of what it ran before, and runs nothing of it.
    fleet.replace_daemon(0).await.expect("a new host");
    pause(1_500).await;
    let outcome = submit(&fleet, 1, &order(&issued, 0, 2_000)).await;
    assert_eq!(refusal(&outcome), Some(RefusalVerdict::MayHaveRun));
    assert_eq!(fleet.runners.starts(&issued), 1);
    fleet.close().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn verify_frozen_holder_does_not_run_what_another_host_ran() {
    // The caller sees the answer of the second host. The first host has made the claim and is frozen
    // while it waits to see that its connection works; every lease lapses, the claim is gone, and
    // the balancer's second copy runs at another host. The first one wakes when its deadline is over,
    // finds that the connection works, and must send nothing.
    let fleet = one_zone(3, 4).await;
    for number in 0..2 {
        let id = format!("frozen-{number}");
        let slow_to_prove = Faults {
            only: vec!["load".to_owned()],
            delay_ms: DurationMs(300),
            ..Faults::default()
        };
        set_runner_faults(&fleet, &slow_to_prove);
        let request = order(&id, 0, 350);
        let address = fleet.address(0).to_owned();
        let caller = fleet.caller.clone();
        let first = tokio::spawn(async move { caller.request(&address, &request).await });
        while !is_claimed(&fleet, &id) {
            pause(2).await;
        }
        let claimed_at = Instant::now();
        pause(60).await;
        fleet.daemons[0].freeze().expect("a process");
        fleet.store.set_faults(Faults {
            lapse_leases: true,
            ..Faults::default()
        });
        set_runner_faults(&fleet, &Faults::default());
        let outcome = submit(&fleet, 1, &order(&id, 0, 5_000)).await;
        tokio::time::sleep_until((claimed_at + Duration::from_millis(410)).into()).await;
        fleet.daemons[0].wake().expect("a process");
        let of_first = first.await.expect("no panic");
        assert!(is_answer(&outcome, &id), "{outcome:?}");
        // Long enough that every connection has to be proven again in the next round.
        pause(1_200).await;
        assert_eq!(fleet.runners.starts(&id), 1, "{of_first:?}");
    }
    fleet.close().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn verify_outage_of_the_store_hides_no_earlier_run() {
    // The caller sees the answer from one host. The store goes down, and the balancer sends a copy to
    // the other hosts, which can't see the claim: they ask the first one and say "may have run". An
    // order that nobody has seen is "not run" at once.
    let fleet = one_zone(3, 4).await;
    let request = order("known", 0, 5_000);
    assert!(is_answer(&submit(&fleet, 0, &request).await, "known"));
    fleet.store.set_faults(Faults {
        down: true,
        ..Faults::default()
    });
    for host in [1, 2] {
        let copy = submit(&fleet, host, &request).await;
        assert_eq!(refusal(&copy), Some(RefusalVerdict::MayHaveRun), "{copy:?}");
        let fresh = submit(&fleet, host, &order("fresh", 0, 60_000)).await;
        assert_eq!(refusal(&fresh), Some(RefusalVerdict::NotRun), "{fresh:?}");
    }
    assert_eq!(fleet.runners.starts("known"), 1);
    assert_eq!(fleet.runners.starts("fresh"), 0);
    fleet.close().await;
}

fn set_runner_faults(fleet: &Fleet, faults: &Faults) {
    let runners = fleet.runners.all.iter();
    runners.for_each(|runner| runner.set_faults(faults.clone()));
}

fn is_claimed(fleet: &Fleet, id: &str) -> bool {
    let key = format!("claims/padana/{id}");
    let get = StoreGet { key };
    let reply = fleet.store.with_state(|state| state.get(now(), &get));
    reply.entry.is_some()
}

#[tokio::test(flavor = "multi_thread")]
async fn verify_order_is_not_doubled_across_a_cut_between_zones() {
    // One of two callers sees the answer at most. The zones can't reach each other while the same
    // order is sent to both; then one zone is cut off from the platform too and says "not run" of
    // new orders, without starting them, but serves ids that its own host issued.
    let fleet = two_zones_with_paths().await;
    let west = fleet.zones()[1].clone();
    let issued_east = issue_id(&fleet, 0).await.to_string();
    let paths = fleet.paths.as_ref().expect("paths");
    paths.set_between(&west, RelayMode::Cut).await;
    let request = order("both", 30, 3_000);
    let (east, west_outcome) =
        tokio::join!(submit(&fleet, 0, &request), submit(&fleet, 1, &request));
    assert_eq!(fleet.runners.starts("both"), 1, "{east:?} {west_outcome:?}");
    let far = submit(&fleet, 1, &order(&issued_east, 0, 2_000)).await;
    assert_eq!(refusal(&far), Some(RefusalVerdict::MayHaveRun));
    let near = submit(&fleet, 0, &order(&issued_east, 0, 2_000)).await;
    assert!(is_answer(&near, &issued_east), "{near:?}");
    paths.set_platform(&west, RelayMode::Blackhole);
    let outcome = submit(&fleet, 1, &order("alone", 0, 30_000)).await;
    assert_eq!(refusal(&outcome), Some(RefusalVerdict::NotRun));
    assert_eq!(fleet.runners.starts("alone"), 0);
    let issued_west = issue_id(&fleet, 1).await.to_string();
    let outcome = submit(&fleet, 1, &order(&issued_west, 0, 5_000)).await;
    assert!(is_answer(&outcome, &issued_west), "{outcome:?}");
    assert_eq!(fleet.runners.starts(&issued_west), 1);
    fleet.close().await;
}
