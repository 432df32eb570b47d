//! The project's placer on a script, against fake workers with a virtual clock.

use std::collections::{BTreeMap, BTreeSet};

use ragwortwick_border::JobPhase;
use ragwortwick_core::{GangId, JobId, TimeMs, WorkerName};
use ragwortwick_policy::ZoneNotice;

use crate::arrivals::{Fault, Script};
use crate::deployment::Deployment;
use crate::fake_zone::FakeZone;
use crate::measure::{Outcome, Sampler, Side, WorkerSample};
use crate::packing;

const SAMPLE_MS: u64 = 10_000;

/// Time after the last arrival in which the rest must finish.
const DRAIN_MS: u64 = 24 * 3_600_000;

/// A gang is partial if it is seen so in this many samples in a row.
///
/// A dead member is noticed within 14 s; a gang that stays partial longer is a fault.
const PARTIAL_SAMPLES: u32 = 3;

pub fn run(deployment: &Deployment, script: &Script) -> Side {
    let racks: Vec<&[u32]> = deployment.racks.iter().map(Vec::as_slice).collect();
    let mut zone = FakeZone::started(&racks, script.table.clone());
    let start_ms = zone.now.0;
    let names: Vec<WorkerName> = zone.workers.keys().cloned().collect();
    let mut run = Run::default();
    let mut arrivals = script.arrivals.iter().peekable();
    let mut cancels = cancels_of(script);
    let mut faults = script.faults.iter().peekable();
    let mut at_ms = 0;
    loop {
        while let Some(fault) = faults.next_if(|(at, _)| *at <= at_ms) {
            apply(&mut zone, &names, &fault.1);
        }
        while let Some(arrival) = arrivals.next_if(|arrival| arrival.at_ms <= at_ms) {
            zone.submit_job(arrival.spec.clone(), arrival.actual_run);
        }
        while cancels.first().is_some_and(|(at, _)| *at <= at_ms) {
            if let Some((_, job_id)) = cancels.pop_first() {
                zone.cancel(&job_id);
            }
        }
        if at_ms.is_multiple_of(SAMPLE_MS) && at_ms <= script.end_ms {
            run.sample(&mut zone, script);
        }
        let is_over = at_ms > script.end_ms && zone.records.values().all(|r| is_closed(r.phase));
        if is_over || at_ms > script.end_ms + DRAIN_MS {
            break;
        }
        let next_sample = (at_ms / SAMPLE_MS + 1) * SAMPLE_MS;
        let next_arrival = arrivals.peek().map_or(u64::MAX, |arrival| arrival.at_ms);
        let next_cancel = cancels.first().map_or(u64::MAX, |(at, _)| *at);
        let next_fault = faults.peek().map_or(u64::MAX, |(at, _)| *at);
        at_ms = next_sample
            .min(next_arrival)
            .min(next_cancel)
            .min(next_fault);
        zone.run_until(TimeMs(start_ms + at_ms));
    }
    run.close(&zone, script, start_ms)
}

#[derive(Default)]
struct Run {
    sampler: Sampler,
    partial: BTreeMap<GangId, u32>,
    partial_gangs: BTreeSet<GangId>,
    reclaim_failures: u64,
}

impl Run {
    fn sample(&mut self, zone: &mut FakeZone, script: &Script) {
        let seen = zone.partial_gangs();
        self.partial.retain(|gang_id, _| seen.contains(gang_id));
        for gang_id in seen {
            let count = self.partial.entry(gang_id.clone()).or_insert(0);
            *count += 1;
            if *count >= PARTIAL_SAMPLES {
                self.partial_gangs.insert(gang_id);
            }
        }
        let mut workers = Vec::new();
        for worker in zone.workers.values() {
            let active = worker.gangs.values().filter(|held| !held.is_ended());
            let useful = worker.gangs.values().filter(|held| held.is_active());
            workers.push(WorkerSample {
                rack: packing::rack_number(worker.rack.as_str()),
                accelerators: worker.accelerators,
                held: active.fold(0, |mask, held| mask | held.mask),
                useful: useful
                    .filter(|held| !held.fails)
                    .fold(0, |mask, held| mask | held.mask),
                is_up: !worker.is_down,
            });
        }
        self.sampler
            .sample(&workers, packing::largest(&script.table));
        let audit = zone.placer.audit_guarantees();
        let sizes: Vec<u32> = audit.unused.iter().map(|cell| cell.size).collect();
        let free: Vec<(usize, u32)> = audit
            .workers
            .iter()
            .map(|w| (w.rack, w.reclaimable))
            .collect();
        if !packing::packs(&sizes, &free) || !audit.violations.is_empty() {
            self.reclaim_failures += 1;
        }
    }

    fn close(self, zone: &FakeZone, script: &Script, start_ms: u64) -> Side {
        let mut finished: BTreeMap<&JobId, u64> = BTreeMap::new();
        for (at, record) in &zone.writes {
            if record.phase == JobPhase::Finished {
                finished.insert(&record.job_id, at.0 - start_ms);
            }
        }
        let mut outcomes = Vec::new();
        for arrival in &script.arrivals {
            let Some(job_id) = &arrival.spec.job_id else {
                continue;
            };
            let record = zone.records.get(job_id);
            outcomes.push(Outcome {
                started_at_ms: zone
                    .starts
                    .get(job_id)
                    .and_then(|starts| starts.first())
                    .map(|(at, _)| at.0 - start_ms),
                finished_at_ms: finished.get(job_id).copied(),
                is_closed: record.is_some_and(|record| is_closed(record.phase)),
            });
        }
        let late_reclaims = zone.notices.iter().filter(|(_, notice)| {
            matches!(notice, ZoneNotice::Reclaimed { reclaim_ms, .. } if reclaim_ms.0 > 5_000)
        });
        let late_reclaims = late_reclaims.count() as u64;
        Side {
            reclaim_failures: self.reclaim_failures + late_reclaims,
            partial_gangs: self.partial_gangs.len() as u64,
            placement_steps: zone.placer.placement_steps(),
            outcomes,
            sampler: self.sampler,
        }
    }
}

fn cancels_of(script: &Script) -> BTreeSet<(u64, JobId)> {
    let mut cancels = BTreeSet::new();
    for arrival in &script.arrivals {
        if let (Some(at), Some(job_id)) = (arrival.cancel_at_ms, &arrival.spec.job_id) {
            cancels.insert((at, job_id.clone()));
        }
    }
    cancels
}

fn apply(zone: &mut FakeZone, names: &[WorkerName], fault: &Fault) {
    let rack_of = |rack: &usize| {
        names
            .iter()
            .skip(rack * 8)
            .take(8)
            .cloned()
            .collect::<Vec<_>>()
    };
    match fault {
        Fault::Break(index) => zone.break_worker(&names[*index], true),
        Fault::Mend(index) => zone.break_worker(&names[*index], false),
        Fault::LoseRack(rack) => rack_of(rack).iter().for_each(|name| zone.kill(name)),
        Fault::ListRackAsGone(rack) => rack_of(rack).iter().for_each(|name| zone.unlist(name)),
        Fault::ReturnRack(rack) => rack_of(rack).iter().for_each(|name| zone.revive(name)),
    }
}

fn is_closed(phase: JobPhase) -> bool {
    matches!(
        phase,
        JobPhase::Finished | JobPhase::Failed | JobPhase::Cancelled | JobPhase::MayHaveRun
    )
}
