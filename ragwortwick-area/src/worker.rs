//! State of one worker: its allocations, the bounds of its lease, its polls and its health.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use ragwortwick_core::{DurationMs, TimeMs, WorkerName};

use crate::allocation::{Allocation, AllocationPhase};
use crate::evacuation::Evacuations;
use crate::job::{Resources, TaskId};
use crate::limits::Limits;
use crate::losses::{ContactLoss, ContactLossKind};
use crate::messages::{WorkerEntry, WorkerReport};
use crate::reachability::Contact;
use crate::restarts::UnsettledStarts;
use crate::untracked_runs::UntrackedRuns;

/// Margin on the computed end of a worker's lease, for timers and scheduling delays.
const LEASE_MARGIN_MS: DurationMs = DurationMs(400);

/// Pause between polls of a worker whose run ends can't be stored; it replies to each at once, with them.
///
/// During an outage of the store the other runs on the worker still need their lease renewed.
const UNSTORED_ENDS_POLL_MS: DurationMs = DurationMs(1_000);

/// A worker's clock may run 2 % slow; 3 % covers that and rounding.
const CLOCK_DRIFT_PERCENT: u64 = 3;

/// Time in which a worker in reach replies to its first poll.
const FIRST_REPLY_MS: DurationMs = DurationMs(500);

/// `PollState` is whether a poll is in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PollState {
    /// No poll is in flight; the next one is due at the given time.
    Idle { next_at: TimeMs },
    /// A poll was sent and has not been replied to.
    InFlight,
}

/// `EndListing` is how much of its run ends a worker has listed since it came within reach.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum EndListing {
    /// It has not replied to a poll yet.
    #[default]
    Nothing,
    /// It has listed a part of them.
    Part,
    /// It has listed all of them.
    All,
}

impl EndListing {
    /// Records a report; run ends that follow a whole list are those of later runs.
    fn record_report(&mut self, has_more_ends: bool) {
        *self = match self {
            Self::Nothing | Self::Part if has_more_ends => Self::Part,
            _ => Self::All,
        };
    }
}

/// `Worker` is one incarnation of a worker.
#[derive(Clone, Debug)]
pub(crate) struct Worker {
    pub(crate) entry: WorkerEntry,
    /// Whether the store has an entry of the worker.
    pub(crate) is_listed: bool,
    /// Whether a later incarnation with the same identity has replaced it.
    pub(crate) is_replaced: bool,
    /// Runs that are over, and of which an order to start them may be carried out late.
    pub(crate) unsettled_starts: UnsettledStarts,
    /// When this coordinator learned of the worker.
    known_since: TimeMs,
    /// When a draining worker leaves at the earliest, if it reported its remaining time.
    pub(crate) leaves_at: Option<TimeMs>,
    pub(crate) allocations: BTreeMap<TaskId, Allocation>,
    /// Resources of all allocations.
    allocated: Resources,
    /// Runs that were reported without an allocation, as of the last report.
    pub(crate) untracked: UntrackedRuns,
    /// The worker's clock as last reported, and when the report arrived.
    clock: Option<(u64, TimeMs)>,
    /// Upper bound of the end of every lease granted to the worker.
    pub(crate) lease_expires_by: TimeMs,
    /// When this coordinator last sent a lease to the worker, or first learned of the worker.
    pub(crate) lease_sent_at: TimeMs,
    pub(crate) poll: PollState,
    /// Since when polls fail; none if the last poll succeeded.
    pub(crate) contact_loss: Option<ContactLoss>,
    /// When it last replied, and whether its last order went without a reply.
    pub(crate) contact: Contact,
    end_listing: EndListing,
    /// Highest sequence number of a run end that was processed.
    pub(crate) received_end: u64,
    /// Highest sequence number of a run end whose effect is stored.
    pub(crate) stored_end: u64,
    /// Sequence numbers of run ends that may not be acknowledged yet, though their effect may be stored.
    pub(crate) held_ends: BTreeSet<u64>,
    /// Highest sequence number of a run end whose effect is stored, held ones included.
    pub(crate) stored_or_held_end: u64,
    /// Highest sequence number that was acknowledged to the worker.
    pub(crate) acked_end: u64,
    /// Failed runs of any jobs since the last run that completed.
    pub(crate) consecutive_failures: u32,
    /// No new work is placed on the worker before this time.
    pub(crate) avoid_until: TimeMs,
    /// No new work is placed on the worker before this time, because its runs were stalled.
    pub(crate) stalled_until: TimeMs,
    /// Pace of the fillers on the worker.
    pub(crate) filler_pace_percent: u32,
    /// When the pace last changed; none while the worker has no latency-sensitive task.
    pub(crate) pace_changed_at: Option<TimeMs>,
}

impl Worker {
    pub(crate) fn new(now: TimeMs, entry: WorkerEntry) -> Self {
        let mut worker = Self {
            entry: entry.clone(),
            is_listed: true,
            is_replaced: false,
            unsettled_starts: UnsettledStarts::default(),
            known_since: now,
            leaves_at: None,
            allocations: BTreeMap::new(),
            allocated: Resources::default(),
            untracked: UntrackedRuns::default(),
            clock: None,
            lease_expires_by: now,
            lease_sent_at: now,
            poll: PollState::Idle { next_at: now },
            contact_loss: None,
            contact: Contact::default(),
            end_listing: EndListing::default(),
            received_end: 0,
            stored_end: 0,
            held_ends: BTreeSet::new(),
            stored_or_held_end: 0,
            acked_end: 0,
            consecutive_failures: 0,
            avoid_until: TimeMs(0),
            stalled_until: TimeMs(0),
            filler_pace_percent: 100,
            pace_changed_at: None,
        };
        worker.update_entry(now, entry);
        worker
    }

    /// A worker without an entry, of which only the name and the address in a job record are known.
    pub(crate) fn unlisted(now: TimeMs, name: WorkerName, address: Arc<str>) -> Self {
        let entry = WorkerEntry {
            name,
            address,
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

    /// Records the clock in a reply; because of the network delay the true clock is this value or later.
    pub(crate) fn record_clock(&mut self, now: TimeMs, clock_ms: u64) {
        self.clock = Some((clock_ms, now));
    }

    /// When the worker last reported its clock; before the first report, when a lease was last sent to it or
    /// when it became known.
    pub(crate) fn last_reply_at(&self) -> TimeMs {
        self.clock
            .map_or(self.lease_sent_at, |(_, reported_at)| reported_at)
    }

    /// Whether the last poll failed.
    pub(crate) fn is_unresponsive(&self) -> bool {
        self.contact_loss.is_some()
    }

    /// Records the reply to a poll.
    pub(crate) fn record_report(&mut self, now: TimeMs, report: &WorkerReport) {
        self.record_clock(now, report.clock_ms);
        self.contact_loss = None;
        self.contact.record_reply(now);
        self.end_listing.record_report(report.has_more_ends);
    }

    /// Whether it is in reach and has yet to list run ends of before.
    pub(crate) fn is_listing_ends(&self) -> bool {
        self.end_listing == EndListing::Part
    }

    /// Forgets the run ends that are not acknowledged: the incarnation that listed them is gone.
    pub(crate) fn forget_listed_ends(&mut self) {
        self.stored_end = self.acked_end;
        self.received_end = self.acked_end;
        self.end_listing = EndListing::Nothing;
    }

    /// Records a failed poll; the contact loss dates from the first failure.
    pub(crate) fn mark_unresponsive(
        &mut self,
        now: TimeMs,
        kind: ContactLossKind,
        is_noticed_late: bool,
    ) {
        self.end_listing = EndListing::Nothing;
        self.contact_loss.get_or_insert(ContactLoss {
            since: now,
            is_noticed_late,
            kind,
        });
    }

    /// Estimate of the worker's current clock, if the clock is known; apart from drift, it is never ahead.
    pub(crate) fn clock_at(&self, now: TimeMs) -> Option<u64> {
        let (clock_ms, reported_at) = self.clock?;
        Some(clock_ms.saturating_add(now.since(reported_at).0))
    }

    /// The end of a lease granted now, on the worker's clock; apart from drift, it is never too late.
    pub(crate) fn lease_until(&self, now: TimeMs, limits: &Limits) -> Option<u64> {
        Some(self.clock_at(now)?.saturating_add(limits.lease_ms.0))
    }

    /// Records that a lease is sent; runs may continue until the upper bound of its end.
    ///
    /// The lease ends at a time on the worker's clock. The older the last reading of a slow clock is, the further
    /// ahead of it is the estimate, and with it the end of a lease whose order is carried out late.
    pub(crate) fn record_lease_sent(&mut self, now: TimeMs, limits: &Limits) {
        self.lease_sent_at = now;
        let clock_age_ms = self.clock.map_or(DurationMs(0), |(_, at)| now.since(at));
        let drift_ms = DurationMs(clock_age_ms.0 * CLOCK_DRIFT_PERCENT / 100);
        let expires_by = now + max_lease_ms(limits) + drift_ms;
        self.lease_expires_by = self.lease_expires_by.max(expires_by);
    }

    /// Records that the effect of the run ends up to a sequence number is stored.
    pub(crate) fn record_stored_end(&mut self, sequence: u64) {
        self.stored_or_held_end = self.stored_or_held_end.max(sequence);
        self.apply_held_ends();
    }

    /// Allows a held run end to be acknowledged, once its effect is stored.
    pub(crate) fn release_held_end(&mut self, sequence: u64) {
        self.held_ends.remove(&sequence);
        self.apply_held_ends();
    }

    fn apply_held_ends(&mut self) {
        let first_held = self.held_ends.first().copied().unwrap_or(u64::MAX);
        let storable = self.stored_or_held_end.min(first_held.saturating_sub(1));
        self.stored_end = self.stored_end.max(storable);
    }

    /// Moves the next poll to the given time at the latest, unless a poll is in flight.
    pub(crate) fn poll_by(&mut self, at: TimeMs) {
        if let PollState::Idle { next_at } = &mut self.poll {
            *next_at = at.min(*next_at);
        }
    }

    pub(crate) fn allocate(&mut self, task: TaskId, allocation: Allocation) {
        self.allocated = self.allocated.plus(allocation.resources);
        self.allocations.insert(task, allocation);
    }

    pub(crate) fn release(&mut self, task: &TaskId) -> Option<Allocation> {
        let allocation = self.allocations.remove(task)?;
        self.allocated = self.allocated.saturating_sub(allocation.resources);
        Some(allocation)
    }

    pub(crate) fn free(&self) -> Resources {
        self.entry.capacity.saturating_sub(self.occupied())
    }

    fn occupied(&self) -> Resources {
        self.allocated.plus(self.untracked.resources())
    }

    /// Resources allocated beyond the capacity, which may have shrunk; stopping runs are included.
    pub(crate) fn overcommitted(&self) -> Resources {
        self.occupied().saturating_sub(self.entry.capacity)
    }

    /// Whether a run that was placed on the worker may still begin there.
    pub(crate) fn accepts_starts(&self, evacuations: &Evacuations) -> bool {
        self.is_listed
            && !self.entry.is_draining
            && !evacuations.contains(&self.entry.zone)
            && self.overcommitted().is_zero()
    }

    /// Whether new work may be placed on the worker.
    pub(crate) fn is_schedulable(&self, now: TimeMs) -> bool {
        self.is_listed
            && !self.entry.is_draining
            && !self.is_unresponsive()
            && !self.contact.is_silent()
            && self.clock.is_some()
            && now >= self.avoid_until
            && now >= self.stalled_until
            && !self.untracked.has_expected()
            && !self.is_isolating_suspect(now)
    }

    /// Whether the worker has to reply to a poll before it can get work.
    ///
    /// A worker that is new to a coordinator may be cut off from it, or have runs that no record names.
    pub(crate) fn needs_first_poll(&self) -> bool {
        self.is_listed && !self.contact.has_replied()
    }

    /// Whether the first reply of a worker that has just been listed may still be on its way.
    pub(crate) fn awaits_first_reply(&self, now: TimeMs) -> bool {
        self.needs_first_poll() && now.since(self.known_since) < FIRST_REPLY_MS
    }

    /// Whether a poll is needed: for tracked or untracked runs, to acknowledge run ends or to receive further ones, or
    /// to find out whether a listed worker is reachable again.
    ///
    /// Only a successful poll ends a contact loss, and an unresponsive worker gets no work. Without these
    /// polls no worker would ever get work again after a network partition longer than all leases.
    pub(crate) fn needs_poll(&self) -> bool {
        if self.is_replaced {
            return false;
        }
        let has_run = self
            .allocations
            .values()
            .any(|allocation| !matches!(allocation.phase, AllocationPhase::AwaitingRecord));
        has_run
            || !self.untracked.is_empty()
            || self.stored_end > self.acked_end
            || self.is_listing_ends()
            || ((self.is_unresponsive() || self.contact.is_silent()) && self.is_listed)
    }

    /// Whether processed run ends are not stored yet; a poll would return them again at once.
    pub(crate) fn has_unstored_ends(&self) -> bool {
        self.received_end > self.stored_end
    }

    /// When the next poll is due: later while run ends are being stored, but in time to renew the lease.
    pub(crate) fn poll_due_at(&self, next_at: TimeMs) -> TimeMs {
        if self.has_unstored_ends() {
            next_at + UNSTORED_ENDS_POLL_MS
        } else {
            next_at
        }
    }

    /// How long a poll may wait because of confirmed stops: a reply to a poll that is sent once stopping has had its
    /// time shows that the runs are over. A run end that is listed earlier is replied at once.
    pub(crate) fn max_wait_for_stops_ms(&self, now: TimeMs, stop_ms: DurationMs) -> DurationMs {
        let stops = self.allocations.values().filter_map(|allocation| {
            let AllocationPhase::Stopping { progress, .. } = allocation.phase else {
                return None;
            };
            progress.over_after(stop_ms)
        });
        let over_after = stops.min().unwrap_or(TimeMs(u64::MAX));
        over_after.since(now)
    }

    /// Whether a stop order has been sent, or has to be, that the worker has not confirmed.
    pub(crate) fn has_unconfirmed_stops(&self) -> bool {
        let is_unconfirmed = |allocation: &Allocation| match allocation.phase {
            AllocationPhase::Stopping { progress, .. } => !progress.is_confirmed(),
            _ => false,
        };
        self.allocations.values().any(is_unconfirmed) || self.untracked.has_unconfirmed_stops()
    }

    /// Whether nothing is left to do on a worker without an entry. The reply to a poll in flight must not count
    /// as that of another poll, to a worker that is listed again meanwhile.
    pub(crate) fn can_be_removed(&self) -> bool {
        !self.is_listed
            && self.allocations.is_empty()
            && self.untracked.is_empty()
            && (self.is_replaced || self.unsettled_starts.is_empty())
            && self.poll != PollState::InFlight
    }
}

/// Maximum time on the coordinator's clock until a lease sent now has ended.
pub(crate) fn max_lease_ms(limits: &Limits) -> DurationMs {
    DurationMs(limits.lease_ms.0 * (100 + CLOCK_DRIFT_PERCENT) / 100 + LEASE_MARGIN_MS.0)
}
