//! Results of runs that a coordinator could not store, and what the next coordinator makes of them.

mod rig;

use std::sync::Arc;

use ragwortwick_area::{
    Action, EndKind, Event, JobPhase, JobProgress, JobRecord, PollFailure, ProgressRecord,
    RecoveredJob, RunEndEvidence, RunEndReason, RunEnded, RunResult, RunResultKind, TaskId,
    UnstoredResults,
};
use ragwortwick_core::{DurationMs, JobId, WorkerName};
use rig::{Rig, ended, gang, job, step, worker};

const ID: &str = "00000000000000c7";

fn task(job_id: &str, index: u32) -> TaskId {
    TaskId {
        job_id: JobId::new(job_id),
        occurrence: 0,
        step: 0,
        index,
    }
}

/// A term hands over exactly the completions that no stored batch contains. A missing one makes the task
/// run again; one that is never removed is handed over by each later term.
#[test]
fn verify_a_term_leaves_the_ends_that_no_batch_has_stored() {
    let mut unstored = UnstoredResults::default();
    let completed = |task, run| {
        Action::LogRunEnd(RunEnded {
            worker: WorkerName::new("w1"),
            task,
            run,
            reason: RunEndReason::Done,
            evidence: RunEndEvidence::Listed(EndKind::Done),
            start_orders: 1,
            start_replies: 1,
            reply_age_ms: None,
            ran_ms: None,
            lost_core_ms: 0,
        })
    };
    let batch_of = |batch, job_id: &str| Action::Store {
        batch,
        records: vec![ProgressRecord {
            job_id: JobId::new(job_id),
            progress: JobProgress::default(),
            has_new_phase: false,
            accounting: None,
        }],
    };
    unstored.record_action(&completed(task("a", 0), 1));
    unstored.record_action(&batch_of(1, "a"));
    unstored.record_action(&completed(task("a", 1), 2));
    unstored.record_action(&completed(task("b", 0), 3));
    unstored.record_action(&batch_of(2, "b"));
    unstored.remove_batch(1);
    let handed_over = unstored.take();
    let runs = |job_id: &str| -> Vec<(TaskId, u32)> {
        let results = handed_over.get(&JobId::new(job_id)).into_iter().flatten();
        results
            .map(|result| (result.task.clone(), result.run))
            .collect()
    };
    assert_eq!(runs("a"), [(task("a", 1), 2)]);
    assert_eq!(runs("b"), [(task("b", 0), 3)]);
    assert!(unstored.take().is_empty());
}

type Run = (WorkerName, TaskId, u32);

/// A coordinator that has lost the store, with the runs that it had recorded and started.
struct CutOffTerm {
    rig: Rig,
    record: Arc<JobRecord>,
    progress: JobProgress,
    runs: Vec<Run>,
}

const WORKERS: [&str; 4] = ["w1", "w2", "w3", "w4"];

fn fleet(names: &[&str]) -> Vec<ragwortwick_area::WorkerEntry> {
    names.iter().map(|name| worker(name, "r1")).collect()
}

impl CutOffTerm {
    fn new(spec: ragwortwick_area::StepSpec) -> Self {
        let record = job(ID, "middle", vec![spec]);
        let mut rig = Rig::new(&fleet(&WORKERS));
        rig.send(Event::JobAccepted(Arc::clone(&record)));
        rig.advance(20);
        let stored = rig.store_batches().pop();
        let (_, progress) = stored.expect("the starts are recorded");
        let runs = rig.starts();
        for run in &runs {
            rig.accept(run);
        }
        rig.actions.clear();
        Self {
            rig,
            record,
            progress,
            runs,
        }
    }

    /// The results that the term has learned since it lost the store.
    fn hand_over(mut self) -> (Vec<RunResult>, RecoveredJob) {
        let mut unstored = UnstoredResults::default();
        self.rig.advance(20);
        for action in &self.rig.actions {
            unstored.record_action(action);
        }
        let results = unstored.take().into_values().flatten().collect();
        let recovered = RecoveredJob {
            record: self.record,
            progress: Some(self.progress),
            is_cancelled: false,
        };
        (results, recovered)
    }
}

fn phase(rig: &Rig) -> Option<JobPhase> {
    rig.coordinator.phase(&JobId::new(ID))
}

/// Crashes the worker of each of the task's runs in terms that can't store it, until the job has failed or no
/// task starts; returns the number of starts.
fn starts_until_failed(is_repeated: bool) -> usize {
    let record = job(ID, "middle", vec![step(1, 8)]);
    let mut progress = None;
    let mut results: Vec<RunResult> = Vec::new();
    let mut starts = 0;
    for term in 0..12_u64 {
        let recovered = RecoveredJob {
            record: Arc::clone(&record),
            progress: progress.clone(),
            is_cancelled: false,
        };
        let name = format!("w-{term}");
        let mut rig = Rig::take_over(10_000 + term * 10_000, vec![recovered], &fleet(&[&name]));
        for _ in 0..=usize::from(is_repeated) {
            for result in &results {
                rig.send(Event::ResultHandedOver(result.clone()));
            }
        }
        rig.advance(20);
        let stored = rig.store_batches().pop();
        progress = stored.map(|(_, stored)| stored).or(progress);
        let Some(start) = rig.starts().pop() else {
            break;
        };
        starts += 1;
        rig.accept(&start);
        rig.actions.clear();
        rig.poll_fails_with(&start.0, PollFailure::Closed);
        rig.advance(1_000);
        rig.poll_fails_with(&start.0, PollFailure::WrongLife);
        rig.advance(20);
        let mut unstored = UnstoredResults::default();
        for action in &rig.actions {
            unstored.record_action(action);
        }
        results.extend(unstored.take().into_values().flatten());
    }
    starts
}

/// Guards against a task that goes on crashing workers because each coordinator loses the store with the crash.
#[test]
fn verify_crashes_that_no_term_could_store_fail_the_job() {
    assert_eq!(starts_until_failed(false), 3);
}

/// Guards against a job that fails early because one crash is handed over again and again.
#[test]
fn verify_a_crash_that_is_handed_over_twice_counts_once() {
    assert_eq!(starts_until_failed(true), 3);
}

/// Guards against a wait for leases on a worker that an earlier coordinator had seen crash.
#[test]
fn verify_runs_on_a_worker_that_had_crashed_start_again_at_once() {
    let mut term = CutOffTerm::new(step(2, 4));
    let crashed = term.runs[0].0.clone();
    term.rig.poll_fails_with(&crashed, PollFailure::Closed);
    term.rig.advance(1_000);
    term.rig.poll_fails_with(&crashed, PollFailure::WrongLife);
    let lost = term.runs.iter().filter(|run| run.0 == crashed).count();
    let (results, recovered) = term.hand_over();
    assert_eq!(results.len(), lost);
    let others: Vec<&str> = WORKERS
        .into_iter()
        .filter(|name| *name != crashed.as_str())
        .collect();
    let mut next = Rig::take_over(10_000, vec![recovered], &fleet(&others));
    for result in results {
        next.send(Event::ResultHandedOver(result));
    }
    assert_eq!(next.start_all().len(), lost);
}

/// Guards against a gang that starts once more than its queue allows because a failure was not stored.
#[test]
fn verify_a_failure_that_could_not_be_stored_counts() {
    let mut term = CutOffTerm::new(gang(2, 8));
    let (first, second) = (term.runs[0].clone(), term.runs[1].clone());
    let end = |kind, run| vec![ended(1, run, kind)];
    let failed = end(EndKind::Failed, &first);
    term.rig.poll_reply(first.0.as_str(), vec![], failed);
    let (results, recovered) = term.hand_over();
    let mut next = Rig::take_over(10_000, vec![recovered], &fleet(&WORKERS));
    for result in results {
        next.send(Event::ResultHandedOver(result));
    }
    let broken = end(EndKind::GangBroken, &second);
    next.poll_reply(second.0.as_str(), vec![], broken);
    next.advance(20);
    let stored = next.store_batches();
    let failures = stored.last().map(|(_, progress)| progress.gangs.clone());
    assert_eq!(failures.map(|gangs| gangs[0].failures), Some(1));
}

/// Guards against a task that runs twice: its completion is handed over after the run was abandoned.
#[test]
fn verify_a_completion_that_is_handed_over_late_is_final() {
    for spec in [step(1, 8), gang(2, 8)] {
        let mut term = CutOffTerm::new(spec);
        let run = term.runs[0].clone();
        let done = vec![ended(1, &run, EndKind::Done)];
        term.rig.poll_reply(run.0.as_str(), vec![], done);
        let lost: Vec<WorkerName> = term.runs.iter().map(|run| run.0.clone()).collect();
        let (results, recovered) = term.hand_over();
        let mut next = Rig::take_over(10_000, vec![recovered], &fleet(&WORKERS));
        for _ in 0..16 {
            for name in &lost {
                next.poll_fails(name);
            }
            next.advance(1_000);
        }
        let restarted = next.start_all();
        assert!(!restarted.is_empty(), "the runs are abandoned");
        for result in results {
            next.send(Event::ResultHandedOver(result));
        }
        next.advance(100);
        assert_eq!(phase(&next), Some(JobPhase::Completed));
        assert_eq!(next.stops().len(), restarted.len());
    }
}

/// Guards against a completion that is taken for one of a task that runs until its job is cancelled.
#[test]
fn verify_a_handed_over_end_of_a_long_running_task_starts_it_again() {
    let spec = ragwortwick_area::StepSpec {
        is_long_running: true,
        ..step(1, 8)
    };
    let mut term = CutOffTerm::new(spec);
    let run = term.runs[0].clone();
    let done = vec![ended(1, &run, EndKind::Done)];
    term.rig.poll_reply(run.0.as_str(), vec![], done);
    let (results, recovered) = term.hand_over();
    let mut next = Rig::take_over(10_000, vec![recovered], &fleet(&WORKERS));
    for result in results {
        next.send(Event::ResultHandedOver(result));
    }
    assert_eq!(phase(&next), Some(JobPhase::Running));
    assert_eq!(next.start_all().len(), 1);
    assert!(next.now.since(ragwortwick_core::TimeMs(10_000)) < DurationMs(1_000));
}

/// Guards against a job that fails for crashes of a task that has completed since.
#[test]
fn verify_handed_over_crashes_of_a_completed_task_do_not_fail_its_job() {
    let second = ragwortwick_area::StepSpec {
        after: vec![0],
        ..step(1, 8)
    };
    let record = job(ID, "middle", vec![step(1, 8), second]);
    let mut rig = Rig::new(&fleet(&["w1"]));
    rig.send(Event::JobAccepted(record));
    let run = rig.start_all().remove(0);
    let done = vec![ended(1, &run, EndKind::Done)];
    rig.poll_reply(run.0.as_str(), vec![], done);
    for number in 1..=4 {
        rig.send(Event::ResultHandedOver(RunResult {
            task: run.1.clone(),
            run: number,
            kind: RunResultKind::Crashed {
                is_suspect: true,
                run_age_ms: None,
            },
        }));
    }
    assert_eq!(phase(&rig), Some(JobPhase::Running));
}
