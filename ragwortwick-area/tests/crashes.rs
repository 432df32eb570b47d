//! Tasks that crash the workers that start them, and workers that are lost for other causes.

mod rig;

use std::collections::BTreeSet;
use std::sync::Arc;

use ragwortwick_area::{
    Action, Event, JobPhase, JobProgress, JobRecord, OrderReply, PollFailure, RecoveredJob,
    RefusalCause, StepSpec, TaskId, WorkerEntry,
};
use ragwortwick_core::{DurationMs, JobId, WorkerName};
use rig::{Rig, gang, job, running, step, worker};

/// Maximum number of further starts of a task once three workers have crashed while running it.
const MAX_STARTS_AFTER_CRASHES: usize = 2;

/// Number of crashes after which these starts are counted.
const COUNTED_AFTER_CRASHES: usize = 3;

/// How long a crashed worker is down.
const DOWN_MS: u64 = 3_000;

/// A fleet of workers in which each incarnation of a worker has a name of its own.
struct Fleet {
    entries: Vec<WorkerEntry>,
    incarnations: u32,
}

impl Fleet {
    fn new(count: u32) -> Self {
        let entries = (0..count).map(|number| worker(&format!("w{number}"), "r1"));
        Self {
            entries: entries.collect(),
            incarnations: 0,
        }
    }

    /// Ends the process of a worker; another incarnation replies some seconds later.
    fn crash(&mut self, rig: &mut Rig, name: &WorkerName) {
        rig.poll_fails_with(name, PollFailure::Closed);
        rig.advance(DOWN_MS);
        rig.poll_fails_with(name, PollFailure::WrongLife);
        self.restart(rig, name);
    }

    /// Lists another incarnation of a lost worker at the same address.
    fn restart(&mut self, rig: &mut Rig, name: &WorkerName) {
        self.incarnations += 1;
        let next = WorkerName::new(format!("{}-{}", name.as_str(), self.incarnations));
        let mut entries = self.entries.iter_mut();
        let entry = entries.find(|entry| entry.name == *name);
        let entry = entry.expect("a worker of the fleet");
        entry.name = next;
        let entry = entry.clone();
        rig.send(Event::WorkerRemoved(name.clone()));
        rig.list_worker(&entry);
    }
}

/// Returns an area in which one worker has crashed while running a task, which waits to be placed again.
fn after_a_crash(workers: u32, queue: &str) -> (Fleet, Rig, TaskId) {
    let mut fleet = Fleet::new(workers);
    let mut rig = Rig::new(&fleet.entries);
    rig.submit(CRASHER, queue, step(1, 1));
    let first = rig.start_all();
    fleet.crash(&mut rig, &first[0].0);
    (fleet, rig, first[0].1.clone())
}

fn phase(rig: &Rig, id: &str) -> Option<JobPhase> {
    rig.coordinator.phase(&JobId::new(id))
}

const CRASHER: &str = "00000000000000d1";

/// Guards against endless restarts of a task that crashes each worker that starts it.
#[test]
fn verify_a_task_that_crashes_its_workers_is_given_up() {
    let mut fleet = Fleet::new(6);
    let mut rig = Rig::new(&fleet.entries);
    rig.submit(CRASHER, "urgent", step(1, 8));
    let mut starts = 0;
    while let [start] = &*rig.start_all() {
        starts += 1;
        assert!(
            starts <= COUNTED_AFTER_CRASHES + MAX_STARTS_AFTER_CRASHES,
            "started too often"
        );
        let name = start.0.clone();
        fleet.crash(&mut rig, &name);
    }
    assert_eq!(phase(&rig, CRASHER), Some(JobPhase::Failed));
}

/// Guards against a new coordinator that counts crashes from zero, so that as many workers crash again.
#[test]
fn verify_crashes_of_a_task_count_across_takeovers() {
    let mut fleet = Fleet::new(6);
    let record: Arc<JobRecord> = job(CRASHER, "urgent", vec![step(1, 8)]);
    let mut progress: Option<JobProgress> = None;
    let mut starts = 0;
    for term in 0..10_u64 {
        let known = RecoveredJob {
            record: Arc::clone(&record),
            progress: progress.clone(),
            is_cancelled: false,
        };
        let mut rig = Rig::take_over(10_000 + term * 10_000, vec![known], &fleet.entries);
        rig.advance(20);
        progress = rig
            .store_batches()
            .pop()
            .map(|stored| stored.1)
            .or(progress);
        let [start] = &*rig.starts() else {
            assert_eq!(phase(&rig, CRASHER), Some(JobPhase::Failed));
            return;
        };
        starts += 1;
        assert!(
            starts <= COUNTED_AFTER_CRASHES + MAX_STARTS_AFTER_CRASHES,
            "started too often"
        );
        rig.accept(start);
        fleet.crash(&mut rig, &start.0);
        // The coordinator stores the crash, and ends before the next start.
        let records = rig.batches().pop().map(|(_, records)| records);
        let of_job = records.and_then(|mut records| records.pop());
        progress = of_job.map(|record| record.progress).or(progress);
    }
    panic!("the task never fails");
}

/// Guards against failing harmless tasks that lose as many runs beside a task that crashes its workers.
#[test]
fn verify_tasks_beside_one_that_crashes_workers_are_not_given_up() {
    let mut fleet = Fleet::new(3);
    let mut rig = Rig::new(&fleet.entries);
    for number in 0..6 {
        rig.submit(&format!("00000000000000e{number}"), "patient", step(3, 1));
    }
    rig.submit(CRASHER, "patient", step(1, 1));
    let mut workers_lost = 0;
    for _ in 0..60 {
        let starts = rig.start_all();
        let crasher = starts
            .iter()
            .find(|start| start.1.job_id.as_str() == CRASHER);
        if let Some(start) = crasher {
            workers_lost += 1;
            fleet.crash(&mut rig, &start.0);
        }
        rig.advance(500);
    }
    assert_eq!(phase(&rig, CRASHER), Some(JobPhase::Failed));
    assert!(
        workers_lost <= COUNTED_AFTER_CRASHES + MAX_STARTS_AFTER_CRASHES,
        "{workers_lost} lost"
    );
    for number in 0..6 {
        let id = format!("00000000000000e{number}");
        assert_eq!(phase(&rig, &id), Some(JobPhase::Running), "{id}");
    }
}

/// Guards against a start beside a suspect task: a crash would then be attributed to both.
#[test]
fn verify_nothing_begins_beside_a_task_that_may_crash_its_worker() {
    let (_, mut rig, _) = after_a_crash(1, "urgent");
    assert_eq!(rig.start_all().len(), 1, "the suspect starts again");
    rig.submit("00000000000000e1", "urgent", step(1, 1));
    assert_eq!(rig.start_all(), vec![]);
    rig.advance(1_100);
    assert_eq!(
        rig.start_all().len(),
        1,
        "the suspect has not crashed its worker"
    );
}

/// Guards against failing jobs on a rack that fails several times, a cause outside the jobs.
#[test]
fn verify_a_job_on_a_rack_that_goes_out_is_not_given_up() {
    for failure in [PollFailure::NoAnswer, PollFailure::Closed] {
        let mut fleet = Fleet::new(4);
        let mut rig = Rig::new(&fleet.entries);
        let ids = ["00000000000000f1", "00000000000000f2"];
        rig.submit(ids[0], "urgent", gang(3, 8));
        rig.submit(ids[1], "urgent", step(1, 8));
        for round in 0..6 {
            let starts = rig.start_all();
            assert_eq!(starts.len(), 4, "round {round}");
            rig.advance(2_000);
            for start in &starts {
                rig.poll_reply(start.0.as_str(), vec![running(start)], vec![]);
            }
            for start in &starts {
                rig.poll_fails_with(&start.0, failure);
            }
            rig.advance(DOWN_MS);
            for start in &starts {
                rig.poll_fails_with(&start.0, PollFailure::WrongLife);
                fleet.restart(&mut rig, &start.0);
            }
        }
        for id in ids {
            assert_ne!(phase(&rig, id), Some(JobPhase::Failed), "{id}, {failure:?}");
        }
    }
}

/// Runs a task whose workers crash one after the other, each after the given time.
fn phase_after_crashes(run_ages_ms: &[u64], spec: StepSpec) -> Option<JobPhase> {
    let mut fleet = Fleet::new(2);
    let mut rig = Rig::new(&fleet.entries);
    rig.submit(CRASHER, "urgent", spec);
    for &run_age_ms in run_ages_ms {
        let starts = rig.start_all();
        let Some(start) = starts.first() else { break };
        rig.advance(run_age_ms);
        fleet.crash(&mut rig, &start.0);
    }
    phase(&rig, CRASHER)
}

/// Guards against a task that crashes its workers midway and is restarted without end.
#[test]
fn verify_a_task_that_crashes_workers_midway_is_given_up() {
    let run_ages_ms = [4_000, 4_300, 3_800];
    let phase = phase_after_crashes(&run_ages_ms, step(1, 8));
    assert_eq!(phase, Some(JobPhase::Failed));
}

/// Guards against failing a task whose workers crash at different points of its work.
#[test]
fn verify_a_task_that_loses_workers_now_and_then_is_not_given_up() {
    let run_ages_ms = [4_000, 9_000, 200, 14_000, 2_500, 7_000];
    let phase = phase_after_crashes(&run_ages_ms, step(1, 8));
    assert_eq!(phase, Some(JobPhase::Running));
}

/// Guards against restarts without end because crashes are noticed only after a pause of the coordinator.
#[test]
fn verify_crashes_that_are_noticed_late_count() {
    let mut fleet = Fleet::new(6);
    let mut rig = Rig::new(&fleet.entries);
    rig.submit(CRASHER, "urgent", step(1, 8));
    for pause_ms in [0, 900, 2_500] {
        let starts = rig.start_all();
        let start = starts.first().expect("the task starts");
        rig.advance(1_300);
        rig.now = rig.now + DurationMs(pause_ms);
        fleet.crash(&mut rig, &start.0);
    }
    assert_eq!(phase(&rig, CRASHER), Some(JobPhase::Failed));
}

/// Guards against forgetting crashes of a task because a run of it was lost before it got to their point.
#[test]
fn verify_a_run_lost_at_its_start_does_not_lower_the_crash_count() {
    let run_ages_ms = [4_000, 4_000, 100, 4_000];
    let phase = phase_after_crashes(&run_ages_ms, step(1, 8));
    assert_eq!(phase, Some(JobPhase::Failed));
}

/// Guards against a long-running task, always restarted, that crashes one worker after the other.
#[test]
fn verify_a_lasting_task_that_crashes_its_workers_is_given_up() {
    let spec = StepSpec {
        is_long_running: true,
        ..step(1, 8)
    };
    let phase = phase_after_crashes(&[10, 10, 10], spec);
    assert_eq!(phase, Some(JobPhase::Failed));
}

/// Guards against counting the announced end of a draining worker as a crash.
#[test]
fn verify_a_job_whose_workers_leave_is_not_given_up() {
    let mut fleet = Fleet::new(2);
    let mut rig = Rig::new(&fleet.entries);
    rig.submit(CRASHER, "urgent", step(1, 8));
    for round in 0..5 {
        let starts = rig.start_all();
        assert_eq!(starts.len(), 1, "round {round}");
        let name = &starts[0].0;
        let entry = fleet.entries.iter().find(|entry| entry.name == *name);
        rig.send(Event::WorkerUpdated(WorkerEntry {
            is_draining: true,
            ..entry.expect("a worker of the fleet").clone()
        }));
        fleet.crash(&mut rig, name);
    }
    assert_eq!(phase(&rig, CRASHER), Some(JobPhase::Running));
}

/// Guards against attributing an unresponsive worker, which lost power or network, to its task.
#[test]
fn verify_a_job_whose_workers_lose_power_is_not_given_up() {
    let mut fleet = Fleet::new(2);
    let mut rig = Rig::new(&fleet.entries);
    rig.submit(CRASHER, "urgent", step(1, 8));
    for round in 0..5 {
        let starts = rig.start_all();
        assert_eq!(starts.len(), 1, "round {round}");
        rig.poll_fails(&starts[0].0);
        rig.advance(DOWN_MS);
        rig.poll_fails_with(&starts[0].0, PollFailure::WrongLife);
        fleet.restart(&mut rig, &starts[0].0);
    }
    assert_eq!(phase(&rig, CRASHER), Some(JobPhase::Running));
}

/// Guards against starting a suspect right after another task, which would become a suspect too.
#[test]
fn verify_a_task_that_may_crash_its_worker_begins_where_nothing_else_does() {
    let (_, mut rig, _) = after_a_crash(1, "patient");
    rig.submit("00000000000000e1", "urgent", step(1, 1));
    let starts = rig.start_all();
    assert_eq!(starts.len(), 1);
    assert_eq!(starts[0].1.job_id.as_str(), "00000000000000e1");
    rig.advance(1_100);
    assert_eq!(rig.start_all().len(), 1, "the suspect starts");
}

/// Guards against starting another task in the placement pass that starts a suspect on the same worker.
#[test]
fn verify_nothing_begins_at_once_with_a_task_that_may_crash_its_worker() {
    let (_, mut rig, _) = after_a_crash(1, "urgent");
    rig.submit("00000000000000e1", "patient", step(1, 1));
    let starts = rig.start_all();
    assert_eq!(starts.len(), 1);
    assert_eq!(starts[0].1.job_id.as_str(), CRASHER);
}

/// Guards against suspecting tasks that have run for long when a known suspect crashes at its start.
#[test]
fn verify_tasks_long_at_work_are_not_suspected_beside_a_repeated_crash() {
    let (mut fleet, mut rig, task) = after_a_crash(1, "middle");
    rig.losses();
    rig.submit("00000000000000e1", "urgent", step(1, 1));
    assert_eq!(rig.start_all().len(), 1);
    rig.advance(2_000);
    let restarted = rig.start_all();
    fleet.crash(&mut rig, &restarted[0].0);
    let losses = rig.losses();
    assert_eq!(losses[0].runs.len(), 2);
    assert_eq!(losses[0].suspects, vec![(task, 2)]);
}

/// Guards against a start that every worker refuses and that is sent again with each placement pass.
#[test]
fn verify_a_start_that_every_worker_refuses_is_repeated_ever_later() {
    let fleet = Fleet::new(4);
    let mut rig = Rig::new(&fleet.entries);
    rig.submit(CRASHER, "middle", step(1, 1));
    let mut starts_by_second = Vec::new();
    for _ in 0..20 {
        let mut starts = 0;
        for _ in 0..100 {
            rig.advance(10);
            rig.store_batches();
            for start in rig.starts() {
                starts += 1;
                rig.reply(&start, OrderReply::Refused(RefusalCause::Invalid));
            }
        }
        starts_by_second.push(starts);
    }
    let later: u32 = starts_by_second[4..].iter().sum();
    assert!(starts_by_second[0] <= 4, "{starts_by_second:?}");
    assert!((1..=4).contains(&later), "{starts_by_second:?}");
}

/// Runs one term of a coordinator that takes over these jobs after the workers of all their runs have
/// restarted; returns the progress that it stores of each job.
fn take_over_after_restarts(
    fleet: &mut Fleet,
    jobs: &[(Arc<JobRecord>, Option<JobProgress>)],
    term_start_ms: u64,
) -> (Rig, Vec<Option<JobProgress>>) {
    let known = jobs.iter().map(|(record, progress)| RecoveredJob {
        record: Arc::clone(record),
        progress: progress.clone(),
        is_cancelled: false,
    });
    let mut rig = Rig::take_over(term_start_ms, known.collect(), &fleet.entries);
    let stored = jobs.iter().flat_map(|(_, progress)| progress);
    let tasks = stored.flat_map(|progress| &progress.tasks);
    let lost: BTreeSet<WorkerName> = tasks.filter_map(|task| task.worker.clone()).collect();
    for name in lost {
        rig.poll_fails_with(&name, PollFailure::WrongLife);
        fleet.restart(&mut rig, &name);
    }
    rig.advance(1_200);
    let stored = rig.store_batches();
    let of_job = |record: &JobRecord| {
        let mut records = stored.iter().rev();
        let found = records.find(|(job_id, _)| *job_id == record.job_id);
        found.map(|(_, progress)| progress.clone())
    };
    let progress = jobs
        .iter()
        .map(|(record, previous)| of_job(record).or_else(|| previous.clone()))
        .collect();
    (rig, progress)
}

/// Guards against uncounted crashes if each coordinator ends right after a start, before its worker crashes.
#[test]
fn verify_a_crash_between_two_coordinators_counts() {
    let mut fleet = Fleet::new(6);
    let record = job(CRASHER, "urgent", vec![step(1, 8)]);
    let mut progress = None;
    for term in 1..=4 {
        let jobs = [(Arc::clone(&record), progress)];
        let (rig, stored) = take_over_after_restarts(&mut fleet, &jobs, term * 10_000);
        progress = stored.into_iter().next().flatten();
        let expected = if term == 4 {
            JobPhase::Failed
        } else {
            JobPhase::Running
        };
        assert_eq!(phase(&rig, CRASHER), Some(expected), "term {term}");
    }
}

/// Guards against attributing a rack failure during each takeover to the jobs on that rack.
#[test]
fn verify_workers_lost_together_between_two_coordinators_count_for_nobody() {
    let mut fleet = Fleet::new(8);
    let ids: Vec<String> = (0..8)
        .map(|number| format!("00000000000000f{number}"))
        .collect();
    let records = ids.iter().map(|id| job(id, "urgent", vec![step(1, 8)]));
    let mut jobs: Vec<_> = records.map(|record| (record, None)).collect();
    for term in 1..=6 {
        let (rig, stored) = take_over_after_restarts(&mut fleet, &jobs, term * 10_000);
        for ((_, progress), stored) in jobs.iter_mut().zip(stored) {
            *progress = stored;
        }
        let failed = ids
            .iter()
            .filter(|id| phase(&rig, id) == Some(JobPhase::Failed));
        assert_eq!(failed.count(), 0, "term {term}");
    }
}

/// Guards against a wait for leases on a worker that crashed between two coordinators, and against its crash
/// not being counted: it has no entry any more, so its address is known from the record alone.
#[test]
fn verify_a_worker_that_crashed_between_two_coordinators_is_polled_at_its_recorded_address() {
    let mut fleet = Fleet::new(6);
    let record = job(CRASHER, "urgent", vec![step(1, 8)]);
    let mut progress: Option<JobProgress> = None;
    for term in 1..=4 {
        let known = RecoveredJob {
            record: Arc::clone(&record),
            progress: progress.clone(),
            is_cancelled: false,
        };
        let mut rig = Rig::take_over(term * 10_000, vec![known], &fleet.entries);
        rig.advance(20);
        let placed = progress.iter().flat_map(|progress| &progress.tasks);
        let lost: Vec<WorkerName> = placed.filter_map(|task| task.worker.clone()).collect();
        for name in &lost {
            let polls = rig.take(|action| match action {
                Action::Poll {
                    worker, address, ..
                } if worker == name => Some(address.to_string()),
                _ => None,
            });
            assert!(!polls.is_empty() && !polls[0].is_empty(), "{polls:?}");
            rig.poll_fails_with(name, PollFailure::WrongLife);
        }
        rig.advance(1_200);
        let stored = rig.store_batches();
        progress = stored.into_iter().last().map(|(_, stored)| stored);
        let expected = if term == 4 {
            JobPhase::Failed
        } else {
            JobPhase::Running
        };
        assert_eq!(phase(&rig, CRASHER), Some(expected), "term {term}");
        let restarted = rig.starts();
        if let [start] = &*restarted {
            fleet.restart(&mut rig, &start.0);
        }
    }
}
