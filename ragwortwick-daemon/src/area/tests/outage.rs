//! Callers that arrive while the store is away.

use ragwortwick_adapter::StoreClient;
use ragwortwick_core::{DurationMs, TimeMs};
use ragwortwick_standin::{AreaStore, StoreFault};

use super::super::job_writer::{JobWriter, WriteOutcome};
use super::super::outage::OutagePolicy;
use super::super::replica::JobReplica;
use super::super::store_health::StoreHealth;
use super::super::tombstones::TombstoneLeases;
use crate::Clock;

/// How long a caller goes on trying.
const PATIENCE_MS: u64 = 3_000;

/// Number of times that a caller comes back.
const RETRIES: usize = 4;

/// Whether a caller that arrives while the store is away until the given time is served.
fn is_served(policy: OutagePolicy, arrives_ms: u64, away_until_ms: u64) -> bool {
    let gives_up_ms = arrives_ms + PATIENCE_MS;
    let mut now_ms = arrives_ms;
    for _ in 0..=RETRIES {
        let left_ms = gives_up_ms.saturating_sub(now_ms);
        now_ms += policy.hold_ms(DurationMs(left_ms)).0;
        if now_ms >= away_until_ms {
            return true;
        }
        now_ms += policy.retry_after_s(DurationMs(now_ms), 0.5) * 1_000;
        if now_ms >= gives_up_ms {
            return false;
        }
        if now_ms >= away_until_ms {
            return true;
        }
    }
    false
}

/// Load: callers arrive evenly during an outage of 4.2 s, each with 3 s of patience and four retries.
#[test]
fn verify_callers_who_wait_are_served_when_a_short_outage_ends() {
    let served = |hold_share| {
        let arrivals = (0..4_200).step_by(50);
        let policy = OutagePolicy { hold_share };
        arrivals
            .filter(|&at_ms| is_served(policy, at_ms, 4_200))
            .count()
    };
    let (at_once, held) = (served(0.0), served(0.25));
    assert!(held > at_once, "{held} and {at_once}");
}

/// Guards against callers who are all told the same time, and against one that outlasts any outage.
#[test]
fn verify_the_time_to_come_back_grows_with_the_outage_and_is_spread() {
    let policy = OutagePolicy { hold_share: 0.25 };
    let at = |outage_s: u64, spread| policy.retry_after_s(DurationMs(outage_s * 1_000), spread);
    assert_eq!(at(1, 0.5), 1);
    assert!(at(20, 0.5) > at(8, 0.5));
    assert!(at(20, 0.9) > at(20, 0.1));
    assert_eq!(at(100_000, 1.0), 30);
    let fixed = OutagePolicy { hold_share: 0.0 };
    assert_eq!(fixed.retry_after_s(DurationMs(20_000), 0.9), 1);
}

fn writer(address: &str, clock: Clock, hold_share: f64) -> JobWriter {
    let client = StoreClient::open(address);
    let health = StoreHealth::open(clock);
    JobWriter {
        store: client.clone(),
        health: health.clone(),
        replica: JobReplica::default(),
        tombstones: TombstoneLeases::open(client, health, clock),
        clock,
        outage_policy: OutagePolicy { hold_share },
    }
}

fn deadline(clock: Clock) -> TimeMs {
    clock.now() + DurationMs(60_000)
}

/// Guards against a hand-in that is refused although the store comes back while its caller still waits.
#[tokio::test]
async fn verify_a_hand_in_is_stored_once_the_store_accepts_writes_again() {
    let store = AreaStore::bind("127.0.0.1:0").await.expect("a free port");
    let clock = Clock::open();
    let writer = writer(&store.address().to_string(), clock, 0.5);
    store.set_fault(StoreFault::Unavailable);
    let record = (*super::record("00000000000000d1")).clone();
    let (health, client) = (writer.health.clone(), writer.store.clone());
    let accepted = tokio::spawn(async move { writer.accept(record, deadline(clock)).await });
    while health.outage_ms() == DurationMs(0) {
        tokio::time::sleep(DurationMs(5).into()).await;
    }
    store.set_fault(StoreFault::None);
    // One of the host's watches gets a reply.
    health.record(&client.get("any").await);
    assert_eq!(accepted.await.expect("no panic"), WriteOutcome::Stored);
    store.close();
}

/// Guards against a refusal of a hand-in that runs later: it is told as not stored, and must not be.
#[tokio::test]
async fn verify_a_refused_hand_in_is_not_stored() {
    let store = AreaStore::bind("127.0.0.1:0").await.expect("a free port");
    let clock = Clock::open();
    let writer = writer(&store.address().to_string(), clock, 0.0);
    store.set_fault(StoreFault::Unavailable);
    let record = (*super::record("00000000000000d2")).clone();
    let outcome = writer.accept(record, deadline(clock)).await;
    assert!(matches!(outcome, WriteOutcome::NotStored(_)), "{outcome:?}");
    store.set_fault(StoreFault::None);
    assert!(
        store
            .get("ragwortwick/jobs/00000000000000d2/record")
            .is_none()
    );
    store.close();
}
