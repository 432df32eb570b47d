//! Proves that a cut-off zone goes on serving and takes part again after the cut heals.

use futures_util::future::join_all;
use ragwortwick_standin::{Faults, RelayMode, sample_request, wait_until};

use crate::fleet::{
    is_answer, issue_id, one_zone, order, pause, starts_on, submit, two_zones_with_paths,
    wait_for_start,
};

#[tokio::test(flavor = "multi_thread")]
async fn verify_cut_off_zone_serves_with_its_own_runners() {
    // The callers of the cut-off zone see their answers, from its own runners, for as long as the
    // cut lasts; no byte passes to the other zone or the platform. After the cut heals, both zones'
    // runners are used again, with every answer whole.
    let fleet = two_zones_with_paths().await;
    let west = fleet.zones()[1].clone();
    let paths = fleet.paths.as_ref().expect("paths");
    paths.set_between(&west, RelayMode::Blackhole).await;
    paths.set_platform(&west, RelayMode::Blackhole);
    let east_before = starts_on(&fleet, 0) + starts_on(&fleet, 2);
    for number in 0..40 {
        let id = format!("cut-{number}");
        let outcome = submit(&fleet, 1, &sample_request(&id, 5, true)).await;
        assert!(is_answer(&outcome, &id), "{outcome:?}");
    }
    assert_eq!(starts_on(&fleet, 0) + starts_on(&fleet, 2), east_before);
    paths.set_between(&west, RelayMode::Pass).await;
    paths.set_platform(&west, RelayMode::Pass);
    wait_until("the other zone's runners are used again", async || {
        let calls = (0..10).map(|number| {
            let fleet = &fleet;
            async move {
                let id = format!("healed-{number}");
                let outcome = submit(fleet, 1, &sample_request(&id, 20, true)).await;
                assert!(is_answer(&outcome, &id), "{outcome:?}");
            }
        });
        join_all(calls).await;
        starts_on(&fleet, 0) + starts_on(&fleet, 2) > east_before
    })
    .await;
    fleet.close().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn verify_requests_are_answered_whole_while_the_store_is_down_or_slow() {
    // The callers see whole answers, also to orders under issued ids: nothing on this path needs the
    // store, whether it refuses every call or answers each after two seconds.
    let fleet = one_zone(3, 4).await;
    let down = Faults {
        down: true,
        ..Faults::default()
    };
    let slow = Faults {
        delay_ms: ragwortwick_core::DurationMs(2_000),
        ..Faults::default()
    };
    for (name, faults) in [("down", down), ("slow", slow)] {
        fleet.store.set_faults(faults);
        for number in 0..12 {
            let id = format!("{name}-{number}");
            let outcome = submit(&fleet, number % 3, &sample_request(&id, 5, true)).await;
            assert!(is_answer(&outcome, &id), "{outcome:?}");
            let issued = issue_id(&fleet, number % 3).await.to_string();
            let outcome = submit(&fleet, (number + 1) % 3, &order(&issued, 5, 5_000)).await;
            assert!(is_answer(&outcome, &issued), "{outcome:?}");
            assert_eq!(fleet.runners.starts(&issued), 1);
        }
    }
    fleet.close().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn verify_frozen_host_answers_whole_when_it_wakes() {
    // The callers of a frozen host see their own whole answers once it wakes; those of the other
    // hosts notice nothing meanwhile, also for runners that the frozen host shares with them.
    let fleet = one_zone(3, 4).await;
    let held: Vec<_> = (0..10)
        .map(|number| {
            let request = sample_request(&format!("held-{number}"), 300, true);
            let (caller, address) = (fleet.caller.clone(), fleet.address(0).to_owned());
            tokio::spawn(async move { caller.request(&address, &request).await })
        })
        .collect();
    wait_for_start(&fleet, "held-0").await;
    fleet.daemons[0].freeze().expect("a process");
    for number in 0..40 {
        let id = format!("free-{number}");
        let outcome = submit(&fleet, 1 + number % 2, &sample_request(&id, 20, true)).await;
        assert!(is_answer(&outcome, &id), "{outcome:?}");
    }
    pause(500).await;
    fleet.daemons[0].wake().expect("a process");
    for (number, held) in held.into_iter().enumerate() {
        let outcome = held.await.expect("no panic").expect("an outcome");
        assert!(
            is_answer(&outcome, &format!("held-{number}")),
            "{outcome:?}"
        );
    }
    fleet.close().await;
}
