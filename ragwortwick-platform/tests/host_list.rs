//! Checks the poller of the host list against the stand-in.

use std::time::Duration;

use ragwortwick_border::{HostEntry, HostKind, HostList, HostState};
use ragwortwick_core::DurationMs;
use ragwortwick_http::{ConditionalResponse, HttpClient, HttpClientOptions};
use ragwortwick_platform::{HostListOptions, HostListPoller};
use ragwortwick_standin::Store;

const TIMEOUT_MS: DurationMs = DurationMs(20_000);

/// Only a hung test reaches it.
const OUTER_LIMIT: Duration = Duration::from_secs(60);

fn runner(state: HostState) -> HostEntry {
    HostEntry {
        name: "r1".into(),
        kind: HostKind::Runner,
        state,
        zone: "east".into(),
        rack: None,
        address: "127.0.0.1:1".to_owned(),
        peer_address: None,
        accelerators: 0,
        slots: 10,
    }
}

#[tokio::test]
async fn verify_unchanged_list_is_not_sent_again() {
    let store = Store::bind("127.0.0.1:0").await.expect("loopback binds");
    store.put_host(runner(HostState::Live));
    let client = HttpClient::new(&HttpClientOptions::default());
    let address = store.address().to_string();
    let read = async |etag: Option<&str>| {
        let read = client.get_if_modified::<HostList>(&address, "/v1/hosts", etag, TIMEOUT_MS);
        read.await.expect("the stand-in answers")
    };
    let ConditionalResponse::Modified { value, etag } = read(None).await else {
        panic!("the first read is whole");
    };
    assert_eq!(value.hosts.len(), 1);
    assert_eq!(
        read(etag.as_deref()).await,
        ConditionalResponse::NotModified
    );
    store.put_host(runner(HostState::Leaving));
    let ConditionalResponse::Modified { value, .. } = read(etag.as_deref()).await else {
        panic!("a change is sent");
    };
    assert_eq!(value.hosts[0].state, HostState::Leaving);
}

#[tokio::test]
async fn verify_poller_sees_a_change_after_unchanged_reads() {
    // A runner that begins to leave gets no new work only if the poller sees the change, though all
    // reads before it were answered "not modified".
    let store = Store::bind("127.0.0.1:0").await.expect("loopback binds");
    store.put_host(runner(HostState::Live));
    let mut options = HostListOptions::new(store.address().to_string(), 1);
    options.interval_ms = DurationMs(10);
    let poller = HostListPoller::spawn(options);
    let mut hosts = poller.hosts();
    let seen = hosts.wait_for(|list| !list.hosts.is_empty());
    let seen = tokio::time::timeout(OUTER_LIMIT, seen).await;
    drop(seen.expect("within the limit").expect("the poller runs"));
    let reads = || store.calls().get("hosts").copied().unwrap_or_default();
    let reads_before = reads();
    while reads() < reads_before + 3 {
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
    store.put_host(runner(HostState::Leaving));
    let is_leaving = |list: &std::sync::Arc<HostList>| list.hosts[0].state == HostState::Leaving;
    let seen = tokio::time::timeout(OUTER_LIMIT, hosts.wait_for(is_leaving)).await;
    drop(seen.expect("within the limit").expect("the poller runs"));
    poller.close().await;
}
