//! A short seeded run of the fault soak; longer ones are played by hand.

use std::time::Duration;

use ragwortwick_soak::{Plan, SETTLE, StormFault, StormPlan, play, play_storm};

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
        wide_jobs: 0,
        settle: SETTLE,
    };
    let found = play(&plan).await;
    assert!(found.findings.is_empty(), "{:?}", found.findings);
    assert!(found.accepted > 0);
}

/// The same with jobs of hundreds of small tasks, more than a worker lists run ends in one reply.
#[tokio::test(flavor = "multi_thread")]
async fn verify_promises_hold_under_faults_while_hundreds_of_tasks_share_a_worker() {
    let plan = Plan {
        binary: env!("CARGO_BIN_EXE_ragwortwickd").to_owned(),
        seed: 11,
        hosts: 3,
        workers: 8,
        steps: 4,
        wide_jobs: 2,
        settle: SETTLE,
    };
    let found = play(&plan).await;
    assert!(found.findings.is_empty(), "{:?}", found.findings);
    assert!(found.accepted > 0);
}

/// Gangs fill eighty workers in four zones, on hosts with a part of the processor, while zones are cut off, the store
/// turns hosts away, workers restart, and coordinators are frozen, killed and told to stop.
#[tokio::test(flavor = "multi_thread")]
async fn verify_promises_hold_in_a_storm() {
    let plan = StormPlan {
        binary: env!("CARGO_BIN_EXE_ragwortwickd").to_owned(),
        seed: 5,
        hosts: 4,
        workers: 80,
        span: Duration::from_secs(15),
        processor_percent: 40,
        load_percent: 50,
        faults: vec![
            StormFault::Zones,
            StormFault::Workers,
            StormFault::Store,
            StormFault::Coordinators,
            StormFault::Entries,
            StormFault::Restarts,
        ],
        settle: SETTLE,
        log_directory: None,
    };
    let found = play_storm(&plan).await;
    assert!(found.findings.is_empty(), "{:?}", found.findings);
    assert!(found.accepted > 0);
}
