//! Calls between entry hosts: h2 streams that carry bincode messages.

mod client;
mod codec;
mod link;
mod server;

use displaydoc::Display;

pub use client::{LocalLoad, PeerClient};
pub(crate) use server::PeerServer;

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
