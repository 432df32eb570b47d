//! An entry host of an area: callers' jobs, their records in the store, and the coordinator's duty.

mod accept;
mod coordination;
mod desired_age;
mod desired_feed;
mod election;
mod feed_log;
mod front;
mod host;
mod job_store;
mod keys;
mod log_budget;
mod metrics;
mod orders;
mod outlets;
mod ready;
mod replica;
mod replica_feed;
mod settings;
mod store_health;
mod term;
mod term_writes;
mod unstored_ends;
mod worker_feed;

pub use host::{AreaHost, AreaHostError};
pub use settings::AreaSettings;

#[cfg(test)]
mod tests;
