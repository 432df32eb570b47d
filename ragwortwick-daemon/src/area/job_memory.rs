//! The memory that accepted jobs may take. Every host keeps all jobs, so the host with the least memory sets the limit.
//!
//! A host on which jobs take a part of their memory writes its limit to the store, unless a lower one is there. The
//! entry is bound to a lease: it is gone seconds after its host.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use ragwortwick_adapter::{
    KeyValue, Precondition, StoreClient, StoreError, Txn, TxnReply, WatchEvent, WriteItem,
};
use ragwortwick_core::{CustomerName, DurationMs, Revision, TimeMs, log_event};
use serde::{Deserialize, Serialize};

use super::keys::JOB_MEMORY_KEY;
use super::replica::{JobMemoryReservation, JobReplica};
use super::store_health::StoreHealth;
use crate::Clock;

/// Part of the free memory that one job may take: what is left when large jobs are refused still serves small ones.
const FREE_MEMORY_PER_JOB: usize = 4;

/// Memory of a small job. Large ones, of any customer, leave a part of the limit to small ones.
const SMALL_JOB_BYTES: usize = 64 << 10;

/// Part of the limit that large jobs leave to small ones.
const SMALL_JOBS_PART: usize = 4;

/// Part of its limit from which on a host announces it; other hosts may still accept that much before they read it.
const ANNOUNCED_PART: usize = 4;

/// Shortest interval between two looks at the memory that jobs take; the longest is twice as long.
const CHECK_INTERVAL_MS: DurationMs = DurationMs(500);

/// Time to live of an announced limit.
const LEASE_TTL_MS: DurationMs = DurationMs(15_000);

/// Interval between two renewals of the lease of an announced limit.
const RENEWAL_INTERVAL_MS: DurationMs = DurationMs(5_000);

/// Timeout of one renewal.
const RENEWAL_TIMEOUT_MS: DurationMs = DurationMs(1_000);

/// `AnnouncedLimit` is the stored value of a limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct AnnouncedLimit {
    limit_bytes: usize,
}

/// `JobMemoryLimit` is the limit that is in force on this host; clones share it.
#[derive(Clone, Debug)]
pub(super) struct JobMemoryLimit {
    own_bytes: usize,
    announced: Arc<Mutex<Option<(AnnouncedLimit, Revision)>>>,
}

impl JobMemoryLimit {
    pub(super) fn new(own_bytes: usize) -> Self {
        Self {
            own_bytes,
            announced: Arc::default(),
        }
    }

    fn announced(&self) -> MutexGuard<'_, Option<(AnnouncedLimit, Revision)>> {
        self.announced
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Reserves the memory of a job that is about to be accepted; none if it may not be accepted.
    pub(super) fn reserve(
        &self,
        replica: &JobReplica,
        customer: &CustomerName,
        job_bytes: usize,
    ) -> Option<JobMemoryReservation> {
        let announced = self.announced().map(|(limit, _)| limit.limit_bytes);
        let limit_bytes = announced.map_or(self.own_bytes, |bytes| bytes.min(self.own_bytes));
        let kept_bytes = if job_bytes > SMALL_JOB_BYTES {
            limit_bytes / SMALL_JOBS_PART
        } else {
            0
        };
        let limit_bytes = limit_bytes - kept_bytes;
        let needed_bytes = job_bytes.saturating_mul(FREE_MEMORY_PER_JOB);
        replica.reserve_memory(customer, job_bytes, needed_bytes, limit_bytes)
    }

    /// Replaces what is known by a list of all replicated keys.
    pub(super) fn load(&self, items: &[KeyValue]) {
        let item = items.iter().find(|item| item.key == JOB_MEMORY_KEY);
        *self.announced() = item.and_then(parse);
    }

    pub(super) fn apply(&self, event: &WatchEvent) {
        match event {
            WatchEvent::Written(item) if item.key == JOB_MEMORY_KEY => {
                *self.announced() = parse(item);
            }
            WatchEvent::Removed { key, .. } if key == JOB_MEMORY_KEY => *self.announced() = None,
            _ => {}
        }
    }
}

fn parse(item: &KeyValue) -> Option<(AnnouncedLimit, Revision)> {
    match serde_json::from_slice(&item.value) {
        Ok(limit) => Some((limit, item.revision)),
        Err(error) => {
            log_event!(
                Warn,
                "job_memory_unreadable",
                revision = item.revision,
                cause = error
            );
            None
        }
    }
}

/// `JobMemoryReporter` announces the limit of this host while jobs take much of its memory.
#[derive(Debug)]
pub(super) struct JobMemoryReporter {
    store: StoreClient,
    health: StoreHealth,
    replica: JobReplica,
    limit: JobMemoryLimit,
    clock: Clock,
}

/// The lease of a limit that this host announced.
#[derive(Clone, Copy, Debug)]
struct Announcement {
    lease_id: u64,
    renewed_at: TimeMs,
}

impl JobMemoryReporter {
    pub(super) fn open(
        store: &StoreClient,
        health: StoreHealth,
        replica: JobReplica,
        limit: JobMemoryLimit,
        clock: Clock,
    ) -> Self {
        Self {
            store: store.clone(),
            health,
            replica,
            limit,
            clock,
        }
    }

    /// Runs until the process ends.
    pub(super) async fn run(self) {
        let mut announcement: Option<Announcement> = None;
        loop {
            // Hosts with the same limit look at different times, so that one of them announces it for all.
            let pause_ms = CHECK_INTERVAL_MS + CHECK_INTERVAL_MS.scaled(rand::random());
            tokio::time::sleep(pause_ms.into()).await;
            let is_filling = self.replica.memory_bytes() > self.limit.own_bytes / ANNOUNCED_PART;
            announcement = match announcement {
                _ if !is_filling => None,
                _ if !self.is_limit_in_force() => self.announce().await,
                Some(announcement) => self.renew(announcement).await,
                None => None,
            };
        }
    }

    /// Whether no more is accepted anywhere than this host can keep.
    fn is_limit_in_force(&self) -> bool {
        let announced = *self.limit.announced();
        announced.is_some_and(|(limit, _)| limit.limit_bytes <= self.limit.own_bytes)
    }

    async fn announce(&self) -> Option<Announcement> {
        let sent_at = self.clock.now();
        let granted = self.store.grant_lease(LEASE_TTL_MS).await;
        self.health.record(&granted);
        // A failed call is repeated at the next look.
        let (lease_id, _) = granted.ok()?;
        let limit_bytes = self.limit.own_bytes;
        let value = match serde_json::to_vec(&AnnouncedLimit { limit_bytes }) {
            Ok(value) => value,
            Err(error) => unreachable!("a limit is a number, which serializes: {error}"),
        };
        let known = *self.limit.announced();
        let txn = Txn {
            preconditions: vec![Precondition {
                key: JOB_MEMORY_KEY.to_owned(),
                revision: known.map_or(Revision(0), |(_, revision)| revision),
            }],
            writes: vec![WriteItem {
                key: JOB_MEMORY_KEY.to_owned(),
                value,
                lease: Some(lease_id),
            }],
            removes: Vec::new(),
        };
        let reply = self.store.commit(&txn).await;
        self.health.record(&reply);
        let is_written = if let Ok(TxnReply::Committed(revision)) = reply {
            *self.limit.announced() = Some((AnnouncedLimit { limit_bytes }, revision));
            true
        } else {
            false
        };
        log_event!(
            Info,
            "job_memory_announced",
            limit_bytes = limit_bytes,
            used_bytes = self.replica.memory_bytes(),
            is_written = is_written
        );
        is_written.then_some(Announcement {
            lease_id,
            renewed_at: sent_at,
        })
    }

    /// Renews the lease if that is due; returns none if it is gone.
    async fn renew(&self, announcement: Announcement) -> Option<Announcement> {
        let now = self.clock.now();
        if now.since(announcement.renewed_at) < RENEWAL_INTERVAL_MS {
            return Some(announcement);
        }
        let lease_id = announcement.lease_id;
        let renewed = self.store.renew_lease(lease_id, RENEWAL_TIMEOUT_MS).await;
        self.health.record(&renewed);
        match renewed {
            Ok(()) => Some(Announcement {
                lease_id,
                renewed_at: now,
            }),
            Err(StoreError::LeaseNotFound) => None,
            // The next look tries again; the lease outlasts several failures.
            Err(_) => Some(announcement),
        }
    }
}
