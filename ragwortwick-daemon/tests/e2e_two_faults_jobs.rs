//! Two faults together.

use std::time::Duration;

use ragwortwick_border::JobPhase;
use ragwortwick_core::ZoneName;
use ragwortwick_standin::{Faults, Fleet, FleetOptions, LogEvent, sample_job, wait_until};

fn options() -> FleetOptions {
    FleetOptions::two_zones(env!("CARGO_BIN_EXE_ragwortwickd"))
}

async fn open_fleet(options: FleetOptions) -> Fleet {
    let fleet = Fleet::open_with_table(options).await;
    fleet.expect("the fleet starts")
}

async fn accept(fleet: &Fleet, index: usize, id: &str, run_ms: u64) {
    let job = sample_job(id, 2, run_ms, true);
    let accepted = fleet.caller.job(fleet.address(index), &job).await;
    accepted.expect("the job is accepted");
}

fn down() -> Faults {
    Faults {
        down: true,
        ..Faults::default()
    }
}

// The store goes down and then every host is killed; empty hosts come back first, the store later.
// Every accepted job finishes, and no gang has two runs at the same time.
#[tokio::test(flavor = "multi_thread")]
async fn verify_no_job_is_lost_when_hosts_die_during_an_outage() {
    let mut fleet = open_fleet(options()).await;
    for number in 0..6 {
        accept(&fleet, number % 3, &format!("outage-{number}"), 1_000).await;
    }
    fleet.store.set_faults(down());
    fleet.kill_all().expect("the hosts are killed");
    for index in 0..3 {
        let restarted = fleet.replace_daemon(index).await;
        restarted.expect("an empty host starts without the store");
    }
    tokio::time::sleep(Duration::from_secs(2)).await;
    fleet.store.set_faults(Faults::default());
    for number in 0..6 {
        let id = format!("outage-{number}");
        fleet.wait_for_phase(&id, JobPhase::Finished).await;
        assert_eq!(fleet.gang_events(&id, LogEvent::Finished).len(), 2);
    }
    fleet.close().await;
}

// The zone's owner is frozen past its lease, and the answers to its successor's writes are lost.
// Each job is started once.
#[tokio::test(flavor = "multi_thread")]
async fn verify_a_frozen_owner_and_lost_answers_start_nothing_twice() {
    let mut options = options();
    options.zones = vec![ZoneName::new("east")];
    let fleet = open_fleet(options).await;
    let zone = fleet.zones()[0].clone();
    wait_until("the zone has an owner", async || {
        fleet.owner(&zone).is_some()
    })
    .await;
    let frozen = fleet.owner(&zone).expect("the zone has an owner");
    accept(&fleet, frozen, "two-before", 300).await;
    fleet.daemons[frozen].freeze().expect("the owner is frozen");
    fleet.store.set_faults(Faults {
        only: vec!["cas".to_owned()],
        lose_answers: 3,
        ..Faults::default()
    });
    wait_until("another host owns the zone", async || {
        fleet.owner(&zone).is_some_and(|index| index != frozen)
    })
    .await;
    fleet.daemons[frozen].wake().expect("the owner wakes");
    let other = (frozen + 1) % 3;
    let job = sample_job("two-after", 2, 300, true);
    wait_until("the next job is accepted", async || {
        fleet.caller.job(fleet.address(other), &job).await.is_ok()
    })
    .await;
    for id in ["two-before", "two-after"] {
        fleet.wait_for_phase(id, JobPhase::Finished).await;
        let starts = fleet.gang_events(id, LogEvent::Started);
        assert_eq!(starts.len(), 2, "{id}: {starts:?}");
    }
    fleet.close().await;
}
