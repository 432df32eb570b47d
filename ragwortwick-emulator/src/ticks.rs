//! The passing of time: ticks, elections, renewals and feeds.

use std::collections::BTreeSet;
use std::sync::Arc;

use ragwortwick_area::{Coordinator, Event, Now};
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
        let is_feed = self.now.since(self.last_feed) >= FEED_MS;
        if is_feed {
            self.last_feed = self.now;
        }
        let is_renewal = self.now.since(self.last_renewal) >= FEED_MS;
        if is_renewal {
            self.last_renewal = self.now;
        }
        for host in 0..self.hosts.len() {
            if self.hosts[host].is_stopped(self.now) {
                continue;
            }
            self.elect(host);
            if is_renewal {
                self.renew(host);
            }
            self.feed(host, is_feed);
        }
    }

    pub(crate) fn elect(&mut self, host: usize) {
        let may_try = self.hosts[host].term.is_none() && self.hosts[host].reaches_store();
        if !may_try {
            return;
        }
        let Some(number) = self.store.take_key(self.now) else {
            return;
        };
        let entries: Vec<_> = self
            .workers
            .iter()
            .filter(|worker| worker.is_up())
            .map(|worker| worker.entry(self.now))
            .collect();
        let told_workers = entries.iter().map(|entry| entry.name.clone()).collect();
        let told = self.store.jobs.keys().cloned().collect();
        let cancelled = self.store.jobs.values();
        let told_cancelled = cancelled
            .filter(|job| job.cancelled_at.is_some())
            .map(|job| job.record.job_id.clone())
            .collect();
        let coordinator = Coordinator::take_over(
            self.clock(),
            self.options.limits.clone(),
            Arc::clone(&self.desired),
            self.store.known_jobs(),
            entries,
        );
        self.hosts[host].wakes_at = None;
        self.hosts[host].term = Some(Term {
            number,
            coordinator,
            told,
            told_cancelled,
            told_workers,
        });
        let until = self.now + LEASE_TTL_MS - DurationMs(200);
        self.hear(host, number, Event::LeaseExtended { until });
    }

    pub(crate) fn renew(&mut self, host: usize) {
        let Some(number) = self.hosts[host].term.as_ref().map(|term| term.number) else {
            return;
        };
        if self.store.is_away || !self.hosts[host].reaches_store() {
            return;
        }
        if self.store.renew(self.now, number) {
            let until = self.now + LEASE_TTL_MS - DurationMs(200);
            self.hear(host, number, Event::LeaseExtended { until });
        } else {
            self.hosts[host].term = None;
        }
    }

    pub(crate) fn feed(&mut self, host: usize, is_feed: bool) {
        if self.store.is_away || !self.hosts[host].reaches_store() {
            return;
        }
        let cut = self.hosts[host].cut_workers.clone();
        let Some(term) = &mut self.hosts[host].term else {
            return;
        };
        let number = term.number;
        let mut events = Vec::new();
        for (job_id, job) in &self.store.jobs {
            if term.told.insert(job_id.clone()) {
                events.push(Event::JobAccepted(Arc::clone(&job.record)));
            }
            if job.cancelled_at.is_some() && term.told_cancelled.insert(job_id.clone()) {
                events.push(Event::JobCancelled(job_id.clone()));
            }
        }
        if is_feed {
            let mut present = BTreeSet::new();
            for worker in self
                .workers
                .iter()
                .filter(|worker| worker.is_up() && !cut.contains(&worker.name))
            {
                present.insert(worker.name.clone());
                events.push(Event::WorkerUpdated(worker.entry(self.now)));
            }
            let gone: Vec<_> = term.told_workers.difference(&present).cloned().collect();
            events.extend(gone.into_iter().map(Event::WorkerRemoved));
            term.told_workers = present;
            events.push(Event::WorkersConfirmed);
        }
        for event in events {
            self.hear(host, number, event);
        }
    }

    pub(crate) fn clock(&self) -> Now {
        Now {
            steady: self.now,
            unix: self.now,
        }
    }
}
