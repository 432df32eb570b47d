//! Ownership of a zone between processes: killed, frozen, cut from the store, and stopped.

use ragwortwick_border::{HostStatus, JobPhase, StoreGet, ZoneEpoch};
use ragwortwick_core::{Epoch, ZoneName};
use ragwortwick_standin::{
    Faults, Fleet, FleetOptions, LogEvent, Relay, RelayMode, now, sample_job, wait_until,
};
use serde_json::{Map, json};

const BINARY: &str = env!("CARGO_BIN_EXE_ragwortwickd");

/// Every kind of call to the store but the host list, which is another of the platform's ends.
const STORE_KINDS: [&str; 7] = [
    "get",
    "list",
    "cas",
    "watch",
    "lease_grant",
    "lease_renew",
    "lease_revoke",
];

/// Three hosts in one zone, with a short lease so that its end is soon seen.
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

/// Freezes the owner past its lease; gives it and the host that owns the zone then.
async fn freeze_until_replaced(fleet: &Fleet) -> (usize, usize) {
    let first = wait_for_owner(fleet, None).await;
    fleet.daemons[first].freeze().expect("frozen");
    let second = wait_for_owner(fleet, Some(first)).await;
    wait_until("the new owner knows", async || {
        owned_epoch(fleet, second).await.is_some()
    })
    .await;
    (first, second)
}

/// Starts the hosts anew, each with its own relay before the store, and gives the relays.
async fn put_relays_before_the_store(fleet: &mut Fleet) -> Vec<Relay> {
    let mut relays = Vec::new();
    for host in 0..fleet.daemons.len() {
        let relay = Relay::bind("127.0.0.1:0", fleet.store.address()).await;
        let relay = relay.expect("a free port");
        let mut options = fleet.daemon_options(host);
        options.store_address = relay.address().to_string();
        fleet.daemons[host].kill().expect("killed");
        fleet.daemons[host] = fleet.spawn_daemon(options).await.expect("a new host");
        relays.push(relay);
    }
    relays
}

fn epoch(fleet: &Fleet) -> Epoch {
    let key = "zones/east/epoch".to_owned();
    let reply = fleet
        .store
        .with_state(|state| state.get(now(), &StoreGet { key }));
    let given = reply.entry.map(|entry| {
        let given: ZoneEpoch = serde_json::from_str(&entry.value).expect("an epoch");
        given.epoch
    });
    given.unwrap_or(Epoch(0))
}

async fn wait_for_owner(fleet: &Fleet, not: Option<usize>) -> usize {
    let zone = &fleet.zones()[0];
    wait_until("the zone has an owner", async || {
        let owner = fleet.owner(zone);
        owner.is_some() && owner != not
    })
    .await;
    fleet.owner(zone).expect("an owner")
}

async fn host_status(fleet: &Fleet, host: usize) -> Option<HostStatus> {
    let status = fleet.caller.status(fleet.address(host)).await.ok()?;
    let name = fleet.daemons[host].host().clone();
    status.hosts.into_iter().find(|status| status.host == name)
}

async fn owned_epoch(fleet: &Fleet, host: usize) -> Option<Epoch> {
    let status = host_status(fleet, host).await?;
    status.owned_zone.map(|zone| zone.epoch)
}

fn store_down(fleet: &Fleet, is_down: bool) {
    fleet.store.set_faults(Faults {
        only: STORE_KINDS.map(str::to_owned).to_vec(),
        down: is_down,
        ..Faults::default()
    });
}

// The owner is killed. Its lease lapses, another host of the zone takes the key and a higher epoch;
// callers of the zone's jobs wait for seconds, nobody has to do anything.
#[tokio::test(flavor = "multi_thread")]
async fn verify_zone_moves_when_its_owner_is_killed() {
    let mut fleet = one_zone().await;
    let first = wait_for_owner(&fleet, None).await;
    let first_epoch = epoch(&fleet);
    fleet.daemons[first].kill().expect("killed");
    let second = wait_for_owner(&fleet, Some(first)).await;
    assert!(epoch(&fleet) > first_epoch);
    wait_until("the new owner knows", async || {
        owned_epoch(&fleet, second).await.is_some()
    })
    .await;
    fleet.close().await;
}

// The owner is frozen past its lease and another host takes the zone. When it wakes, its permission
// has run out by the clock. It stands by at the first sign that the zone is another's: its own renewal
// hears from the store that the lease is gone, or a message of a peer that waited in its socket shows
// the higher epoch; which is read first is chance. At the end one host says that it owns the zone.
#[tokio::test(flavor = "multi_thread")]
async fn verify_frozen_owner_stands_by_when_it_wakes() {
    let fleet = one_zone().await;
    let (first, second) = freeze_until_replaced(&fleet).await;
    fleet.daemons[first].wake().expect("woken");
    wait_until("the old owner stands by", async || {
        let is_over =
            |line: &String| line.contains("cause=lease_lost") || line.contains("cause=fenced");
        fleet.daemons[first].lines().iter().any(is_over)
    })
    .await;
    assert_eq!(owned_epoch(&fleet, first).await, None);
    assert_eq!(fleet.owner(&fleet.zones()[0]), Some(second));
    fleet.close().await;
}

// As above, and the woken owner can't reach the store any more, so only its peers can tell it. It stands
// by at their word all the same: a renewal that never comes back must not keep it in office.
#[tokio::test(flavor = "multi_thread")]
async fn verify_frozen_owner_stands_by_at_the_word_of_its_peers() {
    let mut fleet = one_zone().await;
    let relays = put_relays_before_the_store(&mut fleet).await;
    let (first, second) = freeze_until_replaced(&fleet).await;
    relays[first].set_mode(RelayMode::Blackhole);
    fleet.daemons[first].wake().expect("woken");
    wait_until("the old owner stands by", async || {
        let is_fenced = |line: &String| line.contains("cause=fenced");
        fleet.daemons[first].lines().iter().any(is_fenced)
    })
    .await;
    assert_eq!(owned_epoch(&fleet, first).await, None);
    assert_eq!(fleet.owner(&fleet.zones()[0]), Some(second));
    fleet.close().await;
}

// The store goes away for longer than the lease. The owner goes on under its epoch; nobody else can
// become the owner, since an epoch needs the store. When the store is back, its lease has lapsed,
// and the zone has one owner again under a higher epoch.
#[tokio::test(flavor = "multi_thread")]
async fn verify_owner_goes_on_while_the_store_is_away() {
    let fleet = one_zone().await;
    let first = wait_for_owner(&fleet, None).await;
    wait_until("the owner knows", async || {
        owned_epoch(&fleet, first).await.is_some()
    })
    .await;
    let held = owned_epoch(&fleet, first).await.expect("an epoch");
    store_down(&fleet, true);
    wait_until("the owner holds on", async || {
        let is_holding = |line: &String| line.contains("state=holding");
        fleet.daemons[first].lines().iter().any(is_holding)
    })
    .await;
    for host in 0..3 {
        let expected = (host == first).then_some(held);
        assert_eq!(owned_epoch(&fleet, host).await, expected);
    }
    store_down(&fleet, false);
    wait_until("the zone has an owner again", async || {
        let Some(owner) = fleet.owner(&fleet.zones()[0]) else {
            return false;
        };
        owned_epoch(&fleet, owner)
            .await
            .is_some_and(|epoch| epoch > held)
    })
    .await;
    fleet.close().await;
}

// Every lease lapses at once, as after a long pause of the store itself. The owner learns it at its
// next renewal, and one host takes the zone again.
#[tokio::test(flavor = "multi_thread")]
async fn verify_zone_is_taken_again_after_all_leases_lapsed() {
    let fleet = one_zone().await;
    wait_for_owner(&fleet, None).await;
    let before = epoch(&fleet);
    fleet.store.set_faults(Faults {
        lapse_leases: true,
        ..Faults::default()
    });
    wait_until("the zone is taken again", async || {
        epoch(&fleet) > before && fleet.owner(&fleet.zones()[0]).is_some()
    })
    .await;
    wait_until("one host says that it owns the zone", async || {
        let mut owners = 0;
        for host in 0..3 {
            owners += usize::from(owned_epoch(&fleet, host).await.is_some());
        }
        owners == 1
    })
    .await;
    fleet.close().await;
}

// Answers to the writes of a claim are lost. The claim is found by its nonce or given back, and the
// zone gets one owner, not two and not none.
#[tokio::test(flavor = "multi_thread")]
async fn verify_zone_gets_one_owner_though_answers_are_lost() {
    let mut fleet = one_zone().await;
    let first = wait_for_owner(&fleet, None).await;
    fleet.store.set_faults(Faults {
        only: vec!["cas".to_owned(), "lease_grant".to_owned()],
        lose_answers: 3,
        ..Faults::default()
    });
    fleet.daemons[first].kill().expect("killed");
    let second = wait_for_owner(&fleet, Some(first)).await;
    wait_until("the new owner knows", async || {
        owned_epoch(&fleet, second).await.is_some()
    })
    .await;
    fleet.close().await;
}

// A planned stop gives the lease back, so that the zone moves without waiting for the lease's end
// while the old host still drains.
#[tokio::test(flavor = "multi_thread")]
async fn verify_planned_stop_hands_the_zone_over() {
    let mut fleet = one_zone().await;
    let first = wait_for_owner(&fleet, None).await;
    fleet.daemons[first].terminate().expect("asked to stop");
    let second = wait_for_owner(&fleet, Some(first)).await;
    assert_ne!(first, second);
    let revoked = fleet.store.calls().get("lease_revoke").copied();
    assert!(revoked.is_some_and(|calls| calls > 0), "{revoked:?}");
    let status = fleet.daemons[first].wait().await.expect("ended");
    assert!(status.is_some_and(|status| status.success()));
    fleet.close().await;
}

// The store is cut from the owner alone: it still reaches workers and peers and holds on, while its
// lease lapses and another host takes the zone. Two hosts own it for a moment; the old one hears
// the higher epoch from a heartbeat or a worker and stands by. The running gang is not disturbed.
#[tokio::test(flavor = "multi_thread")]
async fn verify_owner_cut_from_the_store_yields_to_the_next() {
    let mut fleet = one_zone().await;
    let relays = put_relays_before_the_store(&mut fleet).await;
    wait_until("the job is accepted", async || {
        let job = sample_job("long", 1, 12_000, false);
        fleet.caller.job(fleet.address(0), &job).await.is_ok()
    })
    .await;
    wait_until("the gang runs", async || {
        fleet.workers.log().count("long.1", LogEvent::Started) == 1
    })
    .await;
    let first = wait_for_owner(&fleet, None).await;
    relays[first].set_mode(RelayMode::Blackhole);
    let second = wait_for_owner(&fleet, Some(first)).await;
    wait_until("the old owner stands by", async || {
        let is_fenced = |line: &String| line.contains("cause=fenced");
        fleet.daemons[first].lines().iter().any(is_fenced)
    })
    .await;
    wait_until("the new owner knows", async || {
        owned_epoch(&fleet, second).await.is_some()
    })
    .await;
    assert_eq!(owned_epoch(&fleet, first).await, None);
    fleet.wait_for_phase("long", JobPhase::Finished).await;
    assert_eq!(fleet.gang_events("long", LogEvent::Started).len(), 1);
    fleet.close().await;
}
