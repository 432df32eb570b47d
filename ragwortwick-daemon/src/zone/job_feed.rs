//! Finds the jobs of the owned zone in the store: a listing first, then a watch, then both again.

use std::time::{Duration, Instant};

use ragwortwick_border::StoreEntry;
use ragwortwick_core::{DurationMs, Epoch, JobId, ZoneName, log_event};
use ragwortwick_platform::{PrefixWatch, StoreClient, StoreWrite, WatchNews, WriteOutcome};
use tokio::sync::watch;
use tokio::task::JoinHandle;

use super::job_ledger::{JobLedger, decode_job, is_final};
use super::job_retention::JobRetention;
use super::zone_event::{ZoneDutyEvent, deliver};
use crate::{Clock, Ring, keys};

/// Longest wait of one watch; it bounds how late a due listing begins.
const WATCH_MS: DurationMs = DurationMs(5_000);

/// Shortest time between two listings.
const RELIST_MS: DurationMs = DurationMs(10_000);

/// Time added between two listings for each known job, so that a listing's bytes a second stay
/// the same however many jobs there are.
const RELIST_PER_JOB_MS: DurationMs = DurationMs(10);

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
    pub(crate) ring: Ring<ZoneDutyEvent>,
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
        let mut retention = JobRetention::new(self.keep_ms);
        while *self.owned.borrow() == epoch {
            if listed_at.elapsed() >= Duration::from(relist_ms(self.ledger.len())) {
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
        if !self.ledger.take_in(stored.clone()) {
            return;
        }
        let record = stored.record;
        let is_cancelled = record.cancel_requested && !is_final(record.phase);
        let job_id = record.job_id.clone();
        deliver(&self.ring, ZoneDutyEvent::JobFound(record)).await;
        if is_cancelled {
            deliver(&self.ring, ZoneDutyEvent::JobCancelled(job_id)).await;
        }
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

fn relist_ms(jobs: usize) -> DurationMs {
    let jobs = u64::try_from(jobs).unwrap_or(u64::MAX);
    DurationMs(
        RELIST_MS
            .0
            .saturating_add(RELIST_PER_JOB_MS.0.saturating_mul(jobs)),
    )
}
