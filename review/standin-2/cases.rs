//! The cases: what is handed in, what goes wrong, and the rule that is judged.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::Verdict;
use crate::clients::{Clients, Route, SECOND_TENANTS_ROUTE, desired_state};
use crate::hosts::Hosts;
use crate::record::Record;
use crate::runners::{Amount, HEARTBEAT_MS, RunnerSpec, Runners, Step};
use crate::store::Store;

const SERVICE: &str = "huvo11a";
const OTHER_SERVICE: &str = "bela20c";
const SERVICES: [&str; 2] = [SERVICE, OTHER_SERVICE];
/// The last route is the only one of its service.
const ROUTES: [Route; 5] = [
    Route {
        number: 0,
        priority: 0,
        service: SERVICE,
    },
    Route {
        number: 1,
        priority: 1,
        service: SERVICE,
    },
    Route {
        number: 2,
        priority: 2,
        service: SERVICE,
    },
    Route {
        number: SECOND_TENANTS_ROUTE,
        priority: 0,
        service: SERVICE,
    },
    Route {
        number: 3,
        priority: 2,
        service: OTHER_SERVICE,
    },
];
const ZONES: [&str; 3] = ["fucino-hall", "lario-hall", "po-hall"];

/// `World` is a small deployment with its stand-ins.
struct World {
    hosts: Hosts,
    runners: Arc<Runners>,
    clients: Arc<Clients>,
    record: Arc<Record>,
    store: Arc<Store>,
}

impl World {
    fn open(
        daemon: &str,
        record: &Arc<Record>,
        guaranteed_gpus: u64,
        specs: Vec<RunnerSpec>,
    ) -> Result<Self, Verdict> {
        let could_not = |error: std::io::Error| Verdict::CouldNotRun(error.to_string());
        let store = Store::open(Arc::clone(record));
        let server = store.serve().map_err(could_not)?;
        store.put(
            "op/config",
            &desired_state(7, &SERVICES, &ROUTES, guaranteed_gpus),
        );
        let runners = Runners::open(Arc::clone(&store), Arc::clone(record), ANSWER, specs);
        let runners = runners.map_err(could_not)?;
        let hosts = Hosts::start(daemon, &server.address.to_string(), &ZONES).map_err(could_not)?;
        let Some(hosts) = hosts else {
            return Err(Verdict::CouldNotRun("a host does not get ready".to_owned()));
        };
        let fronts = hosts.all.iter().map(|host| host.front.clone()).collect();
        let clients = Clients::open(fronts, Arc::clone(&runners), Arc::clone(record));
        // The first coordinator polls all runners.
        thread::sleep(Duration::from_millis(HEARTBEAT_MS + 500));
        Ok(Self {
            hosts,
            runners,
            clients: Arc::new(clients),
            record: Arc::clone(record),
            store,
        })
    }

    /// What the runners and the processes show beside the rule of the case.
    fn verdict(mut self, broken: Option<String>) -> Verdict {
        let ended = self.hosts.ended();
        let others = self.runners.broken();
        for other in &others {
            self.record.say(other);
        }
        if ended > 0 {
            return Verdict::Broken(format!("{ended} processes ended by themselves"));
        }
        match broken.or_else(|| others.first().cloned()) {
            Some(what) => Verdict::Broken(what),
            None => Verdict::Held,
        }
    }
}

pub fn play(case: &str, daemon: &str, has_trouble: bool, record: &Arc<Record>) -> Verdict {
    let played = match case {
        "queue-gone" => queue_gone(daemon, has_trouble, record),
        "reclaim" => reclaim(daemon, has_trouble, record),
        "large-job" => large_job(daemon, has_trouble, record),
        "urgent-gangs" => urgent_gangs(daemon, has_trouble, record),
        _ => Err(Verdict::CouldNotRun(format!("no case {case}"))),
    };
    played.unwrap_or_else(|verdict| verdict)
}

fn job_id(number: u64) -> String {
    format!("5c0e7a21d9{number:06x}")
}

/// Runners of one kind, some a rack, racks spread over the zones.
fn fleet(count: usize, per_rack: usize, capacity: Amount) -> Vec<RunnerSpec> {
    let specs = (0..count).map(|index| {
        let rack = index / per_rack;
        RunnerSpec {
            service: SERVICE.to_owned(),
            name: format!("m-{index}"),
            zone: ZONES[rack % ZONES.len()].to_owned(),
            kind: "a".to_owned(),
            rack: format!("r{}-{}", rack % ZONES.len(), rack / ZONES.len()),
            capacity,
        }
    });
    specs.collect()
}

const GPU_RUNNER: Amount = Amount {
    cpu: 32_000,
    mem_mb: 65_536,
    gpu: 8,
};
const CPU_RUNNER: Amount = Amount {
    cpu: 16_000,
    mem_mb: 32_768,
    gpu: 0,
};
/// How long a runner takes to answer an order; the platform's store takes as long.
const ANSWER: Duration = Duration::from_millis(4);
/// Subtasks of a step that makes a job as large as the hosts accept.
const LARGE_STEP: u64 = 19_998;
/// GPUs that are guaranteed to a tenant, where some are.
const GUARANTEED_GPUS: u64 = 8;
/// `ReclaimMs`.
const RECLAIM_MS: u64 = 2_700;
/// Subtasks of the widest step of the users' small installations.
const WIDEST_STEP: u64 = 94;

/// Urgent gangs come at once, to runners without GPUs that have room for two of them at a time.
fn urgent_gangs(daemon: &str, has_trouble: bool, record: &Arc<Record>) -> Result<Verdict, Verdict> {
    let world = World::open(daemon, record, 0, fleet(12, 4, CPU_RUNNER))?;
    let step = Step {
        count: 6,
        need: Amount {
            cpu: 13_000,
            mem_mb: 19_000,
            gpu: 0,
        },
        work_ms: 2_500,
        is_gang: true,
        ..Step::default()
    };
    let jobs: Vec<String> = (1..5).map(job_id).collect();
    for job in &jobs {
        if !world.clients.submit(0, job, std::slice::from_ref(&step)) {
            return Err(Verdict::CouldNotRun("a job was not accepted".to_owned()));
        }
        if !has_trouble {
            world.clients.wait_for(0, job, &["completed", "failed"], 15);
        }
    }
    // A small job of the lowest priority comes a little later.
    thread::sleep(Duration::from_millis(2_000));
    let small = Step {
        count: 4,
        need: Amount {
            cpu: 500,
            mem_mb: 256,
            gpu: 0,
        },
        work_ms: 900,
        ..Step::default()
    };
    let last = job_id(5);
    world.clients.submit(2, &last, &[small]);
    thread::sleep(Duration::from_millis(30_000));
    let (is_room, share) = world.runners.room(step.need, step.count);
    record.say(&format!("room twice over: {is_room}, in use: {share:.2}"));
    let mut broken = None;
    for job in jobs.iter().chain([&last]) {
        let state = world.clients.state(0, job);
        let seen = world.runners.summary(job);
        let idle_ms = record.now_ms().saturating_sub(seen.last_activity_ms);
        record.say(&format!("{job} is shown as {state}; {seen:?}"));
        if state != "completed" && seen.running == 0 && idle_ms > 3_000 && is_room && share < 0.5 {
            broken.get_or_insert(format!("LOST: nothing of {job} has run for {idle_ms} ms"));
        }
    }
    Ok(world.verdict(broken))
}

/// One large job is handed in, jobs of the usual size follow, and one more is looked at.
fn large_job(daemon: &str, has_trouble: bool, record: &Arc<Record>) -> Result<Verdict, Verdict> {
    let world = World::open(daemon, record, 0, fleet(12, 4, GPU_RUNNER))?;
    let small = |count| Step {
        count,
        need: Amount {
            cpu: 50,
            mem_mb: 50,
            gpu: 0,
        },
        work_ms: 700,
        saves: true,
        ..Step::default()
    };
    let width = if has_trouble { LARGE_STEP } else { WIDEST_STEP };
    let large = job_id(1);
    let steps = [
        small(1),
        Step {
            after: vec![0],
            ..small(width)
        },
        Step {
            after: vec![1],
            ..small(1)
        },
    ];
    if !world.clients.submit(2, &large, &steps) {
        return Err(Verdict::CouldNotRun(
            "the large job was not accepted".to_owned(),
        ));
    }
    // Until its last step is over, or nothing of it has run for 6 s.
    for _ in 0..90 {
        thread::sleep(Duration::from_millis(500));
        let seen = world.runners.summary(&large);
        let idle_ms = record.now_ms().saturating_sub(seen.last_activity_ms);
        if seen.done == width + 2 || idle_ms > 6_000 {
            break;
        }
    }
    let seen = world.runners.summary(&large);
    let idle_ms = record.now_ms().saturating_sub(seen.last_activity_ms);
    let (is_room, share) = world.runners.room(steps[2].need, 1);
    let state = world.clients.state(2, &large);
    record.say(&format!(
        "the large job is shown as {state}; {seen:?}; room twice over: {is_room}, in use: {share:.2}"
    ));
    let is_stuck = seen.done < width + 2 && idle_ms > 3_000 && is_room && share < 0.5;
    let broken = is_stuck.then(|| {
        format!("LOST: its last step's turn has come, and nothing of it has run for {idle_ms} ms")
    });
    // The ends of all jobs are taken note of in their order.
    for number in 2..72 {
        world
            .clients
            .submit(2, &job_id(number), &[small(WIDEST_STEP)]);
    }
    let last = job_id(72);
    world.clients.submit(2, &last, &[small(4)]);
    let last_state = world
        .clients
        .wait_for(2, &last, &["completed", "failed"], 20);
    let last_seen = world.runners.summary(&last);
    let (is_room, share) = world.runners.room(small(4).need, 4);
    let (unnoted, ends) = world.runners.unnoted_ends(4_000);
    record.say(&format!(
        "71 jobs later one is shown as {last_state}; {last_seen:?}"
    ));
    record.say(&format!(
        "room twice over: {is_room}, in use: {share:.2}; ends not taken note of: {unnoted} of {ends}"
    ));
    Ok(world.verdict(broken))
}

/// A lasting job takes all GPUs, and the tenant to which some are guaranteed asks for them.
fn reclaim(daemon: &str, has_trouble: bool, record: &Arc<Record>) -> Result<Verdict, Verdict> {
    let world = World::open(daemon, record, GUARANTEED_GPUS, fleet(12, 4, GPU_RUNNER))?;
    let lasting = Step {
        count: 12 * GPU_RUNNER.gpu - if has_trouble { 0 } else { GUARANTEED_GPUS },
        need: Amount {
            cpu: 2_000,
            mem_mb: 4_000,
            gpu: 1,
        },
        work_ms: 500,
        lasts: true,
        may_miss: GUARANTEED_GPUS,
        ..Step::default()
    };
    let lasting_job = job_id(1);
    if !world.clients.submit(2, &lasting_job, &[lasting]) {
        return Err(Verdict::CouldNotRun(
            "the lasting job was not accepted".to_owned(),
        ));
    }
    thread::sleep(Duration::from_millis(8_000));
    record.say(&format!(
        "the lasting job: {:?}",
        world.runners.summary(&lasting_job)
    ));
    let urgent = Step {
        count: GUARANTEED_GPUS,
        need: Amount {
            cpu: 2_000,
            mem_mb: 4_000,
            gpu: 1,
        },
        work_ms: 2_500,
        ..Step::default()
    };
    let job = job_id(2);
    if !world.clients.submit(SECOND_TENANTS_ROUTE, &job, &[urgent]) {
        return Err(Verdict::CouldNotRun(
            "the urgent job was not accepted".to_owned(),
        ));
    }
    thread::sleep(Duration::from_millis(RECLAIM_MS));
    let begun = world.runners.summary(&job).starts;
    record.say(&format!(
        "{RECLAIM_MS} ms after its confirmation {begun} subtasks have begun"
    ));
    thread::sleep(Duration::from_millis(20_000));
    let state = world.clients.state(SECOND_TENANTS_ROUTE, &job);
    record.say(&format!(
        "the urgent job is shown as {state}; {:?}",
        world.runners.summary(&job)
    ));
    let broken = (begun < GUARANTEED_GPUS).then(|| {
        format!("RECLAIM: {begun} of {GUARANTEED_GPUS} subtasks have begun after {RECLAIM_MS} ms")
    });
    Ok(world.verdict(broken))
}

/// A queue is removed while a job of it waits for its time, and the hosts are restarted in turn.
fn queue_gone(daemon: &str, has_trouble: bool, record: &Arc<Record>) -> Result<Verdict, Verdict> {
    let mut specs = fleet(14, 2, GPU_RUNNER);
    for spec in &mut specs[8..] {
        spec.service = OTHER_SERVICE.to_owned();
    }
    let mut world = World::open(daemon, record, 0, specs)?;
    let step = Step {
        count: 3,
        need: Amount {
            cpu: 2_800,
            mem_mb: 7_400,
            gpu: 1,
        },
        work_ms: 900,
        ..Step::default()
    };
    let job = job_id(1);
    let due_in = Some(Duration::from_millis(12_000));
    if !world.clients.submit_for(3, &job, &[step.clone()], due_in) {
        return Err(Verdict::CouldNotRun("the job was not accepted".to_owned()));
    }
    thread::sleep(Duration::from_millis(1_000));
    if has_trouble {
        let config = desired_state(8, &SERVICES, &ROUTES[..4], 0);
        world.store.put("op/config", &config);
        record.say("version 8 has no queue of the other service");
        thread::sleep(Duration::from_millis(2_000));
        world.hosts.roll(daemon, record);
    }
    // The job's time comes 12 s after it was handed in.
    thread::sleep(Duration::from_millis(40_000));
    let seen = world.runners.summary(&job);
    let state = world.clients.state(3, &job);
    let (is_room, share) = world.runners.room(step.need, step.count);
    record.say(&format!(
        "the job is shown as {state}; {seen:?}; room twice over: {is_room}, in use: {share:.2}"
    ));
    let is_idle = seen.running == 0 && is_room && share < 0.5;
    let broken = (seen.done < step.count && is_idle).then(|| {
        "LOST: nothing of the accepted job runs after its time, with room for it".to_owned()
    });
    Ok(world.verdict(broken))
}
