//! The placer of one zone: its state, and the events and questions that reach it.

use std::collections::BTreeMap;
use std::sync::Arc;

use ragwortwick_border::{AcceptedTable, JobRecord, Shape, WorkerCommand, ZoneStatus};
use ragwortwick_core::{
    CustomerName, DurationMs, Epoch, GangId, HostName, JobId, TimeMs, ZoneName,
};

use super::gang::{Gang, GangChart, gang_chart};
use super::homes::Homes;
use super::ledger::{Ledger, Listing};
use super::orders::PendingOrder;
use super::pool::SIZES;
use super::queue::{EndedJobs, Job, Weights};
use super::{OrderId, ZoneAction, ZoneEvent, ZoneNotice};

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

/// `Ownership` is what this host may do in the zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Ownership {
    /// Another host owns the zone.
    Away,
    /// Inventories are read; nothing is placed.
    Recovering,
    /// Jobs are placed.
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
    /// Time of the last tick; what was due by then was looked at.
    pub(super) last_tick: TimeMs,
    /// When waiting jobs are tried again although nothing changed: some waited long enough.
    pub(super) next_place: TimeMs,
    /// Earliest time of the next move for the sake of large cells.
    pub(super) next_move: TimeMs,
    pub(super) chart: GangChart,
    pub(super) table: Option<Arc<AcceptedTable>>,
    pub(super) weights: Weights,
    pub(super) ledger: Ledger,
    pub(super) homes: Homes,
    pub(super) jobs: BTreeMap<JobId, Job>,
    pub(super) ended_jobs: EndedJobs,
    pub(super) gangs: BTreeMap<GangId, Gang>,
    pub(super) orders: BTreeMap<OrderId, PendingOrder>,
    pub(super) next_order: u64,
    pub(super) out: Vec<ZoneAction>,
    /// Something changed that may let a waiting job start.
    pub(super) is_place_due: bool,
    /// The workers or the table changed, so homes must be assigned anew.
    pub(super) is_assign_due: bool,
    pub(super) short_told: BTreeMap<CustomerName, u32>,
    pub(super) steps: u64,
}

impl ZonePlacer {
    /// `new` makes a placer that owns nothing yet; `seed` drives its only randomness.
    #[must_use]
    pub fn new(zone: ZoneName, options: ZoneOptions, seed: u64) -> Self {
        // Every choice has a total order today; the seed stays in the signature for jitter.
        let _ = seed;
        Self {
            zone,
            options,
            epoch: Epoch(0),
            ownership: Ownership::Away,
            owned_since: TimeMs(0),
            last_tick: TimeMs(0),
            next_place: TimeMs(0),
            next_move: TimeMs(0),
            chart: gang_chart(),
            table: None,
            weights: Weights::default(),
            ledger: Ledger::default(),
            homes: Homes::default(),
            jobs: BTreeMap::new(),
            ended_jobs: EndedJobs::default(),
            gangs: BTreeMap::new(),
            orders: BTreeMap::new(),
            next_order: 0,
            out: Vec::new(),
            is_place_due: false,
            is_assign_due: false,
            short_told: BTreeMap::new(),
            steps: 0,
        }
    }

    /// `on_event` takes in one event and returns what to do, in order.
    pub fn on_event(&mut self, now: TimeMs, event: ZoneEvent) -> Vec<ZoneAction> {
        self.take_in(now, event);
        if self.ownership != Ownership::Away {
            self.advance(now);
        }
        std::mem::take(&mut self.out)
    }

    fn take_in(&mut self, now: TimeMs, event: ZoneEvent) {
        match event {
            ZoneEvent::TableInForce(table) => self.on_table(table),
            ZoneEvent::OwnershipGained { epoch } => self.on_gained(now, epoch),
            ZoneEvent::OwnershipLost => self.forget_all(),
            ZoneEvent::WorkerListed(info) => self.on_listed(now, &info),
            ZoneEvent::WorkerLeaving(worker) => self.on_listing(&worker, Listing::Leaving),
            ZoneEvent::WorkerUnlisted(worker) => self.on_listing(&worker, Listing::Unlisted),
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

    /// Does what time or the last event made due.
    fn advance(&mut self, now: TimeMs) {
        if self.ownership == Ownership::Recovering {
            self.try_finish_recovery(now);
        }
        self.settle_unseen_starts(now);
        if std::mem::take(&mut self.is_assign_due) {
            self.assign_homes(now);
        }
        if self.ownership == Ownership::Placing && std::mem::take(&mut self.is_place_due) {
            self.unblock_claims(now);
            self.place_waiting(now);
        }
        if self.ownership == Ownership::Placing && now >= self.next_move {
            self.defragment(now);
        }
    }

    /// `next_wakeup` tells when a `Tick` is due, if anything waits for time to pass.
    #[must_use]
    pub fn next_wakeup(&self) -> Option<TimeMs> {
        if self.ownership == Ownership::Away {
            return None;
        }
        self.next_timer()
    }

    /// `can_ever_fit` tells whether the shape fits the zone's listed workers when all are empty.
    #[must_use]
    pub fn can_ever_fit(&self, shape: &Shape) -> bool {
        let size = shape.cell_accelerators;
        shape.cells > 0
            && SIZES.contains(&size)
            && self.ledger.listed_pool().count(size) >= shape.cells
    }

    /// `explain_job` states why a job waits or where it runs; `None` for an unknown job.
    #[must_use]
    pub fn explain_job(&self, now: TimeMs, job: &JobId) -> Option<String> {
        self.explain(now, job)
    }

    /// `status` gives the operators' view of the zone.
    #[must_use]
    pub fn status(&self, owner: Option<HostName>) -> ZoneStatus {
        self.report(owner)
    }

    /// `placement_steps` counts the workers, homes and jobs looked at by decisions so far.
    #[must_use]
    pub fn placement_steps(&self) -> u64 {
        self.steps
    }

    pub(super) fn order(&mut self, now: TimeMs, worker: usize, command: WorkerCommand) -> OrderId {
        self.next_order += 1;
        let order = OrderId(self.next_order);
        let pending = PendingOrder::new(worker, &command, now);
        self.orders.insert(order, pending);
        self.out.push(ZoneAction::Order {
            order,
            worker: self.ledger.workers[worker].name.clone(),
            command,
        });
        order
    }

    pub(super) fn record(&mut self, record: JobRecord) {
        self.out.push(ZoneAction::RecordJob(record));
    }

    pub(super) fn notice(&mut self, notice: ZoneNotice) {
        self.out.push(ZoneAction::Notice(notice));
    }

    fn on_table(&mut self, table: Arc<AcceptedTable>) {
        // Acceptances race on their way here; the higher number is in force.
        let is_older = self
            .table
            .as_ref()
            .is_some_and(|known| known.number >= table.number);
        if is_older {
            return;
        }
        self.weights = Weights::of_table(&table.table);
        self.table = Some(table);
        self.is_assign_due = true;
        self.is_place_due = true;
    }

    fn on_gained(&mut self, now: TimeMs, epoch: Epoch) {
        self.forget_all();
        self.epoch = epoch;
        self.ownership = Ownership::Recovering;
        self.owned_since = now;
        self.is_assign_due = true;
    }

    pub(super) fn forget_all(&mut self) {
        self.ownership = Ownership::Away;
        self.ledger = Ledger::default();
        self.homes = Homes::default();
        self.jobs.clear();
        self.ended_jobs = EndedJobs::default();
        self.gangs.clear();
        self.orders.clear();
        self.short_told.clear();
        self.out.clear();
    }
}
