//! Runs that a worker has and that the coordinator holds no allocation for.

mod rig;

use ragwortwick_area::{
    Action, EndKind, Event, JobPhase, JobProgress, OrderReply, RecoveredJob, RefusalCause,
    RunningTask, TaskId,
};
use ragwortwick_core::{JobId, WorkerName};
use rig::{Rig, at, ended, job, running, step, worker};

const ID: &str = "00000000000000e1";

/// Time within which an acknowledged cancel takes effect.
const CANCEL_MS: u64 = 3_000;

const TICK_MS: u64 = 10;

type Run = (WorkerName, TaskId, u32);

fn run_of(job_id: &str, worker: &str) -> Run {
    let task = TaskId {
        job_id: JobId::new(job_id),
        occurrence: 0,
        step: 0,
        index: 0,
    };
    (WorkerName::new(worker), task, 1)
}

/// A worker that answers its polls in time, and refuses the first stop orders for one of its runs.
struct RefusingWorker {
    run: Run,
    /// Other runs there, which go on.
    others: Vec<Run>,
    refusals: usize,
    poll_due_at: Option<u64>,
    /// When each stop order for the run arrived.
    stops: Vec<u64>,
    is_stopped: bool,
}

impl RefusingWorker {
    fn new(run: &Run, refusals: usize) -> Self {
        Self {
            run: run.clone(),
            others: Vec::new(),
            refusals,
            poll_due_at: None,
            stops: Vec::new(),
            is_stopped: false,
        }
    }

    fn report(&self, rig: &mut Rig) {
        let percent = u32::try_from(rig.now.0 / 1_000).unwrap_or(0);
        let own = (!self.is_stopped).then_some(&self.run);
        let rows = own.into_iter().chain(&self.others).map(|run| RunningTask {
            percent,
            ..running(run)
        });
        let rows = rows.collect();
        rig.poll_reply(self.run.0.as_str(), rows, Vec::new());
    }

    /// Answers the coordinator's polls and stop orders for the given time.
    fn answer_for(&mut self, rig: &mut Rig, span_ms: u64) {
        let end = rig.now.0 + span_ms;
        while rig.now.0 < end {
            rig.advance(TICK_MS);
            rig.store_batches();
            let polls = rig.take(|action| match action {
                Action::Poll {
                    worker, wait_ms, ..
                } if *worker == self.run.0 => Some(wait_ms.0),
                _ => None,
            });
            if let Some(wait_ms) = polls.first() {
                self.poll_due_at = Some(rig.now.0 + wait_ms);
            }
            if self.poll_due_at.is_some_and(|at| at <= rig.now.0) {
                self.poll_due_at = None;
                self.report(rig);
            }
            for stop in rig.stops() {
                self.answer_stop(rig, &stop);
            }
        }
    }

    fn answer_stop(&mut self, rig: &mut Rig, stop: &Run) {
        let clock_ms = 100_000 + rig.now.0;
        let is_own = *stop == self.run;
        if is_own {
            self.stops.push(rig.now.0);
        }
        if is_own && self.stops.len() <= self.refusals {
            rig.reply_to_stop(stop, OrderReply::Refused(RefusalCause::Unhealthy));
        } else {
            self.is_stopped |= is_own;
            rig.reply_to_stop(stop, OrderReply::Accepted { clock_ms });
        }
    }
}

/// A coordinator of a job that was cancelled before it started.
fn rig_with_cancelled_job() -> Rig {
    let mut rig = Rig::new(&[worker("w1", "r1")]);
    rig.submit(ID, "middle", step(1, 4));
    rig.send(Event::JobCancelled(JobId::new(ID)));
    rig.advance(20);
    rig.store_batches();
    rig
}

/// Guards against a run of a cancelled job that goes on because its worker left the list after one refused stop.
#[test]
fn verify_an_untracked_run_on_an_unlisted_worker_is_stopped() {
    let mut rig = rig_with_cancelled_job();
    let run = run_of(ID, "w1");
    let mut refusing = RefusingWorker::new(&run, 1);
    refusing.report(&mut rig);
    rig.send(Event::WorkerRemoved(run.0.clone()));
    refusing.answer_for(&mut rig, CANCEL_MS);
    assert!(refusing.is_stopped, "stops at {:?}", refusing.stops);
}

/// Guards against a run that goes on after one refused stop because the records of its job are deleted.
#[test]
fn verify_an_untracked_run_of_an_unknown_job_is_stopped() {
    let mut rig = Rig::new(&[worker("w1", "r1")]);
    let run = run_of(ID, "w1");
    let mut refusing = RefusingWorker::new(&run, 1);
    refusing.report(&mut rig);
    refusing.answer_for(&mut rig, CANCEL_MS);
    assert!(refusing.is_stopped, "stops at {:?}", refusing.stops);
}

/// Guards against a run that goes on because a refused stop waits for the next long poll to be repeated.
#[test]
fn verify_a_refused_stop_beside_other_runs_is_repeated_in_time() {
    let mut rig = rig_with_cancelled_job();
    rig.submit("00000000000000e2", "middle", step(1, 4));
    let others = rig.start_all();
    let run = run_of(ID, "w1");
    let mut refusing = RefusingWorker {
        others,
        ..RefusingWorker::new(&run, 2)
    };
    refusing.report(&mut rig);
    refusing.answer_for(&mut rig, CANCEL_MS);
    assert!(refusing.is_stopped, "stops at {:?}", refusing.stops);
}

/// Guards against a flood of stop orders for a run that its worker is stopping.
#[test]
fn verify_an_accepted_stop_of_an_untracked_run_is_not_repeated_at_once() {
    let mut rig = rig_with_cancelled_job();
    let run = run_of(ID, "w1");
    let mut refusing = RefusingWorker::new(&run, 0);
    refusing.report(&mut rig);
    let mut stops = 0;
    // The stop takes its time, in which the worker still reports the run.
    for _ in 0..20 {
        refusing.is_stopped = false;
        refusing.answer_for(&mut rig, TICK_MS);
        stops = refusing.stops.len();
    }
    assert!(stops <= 3, "{stops} stop orders in 200 ms");
}

/// Guards against a lost stop that is repeated only at the next event because no wakeup is requested.
#[test]
fn verify_a_lost_stop_is_repeated_without_other_events() {
    let mut rig = Rig::new(&[worker("w1", "r1")]);
    rig.submit(ID, "middle", step(1, 4));
    rig.start_all();
    rig.advance(100);
    rig.store_batches();
    rig.send(Event::JobCancelled(JobId::new(ID)));
    rig.store_batches();
    let stop = rig.stops().remove(0);
    rig.reply_to_stop(&stop, OrderReply::Unknown);
    let mut now = rig.now.0;
    let end = now + 1_000;
    while now < end && rig.stops().is_empty() {
        let wakeup = rig.coordinator.next_wakeup(at(now));
        let wakeup = wakeup.expect("a wakeup while a stop is due").0;
        now = wakeup.max(now + 1);
        let actions = rig.coordinator.on_wakeup(at(now));
        rig.actions.extend(actions);
    }
    assert!(now < end, "the stop is repeated");
}

/// The start, on a third worker, of a task whose first run completed on a worker that had been abandoned.
struct RepeatedRun {
    rig: Rig,
    second: Run,
    progress: JobProgress,
}

fn workers() -> Vec<ragwortwick_area::WorkerEntry> {
    ["w1", "w2", "w3"].map(|name| worker(name, "r1")).into()
}

/// Brings about a run that repeats a completed one, and lets its coordinator learn of the completion.
fn repeat_completed_run(count: u32) -> RepeatedRun {
    let mut rig = Rig::new(&workers());
    rig.submit(ID, "middle", step(count, 8));
    let runs = rig.start_all();
    let first = runs[0].clone();
    let mut second = None;
    for second_number in 1..=20 {
        rig.poll_fails(&first.0);
        for other in &runs[1..] {
            rig.report_progress(other.0.as_str(), &runs, second_number * 4);
        }
        rig.advance(1_000);
        second = second.or_else(|| rig.start_all().pop());
    }
    let second = second.expect("the abandoned task starts again");
    let done = ended(1, &first, EndKind::Done);
    rig.poll_reply(first.0.as_str(), Vec::new(), vec![done]);
    rig.advance(20);
    let stored = rig.store_batches().pop();
    let (_, progress) = stored.expect("the completion is stored");
    RepeatedRun {
        rig,
        second,
        progress,
    }
}

/// Takes over after the repeated run's stop was lost; the worker goes on with the run until it is stopped.
fn assert_stopped_after_takeover(repeated: RepeatedRun, count: u32, is_cancelled: bool) {
    let recovered = RecoveredJob {
        record: job(ID, "middle", vec![step(count, 8)]),
        progress: Some(repeated.progress),
        is_cancelled,
    };
    let begins_at = repeated.rig.now.0 + 1_000;
    let mut next = Rig::take_over_unpolled(begins_at, vec![recovered], &workers());
    let mut refusing = RefusingWorker::new(&repeated.second, 0);
    refusing.answer_for(&mut next, CANCEL_MS);
    assert!(refusing.is_stopped, "{:?} goes on", refusing.run);
}

/// Guards against a run of a completed job that goes on because its record doesn't name its worker.
#[test]
fn verify_a_repeated_run_of_a_completed_job_is_stopped_after_a_takeover() {
    let repeated = repeat_completed_run(1);
    assert_eq!(repeated.progress.phase, JobPhase::Completed);
    assert_stopped_after_takeover(repeated, 1, false);
}

/// Guards against a run of a cancelled job that goes on because its record doesn't name its worker.
#[test]
fn verify_a_repeated_run_of_a_cancelled_job_is_stopped_after_a_takeover() {
    let mut repeated = repeat_completed_run(2);
    assert_eq!(repeated.progress.phase, JobPhase::Running);
    repeated.rig.send(Event::JobCancelled(JobId::new(ID)));
    repeated.rig.advance(20);
    let stored = repeated.rig.store_batches().pop();
    repeated.progress = stored.expect("the cancel is stored").1;
    assert_stopped_after_takeover(repeated, 2, true);
}
