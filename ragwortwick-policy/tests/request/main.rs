//! Checks of the decisions on short requests.

mod invariants;
mod once;
mod rig;
mod runners;
mod shares;
mod verdicts;
