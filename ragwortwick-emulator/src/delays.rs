//! Messages that wait: in the queues of a busy host, or on a path that is cut for a while.

use ragwortwick_area::Action;
use ragwortwick_core::{DurationMs, TimeMs, WorkerName};
use rand::Rng;

use crate::faults::FaultKind;
use crate::network::Delivery;
use crate::simulation::{SimEvent, Simulation};
use crate::worker::zone_name;

/// Longest time that an order waits in its host before it leaves, while orders are queued.
const MAX_DISPATCH_MS: u64 = 4_000;

/// Wait in its host from which an order counts as carried out late.
const MIN_LATE_DISPATCH_MS: u64 = 1_000;

/// Longest time that an event waits before the coordinator processes it, while events are queued.
const MAX_QUEUEING_MS: u64 = 5_000;

/// Longest time in which what was held arrives once the path is open.
const MAX_BURST_MS: u64 = 60;

impl Simulation {
    /// Lets an order or a poll leave its host, later than it was decided while orders are queued.
    pub(crate) fn dispatch(&mut self, host: usize, term: u64, action: Action) {
        if !self.is_fault_active(FaultKind::OrdersQueued) {
            self.send_to_worker(host, term, action, false);
            return;
        }
        let delay_ms = if self.rng.random_bool(0.5) {
            self.rng.random_range(0..MAX_DISPATCH_MS)
        } else {
            self.rng.random_range(0..20)
        };
        let is_late = delay_ms >= MIN_LATE_DISPATCH_MS;
        let leave = SimEvent::LeaveHost {
            host,
            term,
            action,
            is_late,
        };
        self.schedule_after(delay_ms, leave);
    }

    /// Sends a queued order, unless its term has ended.
    pub(crate) fn leave_host(&mut self, host: usize, term: u64, action: Action, is_late: bool) {
        if let Some(until) = self.hosts[host].frozen_until.filter(|at| self.now < *at) {
            let leave = SimEvent::LeaveHost {
                host,
                term,
                action,
                is_late: true,
            };
            self.schedule_at(until, leave);
            return;
        }
        let state = self.hosts[host].term.as_ref();
        if state.is_some_and(|state| state.number == term) {
            self.send_to_worker(host, term, action, is_late);
        }
    }

    /// Draws the time for which an event waits before the coordinator processes it.
    pub(crate) fn draw_queueing_ms(&mut self) -> u64 {
        if self.is_fault_active(FaultKind::EventsQueued) && self.rng.random_bool(0.4) {
            self.rng.random_range(0..MAX_QUEUEING_MS)
        } else {
            0
        }
    }

    /// When an order to the worker arrives that is sent now; none if nothing holds it.
    pub(crate) fn orders_held_until(&self, worker: &WorkerName) -> Option<TimeMs> {
        self.held_until(worker, FaultKind::ZoneOrdersHeld)
    }

    /// When a reply of the worker arrives that is sent now; none if nothing holds it.
    pub(crate) fn replies_held_until(&self, worker: &WorkerName) -> Option<TimeMs> {
        self.held_until(worker, FaultKind::ZoneRepliesHeld)
    }

    /// Returns the end of the cuts of the worker's zone, in both directions or in that of the given kind.
    fn held_until(&self, worker: &WorkerName, direction: FaultKind) -> Option<TimeMs> {
        let zone = &self.workers[self.machine_of(worker)?].zone;
        let cuts = (0..).zip(&self.faults).filter(|(number, fault)| {
            let is_cut = fault.kind == FaultKind::ZoneCut || fault.kind == direction;
            is_cut && fault.is_active(self.now) && zone_name(*number) == *zone
        });
        cuts.map(|(_, fault)| fault.at + fault.for_ms).max()
    }

    /// Whether a fault of the kind is active.
    pub(crate) fn is_fault_active(&self, kind: FaultKind) -> bool {
        let mut faults = self.faults.iter();
        faults.any(|fault| fault.kind == kind && fault.is_active(self.now))
    }

    /// Holds an order until its path is open again; the sender gives up earlier.
    pub(crate) fn hold_order(&mut self, host: usize, term: u64, action: Action, until: TimeMs) {
        self.reply_timeout(host, term, &action);
        let delay_ms = self.rng.random_range(0..MAX_BURST_MS);
        let deliver = SimEvent::DeliverToWorker {
            host,
            term,
            action,
            delivery: Delivery {
                sent_at: self.now,
                is_late: true,
                wants_reply: false,
            },
        };
        self.schedule_at(until + DurationMs(delay_ms), deliver);
    }
}
