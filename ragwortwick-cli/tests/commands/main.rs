//! The commands as an operator gives them, against entry hosts in this process.

mod bench;
mod docs;
mod ends;
mod entry_hosts;
mod job;
mod table;
