//! Proves by the runners' own logs that "not run" is true, and that the verdict comes at once.

use futures_util::future::join_all;
use ragwortwick_border::{RefusalVerdict, RequestOutcome};
use ragwortwick_core::{DurationMs, RequestId};
use ragwortwick_standin::{Faults, RelayMode};

use crate::rig::{Rig, is_answer, order, refusal, request, within};

/// Faults of the requests only: a runner that also fails its load reports gets no request.
fn on_runs() -> Faults {
    Faults {
        only: vec!["run".to_owned()],
        ..Faults::default()
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn verify_not_run_is_true_under_every_fault_of_a_runner() {
    // The callers see answers, "not run" and "may have run" while both runners have one of the
    // faults. The runners' logs show that nothing called "not run" was started, and nothing that
    // must not be repeated was started twice.
    let faults = [
        Faults {
            fail_starts: true,
            ..on_runs()
        },
        Faults {
            leaving: true,
            ..on_runs()
        },
        Faults {
            down: true,
            ..on_runs()
        },
        Faults {
            closing: true,
            ..on_runs()
        },
        Faults {
            lose_answers: 10,
            ..on_runs()
        },
        Faults {
            cut_answers: 10,
            ..on_runs()
        },
        Faults {
            answer_delay_ms: DurationMs(400),
            ..on_runs()
        },
        Faults::default(),
    ];
    let mut not_run = 0;
    for (round, fault) in faults.iter().enumerate() {
        let rig = Rig::open(2, 4).await;
        rig.runners.iter().for_each(|r| r.set_faults(fault.clone()));
        let calls = (0..20).map(|i| {
            let id = format!("r{round}-{i}");
            let mut submit = order(&id, 5);
            submit.repeatable = i % 2 == 0;
            submit.deadline_ms = Some(DurationMs(300));
            let rig = &rig;
            async move { (id, i % 2 == 0, rig.submit(submit).await) }
        });
        for (id, is_repeatable, outcome) in join_all(calls).await {
            let starts = rig.starts(&id);
            match refusal(&outcome) {
                None => assert!(is_answer(&outcome, &id) && starts >= 1, "{outcome:?}"),
                Some(RefusalVerdict::NotRun) => {
                    not_run += 1;
                    assert_eq!(starts, 0, "{id} was called not run: {outcome:?}");
                }
                Some(RefusalVerdict::MayHaveRun) => {}
            }
            assert!(is_repeatable || starts <= 1, "{id} ran {starts} times");
        }
        rig.close().await;
    }
    assert!(not_run > 20, "the faults caused {not_run} refusals");
}

#[tokio::test(flavor = "multi_thread")]
async fn verify_refusal_comes_at_once_with_a_time_to_come_back() {
    // The caller sees "not run" and a time to come back, long before its deadline of a minute:
    // every runner refuses to start anything.
    let rig = Rig::open(2, 4).await;
    let failing = Faults {
        fail_starts: true,
        ..Faults::default()
    };
    rig.runners
        .iter()
        .for_each(|r| r.set_faults(failing.clone()));
    let mut submit = request("r", 0);
    submit.deadline_ms = Some(DurationMs(60_000));
    let RequestOutcome::Refused(refusal) = rig.submit(submit).await else {
        panic!("expected a refusal");
    };
    assert_eq!(refusal.verdict, RefusalVerdict::NotRun);
    assert!(refusal.retry_after_ms.is_some());
    assert_eq!(rig.starts("r"), 0);
    rig.close().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn verify_killed_runner_is_not_noticed_by_callers_that_may_repeat() {
    // The callers see answers. One of two runners is cut off in the middle of their requests; each
    // goes on to the other runner within its deadline. With six slots a runner, at most six requests
    // are on the one that is cut off.
    let rig = Rig::open(2, 6).await;
    let calls = (0..12).map(|i| {
        let id = format!("r{i}");
        let rig = &rig;
        async move {
            let outcome = rig.submit(request(&id, 100)).await;
            (id, outcome)
        }
    });
    let cut = async {
        rig.wait_for_start("r0").await;
        rig.relays[0].set_mode(RelayMode::Cut);
    };
    let (outcomes, ()) = within(async { tokio::join!(join_all(calls), cut) }).await;
    let answered = outcomes.iter().filter(|(id, o)| is_answer(o, id)).count();
    // Two retries are paid by the twelve first tries; the others are told the truth.
    let truthful = outcomes
        .iter()
        .all(|(id, o)| is_answer(o, id) || rig.starts(id) <= 1);
    assert!(answered >= 8 && truthful, "{outcomes:?}");
    rig.close().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn verify_mistakes_are_named_and_nothing_is_sent() {
    // The caller sees which field is wrong and what was expected; no runner hears of the request.
    let rig = Rig::open(1, 4).await;
    let field = |request| {
        rig.host
            .requests
            .check(&request)
            .expect_err("a mistake")
            .field
    };
    let mut nameless = order("x", 0);
    nameless.request_id = None;
    assert_eq!(field(nameless), "request_id");
    let mut stranger = request("x", 0);
    stranger.customer = "nobody".into();
    assert_eq!(field(stranger), "customer");
    let mut unknown = request("x", 0);
    unknown.class = "nothing".into();
    assert_eq!(field(unknown), "class");
    let mut late = request("x", 0);
    late.deadline_ms = Some(DurationMs(0));
    assert_eq!(field(late), "deadline_ms");
    let mut forged = order("x", 0);
    forged.request_id = Some(RequestId::new("rw1~entry-0"));
    assert_eq!(field(forged), "request_id");
    assert_eq!(rig.starts("x"), 0);
    rig.close().await;
}
