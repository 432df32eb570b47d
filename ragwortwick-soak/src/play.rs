//! One play of a seed: callers, troubles, and what must hold meanwhile and at the end.

use std::collections::BTreeSet;
use std::time::Duration;

use ragwortwick_core::DurationMs;
use ragwortwick_standin::AreaFleet;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::callers::{Promises, hand_in, hand_in_wide};
use crate::trouble::{Evacuation, bring, draw};

/// Outer limit until every accepted job has come to its end once the troubles are over, unless a plan says otherwise.
pub const SETTLE: Duration = Duration::from_secs(60);

/// Time after the evacuation of a zone in which runs may still start there.
const MAX_START_AFTER_EVACUATION_MS: DurationMs = DurationMs(5_000);

/// Tells the generator of the wide jobs from that of the other draws.
const WIDE_JOBS_SEED: u64 = 0x77_69_64_65;

/// Pause between two looks at jobs that are not over.
const LOOK_PAUSE: Duration = Duration::from_millis(200);

/// `Plan` is the size of a play.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Path of `ragwortwickd`.
    pub binary: String,
    /// Seed of everything that is drawn.
    pub seed: u64,
    /// Entry hosts.
    pub hosts: usize,
    /// Workers.
    pub workers: usize,
    /// Troubles.
    pub steps: usize,
    /// Jobs of hundreds of small tasks, handed in beside the others.
    pub wide_jobs: usize,
    /// Outer limit until every accepted job has come to its end once the troubles are over.
    pub settle: Duration,
}

/// `Found` is what a play showed.
#[derive(Clone, Debug, Default)]
pub struct Found {
    /// Broken promises, in words.
    pub findings: Vec<String>,
    /// Jobs that were accepted.
    pub accepted: usize,
    /// Jobs that were refused for certain.
    pub refused: usize,
    /// Runs that workers began.
    pub starts: usize,
}

/// `play` plays one seed.
pub async fn play(plan: &Plan) -> Found {
    let mut fleet = match AreaFleet::spawn(&plan.binary, plan.hosts, plan.workers).await {
        Ok(fleet) => fleet,
        Err(error) => {
            return Found {
                findings: vec![format!("the area did not start: {error}")],
                ..Found::default()
            };
        }
    };
    let mut rng = Pcg64Mcg::seed_from_u64(plan.seed);
    let mut told = Promises::default();
    let mut evacuations = Vec::new();
    let series = draw(&mut rng, plan.steps, plan.hosts, plan.workers);
    // A generator of their own, so that the rest of a play doesn't depend on them.
    let mut wide_rng = Pcg64Mcg::seed_from_u64(plan.seed ^ WIDE_JOBS_SEED);
    let mut wide_job_steps: Vec<usize> = (0..plan.wide_jobs)
        .map(|_| wide_rng.random_range(0..series.len()))
        .collect();
    wide_job_steps.sort_unstable();
    for (number, step) in series.into_iter().enumerate() {
        for _ in wide_job_steps.extract_if(.., |at| *at == number) {
            hand_in_wide(&fleet, &mut wide_rng, &mut told).await;
        }
        let until = tokio::time::Instant::now() + step.pause;
        while tokio::time::Instant::now() < until {
            hand_in(&fleet, &mut rng, &mut told).await;
            let pause_ms = rng.random_range(10..120);
            tokio::time::sleep(Duration::from_millis(pause_ms)).await;
        }
        bring(&mut fleet, step.trouble, &mut evacuations).await;
    }
    let mut found = Found {
        accepted: told.accepted.len(),
        refused: told.refused.len(),
        ..Found::default()
    };
    settle(&fleet, &told, plan.settle, &mut found).await;
    check_runs(&fleet, &told, &mut found);
    check_evacuations(&fleet, &evacuations, &mut found);
    fleet.close();
    found
}

/// Every accepted job is known on every host and comes to its end.
async fn settle(fleet: &AreaFleet, told: &Promises, limit: Duration, found: &mut Found) {
    let until = tokio::time::Instant::now() + limit;
    let mut open: Vec<&String> = told.accepted.iter().collect();
    while !open.is_empty() && tokio::time::Instant::now() < until {
        let mut left = Vec::new();
        for id in open {
            let state = fleet.state(0, id).await;
            if state.as_deref() != Some("completed") {
                left.push(id);
            }
        }
        open = left;
        tokio::time::sleep(LOOK_PAUSE).await;
    }
    for id in open {
        let state = fleet.state(0, id).await;
        found
            .findings
            .push(format!("{id} was accepted and is {state:?} in the end"));
    }
    for host in 1..fleet.hosts.len() {
        for id in &told.accepted {
            if fleet.state(host, id).await.is_none() {
                found
                    .findings
                    .push(format!("{id} was accepted and host {host} doesn't know it"));
            }
        }
    }
}

/// No task ran twice at a time or again after it had completed, no run began twice, and nothing refused ever ran.
fn check_runs(fleet: &AreaFleet, told: &Promises, found: &mut Found) {
    let starts = fleet.workers.starts();
    found.starts = starts.len();
    for repeated in fleet.workers.repeated_runs() {
        let start = repeated.start;
        found.findings.push(format!(
            "{} run {} began on {} after run {} had completed",
            start.task, start.run, start.worker, repeated.completed_run
        ));
    }
    let refused: BTreeSet<&str> = told.refused.iter().map(String::as_str).collect();
    let mut seen = BTreeSet::new();
    for start in &starts {
        if start.is_duplicate {
            found
                .findings
                .push(format!("{} ran twice at a time", start.task));
        }
        if !seen.insert((&start.task, start.run)) {
            let text = format!("run {} of {} began twice", start.run, start.task);
            found.findings.push(text);
        }
        let job = start.task.split('.').next().unwrap_or_default();
        if refused.contains(job) {
            found.findings.push(format!("{job} was refused and ran"));
        }
    }
}

/// Nothing began in an evacuated zone later than allowed.
fn check_evacuations(fleet: &AreaFleet, evacuations: &[Evacuation], found: &mut Found) {
    for start in fleet.workers.starts() {
        let zone = fleet.workers.zone(&start.worker);
        let is_forbidden = evacuations.iter().any(|span| {
            let from = span.began_at + MAX_START_AFTER_EVACUATION_MS;
            let is_over = span.ended_at.is_some_and(|at| start.started_at >= at);
            span.zone == zone && start.started_at > from && !is_over
        });
        if is_forbidden {
            let text = format!("{} run {} began in evacuated {zone}", start.task, start.run);
            found.findings.push(text);
        }
    }
}
