//! Following a prefix of the store: list once, then watch, and list again after a gap.

use ragwortwick_border::{StoreChange, StoreEntry, StoreWatch};
use ragwortwick_core::{DurationMs, Revision};

use crate::{Backoff, StoreClient, StoreError};

/// `WatchNews` is what one step of a watch brought.
#[derive(Clone, Debug, PartialEq)]
pub enum WatchNews {
    /// Everything under the prefix; what is missing was deleted.
    Listed(Vec<StoreEntry>),
    /// Changes in order; empty after the longest wait.
    Changed(Vec<StoreChange>),
}

/// `PrefixWatch` follows one prefix.
#[derive(Debug)]
pub struct PrefixWatch {
    store: StoreClient,
    prefix: String,
    timeout_ms: DurationMs,
    revision: Option<Revision>,
    backoff: Backoff,
    has_failed: bool,
}

impl PrefixWatch {
    /// `open` starts with a listing; each wait lasts at most `timeout_ms`.
    #[must_use]
    pub fn open(store: StoreClient, prefix: impl Into<String>, timeout_ms: DurationMs) -> Self {
        let backoff = store.backoff();
        Self {
            store,
            prefix: prefix.into(),
            timeout_ms,
            revision: None,
            backoff,
            has_failed: false,
        }
    }

    /// `relist` makes the next step a listing.
    ///
    /// A watch can miss a change without saying so; only a listing finds what it left out.
    pub fn relist(&mut self) {
        self.revision = None;
    }

    /// `next` waits for news; after a failure the next call waits first.
    ///
    /// # Errors
    ///
    /// Fails if the store gives no answer; the watch goes on where it was.
    pub async fn next(&mut self) -> Result<WatchNews, StoreError> {
        if self.has_failed {
            tokio::time::sleep(self.backoff.next_wait().into()).await;
        }
        self.has_failed = true;
        let news = self.step().await?;
        self.has_failed = false;
        self.backoff.reset();
        Ok(news)
    }

    async fn step(&mut self) -> Result<WatchNews, StoreError> {
        if let Some(after_revision) = self.revision {
            let request = StoreWatch {
                prefix: self.prefix.clone(),
                after_revision,
                timeout_ms: self.timeout_ms,
            };
            let reply = self.store.watch(&request).await?;
            // A revision below ours means that the store went back; its changes can't be trusted.
            if !reply.is_gap && reply.revision >= after_revision {
                self.revision = Some(reply.revision);
                return Ok(WatchNews::Changed(reply.changes));
            }
        }
        let listing = self.store.list(&self.prefix).await?;
        self.revision = Some(listing.revision);
        Ok(WatchNews::Listed(listing.entries))
    }
}
