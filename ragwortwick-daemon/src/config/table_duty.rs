//! Follows the table in the store and at the peers, so that an accepted one is in force in time.

use std::collections::BTreeMap;
use std::sync::Arc;

use ragwortwick_border::{PeerCall, PeerHello, PeerReply, StoreEntry};
use ragwortwick_core::{DurationMs, Epoch, HostName, log_event};
use ragwortwick_platform::{PrefixWatch, StoreError, WatchNews};
use tokio::sync::watch;
use tokio::task::JoinHandle;

use super::ConfigHandle;
use super::accept::decode;
use crate::keys;

/// Longest wait of one watch.
const WATCH_MS: DurationMs = DurationMs(20_000);

/// Shortest time between two reads of the table besides the watch.
///
/// A watch that misses a change says nothing; 4 s keeps such a host within the 8 s that an accepted
/// table may take, with one read lost.
const READ_INTERVAL_MS: DurationMs = DurationMs(4_000);

/// Bytes a second that these reads may cost; a large table is read more rarely, and the heartbeats
/// of peers, which carry its number, are what keeps the bound.
const READ_BYTES_PER_S: u64 = 1_000;

/// Longest wait for a peer's table.
const ASK_TIMEOUT_MS: DurationMs = DurationMs(1_000);

/// `TableDuty` is the running duty.
#[derive(Debug)]
pub(crate) struct TableDuty {
    tasks: Vec<JoinHandle<()>>,
}

impl TableDuty {
    /// `spawn` starts following the table.
    ///
    /// While this host owns a zone, its one watch is used for the zone's jobs.
    pub(crate) fn spawn(config: &ConfigHandle, owned: watch::Receiver<Option<Epoch>>) -> Self {
        let tasks = vec![
            tokio::spawn(follow_watch(config.clone(), owned)),
            tokio::spawn(follow_reads(config.clone())),
            tokio::spawn(follow_peers(config.clone())),
        ];
        Self { tasks }
    }

    /// `close` ends the duty.
    pub(crate) async fn close(self) {
        for task in self.tasks {
            task.abort();
            // The task was told to end; how it ended says nothing more.
            drop(task.await);
        }
    }
}

async fn follow_watch(config: ConfigHandle, mut owned: watch::Receiver<Option<Epoch>>) {
    while owned.wait_for(Option::is_none).await.is_ok() {
        let mut table = PrefixWatch::open(config.store.clone(), keys::TABLE_CURRENT, WATCH_MS);
        while owned.borrow().is_none() {
            tokio::select! {
                news = table.next() => take_news(&config, news),
                // The watch is given up at once: the owner needs it for its zone's jobs.
                changed = owned.changed() => if changed.is_err() { return },
            }
        }
    }
}

fn take_news(config: &ConfigHandle, news: Result<WatchNews, StoreError>) {
    match news {
        Ok(WatchNews::Listed(entries)) => {
            for entry in &entries {
                take_entry(config, entry);
            }
        }
        Ok(WatchNews::Changed(changes)) => {
            for entry in changes.iter().filter_map(|change| change.entry.as_ref()) {
                take_entry(config, entry);
            }
        }
        // The client has logged that the store is away; the reads and the peers go on.
        Err(_) => {}
    }
}

fn take_entry(config: &ConfigHandle, entry: &StoreEntry) {
    if entry.key != keys::TABLE_CURRENT {
        return;
    }
    match decode(&entry.key, &entry.value) {
        Ok(table) => config.offer(Arc::new(table)),
        // Another version of the program may write what this one can't read: the last one stays.
        Err(error) => log_event!(Error, "table_unreadable", cause = error),
    }
}

async fn follow_reads(config: ConfigHandle) {
    let mut jitter = config.store.backoff();
    let mut interval_ms = READ_INTERVAL_MS;
    loop {
        tokio::time::sleep(jitter.spread(interval_ms).into()).await;
        if let Ok(Some(entry)) = config.store.get(keys::TABLE_CURRENT).await {
            take_entry(&config, &entry);
            let bytes = u64::try_from(entry.value.len()).unwrap_or(u64::MAX);
            let pause_ms = bytes.saturating_mul(1_000) / READ_BYTES_PER_S;
            interval_ms = READ_INTERVAL_MS.max(DurationMs(pause_ms));
        }
    }
}

/// A heartbeat that shows a higher number tells where to get it, whatever the store says: a host
/// whose store is cut off, empty or old gets the table so, and a restarted one its first.
async fn follow_peers(config: ConfigHandle) {
    let mut heard = config.peers.follow();
    let mut backoff = config.store.backoff();
    heard.mark_changed();
    while heard.changed().await.is_ok() {
        let newest = newest_of(&heard.borrow_and_update());
        let Some(host) = newest.filter(|(number, _)| *number > config.number()) else {
            backoff.reset();
            continue;
        };
        let call = PeerCall::FetchTable;
        let reply = config.peers.call(&host.1, call, ASK_TIMEOUT_MS).await;
        if let Ok(PeerReply::Table(table)) = reply {
            config.offer(Arc::new(table));
        } else {
            // The same heartbeats are looked at again, as no new one need come.
            tokio::time::sleep(backoff.next_wait().into()).await;
            heard.mark_changed();
        }
    }
}

fn newest_of(heard: &BTreeMap<HostName, PeerHello>) -> Option<(u64, HostName)> {
    heard
        .values()
        .map(|hello| (hello.table_number, hello.host.clone()))
        .max()
}
