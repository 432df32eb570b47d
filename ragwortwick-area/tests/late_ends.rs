//! Completions that a worker reports after its runs were abandoned.

mod rig;

use std::collections::BTreeSet;

use ragwortwick_area::{
    Action, EndKind, Event, JobPhase, OrderReply, RecoveredJob, StepSpec, TaskId,
};
use ragwortwick_core::{JobId, WorkerName};
use rig::{ATTEMPTS, Rig, ended, gang, job, step, worker};

const ID: &str = "00000000000000b7";

/// Runs that the coordinator abandoned because their worker was unresponsive.
struct AbandonedRuns {
    rig: Rig,
    starts: Vec<(WorkerName, TaskId, u32)>,
}

impl AbandonedRuns {
    /// Starts a job on the first worker, which is then unresponsive until its runs are abandoned.
    ///
    /// The other workers join afterwards.
    fn new(workers: &[&str], spec: StepSpec) -> Self {
        Self::with_steps(workers, vec![spec])
    }

    /// The same for a job of several steps.
    fn with_steps(workers: &[&str], steps: Vec<StepSpec>) -> Self {
        let entries: Vec<_> = workers.iter().map(|name| worker(name, "r1")).collect();
        let mut rig = Rig::new(&entries[..1]);
        rig.send(Event::JobAccepted(job(ID, "middle", steps)));
        let starts = rig.start_all();
        assert!(!starts.is_empty());
        for _ in 0..15 {
            rig.poll_fails(&starts[0].0);
            rig.advance(1_000);
        }
        for entry in &entries[1..] {
            rig.list_worker(entry);
        }
        rig.advance(20);
        Self { rig, starts }
    }

    /// The first worker is reachable again and reports that its runs had completed.
    fn report_completions(&mut self) {
        let ends = (1..).zip(&self.starts);
        let ends = ends.map(|(sequence, start)| ended(sequence, start, EndKind::Done));
        let ends = ends.collect();
        self.rig.poll_reply(self.starts[0].0.as_str(), vec![], ends);
    }

    fn phase(&self) -> Option<JobPhase> {
        self.rig.coordinator.phase(&JobId::new(ID))
    }
}

/// A waiting task had completed on an unreachable worker and must not be executed twice.
#[test]
fn verify_an_end_that_is_listed_late_counts_while_its_task_waits() {
    for spec in [step(2, 4), gang(2, 4)] {
        let mut scenario = AbandonedRuns::new(&["w1"], spec);
        scenario.report_completions();
        scenario.rig.advance(100);
        scenario.rig.store_batches();
        assert_eq!(scenario.rig.starts(), vec![]);
        assert_eq!(scenario.phase(), Some(JobPhase::Completed));
    }
}

/// A start that waits for its record is cancelled when the completion of an earlier run is reported.
#[test]
fn verify_an_end_that_is_listed_late_withdraws_a_start_that_was_not_sent() {
    for spec in [step(2, 4), gang(2, 4)] {
        let mut scenario = AbandonedRuns::new(&["w1", "w2"], spec);
        scenario.report_completions();
        scenario.rig.store_batches();
        scenario.rig.advance(100);
        scenario.rig.store_batches();
        assert_eq!(scenario.rig.starts(), vec![]);
        assert_eq!(scenario.phase(), Some(JobPhase::Completed));
    }
}

/// A run that was restarted for a completed task would execute its work a second time.
#[test]
fn verify_an_end_that_is_listed_late_stops_what_was_started_again() {
    for spec in [step(2, 4), gang(2, 4)] {
        let mut scenario = AbandonedRuns::new(&["w1", "w2"], spec);
        assert_eq!(scenario.rig.start_all().len(), 2);
        scenario.report_completions();
        scenario.rig.advance(100);
        assert_eq!(scenario.rig.stops().len(), 2);
        scenario.rig.store_batches();
        assert_eq!(scenario.phase(), Some(JobPhase::Completed));
        assert_eq!(scenario.rig.start_all(), vec![]);
    }
}

/// A long-running task is restarted regardless of how its run ended.
#[test]
fn verify_a_late_end_of_a_lasting_task_stops_nothing() {
    let spec = StepSpec {
        is_long_running: true,
        ..step(1, 4)
    };
    let mut scenario = AbandonedRuns::new(&["w1", "w2"], spec);
    assert_eq!(scenario.rig.start_all().len(), 1);
    scenario.report_completions();
    scenario.rig.advance(100);
    assert_eq!(scenario.rig.stops(), vec![]);
    assert_eq!(scenario.phase(), Some(JobPhase::Running));
}

/// A run end that is reported again must neither store its job again nor stop runs of its gang.
#[test]
fn verify_an_end_that_is_known_stores_and_stops_nothing() {
    let second = StepSpec {
        after: vec![0],
        ..step(1, 8)
    };
    let mut scenario = AbandonedRuns::with_steps(&["w1", "w2"], vec![gang(2, 4), second]);
    scenario.report_completions();
    assert_eq!(scenario.rig.start_all().len(), 1, "the next step starts");
    scenario.rig.store_batches();
    let ends = (11..).zip(&scenario.starts);
    let ends = ends.map(|(sequence, start)| ended(sequence, start, EndKind::Done));
    let ends = ends.collect();
    scenario.rig.stops();
    scenario.rig.poll_reply("w1", vec![], ends);
    scenario.rig.advance(100);
    assert!(scenario.rig.batches().is_empty());
    assert_eq!(scenario.rig.stops(), vec![]);
}

/// A completion that is acknowledged too early is unknown to a successor while a later run may still start.
#[test]
fn verify_a_late_completion_is_not_acknowledged_while_the_next_run_may_start() {
    let mut scenario = AbandonedRuns::new(&["w1", "w2"], step(1, 4));
    scenario.rig.advance(20);
    scenario.rig.store_batches();
    let unconfirmed = scenario.rig.starts();
    assert_eq!(unconfirmed.len(), 1, "the next run is ordered on w2");
    scenario.report_completions();
    scenario.rig.advance(50);
    let stop = scenario.rig.stops().pop().expect("the next run is stopped");
    let acked = acked_ends(&mut scenario.rig, "w1");
    assert!(!acked.contains(&1));
    let clock_ms = 100_000 + scenario.rig.now.0;
    scenario
        .rig
        .reply_to_stop(&stop, OrderReply::Accepted { clock_ms });
    scenario.rig.advance(500);
    scenario.rig.poll_reply("w2", vec![], vec![]);
    let acked = acked_ends(&mut scenario.rig, "w1");
    assert!(acked.contains(&1));
}

/// A failure that is not counted lets a task start once more often than its queue allows.
#[test]
fn verify_a_late_failure_counts_as_an_attempt_under_a_successor() {
    let mut scenario = AbandonedRuns::new(&["w1", "w2"], step(1, 4));
    let mut last = scenario.starts[0].clone();
    let mut progress = None;
    for sequence in 1..ATTEMPTS {
        scenario.rig.advance(20);
        progress = scenario.rig.store_batches().pop().or(progress);
        let started = scenario.rig.starts().pop();
        last = started.expect("the task starts again");
        scenario.rig.accept(&last);
        let end = ended(u64::from(sequence), &last, EndKind::Failed);
        scenario.rig.poll_reply(last.0.as_str(), vec![], vec![end]);
        scenario.rig.advance(7_000);
    }
    progress = scenario.rig.store_batches().pop().or(progress);
    let recovered = RecoveredJob {
        record: job(ID, "middle", vec![step(1, 4)]),
        progress: progress.map(|(_, progress)| progress),
        is_cancelled: false,
    };
    let mut rig = Rig::take_over(60_000, vec![recovered], &[worker("w1", "r1")]);
    let end = ended(1, &scenario.starts[0], EndKind::Failed);
    rig.poll_reply("w1", vec![], vec![end.clone()]);
    assert_eq!(
        rig.coordinator.phase(&JobId::new(ID)),
        Some(JobPhase::Failed)
    );
    assert_eq!(last.2, ATTEMPTS);
}

/// Stores all records for two seconds; returns the ends of a worker that polls acknowledge.
fn acked_ends(rig: &mut Rig, worker: &str) -> BTreeSet<u64> {
    for _ in 0..20 {
        rig.advance(100);
        rig.store_batches();
    }
    let acked = rig.take(|action| match action {
        Action::Poll {
            worker: name,
            acked_end,
            ..
        } if name.as_str() == worker => Some(*acked_end),
        _ => None,
    });
    acked.into_iter().collect()
}
