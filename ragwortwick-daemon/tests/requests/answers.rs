//! Proves that a caller gets the whole answer to its own request, or none.

use futures_util::future::join_all;
use ragwortwick_border::RefusalVerdict;
use ragwortwick_core::DurationMs;
use ragwortwick_standin::{Faults, RelayMode};

use crate::rig::{Rig, is_answer, order, refusal, request};

#[tokio::test(flavor = "multi_thread")]
async fn verify_answers_out_of_order_reach_their_own_callers() {
    // Every caller sees its own answer. Two hundred requests of different lengths run side by side
    // on few connections and end in another order than they began.
    let rig = Rig::open(4, 10).await;
    let calls = (0..200).map(|i| {
        let id = format!("r{i}");
        let rig = &rig;
        async move {
            let outcome = rig.submit(request(&id, (i * 37) % 50)).await;
            assert!(is_answer(&outcome, &id), "{id}: {outcome:?}");
        }
    });
    join_all(calls).await;
    rig.close().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn verify_answer_to_another_request_is_not_passed_on() {
    // The caller of `second` sees "may have run", never the answer to `first`. The runner answers
    // it with its previous answer once more.
    let rig = Rig::open(1, 10).await;
    assert!(is_answer(&rig.submit(request("first", 0)).await, "first"));
    rig.runners[0].set_faults(Faults {
        stale_answers: 1,
        ..Faults::default()
    });
    let outcome = rig.submit(order("second", 0)).await;
    assert_eq!(refusal(&outcome), Some(RefusalVerdict::MayHaveRun));
    assert_eq!(rig.starts("second"), 1);
    rig.close().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn verify_truncated_answer_is_not_passed_on_as_whole() {
    // The caller that may repeat sees its whole answer from a second try, the other one "may have
    // run". The runner's answer breaks off in the middle.
    let rig = Rig::open(1, 10).await;
    for id in ["again", "once"] {
        rig.runners[0].set_faults(Faults {
            only: vec!["run".to_owned()],
            cut_answers: 1,
            ..Faults::default()
        });
        if id == "again" {
            assert!(is_answer(&rig.submit(request(id, 0)).await, id));
        } else {
            let outcome = rig.submit(order(id, 0)).await;
            assert_eq!(refusal(&outcome), Some(RefusalVerdict::MayHaveRun));
            assert_eq!(rig.starts(id), 1);
        }
    }
    rig.close().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn verify_late_answer_never_meets_the_next_request() {
    // The caller of `slow` sees "may have run" before its deadline; its answer comes later. The
    // callers after it, towards the same runner, see their own answers.
    let rig = Rig::open(1, 10).await;
    assert!(is_answer(&rig.submit(request("warm", 0)).await, "warm"));
    let mut slow = order("slow", 400);
    slow.deadline_ms = Some(DurationMs(150));
    let outcome = rig.submit(slow).await;
    assert_eq!(refusal(&outcome), Some(RefusalVerdict::MayHaveRun));
    for i in 0..30 {
        let id = format!("next{i}");
        assert!(is_answer(&rig.submit(request(&id, 20)).await, &id));
    }
    rig.close().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn verify_duplicated_bytes_never_answer_another_request() {
    // The callers see their own answers. Something on the path sends every byte of the runner
    // twice, so that each answer's copy lies on the connection when the next request uses it.
    let rig = Rig::open(1, 10).await;
    rig.relays[0].set_mode(RelayMode::Duplicate);
    for i in 0..40 {
        let id = format!("r{i}");
        let outcome = rig.submit(request(&id, 0)).await;
        let is_own = is_answer(&outcome, &id);
        let is_refused = refusal(&outcome).is_some();
        assert!(is_own || is_refused, "{id}: {outcome:?}");
    }
    rig.close().await;
}
