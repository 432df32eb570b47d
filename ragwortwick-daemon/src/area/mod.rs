//! An entry host of an area: the job API for clients, the job records in the store, and the coordinator.

mod action_dispatcher;
mod batch_writer;
mod cancel_reporter;
mod coordinator_handler;
mod desired_state_age;
mod election;
mod fair_shares;
mod feed_monitor;
mod handover;
mod host;
mod host_budget;
mod job_api;
mod job_memory;
mod job_view;
mod job_writer;
mod keys;
mod layout;
mod load_feed;
mod log_rate_limiter;
mod metrics;
mod operator_feed;
mod order_sender;
mod outage;
mod progress_store;
mod readiness;
mod replica;
mod replica_feed;
mod reply_time;
mod servers;
mod settings;
mod speeds;
mod store_health;
mod term;
mod tombstones;
mod worker_feed;

pub use host::{AreaHost, AreaHostError};
pub use settings::AreaSettings;

#[cfg(test)]
mod tests;
