//! The naive policy on a script: first come, first fit, no borrowing, no preemption.
//!
//! A customer holds no more accelerators than its guarantees add up to; each waiting job, in order
//! of arrival, takes the first adjacent accelerators that are free, whoever they were promised to.
//! With `--naive-anywhere` the limit falls: that is the stronger opponent on completion time.

use std::collections::{BTreeMap, BTreeSet};

use crate::arrivals::{Fault, Script};
use crate::deployment::Deployment;
use crate::measure::{Outcome, Sampler, Side, WorkerSample};
use crate::packing;

const SAMPLE_MS: u64 = 10_000;
const DRAIN_MS: u64 = 24 * 3_600_000;

/// Time in which a failing task fails, as in the fake workers.
const FAIL_MS: u64 = 3_000;

/// Tries of a job before it is given up as failing; fewer would drop good jobs on a bad worker.
const MAX_TRIES: u32 = 100;

/// Wait before a failed job is tried again.
const RETRY_MS: u64 = 30_000;

struct Worker {
    rack: usize,
    accelerators: u32,
    held: u32,
    useful: u32,
    is_down: bool,
    is_listed: bool,
    is_broken: bool,
}

struct Running {
    job: usize,
    parts: Vec<(usize, u32)>,
    ends_at_ms: u64,
    fails: bool,
}

struct Naive<'a> {
    script: &'a Script,
    workers: Vec<Worker>,
    waiting: BTreeSet<usize>,
    retries: BTreeSet<(u64, usize)>,
    running: BTreeMap<u64, Running>,
    next_start: u64,
    is_capped: bool,
    tries: Vec<u32>,
    outcomes: Vec<Outcome>,
    steps: u64,
}

pub fn run(deployment: &Deployment, script: &Script, is_capped: bool) -> Side {
    let mut naive = Naive::new(deployment, script, is_capped);
    let mut sampler = Sampler::default();
    let mut reclaim_failures = 0;
    let mut next = 0;
    let mut faults = script.faults.iter().peekable();
    let mut cancels: BTreeSet<(u64, usize)> = BTreeSet::new();
    for (index, arrival) in script.arrivals.iter().enumerate() {
        cancels.extend(arrival.cancel_at_ms.map(|at| (at, index)));
    }
    let mut at_ms = 0;
    loop {
        naive.end_due(at_ms);
        while let Some(fault) = faults.next_if(|(at, _)| *at <= at_ms) {
            naive.apply(&fault.1);
        }
        while next < script.arrivals.len() && script.arrivals[next].at_ms <= at_ms {
            naive.submit(next);
            next += 1;
        }
        while let Some((_, job)) = cancels.first().copied().filter(|(at, _)| *at <= at_ms) {
            cancels.pop_first();
            naive.cancel(job);
        }
        naive.place(at_ms);
        if at_ms.is_multiple_of(SAMPLE_MS) && at_ms <= script.end_ms {
            naive.sample(&mut sampler);
            reclaim_failures += u64::from(!naive.could_reclaim());
        }
        let is_idle =
            naive.running.is_empty() && naive.waiting.is_empty() && naive.retries.is_empty();
        if at_ms > script.end_ms && (is_idle || at_ms > script.end_ms + DRAIN_MS) {
            break;
        }
        let times = [
            (at_ms / SAMPLE_MS + 1) * SAMPLE_MS,
            script.arrivals.get(next).map_or(u64::MAX, |a| a.at_ms),
            cancels.first().map_or(u64::MAX, |(at, _)| *at),
            faults.peek().map_or(u64::MAX, |(at, _)| *at),
            naive
                .running
                .values()
                .map(|r| r.ends_at_ms)
                .min()
                .unwrap_or(u64::MAX),
        ];
        at_ms = times.into_iter().min().unwrap_or(u64::MAX).max(at_ms + 1);
    }
    Side {
        reclaim_failures,
        partial_gangs: 0,
        placement_steps: naive.steps,
        outcomes: naive.outcomes,
        sampler,
    }
}

impl<'a> Naive<'a> {
    fn new(deployment: &Deployment, script: &'a Script, is_capped: bool) -> Self {
        let mut workers = Vec::new();
        for (rack, row) in deployment.racks.iter().enumerate() {
            for accelerators in row {
                workers.push(Worker {
                    rack,
                    accelerators: *accelerators,
                    held: 0,
                    useful: 0,
                    is_down: false,
                    is_listed: true,
                    is_broken: false,
                });
            }
        }
        Self {
            script,
            workers,
            waiting: BTreeSet::new(),
            retries: BTreeSet::new(),
            running: BTreeMap::new(),
            next_start: 0,
            is_capped,
            tries: vec![0; script.arrivals.len()],
            outcomes: vec![Outcome::default(); script.arrivals.len()],
            steps: 0,
        }
    }

    fn submit(&mut self, job: usize) {
        if self.script.arrivals[job].fits_nowhere {
            self.outcomes[job].is_closed = true;
        } else {
            self.waiting.insert(job);
        }
    }

    fn cancel(&mut self, job: usize) {
        let is_open = !self.outcomes[job].is_closed && self.outcomes[job].finished_at_ms.is_none();
        if !is_open {
            return;
        }
        self.outcomes[job].is_closed = true;
        self.waiting.remove(&job);
        self.retries.retain(|(_, retried)| *retried != job);
        let ended: Vec<u64> = self.starts_of(|running| running.job == job);
        for start in ended {
            self.stop(start);
        }
    }

    fn starts_of(&self, holds: impl Fn(&Running) -> bool) -> Vec<u64> {
        let matching = self.running.iter().filter(|(_, running)| holds(running));
        matching.map(|(start, _)| *start).collect()
    }

    fn stop(&mut self, start: u64) -> Option<Running> {
        let running = self.running.remove(&start)?;
        for (worker, mask) in &running.parts {
            self.workers[*worker].held &= !mask;
            self.workers[*worker].useful &= !mask;
        }
        Some(running)
    }

    fn end_due(&mut self, at_ms: u64) {
        while let Some((_, job)) = self.retries.first().copied().filter(|(at, _)| *at <= at_ms) {
            self.retries.pop_first();
            self.waiting.insert(job);
        }
        for start in self.starts_of(|running| running.ends_at_ms <= at_ms) {
            let Some(running) = self.stop(start) else {
                continue;
            };
            // Members on a dead worker never report; the rack's end settles them.
            if running
                .parts
                .iter()
                .any(|(worker, _)| self.workers[*worker].is_down)
            {
                self.waiting.insert(running.job);
            } else if running.fails {
                self.tries[running.job] += 1;
                if self.tries[running.job] >= MAX_TRIES {
                    self.outcomes[running.job].is_closed = true;
                } else {
                    self.retries.insert((at_ms + RETRY_MS, running.job));
                }
            } else {
                self.outcomes[running.job].finished_at_ms = Some(running.ends_at_ms);
            }
        }
    }

    fn apply(&mut self, fault: &Fault) {
        match fault {
            Fault::Break(index) => self.workers[*index].is_broken = true,
            Fault::Mend(index) => self.workers[*index].is_broken = false,
            Fault::LoseRack(rack) => self.each_in(*rack, |worker| worker.is_down = true),
            Fault::ListRackAsGone(rack) => {
                self.each_in(*rack, |worker| worker.is_listed = false);
                let lost = self.starts_of(|running| {
                    let mut parts = running.parts.iter();
                    parts.any(|(worker, _)| !self.workers[*worker].is_listed)
                });
                for start in lost {
                    if let Some(running) = self.stop(start) {
                        self.waiting.insert(running.job);
                    }
                }
            }
            Fault::ReturnRack(rack) => self.each_in(*rack, |worker| {
                worker.is_down = false;
                worker.is_listed = true;
            }),
        }
    }

    fn each_in(&mut self, rack: usize, change: impl Fn(&mut Worker)) {
        self.workers
            .iter_mut()
            .filter(|w| w.rack == rack)
            .for_each(change);
    }

    fn place(&mut self, at_ms: u64) {
        let mut failed = BTreeSet::new();
        for job in self.waiting.clone() {
            let spec = &self.script.arrivals[job].spec;
            let (cells, size) = (spec.shape.cells, spec.shape.cell_accelerators);
            let key = (spec.customer.clone(), cells, size);
            if failed.contains(&key) {
                continue;
            }
            if self.is_capped && self.is_beyond_guarantee(job) {
                failed.insert(key);
                continue;
            }
            let Some(parts) = self.first_fit(cells, size) else {
                failed.insert(key);
                continue;
            };
            self.start(at_ms, job, parts);
        }
    }

    fn is_beyond_guarantee(&self, job: usize) -> bool {
        let spec = &self.script.arrivals[job].spec;
        let guaranteed: u32 = packing::guaranteed_to(&self.script.table, spec.customer.as_str())
            .iter()
            .sum();
        let own =
            |running: &&Running| self.script.arrivals[running.job].spec.customer == spec.customer;
        let held: u32 = self
            .running
            .values()
            .filter(own)
            .flat_map(|running| &running.parts)
            .map(|(_, mask)| mask.count_ones())
            .sum();
        held + spec.shape.cells * spec.shape.cell_accelerators > guaranteed
    }

    fn first_fit(&mut self, cells: u32, size: u32) -> Option<Vec<(usize, u32)>> {
        let mut free: Vec<u32> = self.workers.iter().map(free_mask).collect();
        let mut parts = Vec::new();
        for _ in 0..cells {
            let found = self.first_cell(&free, size)?;
            for (worker, mask) in &found {
                free[*worker] &= !mask;
            }
            parts.extend(found);
        }
        Some(parts)
    }

    fn first_cell(&mut self, free: &[u32], size: u32) -> Option<Vec<(usize, u32)>> {
        let need = (size / 8).max(1) as usize;
        let mut found: Vec<(usize, u32)> = Vec::new();
        for (worker, mask) in free.iter().enumerate() {
            self.steps += 1;
            if size <= 8 {
                let block = (1u32 << size) - 1;
                for start in (0..8).step_by(size as usize) {
                    if mask >> start & block == block {
                        return Some(vec![(worker, block << start)]);
                    }
                }
                continue;
            }
            let rack = self.workers[worker].rack;
            if found
                .first()
                .is_some_and(|(first, _)| self.workers[*first].rack != rack)
            {
                found.clear();
            }
            if *mask == 0xff {
                found.push((worker, 0xff));
            }
            if found.len() == need {
                return Some(found);
            }
        }
        None
    }

    fn start(&mut self, at_ms: u64, job: usize, parts: Vec<(usize, u32)>) {
        let actual_run = self.script.arrivals[job].actual_run;
        let is_broken = parts
            .iter()
            .any(|(worker, _)| self.workers[*worker].is_broken);
        let fails = actual_run.fails || is_broken;
        for (worker, mask) in &parts {
            self.workers[*worker].held |= mask;
            if !fails {
                self.workers[*worker].useful |= mask;
            }
        }
        let run_ms = if fails { FAIL_MS } else { actual_run.run_ms };
        self.waiting.remove(&job);
        self.outcomes[job].started_at_ms.get_or_insert(at_ms);
        let running = Running {
            job,
            parts,
            ends_at_ms: at_ms + run_ms,
            fails,
        };
        self.running.insert(self.next_start, running);
        self.next_start += 1;
    }

    fn sample(&self, sampler: &mut Sampler) {
        let sample = |worker: &Worker| WorkerSample {
            rack: worker.rack,
            accelerators: worker.accelerators,
            held: if worker.is_down { 0 } else { worker.held },
            useful: if worker.is_down { 0 } else { worker.useful },
            is_up: !worker.is_down,
        };
        let workers: Vec<WorkerSample> = self.workers.iter().map(sample).collect();
        sampler.sample(&workers, packing::largest(&self.script.table));
    }

    /// Whether all unused guaranteed shapes pack into what is free, as nothing is ever called back.
    fn could_reclaim(&self) -> bool {
        let mut used: BTreeMap<&str, Vec<u32>> = BTreeMap::new();
        for running in self.running.values() {
            let spec = &self.script.arrivals[running.job].spec;
            let cells = vec![spec.shape.cell_accelerators; spec.shape.cells as usize];
            used.entry(spec.customer.as_str())
                .or_default()
                .extend(cells);
        }
        let mut unused = Vec::new();
        for row in &self.script.table.customers {
            let customer = row.customer.as_str();
            let guaranteed = packing::guaranteed_to(&self.script.table, customer);
            let own = used.get(customer).cloned().unwrap_or_default();
            unused.extend(packing::left_of(&guaranteed, &own).unwrap_or_default());
        }
        let free: Vec<(usize, u32)> = self
            .workers
            .iter()
            .map(|w| (w.rack, free_mask(w)))
            .collect();
        packing::packs(&unused, &free)
    }
}

fn free_mask(worker: &Worker) -> u32 {
    if worker.is_listed {
        ((1u32 << worker.accelerators) - 1) & !worker.held
    } else {
        0
    }
}
