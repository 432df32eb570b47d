//! The store's stand-in over HTTP: revisions, leases, watches and its faults.

use ragwortwick_border::{
    LeaseGrant, LeaseReply, StoreCas, StoreCasReply, StoreGet, StoreGetReply, StoreWatch,
    StoreWatchReply,
};
use ragwortwick_core::{DurationMs, Revision};
use ragwortwick_http::{HttpClient, HttpClientOptions, HttpError};
use ragwortwick_standin::{Faults, Store};

const LIMIT_MS: DurationMs = DurationMs(10_000);

struct Bench {
    store: Store,
    http: HttpClient,
    address: String,
}

impl Bench {
    async fn open() -> Self {
        let store = Store::bind("127.0.0.1:0").await.expect("a free port");
        Self {
            address: store.address().to_string(),
            store,
            http: HttpClient::new(&HttpClientOptions::default()),
        }
    }

    async fn cas(
        &self,
        key: &str,
        expected: u64,
        value: &str,
        lease_id: Option<u64>,
    ) -> Result<StoreCasReply, HttpError> {
        let cas = StoreCas {
            key: key.to_owned(),
            expected_revision: Revision(expected),
            value: Some(value.to_owned()),
            lease_id,
        };
        self.http
            .post(&self.address, "/v1/cas", &cas, LIMIT_MS)
            .await
    }

    async fn get(&self, key: &str) -> StoreGetReply {
        let get = StoreGet {
            key: key.to_owned(),
        };
        self.http
            .post(&self.address, "/v1/get", &get, LIMIT_MS)
            .await
            .expect("an answer")
    }
}

#[tokio::test]
async fn verify_cas_writes_only_on_the_expected_revision() {
    let bench = Bench::open().await;
    let first = bench.cas("a", 0, "1", None).await.expect("an answer");
    assert!(first.applied);
    let second = bench.cas("a", 0, "2", None).await.expect("an answer");
    assert!(!second.applied);
    assert_eq!(second.entry.expect("the entry").value, "1");
    let third = bench.cas("a", first.revision.0, "3", None).await;
    assert!(third.expect("an answer").applied);
    assert_eq!(bench.store.calls()["cas"], 3);
    bench.store.close().await;
}

#[tokio::test]
async fn verify_an_oversized_value_is_refused_with_its_field() {
    let bench = Bench::open().await;
    let value = "x".repeat((1 << 20) + 1);
    let refused = bench.cas("a", 0, &value, None).await;
    assert!(matches!(
        refused,
        Err(HttpError::Status { status: 413, .. })
    ));
    assert!(bench.get("a").await.entry.is_none());
    bench.store.close().await;
}

#[tokio::test]
async fn verify_a_lapsed_lease_takes_its_keys_and_wakes_watches() {
    let bench = Bench::open().await;
    let grant = LeaseGrant {
        ttl_ms: DurationMs(200),
    };
    let lease: LeaseReply = bench
        .http
        .post(&bench.address, "/v1/lease/grant", &grant, LIMIT_MS)
        .await
        .expect("an answer");
    let held = bench
        .cas("zones/z/owner", 0, "me", Some(lease.lease_id))
        .await;
    let held = held.expect("an answer");
    assert!(held.applied);
    let watch = StoreWatch {
        prefix: "zones/".to_owned(),
        after_revision: held.revision,
        timeout_ms: LIMIT_MS,
    };
    let seen: StoreWatchReply = bench
        .http
        .post(&bench.address, "/v1/watch", &watch, DurationMs(20_000))
        .await
        .expect("an answer");
    assert_eq!(seen.changes.len(), 1);
    assert!(seen.changes[0].entry.is_none());
    assert!(bench.get("zones/z/owner").await.entry.is_none());
    bench.store.close().await;
}

#[tokio::test]
async fn verify_a_lost_answer_leaves_its_effect() {
    let bench = Bench::open().await;
    bench.store.set_faults(Faults {
        lose_answers: 1,
        ..Faults::default()
    });
    let lost = bench.cas("a", 0, "1", None).await;
    assert!(
        matches!(lost, Err(HttpError::NoResponse { .. })),
        "{lost:?}"
    );
    assert_eq!(bench.get("a").await.entry.expect("the entry").value, "1");
    bench.store.close().await;
}

#[tokio::test]
async fn verify_a_store_that_is_down_changes_nothing() {
    let bench = Bench::open().await;
    bench.store.set_faults(Faults {
        down: true,
        ..Faults::default()
    });
    let refused = bench.cas("a", 0, "1", None).await;
    assert!(matches!(
        refused,
        Err(HttpError::Status { status: 503, .. })
    ));
    bench.store.set_faults(Faults::default());
    assert!(bench.get("a").await.entry.is_none());
    bench.store.close().await;
}
