//! `ragwortwick`, the operators' command line.

fn main() {}
