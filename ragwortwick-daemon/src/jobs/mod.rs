//! Accepted jobs: written to the store before the caller is told, found again after any loss.

mod accept;
mod check;
mod doubt;
mod hint;
mod query;
mod queue_limit;

use std::sync::Arc;

use displaydoc::Display;
use ragwortwick_border::{HostList, Problem};
use ragwortwick_core::DurationMs;
use ragwortwick_platform::{StoreClient, StoreError};
use tokio::sync::watch;

pub(crate) use doubt::Doubts;
pub(crate) use queue_limit::QueueLimit;

use crate::nonce::NonceGenerator;
use crate::{Clock, ConfigHandle, PeerClient, ZoneHandle};

/// When a caller may come back after the store gave no answer.
const RETRY_AFTER_MS: DurationMs = DurationMs(5_000);

/// `JobError` says why a call about a job has no answer of its kind.
#[derive(Clone, Debug, Display, PartialEq)]
pub enum JobError {
    /// {0:?}
    Invalid(Problem),
    /// no such job
    Unknown,
    /// not run: {reason}
    NotRun {
        /// Why nothing was accepted.
        reason: String,
        /// When to come back.
        retry_after_ms: DurationMs,
    },
    /// the store did not answer; the job may have been accepted
    MayBeAccepted,
}

impl std::error::Error for JobError {}

impl JobError {
    /// `invalid` names a field and what was expected there.
    fn invalid(field: &str, problem: impl Into<String>) -> Self {
        Self::Invalid(Problem {
            field: field.to_owned(),
            problem: problem.into(),
        })
    }

    /// `not_run` says that nothing was accepted and when to come back.
    fn not_run(reason: impl Into<String>) -> Self {
        Self::NotRun {
            reason: reason.into(),
            retry_after_ms: RETRY_AFTER_MS,
        }
    }

    /// `of_write` says what a failed write of a record means for its caller.
    fn of_write(error: &StoreError) -> Self {
        if error.may_have_taken_effect() {
            Self::MayBeAccepted
        } else {
            Self::not_run(format!("nothing was written, {error}"))
        }
    }
}

/// `JobsHandle` accepts, shows and cancels jobs; clones share the same store client.
#[derive(Clone, Debug)]
pub struct JobsHandle {
    pub(crate) store: StoreClient,
    pub(crate) config: ConfigHandle,
    pub(crate) hosts: watch::Receiver<Arc<HostList>>,
    pub(crate) peers: PeerClient,
    pub(crate) zone: ZoneHandle,
    pub(crate) clock: Clock,
    pub(crate) nonces: NonceGenerator,
    pub(crate) queue_limit: QueueLimit,
    pub(crate) doubts: Doubts,
}
