//! The operators' command line: status, the table and jobs, against any entry host, and what
//! the hosts' logs tell of jobs that ended.

mod arguments;
mod ends;
mod entry;
mod error;
mod grid;
mod job;
mod run;
mod sheet;
mod shown;
mod status;
mod table;

pub use arguments::Environment;
pub use error::{CliError, ExitClass};
pub use run::{Outcome, run};
