//! Zones that operators evacuate: nothing starts there, and work that needs them goes elsewhere.

mod rig;

use std::collections::BTreeSet;

use ragwortwick_area::{EndKind, Event, Limits, OrderReply, StepSpec, WorkerEntry};
use rig::{Rig, ended, gang, running, step, worker};

const EVACUATED: &str = "a";

fn worker_in(zone: &str, name: &str) -> WorkerEntry {
    WorkerEntry {
        zone: zone.into(),
        ..worker(name, &format!("rack-{zone}"))
    }
}

/// Two workers in each of three zones; a rack is part of one zone.
fn three_zones() -> Vec<WorkerEntry> {
    let names = [
        ("a", "w1"),
        ("a", "w2"),
        ("b", "w3"),
        ("b", "w4"),
        ("c", "w5"),
        ("c", "w6"),
    ];
    names
        .iter()
        .map(|(zone, name)| worker_in(zone, name))
        .collect()
}

fn workers_of(
    starts: &[(ragwortwick_core::WorkerName, ragwortwick_area::TaskId, u32)],
) -> BTreeSet<&str> {
    starts.iter().map(|start| start.0.as_str()).collect()
}

/// Guards against tasks that start in a zone after its evacuation.
#[test]
fn verify_tasks_start_only_outside_an_evacuated_zone() {
    let mut rig = Rig::new(&three_zones());
    rig.evacuate(&[EVACUATED]);
    rig.submit("00000000000000a0", "middle", step(20, 2));
    let starts = rig.start_all();
    assert_eq!(starts.len(), 16, "the other zones are full");
    assert_eq!(
        workers_of(&starts),
        BTreeSet::from(["w3", "w4", "w5", "w6"])
    );
}

/// Guards against a gang that begins with a part of its members because one worker's zone is evacuated
/// between its placement and its start.
#[test]
fn verify_a_gang_placed_before_the_evacuation_starts_whole_elsewhere() {
    let mut rig = Rig::new(&three_zones());
    rig.submit("00000000000000a0", "middle", gang(3, 8));
    rig.advance(20);
    rig.evacuate(&[EVACUATED, "b"]);
    rig.store_batches();
    for start in rig.starts() {
        assert!(start.0.as_str() >= "w5", "{start:?}");
        rig.accept(&start);
    }
    rig.evacuate(&[EVACUATED]);
    rig.advance(1_000);
    for stop in rig.stops() {
        rig.reply_to_stop(&stop, OrderReply::Accepted { clock_ms: 1 });
        let end = ended(1, &stop, EndKind::Stopped);
        rig.poll_reply(stop.0.as_str(), Vec::new(), vec![end]);
    }
    let starts = rig.start_all();
    assert_eq!(starts.len(), 3);
    assert!(!workers_of(&starts).contains("w1"));
    assert!(!workers_of(&starts).contains("w2"));
}

/// Guards against a start order that is repeated after the evacuation, when the first one never arrived.
#[test]
fn verify_an_unanswered_start_is_stopped_instead_of_repeated() {
    let mut rig = Rig::new(&[worker_in("a", "w1")]);
    rig.submit("00000000000000a0", "middle", step(1, 8));
    rig.advance(20);
    rig.store_batches();
    let starts = rig.starts();
    assert_eq!(starts.len(), 1);
    rig.reply(&starts[0], OrderReply::Unknown);
    rig.evacuate(&[EVACUATED]);
    rig.advance(500);
    assert!(rig.starts().is_empty());
    assert_eq!(rig.stops().len(), 1);
}

/// Guards against an urgent gang that preempts runs in an evacuated zone, where it can't start.
#[test]
fn verify_preemption_leaves_evacuated_workers_alone() {
    let mut rig = Rig::new(&three_zones());
    rig.submit("00000000000000a0", "middle", step(6, 8));
    assert_eq!(rig.start_all().len(), 6);
    rig.evacuate(&[EVACUATED]);
    rig.submit_as("00000000000000a1", "c", "urgent", gang(2, 8));
    rig.advance(100);
    let stops = rig.stops();
    assert_eq!(stops.len(), 2);
    assert!(workers_of(&stops).is_subset(&BTreeSet::from(["w3", "w4", "w5", "w6"])));
}

/// Guards against runs that are stopped because their zone gets nothing new.
#[test]
fn verify_running_work_goes_on_to_its_end() {
    let mut rig = Rig::new(&three_zones());
    rig.submit("00000000000000a0", "middle", step(6, 8));
    let starts = rig.start_all();
    rig.evacuate(&[EVACUATED]);
    for start in &starts {
        rig.poll_reply(start.0.as_str(), vec![running(start)], Vec::new());
    }
    rig.advance(2_000);
    assert!(rig.stops().is_empty());
}

/// Guards against a task that waits for a rack of an evacuated zone, however long the evacuation lasts.
#[test]
fn verify_a_task_with_its_data_in_an_evacuated_zone_runs_elsewhere() {
    let mut rig = Rig::new(&three_zones());
    rig.evacuate(&[EVACUATED]);
    // Keeps the pool busy: a mostly idle one takes tasks far from their data anyway.
    rig.submit("00000000000000a0", "middle", step(3, 8));
    assert_eq!(rig.start_all().len(), 3);
    let with_data = StepSpec {
        data_rack: Some("rack-a".into()),
        ..step(1, 8)
    };
    rig.submit("00000000000000a1", "middle", with_data);
    assert_eq!(rig.start_all().len(), 1);
}

/// Guards against starts by a coordinator that would not hear of an evacuation in time.
#[test]
fn verify_nothing_starts_while_evacuations_may_be_unknown() {
    let mut rig = Rig::new(&three_zones());
    rig.is_evacuation_feed_cut = true;
    rig.advance(Limits::default().evacuate_ms.0);
    rig.submit("00000000000000a0", "middle", step(1, 1));
    rig.advance(1_000);
    rig.store_batches();
    assert!(rig.starts().is_empty());
    rig.is_evacuation_feed_cut = false;
    assert_eq!(rig.start_all().len(), 1);
}

/// Guards against a new coordinator that starts work before it has heard which zones are evacuated.
#[test]
fn verify_a_new_coordinator_waits_for_the_evacuated_zones() {
    let mut rig = Rig::new(&three_zones());
    let recovered = Vec::new();
    rig.coordinator = ragwortwick_area::Coordinator::take_over(
        rig::at(rig.now.0),
        Limits::default(),
        rig::desired(),
        recovered,
        three_zones(),
    );
    rig.is_evacuation_feed_cut = true;
    let until = ragwortwick_core::TimeMs(1_000_000);
    rig.send(Event::LeaseExtended { until });
    rig.submit("00000000000000a0", "middle", step(1, 1));
    rig.advance(100);
    rig.store_batches();
    assert!(rig.starts().is_empty());
}

/// Guards against jobs that are lost or fail while every zone is evacuated, and against zones that stay
/// unused after their evacuation has ended.
#[test]
fn verify_jobs_wait_while_all_zones_are_evacuated_and_start_at_once_after() {
    let mut rig = Rig::new(&three_zones());
    rig.evacuate(&["a", "b", "c"]);
    rig.submit("00000000000000a0", "middle", step(6, 8));
    rig.advance(5_000);
    rig.store_batches();
    assert!(rig.starts().is_empty());
    rig.evacuate(&[]);
    assert_eq!(rig.start_all().len(), 6);
}

/// Guards against a report that arrives late and takes a zone back that a newer one evacuates.
#[test]
fn verify_an_older_report_does_not_replace_a_newer_one() {
    let mut rig = Rig::new(&three_zones());
    rig.advance(1_000);
    rig.evacuate(&["a", "b", "c"]);
    rig.is_evacuation_feed_cut = true;
    rig.send(Event::EvacuationsConfirmed {
        zones: std::sync::Arc::default(),
        as_of: rig.now - ragwortwick_core::DurationMs(500),
    });
    rig.submit("00000000000000a0", "middle", step(1, 1));
    rig.advance(100);
    rig.store_batches();
    assert!(rig.starts().is_empty());
}
