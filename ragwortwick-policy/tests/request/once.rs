//! Proves that ids of one home and the log of what ran keep a request from running twice.

use ragwortwick_core::{DurationMs, HostName, RequestId, TimeMs};
use ragwortwick_policy::{
    Begin, HOME_WINDOW_MS, IssuedId, IssuedIdState, RunKey, RunLog, RunLogOptions, Settlement,
};

fn key(id: &str) -> RunKey {
    RunKey {
        customer: "padana".into(),
        request_id: RequestId::new(id),
    }
}

fn log(max_entries: usize, max_answer_bytes: usize) -> RunLog<u32, &'static str> {
    RunLog::new(RunLogOptions {
        max_entries,
        max_answer_bytes,
    })
}

fn issued() -> IssuedId {
    IssuedId {
        home: HostName::new("entry-1"),
        incarnation: 77,
        issued_at: TimeMs(1_000),
        sequence: 3,
    }
}

#[test]
fn verify_issued_id_survives_its_text_form() {
    assert_eq!(IssuedId::parse(&issued().to_request_id()), Some(issued()));
    assert_eq!(IssuedId::parse(&RequestId::new("order-1")), None);
    assert_eq!(IssuedId::parse(&RequestId::new("rw1~a~b~c~d")), None);
}

#[test]
fn verify_home_runs_only_ids_that_it_surely_remembers() {
    // The caller sees "may have run" for an id of an earlier start of its home, and for one that is
    // older than the home's memory: both may have run without the home knowing.
    let id = issued();
    let now = TimeMs(2_000);
    assert_eq!(id.state(now, 77, 4), IssuedIdState::Usable);
    assert_eq!(id.state(now, 78, 4), IssuedIdState::OtherIncarnation);
    assert_eq!(id.state(now, 77, 3), IssuedIdState::NeverIssued);
    let late = id.issued_at + HOME_WINDOW_MS;
    assert_eq!(id.state(late, 77, 4), IssuedIdState::Expired);
}

#[test]
fn verify_repeats_join_the_run_and_get_its_answer() {
    // The caller's balancer sends one request three times: while it runs, after its answer, and
    // with another body under the same id. It runs once.
    let mut log = log(10, 100);
    let (now, later) = (TimeMs(0), TimeMs(1_000));
    assert_eq!(log.begin(now, &key("a"), 1, later, 5), Begin::Begun);
    assert_eq!(log.begin(now, &key("a"), 1, later, 6), Begin::Running(5));
    assert_eq!(log.begin(now, &key("a"), 2, later, 6), Begin::OtherRequest);
    log.settle(
        &key("a"),
        Settlement::Answered {
            answer: "yes",
            answer_bytes: 3,
        },
    );
    assert_eq!(
        log.begin(now, &key("a"), 1, later, 6),
        Begin::Answered("yes")
    );
}

#[test]
fn verify_not_run_frees_the_id_and_a_lost_outcome_never_does() {
    let mut log = log(10, 100);
    let (now, later) = (TimeMs(0), TimeMs(1_000));
    log.begin(now, &key("a"), 1, later, 5);
    log.settle(&key("a"), Settlement::NotRun);
    assert_eq!(log.begin(now, &key("a"), 1, later, 5), Begin::Begun);
    log.settle(&key("a"), Settlement::MayHaveRun);
    assert_eq!(log.begin(now, &key("a"), 1, later, 5), Begin::MayHaveRun);
}

#[test]
fn verify_memory_is_bounded_without_forgetting_early() {
    // The caller of a third request sees a refusal, not a second run of the first: the log holds
    // two. Old answers are dropped for their bytes, but that they ran is remembered.
    let mut log = log(2, 4);
    let (now, later) = (TimeMs(0), TimeMs(1_000));
    for id in ["a", "b"] {
        assert_eq!(log.begin(now, &key(id), 1, later, 5), Begin::Begun);
        log.settle(
            &key(id),
            Settlement::Answered {
                answer: "yes",
                answer_bytes: 3,
            },
        );
    }
    assert_eq!(log.begin(now, &key("c"), 1, later, 5), Begin::Full);
    assert_eq!(log.begin(now, &key("a"), 1, later, 5), Begin::MayHaveRun);
    assert_eq!(
        log.begin(now, &key("b"), 1, later, 5),
        Begin::Answered("yes")
    );
    let after = later + DurationMs(1);
    assert_eq!(log.begin(after, &key("c"), 1, after, 5), Begin::Begun);
    assert_eq!(log.len(), 1);
}
