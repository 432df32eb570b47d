//! Kills of entry hosts that hold accepted jobs, in every phase of a job, all hosts at once included.

use ragwortwick_border::JobPhase;
use ragwortwick_standin::{
    Faults, Fleet, FleetOptions, LogEvent, sample_job, sample_request, wait_until,
};

async fn open_fleet() -> Fleet {
    let options = FleetOptions::two_zones(env!("CARGO_BIN_EXE_ragwortwickd"));
    let fleet = Fleet::open_with_table(options).await;
    fleet.expect("the fleet starts")
}

async fn accept(fleet: &Fleet, index: usize, id: &str, run_ms: u64) {
    let job = sample_job(id, 2, run_ms, true);
    let accepted = fleet.caller.job(fleet.address(index), &job).await;
    accepted.expect("the job is accepted");
}

async fn wait_for_starts(fleet: &Fleet, id: &str) {
    wait_until("the gang runs whole", async || {
        fleet.gang_events(id, LogEvent::Started).len() == 2
    })
    .await;
}

async fn restart_all(fleet: &mut Fleet) {
    for index in 0..fleet.daemons.len() {
        let restarted = fleet.replace_daemon(index).await;
        restarted.expect("an empty host takes its place");
    }
}

// The caller sees 202 and later a finished job, started once.
// All hosts are killed while the gang runs; hosts with empty memory come back before the workers'
// leases lapse. The new owner finds the gang on its workers and renews it.
// Without the inventory it would start the job a second time beside the running gang.
#[tokio::test(flavor = "multi_thread")]
async fn verify_a_running_gang_survives_the_kill_of_every_host() {
    let mut fleet = open_fleet().await;
    accept(&fleet, 0, "running", 20_000).await;
    wait_for_starts(&fleet, "running").await;
    fleet.kill_all().expect("the hosts are killed");
    restart_all(&mut fleet).await;
    fleet.wait_for_phase("running", JobPhase::Finished).await;
    assert_eq!(fleet.gang_events("running", LogEvent::Started).len(), 2);
    assert_eq!(fleet.gang_events("running", LogEvent::Lapsed).len(), 0);
    fleet.close().await;
}

// The caller sees 202 for more jobs than fit, and every one of them finishes.
// All hosts are killed while some gangs run and the others wait for room.
// The records in the store are all that is left of the waiting jobs.
#[tokio::test(flavor = "multi_thread")]
async fn verify_waiting_jobs_survive_the_kill_of_every_host() {
    let mut fleet = open_fleet().await;
    let ids: Vec<String> = (0..8).map(|number| format!("wave-{number}")).collect();
    for (number, id) in ids.iter().enumerate() {
        accept(&fleet, number % 3, id, 3_000).await;
    }
    fleet.kill_all().expect("the hosts are killed");
    restart_all(&mut fleet).await;
    for id in &ids {
        fleet.wait_for_phase(id, JobPhase::Finished).await;
        let finished = fleet.gang_events(id, LogEvent::Finished).len();
        assert_eq!(finished, 2, "both members of {id} finish once");
    }
    fleet.close().await;
}

// The caller sees 202 and later a finished job; no gang ever runs in part.
// One worker answers no order, so the gang is half reserved when every host is killed.
// Reservations lapse by themselves and the new owner starts the job afresh.
#[tokio::test(flavor = "multi_thread")]
async fn verify_a_half_reserved_gang_survives_the_kill_of_every_host() {
    let mut fleet = open_fleet().await;
    // Owners know their workers once a gang of all of them has run in each zone.
    for zone in fleet.zones() {
        let id = format!("first-in-{zone}");
        let mut job = sample_job(&id, 4, 50, true);
        job.zone = Some(zone.clone());
        let accepted = fleet.caller.job(fleet.address(0), &job).await;
        accepted.expect("the job is accepted");
        fleet.wait_for_phase(&id, JobPhase::Finished).await;
    }
    fleet.workers.set_faults(Faults {
        only: vec!["worker-0".to_owned(), "worker-1".to_owned()],
        silent: true,
        ..Faults::default()
    });
    // Three workers of each zone answer: a gang of four stays half reserved.
    let job = sample_job("starting", 4, 300, true);
    let accepted = fleet.caller.job(fleet.address(0), &job).await;
    accepted.expect("the job is accepted");
    wait_until("members are reserved", async || {
        !fleet.gang_events("starting", LogEvent::Reserved).is_empty()
    })
    .await;
    fleet.kill_all().expect("the hosts are killed");
    fleet.workers.set_faults(Faults::default());
    restart_all(&mut fleet).await;
    fleet.wait_for_phase("starting", JobPhase::Finished).await;
    let finished = fleet.gang_events("starting", LogEvent::Finished).len();
    assert_eq!(finished, 4);
    fleet.close().await;
}

// The caller that cancelled sees a cancelled job, though its zone's owner never heard of the wish.
// The owner is frozen, another host takes the wish, and then all hosts die. The wish is in the store
// before the answer, so the next owner carries it out on the gang that it finds running.
#[tokio::test(flavor = "multi_thread")]
async fn verify_a_cancelled_job_stays_cancelled_after_the_kill_of_every_host() {
    let mut fleet = open_fleet().await;
    let mut job = sample_job("cancelled", 2, 30_000, true);
    job.zone = Some(fleet.daemons[1].zone().clone());
    let accepted = fleet.caller.job(fleet.address(1), &job).await;
    let id = accepted.expect("the job is accepted").job_id;
    wait_for_starts(&fleet, "cancelled").await;
    fleet.daemons[1].freeze().expect("the owner is frozen");
    let answer = fleet.caller.cancel_job(fleet.address(0), &id).await;
    answer.expect("the wish is recorded");
    fleet.kill_all().expect("the hosts are killed");
    restart_all(&mut fleet).await;
    fleet.wait_for_phase("cancelled", JobPhase::Cancelled).await;
    assert_eq!(fleet.gang_events("cancelled", LogEvent::Started).len(), 2);
    assert_eq!(fleet.gang_events("cancelled", LogEvent::Finished).len(), 0);
    fleet.close().await;
}

// Callers of the other hosts notice nothing when one entry host is killed.
// The job accepted by the killed host goes on: its record is in the store, its gang on the workers.
#[tokio::test(flavor = "multi_thread")]
async fn verify_the_kill_of_one_host_is_not_noticed_at_the_others() {
    let mut fleet = open_fleet().await;
    accept(&fleet, 0, "accepted", 3_000).await;
    fleet.daemons[0].kill().expect("the host is killed");
    for number in 0..20 {
        let id = format!("other-{number}");
        let request = sample_request(&id, 5, false);
        let address = fleet.address(1 + number % 2);
        let outcome = fleet.caller.request(address, &request).await;
        let outcome = outcome.expect("an outcome");
        assert!(
            matches!(outcome, ragwortwick_border::RequestOutcome::Answered(_)),
            "{outcome:?}"
        );
        assert_eq!(fleet.runners.starts(&id), 1);
    }
    fleet.wait_for_phase("accepted", JobPhase::Finished).await;
    assert_eq!(fleet.gang_events("accepted", LogEvent::Finished).len(), 2);
    fleet.close().await;
}
