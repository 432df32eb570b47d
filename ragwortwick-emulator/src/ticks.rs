//! Periodic work: ticks, elections, lease renewals and feeds.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use ragwortwick_area::{Coordinator, Event, Now, UnstoredResults};
use ragwortwick_core::DurationMs;

use crate::host::Term;
use crate::simulation::{FEED_MS, Simulation};
use crate::store::LEASE_TTL_MS;

impl Simulation {
    pub(crate) fn tick(&mut self) {
        for index in 0..self.workers.len() {
            self.tick_worker(index);
        }
        self.tick_gangs();
        let is_feed_due = self.now.since(self.last_feed_at) >= FEED_MS;
        if is_feed_due {
            self.last_feed_at = self.now;
            self.check_cancelled_runs();
        }
        let is_renewal_due = self.now.since(self.last_renewal_at) >= FEED_MS;
        if is_renewal_due {
            self.last_renewal_at = self.now;
        }
        for host in 0..self.hosts.len() {
            if self.hosts[host].is_stopped(self.now) {
                continue;
            }
            self.hand_over(host);
            self.try_elect(host);
            if is_renewal_due {
                self.renew_term(host);
            }
            self.feed_coordinator(host, is_feed_due);
        }
    }

    pub(crate) fn try_elect(&mut self, host: usize) {
        let can_try = self.hosts[host].term.is_none() && self.hosts[host].reaches_store();
        if !can_try {
            return;
        }
        let Some(number) = self.store.acquire_coordinator_key(self.now) else {
            return;
        };
        let entries: Vec<_> = self
            .workers
            .iter()
            .filter(|worker| worker.is_listed(self.now))
            .map(|worker| worker.entry(self.now))
            .collect();
        let known_workers = entries.iter().map(|entry| entry.name.clone()).collect();
        let known_jobs = self.store.jobs.keys().cloned().collect();
        let stored = self.store.jobs.values();
        let known_cancelled = stored
            .filter(|job| job.cancelled_at.is_some())
            .map(|job| job.record.job_id.clone())
            .collect();
        let mut coordinator = Coordinator::take_over(
            self.clock(),
            self.options.limits.clone(),
            Arc::clone(&self.desired_state),
            self.store.recovered_jobs(),
            entries,
        );
        if let Some(speeds) = &self.store.speeds {
            // An unusable record is ignored.
            let _ = coordinator.restore_speeds(self.clock(), speeds);
        }
        self.trace.add(self.now, number, "begins");
        self.hosts[host].wakeup_at = None;
        self.hosts[host].term = Some(Term {
            number,
            coordinator,
            known_jobs,
            known_cancelled,
            known_workers,
            known_results: BTreeMap::new(),
            unstored: UnstoredResults::default(),
        });
        let report = self.store.evacuation_report(self.now);
        self.deliver_event(host, number, report);
        let until = self.now + LEASE_TTL_MS - DurationMs(200);
        self.deliver_event(host, number, Event::LeaseExtended { until });
    }

    pub(crate) fn renew_term(&mut self, host: usize) {
        let Some(number) = self.hosts[host].term.as_ref().map(|term| term.number) else {
            return;
        };
        if self.store.is_unavailable || !self.hosts[host].reaches_store() {
            return;
        }
        if self.store.renew(self.now, number) {
            let until = self.now + LEASE_TTL_MS - DurationMs(200);
            self.deliver_event(host, number, Event::LeaseExtended { until });
        } else {
            self.hosts[host].end_term();
        }
    }

    /// Hands the results of ended terms over to the next one through the store.
    fn hand_over(&mut self, host: usize) {
        if self.store.is_unavailable || !self.hosts[host].reaches_store() {
            return;
        }
        for (job_id, results) in std::mem::take(&mut self.hosts[host].handover) {
            self.store.add_handed_over(job_id, results);
        }
    }

    pub(crate) fn feed_coordinator(&mut self, host: usize, is_feed_due: bool) {
        if self.store.is_unavailable || !self.hosts[host].reaches_store() {
            return;
        }
        let unreachable = self.hosts[host].unreachable_workers.clone();
        let Some(term) = &mut self.hosts[host].term else {
            return;
        };
        let number = term.number;
        let mut events = Vec::new();
        for (job_id, job) in &self.store.jobs {
            if term.known_jobs.insert(job_id.clone()) {
                events.push(Event::JobAccepted(Arc::clone(&job.record)));
            }
            if job.cancelled_at.is_some() && term.known_cancelled.insert(job_id.clone()) {
                events.push(Event::JobCancelled(job_id.clone()));
            }
        }
        for (job_id, results) in &self.store.handed_over {
            let known = term.known_results.entry(job_id.clone()).or_default();
            let new = results.iter().skip(*known).cloned();
            events.extend(new.map(Event::ResultHandedOver));
            *known = results.len();
        }
        if is_feed_due {
            let mut present = BTreeSet::new();
            for worker in self
                .workers
                .iter()
                .filter(|worker| worker.is_listed(self.now) && !unreachable.contains(&worker.name))
            {
                present.insert(worker.registered_name.clone());
                events.push(Event::WorkerUpdated(worker.entry(self.now)));
            }
            let removed: Vec<_> = term.known_workers.difference(&present).cloned().collect();
            events.extend(removed.into_iter().map(Event::WorkerRemoved));
            term.known_workers = present;
            events.push(Event::WorkersConfirmed);
            events.push(self.store.evacuation_report(self.now));
        }
        for event in events {
            self.deliver_event(host, number, event);
        }
    }

    pub(crate) fn clock(&self) -> Now {
        Now {
            steady: self.now,
            unix: self.now,
        }
    }
}
