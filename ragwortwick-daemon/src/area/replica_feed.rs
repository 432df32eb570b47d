//! Keeps the job replica up to date with one watch, and reports changes to the coordinator.

use ragwortwick_adapter::{KeyValue, StoreClient, StoreError, WatchEvent, WatchReply};
use ragwortwick_area::{Event, RecoveredJob};
use ragwortwick_core::{DurationMs, JobId, Revision, log_event};
use tokio::sync::{mpsc, oneshot, watch};

use super::cancel_reporter::CancelReporter;
use super::coordinator_handler::EventSender;
use super::feed_monitor::FeedMonitor;
use super::job_memory::JobMemoryLimit;
use super::keys::{COORDINATOR_KEY, PROGRESS_PREFIX, REPLICATED_PREFIX};
use super::load_feed::SharedLoadPicture;
use super::metrics::AreaMetrics;
use super::replica::{JobChange, JobReplica, parse_progress};
use super::store_health::StoreHealth;
use crate::Clock;

/// Longest wait of one watch. An unresponsive connection is noticed after this time and a margin.
const WATCH_WAIT_MS: DurationMs = DurationMs(1_500);

/// Longest wait of one watch of the coordinator, which has to stop the runs of a cancelled job in time also if
/// its connections have become unresponsive.
pub(super) const COORDINATOR_WATCH_WAIT_MS: DurationMs = DurationMs(750);

/// Delay between watches of a host that is not the coordinator; its clients see changes up to this much
/// later.
///
/// All hosts share one budget of store calls. Four watches per second on nine hosts stay below it.
const FOLLOWER_DELAY_MS: DurationMs = DurationMs(200);

/// Delay between watches of the coordinator, so that a burst of jobs arrives in a few replies.
const COORDINATOR_DELAY_MS: DurationMs = DurationMs(15);

/// Delay after a failed call.
pub(super) const FAILURE_DELAY_MS: DurationMs = DurationMs(150);

/// `CoordinatorKeyState` is the state of the coordinator key in the store, as last read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CoordinatorKeyState {
    /// The key has not been read yet.
    Unknown,
    /// There is no coordinator.
    Free,
    /// A host holds the key, since this revision.
    Held(Revision),
}

/// `SubscribeRequest` requests all jobs in their current state, and every change from then on.
#[derive(Debug)]
pub(super) struct SubscribeRequest {
    pub(super) events: EventSender,
    pub(super) reply: oneshot::Sender<Vec<(RecoveredJob, Revision)>>,
}

/// `ReplicaFeed` reads and watches the keys that every host replicates.
#[derive(Debug)]
pub(super) struct ReplicaFeed {
    pub(super) store: StoreClient,
    pub(super) health: StoreHealth,
    pub(super) replica: JobReplica,
    pub(super) coordinator_key: watch::Sender<CoordinatorKeyState>,
    pub(super) load: SharedLoadPicture,
    pub(super) job_memory: JobMemoryLimit,
    pub(super) clock: Clock,
    pub(super) metrics: AreaMetrics,
}

/// `FeedInput` is the input that the feed processes next.
enum FeedInput {
    /// A term subscribes, or `None` once no term can subscribe any more.
    Subscribe(Option<SubscribeRequest>),
    /// The whole prefix was read.
    Loaded(Revision, Vec<JobChange>),
    /// A watch returned a reply.
    Changed(WatchReply),
    Failed(StoreError),
}

impl ReplicaFeed {
    /// Runs until no term can subscribe any more.
    pub(super) async fn run(self, mut requests: mpsc::Receiver<SubscribeRequest>) {
        let mut monitor = FeedMonitor::open("jobs", self.clock, &self.metrics);
        let mut subscriber = Subscriber {
            events: None,
            cancels: CancelReporter::open(self.replica.clone(), self.metrics.clone(), self.clock),
        };
        let mut position: Option<Revision> = None;
        let mut delay_ms = DurationMs(0);
        loop {
            // A subscription of a new term interrupts a watch or the delay between two.
            let input = tokio::select! {
                request = requests.recv() => FeedInput::Subscribe(request),
                result = self.next(position, delay_ms, subscriber.watch_wait_ms()) => result,
            };
            delay_ms = DurationMs(0);
            match input {
                FeedInput::Subscribe(None) => return,
                FeedInput::Subscribe(Some(request)) => {
                    position = self.subscribe(request, &mut subscriber).await;
                }
                FeedInput::Loaded(as_of, changes) => {
                    monitor.record_reply(changes.len());
                    position = Some(as_of);
                    subscriber.send(changes).await;
                }
                FeedInput::Changed(reply) => {
                    monitor.record_reply(reply.events.len());
                    let changes = self.apply(&reply);
                    subscriber.send(changes).await;
                    delay_ms = match (reply.events.is_empty(), &subscriber.events) {
                        (true, _) => DurationMs(0),
                        (false, Some(_)) => COORDINATOR_DELAY_MS,
                        (false, None) => FOLLOWER_DELAY_MS,
                    };
                    position = Some(reply.as_of);
                }
                FeedInput::Failed(error) => {
                    monitor.record_failure(&error);
                    if error.is_relist_required() {
                        position = None;
                    } else {
                        delay_ms = FAILURE_DELAY_MS;
                    }
                }
            }
        }
    }

    async fn next(
        &self,
        position: Option<Revision>,
        delay_ms: DurationMs,
        watch_wait_ms: DurationMs,
    ) -> FeedInput {
        if delay_ms > DurationMs(0) {
            tokio::time::sleep(delay_ms.into()).await;
        }
        let Some(after) = position else {
            return match self.load().await {
                Ok((as_of, changes)) => FeedInput::Loaded(as_of, changes),
                Err(error) => FeedInput::Failed(error),
            };
        };
        let result = self
            .store
            .watch(REPLICATED_PREFIX, after, watch_wait_ms)
            .await;
        self.health.record(&result);
        match result {
            Ok(reply) => FeedInput::Changed(reply),
            Err(error) => FeedInput::Failed(error),
        }
    }

    fn apply(&self, reply: &WatchReply) -> Vec<JobChange> {
        let mut changes = Vec::new();
        for event in &reply.events {
            self.update_coordinator_key(event);
            self.load.apply(self.clock.now(), event);
            self.job_memory.apply(event);
            changes.extend(self.replica.apply(event));
        }
        changes
    }

    async fn subscribe(
        &self,
        request: SubscribeRequest,
        subscriber: &mut Subscriber,
    ) -> Option<Revision> {
        // The term's key is created before this read, so earlier terms can't write any more: the read
        // contains all jobs accepted before the term and their newest progress.
        let progress = read_prefix(&self.store, &self.health, PROGRESS_PREFIX);
        let (loaded, progress) = tokio::join!(self.load(), progress);
        match loaded.and_then(|loaded| Ok((loaded, progress?))) {
            Ok(((as_of, _), (items, _))) => {
                let progress = parse_progress(&items);
                let jobs = self.replica.recovered_jobs(as_of, progress);
                let cancelled: Vec<JobId> = jobs
                    .iter()
                    .filter(|(job, _)| job.is_cancelled)
                    .map(|(job, _)| job.record.job_id.clone())
                    .collect();
                if request.reply.send(jobs).is_ok() {
                    subscriber.events = Some(request.events);
                    self.report_cancels(subscriber, &cancelled);
                }
                Some(as_of)
            }
            Err(error) => {
                // Dropping the reply channel reports the failure to the term.
                log_event!(Warn, "term_load_failed", cause = error);
                None
            }
        }
    }

    /// Reports the cancels that a new term recovers.
    fn report_cancels(&self, subscriber: &Subscriber, job_ids: &[JobId]) {
        for job_id in job_ids {
            let view = self.replica.view(job_id);
            if let Some(cancel) = view.and_then(|view| view.cancel_change(job_id)) {
                subscriber.cancels.report(&cancel);
            }
        }
    }

    fn update_coordinator_key(&self, event: &WatchEvent) {
        let state = match event {
            WatchEvent::Written(item) if item.key == COORDINATOR_KEY => {
                CoordinatorKeyState::Held(item.revision)
            }
            WatchEvent::Removed { key, .. } if key == COORDINATOR_KEY => CoordinatorKeyState::Free,
            _ => return,
        };
        self.coordinator_key.send_replace(state);
    }

    async fn load(&self) -> Result<(Revision, Vec<JobChange>), StoreError> {
        let (items, as_of) = read_prefix(&self.store, &self.health, REPLICATED_PREFIX).await?;
        let coordinator = items.iter().find(|item| item.key == COORDINATOR_KEY);
        let state = coordinator.map_or(CoordinatorKeyState::Free, |item| {
            CoordinatorKeyState::Held(item.revision)
        });
        self.job_memory.load(&items);
        let changes = self.replica.load(&items, as_of);
        self.coordinator_key.send_replace(state);
        Ok((as_of, changes))
    }
}

/// Reads all pages of a prefix. The returned revision is that of the first page, so that a watch from
/// there includes the changes made while the other pages were read.
pub(super) async fn read_prefix(
    store: &StoreClient,
    health: &StoreHealth,
    prefix: &str,
) -> Result<(Vec<KeyValue>, Revision), StoreError> {
    let first = store.list_page(prefix, None).await;
    health.record(&first);
    let first = first?;
    let as_of = first.as_of;
    let mut items = first.items;
    let mut has_more = first.has_more;
    while has_more {
        let Some(after) = items.last().map(|item| item.key.clone()) else {
            break;
        };
        let page = store.list_page(prefix, Some(&after)).await;
        health.record(&page);
        let page = page?;
        has_more = page.has_more;
        items.extend(page.items);
    }
    Ok((items, as_of))
}

/// `Subscriber` is the coordinator of the newest term on this host.
struct Subscriber {
    /// None while this host does not coordinate.
    events: Option<EventSender>,
    cancels: CancelReporter,
}

impl Subscriber {
    fn watch_wait_ms(&self) -> DurationMs {
        match self.events {
            Some(_) => COORDINATOR_WATCH_WAIT_MS,
            None => WATCH_WAIT_MS,
        }
    }

    async fn send(&mut self, changes: Vec<JobChange>) {
        let Some(events) = &self.events else { return };
        for change in changes {
            if let JobChange::Cancelled(cancel) = &change {
                self.cancels.report(cancel);
            }
            for event in events_of(change) {
                if !events.send(event).await {
                    // The term has ended.
                    self.events = None;
                    return;
                }
            }
        }
    }
}

fn events_of(change: JobChange) -> Vec<Event> {
    match change {
        JobChange::Accepted(record) => vec![Event::JobAccepted(record)],
        JobChange::ResultsHandedOver(results) => {
            results.into_iter().map(Event::ResultHandedOver).collect()
        }
        JobChange::Cancelled(cancel) => vec![Event::JobCancelled(cancel.job_id)],
    }
}
