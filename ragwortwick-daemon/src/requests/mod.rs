//! Short requests: from the caller's connection to a runner's slot and back.

mod answers;
mod check;
mod claims;
mod connection;
mod duty;
mod feed;
mod handle;
mod once;
mod probe;
mod sender;

pub use claims::{ClaimStore, StoreClaims};
pub use handle::{IdsRefused, RequestLoad, Requests, RequestsHandle};
