//! An outage of the store in which the owner of a zone dies: gangs go on, nothing new starts.

use ragwortwick_border::{
    CommitCommand, GangMember, GangSpec, ReserveCommand, StoreGet, WorkerCommand, WorkerOrder,
    WorkerOutcome, ZoneOwner,
};
use ragwortwick_core::{CustomerName, DurationMs, Epoch, GangId, JobId, WorkerName, ZoneName};
use ragwortwick_platform::{WorkerClient, WorkerClientOptions};
use ragwortwick_standin::{Faults, Fleet, FleetOptions, LogEvent, now, wait_until};
use serde_json::{Map, json};

const BINARY: &str = env!("CARGO_BIN_EXE_ragwortwickd");

/// Lease of the test's members: longer than two rounds of a caretaker, shorter than its renewal.
const SHORT_LEASE_MS: DurationMs = DurationMs(13_000);

async fn one_zone() -> Fleet {
    let mut settings = Map::new();
    settings.insert("owner_lease_ms".to_owned(), json!(3_000));
    let options = FleetOptions {
        hosts: 3,
        zones: vec![ZoneName::new("east")],
        workers: 4,
        runners: 0,
        settings,
        ..FleetOptions::two_zones(BINARY)
    };
    Fleet::open_with_table(options).await.expect("a fleet")
}

/// The owner's number and epoch.
async fn wait_for_owner(fleet: &Fleet) -> (usize, Epoch) {
    let zone = &fleet.zones()[0];
    wait_until("the zone has an owner", async || {
        fleet.owner(zone).is_some()
    })
    .await;
    let key = format!("zones/{zone}/owner");
    let reply = fleet
        .store
        .with_state(|state| state.get(now(), &StoreGet { key }));
    let value = reply.entry.expect("an owner").value;
    let owner: ZoneOwner = serde_json::from_str(&value).expect("an owner");
    (fleet.owner(zone).expect("an owner"), owner.epoch)
}

fn gang(job: &str, workers: &[&str]) -> GangSpec {
    let job_id = JobId::new(job);
    let member = |worker: &&str| GangMember {
        worker: WorkerName::new(worker),
        device_mask: 0x0f,
        tasks: 4,
    };
    GangSpec {
        gang_id: GangId::of_attempt(&job_id, 1),
        job_id,
        attempt: 1,
        customer: CustomerName::new("padana"),
        is_borrowed: false,
        members: workers.iter().map(member).collect(),
        payload: json!({ "run_ms": 120_000 }).to_string(),
    }
}

/// Starts one member of a gang, as its owner did before it died.
async fn start(fleet: &Fleet, spec: &GangSpec, worker: &str, epoch: Epoch) {
    let client = WorkerClient::open(&WorkerClientOptions::default());
    let address = fleet.workers.address().to_string();
    let reserve = WorkerCommand::Reserve(ReserveCommand {
        spec: spec.clone(),
        lease_ms: SHORT_LEASE_MS,
    });
    let commit = WorkerCommand::Commit(CommitCommand {
        gang_id: spec.gang_id.clone(),
        lease_ms: SHORT_LEASE_MS,
    });
    for command in [reserve, commit] {
        let order = WorkerOrder { epoch, command };
        let reply = client
            .order(&address, &WorkerName::new(worker), &order)
            .await
            .expect("an answer");
        assert_eq!(reply.outcome, WorkerOutcome::Done);
    }
}

fn lease_left_ms(fleet: &Fleet, worker: &str, spec: &GangSpec) -> Option<DurationMs> {
    let held = fleet
        .workers
        .with_state(|state| state.held(now(), &WorkerName::new(worker)));
    held.iter()
        .find(|member| member.spec.gang_id == spec.gang_id)
        .map(|member| member.lease_left_ms)
}

fn store_down(fleet: &Fleet) {
    let kinds = [
        "get",
        "list",
        "cas",
        "watch",
        "lease_grant",
        "lease_renew",
        "lease_revoke",
    ];
    fleet.store.set_faults(Faults {
        only: kinds.map(str::to_owned).to_vec(),
        down: true,
        ..Faults::default()
    });
}

async fn wait_for_caretaker(fleet: &Fleet) {
    wait_until("one of the hosts takes care", async || {
        let is_round = |line: &String| line.contains("event=caretaker_round");
        let mut hosts = fleet.daemons.iter();
        hosts.any(|daemon| daemon.lines().iter().any(is_round))
    })
    .await;
}

// Callers of running jobs notice nothing though the store is away and the owner of the zone dies in
// the outage: another host renews the leases of gangs that are whole, under the epoch that the
// workers show. A gang that lost a member is left to lapse, so that no part of it goes on running.
#[tokio::test(flavor = "multi_thread")]
async fn verify_whole_gangs_outlive_the_owner_during_an_outage() {
    let mut fleet = one_zone().await;
    let (owner, epoch) = wait_for_owner(&fleet).await;
    store_down(&fleet);
    fleet.daemons[owner].kill().expect("killed");
    wait_for_caretaker(&fleet).await;
    let whole = gang("whole", &["worker-0", "worker-1"]);
    start(&fleet, &whole, "worker-0", epoch).await;
    start(&fleet, &whole, "worker-1", epoch).await;
    let partial = gang("partial", &["worker-2", "worker-3"]);
    start(&fleet, &partial, "worker-2", epoch).await;
    for worker in ["worker-0", "worker-1"] {
        wait_until("the whole gang is renewed", async || {
            lease_left_ms(&fleet, worker, &whole).is_some_and(|left| left > SHORT_LEASE_MS)
        })
        .await;
    }
    wait_until("the partial gang lapses", async || {
        fleet.workers.log().count("partial.1", LogEvent::Lapsed) == 1
    })
    .await;
    assert_eq!(fleet.workers.log().count("whole.1", LogEvent::Lapsed), 0);
    assert_eq!(fleet.workers.log().count("whole.1", LogEvent::Started), 2);
    fleet.close().await;
}

// The store is away and every host is replaced, so that nobody remembers anything. The new hosts
// know the workers from the host list and keep alive what runs there, under the epoch that the
// workers show, until the store is back.
#[tokio::test(flavor = "multi_thread")]
async fn verify_gangs_outlive_every_host_during_an_outage() {
    let mut fleet = one_zone().await;
    let (_, epoch) = wait_for_owner(&fleet).await;
    store_down(&fleet);
    fleet.kill_all().expect("killed");
    for host in 0..3 {
        fleet.replace_daemon(host).await.expect("a new host");
    }
    wait_for_caretaker(&fleet).await;
    let whole = gang("whole", &["worker-0", "worker-1"]);
    start(&fleet, &whole, "worker-0", epoch).await;
    start(&fleet, &whole, "worker-1", epoch).await;
    for worker in ["worker-0", "worker-1"] {
        wait_until("the gang is renewed", async || {
            lease_left_ms(&fleet, worker, &whole).is_some_and(|left| left > SHORT_LEASE_MS)
        })
        .await;
    }
    assert_eq!(fleet.workers.log().count("whole.1", LogEvent::Lapsed), 0);
    fleet.close().await;
}
