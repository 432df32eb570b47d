//! What a worker's entry says, given what is known of the worker.

use ragwortwick_area::{Resources, WorkerEntry};
use ragwortwick_core::WorkerName;

use crate::area::worker_feed::{EntryChange, KnownWorkers};

fn entry(pool: &str, started_unix_ms: u64) -> WorkerEntry {
    WorkerEntry {
        name: WorkerName::of_incarnation("w", Some(started_unix_ms)),
        address: "127.0.0.1:1".into(),
        pool: pool.into(),
        zone: "z".into(),
        rack: "r".into(),
        labels: [].into(),
        capacity: Resources::default(),
        is_draining: false,
        remaining_ms: None,
        clock_ms: None,
    }
}

/// Guards against another writer's entry, or an old one, that takes a healthy worker away.
#[test]
fn verify_only_the_worker_itself_replaces_its_entry() {
    let mut known = KnownWorkers::default();
    assert_eq!(known.record(&entry("p", 5)), EntryChange::New);
    assert_eq!(known.record(&entry("p", 5)), EntryChange::Updated);
    assert_eq!(known.record(&entry("other", 5)), EntryChange::Foreign);
    assert_eq!(known.record(&entry("p", 4)), EntryChange::Foreign);
    assert_eq!(known.record(&entry("p", 9)), EntryChange::Restarted);
    assert_eq!(known.record(&entry("p", 5)), EntryChange::Foreign);
    assert_eq!(known.remove("w"), Some(entry("p", 9).name));
}
