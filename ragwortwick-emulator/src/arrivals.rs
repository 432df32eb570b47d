//! Submitted jobs, drawn from a seed and a workload.

use std::sync::Arc;

use ragwortwick_area::{
    AdvisorTiming, Customer, DesiredState, JobRecord, Queue, QueuePolicy, Resources, Schedule,
    StepSpec,
};
use ragwortwick_core::{ClassName, CustomerName, DurationMs, JobId, PoolName, TimeMs};
use rand::Rng;
use rand_distr::{Distribution, LogNormal};
use rand_pcg::Pcg64Mcg;

use crate::workload::{QueueWorkload, Workload};

/// Pool of all workers.
pub(crate) const POOL: &str = "booking";

/// How long the advisor's tickets are valid.
pub(crate) const TICKET_MS: DurationMs = DurationMs(3_000);

/// `Arrival` is one submitted job with its predetermined behaviour.
#[derive(Clone, Debug)]
pub(crate) struct Arrival {
    pub(crate) at: TimeMs,
    pub(crate) record: Arc<JobRecord>,
    pub(crate) cancel_at: Option<TimeMs>,
    /// True duration of a task at normal speed, by step.
    pub(crate) work_ms: Vec<DurationMs>,
    /// Probability that a run fails.
    pub(crate) failure_probability: f64,
    /// Task that crashes its workers, if any.
    pub(crate) crashing_task: Option<CrashingTask>,
}

/// `CrashingTask` is a task that crashes each worker that starts it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CrashingTask {
    /// Its index in the first step.
    pub(crate) index: u32,
    /// Time from a start to the crash.
    pub(crate) after_ms: u64,
}

/// `Arrivals` lists the submitted jobs in order of time.
#[derive(Clone, Debug)]
pub struct Arrivals {
    pub(crate) jobs: Vec<Arrival>,
}

impl Arrivals {
    /// `draw` draws the jobs of one simulation.
    #[must_use]
    pub fn draw(seed: u64, workload: &Workload, racks: u32) -> Self {
        let mut rng = Pcg64Mcg::new(u128::from(seed) << 1 | 1);
        let mut jobs = Vec::new();
        for queue in &workload.queues {
            let mut at = 0.0;
            loop {
                let gap: f64 = rng.random_range(0.0..2.0);
                let per_s = queue.arrivals_per_s * workload.rate_factor_at(&queue.name, at);
                at += gap * 1_000.0 / per_s.max(0.001);
                if at >= as_float(workload.duration_ms.0) {
                    break;
                }
                jobs.push(draw_job(
                    &mut rng,
                    queue,
                    TimeMs(truncate(at)),
                    workload,
                    racks,
                ));
            }
        }
        jobs.sort_by_key(|job| (job.at, job.record.job_id.clone()));
        draw_crashing_tasks(seed, workload.crashing_share, &mut jobs);
        Self { jobs }
    }
}

/// Draws the tasks that crash their workers, with a separate generator so that the jobs don't change.
fn draw_crashing_tasks(seed: u64, share: f64, jobs: &mut [Arrival]) {
    let mut rng = Pcg64Mcg::new(u128::from(seed) << 16 | 0xc4);
    for job in jobs {
        let is_crashing = rng.random_bool(share);
        let tasks = job.record.steps.first().map_or(0, |step| step.count);
        job.crashing_task = (is_crashing && tasks > 0).then(|| CrashingTask {
            index: rng.random_range(0..tasks),
            after_ms: if rng.random_bool(0.25) {
                rng.random_range(10..2_000)
            } else {
                10
            },
        });
    }
}

fn draw_job(
    rng: &mut Pcg64Mcg,
    queue: &QueueWorkload,
    at: TimeMs,
    workload: &Workload,
    racks: u32,
) -> Arrival {
    let job_id = JobId::new(format!("{:016x}", rng.random::<u64>()));
    let step_count = 1 + usize::from(rng.random_bool(queue.second_step_share));
    let mut steps = Vec::new();
    let mut work_ms = Vec::new();
    for number in 0..step_count {
        let true_ms = queue.mean_work_ms * rng.random_range(0.5..1.6);
        let estimate_ms = true_ms * draw_estimate_factor(rng, queue);
        work_ms.push(DurationMs(truncate(true_ms)));
        let accelerators = queue.accelerators[rng.random_range(0..queue.accelerators.len())];
        let width = draw_width(rng, queue);
        let is_gang = rng.random_bool(queue.gang_share);
        let has_label = rng.random_bool(queue.labelled_share);
        steps.push(StepSpec {
            count: width,
            need: Resources {
                cpu_millis: queue.need.cpu_millis,
                memory_mb: queue.need.memory_mb,
                accelerators,
            },
            estimate_ms: DurationMs(truncate(estimate_ms)),
            after: if number > 0 { vec![0] } else { Vec::new() },
            is_gang,
            wants_same_rack: is_gang
                && rng.random_bool(queue.same_rack_share)
                && u64::from(width) * accelerators <= queue.max_in_rack,
            required_label: has_label.then(|| "a".into()),
            data_rack: (!is_gang && rng.random_bool(0.1)).then(|| {
                format!("r{}", rng.random_range(0..racks.max(1)))
                    .as_str()
                    .into()
            }),
            max_per_worker: rng.random_bool(queue.spread_share).then_some(2),
            saves_checkpoints: rng.random_bool(queue.checkpointing_share),
            ..StepSpec::default()
        });
    }
    let schedule = rng.random_bool(queue.scheduled_share).then(|| Schedule {
        first_unix_ms: at + DurationMs(1_500),
        interval_ms: DurationMs(2_500),
        occurrences: rng.random_range(1..4),
    });
    let cancel_at = rng
        .random_bool(workload.cancelled_share)
        .then(|| at + DurationMs(rng.random_range(1..workload.cancelled_within_ms.0)));
    let customer = customer_name(rng.random_range(0..workload.guaranteed_shares.len()));
    let payload = format!("payload of {job_id}");
    Arrival {
        at,
        record: Arc::new(JobRecord {
            job_id,
            queue: ClassName::new(&queue.name),
            policy: queue_policy(queue),
            customer,
            payload: Arc::from(payload),
            steps,
            schedule,
            accepted_unix_ms: at,
        }),
        cancel_at,
        work_ms,
        failure_probability: if rng.random_bool(0.03) {
            1.0
        } else {
            workload.failing_share
        },
        crashing_task: None,
    }
}

fn queue_policy(queue: &QueueWorkload) -> QueuePolicy {
    let advice = AdvisorTiming {
        answer_ms: DurationMs(40),
        per_worker_ms: DurationMs(3),
        valid_ms: TICKET_MS,
    };
    QueuePolicy {
        pool: PoolName::new(POOL),
        priority: queue.priority,
        attempts: queue.attempts,
        stretch: queue.stretch,
        target_latency_ms: queue.target_latency_ms,
        advice: queue.needs_advice.then_some(advice),
    }
}

/// Returns the desired state of the installation.
pub(crate) fn desired_state(workload: &Workload, accelerators: u64) -> DesiredState {
    let queues = workload.queues.iter().map(|queue| {
        let name = &queue.name;
        let desired_queue = Queue {
            host: "jobs.example".into(),
            path_prefix: format!("/{name}/").into(),
            policy: queue_policy(queue),
            is_public: false,
        };
        (ClassName::new(name), desired_queue)
    });
    let shares = workload.guaranteed_shares.iter().enumerate();
    let customers = shares.map(|(number, share)| {
        let customer = Customer {
            api_keys: Vec::new(),
            guaranteed_accelerators: truncate(as_float(accelerators) * share),
        };
        (customer_name(number), customer)
    });
    DesiredState {
        version: 1,
        queues: queues.collect(),
        customers: customers.collect(),
        max_body_bytes: None,
    }
}

fn customer_name(number: usize) -> CustomerName {
    CustomerName::new(format!("customer-{number}"))
}

/// Draws the ratio of a customer's estimate to the true duration.
fn draw_estimate_factor(rng: &mut Pcg64Mcg, queue: &QueueWorkload) -> f64 {
    if queue.estimate_sigma > 0.0 {
        draw_log_normal(rng, 0.0, queue.estimate_sigma)
    } else {
        let [lowest, highest] = queue.estimate_factors;
        rng.random_range(lowest..highest)
    }
}

fn draw_log_normal(rng: &mut Pcg64Mcg, mu: f64, sigma: f64) -> f64 {
    LogNormal::new(mu, sigma).map_or(1.0, |drawn| drawn.sample(rng))
}

/// Draws the number of tasks of a step.
fn draw_width(rng: &mut Pcg64Mcg, queue: &QueueWorkload) -> u32 {
    let factor = if queue.width_sigma > 0.0 {
        // This mu makes the mean of the distribution one.
        let mu = -queue.width_sigma * queue.width_sigma / 2.0;
        draw_log_normal(rng, mu, queue.width_sigma)
    } else {
        rng.random_range(0.2..1.9)
    };
    let tasks = truncate(queue.mean_width * factor).max(1);
    u32::try_from(tasks).unwrap_or(1).min(queue.max_width)
}

#[expect(clippy::cast_precision_loss, reason = "numbers here are small")]
pub(crate) fn as_float(number: u64) -> f64 {
    number as f64
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "numbers here are small and positive"
)]
pub(crate) fn truncate(number: f64) -> u64 {
    number.max(0.0) as u64
}
