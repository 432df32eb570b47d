//! Checks the lifecycle of gangs: all-or-none start, completion, cancellation and requeue.

mod fake_zone;

use fake_zone::tables::table;
use fake_zone::{ActualRun, Delivery, FakeZone, job};
use ragwortwick_border::{JobPhase, WorkerCommand};
use ragwortwick_core::WorkerName;

const RACK: &[u32] = &[8, 8, 8, 8];

#[test]
fn verify_job_runs_whole_and_finishes() {
    let mut zone = FakeZone::started(&[RACK], table(&[("a", 1, 16)]));
    let job_id = zone.submit("j1", "a", "batch", 1, 16);
    zone.run_for(100);
    assert_eq!(zone.running(&job_id).len(), 1);
    assert_eq!(zone.commits.len(), 2);
    zone.run_for(70_000);
    assert_eq!(zone.phase(&job_id), JobPhase::Finished);
    assert!(zone.workers.values().all(|worker| worker.gangs.is_empty()));
}

#[test]
fn verify_refused_reservation_starts_nothing() {
    // One of two workers refuses its reservation after the other accepted. Without a release the accepted
    // member keeps its accelerators; if commits did not wait for all reservations, it would run alone.
    let mut zone = FakeZone::started(&[RACK], table(&[("a", 2, 16)]));
    zone.set_delivery(|worker, command| {
        let is_reserve = matches!(command, WorkerCommand::Reserve(_));
        if is_reserve && worker.as_str() == "r00w1" {
            Delivery::Refuse
        } else {
            Delivery::Deliver
        }
    });
    let job_id = zone.submit("j1", "a", "batch", 1, 16);
    zone.run_for(300);
    assert!(zone.commits.is_empty());
    assert!(zone.workers.values().all(|worker| worker.gangs.is_empty()));
    zone.run_for(3_000);
    // The job is placed on workers that accept it.
    assert_eq!(zone.running(&job_id).len(), 1);
    assert!(zone.partial_gangs().is_empty());
}

#[test]
fn verify_cancelled_job_frees_its_workers_and_never_comes_back() {
    let mut zone = FakeZone::started(&[RACK], table(&[]));
    let job_id = zone.submit("j1", "a", "batch", 4, 8);
    zone.run_for(1_000);
    zone.cancel(&job_id);
    zone.run_for(10_000);
    assert_eq!(zone.phase(&job_id), JobPhase::Cancelled);
    assert!(zone.running(&job_id).is_empty());
    assert_eq!(zone.start_count(&job_id), 1);
}

#[test]
fn verify_lost_member_stops_the_gang_and_requeues_it() {
    // The worker of one member dies. The other member is stopped once the worker counts as lost, and the
    // job starts again elsewhere after the dead member's lease has expired.
    let mut zone = FakeZone::started(&[RACK], table(&[("a", 1, 16)]));
    let spec = job("j1", "a", "batch", 1, 16);
    let actual_run = ActualRun {
        run_ms: 600_000,
        fails: false,
    };
    let job_id = zone.submit_job(spec, actual_run);
    zone.run_for(1_000);
    let dead = zone.commits[0].1.clone();
    zone.kill(&dead);
    zone.run_for(20_000);
    assert!(zone.partial_gangs().is_empty());
    zone.run_for(70_000);
    assert_eq!(zone.running(&job_id).len(), 1);
    assert_eq!(zone.start_count(&job_id), 2);
}

#[test]
fn verify_guarantee_is_reclaimed_from_borrowed_work_in_time() {
    let mut zone = FakeZone::started(&[RACK], table(&[("a", 2, 16)]));
    let actual_run = ActualRun {
        run_ms: 3_600_000,
        fails: false,
    };
    let borrowed = zone.submit_job(job("b1", "b", "batch", 4, 8), actual_run);
    zone.run_for(1_000);
    assert_eq!(zone.running(&borrowed).len(), 1);
    let urgent = zone.submit("a1", "a", "urgent", 2, 16);
    zone.run_for(5_000);
    assert_eq!(zone.running(&urgent).len(), 1);
    assert!(zone.running(&borrowed).is_empty());
    zone.run_for(120_000);
    assert_eq!(zone.running(&borrowed).len(), 1);
}

#[test]
fn verify_shape_that_fits_nowhere_is_refused_at_once() {
    let mut zone = FakeZone::started(&[RACK], table(&[]));
    let job_id = zone.submit("j1", "a", "batch", 1, 64);
    assert_eq!(zone.phase(&job_id), JobPhase::Failed);
    assert!(
        zone.records[&job_id]
            .reason
            .contains("do not fit this zone")
    );
}

#[test]
fn verify_new_owner_finishes_half_committed_gang_and_undoes_uncommitted_one() {
    // The owner dies after one of two commits reached its worker. The new owner reads one running and
    // one reserved member, which proves that all were reserved, and commits the second.
    let mut zone = FakeZone::started(&[RACK], table(&[]));
    let mut commits = 0;
    zone.set_delivery(move |_, command| {
        if matches!(command, WorkerCommand::Commit(_)) {
            commits += 1;
            if commits > 1 {
                return Delivery::LoseOrder;
            }
        }
        Delivery::Deliver
    });
    let job_id = zone.submit("j1", "a", "batch", 2, 8);
    zone.run_for(10);
    assert_eq!(zone.partial_gangs().len(), 1);
    zone.set_delivery(|_, _| Delivery::Deliver);
    zone.take_over();
    zone.run_for(1_000);
    assert!(zone.partial_gangs().is_empty());
    assert_eq!(zone.running(&job_id).len(), 1);
    let workers: Vec<WorkerName> = zone.commits.iter().map(|(_, w)| w.clone()).collect();
    assert_eq!(workers.len(), 2);
}

#[test]
fn verify_start_of_unrepeatable_job_is_recorded_before_its_commit() {
    let mut zone = FakeZone::started(&[RACK], table(&[("a", 1, 8)]));
    let mut spec = job("j1", "a", "batch", 1, 8);
    spec.repeatable = false;
    zone.is_store_unavailable = true;
    let actual_run = ActualRun {
        run_ms: 60_000,
        fails: false,
    };
    let job_id = zone.submit_job(spec, actual_run);
    zone.run_for(1_000);
    assert!(zone.commits.is_empty());
    zone.write_pending();
    zone.run_for(1_000);
    assert_eq!(zone.commits.len(), 1);
    assert_eq!(zone.phase(&job_id), JobPhase::Starting);
    let worker = zone.commits[0].1.clone();
    zone.kill(&worker);
    zone.run_for(120_000);
    assert_eq!(zone.phase(&job_id), JobPhase::MayHaveRun);
    assert_eq!(zone.commits.len(), 1);
}
