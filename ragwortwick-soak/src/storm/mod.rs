//! Play of a large area: gangs fill hundreds of workers while zones are cut off and coordinators change.

mod checks;
mod faults;
mod load;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use ragwortwick_core::DurationMs;
use ragwortwick_standin::{AreaFleet, AreaOptions, WorkerPoolOptions};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde_json::{Map, json};
use tokio::sync::{Mutex, RwLock};
use tokio::task::JoinSet;
use tokio::time::sleep;

use self::load::desired_queues;
use crate::play::Found;
use crate::processor_share::ProcessorShares;

const ZONES: usize = 4;
const WORKERS_PER_RACK: usize = 20;
const LEASE_MS: DurationMs = DurationMs(6_000);
const STOP_MS: DurationMs = DurationMs(180);
const GANG_WAIT_MS: DurationMs = DurationMs(3_000);
const HEARTBEAT_INTERVAL_MS: DurationMs = DurationMs(1_000);

/// Speeds of the workers, in turn.
const SPEEDS_PERCENT: [u64; 3] = [100, 130, 61];

/// Share of a core that the hosts are told they have.
const CPU_SHARE: f64 = 0.3;

/// `StormFault` is a kind of fault, or a behaviour of workers that the protocol allows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StormFault {
    /// Zones are cut off, both ways or one way; what was sent meanwhile is delivered late.
    Zones,
    /// Some workers are cut off likewise.
    Workers,
    /// Hosts lose their path to the store or are turned away by it; the coordinator's lease may end at once.
    Store,
    /// Coordinators are frozen, killed or told to stop.
    Coordinators,
    /// Entries of workers expire while the workers go on.
    Entries,
    /// Workers restart under their name, a rack at a time.
    Restarts,
    /// A run that is being stopped is listed neither as running nor as ended until it has ended.
    UnlistedStops,
    /// A worker refuses a start as late by its lease, which later orders may have extended.
    LateStarts,
}

impl StormFault {
    /// All kinds, by name.
    pub const NAMES: [(&'static str, Self); 8] = [
        ("zones", Self::Zones),
        ("workers", Self::Workers),
        ("store", Self::Store),
        ("coordinators", Self::Coordinators),
        ("entries", Self::Entries),
        ("restarts", Self::Restarts),
        ("unlisted-stops", Self::UnlistedStops),
        ("late-starts", Self::LateStarts),
    ];

    /// `parse_list` reads names that are separated by commas; none if one is unknown.
    #[must_use]
    pub fn parse_list(names: &str) -> Option<Vec<Self>> {
        let names = names.split(',').filter(|name| !name.is_empty());
        let kinds = names.map(|name| {
            let known = Self::NAMES.iter().find(|(known, _)| *known == name);
            known.map(|(_, kind)| *kind)
        });
        kinds.collect()
    }
}

/// `StormPlan` is the size of a play.
#[derive(Clone, Debug)]
pub struct StormPlan {
    /// Path of `ragwortwickd`.
    pub binary: String,
    /// Seed of everything that is drawn.
    pub seed: u64,
    /// Entry hosts.
    pub hosts: usize,
    /// Workers.
    pub workers: usize,
    /// How long jobs are handed in.
    pub span: Duration,
    /// Least share of a core that a host gets, in per cent; the most is twice as much.
    pub processor_percent: u64,
    /// Accelerator time that is handed in, as a share of what the workers have.
    pub load_percent: u64,
    /// Kinds of faults.
    pub faults: Vec<StormFault>,
    /// Outer limit until every accepted job has come to its end.
    pub settle: Duration,
    /// Where the hosts' logs and the runs are written, if anywhere.
    pub log_directory: Option<String>,
}

/// `Told` is what callers were told of their jobs.
#[derive(Debug, Default)]
struct Told {
    /// Queues and ids of the jobs that were accepted.
    accepted: Vec<(&'static str, String)>,
    /// Jobs of which every answer said that they were not accepted.
    refused: Vec<String>,
    /// How often each answer came; zero for none.
    answers: BTreeMap<u16, u64>,
}

#[derive(Debug)]
struct Storm {
    plan: StormPlan,
    fleet: RwLock<AreaFleet>,
    told: Mutex<Told>,
    shares: ProcessorShares,
    is_over: AtomicBool,
    /// Names and logs of the hosts that were replaced.
    replaced_logs: Mutex<Vec<(String, Vec<String>)>>,
}

/// `play_storm` plays one seed.
pub async fn play_storm(plan: &StormPlan) -> Found {
    let fleet = match AreaFleet::spawn_with(&plan.binary, area_options(plan)).await {
        Ok(fleet) => fleet,
        Err(error) => {
            return Found {
                findings: vec![format!("the area did not start: {error}")],
                ..Found::default()
            };
        }
    };
    let shares = ProcessorShares::spawn();
    let mut rng = seeded(plan.seed, 0);
    for host in &fleet.hosts {
        limit(&shares, plan, host.pid(), &mut rng);
    }
    let storm = Arc::new(Storm {
        plan: plan.clone(),
        fleet: RwLock::new(fleet),
        told: Mutex::default(),
        shares,
        is_over: AtomicBool::new(false),
        replaced_logs: Mutex::default(),
    });
    let mut tasks = JoinSet::new();
    tasks.spawn(Arc::clone(&storm).hand_in_all(seeded(plan.seed, 1)));
    storm.spawn_faults(&mut tasks);
    sleep(plan.span).await;
    storm.is_over.store(true, Ordering::Relaxed);
    while tasks.join_next().await.is_some() {}
    let found = storm.check().await;
    storm.write_logs().await;
    if let Some(storm) = Arc::into_inner(storm) {
        storm.shares.close();
        storm.fleet.into_inner().close();
    }
    found
}

fn area_options(plan: &StormPlan) -> AreaOptions {
    AreaOptions {
        hosts: plan.hosts,
        workers: WorkerPoolOptions {
            workers: plan.workers,
            zones: ZONES,
            workers_per_rack: WORKERS_PER_RACK,
            has_racks_in_zones: true,
            max_lease_ms: LEASE_MS,
            stop_ms: STOP_MS,
            hides_stopping_runs: plan.faults.contains(&StormFault::UnlistedStops),
            judges_lateness_by_lease: plan.faults.contains(&StormFault::LateStarts),
            gang_wait_ms: Some(GANG_WAIT_MS),
            speeds_percent: SPEEDS_PERCENT.to_vec(),
            lists_runs_on_arrival: plan.seed.is_multiple_of(2),
        },
        heartbeat_interval_ms: HEARTBEAT_INTERVAL_MS,
        desired: desired_queues(plan.workers),
        settings: Map::from_iter([
            ("worker_lease_ms".to_owned(), json!(LEASE_MS.0)),
            ("places_by_speed".to_owned(), json!(true)),
            ("cpu_share".to_owned(), json!(CPU_SHARE)),
        ]),
    }
}

/// The generator of one part of a play, so that the parts don't depend on each other.
fn seeded(seed: u64, part: u64) -> Pcg64Mcg {
    Pcg64Mcg::seed_from_u64(seed.wrapping_mul(1_000_003).wrapping_add(part))
}

/// Gives a host its share of the processor.
fn limit(shares: &ProcessorShares, plan: &StormPlan, pid: Option<u32>, rng: &mut Pcg64Mcg) {
    let percent = plan.processor_percent;
    if let Some(pid) = pid
        && percent < 100
    {
        let run_ms = rng.random_range(percent..=(percent * 2).min(100));
        shares.add(pid, run_ms, rng.random_range(0..100));
    }
}
