//! Verdict on a request: it ran, it did not run, or it may have run.

use displaydoc::Display;

use crate::{DurationMs, common};

/// `Verdict` is the outcome of a request with regard to whether it may have run.
///
/// Work that is marked as not repeatable may be retried only after `NotRun`.
#[common]
pub enum Verdict<T> {
    /// The request ran, and this is its complete response.
    Done(T),
    /// No byte of the request reached a runner, or the runner reported that it did not start it.
    NotRun {
        /// Why it was not run.
        reason: NotRunReason,
        /// Time after which the caller may retry.
        retry_after_ms: DurationMs,
    },
    /// The request was sent and its outcome is unknown.
    MayHaveRun {
        /// What was observed, as one sentence for the caller.
        reason: String,
    },
}

/// `NotRunReason` is why a request was rejected before it ran.
#[common]
#[derive(Copy, Display, PartialOrd, Ord, Hash)]
pub enum NotRunReason {
    /// the queue of this customer and class is full
    QueueFull,
    /// the customer's rate limit is used up
    RateLimited,
    /// the deadline can no longer be met
    DeadlineUnmeetable,
    /// no runner can be reached
    NoRunner,
    /// every runner is busy
    RunnersBusy,
    /// more valuable work took the place
    Shed,
    /// the platform's store is away and the claim could not be made
    StoreAway,
    /// this entry host is stopping
    Stopping,
    /// the caller cancelled it
    Cancelled,
}

impl<T> Verdict<T> {
    /// `is_retriable` reports whether a retry is safe for work that is, or is not, repeatable.
    #[must_use]
    pub fn is_retriable(&self, is_repeatable: bool) -> bool {
        match self {
            Self::Done(_) => false,
            Self::NotRun { .. } => true,
            Self::MayHaveRun { .. } => is_repeatable,
        }
    }
}
