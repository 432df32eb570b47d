//! Measures the slopes of docs/CAPACITY.md: `cargo run --release --example capacity_slopes`.
//!
//! Each series has three or more sizes; its line shows every point and the least-squares fit.

mod messages;
mod sample;
mod series;
mod table;

fn main() {
    println!("# bytes of messages and records");
    messages::run();
    println!("# the operators' table");
    table::run();
}
