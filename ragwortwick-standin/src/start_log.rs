//! What a stand-in started and ended, in order.

use std::sync::{Arc, Mutex};

use ragwortwick_core::{Epoch, TimeMs, common};

use crate::faults::lock;

/// `LogEvent` is what happened to a piece of work.
#[common(wire)]
#[derive(Copy, Eq)]
#[serde(rename_all = "snake_case")]
pub enum LogEvent {
    /// Accelerators were held for it.
    Reserved,
    /// It was started.
    Started,
    /// It ended well.
    Finished,
    /// It failed.
    Failed,
    /// It was stopped by an order.
    Stopped,
    /// It was ended since nobody renewed its lease.
    Lapsed,
    /// Its reservation was dropped.
    Released,
    /// An order was refused since its epoch is below the highest seen.
    Fenced,
}

/// `LogEntry` is one event of one piece of work.
#[common(wire)]
pub struct LogEntry {
    /// When, in Unix time.
    pub at_ms: TimeMs,
    /// Worker or runner.
    pub place: String,
    /// Request or gang.
    pub id: String,
    /// What happened.
    pub event: LogEvent,
    /// Epoch of the order; zero for requests.
    pub epoch: Epoch,
}

/// `StartLog` keeps the events in order; clones share them.
#[derive(Clone, Debug, Default)]
pub struct StartLog {
    entries: Arc<Mutex<Vec<LogEntry>>>,
}

impl StartLog {
    /// `push` adds an event.
    pub fn push(&self, entry: LogEntry) {
        lock(&self.entries).push(entry);
    }

    /// `entries` copies the events in order.
    #[must_use]
    pub fn entries(&self) -> Vec<LogEntry> {
        lock(&self.entries).clone()
    }

    /// `count` counts the events of a kind for an id.
    #[must_use]
    pub fn count(&self, id: &str, event: LogEvent) -> usize {
        lock(&self.entries)
            .iter()
            .filter(|entry| entry.id == id && entry.event == event)
            .count()
    }
}
