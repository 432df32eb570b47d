//! The placer of one zone: its state, its events and its queries.

use std::collections::BTreeMap;
use std::sync::Arc;

use ragwortwick_border::{AcceptedTable, JobRecord, Shape, WorkerCommand, ZoneStatus};
use ragwortwick_core::{
    CustomerName, DurationMs, Epoch, GangId, HostName, JobId, TimeMs, ZoneName,
};

use super::bindings::CellBindings;
use super::gang::{Gang, GangChart, gang_chart};
use super::ledger::{Ledger, Listing};
use super::orders::PendingOrder;
use super::pool::CELL_SIZES;
use super::queue::{EndedJobs, Job, Weights};
use super::{OrderId, ZoneAction, ZoneEvent, ZoneNotice};

/// `ZoneOptions` sets the leases and intervals of a placer.
#[derive(Clone, Debug, PartialEq)]
pub struct ZoneOptions {
    /// Lease of running members; a worker that is cut off for longer stops them.
    pub task_lease_ms: DurationMs,
    /// Interval of lease renewals.
    pub renew_interval_ms: DurationMs,
    /// Lease of reservations before the commit.
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

/// `Ownership` is this host's role in the zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Ownership {
    /// Another host owns the zone.
    NotOwner,
    /// This host owns the zone and reads inventories; it places nothing yet.
    Recovering,
    /// This host owns the zone and places jobs.
    Placing,
}

/// `ZonePlacer` decides which gang runs on which accelerators of one zone.
#[derive(Debug)]
pub struct ZonePlacer {
    pub(super) zone: ZoneName,
    pub(super) options: ZoneOptions,
    pub(super) epoch: Epoch,
    pub(super) ownership: Ownership,
    pub(super) owned_since: TimeMs,
    /// Time of the last tick; timers due by then were handled.
    pub(super) last_tick: TimeMs,
    /// Time of the next placement pass if nothing changes, since the waits of jobs expire.
    pub(super) next_place_at: TimeMs,
    /// Earliest time of the next move that makes a large cell whole.
    pub(super) next_move_at: TimeMs,
    pub(super) chart: GangChart,
    pub(super) table: Option<Arc<AcceptedTable>>,
    pub(super) weights: Weights,
    pub(super) ledger: Ledger,
    pub(super) bindings: CellBindings,
    pub(super) jobs: BTreeMap<JobId, Job>,
    pub(super) ended_jobs: EndedJobs,
    pub(super) gangs: BTreeMap<GangId, Gang>,
    pub(super) pending_orders: BTreeMap<OrderId, PendingOrder>,
    pub(super) next_order: u64,
    pub(super) actions: Vec<ZoneAction>,
    /// Whether a change may let a waiting job start.
    pub(super) is_place_due: bool,
    /// Whether the workers or the table changed, so that guaranteed cells must be bound again.
    pub(super) is_rebind_due: bool,
    pub(super) reported_short: BTreeMap<CustomerName, u32>,
    pub(super) steps: u64,
}

impl ZonePlacer {
    /// `new` creates a placer that does not own its zone; `seed` is reserved for randomness.
    #[must_use]
    pub fn new(zone: ZoneName, options: ZoneOptions, seed: u64) -> Self {
        // All choices are totally ordered, so there is no randomness; the seed is kept for jitter.
        let _ = seed;
        Self {
            zone,
            options,
            epoch: Epoch(0),
            ownership: Ownership::NotOwner,
            owned_since: TimeMs(0),
            last_tick: TimeMs(0),
            next_place_at: TimeMs(0),
            next_move_at: TimeMs(0),
            chart: gang_chart(),
            table: None,
            weights: Weights::default(),
            ledger: Ledger::default(),
            bindings: CellBindings::default(),
            jobs: BTreeMap::new(),
            ended_jobs: EndedJobs::default(),
            gangs: BTreeMap::new(),
            pending_orders: BTreeMap::new(),
            next_order: 0,
            actions: Vec::new(),
            is_place_due: false,
            is_rebind_due: false,
            reported_short: BTreeMap::new(),
            steps: 0,
        }
    }

    /// `on_event` processes one event and returns the actions to carry out, in order.
    pub fn on_event(&mut self, now: TimeMs, event: ZoneEvent) -> Vec<ZoneAction> {
        self.apply_event(now, event);
        if self.ownership != Ownership::NotOwner {
            self.advance(now);
        }
        std::mem::take(&mut self.actions)
    }

    fn apply_event(&mut self, now: TimeMs, event: ZoneEvent) {
        match event {
            ZoneEvent::TableInForce(table) => self.on_table(table),
            ZoneEvent::OwnershipGained { epoch } => self.on_gained(now, epoch),
            ZoneEvent::OwnershipLost => self.clear_state(),
            ZoneEvent::WorkerListed(info) => self.on_listed(now, &info),
            ZoneEvent::WorkerLeaving(worker) => self.on_listing_changed(&worker, Listing::Leaving),
            ZoneEvent::WorkerUnlisted(worker) => {
                self.on_listing_changed(&worker, Listing::Unlisted);
            }
            ZoneEvent::WorkerReplied {
                worker,
                order,
                reply,
            } => self.on_reply(now, &worker, order, &reply),
            ZoneEvent::OrderTimedOut { worker, order } => {
                self.on_order_timed_out(now, &worker, order);
            }
            ZoneEvent::JobFound(record) => self.on_job_found(now, record),
            ZoneEvent::JobCancelled(job_id) => self.on_job_cancelled(now, &job_id),
            ZoneEvent::JobRecorded { job_id, attempt } => {
                self.on_job_recorded(now, &job_id, attempt);
            }
            ZoneEvent::Tick => self.run_timers(now),
        }
    }

    /// Runs the work that the last event or the passage of time made due.
    fn advance(&mut self, now: TimeMs) {
        if self.ownership == Ownership::Recovering {
            self.try_finish_recovery(now);
        }
        self.settle_unconfirmed_starts(now);
        if std::mem::take(&mut self.is_rebind_due) {
            self.rebind_cells(now);
        }
        if self.ownership == Ownership::Placing && std::mem::take(&mut self.is_place_due) {
            self.unblock_claims(now);
            self.place_waiting(now);
        }
        if self.ownership == Ownership::Placing && now >= self.next_move_at {
            self.defragment(now);
        }
    }

    /// `next_wakeup` returns the time of the next `Tick`, if any timer is set.
    #[must_use]
    pub fn next_wakeup(&self) -> Option<TimeMs> {
        if self.ownership == Ownership::NotOwner {
            return None;
        }
        self.next_timer()
    }

    /// `can_ever_fit` returns whether the shape fits the zone's listed workers when all are empty.
    #[must_use]
    pub fn can_ever_fit(&self, shape: &Shape) -> bool {
        let size = shape.cell_accelerators;
        shape.cells > 0
            && CELL_SIZES.contains(&size)
            && self.ledger.listed_pool().cell_count(size) >= shape.cells
    }

    /// `explain_job` states why a job waits or where it runs; `None` for an unknown job.
    #[must_use]
    pub fn explain_job(&self, now: TimeMs, job: &JobId) -> Option<String> {
        self.explain(now, job)
    }

    /// `status` returns the zone's status for operators.
    #[must_use]
    pub fn status(&self, owner: Option<HostName>) -> ZoneStatus {
        self.report(owner)
    }

    /// `placement_steps` counts the workers, bound cells and jobs that decisions have examined so far.
    #[must_use]
    pub fn placement_steps(&self) -> u64 {
        self.steps
    }

    pub(super) fn order(&mut self, now: TimeMs, worker: usize, command: WorkerCommand) -> OrderId {
        self.next_order += 1;
        let order = OrderId(self.next_order);
        let pending = PendingOrder::new(worker, &command, now);
        self.pending_orders.insert(order, pending);
        self.actions.push(ZoneAction::Order {
            order,
            worker: self.ledger.workers[worker].name.clone(),
            command,
        });
        order
    }

    pub(super) fn record(&mut self, record: JobRecord) {
        self.actions.push(ZoneAction::RecordJob(record));
    }

    pub(super) fn notice(&mut self, notice: ZoneNotice) {
        self.actions.push(ZoneAction::Notice(notice));
    }

    fn on_table(&mut self, table: Arc<AcceptedTable>) {
        // Accepted tables may arrive out of order; the one with the highest number is in force.
        let is_older = self
            .table
            .as_ref()
            .is_some_and(|known| known.number >= table.number);
        if is_older {
            return;
        }
        self.weights = Weights::of_table(&table.table);
        self.table = Some(table);
        self.is_rebind_due = true;
        self.is_place_due = true;
    }

    fn on_gained(&mut self, now: TimeMs, epoch: Epoch) {
        self.clear_state();
        self.epoch = epoch;
        self.ownership = Ownership::Recovering;
        self.owned_since = now;
        self.is_rebind_due = true;
    }

    pub(super) fn clear_state(&mut self) {
        self.ownership = Ownership::NotOwner;
        self.ledger = Ledger::default();
        self.bindings = CellBindings::default();
        self.jobs.clear();
        self.ended_jobs = EndedJobs::default();
        self.gangs.clear();
        self.pending_orders.clear();
        self.reported_short.clear();
        self.actions.clear();
    }
}
