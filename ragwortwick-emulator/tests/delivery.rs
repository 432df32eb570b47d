//! Invariants while messages wait in queues and on cut paths, and while workers restart at once, on fixed seeds.

use ragwortwick_area::Limits;
use ragwortwick_core::{DurationMs, TimeMs};
use ragwortwick_emulator::{
    FaultKind, Simulation, SimulationOptions, SimulationReport, WorkerBehavior, Workload,
    draw_faults_of,
};

const RESTARTS: &str = include_str!("../loads/restarts.json");

/// Time from a stop order to the end of the run, of a deployment whose tasks take long to stop.
const STOP_MS: u64 = 900;

fn simulate(
    seed: u64,
    workload: Workload,
    kinds: &[FaultKind],
    max_ms: u64,
    count: usize,
) -> SimulationReport {
    let options = SimulationOptions {
        seed,
        limits: Limits {
            lease_ms: DurationMs(6_000),
            ..Limits::default()
        },
        workload: workload.with_stop_ms(STOP_MS),
        ..SimulationOptions::default()
    };
    let faults = draw_faults_of(kinds, DurationMs(max_ms), seed, count, TimeMs(20_000));
    let report = Simulation::new(options, faults.clone()).run();
    assert!(
        report.violations.is_empty(),
        "seed {seed}, faults {faults:?}: {:?}",
        report.violations
    );
    report
}

fn restarts() -> Workload {
    serde_json::from_str(RESTARTS).expect("a well-formed workload")
}

/// Workers restart under their identity before the coordinator hears of it, and start runs meanwhile. Such a run
/// takes time to stop, and its task must not be restarted elsewhere before it has.
#[test]
fn verify_runs_of_restarted_workers_have_stopped_before_they_run_elsewhere() {
    for seed in 1..=12 {
        let kinds = [FaultKind::WorkersRestart, FaultKind::OrdersLate];
        let report = simulate(seed, restarts(), &kinds, 1_500, 5);
        assert!(report.completed > 0);
    }
}

/// A start order leaves a busy host after the stop of its run was confirmed and its worker has restarted, which no longer
/// knows of the stop. The run must not begin beside a later one.
#[test]
fn verify_a_start_that_leaves_its_host_late_begins_no_second_run_on_a_restarted_worker() {
    let kinds = [
        FaultKind::OrdersQueued,
        FaultKind::EventsQueued,
        FaultKind::CoordinatorStalled,
        FaultKind::CoordinatorSlow,
        FaultKind::ZoneCut,
        FaultKind::ZoneOrdersHeld,
        FaultKind::ZoneRepliesHeld,
        FaultKind::ZoneUnlisted,
        FaultKind::WorkersRestart,
        FaultKind::CoordinatorKilled,
    ];
    simulate(14_127, restarts(), &kinds, 5_000, 6);
}

/// Orders leave a busy host seconds after they were decided, in any order, and replies are processed as late.
#[test]
fn verify_promises_hold_while_orders_and_events_are_queued() {
    let kinds = [
        FaultKind::OrdersQueued,
        FaultKind::EventsQueued,
        FaultKind::CoordinatorSlow,
        FaultKind::CoordinatorStalled,
    ];
    for seed in 920_001..920_009 {
        let behavior = WorkerBehavior::draw(seed);
        let workload = Workload::default().with_worker_behavior(behavior);
        simulate(seed, workload, &kinds, 7_000, 5);
    }
}

/// A zone is cut off in one direction or both, for longer than leases last, and what was sent arrives at the end.
#[test]
fn verify_promises_hold_while_held_messages_arrive_in_bursts() {
    let kinds = [
        FaultKind::ZoneCut,
        FaultKind::ZoneOrdersHeld,
        FaultKind::ZoneRepliesHeld,
        FaultKind::ZoneUnlisted,
        FaultKind::CoordinatorStalled,
    ];
    for seed in 921_001..921_009 {
        let behavior = WorkerBehavior::draw(seed);
        let workload = Workload::default().with_worker_behavior(behavior);
        simulate(seed, workload, &kinds, 14_000, 5);
    }
}
