//! Waiting requests by customer and class, and which of them goes next.

use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet};

use ragwortwick_border::{AcceptedTable, ClassRow};
use ragwortwick_core::{ClassName, CustomerName, DurationMs, TimeMs};

use super::limits::{Pace, RateLimit, RunTime};
use super::messages::Ticket;
use super::retry::RetryBudget;

/// `ClassKey` names a class of one customer.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct ClassKey {
    pub(super) customer: CustomerName,
    pub(super) class: ClassName,
}

/// `ClassLine` is the queue of one class with its limits and counts.
#[derive(Debug)]
pub(super) struct ClassLine {
    pub(super) row: ClassRow,
    pub(super) rate: RateLimit,
    pub(super) run_time: RunTime,
    pub(super) pace: Pace,
    pub(super) in_flight: u32,
    waiting: BTreeSet<(TimeMs, Ticket)>,
    is_in_table: bool,
}

/// `CustomerLine` is what a customer's classes share.
#[derive(Debug)]
pub(super) struct CustomerLine {
    pub(super) weight: f64,
    pub(super) in_flight: u32,
    pub(super) waiting: u32,
    pub(super) budget: RetryBudget,
}

/// `Queue` holds every waiting request of this host.
#[derive(Debug, Default)]
pub(super) struct Queue {
    customers: BTreeMap<CustomerName, CustomerLine>,
    classes: BTreeMap<ClassKey, ClassLine>,
    waiting: u32,
}

/// `Sureness` is how sure it must be that work ends in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Sureness {
    Probable,
    AlmostSure,
}

/// `Room` tells which work could be sent now.
#[derive(Clone, Copy, Debug)]
pub(super) struct Room {
    pub(super) for_urgent: bool,
    pub(super) for_routine: bool,
    /// Slots that this host may use in all, to tell a customer's share of them.
    pub(super) slots: u32,
}

impl Queue {
    /// `set_table` puts new rows in force; what waits under a row that is gone still runs.
    pub(super) fn set_table(&mut self, now: TimeMs, accepted: &AcceptedTable) {
        for line in self.classes.values_mut() {
            line.is_in_table = false;
        }
        for row in &accepted.table.customers {
            let line = self.customers.entry(row.customer.clone());
            line.or_insert_with(CustomerLine::new).weight = row.weight;
        }
        for row in &accepted.table.classes {
            let key = ClassKey {
                customer: row.customer.clone(),
                class: row.class.clone(),
            };
            let line = self
                .classes
                .entry(key)
                .or_insert_with(|| ClassLine::new(now, row.clone()));
            line.rate.set_rate(row.rate_per_s);
            line.row = row.clone();
            line.is_in_table = true;
            let customer = self.customers.entry(row.customer.clone());
            customer.or_insert_with(CustomerLine::new);
        }
        self.classes.retain(|_, line| line.is_needed());
        let classes = &self.classes;
        self.customers
            .retain(|name, _| classes.keys().any(|key| key.customer == *name));
    }

    /// `open_line` finds the line of a class that the table in force has.
    pub(super) fn open_line(&mut self, key: &ClassKey) -> Option<&mut ClassLine> {
        self.classes.get_mut(key).filter(|line| line.is_in_table)
    }

    pub(super) fn line(&mut self, key: &ClassKey) -> Option<&mut ClassLine> {
        self.classes.get_mut(key)
    }

    pub(super) fn customer(&mut self, name: &CustomerName) -> Option<&mut CustomerLine> {
        self.customers.get_mut(name)
    }

    pub(super) fn waiting(&self) -> u32 {
        self.waiting
    }

    pub(super) fn push(&mut self, key: &ClassKey, deadline: TimeMs, ticket: Ticket) {
        let Some(line) = self.classes.get_mut(key) else {
            return;
        };
        if line.waiting.insert((deadline, ticket)) {
            self.waiting += 1;
            if let Some(customer) = self.customers.get_mut(&key.customer) {
                customer.waiting += 1;
            }
        }
    }

    pub(super) fn remove(&mut self, key: &ClassKey, deadline: TimeMs, ticket: Ticket) {
        let Some(line) = self.classes.get_mut(key) else {
            return;
        };
        if line.waiting.remove(&(deadline, ticket)) {
            self.waiting -= 1;
            if let Some(customer) = self.customers.get_mut(&key.customer) {
                customer.waiting -= 1;
            }
        }
    }

    pub(super) fn begin(&mut self, now: TimeMs, key: &ClassKey) {
        if let Some(line) = self.classes.get_mut(key) {
            let is_more_waiting = !line.waiting.is_empty();
            line.pace.on_start(now, is_more_waiting);
        }
        self.count(key, |n| n + 1);
    }

    pub(super) fn end(&mut self, key: &ClassKey) {
        self.count(key, |n| n.saturating_sub(1));
    }

    fn count(&mut self, key: &ClassKey, change: impl Fn(u32) -> u32) {
        if let Some(line) = self.classes.get_mut(key) {
            line.in_flight = change(line.in_flight);
        }
        if let Some(customer) = self.customers.get_mut(&key.customer) {
            customer.in_flight = change(customer.in_flight);
        }
    }

    /// `overdue` finds a waiting request that can no longer be answered in time.
    ///
    /// One that still waits after all that could start has started is given up while it would
    /// almost surely end in time: whatever starts later only sometimes does, and a slot spent on an
    /// answer that comes too late is lost to others.
    pub(super) fn overdue(
        &self,
        now: TimeMs,
        back_at: Option<TimeMs>,
        sureness: Sureness,
    ) -> Option<Ticket> {
        let start = back_at.map_or(now, |at| at.max(now));
        self.classes.values().find_map(|line| {
            let (deadline, ticket) = line.waiting.first()?;
            let done_at = start + line.needed_ms(now, sureness);
            (done_at >= *deadline).then_some(*ticket)
        })
    }

    /// `next_overdue_at` tells when `overdue` would next find something if nothing moved.
    pub(super) fn next_overdue_at(&self, now: TimeMs) -> Option<TimeMs> {
        let lines = self.classes.values();
        lines
            .filter_map(|line| {
                let (deadline, _) = line.waiting.first()?;
                Some(*deadline - line.needed_ms(now, Sureness::AlmostSure))
            })
            .min()
    }

    /// `next` picks the request to send now.
    ///
    /// Urgent work of a customer that is within its share of the slots goes first. Then customers
    /// stand in the order of slots held by weight, so that one customer's burst waits behind
    /// another's first request. Within a customer urgent work goes first, then classes by slots held
    /// by weight, then the higher worth, then the earlier deadline.
    pub(super) fn next(&self, room: Room) -> Option<Ticket> {
        let weights: f64 = self.active_customers().map(|c| c.weight).sum();
        let mut best: Option<(Rank, Ticket)> = None;
        for (key, line) in &self.classes {
            let Some((deadline, ticket)) = line.waiting.first() else {
                continue;
            };
            let has_room = room.for_routine || (line.row.urgent && room.for_urgent);
            if !has_room || line.in_flight >= line.row.max_in_flight {
                continue;
            }
            let Some(customer) = self.customers.get(&key.customer) else {
                continue;
            };
            let share = f64::from(room.slots) * customer.weight / weights.max(f64::MIN_POSITIVE);
            let rank = Rank {
                is_first: line.row.urgent && f64::from(customer.in_flight) < share.max(1.0),
                customer_load: load(customer.in_flight, customer.weight),
                is_urgent: line.row.urgent,
                class_load: load(line.in_flight, line.row.weight),
                worth: line.row.worth,
                deadline: *deadline,
                ticket: *ticket,
            };
            let is_better = match &best {
                Some((other, _)) => rank.order(other) == Ordering::Less,
                None => true,
            };
            if is_better {
                best = Some((rank, *ticket));
            }
        }
        best.map(|(_, ticket)| ticket)
    }

    /// `least_worth` finds the request to shed for one of greater worth.
    ///
    /// Only customers that hold more than their share of the waiting places give one up, and of
    /// equal worth the one with the latest deadline.
    pub(super) fn least_worth(&self, limit: u32, than: &ClassKey) -> Option<Ticket> {
        let worth = self.classes.get(than)?.row.worth;
        let weights: f64 = self.active_customers().map(|c| c.weight).sum();
        let is_over_share = |name: &CustomerName| {
            self.customers.get(name).is_some_and(|c| {
                let share = f64::from(limit) * c.weight / weights.max(f64::MIN_POSITIVE);
                f64::from(c.waiting) > share
            })
        };
        let lines = self.classes.iter().filter(|(key, line)| {
            let is_same = key.customer == than.customer;
            !line.waiting.is_empty()
                && !line.row.urgent
                && ((is_same && line.row.worth < worth)
                    || (!is_same && is_over_share(&key.customer) && !is_over_share(&than.customer)))
        });
        let (_, line) = lines.min_by(|(_, a), (_, b)| a.row.worth.total_cmp(&b.row.worth))?;
        line.waiting.last().map(|(_, ticket)| *ticket)
    }

    fn active_customers(&self) -> impl Iterator<Item = &CustomerLine> {
        let lines = self.customers.values();
        lines.filter(|line| line.waiting > 0 || line.in_flight > 0)
    }
}

impl CustomerLine {
    fn new() -> Self {
        Self {
            weight: 1.0,
            in_flight: 0,
            waiting: 0,
            budget: RetryBudget::new(),
        }
    }
}

impl ClassLine {
    fn new(now: TimeMs, row: ClassRow) -> Self {
        Self {
            rate: RateLimit::new(now, row.rate_per_s),
            run_time: RunTime::default(),
            pace: Pace::default(),
            in_flight: 0,
            waiting: BTreeSet::new(),
            is_in_table: true,
            row,
        }
    }

    pub(super) fn waiting(&self) -> u32 {
        u32::try_from(self.waiting.len()).unwrap_or(u32::MAX)
    }

    fn needed_ms(&self, now: TimeMs, sureness: Sureness) -> DurationMs {
        match sureness {
            Sureness::Probable => self.run_time.mean_ms(now),
            Sureness::AlmostSure => self.run_time.sure_ms(now),
        }
    }

    fn is_needed(&self) -> bool {
        self.is_in_table || self.in_flight > 0 || !self.waiting.is_empty()
    }
}

/// `Rank` orders the heads of the lines; the least goes first.
#[derive(Clone, Copy, Debug)]
struct Rank {
    is_first: bool,
    customer_load: f64,
    is_urgent: bool,
    class_load: f64,
    worth: f64,
    deadline: TimeMs,
    ticket: Ticket,
}

impl Rank {
    fn order(&self, other: &Self) -> Ordering {
        (other.is_first.cmp(&self.is_first))
            .then(self.customer_load.total_cmp(&other.customer_load))
            .then(other.is_urgent.cmp(&self.is_urgent))
            .then(self.class_load.total_cmp(&other.class_load))
            .then(other.worth.total_cmp(&self.worth))
            .then(self.deadline.cmp(&other.deadline))
            .then(self.ticket.cmp(&other.ticket))
    }
}

fn load(in_flight: u32, weight: f64) -> f64 {
    (f64::from(in_flight) + 1.0) / weight.max(f64::MIN_POSITIVE)
}
