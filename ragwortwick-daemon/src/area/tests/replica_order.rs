//! Random orders of creations, cancels, reads and takeovers, against a model of the store.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

use quickcheck::QuickCheck;
use ragwortwick_adapter::{KeyValue, WatchEvent};
use ragwortwick_area::JobRecord;
use ragwortwick_core::{JobId, Revision};

use super::super::keys::JobKeyKind;
use super::super::replica::{JobChange, JobReplica};
use super::record;

const JOBS: u8 = 3;
const ORDERS: u64 = 5_000;

/// `Store` models the store: the current items and the history of changes.
#[derive(Default)]
struct Store {
    items: BTreeMap<String, KeyValue>,
    history: Vec<WatchEvent>,
    compacted_at: Revision,
    revision: Revision,
}

impl Store {
    fn put(&mut self, key: String, value: Vec<u8>) -> Revision {
        self.revision = Revision(self.revision.0 + 1);
        let item = KeyValue {
            key: key.clone(),
            value,
            revision: self.revision,
        };
        self.items.insert(key, item.clone());
        self.history.push(WatchEvent::Written(item));
        self.revision
    }

    /// Removes keys in one transaction.
    fn remove(&mut self, keys: &[String]) {
        self.revision = Revision(self.revision.0 + 1);
        for key in keys {
            if self.items.remove(key).is_some() {
                self.history.push(WatchEvent::Removed {
                    key: key.clone(),
                    revision: self.revision,
                });
            }
        }
    }

    fn has(&self, key: &str) -> bool {
        self.items.contains_key(key)
    }
}

fn revision_of(event: &WatchEvent) -> Revision {
    match event {
        WatchEvent::Written(item) => item.revision,
        WatchEvent::Removed { revision, .. } => *revision,
    }
}

/// `Page` is the first page of a list that is still being read.
struct Page {
    items: Vec<KeyValue>,
    as_of: Revision,
    last_key: String,
}

/// `Host` models one host that coordinates: its replica, its feed, and the jobs that its coordinator knows, with
/// whether each is cancelled.
#[derive(Default)]
struct Host {
    replica: JobReplica,
    position: Option<Revision>,
    page: Option<Page>,
    is_taking_over: bool,
    coordinator: BTreeMap<JobId, bool>,
}

impl Host {
    fn send(&mut self, changes: Vec<JobChange>) {
        for change in changes {
            match change {
                JobChange::Accepted(record) => {
                    self.coordinator
                        .entry(record.job_id.clone())
                        .or_insert(false);
                }
                JobChange::Cancelled(cancel) => {
                    if let Some(is_cancelled) = self.coordinator.get_mut(&cancel.job_id) {
                        *is_cancelled = true;
                    }
                }
                JobChange::ResultsHandedOver(_) => {}
            }
        }
    }

    /// Reads the changes since the last read; after a compaction, all keys in two pages.
    fn read(&mut self, store: &Store) {
        let Some(position) = self.position.filter(|at| *at >= store.compacted_at) else {
            self.position = None;
            self.read_page(store);
            return;
        };
        for event in &store.history {
            if revision_of(event) > position {
                let changes = self.replica.apply(event);
                self.send(changes);
            }
        }
        self.position = Some(store.revision);
    }

    fn is_up_to_date(&self, store: &Store) -> bool {
        self.position == Some(store.revision) && self.page.is_none()
    }

    fn read_page(&mut self, store: &Store) {
        let Some(page) = self.page.take() else {
            let count = store.items.len().div_ceil(2);
            let items: Vec<KeyValue> = store.items.values().take(count).cloned().collect();
            self.page = Some(Page {
                last_key: items
                    .last()
                    .map_or_else(String::new, |item| item.key.clone()),
                items,
                as_of: store.revision,
            });
            return;
        };
        let rest = store.items.values().filter(|item| item.key > page.last_key);
        let items: Vec<KeyValue> = page.items.iter().chain(rest).cloned().collect();
        let changes = self.replica.load(&items, page.as_of);
        self.position = Some(page.as_of);
        if std::mem::take(&mut self.is_taking_over) {
            self.recover(page.as_of);
        } else {
            self.send(changes);
        }
    }

    /// Begins to read all keys for a new term.
    fn take_over(&mut self, store: &Store) {
        self.page = None;
        self.position = None;
        self.coordinator.clear();
        self.read_page(store);
        self.is_taking_over = true;
    }

    /// Begins the term with what was read.
    fn recover(&mut self, as_of: Revision) {
        let jobs = self.replica.recovered_jobs(as_of, HashMap::new());
        self.coordinator = jobs
            .into_iter()
            .map(|(job, _)| (job.record.job_id.clone(), job.is_cancelled))
            .collect();
    }
}

/// `Area` is the store, a host, and the jobs whose cancel was acknowledged.
#[derive(Default)]
struct Area {
    store: Store,
    host: Host,
    cancelled: BTreeSet<JobId>,
}

impl Area {
    /// Creates a job; a host of an older version does so beside a cancel too.
    fn create(&mut self, job: &Arc<JobRecord>, is_older: bool, is_here: bool) {
        let key = JobKeyKind::Record.key_of(&job.job_id);
        let cancel_key = JobKeyKind::Cancel.key_of(&job.job_id);
        if self.store.has(&key) || (!is_older && self.store.has(&cancel_key)) {
            return;
        }
        let value = serde_json::to_vec(&**job).expect("a record is written");
        let revision = self.store.put(key, value);
        if is_here && !is_older {
            self.host.replica.insert_accepted(job, 0, revision);
        }
    }

    /// Cancels a job, or stores a tombstone if there is none.
    fn cancel(&mut self, job: &JobRecord, is_here: bool) {
        self.cancelled.insert(job.job_id.clone());
        let key = JobKeyKind::Cancel.key_of(&job.job_id);
        if self.store.has(&key) {
            return;
        }
        let is_created = self.store.has(&JobKeyKind::Record.key_of(&job.job_id));
        let revision = self.store.put(key, b"{}".to_vec());
        if is_here && is_created {
            self.host.replica.mark_cancelled(&job.job_id, revision);
        }
    }

    /// Removes a tombstone, or all keys of a cancelled job as its coordinator does.
    fn expire(&mut self, job: &JobRecord) {
        let is_created = self.store.has(&JobKeyKind::Record.key_of(&job.job_id));
        let is_known_cancelled = self.host.coordinator.get(&job.job_id) == Some(&true);
        if is_created && !(is_known_cancelled && self.host.is_up_to_date(&self.store)) {
            return;
        }
        if !self.cancelled.remove(&job.job_id) {
            return;
        }
        let keys = JobKeyKind::ALL.map(|kind| kind.key_of(&job.job_id));
        self.store.remove(&keys);
        self.host.coordinator.remove(&job.job_id);
    }

    fn step(&mut self, action: u8, job: u8) {
        let job = record(&format!("{:016x}", job % JOBS));
        match action % 11 {
            0 => self.create(&job, false, true),
            1 => self.create(&job, false, false),
            2 => self.create(&job, true, false),
            3 => self.cancel(&job, true),
            4 => self.cancel(&job, false),
            5 => self.expire(&job),
            6 => {
                let key = JobKeyKind::Record.key_of(&job.job_id);
                if let Some(item) = self.store.items.get(&key) {
                    let event = WatchEvent::Written(item.clone());
                    drop(self.host.replica.apply(&event));
                }
            }
            7 => {
                self.store.history.clear();
                self.store.compacted_at = self.store.revision;
            }
            8 => self.host.take_over(&self.store),
            _ => self.host.read(&self.store),
        }
    }

    /// Whether the host, once it has read all changes, knows of each job whether it is cancelled.
    fn agrees(mut self) -> bool {
        while !self.host.is_up_to_date(&self.store) {
            self.host.read(&self.store);
        }
        (0..JOBS).all(|number| {
            let job_id = record(&format!("{number:016x}")).job_id.clone();
            let is_created = self.store.has(&JobKeyKind::Record.key_of(&job_id));
            let is_cancelled = self.cancelled.contains(&job_id);
            let known = self.host.coordinator.get(&job_id);
            let shown = self.host.replica.view(&job_id);
            let is_shown_cancelled = shown
                .as_ref()
                .is_some_and(|view| view.reported_phase().is_final());
            known == is_created.then_some(&is_cancelled)
                && shown.is_some() == is_created
                && is_shown_cancelled == (is_created && is_cancelled)
        })
    }
}

/// Guards against a cancelled job that stays open because its cancel and its record are read in another order.
#[test]
fn verify_no_order_of_reads_loses_a_cancel() {
    fn agrees(steps: Vec<(u8, u8)>) -> bool {
        let mut area = Area::default();
        for (action, job) in steps {
            area.step(action, job);
        }
        area.agrees()
    }
    QuickCheck::new()
        .tests(ORDERS)
        .max_tests(ORDERS)
        .quickcheck(agrees as fn(Vec<(u8, u8)>) -> bool);
}
