//! Callers: they hand jobs in, come back with the same id when told to, and ask how jobs are.

use std::collections::BTreeMap;
use std::ops::Range;
use std::time::Duration;

use http::StatusCode;

use ragwortwick_standin::{AreaFleet, area_job, wide_job};
use rand::Rng;
use rand_pcg::Pcg64Mcg;
use serde_json::{Value, json};

/// Tries of one hand-in, at hosts in turn.
const TRIES: usize = 4;

/// Tasks of a wide job: more than a worker lists run ends in one reply.
const WIDE_JOB_TASKS: Range<u64> = 550..1_500;

/// The tasks of a wide job end at a multiple of this time.
const WIDE_JOB_ENDS_EVERY_MS: u64 = 3_000;

/// How long a caller waits for one answer.
const PATIENCE: Duration = Duration::from_millis(1_200);

/// `Promises` are what callers were told of their jobs.
#[derive(Debug, Default)]
pub(crate) struct Promises {
    /// Jobs of which an answer said that they are accepted.
    pub(crate) accepted: Vec<String>,
    /// Jobs of which every answer said that they were not.
    pub(crate) refused: Vec<String>,
    /// How often each answer came.
    pub(crate) answers: BTreeMap<u16, u64>,
}

/// Hands one job in, as a caller that retries does.
pub(crate) async fn hand_in(fleet: &AreaFleet, rng: &mut Pcg64Mcg, told: &mut Promises) {
    let id = format!("{:016x}", rng.random::<u64>());
    let is_gang = rng.random_bool(0.5);
    let count = rng.random_range(1..5);
    let job = area_job(count, rng.random_range(50..2_500), is_gang);
    let first = rng.random_range(0..fleet.hosts.len());
    submit(fleet, id, &job, first, told).await;
}

/// Hands in a job of hundreds of small tasks, as a caller that retries does.
pub(crate) async fn hand_in_wide(fleet: &AreaFleet, rng: &mut Pcg64Mcg, told: &mut Promises) {
    let id = format!("{:016x}", rng.random::<u64>());
    let count = rng.random_range(WIDE_JOB_TASKS);
    let work_ms = rng.random_range(500..3_000);
    let payload = json!({"work_ms": work_ms, "ends_every_ms": WIDE_JOB_ENDS_EVERY_MS});
    let job = wide_job(count, work_ms, &payload);
    let first = rng.random_range(0..fleet.hosts.len());
    submit(fleet, id, &job, first, told).await;
}

async fn submit(fleet: &AreaFleet, id: String, job: &Value, first: usize, told: &mut Promises) {
    let mut is_in_doubt = false;
    for number in 0..TRIES {
        let host = (first + number) % fleet.hosts.len();
        // A host that stands still answers nothing; its caller goes to another one.
        let submit = fleet.submit(host, &id, job.clone());
        let Ok(status) = tokio::time::timeout(PATIENCE, submit).await else {
            is_in_doubt = true;
            continue;
        };
        let code = status.as_ref().map_or(0, StatusCode::as_u16);
        *told.answers.entry(code).or_insert(0) += 1;
        match status {
            Ok(status) if status.is_success() => {
                told.accepted.push(id);
                return;
            }
            Ok(StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS) => {}
            _ => is_in_doubt = true,
        }
    }
    if !is_in_doubt {
        told.refused.push(id);
    }
}
