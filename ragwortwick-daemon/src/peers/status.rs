//! This host's own row of the fleet's status.

use ragwortwick_border::HostStatus;

use crate::{App, Lifecycle};

/// `host_status` gathers this host's view from its duties.
pub(crate) async fn host_status(app: &App) -> HostStatus {
    let load = app.requests.load();
    let owned_zone = app.zone.status().await;
    HostStatus {
        host: app.settings.host.clone(),
        zone: app.settings.zone.clone(),
        version: env!("CARGO_PKG_VERSION").to_owned(),
        table_number: app.feeds.table.borrow().as_ref().map_or(0, |t| t.number),
        store_is_reachable: *app.feeds.store_is_reachable.borrow(),
        is_stopping: *app.feeds.lifecycle.borrow() == Lifecycle::Stopping,
        requests_in_flight: load.running,
        requests_queued: load.waiting,
        peers: app.peers.reachable(),
        runners: load.runners,
        owned_zone,
    }
}
