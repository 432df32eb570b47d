//! The store's content: keys with revisions, leases, and a history for watches.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::panic::RefUnwindSafe;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use gotham::state::StateData;
use ragwortwick_core::{DurationMs, TimeMs};
use ragwortwick_http::{Server, ServerOptions};
use tokio::sync::watch;
use tokio::task::JoinHandle;

use super::store_routes;
use crate::faults::lock;
use crate::now;

/// How often lapsed leases are looked for.
const LEASE_CHECK: Duration = Duration::from_millis(20);

/// Events kept for watches.
const HISTORY_LENGTH: usize = 5_000;

/// `KvItem` is one key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KvItem {
    /// The value.
    pub value: Vec<u8>,
    /// Revision of its last change.
    pub revision: u64,
    /// Revision of its creation.
    pub created: u64,
    /// Lease that it hangs on, zero for none.
    pub lease: u64,
}

/// `KvEvent` is one change; none as item for a removal.
#[derive(Clone, Debug)]
pub(super) struct KvEvent {
    pub(super) revision: u64,
    pub(super) key: String,
    pub(super) item: Option<KvItem>,
}

/// `StoreFault` is how the store misbehaves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StoreFault {
    /// It answers.
    #[default]
    None,
    /// It takes calls and never answers.
    Unresponsive,
    /// It refuses every call with 503.
    Unavailable,
    /// It does every second change and loses the answer.
    DropsReplies,
}

#[derive(Debug, Default)]
pub(super) struct Kv {
    pub(super) items: BTreeMap<String, KvItem>,
    pub(super) revision: u64,
    pub(super) history: Vec<KvEvent>,
    /// Revision up to which the history is dropped.
    pub(super) dropped: u64,
    leases: BTreeMap<u64, (DurationMs, TimeMs)>,
    last_lease: u64,
    pub(super) trouble: StoreFault,
    pub(super) changes: u64,
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
        self.history.push(KvEvent {
            revision: self.revision,
            key: key.to_owned(),
            item,
        });
        if self.history.len() > HISTORY_LENGTH {
            let oldest = self.history.remove(0);
            self.dropped = oldest.revision;
        }
    }

    pub(super) fn grant(&mut self, now: TimeMs, ttl_ms: DurationMs) -> u64 {
        self.last_lease += 1;
        self.leases.insert(self.last_lease, (ttl_ms, now + ttl_ms));
        self.last_lease
    }

    pub(super) fn has_lease(&self, lease: u64) -> bool {
        self.leases.contains_key(&lease)
    }

    pub(super) fn keep(&mut self, now: TimeMs, lease: u64) -> Option<DurationMs> {
        let (ttl_ms, until) = self.leases.get_mut(&lease)?;
        *until = now + *ttl_ms;
        Some(*ttl_ms)
    }

    pub(super) fn end_lease(&mut self, lease: u64) {
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

    fn lapse(&mut self, now: TimeMs) {
        let over: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, (_, until))| now >= *until)
            .map(|(lease, _)| *lease)
            .collect();
        for lease in over {
            self.end_lease(lease);
        }
    }
}

/// `KvShared` is what the handlers reach.
#[derive(Clone, Debug, StateData)]
pub(super) struct KvShared {
    kv: Arc<Mutex<Kv>>,
    pub(super) changed: watch::Sender<u64>,
}

// gotham asks for this mark; a panic of a stand-in fails its test anyway.
impl RefUnwindSafe for KvShared {}

impl KvShared {
    /// Runs a step on the content and wakes watches if it changed something.
    pub(super) fn with<R>(&self, step: impl FnOnce(&mut Kv) -> R) -> R {
        let mut kv = lock(&self.kv);
        let before = (kv.revision, kv.trouble);
        let result = step(&mut kv);
        let is_changed = (kv.revision, kv.trouble) != before;
        drop(kv);
        if is_changed {
            self.changed.send_modify(|count| *count += 1);
        }
        result
    }
}

/// `AreaStore` is a running store.
#[derive(Debug)]
pub struct AreaStore {
    shared: KvShared,
    server: Server,
    lease_checks: JoinHandle<()>,
}

impl AreaStore {
    /// `bind` starts an empty store.
    ///
    /// # Errors
    ///
    /// Fails if the address can't be bound.
    pub async fn bind(address: &str) -> io::Result<Self> {
        let shared = KvShared {
            kv: Arc::default(),
            changed: watch::Sender::new(0),
        };
        let router = store_routes::router(shared.clone());
        let server = Server::bind(address, router, ServerOptions::default()).await?;
        let checked = shared.clone();
        let lease_checks = tokio::spawn(async move {
            loop {
                tokio::time::sleep(LEASE_CHECK).await;
                checked.with(|kv| {
                    // A store that is away doesn't end leases either.
                    if kv.trouble != StoreFault::Unresponsive {
                        kv.lapse(now());
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

    /// `address` is where it answers.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// `put` writes a key as the operator or a worker does.
    pub fn put(&self, key: &str, value: impl Into<Vec<u8>>) {
        let value = value.into();
        self.shared.with(|kv| kv.put(key, value, 0));
    }

    /// `remove` removes a key.
    pub fn remove(&self, key: &str) {
        self.shared.with(|kv| kv.remove(key));
    }

    /// `get` reads a key behind all trouble.
    #[must_use]
    pub fn get(&self, key: &str) -> Option<KvItem> {
        self.shared.with(|kv| kv.items.get(key).cloned())
    }

    /// `changes_under` counts the changes under a prefix that a watch from the beginning would bring.
    #[must_use]
    pub fn changes_under(&self, prefix: &str) -> usize {
        self.shared.with(|kv| {
            let events = kv.history.iter();
            events.filter(|event| event.key.starts_with(prefix)).count()
        })
    }

    /// `set_fault` changes how it misbehaves.
    pub fn set_fault(&self, trouble: StoreFault) {
        self.shared.with(|kv| kv.trouble = trouble);
    }

    /// `compact` drops all history, as a compaction does.
    pub fn compact(&self) {
        self.shared.with(|kv| {
            kv.history.clear();
            kv.dropped = kv.revision;
        });
    }

    /// `close` ends the store.
    pub fn close(self) {
        self.lease_checks.abort();
        // Waiting watches would hold a graceful close up; dropping the server's handle stops it.
        drop(self.server);
    }
}
