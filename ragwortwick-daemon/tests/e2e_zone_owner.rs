//! Ownership of a zone across processes: frozen owners that wake, and takeover after a kill.

use std::time::{Duration, Instant};

use ragwortwick_border::JobPhase;
use ragwortwick_core::ZoneName;
use ragwortwick_standin::{Faults, Fleet, FleetOptions, LogEvent, sample_job, wait_until};

/// Bound of the project on how long a zone stays without an owner after a kill.
const TAKEOVER_BOUND: Duration = Duration::from_secs(10);

/// A fleet of one zone, so that every host may own it.
async fn open_fleet() -> Fleet {
    let mut options = FleetOptions::two_zones(env!("CARGO_BIN_EXE_ragwortwickd"));
    options.zones = vec![ZoneName::new("east")];
    let fleet = Fleet::open_with_table(options).await;
    let fleet = fleet.expect("the fleet starts");
    wait_until("the zone has an owner", async || owner(&fleet).is_some()).await;
    fleet
}

fn owner(fleet: &Fleet) -> Option<usize> {
    fleet.owner(&fleet.zones()[0])
}

async fn accept(fleet: &Fleet, index: usize, id: &str, run_ms: u64) {
    let job = sample_job(id, 2, run_ms, true);
    let accepted = fleet.caller.job(fleet.address(index), &job).await;
    accepted.expect("the job is accepted");
}

async fn freeze_owner_past_its_lease(fleet: &Fleet) -> usize {
    let frozen = owner(fleet).expect("the zone has an owner");
    fleet.daemons[frozen].freeze().expect("the owner is frozen");
    wait_until("another host owns the zone", async || {
        owner(fleet).is_some_and(|index| index != frozen)
    })
    .await;
    frozen
}

// Callers see each job run once, though two hosts believed that they own the zone.
// The owner is frozen past its lease with work under way, another host takes over and goes on, then
// the frozen one wakes in the middle of what it did. Its orders carry a lower epoch.
#[tokio::test(flavor = "multi_thread")]
async fn verify_a_frozen_owner_that_wakes_starts_nothing_twice() {
    let fleet = open_fleet().await;
    accept(&fleet, 0, "before", 15_000).await;
    wait_until("the gang runs", async || {
        fleet.gang_events("before", LogEvent::Started).len() == 2
    })
    .await;
    let frozen = freeze_owner_past_its_lease(&fleet).await;
    let other = (frozen + 1) % fleet.daemons.len();
    for number in 0..4 {
        accept(&fleet, other, &format!("during-{number}"), 500).await;
    }
    fleet.daemons[frozen].wake().expect("the owner wakes");
    accept(&fleet, other, "after", 500).await;
    let ids = [
        "before", "during-0", "during-1", "during-2", "during-3", "after",
    ];
    for id in ids {
        fleet.wait_for_phase(id, JobPhase::Finished).await;
        let starts = fleet.gang_events(id, LogEvent::Started);
        assert_eq!(starts.len(), 2, "{id} is started once: {starts:?}");
    }
    fleet.close().await;
}

// Callers see each job run once, though the woken owner goes on as if it still owned the zone.
// It is frozen with gangs running and jobs waiting; its successor finishes the gangs and starts the
// waiting jobs. When it wakes, the store answers no renewal: only the higher epoch, which peers and
// workers show, can tell it.
#[tokio::test(flavor = "multi_thread")]
async fn verify_a_woken_owner_without_the_store_stands_back() {
    let fleet = open_fleet().await;
    let ids: Vec<String> = (0..10).map(|number| format!("fence-{number}")).collect();
    for id in &ids {
        accept(&fleet, 0, id, 4_000).await;
    }
    // Of gangs of two, the eight workers hold four.
    wait_until("the workers are full", async || started(&fleet, &ids) == 4).await;
    let frozen = freeze_owner_past_its_lease(&fleet).await;
    wait_until("the successor starts more", async || {
        started(&fleet, &ids) > 4
    })
    .await;
    fleet.store.set_faults(Faults {
        only: vec!["lease_renew".to_owned()],
        down: true,
        ..Faults::default()
    });
    fleet.daemons[frozen].wake().expect("the owner wakes");
    let host = fleet.daemons[frozen].host().clone();
    wait_until("the woken owner stands back", async || {
        let status = fleet.caller.status(fleet.address(frozen)).await;
        let hosts = status.map_or_else(|_| Vec::new(), |status| status.hosts);
        let own = hosts.into_iter().find(|row| row.host == host);
        own.is_some_and(|row| row.owned_zone.is_none())
    })
    .await;
    fleet.store.set_faults(Faults::default());
    for id in &ids {
        fleet.wait_for_phase(id, JobPhase::Finished).await;
        let starts = fleet.gang_events(id, LogEvent::Started);
        assert_eq!(starts.len(), 2, "{id} is started once: {starts:?}");
    }
    fleet.close().await;
}

fn started(fleet: &Fleet, ids: &[String]) -> usize {
    let is_started = |id: &&String| fleet.gang_events(id, LogEvent::Started).len() == 2;
    ids.iter().filter(is_started).count()
}

// A gang that runs goes on when the owner is killed, and new work starts within the bound.
#[tokio::test(flavor = "multi_thread")]
async fn verify_ownership_moves_after_a_kill_without_stopping_a_gang() {
    let mut fleet = open_fleet().await;
    accept(&fleet, 0, "running", 20_000).await;
    wait_until("the gang runs", async || {
        fleet.gang_events("running", LogEvent::Started).len() == 2
    })
    .await;
    let killed = owner(&fleet).expect("the zone has an owner");
    fleet.daemons[killed].kill().expect("the owner is killed");
    let killed_at = Instant::now();
    accept(&fleet, (killed + 1) % 3, "next", 300).await;
    wait_until("the next gang starts", async || {
        fleet.gang_events("next", LogEvent::Started).len() == 2
    })
    .await;
    let took = killed_at.elapsed();
    println!("ownership_moved_ms={}", took.as_millis());
    assert!(
        took < TAKEOVER_BOUND,
        "the next gang started after {took:?}"
    );
    fleet.wait_for_phase("running", JobPhase::Finished).await;
    assert_eq!(fleet.gang_events("running", LogEvent::Started).len(), 2);
    fleet.close().await;
}

// Two hosts believe that they own the zone: the store lapsed every lease at once, the holder does
// not know yet. Workers take orders of the higher epoch only, so each gang is started once.
#[tokio::test(flavor = "multi_thread")]
async fn verify_a_lapsed_lease_that_its_holder_missed_starts_nothing_twice() {
    let fleet = open_fleet().await;
    for number in 0..6 {
        accept(&fleet, number % 3, &format!("lapse-{number}"), 800).await;
        fleet.store.set_faults(Faults {
            lapse_leases: true,
            ..Faults::default()
        });
    }
    for number in 0..6 {
        let id = format!("lapse-{number}");
        fleet.wait_for_phase(&id, JobPhase::Finished).await;
        let finished = fleet.gang_events(&id, LogEvent::Finished);
        assert_eq!(finished.len(), 2, "{id} finishes once: {finished:?}");
    }
    fleet.close().await;
}
