//! Load of a large area: gangs of one rack in three queues, with bursts of urgent ones that preempt others.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use rand::Rng;
use rand_pcg::Pcg64Mcg;
use serde_json::{Value, json};
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, timeout};

use super::Storm;

/// Queues by priority.
const QUEUES: [&str; 3] = ["urgent", "work", "fill"];

/// How often each queue is drawn.
const QUEUE_SHARES: [usize; 6] = [0, 1, 1, 1, 2, 2];

/// How long a caller waits for one answer.
const PATIENCE: Duration = Duration::from_millis(1_500);

/// Tries of one hand-in, at hosts in turn, and the pause between them.
const TRIES: usize = 4;
const TRY_PAUSE: Duration = Duration::from_millis(150);

/// Pause between two looks at how much is due.
const LOAD_PAUSE: Duration = Duration::from_millis(30);

/// Accelerators of a worker.
const ACCELERATORS: u64 = 8;

/// Members of the largest gang that fits into a rack.
const MAX_RACK_MEMBERS: u64 = 20;

impl Storm {
    /// Hands jobs in as fast as the load requires, until the storm is over.
    pub(super) async fn hand_in_all(self: Arc<Self>, mut rng: Pcg64Mcg) {
        let capacity = self.plan.workers as u64 * ACCELERATORS;
        let begun = Instant::now();
        let mut handed_in_gpu_ms: u64 = 0;
        let mut callers = JoinSet::new();
        let mut next_burst = Instant::now() + Duration::from_secs(4);
        while !self.is_over.load(Ordering::Relaxed) {
            let elapsed_ms = u64::try_from(begun.elapsed().as_millis()).unwrap_or(0);
            let due = (elapsed_ms + 1_000) * capacity * self.plan.load_percent / 100;
            while handed_in_gpu_ms < due {
                let queue = QUEUES[QUEUE_SHARES[rng.random_range(0..QUEUE_SHARES.len())]];
                let (job, size) = draw_job(&mut rng);
                handed_in_gpu_ms += size;
                callers.spawn(Arc::clone(&self).hand_in(queue, job, rng.random()));
            }
            if Instant::now() >= next_burst {
                next_burst = Instant::now() + Duration::from_millis(rng.random_range(3_000..9_000));
                for _ in 0..rng.random_range(4..20) {
                    let (job, _) = draw_job(&mut rng);
                    callers.spawn(Arc::clone(&self).hand_in("urgent", job, rng.random()));
                }
            }
            sleep(LOAD_PAUSE).await;
            while callers.try_join_next().is_some() {}
        }
        while callers.join_next().await.is_some() {}
    }

    async fn hand_in(self: Arc<Self>, queue: &'static str, job: Value, draw: u64) {
        let id = format!("{draw:016x}");
        let first = usize::from(draw.to_le_bytes()[0]);
        let mut is_in_doubt = false;
        for attempt in 0..TRIES {
            let fleet = self.fleet.read().await;
            let host = (first + attempt) % fleet.hosts.len();
            let answer = timeout(PATIENCE, fleet.submit_to(queue, host, &id, job.clone())).await;
            drop(fleet);
            let status = match answer {
                Ok(Ok(status)) => status.as_u16(),
                _ => 0,
            };
            let mut told = self.told.lock().await;
            *told.answers.entry(status).or_insert(0) += 1;
            match status {
                200..300 => {
                    told.accepted.push((queue, id));
                    return;
                }
                429 | 503 => {}
                _ => is_in_doubt = true,
            }
            drop(told);
            sleep(TRY_PAUSE).await;
        }
        if !is_in_doubt {
            self.told.lock().await.refused.push(id);
        }
    }
}

/// Draws a job; returns its accelerator-milliseconds too.
fn draw_job(rng: &mut Pcg64Mcg) -> (Value, u64) {
    let is_gang = rng.random_bool(0.8);
    let count: u64 = if is_gang {
        rng.random_range(3..=30)
    } else {
        rng.random_range(1..=6)
    };
    let accelerators = if count > MAX_RACK_MEMBERS {
        [1, 2, 4][rng.random_range(0..3)]
    } else {
        [1, 2, 4, 8][rng.random_range(0..4)]
    };
    let work_ms: u64 = rng.random_range(2_000..10_000);
    let gang = if is_gang { count } else { 1 };
    let payload = json!({"work_ms": work_ms, "gang": gang}).to_string();
    let job = json!({
        "Spec": payload,
        "Steps": [{"Count": count, "Cpu": 1000, "MemMb": 1000, "Gpu": accelerators,
                   "EstimateMs": work_ms, "Gang": is_gang, "SameRack": is_gang && count <= MAX_RACK_MEMBERS}]
    });
    (job, count * accelerators * work_ms)
}

/// A desired state with a queue for each priority.
pub(super) fn desired_queues(workers: usize) -> Value {
    let route = |(priority, name): (usize, &&str)| {
        json!({"Name": name, "Host": "jobs.example", "Prefix": format!("/{name}/"),
               "Type": "non_idempotent", "TimeoutMs": 3000, "TargetLatencyMs": 1000,
               "Priority": priority, "Service": "booking", "Attempts": 3, "Stretch": 3.0,
               "Public": false})
    };
    let routes: Vec<Value> = QUEUES.iter().enumerate().map(route).collect();
    json!({
        "Version": 1,
        "Routes": routes,
        "Services": [],
        "Limits": {"MaxBodyBytes": 4096},
        "Tenants": [{"Name": "c", "ApiKeys": ["key-1"], "Priority": 1,
                     "Guaranteed": {"Gpu": workers * 4}}]
    })
}
