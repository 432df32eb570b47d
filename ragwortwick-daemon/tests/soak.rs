//! A short seeded run of the fault soak; longer ones are played by hand.

use ragwortwick_soak::{Plan, play};

/// Callers hand jobs in while hosts are killed, frozen, replaced and told to stop, the store
/// misbehaves and workers fall silent: no accepted job is lost, nothing runs twice, nothing that was
/// refused runs.
#[tokio::test(flavor = "multi_thread")]
async fn verify_promises_hold_under_faults_from_outside() {
    let plan = Plan {
        binary: env!("CARGO_BIN_EXE_ragwortwickd").to_owned(),
        seed: 7,
        hosts: 3,
        workers: 8,
        steps: 5,
    };
    let found = play(&plan).await;
    assert!(found.findings.is_empty(), "{:?}", found.findings);
    assert!(found.accepted > 0);
}
