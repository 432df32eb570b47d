//! Test double of the key-value store: keys with revisions, leases, and the event history for watches.

use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::net::SocketAddr;
use std::panic::RefUnwindSafe;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use gotham::state::StateData;
use ragwortwick_core::{DurationMs, TimeMs};
use ragwortwick_http::{Server, ServerOptions};
use serde_json::Value;
use tokio::sync::watch;
use tokio::task::JoinHandle;

use super::store_routes;
use crate::faults::lock;
use crate::now;

/// Interval at which expired leases are removed.
const LEASE_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Number of events retained for watches.
const MAX_HISTORY_EVENTS: usize = 5_000;

/// Prefix of the workers' entries.
const WORKERS_PREFIX: &str = "servers/";

/// `KvItem` holds the value and the metadata of one key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KvItem {
    /// The value.
    pub value: Vec<u8>,
    /// Revision of the last change.
    pub revision: u64,
    /// Revision at which the key was created.
    pub created: u64,
    /// Lease that the key is attached to; zero for none.
    pub lease: u64,
}

/// `KvEvent` is one change of a key; it has no item if the key was removed.
#[derive(Clone, Debug)]
pub(super) struct KvEvent {
    pub(super) revision: u64,
    pub(super) key: String,
    pub(super) item: Option<KvItem>,
}

/// `StoreFault` selects a fault that the store simulates.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StoreFault {
    /// Requests are served normally.
    #[default]
    None,
    /// Requests are accepted and never answered.
    Unresponsive,
    /// Every request is rejected with status 503.
    Unavailable,
    /// Transactions are applied, and every second response is dropped.
    DropsReplies,
}

#[derive(Debug, Default)]
pub(super) struct Kv {
    pub(super) items: BTreeMap<String, KvItem>,
    pub(super) revision: u64,
    pub(super) history: VecDeque<KvEvent>,
    /// Revision of the last change of a worker's entry, and of any other key.
    worker_revision: u64,
    other_revision: u64,
    /// Revision up to which events have been compacted.
    pub(super) compacted_revision: u64,
    /// TTL and expiry time of each lease.
    leases: BTreeMap<u64, (DurationMs, TimeMs)>,
    last_lease: u64,
    pub(super) fault: StoreFault,
    pub(super) transactions: u64,
    /// Key whose writes are deferred, if any.
    pub(super) deferred_key: Option<String>,
    /// Bodies of the deferred transactions, in the order of their arrival.
    pub(super) deferred: Vec<Value>,
}

impl Kv {
    pub(super) fn put(&mut self, key: &str, value: Vec<u8>, lease: u64) {
        self.revision += 1;
        let created = self.items.get(key).map_or(self.revision, |old| old.created);
        let item = KvItem {
            value,
            revision: self.revision,
            created,
            lease,
        };
        self.items.insert(key.to_owned(), item.clone());
        self.record(key, Some(item));
    }

    pub(super) fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            self.record(key, None);
        }
    }

    fn record(&mut self, key: &str, item: Option<KvItem>) {
        if key.starts_with(WORKERS_PREFIX) {
            self.worker_revision = self.revision;
        } else {
            self.other_revision = self.revision;
        }
        self.history.push_back(KvEvent {
            revision: self.revision,
            key: key.to_owned(),
            item,
        });
        if self.history.len() > MAX_HISTORY_EVENTS
            && let Some(oldest) = self.history.pop_front()
        {
            self.compacted_revision = oldest.revision;
        }
    }

    pub(super) fn grant_lease(&mut self, now: TimeMs, ttl_ms: DurationMs) -> u64 {
        self.last_lease += 1;
        self.leases.insert(self.last_lease, (ttl_ms, now + ttl_ms));
        self.last_lease
    }

    pub(super) fn has_lease(&self, lease: u64) -> bool {
        self.leases.contains_key(&lease)
    }

    pub(super) fn renew_lease(&mut self, now: TimeMs, lease: u64) -> Option<DurationMs> {
        let (ttl_ms, expires_at) = self.leases.get_mut(&lease)?;
        *expires_at = now + *ttl_ms;
        Some(*ttl_ms)
    }

    pub(super) fn revoke_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let keys: Vec<String> = self
            .items
            .iter()
            .filter(|(_, item)| item.lease == lease)
            .map(|(key, _)| key.clone())
            .collect();
        for key in keys {
            self.remove(&key);
        }
    }

    fn expire_leases(&mut self, now: TimeMs) {
        let expired: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, (_, expires_at))| now >= *expires_at)
            .map(|(lease, _)| *lease)
            .collect();
        for lease in expired {
            self.revoke_lease(lease);
        }
    }
}

/// `SharedKv` is the store state shared by the request handlers.
#[derive(Clone, Debug, StateData)]
pub(super) struct SharedKv {
    kv: Arc<Mutex<Kv>>,
    pub(super) changed: watch::Sender<u64>,
    /// Changes of the workers' entries, which are far more than all others.
    workers_changed: watch::Sender<u64>,
}

// gotham requires this marker trait; a panic in a test double fails its test anyway.
impl RefUnwindSafe for SharedKv {}

impl SharedKv {
    /// Runs a closure on the store content and wakes the watches if the content or the fault changed.
    pub(super) fn with<R>(&self, operation: impl FnOnce(&mut Kv) -> R) -> R {
        let mut kv = lock(&self.kv);
        let before = (kv.other_revision, kv.compacted_revision, kv.fault);
        let workers_before = kv.worker_revision;
        let result = operation(&mut kv);
        let is_changed = (kv.other_revision, kv.compacted_revision, kv.fault) != before;
        let are_workers_changed = kv.worker_revision != workers_before;
        drop(kv);
        if is_changed {
            self.changed.send_modify(|count| *count += 1);
        }
        if is_changed || are_workers_changed {
            self.workers_changed.send_modify(|count| *count += 1);
        }
        result
    }

    /// Returns the changes of the keys with a prefix, and possibly of others.
    pub(super) fn changes_under(&self, prefix: &str) -> watch::Receiver<u64> {
        if prefix.starts_with(WORKERS_PREFIX) {
            self.workers_changed.subscribe()
        } else {
            self.changed.subscribe()
        }
    }
}

/// `AreaStore` serves the store protocol of an area over HTTP.
#[derive(Debug)]
pub struct AreaStore {
    shared: SharedKv,
    server: Server,
    lease_checks: JoinHandle<()>,
}

impl AreaStore {
    /// `bind` starts an empty store on the given address.
    ///
    /// # Errors
    ///
    /// Fails if the address can't be bound.
    pub async fn bind(address: &str) -> io::Result<Self> {
        let shared = SharedKv {
            kv: Arc::default(),
            changed: watch::Sender::new(0),
            workers_changed: watch::Sender::new(0),
        };
        let router = store_routes::router(shared.clone());
        let server = Server::bind(address, router, ServerOptions::default()).await?;
        let lease_store = shared.clone();
        let lease_checks = tokio::spawn(async move {
            loop {
                tokio::time::sleep(LEASE_CHECK_INTERVAL).await;
                lease_store.with(|kv| {
                    // An unresponsive store does not expire leases either.
                    if kv.fault != StoreFault::Unresponsive {
                        kv.expire_leases(now());
                    }
                });
            }
        });
        Ok(Self {
            shared,
            server,
            lease_checks,
        })
    }

    /// `address` returns the address that the store listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// `put` writes a key without a lease, as an operator or a worker does.
    pub fn put(&self, key: &str, value: impl Into<Vec<u8>>) {
        let value = value.into();
        self.shared.with(|kv| kv.put(key, value, 0));
    }

    /// `remove` removes a key.
    pub fn remove(&self, key: &str) {
        self.shared.with(|kv| kv.remove(key));
    }

    /// `get` reads a key regardless of the simulated fault.
    #[must_use]
    pub fn get(&self, key: &str) -> Option<KvItem> {
        self.shared.with(|kv| kv.items.get(key).cloned())
    }

    /// `changes_under` counts the retained events of all keys with the given prefix.
    #[must_use]
    pub fn changes_under(&self, prefix: &str) -> usize {
        self.shared.with(|kv| {
            let events = kv.history.iter();
            events.filter(|event| event.key.starts_with(prefix)).count()
        })
    }

    /// `expire_lease_of` ends the lease that a key is attached to, with all its keys.
    pub fn expire_lease_of(&self, key: &str) {
        self.shared.with(|kv| {
            if let Some(lease) = kv.items.get(key).map(|item| item.lease) {
                kv.revoke_lease(lease);
            }
        });
    }

    /// `set_fault` selects the fault that the store simulates.
    pub fn set_fault(&self, fault: StoreFault) {
        self.shared.with(|kv| kv.fault = fault);
    }

    /// `defer_writes_of` holds back all transactions that write a key, and does not reply to them.
    pub fn defer_writes_of(&self, key: &str) {
        self.shared
            .with(|kv| kv.deferred_key = Some(key.to_owned()));
    }

    /// `deferred_writes` counts the transactions that are held back.
    #[must_use]
    pub fn deferred_writes(&self) -> usize {
        self.shared.with(|kv| kv.deferred.len())
    }

    /// `stop_deferring` serves writes of the key again; those held back so far stay held back.
    pub fn stop_deferring(&self) {
        self.shared.with(|kv| kv.deferred_key = None);
    }

    /// `apply_deferred` carries out the transactions that are held back, if their conditions hold by now.
    pub fn apply_deferred(&self) {
        self.shared.with(|kv| {
            for body in std::mem::take(&mut kv.deferred) {
                // Nobody waits for the response any more.
                let _ = store_routes::apply_txn(kv, &body);
            }
        });
    }

    /// `compact` discards the event history, as a compaction of the store does.
    pub fn compact(&self) {
        self.shared.with(|kv| {
            kv.history.clear();
            kv.compacted_revision = kv.revision;
        });
    }

    /// `close` shuts the store down.
    pub fn close(self) {
        self.lease_checks.abort();
        // Pending watches would delay a graceful shutdown; dropping the handle stops the server at once.
        drop(self.server);
    }
}
