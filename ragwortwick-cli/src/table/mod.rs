//! Commands about the operators' table.

mod show;

pub(crate) use show::show;
