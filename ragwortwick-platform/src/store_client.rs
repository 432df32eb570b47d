//! Calls to the platform's store, bounded, counted and honest about unknown outcomes.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Instant;

use ragwortwick_border::{
    StoreCas, StoreCasReply, StoreEntry, StoreGet, StoreGetReply, StoreList, StoreListReply,
    StoreWatch, StoreWatchReply,
};
use ragwortwick_core::{DurationMs, Revision, TimeMs, log_event};
use ragwortwick_http::{HttpClient, HttpClientOptions};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::sync::watch;

use crate::{
    Backoff, BackoffOptions, CallBudget, CallBudgetOptions, CallCounts, StoreCallKind, StoreError,
};

/// `StoreOptions` sets the bounds of a store client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoreOptions {
    /// ip:port of the store.
    pub address: String,
    /// Longest wait for one answer.
    pub call_timeout_ms: DurationMs,
    /// Longest time for a write with its retries and its read-back.
    pub write_limit_ms: DurationMs,
    /// Waits between retries.
    pub backoff: BackoffOptions,
    /// Longest wait for a place in the budget; a call that would wait longer is not sent.
    pub longest_budget_wait_ms: DurationMs,
    /// Rate of calls.
    pub budget: CallBudgetOptions,
    /// Seed of all jitter; differs between hosts.
    pub seed: u64,
}

impl StoreOptions {
    /// `new` gives the bounds used in production.
    pub fn new(address: impl Into<String>, seed: u64) -> Self {
        Self {
            address: address.into(),
            // The store answers in milliseconds; a slow one must still fit into a renewal interval.
            call_timeout_ms: DurationMs(1_500),
            write_limit_ms: DurationMs(4_000),
            backoff: BackoffOptions::default(),
            longest_budget_wait_ms: DurationMs(2_000),
            budget: CallBudgetOptions::default(),
            seed,
        }
    }
}

/// `Listing` is the content of a prefix.
#[derive(Clone, Debug, PartialEq)]
pub struct Listing {
    /// The entries in key order.
    pub entries: Vec<StoreEntry>,
    /// Revision of the store when the listing began.
    pub revision: Revision,
    /// Whether entries were left out.
    pub has_more: bool,
}

/// Entries asked for in one page: with values of a few kilobytes a page stays below the body limit.
const PAGE_ENTRIES: u32 = 500;

/// Connections kept open; few, since each may have gone silent and costs a timeout to find out.
const MAX_IDLE_CONNECTIONS: usize = 4;

/// Time added to a watch's own longest wait before its connection counts as silent.
const WATCH_SLACK_MS: DurationMs = DurationMs(1_500);

/// `StoreClient` calls the store; clones share connections, budget and counts.
#[derive(Clone, Debug)]
pub struct StoreClient {
    http: HttpClient,
    options: Arc<StoreOptions>,
    opened_at: Instant,
    budget: Arc<Mutex<CallBudget>>,
    is_paced: bool,
    counts: Arc<CallCounts>,
    is_reachable: Arc<watch::Sender<bool>>,
    backoffs_made: Arc<AtomicU64>,
}

impl StoreClient {
    /// `open` makes a client; it must be used inside a tokio runtime.
    #[must_use]
    pub fn open(options: StoreOptions) -> Self {
        let http = HttpClient::new(&HttpClientOptions {
            max_idle_per_host: MAX_IDLE_CONNECTIONS,
            ..HttpClientOptions::default()
        });
        let budget = CallBudget::new(TimeMs(0), options.budget);
        Self {
            http,
            options: Arc::new(options),
            opened_at: Instant::now(),
            budget: Arc::new(Mutex::new(budget)),
            is_paced: false,
            counts: Arc::default(),
            is_reachable: Arc::new(watch::channel(false).0),
            backoffs_made: Arc::default(),
        }
    }

    /// `paced` gives a client for a duty that paces its own calls by the intervals of its polls.
    ///
    /// Its calls don't wait behind a burst of job writes: a renewal or a look at the zone's key that
    /// waits for seconds makes a zone change its owner, or stay without one, for no reason.
    #[must_use]
    pub fn paced(&self) -> Self {
        Self {
            is_paced: true,
            ..self.clone()
        }
    }

    /// `options` lends the client's bounds.
    #[must_use]
    pub fn options(&self) -> &StoreOptions {
        &self.options
    }

    /// `backoff` makes the waits of one caller; no two callers share their jitter.
    #[must_use]
    pub fn backoff(&self) -> Backoff {
        let number = self.backoffs_made.fetch_add(1, Ordering::Relaxed);
        Backoff::new(self.options.backoff, self.options.seed.wrapping_add(number))
    }

    /// `counts` gives the shared counters of calls.
    #[must_use]
    pub fn counts(&self) -> Arc<CallCounts> {
        Arc::clone(&self.counts)
    }

    /// `reachable` follows whether the store answered the last call.
    #[must_use]
    pub fn reachable(&self) -> watch::Receiver<bool> {
        self.is_reachable.subscribe()
    }

    /// `get` reads one key.
    ///
    /// # Errors
    ///
    /// Fails if the store gives no answer.
    pub async fn get(&self, key: &str) -> Result<Option<StoreEntry>, StoreError> {
        let body = StoreGet {
            key: key.to_owned(),
        };
        let reply: StoreGetReply = self.call(StoreCallKind::Get, &body).await?;
        Ok(reply.entry)
    }

    /// `list_page` reads at most `limit` keys of a prefix after `after_key`.
    ///
    /// # Errors
    ///
    /// Fails if the store gives no answer.
    pub async fn list_page(
        &self,
        prefix: &str,
        after_key: Option<String>,
        limit: u32,
    ) -> Result<Listing, StoreError> {
        let body = StoreList {
            prefix: prefix.to_owned(),
            after_key,
            limit,
        };
        let reply: StoreListReply = self.call(StoreCallKind::List, &body).await?;
        Ok(Listing {
            entries: reply.entries,
            revision: reply.revision,
            has_more: reply.has_more,
        })
    }

    /// `list` reads all keys of a prefix, page by page.
    ///
    /// # Errors
    ///
    /// Fails if the store gives no answer to one of the pages.
    pub async fn list(&self, prefix: &str) -> Result<Listing, StoreError> {
        let mut listing = self.list_page(prefix, None, PAGE_ENTRIES).await?;
        while listing.has_more {
            let after_key = listing.entries.last().map(|entry| entry.key.clone());
            let page = self.list_page(prefix, after_key, PAGE_ENTRIES).await?;
            listing.has_more = page.has_more && !page.entries.is_empty();
            // The revision stays that of the first page: a change made between two pages is then
            // reported by a watch that starts there, instead of being lost.
            listing.entries.extend(page.entries);
        }
        Ok(listing)
    }

    /// `cas` sends one conditional write, without retry; see `write` for a settled outcome.
    ///
    /// # Errors
    ///
    /// Fails if the store gives no answer; the write may have taken effect then.
    pub async fn cas(&self, cas: &StoreCas) -> Result<StoreCasReply, StoreError> {
        self.call(StoreCallKind::Cas, cas).await
    }

    /// `watch` waits for changes under a prefix.
    ///
    /// # Errors
    ///
    /// Fails if the store gives no answer.
    pub async fn watch(&self, watch: &StoreWatch) -> Result<StoreWatchReply, StoreError> {
        let limit_ms = DurationMs(watch.timeout_ms.0 + WATCH_SLACK_MS.0);
        self.call_within(StoreCallKind::Watch, watch, limit_ms)
            .await
    }

    /// `call` sends one call with the usual time limit.
    pub(crate) async fn call<Q: Serialize + Sync, R: DeserializeOwned>(
        &self,
        kind: StoreCallKind,
        body: &Q,
    ) -> Result<R, StoreError> {
        self.call_within(kind, body, self.options.call_timeout_ms)
            .await
    }

    async fn call_within<Q: Serialize + Sync, R: DeserializeOwned>(
        &self,
        kind: StoreCallKind,
        body: &Q,
        limit_ms: DurationMs,
    ) -> Result<R, StoreError> {
        self.wait_for_budget().await?;
        self.counts.add(kind);
        let answer = self
            .http
            .post(&self.options.address, kind.path(), body, limit_ms)
            .await
            .map_err(StoreError::from);
        self.note_reachable(answer.as_ref().err());
        answer
    }

    async fn wait_for_budget(&self) -> Result<(), StoreError> {
        if self.is_paced {
            return Ok(());
        }
        let wait_ms = self.take_call().map_err(|wait_ms| {
            StoreError::NotSent(format!("calls wait here for more than {wait_ms} ms"))
        })?;
        if wait_ms > DurationMs(0) {
            tokio::time::sleep(wait_ms.into()).await;
        }
        Ok(())
    }

    fn take_call(&self) -> Result<DurationMs, DurationMs> {
        let elapsed_ms = u64::try_from(self.opened_at.elapsed().as_millis()).unwrap_or(u64::MAX);
        let longest_wait_ms = self.options.longest_budget_wait_ms;
        self.budget
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .take(TimeMs(elapsed_ms), longest_wait_ms)
    }

    fn note_reachable(&self, error: Option<&StoreError>) {
        let is_reachable = error.is_none_or(|error| !error.is_away());
        let has_changed = self.is_reachable.send_if_modified(|known| {
            let has_changed = *known != is_reachable;
            *known = is_reachable;
            has_changed
        });
        if has_changed {
            let cause = error.map_or(String::new(), ToString::to_string);
            log_event!(
                Info,
                "store_reachable",
                is_reachable = is_reachable,
                cause = cause
            );
        }
    }
}
