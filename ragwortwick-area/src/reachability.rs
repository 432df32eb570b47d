//! Estimate of which workers are out of reach, from orders without a reply.
//!
//! This matters when a zone is cut off while urgent gangs keep arriving. Its idle workers look free, and a gang
//! that is placed on one of them can't start elsewhere until its leases have expired. A single lost reply
//! tells little about other workers; several workers of one zone without any reply from it tell that the zone
//! is cut off.

use std::collections::{BTreeMap, BTreeSet};

use ragwortwick_core::{DurationMs, TimeMs, ZoneName};

/// Number of workers with an unanswered order, without any reply from their zone since, from which the whole
/// zone counts as silent.
const MIN_SILENT_WORKERS: usize = 3;

/// `Contact` is when a worker last replied, and since when its orders go without a reply.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Contact {
    last_reply_at: Option<TimeMs>,
    unanswered_since: Option<TimeMs>,
}

impl Contact {
    /// Records a reply of any kind.
    pub(crate) fn record_reply(&mut self, now: TimeMs) {
        self.last_reply_at = Some(now);
        self.unanswered_since = None;
    }

    /// Records an order that went without a reply.
    pub(crate) fn record_silence(&mut self, now: TimeMs) {
        self.unanswered_since.get_or_insert(now);
    }

    /// Whether the worker has replied under this coordinator.
    pub(crate) fn has_replied(&self) -> bool {
        self.last_reply_at.is_some()
    }

    /// Time since its last reply under this coordinator.
    pub(crate) fn reply_age_ms(&self, now: TimeMs) -> Option<DurationMs> {
        self.last_reply_at.map(|at| now.since(at))
    }

    /// Whether the last order went without a reply.
    pub(crate) fn is_silent(&self) -> bool {
        self.unanswered_since.is_some()
    }
}

/// `ZoneContact` sums up the contacts of one zone's workers.
#[derive(Clone, Copy, Debug, Default)]
struct ZoneContact {
    silent_workers: usize,
    silent_since: Option<TimeMs>,
    last_reply_at: Option<TimeMs>,
}

impl ZoneContact {
    fn add(&mut self, contact: Contact) {
        self.last_reply_at = self.last_reply_at.max(contact.last_reply_at);
        if let Some(since) = contact.unanswered_since {
            self.silent_workers += 1;
            let earliest = self.silent_since.map_or(since, |at| at.min(since));
            self.silent_since = Some(earliest);
        }
    }

    fn is_silent(&self) -> bool {
        self.silent_workers >= MIN_SILENT_WORKERS && self.last_reply_at < self.silent_since
    }
}

/// Returns the zones that seem to be cut off from the coordinator.
pub(crate) fn silent_zones<'a>(
    contacts: impl Iterator<Item = (&'a ZoneName, Contact)>,
) -> BTreeSet<&'a ZoneName> {
    let mut zones: BTreeMap<&ZoneName, ZoneContact> = BTreeMap::new();
    for (zone, contact) in contacts {
        zones.entry(zone).or_default().add(contact);
    }
    let silent = zones.iter().filter(|(_, contact)| contact.is_silent());
    silent.map(|(zone, _)| *zone).collect()
}
