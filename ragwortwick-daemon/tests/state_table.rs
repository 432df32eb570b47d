//! The operators' table: in force everywhere, never going back, never overwritten unseen.

use std::collections::BTreeMap;

use ragwortwick_border::{AcceptedTable, StoreCas, StoreGet, TableAccept, TableAcceptReply};
use ragwortwick_core::{DurationMs, Revision};
use ragwortwick_standin::{Faults, Fleet, FleetOptions, RelayMode, now, sample_table, wait_until};

const BINARY: &str = env!("CARGO_BIN_EXE_ragwortwickd");
const CURRENT: &str = "table/current";

async fn fleet(hosts: usize) -> Fleet {
    let options = FleetOptions {
        hosts,
        runners: 0,
        ..FleetOptions::two_zones(BINARY)
    };
    Fleet::open_with_table(options).await.expect("a fleet")
}

/// The sample table with another weight for the first customer.
fn edit(fleet: &Fleet, based_on_number: u64, nonce: &str, weight: f64) -> TableAccept {
    let mut table = sample_table(fleet.zones());
    table.customers[0].weight = weight;
    TableAccept {
        based_on_number,
        nonce: nonce.to_owned(),
        accepted_by: nonce.to_owned(),
        reason: format!("weight {weight}"),
        table,
    }
}

async fn accept(fleet: &Fleet, host: usize, accept: &TableAccept) -> TableAcceptReply {
    let reply = fleet.caller.accept_table(fleet.address(host), accept).await;
    reply.expect("a reply")
}

fn accepted(reply: TableAcceptReply) -> AcceptedTable {
    match reply {
        TableAcceptReply::Accepted(table) => table,
        other => panic!("expected an acceptance, got {other:?}"),
    }
}

async fn number_at(fleet: &Fleet, host: usize) -> u64 {
    let table = fleet.caller.table(fleet.address(host)).await;
    table.map_or(0, |table| table.number)
}

async fn wait_for_number(fleet: &Fleet, number: u64) {
    for host in 0..fleet.daemons.len() {
        wait_until(&format!("table {number} at host {host}"), async || {
            number_at(fleet, host).await == number
        })
        .await;
    }
}

fn stored(fleet: &Fleet, key: &str) -> (Revision, Option<String>) {
    let question = StoreGet {
        key: key.to_owned(),
    };
    let reply = fleet.store.with_state(|state| state.get(now(), &question));
    reply.entry.map_or((Revision(0), None), |entry| {
        (entry.revision, Some(entry.value))
    })
}

fn overwrite(fleet: &Fleet, key: &str, value: Option<String>) {
    let cas = StoreCas {
        key: key.to_owned(),
        expected_revision: stored(fleet, key).0,
        value,
        lease_id: None,
    };
    let reply = fleet.store.with_state(|state| state.cas(now(), cas));
    assert!(reply.applied);
}

/// Waits until the store has served this many further calls of a kind.
async fn wait_for_calls(fleet: &Fleet, kind: &str, more: u64) {
    let count = |calls: BTreeMap<String, u64>| calls.get(kind).copied().unwrap_or(0);
    let before = count(fleet.store.calls());
    wait_until(&format!("{more} more calls of {kind}"), async || {
        count(fleet.store.calls()) >= before + more
    })
    .await;
}

async fn history(fleet: &Fleet, host: usize) -> Vec<AcceptedTable> {
    let history = fleet
        .caller
        .http()
        .get(
            fleet.address(host),
            "/v1/table/history?limit=10",
            DurationMs(10_000),
        )
        .await;
    history.expect("the history")
}

// Operators accept at one host and see the table at all of them, whatever each one's path is: the
// store's watch, a read, or a peer. Here every watch misses every change and says nothing of it.
#[tokio::test(flavor = "multi_thread")]
async fn verify_table_is_in_force_everywhere_though_watches_miss_it() {
    let fleet = fleet(4).await;
    fleet.store.set_faults(Faults {
        only: vec!["watch".to_owned()],
        miss_changes: 10_000,
        ..Faults::default()
    });
    accepted(accept(&fleet, 0, &edit(&fleet, 1, "second", 2.0)).await);
    wait_for_number(&fleet, 2).await;
    fleet.close().await;
}

// A host would go back to an older table if it believed the store. The store loses its last write
// (a replica that lags, a backup that was restored) and answers the first table to every watch and
// read; each host reads it several times and keeps the second. A third acceptance at a host that
// knows the second is not written over the old one either.
#[tokio::test(flavor = "multi_thread")]
async fn verify_old_table_in_the_store_reverts_no_host() {
    let fleet = fleet(3).await;
    let (_, first) = stored(&fleet, CURRENT);
    accepted(accept(&fleet, 0, &edit(&fleet, 1, "second", 2.0)).await);
    wait_for_number(&fleet, 2).await;
    overwrite(&fleet, CURRENT, first);
    wait_for_calls(&fleet, "get", 12).await;
    wait_for_number(&fleet, 2).await;
    let reply = accept(&fleet, 0, &edit(&fleet, 2, "third", 3.0)).await;
    assert!(matches!(reply, TableAcceptReply::StoreAway(_)), "{reply:?}");
    fleet.close().await;
}

// Two operators reviewed the same table and accept at the same moment on different hosts. One is
// accepted; the other is told who was first and which row changed, and nothing of it is written.
#[tokio::test(flavor = "multi_thread")]
async fn verify_second_operator_sees_what_changed() {
    let fleet = fleet(3).await;
    let anna = edit(&fleet, 1, "anna", 2.0);
    let bolat = edit(&fleet, 1, "bolat", 3.0);
    let (one, two) = tokio::join!(accept(&fleet, 0, &anna), accept(&fleet, 1, &bolat));
    let (winner, loser) = match (one, two) {
        (TableAcceptReply::Accepted(winner), TableAcceptReply::Conflict(loser))
        | (TableAcceptReply::Conflict(loser), TableAcceptReply::Accepted(winner)) => {
            (winner, loser)
        }
        other => panic!("expected one acceptance and one conflict, got {other:?}"),
    };
    assert_eq!(loser.current, winner);
    assert!(
        loser.changes.iter().any(|row| row.contains("padana")),
        "{:?}",
        loser.changes
    );
    wait_for_number(&fleet, 2).await;
    assert_eq!(history(&fleet, 2).await[0], winner);
    fleet.close().await;
}

// The second operator's host reads the store, and while the answer travels it is told of the first
// one's table. The answer is then older than what is in force there, though the store does not lag:
// the operator has to hear of the conflict, not that the store is away.
#[tokio::test(flavor = "multi_thread")]
async fn verify_second_operator_sees_a_change_that_overtook_the_answer() {
    let fleet = fleet(2).await;
    let anna = edit(&fleet, 1, "anna", 2.0);
    let bolat = edit(&fleet, 1, "bolat", 3.0);
    fleet.store.set_faults(Faults {
        only: vec!["get".to_owned()],
        answer_delay_ms: DurationMs(900),
        ..Faults::default()
    });
    let first = async {
        wait_for_calls(&fleet, "get", 1).await;
        fleet.store.set_faults(Faults::default());
        accepted(accept(&fleet, 0, &anna).await)
    };
    let (winner, loser) = tokio::join!(first, accept(&fleet, 1, &bolat));
    let TableAcceptReply::Conflict(conflict) = loser else {
        panic!("expected a conflict, got {loser:?}");
    };
    assert_eq!(conflict.current, winner);
    fleet.close().await;
}

// The second operator accepts minutes later, still from the table reviewed first. Nothing of it is
// written: the conflict shows the first one's row, and the table in force stays the first one's.
#[tokio::test(flavor = "multi_thread")]
async fn verify_late_operator_overwrites_nothing() {
    let fleet = fleet(2).await;
    let winner = accepted(accept(&fleet, 0, &edit(&fleet, 1, "anna", 2.0)).await);
    wait_for_number(&fleet, 2).await;
    let reply = accept(&fleet, 1, &edit(&fleet, 1, "bolat", 3.0)).await;
    let TableAcceptReply::Conflict(conflict) = reply else {
        panic!("expected a conflict, got {reply:?}");
    };
    assert_eq!(conflict.changes, ["customers: padana: weight 1 -> 2"]);
    assert_eq!(conflict.current, winner);
    wait_for_number(&fleet, 2).await;
    fleet.close().await;
}

// The operator's client gets no answer and accepts again with the same nonce. The first try is in
// the store, its answer lost on the way to the host; the repeat, also at another host and after a
// further acceptance, gets the first outcome, and the table has one version of it.
#[tokio::test(flavor = "multi_thread")]
async fn verify_acceptance_applies_once_though_answers_are_lost() {
    let fleet = fleet(3).await;
    let second = edit(&fleet, 1, "second", 2.0);
    fleet.store.set_faults(Faults {
        only: vec!["cas".to_owned()],
        lose_answers: 3,
        ..Faults::default()
    });
    let first_answer = accepted(accept(&fleet, 0, &second).await);
    assert_eq!(first_answer.number, 2);
    let again = accepted(accept(&fleet, 1, &second).await);
    assert_eq!(again, first_answer);
    let third = accepted(accept(&fleet, 2, &edit(&fleet, 2, "third", 3.0)).await);
    assert_eq!(third.number, 3);
    let much_later = accepted(accept(&fleet, 1, &second).await);
    assert_eq!(much_later, first_answer);
    wait_for_number(&fleet, 3).await;
    fleet.close().await;
}

// A host dies between the write of the table and that of its history entry. The history shows the
// table all the same, and the next acceptance adds the entry before it replaces the table.
#[tokio::test(flavor = "multi_thread")]
async fn verify_history_survives_a_crash_between_its_writes() {
    let fleet = fleet(2).await;
    let entry = "table/history/0000000001";
    wait_until("the entry is written", async || {
        stored(&fleet, entry).1.is_some()
    })
    .await;
    overwrite(&fleet, entry, None);
    let numbers = |tables: Vec<AcceptedTable>| tables.iter().map(|t| t.number).collect::<Vec<_>>();
    assert_eq!(numbers(history(&fleet, 1).await), [1]);
    accepted(accept(&fleet, 1, &edit(&fleet, 1, "second", 2.0)).await);
    assert!(stored(&fleet, entry).1.is_some());
    let tables = history(&fleet, 0).await;
    assert_eq!(tables[1].accepted_by, "operator");
    assert_eq!(numbers(tables), [2, 1]);
    fleet.close().await;
}

// A host is replaced while the store is away. It starts with nothing, hears from a peer's heartbeat
// that there is a table, and fetches it; callers of the new host notice nothing of the outage.
#[tokio::test(flavor = "multi_thread")]
async fn verify_restarted_host_takes_the_table_from_a_peer() {
    let mut fleet = fleet(3).await;
    accepted(accept(&fleet, 0, &edit(&fleet, 1, "second", 2.0)).await);
    wait_for_number(&fleet, 2).await;
    let store_kinds = ["get", "list", "cas", "watch", "lease_grant", "lease_renew"];
    fleet.store.set_faults(Faults {
        only: store_kinds.map(str::to_owned).to_vec(),
        down: true,
        ..Faults::default()
    });
    fleet.daemons[2].kill().expect("killed");
    fleet.replace_daemon(2).await.expect("a new host");
    wait_for_number(&fleet, 2).await;
    let reply = accept(&fleet, 0, &edit(&fleet, 2, "third", 3.0)).await;
    let TableAcceptReply::StoreAway(away) = reply else {
        panic!("expected the store to be away, got {reply:?}");
    };
    assert!(!away.may_have_taken_effect);
    fleet.close().await;
}

// A zone is cut off from the platform and from the other zones while the others accept two tables.
// Its host keeps serving under the last table that it saw, and takes the newest once it is back;
// what it had neither comes back anywhere nor keeps the newest out.
#[tokio::test(flavor = "multi_thread")]
async fn verify_cut_zone_keeps_its_table_and_takes_the_newest() {
    let options = FleetOptions {
        hosts: 4,
        runners: 0,
        has_relays: true,
        ..FleetOptions::two_zones(BINARY)
    };
    let fleet = Fleet::open_with_table(options).await.expect("a fleet");
    let paths = fleet.paths.as_ref().expect("paths");
    let west = fleet.zones()[1].clone();
    paths.set_platform(&west, RelayMode::Blackhole);
    paths.set_between(&west, RelayMode::Blackhole).await;
    accepted(accept(&fleet, 0, &edit(&fleet, 1, "second", 2.0)).await);
    accepted(accept(&fleet, 2, &edit(&fleet, 2, "third", 3.0)).await);
    wait_until("the other zone has the third", async || {
        number_at(&fleet, 0).await == 3 && number_at(&fleet, 2).await == 3
    })
    .await;
    assert_eq!(number_at(&fleet, 1).await, 1);
    assert_eq!(number_at(&fleet, 3).await, 1);
    paths.set_platform(&west, RelayMode::Pass);
    paths.set_between(&west, RelayMode::Pass).await;
    wait_for_number(&fleet, 3).await;
    fleet.close().await;
}
