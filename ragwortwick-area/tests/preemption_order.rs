//! Preemption never runs in circles: no two steps may stop each other, whichever resource is short.

mod rig;

use std::sync::Arc;

use ragwortwick_area::{
    Customer, DesiredState, EndKind, Event, JobPhase, JobRecord, RecoveredJob, Resources, StepSpec,
    TaskId, VictimKind, WorkerEntry,
};
use ragwortwick_core::{CustomerName, DurationMs, JobId, WorkerName};
use rig::{Rig, desired, ended, gang, job, running, step, worker};

type Run = (WorkerName, TaskId, u32);

/// Customers without a guaranteed share, and with one of 16 accelerators.
const CUSTOMERS: [&str; 2] = ["e", "c"];

const ACCELERATORS_PER_WORKER: [u64; 2] = [0, 8];

/// A worker on which one task of `wide` fits, beside small ones.
fn small_worker(number: u32, accelerators: u64) -> WorkerEntry {
    let mut entry = worker(&format!("w{number}"), "r1");
    entry.capacity = Resources {
        cpu_millis: 16_000,
        memory_mb: 64_000,
        accelerators,
    };
    entry
}

fn small_workers(count: u32, accelerators: u64) -> Vec<WorkerEntry> {
    let numbers = 0..count;
    numbers.map(|n| small_worker(n, accelerators)).collect()
}

/// Each task takes most of a worker's cores.
fn wide(spec: StepSpec) -> StepSpec {
    StepSpec {
        need: Resources {
            cpu_millis: 13_000,
            ..spec.need
        },
        ..spec
    }
}

/// Desired state in which customer `e` has no guaranteed share.
fn desired_with_customer_e() -> Arc<DesiredState> {
    let mut state = DesiredState::clone(&desired());
    let customer = Customer {
        api_keys: vec!["key".into()],
        guaranteed_accelerators: 0,
    };
    state.customers.insert(CustomerName::new("e"), customer);
    Arc::new(state)
}

fn open(workers: &[WorkerEntry]) -> Rig {
    let mut rig = Rig::new(workers);
    rig.send(Event::DesiredState(desired_with_customer_e()));
    rig
}

fn id(number: u32) -> String {
    format!("{:016x}", 0xe00 + number)
}

/// Lets the runs be done; `sequence` is that of their ends on every worker.
fn finish(rig: &mut Rig, runs: &[Run], sequence: u64) {
    for run in runs {
        let end = ended(sequence, run, EndKind::Done);
        rig.poll_reply(run.0.as_str(), Vec::new(), vec![end]);
    }
}

/// Lets everything run that starts, and asserts that nothing is stopped; returns the number of runs.
fn run_to_the_end(rig: &mut Rig, jobs: u32) -> usize {
    let mut runs = 0;
    for round in 1..=u64::from(jobs) {
        let started = rig.start_all();
        rig.advance(500);
        rig.store_batches();
        assert_eq!(rig.preemptions(), vec![], "round {round}");
        assert_eq!(rig.stops(), vec![], "round {round}");
        runs += started.len();
        finish(rig, &started, round);
    }
    rig.advance(20);
    rig.store_batches();
    for number in 0..jobs {
        let phase = rig.coordinator.phase(&JobId::new(id(number)));
        assert_eq!(phase, Some(JobPhase::Completed), "job {number}");
    }
    runs
}

/// Guards against urgent gangs that preempt each other for ever, as no share of accelerators is too small for them
/// and none is large enough.
#[test]
fn verify_urgent_gangs_without_accelerators_run_one_after_the_other() {
    for accelerators in ACCELERATORS_PER_WORKER {
        for customer in CUSTOMERS {
            let mut rig = open(&small_workers(4, accelerators));
            for number in 0..4 {
                rig.submit_as(&id(number), customer, "urgent", wide(gang(2, 0)));
                rig.advance(10);
            }
            assert_eq!(run_to_the_end(&mut rig, 4), 8, "customer {customer}");
        }
    }
}

/// Guards against the same between single tasks, where a step would stop its own tasks to place the rest of them.
#[test]
fn verify_urgent_step_without_accelerators_does_not_preempt_its_own_tasks() {
    for accelerators in ACCELERATORS_PER_WORKER {
        for customer in CUSTOMERS {
            let mut rig = open(&small_workers(2, accelerators));
            for number in 0..3 {
                rig.submit_as(&id(number), customer, "urgent", wide(step(2, 0)));
            }
            rig.submit_as(&id(3), customer, "urgent", wide(step(6, 0)));
            let mut runs = 0;
            for round in 1..=6 {
                let started = rig.start_all();
                rig.advance(500);
                rig.store_batches();
                assert_eq!(rig.preemptions(), vec![], "round {round}");
                runs += started.len();
                finish(&mut rig, &started, round);
            }
            assert_eq!(runs, 12, "customer {customer}");
        }
    }
}

/// Guards against a customer whose share is used up by accelerator work: its urgent work without accelerators would
/// then count as borrowed, and would be stopped for the like.
#[test]
fn verify_used_up_share_makes_no_borrower_of_work_without_accelerators() {
    let mut rig = open(&small_workers(4, 8));
    rig.submit_as(&id(0), "c", "urgent", wide(gang(2, 8)));
    rig.submit_as(&id(1), "c", "urgent", wide(gang(2, 0)));
    assert_eq!(rig.start_all().len(), 4);
    for number in 2..4 {
        rig.submit_as(&id(number), "d", "urgent", wide(gang(2, 0)));
    }
    rig.advance(500);
    rig.store_batches();
    assert_eq!(rig.preemptions(), vec![]);
    assert_eq!(rig.stops(), vec![]);
}

/// Guards against capacity that is reserved in each pass for gangs which never start, so that no other work does.
#[test]
fn verify_small_work_starts_beside_waiting_urgent_gangs() {
    let mut rig = open(&small_workers(2, 0));
    for number in 0..3 {
        rig.submit_as(&id(number), "e", "urgent", wide(gang(2, 0)));
    }
    assert_eq!(rig.start_all().len(), 2);
    rig.submit_as(&id(3), "e", "patient", step(2, 0));
    let starts = rig.start_all();
    assert_eq!(starts.len(), 2);
    let is_small = |start: &Run| start.1.job_id.as_str() == id(3);
    assert!(starts.iter().all(is_small), "{starts:?}");
}

/// Guards against a new coordinator that stops what it took over for urgent work that waits.
#[test]
fn verify_urgent_gang_that_was_taken_over_is_not_preempted() {
    let workers = small_workers(2, 0);
    let record = Arc::new(JobRecord {
        customer: CustomerName::new("e"),
        ..(*job(&id(0), "urgent", vec![wide(gang(2, 0))])).clone()
    });
    let mut rig = open(&workers);
    rig.send(Event::JobAccepted(Arc::clone(&record)));
    rig.advance(20);
    let (_, progress) = rig.store_batches().pop().expect("the starts are recorded");
    let runs = rig.starts();
    let recovered = RecoveredJob {
        record,
        progress: Some(progress),
        is_cancelled: false,
    };
    let mut next = Rig::take_over(3_000, vec![recovered], &workers);
    next.send(Event::DesiredState(desired_with_customer_e()));
    for number in 1..3 {
        next.submit_as(&id(number), "c", "urgent", wide(gang(2, 0)));
    }
    for run in &runs {
        next.poll_reply(run.0.as_str(), vec![running(run)], Vec::new());
    }
    next.advance(500);
    next.store_batches();
    assert_eq!(next.preemptions(), vec![]);
    assert_eq!(next.stops(), vec![]);
    finish(&mut next, &runs, 1);
    assert_eq!(next.start_all().len(), 2);
}

/// Guards against a guaranteed share without cores: urgent work without accelerators holds all of them. It is no part
/// of any share, so it makes way whatever its own customer is guaranteed.
#[test]
fn verify_guarantee_takes_back_cores_from_urgent_work_without_accelerators() {
    for customer in CUSTOMERS {
        let mut rig = open(&small_workers(2, 8));
        rig.submit_as(&id(0), customer, "urgent", wide(gang(2, 0)));
        assert_eq!(rig.start_all().len(), 2);
        rig.submit_as(&id(1), "d", "urgent", wide(gang(2, 8)));
        rig.advance(20);
        let preemptions = rig.preemptions();
        assert_eq!(preemptions.len(), 1, "customer {customer}");
        assert_eq!(preemptions[0].step.job_id.as_str(), id(0));
        assert_eq!(rig.settle_stops().len(), 2);
        let starts = rig.start_all();
        assert_eq!(starts.len(), 2);
        let is_guaranteed = |start: &Run| start.1.job_id.as_str() == id(1);
        assert!(starts.iter().all(is_guaranteed), "{starts:?}");
        rig.advance(500);
        assert_eq!(rig.preemptions(), vec![], "it waits for its turn");
    }
}

/// Guards against urgent work without accelerators that makes way for all other work, as no share covers it.
#[test]
fn verify_urgent_work_without_accelerators_preempts_lower_priorities_and_borrowers() {
    let lower = ("patient", "d", VictimKind::LowerPriority);
    let borrower = ("urgent", "e", VictimKind::Borrower);
    for (queue, customer, kind) in [lower, borrower] {
        let mut rig = open(&small_workers(2, 8));
        rig.submit_as(&id(0), customer, queue, wide(gang(2, 8)));
        assert_eq!(rig.start_all().len(), 2);
        rig.submit_as(&id(1), "c", "urgent", wide(gang(2, 0)));
        rig.advance(20);
        let kinds: Vec<_> = rig.preemptions().iter().map(|logged| logged.kind).collect();
        assert_eq!(kinds, [kind], "{queue}");
        rig.settle_stops();
        assert_eq!(rig.start_all().len(), 2);
        rig.advance(500);
        assert_eq!(rig.preemptions(), vec![], "{kind}: nothing is taken back");
    }
}

/// Guards against guaranteed work that is stopped for work without a guarantee.
#[test]
fn verify_guaranteed_work_is_not_preempted_by_work_without_accelerators() {
    let mut rig = open(&small_workers(2, 8));
    rig.submit_as(&id(0), "d", "urgent", wide(gang(2, 8)));
    assert_eq!(rig.start_all().len(), 2);
    rig.submit_as(&id(1), "c", "urgent", wide(gang(2, 0)));
    rig.advance(500);
    assert_eq!(rig.preemptions(), vec![]);
}

/// Guards against an urgent gang that never starts because small urgent work, which it may not preempt, takes each gap.
#[test]
fn verify_urgent_gang_without_accelerators_starts_in_a_stream_of_small_urgent_work() {
    let workers = small_workers(12, 0);
    let mut rig = open(&workers);
    let small = StepSpec {
        need: Resources {
            cpu_millis: 5_000,
            memory_mb: 100,
            accelerators: 0,
        },
        estimate_ms: DurationMs(300),
        ..step(12, 0)
    };
    let mut active: Vec<(u32, Run)> = Vec::new();
    let mut sequence = 0;
    for round in 0..60 {
        if round == 5 {
            rig.submit_as(&id(0), "c", "urgent", wide(gang(3, 0)));
        }
        rig.submit_as(&id(100 + round), "d", "urgent", small.clone());
        let started = rig.start_all();
        if started.iter().any(|run| run.1.job_id.as_str() == id(0)) {
            return;
        }
        // Tasks last for different times, so that the room of several is never free at once by chance.
        active.extend(
            started
                .into_iter()
                .map(|run| (round + 1 + run.1.index % 3, run)),
        );
        rig.advance(80);
        for worker in &workers {
            let on_worker = |(_, run): &&(u32, Run)| run.0 == worker.name;
            let (over, others): (Vec<_>, Vec<_>) = active
                .iter()
                .filter(on_worker)
                .partition(|(last_round, _)| *last_round <= round);
            let ends = over.iter().map(|(_, run)| {
                sequence += 1;
                ended(sequence, run, EndKind::Done)
            });
            let ends = ends.collect();
            let still = others.iter().map(|(_, run)| running(run)).collect();
            rig.poll_reply(worker.name.as_str(), still, ends);
        }
        active.retain(|(last_round, _)| *last_round > round);
        rig.store_batches();
    }
    panic!("the gang has not started");
}

/// Guards against a guarantee that waits for what an older urgent gang without accelerators has reserved: it may
/// preempt that gang, so it comes before it.
#[test]
fn verify_guarantee_is_not_kept_off_by_a_reservation_of_work_without_accelerators() {
    let workers = small_workers(12, 8);
    let mut state = DesiredState::clone(&desired_with_customer_e());
    let customer = state
        .customers
        .get_mut(&CustomerName::new("d"))
        .expect("customer d");
    customer.guaranteed_accelerators = 96;
    let mut rig = Rig::new(&workers);
    rig.send(Event::DesiredState(Arc::new(state)));
    let small = StepSpec {
        need: Resources {
            cpu_millis: 6_000,
            memory_mb: 100,
            accelerators: 0,
        },
        max_per_worker: Some(1),
        ..step(12, 0)
    };
    rig.submit_as(&id(0), "c", "urgent", small);
    assert_eq!(
        rig.start_all().len(),
        12,
        "no worker has the cores of a gang member left"
    );
    rig.submit_as(&id(1), "c", "urgent", wide(gang(3, 0)));
    rig.advance(100);
    rig.submit_as(&id(2), "d", "urgent", wide(gang(12, 8)));
    rig.advance(100);
    rig.settle_stops();
    let starts = rig.start_all();
    let guaranteed = starts.iter().filter(|run| run.1.job_id.as_str() == id(2));
    assert_eq!(guaranteed.count(), 12);
}
