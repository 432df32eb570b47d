//! Tasks that crash the workers that start them, and workers that are lost for other reasons.

mod rig;

use std::collections::BTreeSet;
use std::sync::Arc;

use ragwortwick_area::{
    Event, JobPhase, JobProgress, JobRecord, OrderReply, PollFailure, RecoveredJob, RefusalCause,
    StepSpec, TaskId, WorkerEntry,
};
use ragwortwick_core::{JobId, WorkerName};
use rig::{Rig, gang, job, running, step, worker};

/// Starts of a task that are allowed once three workers have crashed under it.
const MOST_STARTS_AFTER: usize = 2;

/// Crashes after which these starts are counted.
const CRASHES_BEFORE: usize = 3;

/// How long a crashed worker is away.
const AWAY_MS: u64 = 3_000;

/// Workers of which each life has a name of its own.
struct Fleet {
    entries: Vec<WorkerEntry>,
    lives: u32,
}

impl Fleet {
    fn new(count: u32) -> Self {
        let entries = (0..count).map(|number| worker(&format!("w{number}"), "r1"));
        Self {
            entries: entries.collect(),
            lives: 0,
        }
    }

    /// The process of a worker ends, and another life of it answers some seconds later.
    fn crash(&mut self, rig: &mut Rig, name: &WorkerName) {
        rig.poll_fails_with(name, PollFailure::Closed);
        rig.advance(AWAY_MS);
        rig.poll_fails_with(name, PollFailure::WrongLife);
        self.come_back(rig, name);
    }

    /// Another life of a lost worker is listed, at the same address.
    fn come_back(&mut self, rig: &mut Rig, name: &WorkerName) {
        self.lives += 1;
        let next = WorkerName::new(format!("{}-{}", name.as_str(), self.lives));
        let mut entries = self.entries.iter_mut();
        let entry = entries.find(|entry| entry.name == *name);
        let entry = entry.expect("it is one of them");
        entry.name = next;
        let entry = entry.clone();
        rig.send(Event::WorkerRemoved(name.clone()));
        rig.send(Event::WorkerUpdated(entry));
    }
}

/// An area in which one worker has crashed under a task that waits again.
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

/// A task that crashes each worker that starts it must not take down one worker after the other.
#[test]
fn verify_a_task_that_crashes_its_workers_is_given_up() {
    let mut fleet = Fleet::new(6);
    let mut rig = Rig::new(&fleet.entries);
    rig.submit(CRASHER, "urgent", step(1, 8));
    let mut starts = 0;
    while let [start] = &*rig.start_all() {
        starts += 1;
        assert!(
            starts <= CRASHES_BEFORE + MOST_STARTS_AFTER,
            "started once more"
        );
        let name = start.0.clone();
        fleet.crash(&mut rig, &name);
    }
    assert_eq!(phase(&rig, CRASHER), Some(JobPhase::Failed));
}

/// A new coordinator that counts crashes from zero lets a task take down as many workers again.
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
            starts <= CRASHES_BEFORE + MOST_STARTS_AFTER,
            "started once more"
        );
        rig.accept(start);
        fleet.crash(&mut rig, &start.0);
        // The coordinator stores what it has heard, and dies before the next start.
        let records = rig.batches().pop().map(|(_, records)| records);
        let of_job = records.and_then(|mut records| records.pop());
        progress = of_job.map(|record| record.progress).or(progress);
    }
    panic!("the task is never given up");
}

/// The tasks beside one that crashes its workers lose their runs as often, and have done nothing.
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
        workers_lost <= CRASHES_BEFORE + MOST_STARTS_AFTER,
        "{workers_lost} lost"
    );
    for number in 0..6 {
        let id = format!("00000000000000e{number}");
        assert_eq!(phase(&rig, &id), Some(JobPhase::Running), "{id}");
    }
}

/// A worker that crashes while a suspect and something new begin there would tell against both.
#[test]
fn verify_nothing_begins_beside_a_task_that_may_crash_its_worker() {
    let (_, mut rig, _) = after_a_crash(1, "urgent");
    assert_eq!(rig.start_all().len(), 1, "the suspect begins again");
    rig.submit("00000000000000e1", "urgent", step(1, 1));
    assert_eq!(rig.start_all(), vec![]);
    rig.advance(1_100);
    assert_eq!(
        rig.start_all().len(),
        1,
        "the suspect has not crashed its worker"
    );
}

/// Jobs on a rack that goes out several times lose their workers through no fault of their own.
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
            rig.advance(AWAY_MS);
            for start in &starts {
                rig.poll_fails_with(&start.0, PollFailure::WrongLife);
                fleet.come_back(&mut rig, &start.0);
            }
        }
        for id in ids {
            assert_ne!(phase(&rig, id), Some(JobPhase::Failed), "{id}, {failure:?}");
        }
    }
}

/// Plays a task that loses a worker after each of these times.
fn loses_workers_after(spans_ms: &[u64], spec: StepSpec) -> Option<JobPhase> {
    let mut fleet = Fleet::new(2);
    let mut rig = Rig::new(&fleet.entries);
    rig.submit(CRASHER, "urgent", spec);
    for &span_ms in spans_ms {
        let starts = rig.start_all();
        let Some(start) = starts.first() else { break };
        rig.advance(span_ms);
        fleet.crash(&mut rig, &start.0);
    }
    phase(&rig, CRASHER)
}

/// A task that crashes its workers in the middle of its work takes down as many as one that does at once.
#[test]
fn verify_a_task_that_crashes_workers_midway_is_given_up() {
    let spans_ms = [4_000, 4_300, 3_800];
    let phase = loses_workers_after(&spans_ms, step(1, 8));
    assert_eq!(phase, Some(JobPhase::Failed));
}

/// A task that loses one worker after the other, each at another point of its work, is out of luck.
#[test]
fn verify_a_task_that_loses_workers_now_and_then_is_not_given_up() {
    let spans_ms = [4_000, 9_000, 200, 14_000, 2_500, 7_000];
    let phase = loses_workers_after(&spans_ms, step(1, 8));
    assert_eq!(phase, Some(JobPhase::Running));
}

/// What has to last is started again however it ends, but not on one worker after the other.
#[test]
fn verify_a_lasting_task_that_crashes_its_workers_is_given_up() {
    let spec = StepSpec {
        is_long_running: true,
        ..step(1, 8)
    };
    let phase = loses_workers_after(&[10, 10, 10], spec);
    assert_eq!(phase, Some(JobPhase::Failed));
}

/// A worker that was told that it would leave is gone when it said.
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
            ..entry.expect("it is one of them").clone()
        }));
        fleet.crash(&mut rig, name);
    }
    assert_eq!(phase(&rig, CRASHER), Some(JobPhase::Running));
}

/// A worker that stops answering has lost its power or its path, which is nothing that a task does.
#[test]
fn verify_a_job_whose_workers_lose_power_is_not_given_up() {
    let mut fleet = Fleet::new(2);
    let mut rig = Rig::new(&fleet.entries);
    rig.submit(CRASHER, "urgent", step(1, 8));
    for round in 0..5 {
        let starts = rig.start_all();
        assert_eq!(starts.len(), 1, "round {round}");
        rig.poll_fails(&starts[0].0);
        rig.advance(AWAY_MS);
        rig.poll_fails_with(&starts[0].0, PollFailure::WrongLife);
        fleet.come_back(&mut rig, &starts[0].0);
    }
    assert_eq!(phase(&rig, CRASHER), Some(JobPhase::Running));
}

/// What begins just before a suspect, on the same worker, would be under the same suspicion.
#[test]
fn verify_a_task_that_may_crash_its_worker_begins_where_nothing_else_does() {
    let (_, mut rig, _) = after_a_crash(1, "patient");
    rig.submit("00000000000000e1", "urgent", step(1, 1));
    let starts = rig.start_all();
    assert_eq!(starts.len(), 1);
    assert_eq!(starts[0].1.job_id.as_str(), "00000000000000e1");
    rig.advance(1_100);
    assert_eq!(rig.start_all().len(), 1, "the suspect begins");
}

/// What begins in the same pass as a suspect, on the same worker, would be under the same suspicion.
#[test]
fn verify_nothing_begins_at_once_with_a_task_that_may_crash_its_worker() {
    let (_, mut rig, _) = after_a_crash(1, "urgent");
    rig.submit("00000000000000e1", "patient", step(1, 1));
    let starts = rig.start_all();
    assert_eq!(starts.len(), 1);
    assert_eq!(starts[0].1.job_id.as_str(), CRASHER);
}

/// A crash at the start of a task under which a worker has crashed before tells against that task alone.
#[test]
fn verify_tasks_long_at_work_are_not_suspected_beside_a_repeated_crash() {
    let (mut fleet, mut rig, task) = after_a_crash(1, "middle");
    rig.losses();
    rig.submit("00000000000000e1", "urgent", step(1, 1));
    assert_eq!(rig.start_all().len(), 1);
    rig.advance(2_000);
    let again = rig.start_all();
    fleet.crash(&mut rig, &again[0].0);
    let told = rig.losses();
    assert_eq!(told[0].runs.len(), 2);
    assert_eq!(told[0].suspects, vec![(task, 2)]);
}

/// A start that each worker refuses for good would be sent again with each pass, to one after the other.
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

/// Plays one term of a coordinator that finds these jobs, with every run's worker in another life already;
/// gives what it stores of each job.
fn finds_workers_lost(
    fleet: &mut Fleet,
    jobs: &[(Arc<JobRecord>, Option<JobProgress>)],
    begins_ms: u64,
) -> (Rig, Vec<Option<JobProgress>>) {
    let known = jobs.iter().map(|(record, progress)| RecoveredJob {
        record: Arc::clone(record),
        progress: progress.clone(),
        is_cancelled: false,
    });
    let mut rig = Rig::take_over(begins_ms, known.collect(), &fleet.entries);
    let held = jobs.iter().flat_map(|(_, progress)| progress);
    let held = held.flat_map(|progress| &progress.tasks);
    let lost: BTreeSet<WorkerName> = held.filter_map(|task| task.worker.clone()).collect();
    for name in lost {
        rig.poll_fails_with(&name, PollFailure::WrongLife);
        fleet.come_back(&mut rig, &name);
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
        .map(|(record, before)| of_job(record).or_else(|| before.clone()))
        .collect();
    (rig, progress)
}

/// Coordinators that die right after each start see nothing but another life where the run was.
#[test]
fn verify_a_crash_between_two_coordinators_counts() {
    let mut fleet = Fleet::new(6);
    let record = job(CRASHER, "urgent", vec![step(1, 8)]);
    let mut progress = None;
    for term in 1..=4 {
        let jobs = [(Arc::clone(&record), progress)];
        let (rig, stored) = finds_workers_lost(&mut fleet, &jobs, term * 10_000);
        progress = stored.into_iter().next().flatten();
        let expected = if term == 4 {
            JobPhase::Failed
        } else {
            JobPhase::Running
        };
        assert_eq!(phase(&rig, CRASHER), Some(expected), "term {term}");
    }
}

/// A rack that is out during each takeover tells nothing against the jobs on it.
#[test]
fn verify_workers_lost_together_between_two_coordinators_count_for_nobody() {
    let mut fleet = Fleet::new(8);
    let ids: Vec<String> = (0..8)
        .map(|number| format!("00000000000000f{number}"))
        .collect();
    let records = ids.iter().map(|id| job(id, "urgent", vec![step(1, 8)]));
    let mut jobs: Vec<_> = records.map(|record| (record, None)).collect();
    for term in 1..=6 {
        let (rig, stored) = finds_workers_lost(&mut fleet, &jobs, term * 10_000);
        for ((_, progress), stored) in jobs.iter_mut().zip(stored) {
            *progress = stored;
        }
        let failed = ids
            .iter()
            .filter(|id| phase(&rig, id) == Some(JobPhase::Failed));
        assert_eq!(failed.count(), 0, "term {term}");
    }
}
