//! The open connections of a server, and which of them it closes when connections or memory run out.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU8, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use ragwortwick_core::{DurationMs, TimeMs};
use tokio::sync::Notify;

/// Time without progress after which a client counts as stalled.
const STALLED_AFTER_MS: DurationMs = DurationMs(1_000);

/// `ServerCounts` counts what a server refuses for want of connections or memory.
#[derive(Debug, Default)]
pub struct ServerCounts {
    /// Connections that were closed in favour of new ones.
    pub evicted_connections: AtomicU64,
    /// Connections that were closed because the memory of their bodies was needed.
    pub evicted_bodies: AtomicU64,
    /// Requests that were refused because no memory was left for them.
    pub requests_without_memory: AtomicU64,
}

/// `Phase` is how far the current request of a connection is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
enum Phase {
    /// The connection is idle, or its request has not been read completely.
    Reading,
    /// A request was read completely, so its client gets a response.
    Processing,
    /// The response is being written.
    Responding,
    /// The connection is about to be closed.
    Evicted,
}

/// `Connection` is what the table knows of one connection.
#[derive(Debug)]
pub(crate) struct Connection {
    id: u64,
    phase: AtomicU8,
    /// When bytes were last read from or written to it.
    progress_at_ms: AtomicU64,
    /// Memory that its request body holds.
    body_bytes: AtomicUsize,
    evicted: Notify,
    opened_at: Instant,
}

impl Connection {
    fn is_in(&self, phase: Phase) -> bool {
        self.phase.load(Ordering::Acquire) == phase as u8
    }

    /// Changes the phase; returns whether the connection was in the expected one.
    fn change(&self, from: Phase, to: Phase) -> bool {
        let (from, to) = (from as u8, to as u8);
        let changed = self
            .phase
            .compare_exchange(from, to, Ordering::AcqRel, Ordering::Acquire);
        changed.is_ok()
    }

    /// Records that the request was read completely; returns whether it may be processed.
    pub(crate) fn begin_processing(&self) -> bool {
        self.change(Phase::Reading, Phase::Processing) || self.is_in(Phase::Processing)
    }

    /// Records that the response is complete and remains to be written.
    pub(crate) fn begin_responding(&self) {
        self.change(Phase::Processing, Phase::Responding);
    }

    /// Records that all that was to be written has been written.
    pub(crate) fn record_flush(&self) {
        self.change(Phase::Responding, Phase::Reading);
    }

    pub(crate) fn record_progress(&self) {
        let elapsed_ms = u64::try_from(self.opened_at.elapsed().as_millis()).unwrap_or(u64::MAX);
        self.progress_at_ms.store(elapsed_ms, Ordering::Relaxed);
    }

    pub(crate) fn set_body_bytes(&self, bytes: usize) {
        self.body_bytes.store(bytes, Ordering::Relaxed);
    }

    fn body_bytes(&self) -> usize {
        self.body_bytes.load(Ordering::Relaxed)
    }

    fn stalled_ms(&self, now: TimeMs) -> DurationMs {
        now.since(TimeMs(self.progress_at_ms.load(Ordering::Relaxed)))
    }

    /// Whether no response is owed to the client, or the client does not read it.
    fn is_evictable(&self, now: TimeMs) -> bool {
        self.is_in(Phase::Reading)
            || (self.is_in(Phase::Responding) && self.stalled_ms(now) >= STALLED_AFTER_MS)
    }

    /// Has the connection closed; returns false if its request was read completely meanwhile.
    fn evict(&self) -> bool {
        let is_evicted = self.change(Phase::Reading, Phase::Evicted)
            || self.change(Phase::Responding, Phase::Evicted);
        if is_evicted {
            self.evicted.notify_one();
        }
        is_evicted
    }

    /// Waits until the connection has to be closed.
    pub(crate) async fn evicted(&self) {
        self.evicted.notified().await;
    }
}

/// `ConnectionTable` holds the open connections of one server; clones share it.
#[derive(Clone, Debug)]
pub(crate) struct ConnectionTable(Arc<Shared>);

#[derive(Debug)]
struct Shared {
    opened_at: Instant,
    next_id: AtomicU64,
    connections: Mutex<HashMap<u64, Arc<Connection>>>,
    counts: Arc<ServerCounts>,
}

/// `OpenConnection` is the entry of an open connection; dropping it removes the entry.
#[derive(Debug)]
pub(crate) struct OpenConnection {
    table: ConnectionTable,
    pub(crate) connection: Arc<Connection>,
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.table.lock().remove(&self.connection.id);
    }
}

impl ConnectionTable {
    pub(crate) fn open(counts: Arc<ServerCounts>) -> Self {
        Self(Arc::new(Shared {
            opened_at: Instant::now(),
            next_id: AtomicU64::new(0),
            connections: Mutex::default(),
            counts,
        }))
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<u64, Arc<Connection>>> {
        let connections = &self.0.connections;
        connections.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn counts(&self) -> &ServerCounts {
        &self.0.counts
    }

    fn now(&self) -> TimeMs {
        let elapsed_ms = self.0.opened_at.elapsed().as_millis();
        TimeMs(u64::try_from(elapsed_ms).unwrap_or(u64::MAX))
    }

    /// Adds a connection that was accepted just now.
    pub(crate) fn insert(&self) -> OpenConnection {
        let connection = Arc::new(Connection {
            id: self.0.next_id.fetch_add(1, Ordering::Relaxed),
            phase: AtomicU8::new(Phase::Reading as u8),
            progress_at_ms: AtomicU64::new(0),
            body_bytes: AtomicUsize::new(0),
            evicted: Notify::new(),
            opened_at: self.0.opened_at,
        });
        connection.record_progress();
        self.lock().insert(connection.id, Arc::clone(&connection));
        OpenConnection {
            table: self.clone(),
            connection,
        }
    }

    /// Closes the connection that has made no progress for the longest time, in favour of a new one.
    pub(crate) fn evict_for_connection(&self) -> bool {
        let connections = self.lock();
        let victim = least_active(connections.values(), self.now());
        let is_evicted = victim.is_some_and(|victim| victim.evict());
        if is_evicted {
            increment(&self.0.counts.evicted_connections);
        }
        is_evicted
    }

    /// Closes a connection whose body's memory a request of another connection needs.
    pub(crate) fn evict_for_memory(&self, requester: &Connection, needed_bytes: usize) -> bool {
        let connections = self.lock();
        let others = connections.values();
        let others = others.filter(|other| other.id != requester.id);
        let victim = body_to_evict(others, needed_bytes, self.now());
        let is_evicted = victim.is_some_and(|victim| victim.evict());
        if is_evicted {
            increment(&self.0.counts.evicted_bodies);
        }
        is_evicted
    }
}

pub(crate) fn increment(counter: &AtomicU64) {
    counter.fetch_add(1, Ordering::Relaxed);
}

/// The connection without a request to answer that has made no progress for the longest time.
fn least_active<'a>(
    connections: impl Iterator<Item = &'a Arc<Connection>>,
    now: TimeMs,
) -> Option<&'a Arc<Connection>> {
    connections
        .filter(|connection| connection.is_evictable(now))
        .max_by_key(|connection| connection.stalled_ms(now))
}

/// The connection whose body gives way to a request that needs memory.
///
/// Stalled clients go first. Among active ones a larger body gives way to a smaller one, so that a few large bodies
/// can't keep out many small ones, and two of one size can't evict each other for ever.
fn body_to_evict<'a>(
    connections: impl Iterator<Item = &'a Arc<Connection>>,
    needed_bytes: usize,
    now: TimeMs,
) -> Option<&'a Arc<Connection>> {
    let with_bodies: Vec<_> = connections
        .filter(|connection| connection.is_in(Phase::Reading) && connection.body_bytes() > 0)
        .collect();
    let stalled = with_bodies.iter().copied();
    let stalled = stalled.filter(|connection| connection.stalled_ms(now) >= STALLED_AFTER_MS);
    let most_stalled = stalled.max_by_key(|connection| connection.stalled_ms(now));
    most_stalled.or_else(|| {
        let larger = with_bodies.into_iter();
        let larger = larger.filter(|connection| connection.body_bytes() > needed_bytes);
        larger.max_by_key(|connection| connection.body_bytes())
    })
}
