//! Replays seeded arrivals against the project's placer and a naive one and prints both figures.
//!
//! `cargo run --release --example policy_bench -- --deployment padana|almaty --seed N [--hours H]`

mod arrivals;
mod deployment;
#[path = "../../tests/fake_zone/mod.rs"]
mod fake_zone;
mod measure;
mod naive;
mod ours;
mod packing;

use std::error::Error;

use serde_json::json;

const DEFAULT_HOURS: u64 = 8;

fn main() -> Result<(), Box<dyn Error>> {
    let mut args = pico_args::Arguments::from_env();
    let name: String = args.value_from_str("--deployment")?;
    let seed: u64 = args.value_from_str("--seed")?;
    let hours = args.opt_value_from_str("--hours")?.unwrap_or(DEFAULT_HOURS);
    let mut deployment =
        deployment::deployment(&name).ok_or("--deployment: expected padana or almaty")?;
    if let Some(ratio) = args.opt_value_from_str::<_, f64>("--fragmentation-weight")? {
        deployment.table.weights.completion = 1.0;
        deployment.table.weights.fragmentation = ratio;
    }
    let is_capped = !args.contains("--naive-anywhere");
    let script = arrivals::script(&deployment, seed, hours);
    let ours = ours::run(&deployment, &script);
    let naive = naive::run(&deployment, &script, is_capped);
    let line = json!({
        "deployment": name,
        "seed": seed,
        "ours": measure::figures(&script, &ours, &naive),
        "naive": measure::figures(&script, &naive, &ours),
    });
    println!("{line}");
    Ok(())
}
