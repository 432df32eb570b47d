//! Proves that a cut-off zone goes on serving and takes part again after the cut heals.

use futures_util::future::join_all;
use ragwortwick_standin::{RelayMode, sample_request, wait_until};

use crate::fleet::{is_answer, starts_on, submit, two_zones_with_paths};

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
