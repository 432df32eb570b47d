//! The duty that drives the placer of the owned zone and carries out what it asks for.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use ragwortwick_border::{AcceptedTable, HostEntry, HostKind, HostList, HostState};
use ragwortwick_core::{DurationMs, Epoch, HostName, RackName, TimeMs, WorkerName, ZoneName};
use ragwortwick_policy::{OrderId, WorkerInfo, ZoneAction, ZoneEvent, ZoneNotice, ZonePlacer};
use tokio::sync::{mpsc, watch};

use super::Tenure;
use super::job_writer::RecordOrder;
use super::notices::log_notice;
use super::order_sender::OutgoingOrder;
use super::peer_epochs::report_epoch;
use super::zone_event::{OrderAnswer, ZoneDutyEvent};
use crate::{EventHandler, Metrics};

/// Wait before orders that could not leave are answered as silent and records are offered again.
const RETRY_MS: DurationMs = DurationMs(50);

/// Interval of the gauges of the zone.
const GAUGES_MS: DurationMs = DurationMs(2_000);

/// `ZoneDuty` drives the placer while this host owns the zone.
#[derive(Debug)]
pub(crate) struct ZoneDuty {
    host: HostName,
    zone: ZoneName,
    placer: ZonePlacer,
    tenure: Tenure,
    epoch: Option<Epoch>,
    table: Option<Arc<AcceptedTable>>,
    workers: BTreeMap<WorkerName, HostEntry>,
    outputs: Outputs,
    unsent: VecDeque<UnsentOrder>,
    unwritten: VecDeque<RecordOrder>,
    retry_at: TimeMs,
    gauges_at: TimeMs,
    metrics: Metrics,
}

/// `Outputs` are the ends through which the duty's wishes leave.
#[derive(Debug)]
pub(crate) struct Outputs {
    /// Orders to workers.
    pub(crate) orders: mpsc::Sender<OutgoingOrder>,
    /// Records of jobs.
    pub(crate) records: mpsc::Sender<RecordOrder>,
    /// The highest epoch that a worker showed.
    pub(crate) fenced: watch::Sender<Epoch>,
}

#[derive(Debug)]
struct UnsentOrder {
    worker: WorkerName,
    order: OrderId,
}

impl ZoneDuty {
    /// `new` makes a duty for a zone that is not owned yet.
    pub(crate) fn new(
        host: HostName,
        placer: ZonePlacer,
        zone: ZoneName,
        tenure: Tenure,
        outputs: Outputs,
        metrics: Metrics,
    ) -> Self {
        Self {
            host,
            zone,
            placer,
            tenure,
            epoch: None,
            table: None,
            workers: BTreeMap::new(),
            outputs,
            unsent: VecDeque::new(),
            unwritten: VecDeque::new(),
            retry_at: TimeMs(0),
            gauges_at: TimeMs(0),
            metrics,
        }
    }

    fn gain(&mut self, now: TimeMs, epoch: Epoch) {
        self.epoch = Some(epoch);
        self.place(now, ZoneEvent::OwnershipGained { epoch });
        if let Some(table) = self.table.clone() {
            self.place(now, ZoneEvent::TableInForce(table));
        }
        let workers: Vec<HostEntry> = self.workers.values().cloned().collect();
        for worker in &workers {
            self.list_worker(now, worker);
        }
    }

    fn lose(&mut self, now: TimeMs) {
        if self.epoch.is_some() {
            self.place(now, ZoneEvent::OwnershipLost);
        }
        self.epoch = None;
        self.unsent.clear();
        self.unwritten.clear();
        self.metrics.state.clear_zone();
    }

    fn take_hosts(&mut self, now: TimeMs, list: &HostList) {
        let listed: BTreeMap<WorkerName, HostEntry> = list
            .hosts
            .iter()
            .filter(|host| host.kind == HostKind::Worker && host.zone == self.zone)
            .map(|host| (WorkerName::new(&host.name), host.clone()))
            .collect();
        let known = std::mem::replace(&mut self.workers, listed);
        if self.epoch.is_none() {
            return;
        }
        let gone: Vec<WorkerName> = known
            .keys()
            .filter(|worker| !self.workers.contains_key(*worker))
            .cloned()
            .collect();
        for worker in gone {
            self.place(now, ZoneEvent::WorkerUnlisted(worker));
        }
        let changed: Vec<HostEntry> = self
            .workers
            .iter()
            .filter(|(worker, entry)| known.get(*worker) != Some(*entry))
            .map(|(_, entry)| entry.clone())
            .collect();
        for entry in &changed {
            self.list_worker(now, entry);
        }
    }

    fn list_worker(&mut self, now: TimeMs, entry: &HostEntry) {
        let worker = WorkerName::new(&entry.name);
        // A worker without a rack stands alone: nothing is adjacent to it.
        let rack = entry
            .rack
            .clone()
            .unwrap_or_else(|| RackName::new(&entry.name));
        let info = WorkerInfo {
            worker: worker.clone(),
            rack,
            accelerators: entry.accelerators,
        };
        self.place(now, ZoneEvent::WorkerListed(info));
        if entry.state == HostState::Leaving {
            self.place(now, ZoneEvent::WorkerLeaving(worker));
        }
    }

    fn take_answer(&mut self, now: TimeMs, answer: OrderAnswer) {
        // Order ids count from the start of each ownership; an answer to an order of an earlier one
        // would be taken for the answer to another order.
        if self.epoch != Some(answer.epoch) {
            return;
        }
        let OrderAnswer {
            epoch,
            worker,
            order,
            reply,
        } = answer;
        let Some(reply) = reply else {
            self.place(now, ZoneEvent::OrderTimedOut { worker, order });
            return;
        };
        if reply.highest_epoch > epoch {
            self.report_fenced(reply.highest_epoch);
        }
        self.place(
            now,
            ZoneEvent::WorkerReplied {
                worker,
                order,
                reply,
            },
        );
    }

    fn report_fenced(&self, shown: Epoch) {
        report_epoch(&self.outputs.fenced, shown);
    }

    /// Gives the event to the placer and carries out what it asks for.
    fn place(&mut self, now: TimeMs, event: ZoneEvent) {
        for action in self.placer.on_event(now, event) {
            match action {
                ZoneAction::Order {
                    order,
                    worker,
                    command,
                } => {
                    let Some(epoch) = self.epoch else { continue };
                    let address = self.workers.get(&worker).map(|entry| entry.address.clone());
                    let unsent = UnsentOrder {
                        worker: worker.clone(),
                        order,
                    };
                    let is_sent = address.is_some_and(|address| {
                        let outgoing = OutgoingOrder {
                            epoch,
                            order,
                            worker,
                            address,
                            command,
                        };
                        self.tenure.may_act(now, epoch)
                            && self.outputs.orders.try_send(outgoing).is_ok()
                    });
                    if !is_sent {
                        self.retry_later(now);
                        self.unsent.push_back(unsent);
                    }
                }
                ZoneAction::RecordJob(record) => {
                    let Some(epoch) = self.epoch else { continue };
                    self.unwritten.push_back(RecordOrder { epoch, record });
                }
                ZoneAction::Notice(notice) => self.note(&notice),
            }
        }
        self.offer_records(now);
    }

    fn offer_records(&mut self, now: TimeMs) {
        while let Some(order) = self.unwritten.pop_front() {
            if let Err(refused) = self.outputs.records.try_send(order) {
                self.unwritten.push_front(refused.into_inner());
                self.retry_later(now);
                return;
            }
        }
    }

    fn retry_later(&mut self, now: TimeMs) {
        if self.unsent.is_empty() && self.retry_at <= now {
            self.retry_at = now + RETRY_MS;
        }
    }

    fn note(&self, notice: &ZoneNotice) {
        if let ZoneNotice::Fenced { epoch } = notice {
            self.report_fenced(*epoch);
        }
        self.metrics.state.observe_zone_notice(&self.zone, notice);
        log_notice(&self.zone, notice);
    }

    fn set_gauges(&mut self, now: TimeMs) {
        self.gauges_at = now + GAUGES_MS;
        if self.epoch.is_some() {
            let status = self.placer.status(Some(self.host.clone()));
            self.metrics.state.set_zone(&status);
        }
    }
}

impl EventHandler for ZoneDuty {
    type Event = ZoneDutyEvent;

    fn on_event(&mut self, now: TimeMs, event: ZoneDutyEvent) {
        match event {
            ZoneDutyEvent::Gained(epoch) => self.gain(now, epoch),
            ZoneDutyEvent::Lost => self.lose(now),
            ZoneDutyEvent::Table(table) => {
                self.table = Some(Arc::clone(&table));
                if self.epoch.is_some() {
                    self.place(now, ZoneEvent::TableInForce(table));
                }
            }
            ZoneDutyEvent::Hosts(list) => self.take_hosts(now, &list),
            ZoneDutyEvent::Answered(answer) => self.take_answer(now, answer),
            ZoneDutyEvent::JobFound(record) => {
                if self.epoch.is_some() {
                    self.place(now, ZoneEvent::JobFound(record));
                }
            }
            ZoneDutyEvent::JobCancelled(job_id) => {
                if self.epoch.is_some() {
                    self.place(now, ZoneEvent::JobCancelled(job_id));
                }
            }
            ZoneDutyEvent::JobRecorded {
                epoch,
                job_id,
                attempt,
            } => {
                if self.epoch == Some(epoch) {
                    self.place(now, ZoneEvent::JobRecorded { job_id, attempt });
                }
            }
            // Someone who asked and went away needs no answer.
            ZoneDutyEvent::Status(answer) => {
                let status = self
                    .epoch
                    .map(|_| self.placer.status(Some(self.host.clone())));
                drop(answer.send(status));
            }
            ZoneDutyEvent::Why(job_id, answer) => {
                let why = self
                    .epoch
                    .and_then(|_| self.placer.explain_job(now, &job_id));
                drop(answer.send(why));
            }
        }
    }

    fn on_wakeup(&mut self, now: TimeMs) {
        if now >= self.retry_at {
            self.offer_records(now);
            for unsent in std::mem::take(&mut self.unsent) {
                let UnsentOrder { worker, order } = unsent;
                self.place(now, ZoneEvent::OrderTimedOut { worker, order });
            }
        }
        if self.epoch.is_some() && self.placer.next_wakeup().is_some_and(|at| at <= now) {
            self.place(now, ZoneEvent::Tick);
        }
        if now >= self.gauges_at {
            self.set_gauges(now);
        }
    }

    fn next_wakeup(&self) -> Option<TimeMs> {
        let has_to_retry = !self.unsent.is_empty() || !self.unwritten.is_empty();
        let retry_at = has_to_retry.then_some(self.retry_at);
        let placer_at = self.epoch.and_then(|_| self.placer.next_wakeup());
        [retry_at, placer_at, Some(self.gauges_at)]
            .into_iter()
            .flatten()
            .min()
    }
}
