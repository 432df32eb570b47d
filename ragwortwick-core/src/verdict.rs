//! The verdict on a request: whether it ran, did not run, or may have run.

use displaydoc::Display;

use crate::{DurationMs, common};

/// `Verdict` says whether a request may have run.
///
/// Only `NotRun` permits a repeat of work that is marked as not to be repeated.
#[common]
pub enum Verdict<T> {
    /// The request ran and this is its whole answer.
    Done(T),
    /// No byte of the request reached a runner, or the runner said that it did not start.
    NotRun {
        /// Why it was not run.
        reason: NotRunReason,
        /// When the caller may come back.
        retry_after_ms: DurationMs,
    },
    /// The request was sent and its outcome is unknown.
    MayHaveRun {
        /// What was seen, as one sentence for the caller.
        reason: String,
    },
}

/// `NotRunReason` is the cause of a refusal before anything ran.
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
    /// `is_retriable` tells whether another try is safe for the given repeatable mark.
    #[must_use]
    pub fn is_retriable(&self, repeatable: bool) -> bool {
        match self {
            Self::Done(_) => false,
            Self::NotRun { .. } => true,
            Self::MayHaveRun { .. } => repeatable,
        }
    }
}
