//! Tests of decisions that take what they need as arguments.

mod gang_packing;
mod speed_model;
