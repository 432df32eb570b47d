//! Recovery from stored progress of any content.

mod rig;

use quickcheck::{Arbitrary, Gen, QuickCheck};
use ragwortwick_area::{
    EndKind, Event, JobPhase, JobProgress, RecoveredJob, RunningTask, TaskId, TaskProgress,
};
use ragwortwick_core::{DurationMs, JobId, WorkerName};
use rig::{Rig, ended, gang, job, running, step, worker};

const ID: &str = "00000000000000e1";

/// Number of random records.
const CASES: u64 = 400;

/// Progress as a faulty or newer writer may have left it: tasks twice, out of range, or in contradiction.
#[derive(Clone, Debug)]
struct AnyProgress(JobProgress);

impl Arbitrary for AnyProgress {
    fn arbitrary(g: &mut Gen) -> Self {
        let phases = [
            JobPhase::Queued,
            JobPhase::Running,
            JobPhase::Completed,
            JobPhase::Failed,
            JobPhase::Cancelled,
        ];
        let count = usize::arbitrary(g) % 8;
        Self(JobProgress {
            phase: *g.choose(&phases).expect("there are phases"),
            tasks: (0..count).map(|_| any_task(g)).collect(),
            ..JobProgress::default()
        })
    }
}

fn any_task(g: &mut Gen) -> TaskProgress {
    let workers = [None, Some("w1"), Some("w2"), Some("gone")];
    let runs = [0, 1, 2, 7, u32::MAX];
    TaskProgress {
        occurrence: u32::arbitrary(g) % 2,
        step: u32::arbitrary(g) % 3,
        index: u32::arbitrary(g) % 4,
        last_run: *g.choose(&runs).expect("there are runs"),
        failures: *g.choose(&runs).expect("there are counts"),
        abandoned_runs: (0..u32::arbitrary(g) % 3).collect(),
        crashes: *g.choose(&runs).expect("there are counts"),
        crash_age_ms: Some(DurationMs(u64::arbitrary(g))),
        crash_run: u32::arbitrary(g),
        is_done: bool::arbitrary(g),
        worker: g.choose(&workers).copied().flatten().map(WorkerName::new),
        checkpoint: "".into(),
    }
}

/// Recovers the job, lets its runs end, and cancels it.
fn runs_without_panic(AnyProgress(progress): AnyProgress) -> bool {
    let recovered = RecoveredJob {
        record: job(ID, "middle", vec![step(3, 2), gang(2, 4)]),
        progress: Some(progress.clone()),
        is_cancelled: false,
    };
    let mut rig = Rig::take_over(
        1_000,
        vec![recovered],
        &[worker("w1", "r1"), worker("w2", "r1")],
    );
    rig.advance(100);
    rig.store_batches();
    let runs: Vec<_> = progress.tasks.iter().map(run_of).collect();
    let rows: Vec<RunningTask> = runs.iter().map(running).collect();
    rig.poll_reply("w1", rows, Vec::new());
    rig.advance(100);
    let kinds = [EndKind::Done, EndKind::Failed, EndKind::Stopped];
    let ends = (1..).zip(&runs).zip(kinds.iter().cycle());
    let ends = ends.map(|((sequence, run), kind)| ended(sequence, run, *kind));
    rig.poll_reply("w1", Vec::new(), ends.collect());
    rig.start_all();
    rig.send(Event::JobCancelled(JobId::new(ID)));
    rig.advance(20_000);
    rig.store_batches();
    true
}

fn run_of(task: &TaskProgress) -> (WorkerName, TaskId, u32) {
    let id = TaskId {
        job_id: JobId::new(ID),
        occurrence: task.occurrence,
        step: task.step,
        index: task.index,
    };
    (WorkerName::new("w1"), id, task.last_run)
}

/// Guards against a stored record that ends one coordinator after the other.
#[test]
fn verify_no_recovered_record_ends_its_coordinator() {
    QuickCheck::new()
        .tests(CASES)
        .quickcheck(runs_without_panic as fn(AnyProgress) -> bool);
}
