//! Turns the table, the host list and the peers' heartbeats into events of the request duty.

use std::collections::{BTreeMap, BTreeSet};

use ragwortwick_border::{HostKind, HostList, HostState};
use ragwortwick_core::HostName;
use ragwortwick_policy::{RequestEvent, RunnerInfo};

use super::duty::{DutyEvent, DutyRing};
use super::sender::Sender;
use crate::StateWatches;
use crate::peers::PeerClient;

/// `follow_table` hands on every table that goes into force.
pub(super) async fn follow_table(feeds: StateWatches, ring: DutyRing) {
    let mut table = feeds.table;
    loop {
        let current = table.borrow_and_update().clone();
        if let Some(current) = current {
            let event = RequestEvent::TableInForce(current);
            ring.deliver(DutyEvent::Policy(event)).await;
        }
        if table.changed().await.is_err() {
            return;
        }
    }
}

/// `follow_hosts` hands on every change of the platform's list of runners.
pub(super) async fn follow_hosts(feeds: StateWatches, ring: DutyRing, sender: Sender) {
    let mut hosts = feeds.hosts;
    loop {
        let list = hosts.borrow_and_update().clone();
        sender.set_addresses(&addresses(&list));
        let event = RequestEvent::RunnersListed(runners(&list));
        ring.deliver(DutyEvent::Policy(event)).await;
        if hosts.changed().await.is_err() {
            return;
        }
    }
}

/// `follow_peers` hands on how many hosts share the runners and which runners peers saw leaving.
pub(super) async fn follow_peers(peers: PeerClient, ring: DutyRing) {
    let mut seen = peers.follow();
    let mut known_leaving: BTreeSet<HostName> = BTreeSet::new();
    loop {
        let hellos = seen.borrow_and_update().clone();
        let sharing = hellos.values().filter(|hello| !hello.is_stopping).count();
        let entry_hosts = u32::try_from(sharing + 1).unwrap_or(u32::MAX);
        let event = RequestEvent::EntryHostsKnown(entry_hosts);
        ring.deliver(DutyEvent::Policy(event)).await;
        let leaving: BTreeSet<HostName> = hellos
            .values()
            .flat_map(|hello| hello.leaving_runners.iter().cloned())
            .collect();
        for runner in leaving.difference(&known_leaving) {
            let event = RequestEvent::LeavingSeenByPeer(runner.clone());
            ring.deliver(DutyEvent::Policy(event)).await;
        }
        known_leaving = leaving;
        if seen.changed().await.is_err() {
            return;
        }
    }
}

fn addresses(list: &HostList) -> BTreeMap<HostName, String> {
    let runners = list.hosts.iter().filter(|e| e.kind == HostKind::Runner);
    runners
        .map(|entry| (entry.name.clone(), entry.address.clone()))
        .collect()
}

fn runners(list: &HostList) -> Vec<RunnerInfo> {
    let runners = list.hosts.iter().filter(|e| e.kind == HostKind::Runner);
    runners
        .map(|entry| RunnerInfo {
            runner: entry.name.clone(),
            zone: entry.zone.clone(),
            slots: entry.slots,
            is_leaving: entry.state == HostState::Leaving,
        })
        .collect()
}
