//! Tasks that crash the workers that start them, and workers that are lost for other reasons.

mod rig;

use std::sync::Arc;

use ragwortwick_area::{Event, JobPhase, JobRecord, KnownJob, LookFailure, Progress, WorkerEntry};
use ragwortwick_core::{JobId, WorkerName};
use rig::{Rig, job, step, worker};

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
        rig.look_fails_by(name, LookFailure::Closed);
        rig.pass(AWAY_MS);
        rig.look_fails_by(name, LookFailure::WrongLife);
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
        rig.tell(Event::WorkerGone(name.clone()));
        rig.tell(Event::WorkerSeen(entry));
    }
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
    rig.hand_in(CRASHER, "urgent", step(1, 8));
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
    let mut progress: Option<Progress> = None;
    let mut starts = 0;
    for term in 0..10_u64 {
        let known = KnownJob {
            record: Arc::clone(&record),
            progress: progress.clone(),
            is_cancelled: false,
        };
        let mut rig = Rig::take_over(10_000 + term * 10_000, vec![known], &fleet.entries);
        rig.pass(20);
        progress = rig.store().pop().map(|stored| stored.1).or(progress);
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
