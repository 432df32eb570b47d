//! Reads docs/PROOFS.md and the test files of every package.

mod page;
mod tree;

pub use page::{Page, Status};
pub use tree::{Test, tests_of_the_tree};
