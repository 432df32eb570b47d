//! The placer of one zone.

use ragwortwick_border::{Shape, ZoneStatus};
use ragwortwick_core::{DurationMs, Epoch, HostName, JobId, TimeMs, ZoneName};

use super::{ZoneAction, ZoneEvent};

/// `ZoneOptions` sets the bounds of a placer.
#[derive(Clone, Debug, PartialEq)]
pub struct ZoneOptions {
    /// Lease given to running members; a worker cut off for longer stops them.
    pub task_lease_ms: DurationMs,
    /// Interval of lease renewals.
    pub renew_interval_ms: DurationMs,
    /// Lease given to reservations before the commit.
    pub reserve_lease_ms: DurationMs,
    /// Time for a checkpoint before a hard stop.
    pub checkpoint_grace_ms: DurationMs,
}

impl Default for ZoneOptions {
    fn default() -> Self {
        Self {
            task_lease_ms: DurationMs(60_000),
            renew_interval_ms: DurationMs(2_000),
            reserve_lease_ms: DurationMs(10_000),
            checkpoint_grace_ms: DurationMs(2_000),
        }
    }
}

/// `ZonePlacer` decides which gang runs on which accelerators of one zone.
#[derive(Debug)]
pub struct ZonePlacer {
    zone: ZoneName,
    options: ZoneOptions,
    epoch: Epoch,
}

impl ZonePlacer {
    /// `new` makes a placer that owns nothing yet; `seed` drives its only randomness.
    #[must_use]
    pub fn new(zone: ZoneName, options: ZoneOptions, seed: u64) -> Self {
        let _ = seed;
        Self {
            zone,
            options,
            epoch: Epoch(0),
        }
    }

    /// `on_event` takes in one event and returns what to do, in order.
    pub fn on_event(&mut self, now: TimeMs, event: ZoneEvent) -> Vec<ZoneAction> {
        let _ = (now, &self.options);
        match event {
            ZoneEvent::OwnershipGained { epoch } => self.epoch = epoch,
            other => drop(other),
        }
        Vec::new()
    }

    /// `next_wakeup` tells when a `Tick` is due, if anything waits for time to pass.
    #[must_use]
    pub fn next_wakeup(&self) -> Option<TimeMs> {
        None
    }

    /// `can_ever_fit` tells whether the shape fits the zone's listed workers when all are empty.
    #[must_use]
    pub fn can_ever_fit(&self, shape: &Shape) -> bool {
        shape.cells > 0
    }

    /// `why` explains in words why a job waits or where it runs; `None` for an unknown job.
    #[must_use]
    pub fn why(&self, now: TimeMs, job: &JobId) -> Option<String> {
        let _ = (now, job);
        None
    }

    /// `status` gives the operators' view of the zone.
    #[must_use]
    pub fn status(&self, owner: Option<HostName>) -> ZoneStatus {
        ZoneStatus {
            zone: self.zone.clone(),
            owner,
            epoch: self.epoch,
            jobs_waiting: 0,
            jobs_running: 0,
            free_accelerators: 0,
            fragmentation: 0.0,
            guarantees: Vec::new(),
            workers: Vec::new(),
        }
    }
}
