//! Accepted jobs through kills of every host, in any order, at any point.

use std::time::Duration;

use ragwortwick_border::JobPhase;
use ragwortwick_core::{GangId, ZoneName};
use ragwortwick_standin::{Faults, Fleet, FleetOptions, LogEvent, sample_job, wait_until};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::{Map, json};

const BINARY: &str = env!("CARGO_BIN_EXE_ragwortwickd");

/// Jobs of the storm; half of them must not be repeated.
const JOBS: usize = 12;

/// Seed of the storm's kills and faults, unless `STORM_SEED` has another; a failing one becomes a
/// test of its own.
const SEED: u64 = 20_261_202;

async fn fleet(hosts: usize) -> Fleet {
    let mut settings = Map::new();
    settings.insert("owner_lease_ms".to_owned(), json!(3_000));
    let options = FleetOptions {
        hosts,
        zones: vec![ZoneName::new("east")],
        workers: 8,
        runners: 0,
        settings,
        ..FleetOptions::two_zones(BINARY)
    };
    Fleet::open_with_table(options).await.expect("a fleet")
}

async fn submit(fleet: &Fleet, id: &str, run_ms: u64, is_repeatable: bool) {
    let job = sample_job(id, 2, run_ms, is_repeatable);
    let mut host = 0;
    wait_until(&format!("job {id} is accepted"), async || {
        host = (host + 1) % fleet.daemons.len();
        fleet.caller.job(fleet.address(host), &job).await.is_ok()
    })
    .await;
}

/// Members started in each attempt of a job; more than the gang's size is a double start.
fn starts(fleet: &Fleet, id: &str) -> Vec<usize> {
    let job = id.into();
    (1..=5)
        .map(|attempt| GangId::of_attempt(&job, attempt))
        .map(|gang| fleet.workers.log().count(gang.as_str(), LogEvent::Started))
        .collect()
}

/// Members started in all attempts.
fn started(fleet: &Fleet, id: &str) -> usize {
    starts(fleet, id).iter().sum()
}

// Callers see every accepted job finish, whatever is killed. Each round kills one or all hosts at a
// random moment, puts empty ones in their place, and loses answers of the store meanwhile. A job
// that must not be repeated is started once; no attempt of any job starts a member twice.
#[tokio::test(flavor = "multi_thread")]
async fn verify_storm_of_kills_loses_and_doubles_no_job() {
    let mut fleet = fleet(3).await;
    let seed = std::env::var("STORM_SEED").ok();
    let seed = seed.and_then(|seed| seed.parse().ok()).unwrap_or(SEED);
    println!("seed={seed}");
    let mut rng = StdRng::seed_from_u64(seed);
    for number in 0..JOBS {
        submit(&fleet, &format!("job-{number}"), 300, number % 2 == 0).await;
        if number % 3 != 2 {
            continue;
        }
        fleet.store.set_faults(Faults {
            only: vec!["cas".to_owned()],
            lose_answers: rng.random_range(0..4),
            ..Faults::default()
        });
        tokio::time::sleep(Duration::from_millis(rng.random_range(0..1_500))).await;
        let hosts: Vec<usize> = if rng.random_bool(0.5) {
            fleet.kill_all().expect("killed");
            (0..3).collect()
        } else {
            let host = rng.random_range(0..3);
            fleet.daemons[host].kill().expect("killed");
            vec![host]
        };
        for host in hosts {
            fleet.replace_daemon(host).await.expect("a new host");
        }
    }
    fleet.store.set_faults(Faults {
        only: vec!["cas".to_owned()],
        ..Faults::default()
    });
    for number in 0..JOBS {
        let id = format!("job-{number}");
        wait_until(&format!("{id} ends"), async || {
            let phase = fleet.record(&id).map(|record| record.phase);
            matches!(phase, Some(JobPhase::Finished | JobPhase::MayHaveRun))
        })
        .await;
        let starts = starts(&fleet, &id);
        assert!(
            starts.iter().all(|started| *started <= 2),
            "{id}: {starts:?}"
        );
        let is_repeatable = number % 2 == 0;
        if is_repeatable {
            let phase = fleet.record(&id).map(|record| record.phase);
            assert_eq!(phase, Some(JobPhase::Finished), "{id}");
        } else {
            assert!(starts.iter().sum::<usize>() <= 2, "{id}: {starts:?}");
        }
    }
    fleet.close().await;
}

/// `Blow` is one fault of the second storm.
#[derive(Clone, Copy, Debug)]
enum Blow {
    KillOne,
    KillAll,
    FreezeOwner,
    StoreDown,
    StoreAnswersLost,
    WorkerAnswersLost,
    LeasesLapse,
}

const BLOWS: [Blow; 7] = [
    Blow::KillOne,
    Blow::KillAll,
    Blow::FreezeOwner,
    Blow::StoreDown,
    Blow::StoreAnswersLost,
    Blow::WorkerAnswersLost,
    Blow::LeasesLapse,
];

async fn strike(fleet: &mut Fleet, blow: Blow, rng: &mut StdRng) {
    let some = rng.random_range(1..4);
    let kinds = ["get", "list", "cas", "watch", "lease_grant", "lease_renew"];
    match blow {
        Blow::KillOne => {
            let host = rng.random_range(0..3);
            fleet.daemons[host].kill().expect("killed");
            fleet.replace_daemon(host).await.expect("a new host");
        }
        Blow::KillAll => {
            fleet.kill_all().expect("killed");
            for host in 0..3 {
                fleet.replace_daemon(host).await.expect("a new host");
            }
        }
        Blow::FreezeOwner => {
            if let Some(owner) = fleet.owner(&fleet.zones()[0]) {
                fleet.daemons[owner].freeze().expect("frozen");
                tokio::time::sleep(Duration::from_secs(5)).await;
                fleet.daemons[owner].wake().expect("woken");
            }
        }
        Blow::StoreDown => fleet.store.set_faults(Faults {
            only: kinds.map(str::to_owned).to_vec(),
            down: true,
            ..Faults::default()
        }),
        Blow::StoreAnswersLost => fleet.store.set_faults(Faults {
            only: kinds.map(str::to_owned).to_vec(),
            lose_answers: some,
            ..Faults::default()
        }),
        Blow::WorkerAnswersLost => fleet.workers.set_faults(Faults {
            lose_answers: some,
            ..Faults::default()
        }),
        Blow::LeasesLapse => fleet.store.set_faults(Faults {
            lapse_leases: true,
            ..Faults::default()
        }),
    }
}

fn heal(fleet: &Fleet) {
    fleet.store.set_faults(Faults::default());
    fleet.workers.set_faults(Faults::default());
}

// Two faults at once, again and again, while jobs of every length are accepted and run: kills,
// freezes past the lease, a store that is down, forgets its leases or loses answers, workers whose
// answers are lost. Callers see every accepted job end; none that must not be repeated starts twice,
// and no attempt starts a member twice.
#[tokio::test(flavor = "multi_thread")]
async fn verify_storm_of_double_faults_loses_and_doubles_no_job() {
    let mut fleet = fleet(3).await;
    let seed = std::env::var("STORM_SEED").ok();
    let seed = seed.and_then(|seed| seed.parse().ok()).unwrap_or(SEED);
    println!("seed={seed}");
    let mut rng = StdRng::seed_from_u64(seed);
    for number in 0..JOBS {
        let run_ms = rng.random_range(100..4_000);
        submit(&fleet, &format!("job-{number}"), run_ms, number % 2 == 0).await;
        if number % 3 != 2 {
            continue;
        }
        let pair: [Blow; 2] = std::array::from_fn(|_| BLOWS[rng.random_range(0..BLOWS.len())]);
        println!("blows={pair:?}");
        for blow in pair {
            strike(&mut fleet, blow, &mut rng).await;
        }
        tokio::time::sleep(Duration::from_millis(rng.random_range(0..2_000))).await;
        heal(&fleet);
    }
    for number in 0..JOBS {
        let id = format!("job-{number}");
        wait_until(&format!("{id} ends"), async || {
            let phase = fleet.record(&id).map(|record| record.phase);
            matches!(phase, Some(JobPhase::Finished | JobPhase::MayHaveRun))
        })
        .await;
        let starts = starts(&fleet, &id);
        assert!(
            starts.iter().all(|started| *started <= 2),
            "{id}: {starts:?}"
        );
        let is_repeatable = number % 2 == 0;
        let phase = fleet.record(&id).map(|record| record.phase);
        if is_repeatable {
            assert_eq!(phase, Some(JobPhase::Finished), "{id}");
        } else {
            assert!(started(&fleet, &id) <= 2, "{id}: {starts:?}");
        }
    }
    fleet.close().await;
}

// A gang runs while its zone's owner is killed. The next owner finds it by its inventory and renews
// it; the caller sees one start and one finish, and the gang's lease never runs out.
#[tokio::test(flavor = "multi_thread")]
async fn verify_running_gang_is_taken_over() {
    let mut fleet = fleet(3).await;
    submit(&fleet, "long", 12_000, false).await;
    wait_until("the gang runs", async || started(&fleet, "long") == 2).await;
    let owner = fleet.owner(&fleet.zones()[0]).expect("an owner");
    fleet.daemons[owner].kill().expect("killed");
    fleet.wait_for_phase("long", JobPhase::Finished).await;
    assert_eq!(starts(&fleet, "long"), [2, 0, 0, 0, 0]);
    assert!(fleet.gang_events("long", LogEvent::Lapsed).is_empty());
    fleet.close().await;
}

// The store is away while the owner lives. Running gangs fill the zone until after the lease has
// lapsed; what waits is started then, under the epoch that the owner goes on with. A job that must
// not be repeated waits for the store, since its start has to be recorded first.
#[tokio::test(flavor = "multi_thread")]
async fn verify_accepted_jobs_start_during_an_outage() {
    let fleet = fleet(3).await;
    for number in 0..4 {
        let id = format!("fills-{number}");
        submit(&fleet, &id, 9_000, true).await;
        wait_until(&format!("{id} runs"), async || started(&fleet, &id) == 2).await;
    }
    submit(&fleet, "waits", 500, true).await;
    submit(&fleet, "once", 500, false).await;
    let kinds = ["get", "list", "cas", "watch", "lease_grant", "lease_renew"];
    fleet.store.set_faults(Faults {
        only: kinds.map(str::to_owned).to_vec(),
        down: true,
        ..Faults::default()
    });
    let holder = fleet.owner(&fleet.zones()[0]).expect("an owner");
    wait_until("the owner holds on", async || {
        let is_holding = |line: &String| line.contains("state=holding");
        fleet.daemons[holder].lines().iter().any(is_holding)
    })
    .await;
    assert_eq!(started(&fleet, "waits"), 0);
    wait_until("the job that waits starts", async || {
        started(&fleet, "waits") == 2
    })
    .await;
    assert_eq!(started(&fleet, "once"), 0);
    fleet.store.set_faults(Faults {
        only: kinds.map(str::to_owned).to_vec(),
        ..Faults::default()
    });
    for id in ["fills-0", "fills-1", "fills-2", "fills-3", "waits", "once"] {
        fleet.wait_for_phase(id, JobPhase::Finished).await;
        assert_eq!(started(&fleet, id), 2, "{id}");
    }
    fleet.close().await;
}
