//! Status of this entry host and of the fleet, for operators and peers.

use futures_util::future::join_all;
use ragwortwick_border::{FleetStatus, HostKind, HostStatus, PeerCall, PeerReply, ZoneStatus};
use ragwortwick_core::{DurationMs, HostName};

use crate::{App, Lifecycle};

/// Timeout for the status of one host: an operator gets the status of the other hosts, and the name of the
/// host that did not respond, within a second and a half.
const HOST_STATUS_TIMEOUT_MS: DurationMs = DurationMs(1_500);

/// `host_status` returns the status of this host.
pub async fn host_status(app: &App) -> HostStatus {
    let table_number = app.config.current().map_or(0, |table| table.number);
    let store_is_reachable = *app.watches.is_store_reachable.borrow();
    let lifecycle = *app.watches.lifecycle.borrow();
    let requests = app.requests.load();
    let owned_zone = owned_zone(app).await;
    HostStatus {
        host: app.settings.host.clone(),
        zone: app.settings.zone.clone(),
        version: env!("CARGO_PKG_VERSION").to_owned(),
        table_number,
        store_is_reachable,
        is_stopping: lifecycle == Lifecycle::Stopping,
        requests_in_flight: requests.running,
        requests_queued: requests.waiting,
        peers: app.peers.reachable(),
        runners: requests.runners,
        owned_zone,
    }
}

/// `fleet_status` queries all listed entry hosts and names those that did not respond.
pub async fn fleet_status(app: &App) -> FleetStatus {
    let peers = listed_peers(app);
    let responses = join_all(peers.iter().map(|peer| peer_status(app, peer)));
    let (own, responses) = tokio::join!(host_status(app), responses);
    let mut fleet = FleetStatus {
        hosts: vec![own],
        unreachable: Vec::new(),
    };
    for (peer, response) in peers.into_iter().zip(responses) {
        match response {
            Some(status) => fleet.hosts.push(status),
            None => fleet.unreachable.push(peer),
        }
    }
    fleet.hosts.sort_by(|a, b| a.host.cmp(&b.host));
    fleet
}

async fn owned_zone(app: &App) -> Option<ZoneStatus> {
    // A busy zone component must not delay the rest of the host's status.
    tokio::time::timeout(HOST_STATUS_TIMEOUT_MS.into(), app.zone.status())
        .await
        .ok()
        .flatten()
}

async fn peer_status(app: &App, peer: &HostName) -> Option<HostStatus> {
    let call = app
        .peers
        .call(peer, PeerCall::Status, HOST_STATUS_TIMEOUT_MS);
    match tokio::time::timeout(HOST_STATUS_TIMEOUT_MS.into(), call).await {
        Ok(Ok(PeerReply::Status(status))) => Some(status),
        _ => None,
    }
}

fn listed_peers(app: &App) -> Vec<HostName> {
    let hosts = app.watches.hosts.borrow();
    let mut peers: Vec<HostName> = hosts
        .hosts
        .iter()
        .filter(|entry| entry.kind == HostKind::Entry && entry.name != app.settings.host)
        .map(|entry| entry.name.clone())
        .collect();
    peers.sort();
    peers
}
