//! Connections to the store that fall silent together, while new ones work.

use futures_util::future::join_all;
use ragwortwick_adapter::StoreClient;
use ragwortwick_core::{DurationMs, Revision};
use ragwortwick_standin::{AreaStore, Relay, RelayMode};

/// Connections that are open when they fall silent, as many as a client keeps idle.
const CONNECTIONS: u64 = 6;

/// Long enough for all connections to be in use at once.
const WATCH_WAIT_MS: DurationMs = DurationMs(300);

/// Guards against a host whose calls to the store time out one after the other, once for each idle connection.
#[tokio::test]
async fn verify_one_timeout_is_enough_to_leave_silent_connections() {
    let store = AreaStore::bind("127.0.0.1:0").await.expect("a free port");
    let relay = Relay::bind("127.0.0.1:0", store.address()).await;
    let relay = relay.expect("a free port");
    let client = StoreClient::open(&relay.address().to_string());
    let watches = (0..CONNECTIONS).map(|_| client.watch("a/", Revision(0), WATCH_WAIT_MS));
    for reply in join_all(watches).await {
        assert!(reply.is_ok(), "{reply:?}");
    }
    relay.set_mode(RelayMode::SilenceOpen);
    let mut timeouts = 0;
    while client.get("a/b").await.is_err() {
        timeouts += 1;
    }
    assert_eq!(timeouts, 1);
    relay.close();
    store.close();
}
