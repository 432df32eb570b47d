//! The operators' table: its validation, the changes between two versions and their effects.

mod changes;
mod effects;
mod packing;
mod rules;
mod validate;

pub use changes::table_changes;
pub use effects::table_effects;
pub use packing::{Packing, review_packing};
pub use validate::validate_table;
