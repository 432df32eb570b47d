//! Proves that ids chosen by callers run at most once, also when the store fails.

use std::time::Duration;

use futures_util::future::join_all;
use ragwortwick_border::{RefusalVerdict, RequestOutcome};
use ragwortwick_standin::{Faults, RelayMode};

use crate::rig::{Host, Rig, is_answer, order, refusal, within};

#[tokio::test(flavor = "multi_thread")]
async fn verify_two_hosts_with_one_id_run_it_once() {
    // One caller sees the answer, the other one "may have run". A balancer has sent the same order
    // to two entry hosts at once; both ask the store, and only one claim is made.
    let first = Rig::open(1, 10).await;
    let second = first.second_host().await;
    let (one, two) = tokio::join!(
        first.submit(order("o1", 50)),
        second.submit(order("o1", 50))
    );
    assert_eq!(first.starts("o1"), 1);
    let answers = [&one, &two].iter().filter(|o| is_answer(o, "o1")).count();
    assert_eq!(answers, 1, "{one:?} {two:?}");
    second.close();
    first.close().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn verify_repeats_at_one_host_get_the_answer_of_the_single_run() {
    // All callers see the answer: a retrying balancer sends one order five times at once and once
    // more later, all to the same host.
    let rig = Rig::open(2, 10).await;
    let outcomes = join_all((0..5).map(|_| rig.submit(order("o2", 50)))).await;
    assert!(outcomes.iter().all(|outcome| is_answer(outcome, "o2")));
    assert!(is_answer(&rig.submit(order("o2", 50)).await, "o2"));
    assert_eq!(rig.starts("o2"), 1);
    rig.close().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn verify_claim_whose_answer_was_lost_is_found_by_its_nonce() {
    // The caller sees its answer. The store has made the claim, but its answer is lost; the nonce
    // that is read back shows whose claim it is.
    let rig = Rig::open(1, 10).await;
    assert!(is_answer(&rig.submit(order("warm", 0)).await, "warm"));
    rig.store.set_faults(Faults {
        only: vec!["cas".to_owned()],
        lose_answers: 1,
        ..Faults::default()
    });
    let outcome = rig.submit(order("o3", 0)).await;
    assert!(is_answer(&outcome, "o3"), "{outcome:?}");
    assert_eq!(rig.starts("o3"), 1);
    rig.close().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn verify_store_away_refuses_chosen_ids_and_serves_issued_ones() {
    // With the store away the caller of a chosen id sees "not run" at once, with a time to come
    // back, and nothing starts. A caller that took its id from this host sees its answer, since the
    // host alone may run it and needs no claim. Once the store is back, the chosen id runs.
    let rig = Rig::open(1, 10).await;
    for mode in [RelayMode::Cut, RelayMode::Blackhole] {
        rig.store_relay.set_mode(mode);
        let id = format!("chosen-{mode:?}");
        let outcome = rig.submit(order(&id, 0)).await;
        assert_eq!(refusal(&outcome), Some(RefusalVerdict::NotRun));
        assert_eq!(rig.starts(&id), 0);
        let issued = rig.host.requests.issue_ids(1).expect("ids").request_ids;
        let issued = issued[0].as_str();
        assert!(is_answer(&rig.submit(order(issued, 0)).await, issued));
        assert!(is_answer(&rig.submit(order(issued, 0)).await, issued));
        assert_eq!(rig.starts(issued), 1);
    }
    rig.store_relay.set_mode(RelayMode::Pass);
    let outcome = submit_until(&rig.host, "chosen-Cut", RefusalVerdict::NotRun).await;
    assert!(is_answer(&outcome, "chosen-Cut"), "{outcome:?}");
    assert_eq!(rig.starts("chosen-Cut"), 1);
    rig.close().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn verify_not_run_leaves_the_id_free_for_another_host() {
    // The caller sees "not run" from one host and its answer from another: the first one had made
    // the claim, could not send, and took the claim back.
    let first = Rig::open(1, 10).await;
    let second = first.second_host().await;
    let failing = Faults {
        fail_starts: true,
        ..Faults::default()
    };
    first.runners[0].set_faults(failing);
    let outcome = first.submit(order("o4", 0)).await;
    assert_eq!(refusal(&outcome), Some(RefusalVerdict::NotRun));
    first.runners[0].set_faults(Faults::default());
    // The claim is taken back beside the refusal, not before it.
    let outcome = submit_until(&second, "o4", RefusalVerdict::MayHaveRun).await;
    assert_eq!(first.starts("o4"), 1);
    assert!(is_answer(&outcome, "o4"), "{outcome:?}");
    second.close();
    first.close().await;
}

/// Comes back with the same id for as long as it is told this verdict.
async fn submit_until(host: &Host, id: &str, passing: RefusalVerdict) -> RequestOutcome {
    within(async {
        loop {
            let outcome = host.submit(order(id, 0)).await;
            if refusal(&outcome) != Some(passing) {
                return outcome;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    })
    .await
}
