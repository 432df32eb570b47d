//! One term of the coordinator: from the acquisition of the coordinator key to its loss or release.

use std::collections::HashSet;
use std::sync::Arc;

use ragwortwick_adapter::{StoreClient, StoreError};
use ragwortwick_area::{Action, Coordinator, DesiredState, Event, Limits, Now, RecoveredJob};
use ragwortwick_core::{DurationMs, Epoch, JobId, Revision, TimeMs, log_event};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::JoinSet;
use tokio::time::MissedTickBehavior;

use super::action_dispatcher::ActionDispatcher;
use super::batch_writer::{BatchWriter, JobEndReporter};
use super::coordinator_handler::{CoordinatorHandler, EventSender, LoadStats};
use super::handover::{self, SharedUnstoredResults};
use super::metrics::AreaMetrics;
use super::operator_feed::EvacuationReport;
use super::order_sender::OrderSender;
use super::progress_store::ProgressStore;
use super::replica::JobReplica;
use super::replica_feed::{CoordinatorKeyState, SubscribeRequest};
use super::speeds;
use super::store_health::StoreHealth;
use super::worker_feed::{KnownWorkers, WorkerFeed, read_workers};
use crate::{Clock, EventLoop, unix_now};

/// Length of the coordinator's event queue: the events of several placement passes at the planned size.
const QUEUE_LENGTH: usize = 16_384;

/// Interval between lease renewals. They overlap, so that one without a reply does not delay the next ones:
/// the lease expires only after several of them fail in a row.
const RENEWAL_INTERVAL_MS: DurationMs = DurationMs(250);

/// Timeout of one renewal.
const RENEWAL_TIMEOUT_MS: DurationMs = DurationMs(600);

/// How much earlier than in the store a lease expires for its holder.
const EXPIRY_MARGIN_MS: DurationMs = DurationMs(200);

/// `TermContext` holds the clients, channels and settings that a term uses.
#[derive(Clone, Debug)]
pub(super) struct TermContext {
    pub(super) store: StoreClient,
    pub(super) health: StoreHealth,
    pub(super) clock: Clock,
    pub(super) limits: Limits,
    /// Address of the advisor, if the installation has one.
    pub(super) advice_address: Option<String>,
    pub(super) desired: watch::Receiver<Option<Arc<DesiredState>>>,
    pub(super) evacuations: watch::Receiver<Option<EvacuationReport>>,
    pub(super) subscriptions: mpsc::Sender<SubscribeRequest>,
    pub(super) coordinator_key: watch::Receiver<CoordinatorKeyState>,
    pub(super) stopping: watch::Receiver<bool>,
    pub(super) replica: JobReplica,
    pub(super) metrics: AreaMetrics,
}

/// `CoordinatorLease` is the lease of a term, with the coordinator key bound to it.
#[derive(Clone, Copy, Debug)]
pub(super) struct CoordinatorLease {
    pub(super) lease_id: u64,
    pub(super) ttl_ms: DurationMs,
    pub(super) revision: Revision,
    /// When the request that granted the lease was sent.
    pub(super) granted_at: TimeMs,
}

impl CoordinatorLease {
    fn valid_until(&self, renewed_at: TimeMs) -> TimeMs {
        renewed_at + self.ttl_ms - EXPIRY_MARGIN_MS
    }
}

/// Runs a term until the key is lost or the host stops.
pub(super) async fn run_term(context: &TermContext, lease: CoordinatorLease) {
    let term = Epoch(lease.revision.0);
    log_event!(Info, "term_begins", term = term);
    context.metrics.is_coordinator.set(1);
    let result = run(context, lease, term).await;
    context.metrics.is_coordinator.set(0);
    let reason = match result {
        Ok(reason) => reason.to_owned(),
        Err(error) => error.to_string(),
    };
    // The next coordinator need not wait until the lease expires.
    let released = context.store.revoke_lease(lease.lease_id).await;
    log_event!(
        Info,
        "term_ends",
        term = term,
        cause = reason,
        is_key_released = released.is_ok()
    );
}

async fn run(
    context: &TermContext,
    lease: CoordinatorLease,
    term: Epoch,
) -> Result<&'static str, StoreError> {
    let Some(desired) = context.desired.borrow().clone() else {
        return Ok("no desired state has been read yet");
    };
    let (workers, speeds) = tokio::join!(
        read_workers(&context.store, &context.health),
        speeds::read_speeds(context)
    );
    let (entries, workers_as_of) = workers?;
    let known_workers = KnownWorkers::of(&entries);
    let (handler_sender, handler_receiver) = std::sync::mpsc::channel();
    let deferred = DeferredHandler {
        receiver: handler_receiver,
        handler: None,
    };
    let event_loop = EventLoop::spawn("coordinator", QUEUE_LENGTH, context.clock, deferred)
        .map_err(|error| StoreError::Refused(error.to_string()))?;
    let events = EventSender(event_loop.sender());
    let Some(jobs) = subscribe(context, &events).await else {
        drop(handler_sender);
        event_loop.close();
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
    let revisions = jobs
        .iter()
        .map(|(job, revision)| (job.record.job_id.clone(), *revision))
        .collect();
    let reported = ended_before(&jobs);
    let now = Now {
        steady: context.clock.now(),
        unix: unix_now(),
    };
    let jobs = jobs.into_iter().map(|(job, _)| job).collect();
    let mut coordinator =
        Coordinator::take_over(now, context.limits.clone(), desired, jobs, entries);
    if let Some(speeds) = speeds {
        speeds::restore(&mut coordinator, now, &speeds);
    }
    let (actions, action_receiver) = mpsc::unbounded_channel();
    // The event loop's thread waits for the handler; it drops the receiver only if the process ends.
    let _ = handler_sender.send(CoordinatorHandler {
        coordinator,
        actions,
        clock: context.clock,
        last_call: now,
        load: LoadStats::default(),
    });
    let until = lease.valid_until(lease.granted_at);
    events.send(Event::LeaseExtended { until }).await;
    send_handed_over_results(context, &events).await;

    let progress_store = ProgressStore::open(
        context.store.clone(),
        context.health.clone(),
        lease.revision,
        revisions,
    );
    let (writes, write_receiver) = mpsc::unbounded_channel();
    let (end_sender, end_reasons) = mpsc::channel(4);
    let mut tasks = JoinSet::new();
    let feed = worker_feed(context, events.clone(), known_workers);
    tasks.spawn(feed.run(Some(workers_as_of)));
    tasks.spawn(forward_desired_state(
        context.desired.clone(),
        events.clone(),
    ));
    tasks.spawn(forward_evacuations(
        context.evacuations.clone(),
        events.clone(),
    ));
    let unstored = SharedUnstoredResults::default();
    let batch_writer = BatchWriter {
        progress_store,
        events: events.clone(),
        job_ends: JobEndReporter::open(context.replica.clone(), context.metrics.clone(), reported),
        unstored: unstored.clone(),
    };
    tasks.spawn(batch_writer.run(write_receiver, end_sender.clone()));
    tasks.spawn(renew(context.clone(), lease, events.clone(), end_sender));
    let advice_address = context.advice_address.as_deref();
    let order_sender = OrderSender::open(context.clock, advice_address, term, events);
    let dispatcher =
        ActionDispatcher::open(writes, order_sender, context.metrics.clone(), unstored);
    let reason = dispatch_actions(context, lease, action_receiver, &dispatcher, end_reasons).await;
    tasks.shutdown().await;
    event_loop.close();
    hand_over_unstored(context, &dispatcher.unstored);
    Ok(reason)
}

fn worker_feed(context: &TermContext, events: EventSender, known: KnownWorkers) -> WorkerFeed {
    WorkerFeed {
        store: context.store.clone(),
        health: context.health.clone(),
        events,
        known,
        clock: context.clock,
        metrics: context.metrics.clone(),
    }
}

/// Sends the results that earlier coordinators handed over.
async fn send_handed_over_results(context: &TermContext, events: &EventSender) {
    for result in context.replica.handed_over_results() {
        events.send(Event::ResultHandedOver(result)).await;
    }
}

/// Hands the unstored results of this term over to the next one, in a task of its own: the term's end must
/// not wait for it.
fn hand_over_unstored(context: &TermContext, unstored: &SharedUnstoredResults) {
    let results = unstored.lock().take();
    if !results.is_empty() {
        let (store, health) = (context.store.clone(), context.health.clone());
        tokio::spawn(handover::hand_over(store, health, results));
    }
}

/// Jobs that ended before this term.
fn ended_before(jobs: &[(RecoveredJob, Revision)]) -> HashSet<JobId> {
    jobs.iter()
        .filter(|(job, _)| {
            let progress = job.progress.as_ref();
            progress.is_some_and(|progress| progress.phase.is_final())
        })
        .map(|(job, _)| job.record.job_id.clone())
        .collect()
}

/// Reads all jobs in their current state, and subscribes the coordinator to every change from then on.
async fn subscribe(
    context: &TermContext,
    events: &EventSender,
) -> Option<Vec<(RecoveredJob, Revision)>> {
    let (reply, jobs) = oneshot::channel();
    let request = SubscribeRequest {
        events: events.clone(),
        reply,
    };
    context.subscriptions.send(request).await.ok()?;
    jobs.await.ok()
}

/// Dispatches the coordinator's actions until the term ends; returns the reason for its end.
async fn dispatch_actions(
    context: &TermContext,
    lease: CoordinatorLease,
    mut actions: mpsc::UnboundedReceiver<Vec<Action>>,
    dispatcher: &ActionDispatcher,
    mut end_reasons: mpsc::Receiver<&'static str>,
) -> &'static str {
    let mut orders = JoinSet::new();
    let mut key = context.coordinator_key.clone();
    let mut stopping = context.stopping.clone();
    if *stopping.borrow_and_update() {
        return "the host is stopping";
    }
    let reason = loop {
        tokio::select! {
            batch = actions.recv() => {
                let Some(batch) = batch else { break "the coordinator's event loop has ended" };
                if !dispatcher.dispatch(batch, &mut orders) {
                    break "a worker has seen a later term";
                }
            }
            _ = orders.join_next(), if !orders.is_empty() => {}
            reason = end_reasons.recv() => break reason.unwrap_or("the term's tasks have ended"),
            _ = key.changed() => {
                let state = *key.borrow_and_update();
                if let CoordinatorKeyState::Held(revision) = state && revision > lease.revision {
                    break "another host holds the key";
                }
            }
            _ = stopping.changed() => break "the host is stopping",
        }
    };
    orders.shutdown().await;
    reason
}

/// `DeferredHandler` waits for its coordinator; events that arrive before it stay in the queue.
struct DeferredHandler {
    receiver: std::sync::mpsc::Receiver<CoordinatorHandler>,
    handler: Option<CoordinatorHandler>,
}

impl DeferredHandler {
    fn handler(&mut self) -> Option<&mut CoordinatorHandler> {
        if self.handler.is_none() {
            self.handler = self.receiver.recv().ok();
        }
        self.handler.as_mut()
    }
}

impl crate::EventHandler for DeferredHandler {
    type Event = Event;

    fn on_event(&mut self, now: TimeMs, event: Event) {
        if let Some(handler) = self.handler() {
            handler.on_event(now, event);
        }
    }

    fn on_wakeup(&mut self, now: TimeMs) {
        if let Some(handler) = self.handler() {
            handler.on_wakeup(now);
        }
    }

    fn next_wakeup(&self) -> Option<TimeMs> {
        self.handler
            .as_ref()
            .and_then(crate::EventHandler::next_wakeup)
    }
}

async fn forward_desired_state(
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

async fn forward_evacuations(
    mut evacuations: watch::Receiver<Option<EvacuationReport>>,
    events: EventSender,
) {
    loop {
        let report = evacuations.borrow_and_update().clone();
        if let Some(EvacuationReport { zones, as_of }) = report
            && !events
                .send(Event::EvacuationsConfirmed { zones, as_of })
                .await
        {
            return;
        }
        if evacuations.changed().await.is_err() {
            return;
        }
    }
}

/// Renews the lease. While the store is unavailable, the term continues but sends no orders. The store may
/// have paused the lease meanwhile, and then renews it as usual.
async fn renew(
    context: TermContext,
    lease: CoordinatorLease,
    events: EventSender,
    end_sender: mpsc::Sender<&'static str>,
) {
    let mut renewals = JoinSet::new();
    let mut interval = tokio::time::interval(RENEWAL_INTERVAL_MS.into());
    interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        let renewed = tokio::select! {
            _ = interval.tick() => {
                renewals.spawn(renew_once(context.clone(), lease));
                continue;
            }
            Some(renewed) = renewals.join_next() => renewed,
        };
        match renewed {
            Ok(Ok(until)) => {
                if !events.send(Event::LeaseExtended { until }).await {
                    return;
                }
            }
            Ok(Err(StoreError::LeaseNotFound)) => {
                let _ = end_sender.send("the lease has expired").await;
                return;
            }
            Ok(Err(error)) => log_event!(Info, "renewal_failed", cause = error),
            // A panic ends the process; only a shutdown of the runtime cancels the task.
            Err(_cancelled) => return,
        }
    }
}

/// Renews the lease once; returns until when it is valid.
async fn renew_once(context: TermContext, lease: CoordinatorLease) -> Result<TimeMs, StoreError> {
    let sent_at = context.clock.now();
    let store = &context.store;
    let result = store.renew_lease(lease.lease_id, RENEWAL_TIMEOUT_MS).await;
    context.health.record(&result);
    result.map(|()| lease.valid_until(sent_at))
}
