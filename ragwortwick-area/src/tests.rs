//! Tests of decisions that take what they need as arguments.

mod admission;
mod fair_share;
mod gang_packing;
mod speed_model;
mod speed_record;
mod submitted_jobs;
