//! The duties around the placer against stand-ins of the store and of workers.

mod orders;

use std::sync::mpsc;
use std::time::Duration;

use ragwortwick_border::{JobPhase, JobRecord, StoreCas, StoreGet, WorkerCommand, WorkerOutcome};
use ragwortwick_core::{DurationMs, Epoch, JobId, Revision, TimeMs, WorkerName, ZoneName};
use ragwortwick_platform::{StoreClient, StoreOptions};
use ragwortwick_policy::OrderId;
use ragwortwick_standin::{Faults, Store, Workers, now, sample_job};
use tokio::sync::watch;

use super::Tenure;
use super::job_feed::JobFeed;
use super::job_ledger::JobLedger;
use super::job_retention::JobRetention;
use super::job_writer::{JobWriter, RecordOrder};
use super::order_sender::{OrderSender, OutgoingOrder};
use super::zone_event::ZoneDutyEvent;
use crate::nonce::NonceGenerator;
use crate::{Clock, EventHandler, EventLoop};

/// Outer limit of a wait; only a hung or failed test reaches it.
const LIMIT: Duration = Duration::from_secs(30);

/// `Collector` is a duty that hands on what it learns.
struct Collector(mpsc::Sender<ZoneDutyEvent>);

impl EventHandler for Collector {
    type Event = ZoneDutyEvent;

    fn on_event(&mut self, _now: TimeMs, event: ZoneDutyEvent) {
        // A test that has seen enough looks no more.
        drop(self.0.send(event));
    }

    fn on_wakeup(&mut self, _now: TimeMs) {}

    fn next_wakeup(&self) -> Option<TimeMs> {
        None
    }
}

/// `Owner` is a host that believes it owns the zone.
struct Owner {
    duty: EventLoop<ZoneDutyEvent>,
    events: mpsc::Receiver<ZoneDutyEvent>,
    tenure: Tenure,
    clock: Clock,
    ledger: JobLedger,
    store: StoreClient,
    nonces: NonceGenerator,
    epoch: Epoch,
}

impl Owner {
    fn open(store: &Store, name: &str, epoch: u64) -> Self {
        let clock = Clock::open();
        let (sender, events) = mpsc::channel();
        let duty = EventLoop::spawn(name, 100, clock, Collector(sender)).expect("a thread");
        let tenure = Tenure::default();
        tenure.set(Epoch(epoch), clock.now() + DurationMs(60_000));
        let mut options = StoreOptions::new(store.address().to_string(), epoch);
        options.call_timeout_ms = DurationMs(300);
        Self {
            duty,
            events,
            tenure,
            clock,
            ledger: JobLedger::default(),
            store: StoreClient::open(options),
            nonces: NonceGenerator::new(&name.into(), epoch),
            epoch: Epoch(epoch),
        }
    }

    fn writer(&self) -> tokio::sync::mpsc::Sender<RecordOrder> {
        let (orders, orders_out) = tokio::sync::mpsc::channel(16);
        let writer = JobWriter {
            store: self.store.clone(),
            ledger: self.ledger.clone(),
            tenure: self.tenure.clone(),
            clock: self.clock,
            nonces: self.nonces.clone(),
            ring: self.duty.sender(),
        };
        drop(writer.spawn(orders_out));
        orders
    }

    fn sender(&self) -> tokio::sync::mpsc::Sender<OutgoingOrder> {
        let (orders, orders_out) = tokio::sync::mpsc::channel(16);
        let ring = self.duty.sender();
        drop(OrderSender::spawn(
            self.tenure.clone(),
            self.clock,
            ring,
            orders_out,
        ));
        orders
    }

    /// Sends one order and waits for its answer or its absence.
    fn order(
        &self,
        orders: &tokio::sync::mpsc::Sender<OutgoingOrder>,
        workers: &Workers,
        command: WorkerCommand,
    ) -> Option<WorkerOutcome> {
        let outgoing = OutgoingOrder {
            epoch: self.epoch,
            order: OrderId(1),
            worker: WorkerName::new("w"),
            address: workers.address().to_string(),
            command,
        };
        let refused = orders.try_send(outgoing).err();
        assert!(refused.is_none(), "{refused:?}");
        match self.next() {
            ZoneDutyEvent::Answered(answer) => answer.reply.map(|reply| reply.outcome),
            other => panic!("expected an answer, got {other:?}"),
        }
    }

    fn next(&self) -> ZoneDutyEvent {
        tokio::task::block_in_place(|| self.events.recv_timeout(LIMIT)).expect("an event")
    }
}

fn record(phase: JobPhase, attempt: u32) -> JobRecord {
    JobRecord {
        job_id: JobId::new("job"),
        spec: sample_job("job", 1, 1_000, false),
        zone: ZoneName::new("east"),
        accepted_at_ms: now(),
        phase,
        attempt,
        cancel_requested: false,
        reason: String::new(),
        nonce: "accepted".to_owned(),
    }
}

fn put(store: &Store, record: &JobRecord) {
    let (revision, _) = read(store);
    let cas = StoreCas {
        key: "jobs/job".to_owned(),
        expected_revision: revision,
        value: serde_json::to_string(record).ok(),
        lease_id: None,
    };
    assert!(store.with_state(|state| state.cas(now(), cas)).applied);
}

fn read(store: &Store) -> (Revision, Option<JobRecord>) {
    let question = StoreGet {
        key: "jobs/job".to_owned(),
    };
    let reply = store.with_state(|state| state.get(now(), &question));
    reply.entry.map_or((Revision(0), None), |entry| {
        (entry.revision, serde_json::from_str(&entry.value).ok())
    })
}

async fn store() -> Store {
    Store::bind("127.0.0.1:0").await.expect("a free port")
}

// Two hosts believe that they own the zone and both want to start a job that must not be repeated.
// Both read "never started" and record attempt 1; one write applies, and only its host hears that
// the start is recorded. The other hears what stands there, and its gang is never committed.
#[tokio::test(flavor = "multi_thread")]
async fn verify_one_of_two_owners_records_the_only_start() {
    let store = store().await;
    put(&store, &record(JobPhase::Waiting, 0));
    let owners = [Owner::open(&store, "a", 1), Owner::open(&store, "b", 2)];
    let mut recorded = 0;
    let mut overtaken = 0;
    let writers = owners.each_ref().map(Owner::writer);
    for (owner, orders) in owners.iter().zip(&writers) {
        let order = RecordOrder {
            epoch: owner.epoch,
            record: record(JobPhase::Starting, 1),
        };
        orders.send(order).await.expect("a place");
    }
    for owner in &owners {
        match owner.next() {
            ZoneDutyEvent::JobRecorded { attempt: 1, .. } => recorded += 1,
            ZoneDutyEvent::JobFound(found) => {
                assert_eq!(found.phase, JobPhase::Starting);
                overtaken += 1;
            }
            other => panic!("unexpected {other:?}"),
        }
    }
    assert_eq!((recorded, overtaken), (1, 1));
}

// The write of a start takes effect and its answer is lost, twice. The placer hears once that the
// start is recorded, and the store holds one version of it.
#[tokio::test(flavor = "multi_thread")]
async fn verify_lost_answer_of_a_start_is_no_failure() {
    let store = store().await;
    put(&store, &record(JobPhase::Waiting, 0));
    let before = store.with_state(|state| state.revision());
    store.set_faults(Faults {
        only: vec!["cas".to_owned()],
        lose_answers: 2,
        ..Faults::default()
    });
    let owner = Owner::open(&store, "a", 1);
    let order = RecordOrder {
        epoch: owner.epoch,
        record: record(JobPhase::Starting, 1),
    };
    let orders = owner.writer();
    orders.send(order).await.expect("a place");
    let event = owner.next();
    assert!(
        matches!(event, ZoneDutyEvent::JobRecorded { attempt: 1, .. }),
        "{event:?}"
    );
    let after = store.with_state(|state| state.revision());
    assert_eq!(after, Revision(before.0 + 1));
}

// A caller's wish to cancel is written between the owner's read and its write. The owner's record
// is written all the same, with the wish in it; without the merge one of the two would be lost.
#[tokio::test(flavor = "multi_thread")]
async fn verify_wish_to_cancel_survives_the_owners_write() {
    let store = store().await;
    let waiting = record(JobPhase::Waiting, 0);
    put(&store, &waiting);
    let owner = Owner::open(&store, "a", 1);
    let (revision, _) = read(&store);
    owner.ledger.take_in(super::job_ledger::StoredJob {
        revision,
        record: waiting.clone(),
    });
    put(
        &store,
        &JobRecord {
            cancel_requested: true,
            nonce: "cancel".to_owned(),
            ..waiting
        },
    );
    let order = RecordOrder {
        epoch: owner.epoch,
        record: record(JobPhase::Starting, 1),
    };
    let orders = owner.writer();
    orders.send(order).await.expect("a place");
    assert!(matches!(owner.next(), ZoneDutyEvent::JobRecorded { .. }));
    let stored = read(&store).1.expect("the record");
    assert!(stored.cancel_requested);
    assert_eq!(stored.phase, JobPhase::Starting);
}

// The zone was lost while a record waited for the store. The record says what the old placer
// believed; written late, it would undo what the next owner wrote. It is dropped.
#[tokio::test(flavor = "multi_thread")]
async fn verify_record_of_a_lost_zone_is_dropped() {
    let store = store().await;
    put(&store, &record(JobPhase::Waiting, 0));
    let owner = Owner::open(&store, "a", 1);
    store.set_faults(Faults {
        down: true,
        ..Faults::default()
    });
    let order = |attempt, epoch| RecordOrder {
        epoch,
        record: record(JobPhase::Starting, attempt),
    };
    let orders = owner.writer();
    orders.send(order(1, Epoch(1))).await.expect("a place");
    owner.tenure.clear();
    owner
        .tenure
        .set(Epoch(2), owner.clock.now() + DurationMs(60_000));
    orders.send(order(2, Epoch(2))).await.expect("a place");
    // A try of the first order can be under way when its zone is lost. Orders of one job go one
    // after the other, so the second call from here on is one of the second order.
    let calls = || store.calls().values().sum::<u64>();
    let calls_before = calls();
    while calls() < calls_before + 2 {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    store.set_faults(Faults::default());
    let event = owner.next();
    let ZoneDutyEvent::JobRecorded { epoch, attempt, .. } = event else {
        panic!("unexpected {event:?}");
    };
    assert_eq!((epoch, attempt), (Epoch(2), 2));
    assert_eq!(read(&store).1.map(|stored| stored.attempt), Some(2));
}

// A job is accepted elsewhere, and the owner's watch misses the change without a word. No hint
// comes either, as the accepting host died. A later listing finds the job.
#[tokio::test(flavor = "multi_thread")]
async fn verify_job_is_found_though_the_watch_misses_it() {
    let store = store().await;
    store.set_faults(Faults {
        only: vec!["watch".to_owned()],
        miss_changes: 1_000,
        ..Faults::default()
    });
    let owner = Owner::open(&store, "a", 1);
    let (owning, is_owning) = watch::channel(Some(Epoch(1)));
    let feed = JobFeed {
        zone: ZoneName::new("east"),
        store: owner.store.clone(),
        ledger: owner.ledger.clone(),
        ring: owner.duty.sender(),
        owned: is_owning,
        clock: owner.clock,
        keep_ms: DurationMs(60_000),
    };
    let task = feed.spawn();
    while !store.calls().contains_key("watch") {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    put(&store, &record(JobPhase::Waiting, 0));
    let event = owner.next();
    assert!(matches!(event, ZoneDutyEvent::JobFound(_)), "{event:?}");
    task.abort();
    drop(owning);
}

// Records of ended jobs would fill the store. One that ended is removed after its time by the
// owner's listing; one that waits is kept however old it is.
#[tokio::test(flavor = "multi_thread")]
async fn verify_records_of_ended_jobs_are_removed_in_time() {
    let store = store().await;
    put(&store, &record(JobPhase::Finished, 1));
    let owner = Owner::open(&store, "a", 1);
    let (owning, is_owning) = watch::channel(Some(Epoch(1)));
    let feed = JobFeed {
        zone: ZoneName::new("east"),
        store: owner.store.clone(),
        ledger: owner.ledger.clone(),
        ring: owner.duty.sender(),
        owned: is_owning,
        clock: owner.clock,
        keep_ms: DurationMs(0),
    };
    let task = feed.spawn();
    let removal = async {
        while read(&store).1.is_some() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    let removed = tokio::time::timeout(LIMIT, removal).await;
    assert!(removed.is_ok(), "the record is still there");
    task.abort();
    drop(owning);
    let mut retention = JobRetention::new(DurationMs(1_000));
    retention.note(TimeMs(0), &record(JobPhase::Waiting, 1));
    assert!(retention.take_expired(TimeMs(1_000_000)).is_empty());
    retention.note(TimeMs(0), &record(JobPhase::Finished, 1));
    assert!(retention.take_expired(TimeMs(999)).is_empty());
    assert_eq!(retention.take_expired(TimeMs(1_000)), [JobId::new("job")]);
    assert!(retention.take_expired(TimeMs(9_000)).is_empty());
}
