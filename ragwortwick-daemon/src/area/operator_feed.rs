//! Keeps what operators write up to date: the desired state and the evacuated zones. Reads them at the start
//! and after each gap, then watches them. An older desired state never replaces a newer one.

use std::collections::BTreeSet;
use std::sync::Arc;

use ragwortwick_adapter::{
    DESIRED_KEY, KeyValue, OPERATOR_PREFIX, StoreClient, StoreError, WatchEvent, check_evacuation,
    decode_desired_state, evacuated_zone_from_key,
};
use ragwortwick_area::{DesiredState, EvacuatedZones};
use ragwortwick_core::{DurationMs, Revision, TimeMs, ZoneName, log_event};
use tokio::sync::watch;

use super::desired_state_age::DesiredStateAge;
use super::feed_monitor::FeedMonitor;
use super::metrics::AreaMetrics;
use super::replica_feed::read_prefix;
use super::store_health::StoreHealth;
use crate::Clock;

/// Longest wait of one watch. An accepted version has to be in force within two seconds, even if a
/// connection became unresponsive meanwhile.
const WATCH_WAIT_MS: DurationMs = DurationMs(1_000);

/// Delay after a failed call.
const FAILURE_DELAY_MS: DurationMs = DurationMs(150);

/// `EvacuationReport` is the set of evacuated zones, with when the call that returned it was sent.
#[derive(Clone, Debug)]
pub(super) struct EvacuationReport {
    pub(super) zones: EvacuatedZones,
    pub(super) as_of: TimeMs,
}

/// `OperatorFeed` reads and watches the keys that operators write.
#[derive(Debug)]
pub(super) struct OperatorFeed {
    store: StoreClient,
    health: StoreHealth,
    desired: watch::Sender<Option<Arc<DesiredState>>>,
    evacuations: watch::Sender<Option<EvacuationReport>>,
    /// Evacuated zones as of the last reply.
    evacuated: BTreeSet<ZoneName>,
    age: DesiredStateAge,
    clock: Clock,
    metrics: AreaMetrics,
}

/// `OperatorIntent` is what operators want, as far as this host knows; none before the first read.
#[derive(Clone, Debug)]
pub(super) struct OperatorIntent {
    pub(super) desired: watch::Receiver<Option<Arc<DesiredState>>>,
    pub(super) evacuations: watch::Receiver<Option<EvacuationReport>>,
    pub(super) age: DesiredStateAge,
}

/// `FeedReply` is the result of a read or a watch.
struct FeedReply {
    /// Revision after which the next watch begins.
    as_of: Revision,
    entries: usize,
}

impl OperatorFeed {
    /// Returns a feed, and what it will keep up to date once it runs.
    pub(super) fn open(
        store: StoreClient,
        health: StoreHealth,
        clock: Clock,
        metrics: AreaMetrics,
    ) -> (Self, OperatorIntent) {
        let age = DesiredStateAge::default();
        let (desired, desired_receiver) = watch::channel(None);
        let (evacuations, evacuations_receiver) = watch::channel(None);
        let intent = OperatorIntent {
            desired: desired_receiver,
            evacuations: evacuations_receiver,
            age: age.clone(),
        };
        let feed = Self {
            store,
            health,
            desired,
            evacuations,
            evacuated: BTreeSet::new(),
            age,
            clock,
            metrics,
        };
        (feed, intent)
    }

    /// Runs until the process ends.
    pub(super) async fn run(mut self) {
        let mut monitor = FeedMonitor::open("desired", self.clock, &self.metrics);
        let mut position: Option<Revision> = None;
        loop {
            let sent_at = self.clock.now();
            let result = match position {
                None => self.read().await,
                Some(after) => self.watch(after).await,
            };
            match result {
                Ok(reply) => {
                    monitor.record_reply(reply.entries);
                    self.age.confirm(self.clock.now());
                    self.report_evacuations(sent_at);
                    position = Some(reply.as_of);
                }
                Err(error) => {
                    monitor.record_failure(&error);
                    // Read the newest version instead of the missed changes. The changes contain every
                    // missed version, so on a slow link their transfer can exceed the call's timeout,
                    // and each retry asks for more. A single version doesn't grow with the gap.
                    position = None;
                    if !error.is_relist_required() {
                        tokio::time::sleep(FAILURE_DELAY_MS.into()).await;
                    }
                }
            }
        }
    }

    async fn read(&mut self) -> Result<FeedReply, StoreError> {
        let (items, as_of) = read_prefix(&self.store, &self.health, OPERATOR_PREFIX).await?;
        let present = items
            .iter()
            .filter_map(|item| evacuated_zone_from_key(&item.key));
        let present: BTreeSet<ZoneName> = present.collect();
        let removed: Vec<ZoneName> = self.evacuated.difference(&present).cloned().collect();
        for zone in removed {
            self.end_evacuation(&zone, as_of);
        }
        for item in &items {
            self.apply(item);
        }
        Ok(FeedReply {
            as_of,
            entries: items.len(),
        })
    }

    async fn watch(&mut self, after: Revision) -> Result<FeedReply, StoreError> {
        let reply = self
            .store
            .watch(OPERATOR_PREFIX, after, WATCH_WAIT_MS)
            .await;
        self.health.record(&reply);
        let reply = reply?;
        for event in &reply.events {
            match event {
                WatchEvent::Written(item) => self.apply(item),
                WatchEvent::Removed { key, revision } => {
                    if let Some(zone) = evacuated_zone_from_key(key) {
                        self.end_evacuation(&zone, *revision);
                    }
                }
            }
        }
        Ok(FeedReply {
            as_of: reply.as_of,
            entries: reply.events.len(),
        })
    }

    fn apply(&mut self, item: &KeyValue) {
        if let Some(zone) = evacuated_zone_from_key(&item.key) {
            self.begin_evacuation(&zone, item);
        }
        if item.key != DESIRED_KEY {
            return;
        }
        match decode_desired_state(&item.value) {
            Ok(state) => self.put_in_force(state, item.revision),
            Err(error) => {
                log_event!(
                    Error,
                    "desired_state_unreadable",
                    revision = item.revision,
                    cause = error
                );
            }
        }
    }

    /// Evacuates a zone. A value that can't be decoded does so too: the key alone states the operator's intent.
    fn begin_evacuation(&mut self, zone: &ZoneName, item: &KeyValue) {
        if let Err(error) = check_evacuation(&item.value) {
            log_event!(
                Warn,
                "evacuation_unreadable",
                zone = zone,
                revision = item.revision,
                cause = error
            );
        }
        if self.evacuated.insert(zone.clone()) {
            self.metrics.set_evacuated(zone, true);
            log_event!(
                Info,
                "evacuation_begins",
                zone = zone,
                revision = item.revision
            );
        }
    }

    fn end_evacuation(&mut self, zone: &ZoneName, revision: Revision) {
        let was_evacuated = self.evacuated.remove(zone);
        self.metrics.set_evacuated(zone, false);
        log_event!(
            Info,
            "evacuation_ends",
            zone = zone,
            revision = revision,
            was_evacuated = was_evacuated
        );
    }

    fn report_evacuations(&self, as_of: TimeMs) {
        self.evacuations.send_modify(|report| {
            let previous = report.take().map(|report| report.zones);
            let zones = previous.filter(|zones| **zones == self.evacuated);
            *report = Some(EvacuationReport {
                zones: zones.unwrap_or_else(|| Arc::new(self.evacuated.clone())),
                as_of,
            });
        });
    }

    fn put_in_force(&self, state: DesiredState, revision: Revision) {
        let version = state.version;
        let is_new = self.desired.send_if_modified(|current| {
            // Reads and watches may overlap; an older version must never replace a newer one.
            let is_new = current
                .as_ref()
                .is_none_or(|current| current.version < version);
            if is_new {
                *current = Some(Arc::new(state));
            }
            is_new
        });
        if is_new {
            let metric_version = i64::try_from(version).unwrap_or(i64::MAX);
            self.metrics.desired_version.set(metric_version);
            log_event!(
                Info,
                "desired_state_in_force",
                version = version,
                revision = revision
            );
        }
    }
}
