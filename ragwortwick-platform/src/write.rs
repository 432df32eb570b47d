//! Conditional writes with a settled outcome, also when an answer is lost after the effect.

use std::time::{Duration, Instant};

use ragwortwick_border::{StoreCas, StoreEntry};
use ragwortwick_core::{DurationMs, Revision};

use crate::{StoreClient, StoreError};

/// `StoreWrite` is a conditional write whose value carries a nonce of its writer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoreWrite {
    /// The key.
    pub key: String,
    /// Revision seen last; 0 to create.
    pub expected_revision: Revision,
    /// The new value with the writer's nonce in it; absent to delete.
    pub value: Option<String>,
    /// Lease that the key is deleted with.
    pub lease_id: Option<u64>,
}

/// `WriteOutcome` is the settled outcome of a write.
#[derive(Clone, Debug, PartialEq)]
pub enum WriteOutcome {
    /// The value stands in the store at this revision.
    Written(Revision),
    /// Another value stands there.
    Conflict {
        /// The entry found, if the key exists.
        found: Option<StoreEntry>,
        /// Whether our value may have stood there in between.
        may_have_been_written: bool,
    },
}

impl StoreClient {
    /// `write` carries out a conditional write and settles an unknown outcome by reading back.
    ///
    /// An answer can be lost after the effect. Repeating the same write is safe, since it names the
    /// revision it replaces: it applies at most once, and a repeat that finds the own value (the
    /// nonce makes it unique) knows that an earlier try was written. Reading the old revision proves
    /// nothing, as a delayed try may still arrive; such an outcome stays unknown.
    ///
    /// # Errors
    ///
    /// Fails with `NotSent` if no try can have reached the store, with `NoAnswer` if the outcome is
    /// unknown.
    pub async fn write(&self, write: &StoreWrite) -> Result<WriteOutcome, StoreError> {
        self.write_while(write, || true).await
    }

    /// `write_while` is `write` that makes no further try once the writer may not write any more.
    ///
    /// A write that waits out an outage can outlast the writer's lease; a try made then would put
    /// the belief of a former owner into the store. The permission is asked before each try.
    ///
    /// # Errors
    ///
    /// As `write`; a permission that has ended leaves the outcome of the tries before it.
    pub async fn write_while(
        &self,
        write: &StoreWrite,
        may_write: impl Fn() -> bool + Send,
    ) -> Result<WriteOutcome, StoreError> {
        let cas = StoreCas {
            key: write.key.clone(),
            expected_revision: write.expected_revision,
            value: write.value.clone(),
            lease_id: write.lease_id,
        };
        let started_at = Instant::now();
        let mut backoff = self.backoff();
        let mut is_unknown = false;
        loop {
            if !may_write() {
                let error = StoreError::NotSent("the writer may not write any more".to_owned());
                return Err(last_error(error, is_unknown));
            }
            let error = match self.cas(&cas).await {
                Ok(reply) if reply.applied || is_own(write, reply.entry.as_ref()) => {
                    let revision = reply.entry.map_or(reply.revision, |entry| entry.revision);
                    return Ok(WriteOutcome::Written(revision));
                }
                Ok(reply) => {
                    return Ok(WriteOutcome::Conflict {
                        found: reply.entry,
                        may_have_been_written: is_unknown,
                    });
                }
                Err(error @ StoreError::Refused(_)) => return Err(error),
                Err(error) => error,
            };
            is_unknown |= error.may_have_taken_effect();
            let wait_ms = backoff.next_wait();
            if has_passed(started_at, self.options().write_limit_ms, wait_ms) {
                return Err(last_error(error, is_unknown));
            }
            tokio::time::sleep(wait_ms.into()).await;
        }
    }
}

fn is_own(write: &StoreWrite, found: Option<&StoreEntry>) -> bool {
    found.map(|entry| &entry.value) == write.value.as_ref()
}

fn has_passed(started_at: Instant, limit_ms: DurationMs, wait_ms: DurationMs) -> bool {
    started_at.elapsed() + Duration::from(wait_ms) >= Duration::from(limit_ms)
}

/// A try that did not leave settles nothing about the tries before it.
fn last_error(error: StoreError, is_unknown: bool) -> StoreError {
    match error {
        StoreError::NotSent(cause) if is_unknown => StoreError::NoAnswer(cause),
        other => other,
    }
}
