//! Checks that the committed types are what the schemas generate.

mod generator;

#[test]
fn verify_committed_types_match_schemas() {
    let package = std::path::Path::new(env!("CARGO_MANIFEST_DIR"));
    let expected = generator::generate(package).expect("schemas generate");
    let committed =
        std::fs::read_to_string(package.join("src/generated.rs")).expect("generated.rs is there");
    assert!(
        expected == committed,
        "run `cargo run -p ragwortwick-border --example generate`"
    );
}
