//! Generates `src/generated.rs` from `schema/*.json`: `cargo run -p ragwortwick-border --example generate`.

#[path = "../tests/generator/mod.rs"]
mod generator;

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let package = std::path::Path::new(env!("CARGO_MANIFEST_DIR"));
    std::fs::write(
        package.join("src/generated.rs"),
        generator::generate(package)?,
    )?;
    Ok(())
}
