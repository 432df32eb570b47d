//! Seeded arrivals and faults, the same for both policies.

use ragwortwick_border::{JobSubmit, Table};
use ragwortwick_core::DurationMs;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::deployment::{ClassLoad, Deployment};
use crate::fake_zone::{ActualRun, job};

/// `Arrival` is one job and how it actually runs.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at_ms: u64,
    pub spec: JobSubmit,
    pub actual_run: ActualRun,
    /// Caller cancels then, if it is not finished.
    pub cancel_at_ms: Option<u64>,
    pub is_urgent: bool,
    pub fits_nowhere: bool,
}

/// `Fault` happens to workers, by their index in the zone.
#[derive(Clone, Debug)]
pub enum Fault {
    Break(usize),
    Mend(usize),
    LoseRack(usize),
    ListRackAsGone(usize),
    ReturnRack(usize),
}

/// `Script` is all that happens in one run.
#[derive(Clone, Debug)]
pub struct Script {
    pub arrivals: Vec<Arrival>,
    pub faults: Vec<(u64, Fault)>,
    pub end_ms: u64,
    pub table: Table,
}

const HOUR_MS: u64 = 3_600_000;

pub fn script(deployment: &Deployment, seed: u64, hours: u64) -> Script {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let end_ms = hours * HOUR_MS;
    let mut arrivals = Vec::new();
    for load in &deployment.loads {
        add_class(&mut rng, load, end_ms, &mut arrivals);
    }
    add_hopeless(&mut rng, deployment, end_ms, &mut arrivals);
    arrivals.sort_by_key(|arrival| arrival.at_ms);
    for (number, arrival) in arrivals.iter_mut().enumerate() {
        arrival.spec.job_id = Some(format!("j{number:05}").as_str().into());
    }
    cancel_waves(&mut rng, end_ms, &mut arrivals);
    Script {
        faults: faults(&mut rng, end_ms),
        arrivals,
        end_ms,
        table: deployment.table.clone(),
    }
}

fn add_class(rng: &mut Pcg64Mcg, load: &ClassLoad, end_ms: u64, arrivals: &mut Vec<Arrival>) {
    let mut at_ms = 0;
    loop {
        // Exponential gaps; one arrival in eight brings a burst.
        let gap = -rng.random::<f64>().max(1e-9).ln() * load.gap_ms;
        at_ms += whole_ms(gap);
        if at_ms >= end_ms {
            return;
        }
        let is_burst = !load.is_urgent && rng.random_range(0..8) == 0;
        let jobs = if is_burst { rng.random_range(3..8) } else { 1 };
        for _ in 0..jobs {
            let spread_ms = rng.random_range(0..5_000);
            arrivals.push(arrival(rng, load, at_ms + spread_ms));
        }
    }
}

fn arrival(rng: &mut Pcg64Mcg, load: &ClassLoad, at_ms: u64) -> Arrival {
    let (cells, size) = load.shapes[rng.random_range(0..load.shapes.len())];
    let run_ms = load.run_ms * rng.random_range(0.3..2.0);
    // Run time declared off by up to four times; an understated size makes the work take longer.
    let run_error = 4f64.powf(rng.random_range(-1.0..1.0));
    let size_error = 4f64.powf(rng.random_range(-0.5..0.5));
    let mut spec = job("j", load.customer, load.class, cells, size);
    spec.run_time_estimate_ms = DurationMs(whole_ms(run_ms * run_error));
    spec.deadline_ms = Some(DurationMs(whole_ms(load.deadline_ms)));
    let fails = !load.is_urgent && rng.random_range(0..60) == 0;
    Arrival {
        at_ms,
        spec,
        actual_run: ActualRun {
            run_ms: whole_ms(run_ms * size_error).max(1_000),
            fails,
        },
        cancel_at_ms: None,
        is_urgent: load.is_urgent,
        fits_nowhere: false,
    }
}

fn add_hopeless(
    rng: &mut Pcg64Mcg,
    deployment: &Deployment,
    end_ms: u64,
    arrivals: &mut Vec<Arrival>,
) {
    for _ in 0..3 {
        let at_ms = rng.random_range(0..end_ms);
        let mut hopeless = arrival(rng, &deployment.loads[0], at_ms);
        hopeless.spec.shape.cells = 20;
        hopeless.spec.shape.cell_accelerators = 64;
        hopeless.fits_nowhere = true;
        hopeless.is_urgent = false;
        arrivals.push(hopeless);
    }
}

fn cancel_waves(rng: &mut Pcg64Mcg, end_ms: u64, arrivals: &mut [Arrival]) {
    for _ in 0..2 {
        let at_ms = rng.random_range(end_ms / 4..end_ms);
        for arrival in arrivals.iter_mut() {
            let is_recent = arrival.at_ms < at_ms && arrival.at_ms + HOUR_MS / 3 > at_ms;
            if is_recent && !arrival.is_urgent && rng.random_range(0..3) == 0 {
                arrival.cancel_at_ms.get_or_insert(at_ms);
            }
        }
    }
}

fn faults(rng: &mut Pcg64Mcg, end_ms: u64) -> Vec<(u64, Fault)> {
    let mut faults = Vec::new();
    for _ in 0..2 {
        let worker = rng.random_range(0..50);
        let at_ms = rng.random_range(0..end_ms * 3 / 4);
        faults.push((at_ms, Fault::Break(worker)));
        faults.push((at_ms + end_ms / 6, Fault::Mend(worker)));
    }
    let rack = rng.random_range(0..6);
    let at_ms = rng.random_range(end_ms / 4..end_ms * 3 / 4);
    faults.push((at_ms, Fault::LoseRack(rack)));
    faults.push((at_ms + 3_000, Fault::ListRackAsGone(rack)));
    faults.push((at_ms + end_ms / 8, Fault::ReturnRack(rack)));
    faults.sort_by_key(|(at_ms, _)| *at_ms);
    faults
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "spans of a run are positive and far below 2^53 ms"
)]
fn whole_ms(ms: f64) -> u64 {
    ms as u64
}
