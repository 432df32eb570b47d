//! Ownership of the host's zone and the duty that drives its placer.

mod capacity;
mod caretaker;
mod handle;
mod job_feed;
mod job_hints;
mod job_ledger;
mod job_retention;
mod job_writer;
mod notices;
mod order_sender;
mod owner_duty;
mod ownership;
mod peer_epochs;
mod runtime;
mod tenure;
#[cfg(test)]
mod tests;
mod waiting_jobs;
mod zone_duty;
mod zone_event;

pub(crate) use capacity::fits_listed;
pub use handle::ZoneHandle;
pub(crate) use job_ledger::is_final;
pub use ownership::{
    Claim, Ownership, OwnershipAction, OwnershipEvent, OwnershipGuard, OwnershipState,
};
pub use runtime::ZoneStartError;
pub(crate) use runtime::{ZoneParts, ZoneRuntime};
pub use tenure::Tenure;
