//! Starts the zone's duty and the tasks around it, and stops them in order.

use std::io;
use std::sync::Arc;

use displaydoc::Display;
use ragwortwick_border::{AcceptedTable, CustomerJobs, HostList};
use ragwortwick_core::Epoch;
use ragwortwick_platform::StoreClient;
use ragwortwick_policy::{ZoneOptions, ZonePlacer};
use tokio::sync::{mpsc, watch};
use tokio::task::JoinHandle;

use super::caretaker::Caretaker;
use super::job_feed::JobFeed;
use super::job_hints::{HINTS_LENGTH, JobHint, JobHints};
use super::job_ledger::JobLedger;
use super::job_retention::KEEP_MS;
use super::job_writer::{JobWriter, RecordOrder};
use super::order_sender::OrderSender;
use super::owner_duty::OwnerDuty;
use super::peer_epochs::follow_peer_epochs;
use super::waiting_jobs::count_waiting;
use super::zone_duty::{Outputs, ZoneDuty};
use super::zone_event::{ZoneDutyEvent, deliver};
use super::{Ownership, Tenure, ZoneHandle};
use crate::nonce::NonceGenerator;
use crate::{Clock, EventLoop, EventLoopSender, Lifecycle, Metrics, PeerClient, Settings};

/// Orders and records that may wait for a place; beyond it orders count as silent.
const OUTPUT_LENGTH: usize = 4_096;

/// `ZoneStartError` says why the zone's duty could not start.
#[derive(Debug, Display)]
pub enum ZoneStartError {
    /// {0}
    Chart(ragwortwick_core::Error),
    /// cannot start the thread of the zone: {0}
    Thread(io::Error),
}

impl std::error::Error for ZoneStartError {}

/// `ZoneParts` is what the zone's duty is made from.
#[derive(Debug)]
pub(crate) struct ZoneParts {
    /// The process's settings.
    pub(crate) settings: Arc<Settings>,
    /// The process's clock.
    pub(crate) clock: Clock,
    /// The store.
    pub(crate) store: StoreClient,
    /// Nonces of this process.
    pub(crate) nonces: NonceGenerator,
    /// Calls to other entry hosts.
    pub(crate) peers: PeerClient,
    /// The process's metrics.
    pub(crate) metrics: Metrics,
    /// The table in force.
    pub(crate) table: watch::Receiver<Option<Arc<AcceptedTable>>>,
    /// The platform's list of hosts.
    pub(crate) hosts: watch::Receiver<Arc<HostList>>,
    /// State of the process.
    pub(crate) lifecycle: watch::Receiver<Lifecycle>,
    /// Waiting jobs of the owned zone, for the heartbeats.
    pub(crate) waiting_jobs: watch::Sender<Arc<Vec<CustomerJobs>>>,
    /// The epoch owned, for the feeds.
    pub(crate) owned_epoch: watch::Sender<Option<Epoch>>,
}

/// `ZoneRuntime` is the running duty with its tasks.
#[derive(Debug)]
pub(crate) struct ZoneRuntime {
    handle: ZoneHandle,
    duty: EventLoop<ZoneDutyEvent>,
    owner: JoinHandle<()>,
    tasks: Vec<JoinHandle<()>>,
}

impl ZoneRuntime {
    /// `spawn` starts to follow the zone; it owns nothing yet.
    pub(crate) fn spawn(parts: ZoneParts) -> Result<Self, ZoneStartError> {
        let settings = Arc::clone(&parts.settings);
        let machine = Ownership::open(settings.owner_lease_ms).map_err(ZoneStartError::Chart)?;
        let tenure = Tenure::default();
        let (fenced, fenced_seen) = watch::channel(Epoch(0));
        let (orders, orders_out) = mpsc::channel(OUTPUT_LENGTH);
        let (records, records_out) = mpsc::channel(OUTPUT_LENGTH);
        let heard_epochs =
            follow_peer_epochs(settings.zone.clone(), parts.peers.clone(), fenced.clone());
        let outputs = Outputs {
            orders,
            records,
            fenced,
        };
        let duty = spawn_duty(&parts, tenure.clone(), outputs).map_err(ZoneStartError::Thread)?;
        let ring = duty.sender();
        let (named, named_seen) = watch::channel(None);
        let (hints, hints_out) = mpsc::channel(HINTS_LENGTH);
        let mut tasks = spawn_feeds(&parts, &ring);
        tasks.push(tokio::spawn(heard_epochs));
        tasks.push(OrderSender::spawn(
            tenure.clone(),
            parts.clock,
            ring.clone(),
            orders_out,
        ));
        tasks.extend(spawn_jobs(&parts, &ring, &tenure, records_out, hints_out));
        let handle = ZoneHandle {
            hints,
            zone: settings.zone.clone(),
            ring: ring.clone(),
            tenure: tenure.clone(),
            clock: parts.clock,
            owner: named_seen,
            hosts: parts.hosts.clone(),
        };
        tasks.push(
            Caretaker {
                host: settings.host.clone(),
                zone: handle.clone(),
                owner_lease_ms: settings.owner_lease_ms,
                task_lease_ms: ZoneOptions::default().task_lease_ms,
                peers: parts.peers,
                hosts: parts.hosts,
                store_is_reachable: parts.store.reachable(),
                jitter: parts.store.backoff(),
            }
            .spawn(),
        );
        let owner_duty = OwnerDuty {
            host: settings.host.clone(),
            zone: settings.zone.clone(),
            ttl_ms: settings.owner_lease_ms,
            jitter: parts.store.backoff(),
            store: parts.store.paced(),
            clock: parts.clock,
            nonces: parts.nonces,
            tenure,
            ring,
            owned: parts.owned_epoch,
            owner: named,
            fenced: fenced_seen,
            lifecycle: parts.lifecycle,
            machine,
            claim: None,
        };
        Ok(Self {
            handle,
            duty,
            owner: tokio::spawn(owner_duty.run()),
            tasks,
        })
    }

    /// `handle` gives a handle to the duty.
    pub(crate) fn handle(&self) -> ZoneHandle {
        self.handle.clone()
    }

    /// `close` waits until the zone is given up and ends the duty.
    pub(crate) async fn close(self) {
        // The planned stop has told the owner task; it ends once the lease is given back.
        drop(self.owner.await);
        for task in self.tasks {
            task.abort();
            drop(task.await);
        }
        // The thread may wait on its ring for a moment, which must not hold up the runtime.
        drop(tokio::task::spawn_blocking(move || self.duty.close()).await);
    }
}

fn spawn_duty(
    parts: &ZoneParts,
    tenure: Tenure,
    outputs: Outputs,
) -> io::Result<EventLoop<ZoneDutyEvent>> {
    let settings = &parts.settings;
    let placer = ZonePlacer::new(
        settings.zone.clone(),
        ZoneOptions::default(),
        parts.clock.incarnation(),
    );
    let machine = ZoneDuty::new(
        settings.host.clone(),
        placer,
        settings.zone.clone(),
        tenure,
        outputs,
        parts.metrics.clone(),
    );
    EventLoop::spawn("zone", settings.ring_length, parts.clock, machine)
}

/// The tasks that read, write and count the records of the zone's jobs.
fn spawn_jobs(
    parts: &ZoneParts,
    ring: &EventLoopSender<ZoneDutyEvent>,
    tenure: &Tenure,
    records: mpsc::Receiver<RecordOrder>,
    hints: mpsc::Receiver<JobHint>,
) -> Vec<JoinHandle<()>> {
    let ledger = JobLedger::default();
    let owned = parts.owned_epoch.subscribe();
    let feed = JobFeed {
        zone: parts.settings.zone.clone(),
        store: parts.store.paced(),
        ledger: ledger.clone(),
        ring: ring.clone(),
        owned: owned.clone(),
        clock: parts.clock,
        keep_ms: KEEP_MS,
    };
    let writer = JobWriter {
        store: parts.store.clone(),
        ledger: ledger.clone(),
        tenure: tenure.clone(),
        clock: parts.clock,
        nonces: parts.nonces.clone(),
        ring: ring.clone(),
    };
    let job_hints = JobHints {
        store: parts.store.clone(),
        ledger: ledger.clone(),
        ring: ring.clone(),
        owned: owned.clone(),
    };
    vec![
        feed.spawn(),
        writer.spawn(records),
        tokio::spawn(job_hints.run(hints)),
        tokio::spawn(count_waiting(ledger, owned, parts.waiting_jobs.clone())),
    ]
}

fn spawn_feeds(parts: &ZoneParts, ring: &EventLoopSender<ZoneDutyEvent>) -> Vec<JoinHandle<()>> {
    let mut table = parts.table.clone();
    let mut hosts = parts.hosts.clone();
    let table_ring = ring.clone();
    let hosts_ring = ring.clone();
    vec![
        tokio::spawn(async move {
            table.mark_changed();
            while table.changed().await.is_ok() {
                let latest = table.borrow_and_update().clone();
                if let Some(latest) = latest {
                    deliver(&table_ring, ZoneDutyEvent::Table(latest)).await;
                }
            }
        }),
        tokio::spawn(async move {
            hosts.mark_changed();
            while hosts.changed().await.is_ok() {
                let latest = Arc::clone(&hosts.borrow_and_update());
                deliver(&hosts_ring, ZoneDutyEvent::Hosts(latest)).await;
            }
        }),
    ]
}
