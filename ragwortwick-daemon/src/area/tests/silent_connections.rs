//! Connections to the store that fall silent together, while new ones work.

use futures_util::future::join_all;
use ragwortwick_adapter::{MAX_IDLE_PER_WORKER, StoreClient, watch_timeout_ms};
use ragwortwick_core::{DurationMs, Revision};
use ragwortwick_standin::{AreaStore, Relay, RelayMode};

use super::super::replica_feed::{COORDINATOR_WATCH_WAIT_MS, FAILURE_DELAY_MS};
use super::super::reply_time::MAX_TIMEOUT_MS;

/// Connections that are open when they fall silent, as many as a client keeps idle.
const CONNECTIONS: u64 = 6;

/// Long enough for all connections to be in use at once.
const WATCH_WAIT_MS: DurationMs = DurationMs(300);

/// Time within which the runs of a cancelled job are to be stopped, at the least.
const CANCEL_MS: f64 = 3_000.0;

/// Guards against a stop that comes too late, because the coordinator's connections to the store and to the
/// worker have fallen silent, and each has to time out before the next one is used.
#[test]
#[expect(clippy::cast_precision_loss, reason = "the times are below a minute")]
fn verify_silent_connections_delay_a_stop_by_less_than_a_cancel_may_take() {
    let watch_ms = watch_timeout_ms(COORDINATOR_WATCH_WAIT_MS) + FAILURE_DELAY_MS;
    let order_ms = MAX_IDLE_PER_WORKER as f64 * MAX_TIMEOUT_MS;
    let delay_ms = watch_ms.0 as f64 + order_ms;
    assert!(delay_ms < CANCEL_MS, "{delay_ms} ms");
}

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
