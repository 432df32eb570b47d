//! The ledger of one worker: what is or may be running there, and until when.

use std::collections::BTreeMap;
use std::sync::Arc;

use ragwortwick_core::{DurationMs, TimeMs, WorkerName};

use crate::allocation::{Allocation, AllocationPhase};
use crate::job::{Resources, TaskId};
use crate::limits::Limits;
use crate::losses::{ContactLoss, ContactLossKind};
use crate::messages::WorkerEntry;
use crate::speed::SpeedEstimate;

/// Margin on the computed end of a worker's lease, for timers and scheduling delays.
const LEASE_MARGIN_MS: DurationMs = DurationMs(400);

/// Pause between looks at a worker whose ends can't be stored; it answers each at once with them.
///
/// During an outage of the store what else runs there still needs its lease renewed.
const AWAIT_STORE_MS: DurationMs = DurationMs(1_000);

/// A worker's clock may run 2 % slow; 3 % covers that with rounding.
const CLOCK_DRIFT_PERCENT: u64 = 3;

/// `PollState` tells whether a look is under way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PollState {
    /// None is under way; the next is due then.
    Idle { next_at: TimeMs },
    /// One was sent then.
    InFlight,
}

/// `Worker` is one life of a worker.
#[derive(Clone, Debug)]
pub(crate) struct Worker {
    pub(crate) entry: WorkerEntry,
    /// Whether the store lists it.
    pub(crate) is_listed: bool,
    /// When it must have left, for a draining worker that told its remaining time.
    pub(crate) leaves_at: Option<TimeMs>,
    pub(crate) allocations: BTreeMap<TaskId, Allocation>,
    used: Resources,
    /// What runs that nobody waits for took when the worker was last looked at.
    pub(crate) untracked: Resources,
    /// The worker's clock, as last told, and when that was.
    clock: Option<(u64, TimeMs)>,
    /// No lease that was ever granted there lasts longer.
    pub(crate) lease_expires_by: TimeMs,
    /// When this coordinator sent a lease there last, or took the worker over.
    pub(crate) lease_sent_at: TimeMs,
    pub(crate) poll: PollState,
    /// Since when looks fail; none if the last one was answered.
    pub(crate) contact_loss: Option<ContactLoss>,
    /// Highest number of an end that was taken in.
    pub(crate) received_end: u64,
    /// Highest number of an end whose effect is stored.
    pub(crate) stored_end: u64,
    /// Highest number that the worker was told to forget.
    pub(crate) acked_end: u64,
    /// Failed runs of different jobs since the last run that ended well.
    pub(crate) consecutive_failures: u32,
    /// No new work goes there before.
    pub(crate) avoid_until: TimeMs,
    /// Its runs hardly moved on when last seen: no new work goes there before.
    pub(crate) stalled_until: TimeMs,
    /// How fast it is against others.
    pub(crate) speed: SpeedEstimate,
    /// Pace of the fillers here.
    pub(crate) filler_pace_percent: u32,
    /// When that changed last; none while nothing serves here.
    pub(crate) pace_changed_at: Option<TimeMs>,
}

impl Worker {
    pub(crate) fn new(now: TimeMs, entry: WorkerEntry) -> Self {
        let mut worker = Self {
            entry: entry.clone(),
            is_listed: true,
            leaves_at: None,
            allocations: BTreeMap::new(),
            used: Resources::default(),
            untracked: Resources::default(),
            clock: None,
            lease_expires_by: now,
            lease_sent_at: now,
            poll: PollState::Idle { next_at: now },
            contact_loss: None,
            received_end: 0,
            stored_end: 0,
            acked_end: 0,
            consecutive_failures: 0,
            avoid_until: TimeMs(0),
            stalled_until: TimeMs(0),
            speed: SpeedEstimate::default(),
            filler_pace_percent: 100,
            pace_changed_at: None,
        };
        worker.update_entry(now, entry);
        worker
    }

    /// A worker of which only its name in a record is known.
    pub(crate) fn unlisted(now: TimeMs, name: WorkerName) -> Self {
        let entry = WorkerEntry {
            name,
            address: "".into(),
            pool: "".into(),
            zone: "".into(),
            rack: "".into(),
            labels: Arc::default(),
            capacity: Resources::default(),
            is_draining: false,
            remaining_ms: None,
            clock_ms: None,
        };
        let mut worker = Self::new(now, entry);
        worker.is_listed = false;
        worker
    }

    pub(crate) fn update_entry(&mut self, now: TimeMs, entry: WorkerEntry) {
        if self.clock.is_none()
            && let Some(clock_ms) = entry.clock_ms
        {
            self.clock = Some((clock_ms, now));
        }
        self.leaves_at = entry
            .remaining_ms
            .filter(|_| entry.is_draining)
            .map(|remaining_ms| now + remaining_ms);
        self.is_listed = true;
        self.entry = entry;
    }

    /// The clock told in an answer; an answer travels, so the true clock is this or later.
    pub(crate) fn record_clock(&mut self, now: TimeMs, clock_ms: u64) {
        self.clock = Some((clock_ms, now));
    }

    /// When it answered last; when it became known before any answer.
    pub(crate) fn last_reply_at(&self) -> TimeMs {
        self.clock
            .map_or(self.lease_sent_at, |(_, heard_at)| heard_at)
    }

    /// Whether the last look failed.
    pub(crate) fn is_unresponsive(&self) -> bool {
        self.contact_loss.is_some()
    }

    /// Notes that a look failed; the silence goes on since the first.
    pub(crate) fn mark_unresponsive(&mut self, now: TimeMs, kind: ContactLossKind) {
        self.contact_loss
            .get_or_insert(ContactLoss { since: now, kind });
    }

    /// What its clock shows now, as far as it was told.
    pub(crate) fn clock_at(&self, now: TimeMs) -> Option<u64> {
        let (clock_ms, heard_at) = self.clock?;
        Some(clock_ms + now.since(heard_at).0)
    }

    /// The end of a lease from now on, on the worker's clock; an estimate that is never too late.
    pub(crate) fn lease_until(&self, now: TimeMs, limits: &Limits) -> Option<u64> {
        Some(self.clock_at(now)? + limits.lease_ms.0)
    }

    /// Notes that an order with a lease goes out: until the bound passes, runs may live on.
    pub(crate) fn record_lease_sent(&mut self, now: TimeMs, limits: &Limits) {
        self.lease_sent_at = now;
        self.lease_expires_by = self.lease_expires_by.max(now + max_lease_ms(limits));
    }

    /// Brings the next look forward, unless one is under way.
    pub(crate) fn poll_by(&mut self, at: TimeMs) {
        if let PollState::Idle { next_at } = &mut self.poll {
            *next_at = at.min(*next_at);
        }
    }

    pub(crate) fn allocate(&mut self, task: TaskId, held: Allocation) {
        self.used = self.used.plus(held.resources);
        self.allocations.insert(task, held);
    }

    pub(crate) fn release(&mut self, task: &TaskId) -> Option<Allocation> {
        let held = self.allocations.remove(task)?;
        self.used = self.used.saturating_sub(held.resources);
        Some(held)
    }

    pub(crate) fn free(&self) -> Resources {
        self.entry.capacity.saturating_sub(self.taken())
    }

    fn taken(&self) -> Resources {
        self.used.plus(self.untracked)
    }

    /// What is held beyond the capacity, which may have shrunk since; what is stopping counts.
    pub(crate) fn overcommitted(&self) -> Resources {
        self.taken().saturating_sub(self.entry.capacity)
    }

    /// Whether new work may go there.
    pub(crate) fn is_schedulable(&self, now: TimeMs) -> bool {
        self.is_listed
            && !self.entry.is_draining
            && !self.is_unresponsive()
            && self.clock.is_some()
            && now >= self.avoid_until
            && now >= self.stalled_until
            && !self.is_isolating_suspect(now)
    }

    /// Whether a look is wanted: something runs, also for nobody, ends have to be forgotten, or it is not known whether
    /// a listed worker is back in reach. Silence ends with a look alone, and a silent worker gets no
    /// work: after a cut that outlasted all leases no worker would ever get any.
    pub(crate) fn needs_poll(&self) -> bool {
        let has_run = self
            .allocations
            .values()
            .any(|held| !matches!(held.phase, AllocationPhase::AwaitingRecord));
        has_run
            || !self.untracked.is_zero()
            || self.stored_end > self.acked_end
            || (self.is_unresponsive() && self.is_listed)
    }

    /// Ends that are taken in but not stored would be listed again at once; a look waits for them.
    pub(crate) fn has_unstored_ends(&self) -> bool {
        self.received_end > self.stored_end
    }

    /// When the next look is due: later while ends wait to be stored, but in time for the lease.
    pub(crate) fn poll_due_at(&self, next_at: TimeMs) -> TimeMs {
        if self.has_unstored_ends() {
            next_at + AWAIT_STORE_MS
        } else {
            next_at
        }
    }

    pub(crate) fn can_be_removed(&self) -> bool {
        !self.is_listed && self.allocations.is_empty()
    }
}

/// The longest time that a lease sent now can last on our clock.
pub(crate) fn max_lease_ms(limits: &Limits) -> DurationMs {
    DurationMs(limits.lease_ms.0 * (100 + CLOCK_DRIFT_PERCENT) / 100 + LEASE_MARGIN_MS.0)
}
