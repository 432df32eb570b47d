//! Tests of the division of a host's memory and descriptors.

use ragwortwick_adapter::{KeyValue, WatchEvent};
use ragwortwick_core::{CustomerName, Revision};

use super::super::fair_shares::{FairShares, StoreCallSlots};
use super::super::host_budget::{
    CONNECTION_BYTES, HostBudget, METRICS_CONNECTIONS, PROBE_CONNECTIONS,
};
use super::super::job_memory::JobMemoryLimit;
use super::super::keys::JOB_MEMORY_KEY;
use super::super::replica::JobReplica;
use super::{record, write_event};

/// Memory and descriptors of the hosts that have to serve, from the smallest on.
const HOSTS: [(f64, u64); 5] = [
    (120.0, 3_075),
    (160.0, 4_100),
    (260.0, 4_100),
    (400.0, 10_250),
    (512.0, 8_192),
];

/// Part of a host's memory that its own work needs: the program, its workers and its reads of the store.
const OWN_PART: f64 = 0.3;

/// Workers of the largest area, with two connections each.
const WORKER_FDS: usize = 2 * 350;

fn customer(name: &str) -> CustomerName {
    CustomerName::new(name)
}

/// Guards against limits that are each sensible and together more than the host has.
#[test]
fn verify_all_budgets_together_fit_into_every_host() {
    for (memory_mb, max_fds) in HOSTS {
        let budget = HostBudget::divide(memory_mb, max_fds);
        let connections = budget.client_connections + PROBE_CONNECTIONS + METRICS_CONNECTIONS;
        let connection_bytes = connections * usize::try_from(CONNECTION_BYTES).expect("a size");
        let taken = connection_bytes + budget.request_bytes + budget.job_bytes;
        #[expect(clippy::cast_precision_loss, reason = "megabytes are exact in a float")]
        let left = memory_mb * 1e6 - taken as f64;
        assert!(
            left >= memory_mb * 1e6 * OWN_PART,
            "{memory_mb} MB: {budget:?}"
        );
        assert!(2 * budget.store_calls <= budget.client_connections);
        let fds = connections + 2 * budget.store_calls + WORKER_FDS + 200;
        assert!(
            fds as u64 <= max_fds,
            "{max_fds} descriptors: {fds} in {budget:?}"
        );
    }
}

/// Guards against a customer that takes a shared amount from all others for as long as it likes.
#[test]
fn verify_each_customer_leaves_as_much_to_others_as_it_uses() {
    let mut shares = FairShares::default();
    let (first, second) = (customer("a"), customer("b"));
    while shares.admits(&first, 1, 100) {
        shares.add(&first, 1);
    }
    assert_eq!(shares.total(), 50);
    assert!(shares.admits(&second, 50, 100));
    while shares.admits(&second, 1, 100) {
        shares.add(&second, 1);
    }
    assert!(shares.total() < 100, "something is left for a third");
    shares.remove(&first, 50);
    assert!(shares.admits(&second, 25, 100));
}

/// Guards against slots that are lost with the requests that held them.
#[test]
fn verify_slots_are_free_again_once_their_requests_end() {
    let slots = StoreCallSlots::new(4);
    let only = customer("a");
    let held: Vec<_> = (0..2).map(|_| slots.take(&only)).collect();
    assert!(held.iter().all(Option::is_some));
    assert!(slots.take(&only).is_none(), "half is left to others");
    assert!(slots.take(&customer("b")).is_some());
    drop(held);
    assert!(slots.take(&only).is_some());
}

fn announced(limit_bytes: usize, revision: u64) -> WatchEvent {
    WatchEvent::Written(KeyValue {
        key: JOB_MEMORY_KEY.to_owned(),
        value: format!(r#"{{"limit_bytes":{limit_bytes}}}"#).into_bytes(),
        revision: Revision(revision),
    })
}

/// Guards against a host that accepts what a smaller one, which keeps all jobs too, can't keep.
#[test]
fn verify_the_lowest_announced_limit_holds_until_it_is_withdrawn() {
    const MB: usize = 1 << 20;
    let replica = JobReplica::default();
    let limit = JobMemoryLimit::new(100 * MB);
    let can_take = |bytes| limit.reserve(&replica, &customer("a"), bytes).is_some();
    assert!(can_take(10 * MB));
    limit.apply(&announced(10 * MB, 5));
    assert!(!can_take(10 * MB) && can_take(MB));
    limit.apply(&announced(1_000 * MB, 6));
    assert!(
        can_take(10 * MB) && !can_take(50 * MB),
        "its own limit holds"
    );
    limit.apply(&announced(10 * MB, 7));
    limit.apply(&WatchEvent::Removed {
        key: JOB_MEMORY_KEY.to_owned(),
        revision: Revision(8),
    });
    assert!(can_take(10 * MB));
    limit.apply(&announced(10 * MB, 9));
    limit.load(&[]);
    assert!(
        can_take(10 * MB),
        "a list without the key withdraws it as well"
    );
}

/// Guards against large jobs that leave no memory for ordinary ones.
#[test]
fn verify_large_jobs_leave_memory_to_small_ones() {
    const LIMIT: usize = 16 << 20;
    let replica = JobReplica::default();
    let limit = JobMemoryLimit::new(LIMIT);
    let mut held = Vec::new();
    for name in ["a", "b", "c", "d"] {
        while let Some(reservation) = limit.reserve(&replica, &customer(name), 1 << 20) {
            held.push(reservation);
        }
    }
    assert!(!held.is_empty());
    assert!(limit.reserve(&replica, &customer("e"), 10 << 10).is_some());
}

/// Guards against memory that counts as used after its jobs are gone.
#[test]
fn verify_memory_of_jobs_is_counted_once_and_released() {
    let replica = JobReplica::default();
    let (first, second) = (record("00000000000000aa"), record("00000000000000ab"));
    replica.insert_accepted(&first, 100, Revision(5));
    let bytes = replica.memory_bytes();
    assert!(bytes > 100);
    replica.apply(&write_event(&first, 5));
    assert_eq!(
        replica.memory_bytes(),
        bytes,
        "the watch reports the same job"
    );
    replica.apply(&write_event(&second, 6));
    assert!(replica.memory_bytes() > bytes);
    let WatchEvent::Written(item) = write_event(&second, 6) else {
        unreachable!("a record was written");
    };
    replica.load(&[item], Revision(7));
    assert!(
        replica.memory_bytes() < 2 * bytes,
        "the list has one of them"
    );
    for job in [&first, &second] {
        replica.apply(&WatchEvent::Removed {
            key: super::JobKeyKind::Record.key_of(&job.job_id),
            revision: Revision(8),
        });
    }
    assert_eq!(replica.memory_bytes(), 0);
}

/// Guards against a list of all jobs, read anew, that forgets the jobs that are being stored.
#[test]
fn verify_reservations_outlast_a_list_of_all_jobs() {
    let replica = JobReplica::default();
    let job = record("00000000000000aa");
    replica.apply(&write_event(&job, 5));
    let bytes = replica.memory_bytes();
    let reservation = replica.reserve_memory(&customer("c"), 100, 100, 1 << 20);
    let WatchEvent::Written(item) = write_event(&job, 5) else {
        unreachable!("a record was written");
    };
    replica.load(&[item], Revision(7));
    assert_eq!(replica.memory_bytes(), bytes + 100);
    drop(reservation);
    assert_eq!(replica.memory_bytes(), bytes);
}
