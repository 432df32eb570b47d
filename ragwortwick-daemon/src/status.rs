//! What this entry host and the fleet know, for operators and for peers.

use futures_util::future::join_all;
use ragwortwick_border::{FleetStatus, HostKind, HostStatus, PeerCall, PeerReply, ZoneStatus};
use ragwortwick_core::{DurationMs, HostName};

use crate::{App, Lifecycle};

/// Longest wait for one host's part: an operator sees the others within a second and a half, and
/// the host that did not answer by name.
const PART_TIMEOUT_MS: DurationMs = DurationMs(1_500);

/// `host_status` tells what this host knows by itself.
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

/// `fleet_status` asks every listed entry host and names those that did not answer.
pub async fn fleet_status(app: &App) -> FleetStatus {
    let peers = listed_peers(app);
    let answers = join_all(peers.iter().map(|peer| peer_status(app, peer)));
    let (own, answers) = tokio::join!(host_status(app), answers);
    let mut fleet = FleetStatus {
        hosts: vec![own],
        unreachable: Vec::new(),
    };
    for (peer, answer) in peers.into_iter().zip(answers) {
        match answer {
            Some(status) => fleet.hosts.push(status),
            None => fleet.unreachable.push(peer),
        }
    }
    fleet.hosts.sort_by(|a, b| a.host.cmp(&b.host));
    fleet
}

async fn owned_zone(app: &App) -> Option<ZoneStatus> {
    // A zone duty that is busy must not hide the rest of the host's status.
    tokio::time::timeout(PART_TIMEOUT_MS.into(), app.zone.status())
        .await
        .ok()
        .flatten()
}

async fn peer_status(app: &App, peer: &HostName) -> Option<HostStatus> {
    let call = app.peers.call(peer, PeerCall::Status, PART_TIMEOUT_MS);
    match tokio::time::timeout(PART_TIMEOUT_MS.into(), call).await {
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
