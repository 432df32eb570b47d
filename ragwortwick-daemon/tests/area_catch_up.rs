//! Hosts that were away from the store find their way back, on a path that carries little.

use http::{Method, StatusCode};
use ragwortwick_standin::{AreaFleet, RelayMode, desired, wait_until};
use serde_json::{Value, json};

/// Versions that the operator confirms while a host is away.
const MISSED_VERSIONS: u64 = 60;

/// Customers of a large area; their keys are most of a desired state.
const CUSTOMERS: u64 = 200;

async fn open(hosts: usize, workers: usize) -> AreaFleet {
    let binary = env!("CARGO_BIN_EXE_ragwortwickd");
    let fleet = AreaFleet::open_in_force(binary, hosts, workers).await;
    fleet.expect("the area starts")
}

/// A desired state as large as that of an area with many customers.
fn large_desired(version: u64) -> Value {
    let mut state = desired(version);
    if let Some(customers) = state["Tenants"].as_array_mut() {
        customers.extend((0..CUSTOMERS).map(|number| {
            let keys = [
                format!("first-key-of-{number}"),
                format!("second-key-of-{number}"),
            ];
            json!({"Name": format!("customer-{number}"), "ApiKeys": keys, "Priority": 1})
        }));
    }
    state
}

/// A caller asks a host for a queue that was confirmed seconds ago, and gets 404; every other host serves it. The host's
/// path to the store had been lost while the operator went on with changes, and came back narrow. It asked for all
/// changes since the last that it knew, each of which holds the whole state, and gave up before the answer was whole; at
/// the next try the answer was longer still. The log showed `store_reachable is_reachable=false cause="… no answer within
/// 750 ms"` four times in five seconds while the link was full, and then `desired_state_in_force` 38 times within 10 ms.
#[tokio::test(flavor = "multi_thread")]
async fn verify_host_that_was_away_serves_the_newest_desired_state() {
    let fleet = open(1, 2).await;
    fleet.set_store_path(0, RelayMode::Cut);
    let behind = fleet.hosts[0].wait_for_event("feed_behind").await;
    behind.expect("the host has lost the store");
    for version in 2..MISSED_VERSIONS {
        let state = large_desired(version).to_string();
        fleet.store.put("op/config", state);
    }
    let mut newest = large_desired(MISSED_VERSIONS);
    newest["Routes"][0]["Prefix"] = json!("/added/");
    fleet.store.put("op/config", newest.to_string());
    fleet.set_store_path(0, RelayMode::Narrow);
    wait_until("the added queue is served", async || {
        let reply = fleet.call(Method::GET, 0, "/added/", None).await;
        reply.is_ok_and(|reply| reply.status == StatusCode::OK)
    })
    .await;
    fleet.close();
}
