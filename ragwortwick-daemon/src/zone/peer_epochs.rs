//! Learns of a newer owner of the zone from the heartbeats of its hosts.

use ragwortwick_core::{Epoch, ZoneName};
use tokio::sync::watch;

use crate::PeerClient;

/// `follow_peer_epochs` reports the highest epoch under which a peer says that it owns the zone.
///
/// An owner that is cut from the store goes on until it sees a higher epoch. Workers show it, but a
/// zone without running work has no order under way; the heartbeats of the zone's hosts show it too.
pub(super) async fn follow_peer_epochs(
    zone: ZoneName,
    peers: PeerClient,
    fenced: watch::Sender<Epoch>,
) {
    let mut heard = peers.follow();
    while heard.changed().await.is_ok() {
        let highest = heard
            .borrow_and_update()
            .values()
            .filter(|hello| hello.zone == zone)
            .map(|hello| hello.owned_epoch)
            .max()
            .unwrap_or_default();
        report_epoch(&fenced, highest);
    }
}

/// `report_epoch` raises the highest epoch seen, and wakes those that follow it if it rose.
pub(super) fn report_epoch(fenced: &watch::Sender<Epoch>, shown: Epoch) {
    fenced.send_if_modified(|known| {
        let is_higher = *known < shown;
        *known = shown.max(*known);
        is_higher
    });
}
