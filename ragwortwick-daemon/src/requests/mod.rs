//! Short requests: from the caller's connection to a runner's slot and back.

use ragwortwick_border::{RequestOutcome, RequestSubmit};

/// `RequestsHandle` submits requests to the request duty; clones reach the same duty.
#[derive(Clone, Debug)]
pub struct RequestsHandle;

impl RequestsHandle {
    /// `submit` runs a request to its final outcome.
    ///
    /// `is_forwarded` marks one that another entry host sent here because its home is here.
    pub async fn submit(&self, request: RequestSubmit, is_forwarded: bool) -> RequestOutcome {
        let _ = (self, request, is_forwarded);
        std::future::pending().await
    }
}
