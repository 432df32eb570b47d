//! The calling side: one link and one heartbeat per listed entry host.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use ragwortwick_border::{HostEntry, HostKind, PeerCall, PeerHello, PeerReply};
use ragwortwick_core::{DurationMs, HostName, ZoneName, log_event};
use tokio::sync::{Notify, watch};
use tokio::task::JoinHandle;

use super::link::PeerLink;
use super::{PEER_PROTOCOL, PeerError};
use crate::{Clock, Lifecycle, Settings, StateWatches};

/// Longest wait for a heartbeat's answer; then the connection counts as silent and is replaced.
const HEARTBEAT_TIMEOUT_MS: DurationMs = DurationMs(1_000);

/// Shortest interval of heartbeats to one peer.
const HEARTBEAT_MIN_MS: u64 = 1_000;

/// Interval added per peer, so that the bytes a host spends on heartbeats don't grow with the fleet.
const HEARTBEAT_PER_PEER_MS: u64 = 150;

/// `LocalLoad` is what this host tells its peers of its requests.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LocalLoad {
    /// Requests that run now.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Runners that were seen leaving here.
    pub leaving_runners: Vec<HostName>,
}

/// `PeerClient` calls other entry hosts; clones share the connections.
#[derive(Clone, Debug)]
pub struct PeerClient {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    host: HostName,
    zone: ZoneName,
    incarnation: u64,
    feeds: StateWatches,
    peers: Mutex<BTreeMap<HostName, Peer>>,
    seen: watch::Sender<Arc<BTreeMap<HostName, PeerHello>>>,
    load: watch::Sender<LocalLoad>,
    beat_now: Notify,
}

#[derive(Debug)]
struct Peer {
    link: Arc<PeerLink>,
    heartbeat: JoinHandle<()>,
}

impl PeerClient {
    /// `open` follows the host list and keeps a heartbeat to every other listed entry host.
    #[must_use]
    pub fn open(settings: &Settings, clock: Clock, feeds: StateWatches) -> Self {
        let shared = Arc::new(Shared {
            host: settings.host.clone(),
            zone: settings.zone.clone(),
            incarnation: clock.incarnation(),
            feeds,
            peers: Mutex::new(BTreeMap::new()),
            seen: watch::channel(Arc::new(BTreeMap::new())).0,
            load: watch::channel(LocalLoad::default()).0,
            beat_now: Notify::new(),
        });
        tokio::spawn(follow_hosts(Arc::clone(&shared)));
        Self { shared }
    }

    /// `call` sends one call to the named host and waits for its reply.
    ///
    /// # Errors
    ///
    /// Fails with `NotSent` if the peer can't have seen the call, else with `NoAnswer`.
    pub async fn call(
        &self,
        host: &HostName,
        call: PeerCall,
        timeout_ms: DurationMs,
    ) -> Result<PeerReply, PeerError> {
        let link = self.shared.link(host);
        let link = link.ok_or_else(|| PeerError::NotSent(format!("{host} is not listed")))?;
        link.call(&call, timeout_ms).await
    }

    /// `reachable` lists the peers whose last heartbeat was answered.
    #[must_use]
    pub fn reachable(&self) -> Vec<HostName> {
        self.shared.seen.borrow().keys().cloned().collect()
    }

    /// `listed` lists the other entry hosts of the platform's list.
    #[must_use]
    pub fn listed(&self) -> Vec<HostName> {
        self.shared.lock().keys().cloned().collect()
    }

    /// `follow` gives the last heartbeat of each reachable peer.
    #[must_use]
    pub fn follow(&self) -> watch::Receiver<Arc<BTreeMap<HostName, PeerHello>>> {
        self.shared.seen.subscribe()
    }

    /// `publish` sets what the heartbeats tell; news of a leaving runner goes out at once.
    pub fn publish(&self, load: LocalLoad) {
        let old = self.shared.load.send_replace(load);
        if old.leaving_runners != self.shared.load.borrow().leaving_runners {
            self.shared.beat_now.notify_waiters();
        }
    }

    /// `hello` is this host's own heartbeat message.
    #[must_use]
    pub fn hello(&self) -> PeerHello {
        self.shared.hello()
    }

    /// `heard` takes in the heartbeat of a peer that called here.
    pub(super) fn heard(&self, hello: PeerHello) {
        self.shared.note(hello);
    }
}

impl Shared {
    fn lock(&self) -> std::sync::MutexGuard<'_, BTreeMap<HostName, Peer>> {
        // A panic ends the process, so a poisoned lock is never met.
        self.peers.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn link(&self, host: &HostName) -> Option<Arc<PeerLink>> {
        self.lock().get(host).map(|peer| Arc::clone(&peer.link))
    }

    fn hello(&self) -> PeerHello {
        let load = self.load.borrow().clone();
        PeerHello {
            host: self.host.clone(),
            incarnation: self.incarnation,
            zone: self.zone.clone(),
            protocol: PEER_PROTOCOL,
            table_number: self.feeds.table.borrow().as_ref().map_or(0, |t| t.number),
            running_share: load.running,
            waiting: load.waiting,
            is_stopping: *self.feeds.lifecycle.borrow() == Lifecycle::Stopping,
            leaving_runners: load.leaving_runners,
            waiting_jobs: self.feeds.waiting_jobs.borrow().to_vec(),
            owned_epoch: self.feeds.owned_epoch.borrow().unwrap_or_default(),
        }
    }

    /// Only a peer that answers our own heartbeats is reachable; its calls here refresh what it says.
    fn note(&self, hello: PeerHello) {
        self.seen.send_if_modified(|seen| {
            if seen.get(&hello.host).is_none_or(|known| *known == hello) {
                return false;
            }
            Arc::make_mut(seen).insert(hello.host.clone(), hello);
            true
        });
    }

    fn set_reachable(&self, hello: PeerHello) {
        let host = hello.host.clone();
        let is_new = !self.seen.borrow().contains_key(&host);
        self.seen.send_if_modified(|seen| {
            if seen.get(&host) == Some(&hello) {
                return false;
            }
            Arc::make_mut(seen).insert(host.clone(), hello);
            true
        });
        if is_new {
            log_event!(Info, "peer_reachable", peer = host);
        }
    }

    fn set_unreachable(&self, host: &HostName, reason: &str) {
        let was_known = self.seen.send_if_modified(|seen| {
            seen.contains_key(host) && Arc::make_mut(seen).remove(host).is_some()
        });
        if was_known {
            log_event!(Warn, "peer_unreachable", peer = host, reason = reason);
        }
    }

    fn take_in(self: &Arc<Self>, hosts: &[HostEntry]) {
        let listed: BTreeMap<&HostName, &String> = hosts
            .iter()
            .filter(|entry| entry.kind == HostKind::Entry && entry.name != self.host)
            .filter_map(|entry| Some((&entry.name, entry.peer_address.as_ref()?)))
            .collect();
        let mut peers = self.lock();
        peers.retain(|host, peer| {
            let is_same = listed.get(host).is_some_and(|a| *a == peer.link.address());
            if !is_same {
                peer.heartbeat.abort();
                self.set_unreachable(host, "no longer listed under this address");
            }
            is_same
        });
        for (host, address) in listed {
            if !peers.contains_key(host) {
                let link = Arc::new(PeerLink::new(address.clone()));
                let beat = heartbeat(Arc::clone(self), host.clone(), Arc::clone(&link));
                let heartbeat = tokio::spawn(beat);
                peers.insert(host.clone(), Peer { link, heartbeat });
            }
        }
    }

    fn interval(&self) -> Duration {
        let peers = u64::try_from(self.lock().len()).unwrap_or(u64::MAX);
        let interval_ms = peers.saturating_mul(HEARTBEAT_PER_PEER_MS);
        Duration::from_millis(interval_ms.max(HEARTBEAT_MIN_MS))
    }
}

async fn follow_hosts(shared: Arc<Shared>) {
    let mut hosts = shared.feeds.hosts.clone();
    loop {
        let list = Arc::clone(&hosts.borrow_and_update());
        shared.take_in(&list.hosts);
        if hosts.changed().await.is_err() {
            return;
        }
    }
}

/// A connection between hosts can go silent for good while new ones work: calls on it would hang
/// until their deadlines. A heartbeat without an answer drops the connection, so that the next
/// call opens a new one; calls on the old one get `NoAnswer`, which is true.
async fn heartbeat(shared: Arc<Shared>, host: HostName, link: Arc<PeerLink>) {
    loop {
        let call = PeerCall::Hello(shared.hello());
        match link.call(&call, HEARTBEAT_TIMEOUT_MS).await {
            Ok(PeerReply::Hello(hello)) if hello.protocol != PEER_PROTOCOL => {
                let reason = format!("speaks protocol {}", hello.protocol);
                shared.set_unreachable(&host, &reason);
            }
            Ok(PeerReply::Hello(hello)) if hello.host == host => shared.set_reachable(hello),
            Ok(_) => {
                shared.set_unreachable(&host, "another host answers at its address");
                link.reset().await;
            }
            Err(error) => {
                link.reset().await;
                shared.set_unreachable(&host, &error.to_string());
            }
        }
        tokio::select! {
            () = tokio::time::sleep(shared.interval()) => {}
            () = shared.beat_now.notified() => {}
        }
    }
}
