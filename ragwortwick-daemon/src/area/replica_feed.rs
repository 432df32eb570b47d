//! Keeps the replica up to date with one watch, and tells the coordinator what changes.

use ragwortwick_adapter::{KeyValue, StoreClient, StoreError, WatchEvent, WatchReply};
use ragwortwick_area::{Event, RecoveredJob};
use ragwortwick_core::{DurationMs, JobId, Revision, log_event};
use tokio::sync::{mpsc, oneshot, watch};

use super::coordinator_handler::EventSender;
use super::feed_monitor::FeedMonitor;
use super::keys::{COORDINATOR_KEY, PROGRESS_PREFIX, REPLICATED_PREFIX};
use super::metrics::AreaMetrics;
use super::replica::{JobChange, JobReplica, parse_progress};
use super::store_health::StoreHealth;
use super::unstored_completions::HandedOverCompletion;
use crate::Clock;

/// Longest wait of one watch. A connection that went silent is noticed after this and a margin.
const WATCH_WAIT_MS: DurationMs = DurationMs(1_500);

/// Pause between watches of a host that does not coordinate: what callers see is so much later.
///
/// Each watch is charged to all hosts' budget of calls; four a second on nine hosts stay below it.
const FOLLOWER_PAUSE_MS: DurationMs = DurationMs(200);

/// Pause between watches of the coordinator, so that a burst of jobs comes in few answers.
const COORDINATOR_PAUSE_MS: DurationMs = DurationMs(15);

/// Pause after a failed call.
const FAILED_PAUSE_MS: DurationMs = DurationMs(150);

/// `CoordinatorKeyState` is what the store says of the coordinator.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CoordinatorKeyState {
    /// Nothing is known yet.
    Unknown,
    /// Nobody coordinates.
    Free,
    /// Somebody does, since that revision.
    Held(Revision),
}

/// `Subscribe` asks for all jobs as they are now, and for every change from then on.
#[derive(Debug)]
pub(super) struct Subscribe {
    pub(super) events: EventSender,
    pub(super) reply: oneshot::Sender<Vec<(RecoveredJob, Revision)>>,
}

/// `ReplicaFeed` runs the watch.
#[derive(Debug)]
pub(super) struct ReplicaFeed {
    pub(super) store: StoreClient,
    pub(super) health: StoreHealth,
    pub(super) replica: JobReplica,
    pub(super) coordinator_key: watch::Sender<CoordinatorKeyState>,
    pub(super) clock: Clock,
    pub(super) metrics: AreaMetrics,
}

/// `Step` is what one round of the feed brings.
enum Step {
    /// A term asks for everything, or none ever will again.
    Subscribe(Option<Subscribe>),
    /// The whole prefix was read.
    Loaded(Revision, Vec<JobChange>),
    /// A watch was answered.
    Changed(WatchReply),
    /// A call failed.
    Failed(StoreError),
}

impl ReplicaFeed {
    /// Runs until nobody can ask to be attached any more.
    pub(super) async fn run(self, mut requests: mpsc::Receiver<Subscribe>) {
        let mut log = FeedMonitor::open("jobs", self.clock, &self.metrics);
        let mut listener: Option<EventSender> = None;
        let mut position: Option<Revision> = None;
        let mut pause_ms = DurationMs(0);
        loop {
            // A new term waits neither for a watch nor for the pause between two.
            let step = tokio::select! {
                request = requests.recv() => Step::Subscribe(request),
                result = self.next(position, pause_ms) => result,
            };
            pause_ms = DurationMs(0);
            match step {
                Step::Subscribe(None) => return,
                Step::Subscribe(Some(request)) => {
                    position = self.subscribe(request, &mut listener).await;
                }
                Step::Loaded(as_of, news) => {
                    log.record_answer(news.len());
                    position = Some(as_of);
                    tell(&mut listener, news).await;
                }
                Step::Changed(reply) => {
                    log.record_answer(reply.events.len());
                    let news = self.take(&reply);
                    tell(&mut listener, news).await;
                    pause_ms = match (reply.events.is_empty(), &listener) {
                        (true, _) => DurationMs(0),
                        (false, Some(_)) => COORDINATOR_PAUSE_MS,
                        (false, None) => FOLLOWER_PAUSE_MS,
                    };
                    position = Some(reply.as_of);
                }
                Step::Failed(error) => {
                    log.record_failure(&error);
                    if error.is_relist_required() {
                        position = None;
                    } else {
                        pause_ms = FAILED_PAUSE_MS;
                    }
                }
            }
        }
    }

    async fn next(&self, position: Option<Revision>, pause_ms: DurationMs) -> Step {
        if pause_ms > DurationMs(0) {
            tokio::time::sleep(pause_ms.into()).await;
        }
        let Some(after) = position else {
            return match self.load().await {
                Ok((as_of, news)) => Step::Loaded(as_of, news),
                Err(error) => Step::Failed(error),
            };
        };
        let result = self
            .store
            .watch(REPLICATED_PREFIX, after, WATCH_WAIT_MS)
            .await;
        self.health.record(&result);
        match result {
            Ok(reply) => Step::Changed(reply),
            Err(error) => Step::Failed(error),
        }
    }

    fn take(&self, reply: &WatchReply) -> Vec<JobChange> {
        let mut news = Vec::new();
        for change in &reply.events {
            self.see_coordinator(change);
            news.extend(self.replica.apply(change));
        }
        news
    }

    async fn subscribe(
        &self,
        request: Subscribe,
        listener: &mut Option<EventSender>,
    ) -> Option<Revision> {
        // The term was won after every earlier acceptance, and earlier terms can't write any more, so
        // what is read now holds all of them and the newest progress.
        let progress = read_prefix(&self.store, &self.health, PROGRESS_PREFIX);
        let (loaded, progress) = tokio::join!(self.load(), progress);
        match loaded.and_then(|loaded| Ok((loaded, progress?))) {
            Ok(((as_of, _), (items, _))) => {
                let jobs = self.replica.known_jobs(parse_progress(&items));
                if request.reply.send(jobs).is_ok() {
                    *listener = Some(request.events);
                }
                Some(as_of)
            }
            Err(error) => {
                // The dropped reply tells the term that it can't begin.
                log_event!(Warn, "term_load_failed", cause = error);
                None
            }
        }
    }

    fn see_coordinator(&self, change: &WatchEvent) {
        let seen = match change {
            WatchEvent::Written(item) if item.key == COORDINATOR_KEY => {
                CoordinatorKeyState::Held(item.revision)
            }
            WatchEvent::Removed { key, .. } if key == COORDINATOR_KEY => CoordinatorKeyState::Free,
            _ => return,
        };
        self.coordinator_key.send_replace(seen);
    }

    async fn load(&self) -> Result<(Revision, Vec<JobChange>), StoreError> {
        let (items, as_of) = read_prefix(&self.store, &self.health, REPLICATED_PREFIX).await?;
        let coordinator = items.iter().find(|item| item.key == COORDINATOR_KEY);
        let seen = coordinator.map_or(CoordinatorKeyState::Free, |item| {
            CoordinatorKeyState::Held(item.revision)
        });
        let news = self.replica.load(&items, as_of);
        self.coordinator_key.send_replace(seen);
        Ok((as_of, news))
    }
}

/// Reads all pages of a prefix. The revision is that of the first page: what changes while the
/// others are read is then told by a watch from there, instead of being lost.
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
        has_more = page.has_more && !page.items.is_empty();
        items.extend(page.items);
    }
    Ok((items, as_of))
}

async fn tell(listener: &mut Option<EventSender>, news: Vec<JobChange>) {
    let Some(events) = listener else { return };
    for event in news.into_iter().flat_map(events_of) {
        if !events.send(event).await {
            // The term is over.
            *listener = None;
            return;
        }
    }
}

fn events_of(news: JobChange) -> Vec<Event> {
    match news {
        JobChange::Accepted(record) => vec![Event::JobAccepted(record)],
        JobChange::CompletionsHandedOver(job_id, ends) => completion_events(&job_id, &ends),
        JobChange::Cancelled(job_id) => vec![Event::JobCancelled(job_id)],
    }
}

/// What the coordinator is told of a job's ends that an earlier one left.
pub(super) fn completion_events(job_id: &JobId, ends: &[HandedOverCompletion]) -> Vec<Event> {
    let ends = ends.iter().map(|end| end.task_and_run(job_id));
    ends.map(|(task, run)| Event::CompletionHandedOver { task, run })
        .collect()
}
