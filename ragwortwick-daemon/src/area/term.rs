//! One term of coordination: from winning the key to losing or giving it up.

use std::collections::HashSet;
use std::sync::Arc;

use ragwortwick_adapter::{StoreClient, StoreError};
use ragwortwick_area::{Action, Coordinator, DesiredState, Event, Limits, Now, RecoveredJob};
use ragwortwick_core::{DurationMs, Epoch, JobId, Revision, TimeMs, log_event};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::JoinSet;

use super::action_dispatcher::ActionDispatcher;
use super::batch_writer::{BatchWriter, JobEndReporter};
use super::coordinator_handler::{CoordinatorHandler, EventSender, LoadStats};
use super::metrics::AreaMetrics;
use super::order_sender::OrderSender;
use super::progress_store::ProgressStore;
use super::replica::JobReplica;
use super::replica_feed::{CoordinatorKeyState, Subscribe, completion_events};
use super::store_health::StoreHealth;
use super::unstored_completions::{self, UnstoredCompletions};
use super::worker_feed::{WorkerFeed, read_workers};
use crate::{Clock, EventLoop, unix_now};

/// Events that may wait for the coordinator: several passes' worth at the planned size.
const RING_LENGTH: usize = 16_384;

/// Pause between two renewals; several must fail in a row before the lease runs out.
const RENEW_MS: DurationMs = DurationMs(400);

/// Longest wait for one renewal.
const RENEW_TIMEOUT_MS: DurationMs = DurationMs(600);

/// How much earlier than the store the holder counts its lease as over.
const TENURE_MARGIN_MS: DurationMs = DurationMs(200);

/// `TermContext` is what a term works with.
#[derive(Clone, Debug)]
pub(super) struct TermContext {
    pub(super) store: StoreClient,
    pub(super) health: StoreHealth,
    pub(super) clock: Clock,
    pub(super) limits: Limits,
    /// Address of the advisor, if the installation has one.
    pub(super) advice_address: Option<String>,
    pub(super) desired: watch::Receiver<Option<Arc<DesiredState>>>,
    pub(super) subscriptions: mpsc::Sender<Subscribe>,
    pub(super) coordinator_key: watch::Receiver<CoordinatorKeyState>,
    pub(super) stopping: watch::Receiver<bool>,
    pub(super) replica: JobReplica,
    pub(super) metrics: AreaMetrics,
}

/// `CoordinatorLease` is the key that a term holds.
#[derive(Clone, Copy, Debug)]
pub(super) struct CoordinatorLease {
    pub(super) lease: u64,
    pub(super) ttl_ms: DurationMs,
    pub(super) revision: Revision,
    /// When the lease was last known to be granted or renewed.
    pub(super) granted_at: TimeMs,
}

impl CoordinatorLease {
    fn valid_until(&self, renewed_at: TimeMs) -> TimeMs {
        renewed_at + self.ttl_ms - TENURE_MARGIN_MS
    }
}

/// Coordinates until the key is lost or the host stops.
pub(super) async fn run_term(parts: &TermContext, won: CoordinatorLease) {
    let term = Epoch(won.revision.0);
    log_event!(Info, "term_begins", term = term);
    parts.metrics.is_coordinator.set(1);
    let result = run(parts, won, term).await;
    parts.metrics.is_coordinator.set(0);
    let why = match result {
        Ok(why) => why.to_owned(),
        Err(error) => error.to_string(),
    };
    // Whoever is next need not wait for the lease to run out.
    let ended = parts.store.revoke_lease(won.lease).await;
    log_event!(
        Info,
        "term_ends",
        term = term,
        cause = why,
        is_key_released = ended.is_ok()
    );
}

async fn run(
    parts: &TermContext,
    won: CoordinatorLease,
    term: Epoch,
) -> Result<&'static str, StoreError> {
    let Some(desired) = parts.desired.borrow().clone() else {
        return Ok("no desired state yet");
    };
    let (entries, workers_as_of) = read_workers(&parts.store, &parts.health).await?;
    let known_workers = entries.iter().map(|entry| entry.name.clone()).collect();
    let (start, started) = std::sync::mpsc::channel();
    let machine = LateMachine {
        start: started,
        machine: None,
    };
    let duty = EventLoop::spawn("coordinator", RING_LENGTH, parts.clock, machine)
        .map_err(|error| StoreError::Refused(error.to_string()))?;
    let events = EventSender(duty.sender());
    let Some(jobs) = subscribe(parts, &events).await else {
        drop(start);
        duty.close();
        return Ok("the jobs can't be read");
    };
    log_event!(
        Info,
        "term_loaded",
        term = term,
        jobs = jobs.len(),
        workers = entries.len(),
        desired_version = desired.version
    );
    let now = Now {
        steady: parts.clock.now(),
        unix: unix_now(),
    };
    let revisions = jobs
        .iter()
        .map(|(job, revision)| (job.record.job_id.clone(), *revision))
        .collect();
    let told = ended_before(&jobs);
    let coordinator = Coordinator::take_over(
        now,
        parts.limits.clone(),
        desired,
        jobs.into_iter().map(|(job, _)| job).collect(),
        entries,
    );
    let (actions, action_feed) = mpsc::unbounded_channel();
    // The duty's thread waits for this; it can only have gone if the process is ending.
    let _ = start.send(CoordinatorHandler {
        coordinator,
        actions,
        clock: parts.clock,
        last_call: now,
        load: LoadStats::default(),
    });
    let until = won.valid_until(won.granted_at);
    events.send(Event::LeaseExtended { until }).await;
    tell_left_ends(parts, &events).await;

    let feed = WorkerFeed {
        store: parts.store.clone(),
        health: parts.health.clone(),
        events: events.clone(),
        known: known_workers,
        clock: parts.clock,
        metrics: parts.metrics.clone(),
    };
    let progress_store = ProgressStore::open(
        parts.store.clone(),
        parts.health.clone(),
        won.revision,
        revisions,
    );
    let (writes, write_feed) = mpsc::unbounded_channel();
    let (end, ended) = mpsc::channel(4);
    let mut tasks = JoinSet::new();
    tasks.spawn(feed.run(Some(workers_as_of)));
    tasks.spawn(follow_desired(parts.desired.clone(), events.clone()));
    let unstored = UnstoredCompletions::default();
    let batch_writer = BatchWriter {
        progress_store,
        events: events.clone(),
        ends: JobEndReporter::open(parts.replica.clone(), parts.metrics.clone(), told),
        unstored: unstored.clone(),
    };
    tasks.spawn(batch_writer.run(write_feed, end.clone()));
    tasks.spawn(renew(parts.clone(), won, events.clone(), end));
    let advice_address = parts.advice_address.as_deref();
    let sender = OrderSender::open(parts.clock, advice_address, term, events);
    let dispatcher = ActionDispatcher::open(writes, sender, parts.metrics.clone(), unstored);
    let why = hand_out(parts, won, action_feed, &dispatcher, ended).await;
    tasks.shutdown().await;
    duty.close();
    leave_unstored(parts, &dispatcher.unstored);
    Ok(why)
}

/// Tells of ends that earlier coordinators left.
async fn tell_left_ends(parts: &TermContext, events: &EventSender) {
    for (job_id, ends) in parts.replica.handed_over_completions() {
        for event in completion_events(&job_id, &ends) {
            events.send(event).await;
        }
    }
}

/// Leaves what this term heard and could not store to the next one, which must not wait for it.
fn leave_unstored(parts: &TermContext, unstored: &UnstoredCompletions) {
    let left = unstored.take();
    if !left.is_empty() {
        let (store, health) = (parts.store.clone(), parts.health.clone());
        tokio::spawn(unstored_completions::hand_over(store, health, left));
    }
}

/// Jobs that had come to their end before this term.
fn ended_before(jobs: &[(RecoveredJob, Revision)]) -> HashSet<JobId> {
    jobs.iter()
        .filter(|(job, _)| {
            let progress = job.progress.as_ref();
            progress.is_some_and(|progress| progress.phase.is_final())
        })
        .map(|(job, _)| job.record.job_id.clone())
        .collect()
}

/// Reads all jobs as they are now, and has every change from then on sent to the coordinator.
async fn subscribe(
    parts: &TermContext,
    events: &EventSender,
) -> Option<Vec<(RecoveredJob, Revision)>> {
    let (reply, jobs) = oneshot::channel();
    let request = Subscribe {
        events: events.clone(),
        reply,
    };
    parts.subscriptions.send(request).await.ok()?;
    jobs.await.ok()
}

/// Carries out the coordinator's actions until the term ends; tells why it did.
async fn hand_out(
    parts: &TermContext,
    won: CoordinatorLease,
    mut actions: mpsc::UnboundedReceiver<Vec<Action>>,
    dispatcher: &ActionDispatcher,
    mut ended: mpsc::Receiver<&'static str>,
) -> &'static str {
    let mut orders = JoinSet::new();
    let mut key = parts.coordinator_key.clone();
    let mut stopping = parts.stopping.clone();
    if *stopping.borrow_and_update() {
        return "the host stops";
    }
    let why = loop {
        tokio::select! {
            batch = actions.recv() => {
                let Some(batch) = batch else { break "the coordinator has ended" };
                if !dispatcher.dispatch(batch, &mut orders) {
                    break "a worker knows a later term";
                }
            }
            _ = orders.join_next(), if !orders.is_empty() => {}
            why = ended.recv() => break why.unwrap_or("its tasks have ended"),
            _ = key.changed() => {
                let seen = *key.borrow_and_update();
                if let CoordinatorKeyState::Held(revision) = seen && revision > won.revision {
                    break "another host holds the key";
                }
            }
            _ = stopping.changed() => break "the host stops",
        }
    };
    orders.shutdown().await;
    why
}

/// `LateMachine` waits for its coordinator, so that events that come early are kept in the ring.
struct LateMachine {
    start: std::sync::mpsc::Receiver<CoordinatorHandler>,
    machine: Option<CoordinatorHandler>,
}

impl LateMachine {
    fn machine(&mut self) -> Option<&mut CoordinatorHandler> {
        if self.machine.is_none() {
            self.machine = self.start.recv().ok();
        }
        self.machine.as_mut()
    }
}

impl crate::EventHandler for LateMachine {
    type Event = Event;

    fn on_event(&mut self, now: TimeMs, event: Event) {
        if let Some(machine) = self.machine() {
            machine.on_event(now, event);
        }
    }

    fn on_wakeup(&mut self, now: TimeMs) {
        if let Some(machine) = self.machine() {
            machine.on_wakeup(now);
        }
    }

    fn next_wakeup(&self) -> Option<TimeMs> {
        self.machine
            .as_ref()
            .and_then(crate::EventHandler::next_wakeup)
    }
}

async fn follow_desired(
    mut desired: watch::Receiver<Option<Arc<DesiredState>>>,
    events: EventSender,
) {
    loop {
        let state = desired.borrow_and_update().clone();
        if let Some(state) = state
            && !events.send(Event::DesiredState(state)).await
        {
            return;
        }
        if desired.changed().await.is_err() {
            return;
        }
    }
}

/// Renews the lease. While the store is away the term goes on without orders; the lease may have
/// been paused, and is then simply renewed.
async fn renew(
    parts: TermContext,
    won: CoordinatorLease,
    events: EventSender,
    end: mpsc::Sender<&'static str>,
) {
    loop {
        tokio::time::sleep(RENEW_MS.into()).await;
        let sent_at = parts.clock.now();
        let result = parts.store.renew_lease(won.lease, RENEW_TIMEOUT_MS).await;
        parts.health.record(&result);
        match result {
            Ok(()) => {
                let until = won.valid_until(sent_at);
                if !events.send(Event::LeaseExtended { until }).await {
                    return;
                }
            }
            Err(StoreError::LeaseNotFound) => {
                let _ = end.send("the lease has run out").await;
                return;
            }
            Err(error) => log_event!(Info, "renewal_failed", cause = error),
        }
    }
}
