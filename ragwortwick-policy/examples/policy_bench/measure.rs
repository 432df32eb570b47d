//! The figures of one side, measured the same way for both policies.

use std::collections::BTreeMap;

use serde::Serialize;

use crate::arrivals::{Arrival, Script};
use crate::packing;

/// `Outcome` is what became of one arrival.
#[derive(Clone, Copy, Debug, Default)]
pub struct Outcome {
    pub started_at_ms: Option<u64>,
    pub finished_at_ms: Option<u64>,
    /// It was refused, cancelled or stopped as failing, and its caller was told.
    pub is_closed: bool,
}

/// `Sampler` adds up what the workers hold over time.
#[derive(Clone, Debug, Default)]
pub struct Sampler {
    samples: u64,
    fragmentation: f64,
    utilisation: f64,
}

/// `WorkerSample` is one worker at one instant.
#[derive(Clone, Copy, Debug)]
pub struct WorkerSample {
    pub rack: usize,
    pub accelerators: u32,
    pub held: u32,
    /// Accelerators under work that is not going to fail.
    pub useful: u32,
    pub is_up: bool,
}

impl Sampler {
    pub fn sample(&mut self, workers: &[WorkerSample], largest: u32) {
        let mut free = 0;
        let mut all = 0;
        let mut useful = 0;
        let mut whole: BTreeMap<usize, u32> = BTreeMap::new();
        for worker in workers {
            all += worker.accelerators;
            useful += worker.useful.count_ones();
            if !worker.is_up {
                continue;
            }
            let idle = worker.accelerators - worker.held.count_ones();
            free += idle;
            *whole.entry(worker.rack).or_insert(0) += u32::from(worker.held == 0);
        }
        let usable: u32 = whole
            .values()
            .map(|blocks| blocks / (largest / 8) * largest)
            .sum();
        self.samples += 1;
        if free > 0 {
            self.fragmentation += f64::from(free - usable) / f64::from(free);
        }
        self.utilisation += f64::from(useful) / f64::from(all);
    }
}

/// `Figures` is one side of the bench's answer.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Figures {
    pub completion_mean_s: f64,
    pub completion_p99_s: f64,
    pub urgent_start_p99_s: f64,
    pub urgent_missed: u64,
    pub deadline_met_ratio: f64,
    pub fragmentation: f64,
    pub utilisation: f64,
    pub reclaim_failures: u64,
    pub partial_gangs: u64,
    pub lost_jobs: u64,
    pub placement_steps: u64,
    pub by_class: BTreeMap<String, ClassFigures>,
}

/// `ClassFigures` is completion of one customer and class.
#[derive(Clone, Debug, Default, Serialize)]
pub struct ClassFigures {
    pub jobs: u64,
    pub completion_mean_s: f64,
    pub completion_p99_s: f64,
}

/// `Side` is what one policy made of a script.
#[derive(Clone, Debug)]
pub struct Side {
    pub outcomes: Vec<Outcome>,
    pub sampler: Sampler,
    pub reclaim_failures: u64,
    pub partial_gangs: u64,
    pub placement_steps: u64,
}

/// `figures` sums one side up; completion is over the jobs that both sides finished.
///
/// A side that dropped its slow jobs would otherwise look fast.
pub fn figures(script: &Script, side: &Side, other: &Side) -> Figures {
    let (outcomes, sampler) = (&side.outcomes, &side.sampler);
    let mut figures = Figures {
        urgent_missed: packing::urgent_missed(script, outcomes),
        reclaim_failures: side.reclaim_failures,
        partial_gangs: side.partial_gangs,
        placement_steps: side.placement_steps,
        ..Figures::default()
    };
    let mut by_class: BTreeMap<String, Vec<f64>> = BTreeMap::new();
    let mut all = Vec::new();
    let mut urgent_starts = Vec::new();
    let mut met = 0.0;
    for (index, arrival) in script.arrivals.iter().enumerate() {
        let outcome = &outcomes[index];
        let is_in_both = other.outcomes[index].finished_at_ms.is_some();
        if arrival.is_urgent {
            let started = outcome.started_at_ms;
            let wait_s = started.map(|at| seconds(at - arrival.at_ms));
            urgent_starts.push((wait_s.unwrap_or(f64::MAX), 1.0));
        }
        if let Some(finished) = outcome.finished_at_ms {
            if !is_in_both {
                continue;
            }
            let span_s = seconds(finished - arrival.at_ms);
            all.push((span_s, weight_of(script, arrival)));
            let class = format!("{}/{}", arrival.spec.customer, arrival.spec.class);
            by_class.entry(class).or_default().push(span_s);
            let deadline = arrival.spec.deadline_ms.map_or(u64::MAX, |span| span.0);
            met += f64::from(u8::from(finished - arrival.at_ms <= deadline));
        } else if is_lost(arrival, outcome) {
            figures.lost_jobs += 1;
        }
    }
    let weight_sum: f64 = all.iter().map(|(_, w)| w).sum();
    figures.completion_mean_s = all.iter().map(|(s, w)| s * w).sum::<f64>() / weight_sum.max(1e-9);
    figures.completion_p99_s = percentile_99(&mut all);
    figures.urgent_start_p99_s = percentile_99(&mut urgent_starts);
    figures.deadline_met_ratio = met / count(all.len()).max(1.0);
    let sample_count = count(usize::try_from(sampler.samples).unwrap_or(1)).max(1.0);
    figures.fragmentation = sampler.fragmentation / sample_count;
    figures.utilisation = sampler.utilisation / sample_count;
    figures.by_class = by_class
        .into_iter()
        .map(|(k, v)| (k, class_figures(v)))
        .collect();
    figures
}

/// A job is lost if it never ended, or was given up although it can run and nobody cancelled it.
fn is_lost(arrival: &Arrival, outcome: &Outcome) -> bool {
    let can_run = !arrival.actual_run.fails && !arrival.fits_nowhere;
    !outcome.is_closed || (can_run && arrival.cancel_at_ms.is_none())
}

fn class_figures(spans: Vec<f64>) -> ClassFigures {
    let mut weighted: Vec<(f64, f64)> = spans.into_iter().map(|span| (span, 1.0)).collect();
    let total: f64 = weighted.iter().map(|(span, _)| span).sum();
    ClassFigures {
        jobs: weighted.len() as u64,
        completion_mean_s: total / count(weighted.len()).max(1.0),
        completion_p99_s: percentile_99(&mut weighted),
    }
}

/// The deployment weighs a completion by its class.
fn weight_of(script: &Script, arrival: &Arrival) -> f64 {
    script
        .table
        .classes
        .iter()
        .find(|row| row.customer == arrival.spec.customer && row.class == arrival.spec.class)
        .map_or(1.0, |row| row.weight)
}

fn percentile_99(values: &mut [(f64, f64)]) -> f64 {
    values.sort_by(|a, b| a.0.total_cmp(&b.0));
    let all: f64 = values.iter().map(|(_, weight)| weight).sum();
    let mut seen = 0.0;
    for (value, weight) in values.iter() {
        seen += weight;
        if seen >= all * 0.99 {
            return *value;
        }
    }
    0.0
}

fn seconds(ms: u64) -> f64 {
    std::time::Duration::from_millis(ms).as_secs_f64()
}

fn count(items: usize) -> f64 {
    f64::from(u32::try_from(items).unwrap_or(u32::MAX))
}
