//! How soon and how well the speeds of workers are learned from short steps.

use ragwortwick_core::{DurationMs, JobId, TimeMs, WorkerName};
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;

use crate::job::TaskId;
use crate::speed::SpeedEstimate;
use crate::speed_model::{ObservedDuration, SpeedModel};

/// A pool whose workers take these times as long as normal ones, in turn.
struct Pool {
    factors: Vec<f64>,
    random: Pcg64,
    model: SpeedModel,
    now: TimeMs,
    steps: u32,
}

fn name(index: usize) -> WorkerName {
    WorkerName::new(format!("w{index}"))
}

impl Pool {
    fn new(workers: usize, factors: &[f64]) -> Self {
        let factors = factors.iter().copied().cycle().take(workers).collect();
        Self {
            factors,
            random: Pcg64::seed_from_u64(11),
            model: SpeedModel::default(),
            now: TimeMs(1_000),
            steps: 0,
        }
    }

    /// Runs a gang on random workers; its progress is reported in whole per cent.
    fn run_gang(&mut self, members: usize) {
        let indexes: Vec<usize> = (0..self.factors.len()).collect();
        let chosen: Vec<usize> = indexes
            .choose_multiple(&mut self.random, members)
            .copied()
            .collect();
        self.run_on(&chosen, true);
    }

    fn run_on(&mut self, workers: &[usize], is_gang: bool) {
        self.steps += 1;
        let work_ms = self.random.random_range(1_500.0..9_000.0);
        for (index, &worker) in (0..).zip(workers) {
            let spread = if is_gang {
                1.0
            } else {
                self.random.random_range(0.6..1.6)
            };
            let total_ms = work_ms * spread * self.factors[worker];
            let span_ms = (total_ms * 0.4).floor();
            let task = TaskId {
                job_id: JobId::new(format!("{:016x}", self.steps)),
                occurrence: 0,
                step: 0,
                index,
            };
            let observed = ObservedDuration::Progress {
                span_ms: DurationMs(to_u64(span_ms)),
                percent: 40,
            };
            self.model
                .observe(self.now, &name(worker), &task, 1, is_gang, observed);
        }
        self.now = self.now + DurationMs(100);
        self.model.update(self.now);
    }

    /// Share of the workers whose estimate is within a tenth of the truth.
    fn share_within_a_tenth(&self) -> f64 {
        let normal = self.factors.iter().map(|factor| factor.ln()).sum::<f64>();
        let normal = normal / to_f64(self.factors.len());
        let right = (0..self.factors.len()).filter(|&index| {
            let estimate = self.model.speed_of(&name(index)).log_ratio;
            (estimate - (self.factors[index].ln() - normal)).abs() <= 0.1
        });
        to_f64(right.count()) / to_f64(self.factors.len())
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "spans are small and not negative"
)]
fn to_u64(number: f64) -> u64 {
    number as u64
}

#[expect(clippy::cast_precision_loss, reason = "counts are small")]
fn to_f64(number: usize) -> f64 {
    number as f64
}

/// Load: gangs of five on a third each of fast, normal and slow workers, each worker in four gangs.
#[test]
fn verify_speeds_are_learned_from_gangs_on_random_workers() {
    let mut pool = Pool::new(60, &[0.6, 1.0, 1.6]);
    for _ in 0..48 {
        pool.run_gang(5);
    }
    assert!(pool.model.is_uneven());
    let share = pool.share_within_a_tenth();
    assert!(share >= 0.9, "{share}");
}

/// Guards against a step that ran on slow workers alone and is taken for the norm.
#[test]
fn verify_a_step_on_slow_workers_alone_makes_none_of_them_fast() {
    let mut pool = Pool::new(60, &[0.6, 1.0, 1.6]);
    for _ in 0..48 {
        pool.run_gang(5);
    }
    let slow: Vec<usize> = (0..60).filter(|index| index % 3 == 2).collect();
    for _ in 0..20 {
        pool.run_on(&slow[..8], true);
    }
    let estimates = slow[..8]
        .iter()
        .map(|&index| pool.model.speed_of(&name(index)));
    assert!(
        estimates
            .into_iter()
            .all(|estimate| estimate.log_ratio > 0.25)
    );
}

/// Guards against differences that are seen where there are none: tasks differ, workers don't.
#[test]
fn verify_equal_workers_count_as_even() {
    let mut pool = Pool::new(60, &[1.0]);
    for round in 0..200 {
        pool.run_gang(5);
        let workers: Vec<usize> = (0..12)
            .map(|offset| (round * 7 + offset * 5) % 60)
            .collect();
        pool.run_on(&workers, false);
        assert!(!pool.model.is_uneven(), "after {round} rounds");
    }
}

/// Guards against a worker that is slow for a moment and is avoided for good.
#[test]
fn verify_a_passing_fault_is_forgotten() {
    let mut pool = Pool::new(30, &[1.0]);
    for _ in 0..40 {
        pool.run_gang(5);
    }
    pool.factors[0] = 6.5;
    pool.run_on(&[0, 1, 2, 3, 4], true);
    pool.factors[0] = 1.0;
    for _ in 0..120 {
        pool.run_gang(5);
    }
    let estimate = pool.model.speed_of(&name(0));
    assert!(estimate.log_ratio.abs() <= 0.15, "{estimate:?}");
}

/// Guards against a fast member that waits for its gang and is taken for as slow as the gang.
#[test]
fn verify_a_bound_never_makes_a_worker_slower() {
    let mut pool = Pool::new(30, &[0.6, 1.0, 1.6]);
    for _ in 0..40 {
        pool.run_gang(5);
    }
    let before = pool.model.speed_of(&name(0));
    let task = |index| TaskId {
        job_id: JobId::new("ff"),
        occurrence: 0,
        step: 0,
        index,
    };
    let slow = ObservedDuration::Progress {
        span_ms: DurationMs(4_000),
        percent: 50,
    };
    pool.model
        .observe(pool.now, &name(2), &task(0), 1, true, slow);
    let waited = ObservedDuration::AtMost(DurationMs(8_000));
    pool.model
        .observe(pool.now, &name(0), &task(1), 1, true, waited);
    pool.now = pool.now + DurationMs(1_000);
    pool.model.update(pool.now);
    let after = pool.model.speed_of(&name(0));
    assert!(
        after.log_ratio <= before.log_ratio + 0.02,
        "{before:?} {after:?}"
    );
}

/// Guards against a takeover that begins to learn from nothing.
#[test]
fn verify_restored_speeds_count_until_they_are_contradicted() {
    let mut pool = Pool::new(60, &[0.6, 1.0, 1.6]);
    for _ in 0..48 {
        pool.run_gang(5);
    }
    let known: Vec<(WorkerName, SpeedEstimate)> = pool
        .model
        .known()
        .map(|(worker, speed)| (worker.clone(), speed))
        .collect();
    let mut successor = SpeedModel::default();
    for (worker, speed) in known {
        successor.restore(&worker, speed);
    }
    assert!(successor.is_uneven());
    pool.model = successor;
    assert!(pool.share_within_a_tenth() >= 0.9);
}

/// Guards against a record of all workers every few seconds, while nothing is learned any more.
#[test]
fn verify_speeds_that_are_known_are_not_recorded_again() {
    let mut pool = Pool::new(60, &[0.6, 1.0, 1.6]);
    let mut records = Vec::new();
    for _ in 0..30 {
        for _ in 0..25 {
            pool.run_gang(5);
        }
        records.push(pool.model.take_change());
    }
    assert!(records[0]);
    let late = records[10..].iter().filter(|is_due| **is_due).count();
    assert!(late <= 2, "{records:?}");
}
