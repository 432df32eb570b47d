//! Jobs that callers hand in, drawn by seed in the shape of an installation's load.

use std::sync::Arc;

use ragwortwick_area::{
    AdviceTerms, Customer, DesiredState, JobRecord, Queue, QueueTerms, Resources, Schedule,
    StepSpec,
};
use ragwortwick_core::{ClassName, CustomerName, DurationMs, JobId, PoolName, TimeMs};
use rand::Rng;
use rand_pcg::Pcg64Mcg;

/// Pool of all workers.
pub(crate) const POOL: &str = "booking";

/// How long the advisor's tickets hold.
pub(crate) const TICKET_MS: DurationMs = DurationMs(3_000);

/// `Load` is how much comes in.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Load {
    /// Jobs a second of each of the three queues: urgent, middle, patient.
    pub per_s: [f64; 3],
    /// How long jobs come in.
    pub for_ms: DurationMs,
    /// Share of jobs that are cancelled some time after their acceptance.
    pub cancelled: f64,
    /// Mean width of the patient queue's steps.
    pub patient_width: u32,
    /// Whether the middle queue's jobs run only where an advisor allows them.
    pub is_advised: bool,
}

impl Default for Load {
    fn default() -> Self {
        Self {
            per_s: [1.5, 0.8, 0.6],
            for_ms: DurationMs(20_000),
            cancelled: 0.08,
            patient_width: 16,
            is_advised: false,
        }
    }
}

/// `Arrival` is one job with what will become of it.
#[derive(Clone, Debug)]
pub(crate) struct Arrival {
    pub(crate) at: TimeMs,
    pub(crate) record: Arc<JobRecord>,
    pub(crate) cancel_at: Option<TimeMs>,
    /// True duration of a task at normal speed, by step.
    pub(crate) work_ms: Vec<DurationMs>,
    /// Share of runs that fail.
    pub(crate) failing: f64,
}

/// `Arrivals` is all that comes in, in order.
#[derive(Clone, Debug)]
pub struct Arrivals {
    pub(crate) jobs: Vec<Arrival>,
}

/// `Shape` is what one queue's jobs look like.
struct Shape {
    queue: &'static str,
    cpu_millis: u64,
    memory_mb: u64,
    accelerators: &'static [u64],
    width: f64,
    most: u32,
    work_ms: f64,
    is_gang: f64,
    same_rack: f64,
    steps: f64,
    saves: f64,
    labels: f64,
    spread: f64,
    times: f64,
}

impl Arrivals {
    /// `draw` makes the jobs of one run.
    #[must_use]
    pub fn draw(seed: u64, load: &Load, racks: u32) -> Self {
        let mut rng = Pcg64Mcg::new(u128::from(seed) << 1 | 1);
        let mut jobs = Vec::new();
        for (number, shape) in shapes(load).iter().enumerate() {
            let mut at = 0.0;
            loop {
                let gap: f64 = rng.random_range(0.0..2.0);
                at += gap * 1_000.0 / load.per_s[number].max(0.001);
                if at >= as_float(load.for_ms.0) {
                    break;
                }
                jobs.push(arrival(&mut rng, shape, TimeMs(whole(at)), load, racks));
            }
        }
        jobs.sort_by_key(|job| (job.at, job.record.job_id.clone()));
        Self { jobs }
    }
}

fn shapes(load: &Load) -> [Shape; 3] {
    [
        Shape {
            queue: "conflict-check",
            cpu_millis: 3_700,
            memory_mb: 9_800,
            accelerators: &[1, 2, 4, 8, 8],
            width: 3.4,
            most: 8,
            work_ms: 2_500.0,
            is_gang: 1.0,
            same_rack: 0.8,
            steps: 0.0,
            saves: 0.0,
            labels: 0.0,
            spread: 0.0,
            times: 0.0,
        },
        Shape {
            queue: "pass-plan",
            cpu_millis: 13_000,
            memory_mb: 19_000,
            accelerators: &[1, 2, 4, 8, 8],
            width: 5.0,
            most: 8,
            work_ms: 6_800.0,
            is_gang: 0.9,
            same_rack: 0.6,
            steps: 0.2,
            saves: 0.45,
            labels: 0.3,
            spread: 0.0,
            times: 0.2,
        },
        Shape {
            queue: "orbit-refine",
            cpu_millis: 2_800,
            memory_mb: 7_400,
            accelerators: &[1],
            width: f64::from(load.patient_width),
            most: 94,
            work_ms: 7_600.0,
            is_gang: 0.0,
            same_rack: 0.0,
            steps: 0.3,
            saves: 0.45,
            labels: 0.12,
            spread: 0.12,
            times: 0.0,
        },
    ]
}

fn arrival(rng: &mut Pcg64Mcg, shape: &Shape, at: TimeMs, load: &Load, racks: u32) -> Arrival {
    let job_id = JobId::new(format!("{:016x}", rng.random::<u64>()));
    let step_count = 1 + usize::from(rng.random_bool(shape.steps));
    let mut steps = Vec::new();
    let mut work_ms = Vec::new();
    for number in 0..step_count {
        let true_ms = shape.work_ms * rng.random_range(0.5..1.6);
        let estimate_ms = true_ms * rng.random_range(0.6..1.7);
        work_ms.push(DurationMs(whole(true_ms)));
        let accelerators = shape.accelerators[rng.random_range(0..shape.accelerators.len())];
        let width = whole(shape.width * rng.random_range(0.2..1.9)).max(1);
        let is_gang = rng.random_bool(shape.is_gang);
        let label = rng.random_bool(shape.labels);
        steps.push(StepSpec {
            count: u32::try_from(width).unwrap_or(1).min(shape.most),
            need: Resources {
                cpu_millis: shape.cpu_millis,
                memory_mb: shape.memory_mb,
                accelerators,
            },
            estimate_ms: DurationMs(whole(estimate_ms)),
            after: if number > 0 { vec![0] } else { Vec::new() },
            is_gang,
            wants_same_rack: is_gang && rng.random_bool(shape.same_rack),
            required_label: label.then(|| "a".into()),
            data_rack: (!is_gang && rng.random_bool(0.1)).then(|| {
                format!("r{}", rng.random_range(0..racks.max(1)))
                    .as_str()
                    .into()
            }),
            max_per_worker: rng.random_bool(shape.spread).then_some(2),
            saves_checkpoints: rng.random_bool(shape.saves),
            ..StepSpec::default()
        });
    }
    let schedule = rng.random_bool(shape.times).then(|| Schedule {
        first_unix_ms: at + DurationMs(1_500),
        interval_ms: DurationMs(2_500),
        occurrences: rng.random_range(1..4),
    });
    let cancel_at = rng
        .random_bool(load.cancelled)
        .then(|| at + DurationMs(rng.random_range(1..6_000)));
    let customer = CustomerName::new(format!("customer-{}", rng.random_range(0..4)));
    let payload = format!("payload of {job_id}");
    Arrival {
        at,
        record: Arc::new(JobRecord {
            job_id,
            queue: ClassName::new(shape.queue),
            terms: terms(shape.queue, load.is_advised),
            customer,
            payload: Arc::from(payload),
            steps,
            schedule,
            accepted_unix_ms: at,
        }),
        cancel_at,
        work_ms,
        failing: if rng.random_bool(0.03) { 1.0 } else { 0.03 },
    }
}

fn terms(queue: &str, is_advised: bool) -> QueueTerms {
    let advice = AdviceTerms {
        answer_ms: DurationMs(40),
        per_worker_ms: DurationMs(3),
        valid_ms: TICKET_MS,
    };
    let (priority, stretch, target_ms) = match queue {
        "conflict-check" => (0, 1.5, 250),
        "pass-plan" => (1, 3.0, 1_000),
        _ => (2, 3.0, 3_000),
    };
    QueueTerms {
        pool: PoolName::new(POOL),
        priority,
        attempts: 3,
        stretch,
        target_latency_ms: DurationMs(target_ms),
        advice: (is_advised && queue == "pass-plan").then_some(advice),
    }
}

/// The operators' desired state of every run.
pub(crate) fn desired(accelerators: u64, is_advised: bool) -> DesiredState {
    let names = ["conflict-check", "pass-plan", "orbit-refine"];
    let queues = names.iter().map(|name| {
        let queue = Queue {
            host: "jobs.example".into(),
            path_prefix: format!("/{name}/").into(),
            terms: terms(name, is_advised),
            is_public: false,
        };
        (ClassName::new(name), queue)
    });
    // Six tenths of the accelerators are promised, unevenly.
    let shares = [0.19, 0.15, 0.13, 0.13];
    let customers = shares.iter().enumerate().map(|(number, share)| {
        let customer = Customer {
            api_keys: Vec::new(),
            guaranteed_accelerators: whole(as_float(accelerators) * share),
        };
        (CustomerName::new(format!("customer-{number}")), customer)
    });
    DesiredState {
        version: 1,
        queues: queues.collect(),
        customers: customers.collect(),
        max_body_bytes: None,
    }
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
pub(crate) fn whole(number: f64) -> u64 {
    number.max(0.0) as u64
}
