//! Writes whose answers are lost, late or refused.

use ragwortwick_core::{DurationMs, Revision};
use ragwortwick_platform::{
    PrefixWatch, StoreClient, StoreError, StoreOptions, StoreWrite, WatchNews, WriteOutcome,
};
use ragwortwick_standin::{Faults, Store, StoreState};

fn client(store: &Store) -> StoreClient {
    let mut options = StoreOptions::new(store.address().to_string(), 7);
    options.call_timeout_ms = DurationMs(300);
    options.write_limit_ms = DurationMs(1_200);
    StoreClient::open(options)
}

fn create(value: &str) -> StoreWrite {
    StoreWrite {
        key: "jobs/a".to_owned(),
        expected_revision: Revision(0),
        value: Some(value.to_owned()),
        lease_id: None,
    }
}

async fn store() -> Store {
    Store::bind("127.0.0.1:0").await.expect("a free port")
}

// The caller sees one accepted write. The store applies it, then loses two answers; the client
// repeats the same write, is told that it does not apply, and finds its own nonce in the entry.
#[tokio::test]
async fn verify_write_with_lost_answers_is_found_written() {
    let store = store().await;
    store.set_faults(Faults {
        lose_answers: 2,
        ..Faults::default()
    });
    let outcome = client(&store).write(&create("nonce-1")).await;
    assert_eq!(outcome, Ok(WriteOutcome::Written(Revision(1))));
    assert_eq!(store.with_state(|state| state.revision()), Revision(1));
}

// A caller whose write met another's sees a conflict even if the first answer was lost. The other
// value stands in the store before; the lost answer said so, and the repeat says it again.
#[tokio::test]
async fn verify_conflict_survives_a_lost_answer() {
    let store = store().await;
    let other = client(&store).write(&create("other")).await;
    assert_eq!(other, Ok(WriteOutcome::Written(Revision(1))));
    store.set_faults(Faults {
        lose_answers: 1,
        ..Faults::default()
    });
    let outcome = client(&store).write(&create("mine")).await;
    let Ok(WriteOutcome::Conflict {
        found,
        may_have_been_written,
    }) = outcome
    else {
        panic!("expected a conflict, got {outcome:?}");
    };
    assert_eq!(found.map(|entry| entry.value).as_deref(), Some("other"));
    assert!(may_have_been_written);
}

// A caller must not be told "not written" when nobody knows. The store applies the write and never
// answers; every try times out, and the error says that it may have taken effect, as it has.
#[tokio::test]
async fn verify_silence_after_the_effect_is_no_refusal() {
    let store = store().await;
    store.set_faults(Faults {
        answer_delay_ms: DurationMs(60_000),
        ..Faults::default()
    });
    let error = client(&store).write(&create("nonce-1")).await;
    let error = error.expect_err("no answer can come");
    assert!(error.may_have_taken_effect(), "{error}");
    assert_eq!(store.with_state(|state| state.revision()), Revision(1));
}

// A caller is told "not written" only when that is sure: the store refuses before any effect.
#[tokio::test]
async fn verify_store_that_is_down_wrote_nothing() {
    let store = store().await;
    store.set_faults(Faults {
        down: true,
        ..Faults::default()
    });
    let error = client(&store).write(&create("nonce-1")).await;
    assert!(matches!(error, Err(StoreError::NotSent(_))), "{error:?}");
    assert_eq!(store.with_state(|state| state.revision()), Revision(0));
}

// One unknown try is not forgotten by later ones that surely did not arrive: the first answer is
// lost after the effect, then the store goes down, and the outcome stays unknown.
#[tokio::test]
async fn verify_unknown_try_is_not_forgotten() {
    let store = store().await;
    let store_client = client(&store);
    store.set_faults(Faults {
        answer_delay_ms: DurationMs(60_000),
        ..Faults::default()
    });
    let write = create("nonce-1");
    let writing = store_client.write(&write);
    let going_down = async {
        while store.with_state(|state| state.revision()) == Revision(0) {
            tokio::task::yield_now().await;
        }
        store.set_faults(Faults {
            down: true,
            ..Faults::default()
        });
    };
    let (outcome, ()) = tokio::join!(writing, going_down);
    assert!(
        matches!(outcome, Err(StoreError::NoAnswer(_))),
        "{outcome:?}"
    );
}

// Whoever follows a prefix sees every value at least once, however often the watch repeats itself,
// and lists again when the store has dropped the changes in between.
#[tokio::test]
async fn verify_watch_lists_after_a_gap_and_stands_repeats() {
    let store = store().await;
    let writer = client(&store);
    let mut watch = PrefixWatch::open(writer.clone(), "jobs/", DurationMs(200));
    assert_eq!(watch.next().await, Ok(WatchNews::Listed(Vec::new())));
    store.set_faults(Faults {
        repeat_changes: true,
        ..Faults::default()
    });
    writer.write(&create("one")).await.expect("written");
    let Ok(WatchNews::Changed(changes)) = watch.next().await else {
        panic!("expected changes");
    };
    assert_eq!(changes.len(), 2);
    let other = StoreWrite {
        key: "other/b".to_owned(),
        ..create("filler")
    };
    let Ok(WriteOutcome::Written(mut revision)) = writer.write(&other).await else {
        panic!("expected a write");
    };
    store.with_state(|state| {
        for number in 0..20_000 {
            let cas = ragwortwick_border::StoreCas {
                key: "other/b".to_owned(),
                expected_revision: revision,
                value: Some(number.to_string()),
                lease_id: None,
            };
            revision = state.cas(ragwortwick_standin::now(), cas).revision;
        }
    });
    let Ok(WatchNews::Listed(entries)) = watch.next().await else {
        panic!("expected a listing after the gap");
    };
    assert_eq!(entries.len(), 1);
}

// A store that comes back with an older content must not be followed from a revision that it has
// not reached: changes below it would be missed for as long as it takes to catch up.
#[tokio::test]
async fn verify_watch_lists_when_the_store_went_back() {
    let store = store().await;
    let writer = client(&store);
    writer.write(&create("one")).await.expect("written");
    let mut watch = PrefixWatch::open(writer, "jobs/", DurationMs(200));
    assert!(matches!(watch.next().await, Ok(WatchNews::Listed(_))));
    store.with_state(|state| *state = StoreState::default());
    assert_eq!(watch.next().await, Ok(WatchNews::Listed(Vec::new())));
}
