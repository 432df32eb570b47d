//! Calls between entry hosts: h2 streams that carry bincode messages.

use displaydoc::Display;
use ragwortwick_border::{PeerCall, PeerReply};
use ragwortwick_core::{DurationMs, HostName};

/// Version of the protocol between entry hosts; a host refuses peers with another one.
pub const PEER_PROTOCOL: u32 = 1;

/// `PeerError` says why a peer gave no answer.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum PeerError {
    /// the call did not leave: {0}
    NotSent(String),
    /// the call was sent and has no answer: {0}
    NoAnswer(String),
}

impl std::error::Error for PeerError {}

/// `PeerClient` calls other entry hosts; clones share the connections.
#[derive(Clone, Debug)]
pub struct PeerClient;

impl PeerClient {
    /// `call` sends one call to the named host and waits for its reply.
    ///
    /// # Errors
    ///
    /// Fails with `NotSent` if the peer can't have seen the call, else with `NoAnswer`.
    pub async fn call(
        &self,
        host: &HostName,
        call: PeerCall,
        timeout_ms: DurationMs,
    ) -> Result<PeerReply, PeerError> {
        let _ = (self, host, call, timeout_ms);
        std::future::pending().await
    }

    /// `reachable` lists the peers whose last heartbeat was answered.
    #[must_use]
    pub fn reachable(&self) -> Vec<HostName> {
        let _ = self;
        Vec::new()
    }
}
