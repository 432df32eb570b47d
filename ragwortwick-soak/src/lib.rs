//! A fault soak: real entry hosts as separate processes, troubles from outside, promises checked.
//!
//! It sees what callers and workers see: answers of the hosts, and the runs that workers begin.

mod callers;
mod play;
mod processor_share;
mod storm;
mod trouble;

pub use play::{Found, Plan, SETTLE, play};
pub use storm::{StormFault, StormPlan, play_storm};
