//! Measures the slopes of docs/CAPACITY.md.
//!
//! Run with `cargo build --release --bin ragwortwickd` and then
//! `cargo run --release -p ragwortwick-daemon --example capacity_slopes`. Each series has three or
//! more sizes; its line shows every point and the least-squares fit.

mod messages;
mod placer;
mod processes;
mod sample;
mod series;
mod table;

use std::error::Error;

#[tokio::main]
async fn main() -> Result<(), Box<dyn Error>> {
    println!("# bytes of messages and records");
    messages::run();
    println!("# the operators' table");
    table::run();
    println!("# the placer of one zone");
    placer::run();
    println!("# idle entry hosts as processes");
    processes::run().await
}
