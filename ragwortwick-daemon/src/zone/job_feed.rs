//! Finds the jobs of the owned zone in the store: a listing first, then a watch, then both again.

use std::time::{Duration, Instant};

use ragwortwick_border::StoreEntry;
use ragwortwick_core::{DurationMs, Epoch, JobId, ZoneName, log_event};
use ragwortwick_platform::{PrefixWatch, StoreClient, StoreWrite, WatchNews, WriteOutcome};
use tokio::sync::watch;
use tokio::task::JoinHandle;

use super::job_ledger::{JobLedger, StoredJob, decode_job, is_final};
use super::job_retention::JobRetention;
use super::zone_event::{ZoneDutyEvent, deliver};
use crate::{Clock, EventLoopSender, keys};

/// Longest wait of one watch; it bounds how late a due listing begins.
const WATCH_MS: DurationMs = DurationMs(5_000);

/// Shortest time between two listings.
const RELIST_MS: DurationMs = DurationMs(10_000);

/// Bytes a second that listings may cost in the long run. The watch and the hints of accepting hosts
/// come first; a listing only finds what both have missed.
const RELIST_BYTES_PER_S: u64 = 1_000;

/// `JobFeed` reads the zone's jobs while this host owns the zone.
#[derive(Debug)]
pub(crate) struct JobFeed {
    /// The zone.
    pub(crate) zone: ZoneName,
    /// The store.
    pub(crate) store: StoreClient,
    /// Records seen.
    pub(crate) ledger: JobLedger,
    /// The zone duty.
    pub(crate) ring: EventLoopSender<ZoneDutyEvent>,
    /// The epoch under which this host owns the zone.
    pub(crate) owned: watch::Receiver<Option<Epoch>>,
    /// The process's clock.
    pub(crate) clock: Clock,
    /// How long the record of an ended job is kept.
    pub(crate) keep_ms: DurationMs,
}

impl JobFeed {
    /// `spawn` starts the feed.
    pub(crate) fn spawn(self) -> JoinHandle<()> {
        tokio::spawn(self.run())
    }

    async fn run(mut self) {
        loop {
            let Ok(epoch) = self.owned.wait_for(Option::is_some).await.map(|e| *e) else {
                return;
            };
            self.ledger.clear();
            self.follow(epoch).await;
        }
    }

    /// Follows the store until the epoch of the ownership changes.
    async fn follow(&mut self, epoch: Option<Epoch>) {
        let mut jobs = PrefixWatch::open(self.store.clone(), keys::JOBS_PREFIX, WATCH_MS);
        let mut listed_at = Instant::now();
        let mut pause_ms = RELIST_MS;
        let mut retention = JobRetention::new(self.keep_ms);
        while *self.owned.borrow() == epoch {
            if listed_at.elapsed() >= Duration::from(pause_ms) {
                jobs.relist();
            }
            let news = tokio::select! {
                news = jobs.next() => news,
                changed = self.owned.changed() => {
                    if changed.is_err() {
                        return;
                    }
                    continue;
                }
            };
            match news {
                Ok(WatchNews::Listed(entries)) => {
                    listed_at = Instant::now();
                    pause_ms = relist_ms(&entries);
                    for entry in &entries {
                        self.take_in(entry, &mut retention).await;
                    }
                    for job_id in retention.take_expired(self.clock.now()) {
                        self.remove(&job_id).await;
                    }
                }
                Ok(WatchNews::Changed(changes)) => {
                    for entry in changes.iter().filter_map(|change| change.entry.as_ref()) {
                        self.take_in(entry, &mut retention).await;
                    }
                }
                // The watch waits by itself before it goes on; accepted jobs are in the store.
                Err(_) => {}
            }
        }
    }

    async fn take_in(&self, entry: &StoreEntry, retention: &mut JobRetention) {
        let Some(stored) = decode_job(entry) else {
            return;
        };
        if stored.record.zone != self.zone {
            return;
        }
        retention.note(self.clock.now(), &stored.record);
        take_in(&self.ledger, &self.ring, stored).await;
    }

    /// `remove` deletes the record of a job that ended long ago, unless it changed since it was read.
    async fn remove(&self, job_id: &JobId) {
        let Some(stored) = self.ledger.get(job_id) else {
            return;
        };
        let write = StoreWrite {
            key: keys::job(job_id),
            expected_revision: stored.revision,
            value: None,
            lease_id: None,
        };
        // One that could not be removed now is noted again by the next listing.
        if let Ok(WriteOutcome::Written(_)) = self.store.write(&write).await {
            self.ledger.remove(job_id);
            log_event!(Info, "job_record_removed", job_id = job_id);
        }
    }
}

/// `take_in` tells the zone duty of a record that is newer than what is known.
pub(super) async fn take_in(
    ledger: &JobLedger,
    ring: &EventLoopSender<ZoneDutyEvent>,
    stored: StoredJob,
) {
    if !ledger.take_in(stored.clone()) {
        return;
    }
    let record = stored.record;
    let is_cancelled = record.cancel_requested && !is_final(record.phase);
    let job_id = record.job_id.clone();
    deliver(ring, ZoneDutyEvent::JobFound(record)).await;
    if is_cancelled {
        deliver(ring, ZoneDutyEvent::JobCancelled(job_id)).await;
    }
}

fn relist_ms(entries: &[StoreEntry]) -> DurationMs {
    let bytes: usize = entries.iter().map(|entry| entry.value.len()).sum();
    let bytes = u64::try_from(bytes).unwrap_or(u64::MAX);
    RELIST_MS.max(DurationMs(bytes.saturating_mul(1_000) / RELIST_BYTES_PER_S))
}
