//! Evacuated zones, whose workers get no new runs.
//!
//! This matters when operators empty a whole zone under load: its workers stay healthy and report free
//! capacity, and every placement, reservation and preemption would still choose them. Runs in progress there
//! go on to their end.

use std::collections::BTreeSet;
use std::sync::Arc;

use ragwortwick_core::{DurationMs, TimeMs, ZoneName};

use crate::limits::Limits;

/// Part of the time allowed for an evacuation that a start order may take to reach its worker and begin.
const START_DELAY_MS: DurationMs = DurationMs(1_000);

/// `EvacuatedZones` is the set of zones that operators have evacuated, as one read of the store returned it.
pub type EvacuatedZones = Arc<BTreeSet<ZoneName>>;

/// `EvacuationChange` is the log entry for a zone that is evacuated from now on, or no longer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EvacuationChange {
    /// The zone.
    pub zone: ZoneName,
    /// Whether it is evacuated now.
    pub is_evacuated: bool,
    /// Listed workers in the zone; none if no such zone exists.
    pub workers: usize,
    /// Runs in progress in the zone, which go on.
    pub runs: usize,
}

/// `Evacuations` is what a coordinator knows about evacuated zones.
#[derive(Clone, Debug, Default)]
pub(crate) struct Evacuations {
    zones: EvacuatedZones,
    /// Time up to which the set is known to be complete; none before the first report.
    confirmed_at: Option<TimeMs>,
}

impl Evacuations {
    /// Applies a report that these zones, and no others, were evacuated at the given time. Returns the zones
    /// that are evacuated from now on, or no longer.
    pub(crate) fn confirm(&mut self, zones: EvacuatedZones, at: TimeMs) -> BTreeSet<ZoneName> {
        if self
            .confirmed_at
            .is_some_and(|confirmed_at| at < confirmed_at)
        {
            return BTreeSet::new();
        }
        self.confirmed_at = Some(at);
        let previous = std::mem::replace(&mut self.zones, zones);
        let changed = previous.symmetric_difference(&self.zones);
        changed.cloned().collect()
    }

    /// Whether the set is recent enough for starts: a zone that was evacuated since then must get none once
    /// the allowed time has passed.
    pub(crate) fn is_fresh(&self, now: TimeMs, limits: &Limits) -> bool {
        let max_age_ms = limits.evacuate_ms.0.saturating_sub(START_DELAY_MS.0);
        self.confirmed_at
            .is_some_and(|at| now.since(at).0 <= max_age_ms)
    }

    pub(crate) fn contains(&self, zone: &ZoneName) -> bool {
        self.zones.contains(zone)
    }
}
