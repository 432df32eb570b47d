//! Runs of jobs and tasks that are over end, in any order of requests, faults and takeovers.
//!
//! `SCHEDULE_SEED`, `SCHEDULE_TESTS` and `SCHEDULE_STEPS` set the seed, the number of schedules and their size.

mod rig;
mod simulated_area;

use quickcheck::{Gen, QuickCheck, TestResult};
use simulated_area::schedule::{Schedule, Step};
use simulated_area::{Checked, World};

/// Time between two steps of a schedule.
const STEP_MS: u64 = 20;

/// Time after the last step, in which late orders are carried out and every lease ends.
const SETTLE_MS: u64 = 30_000;

/// Number of lines of the trace in a failure.
const TRACE_LINES: usize = 60;

/// Number of run ends that a worker lists in one reply, by the platform's limit.
const ENDS_PER_REPLY: usize = 500;

/// Runs a schedule; returns the violation, with the order of the events that led to it.
fn violation_of(schedule: &Schedule, checked: Checked, ends_per_reply: usize) -> Option<String> {
    let mut world = World::new(schedule.workers, ends_per_reply, checked);
    world.run_for(STEP_MS);
    for step in &schedule.steps {
        world.apply(*step);
        world.run_for(STEP_MS);
    }
    world.run_for(SETTLE_MS);
    let violation = world.violation.take()?;
    let skipped = world.trace.len().saturating_sub(TRACE_LINES);
    let trace = world.trace[skipped..].join("\n");
    Some(format!("{violation}\n{trace}"))
}

fn result_of(schedule: &Schedule, checked: Checked, ends_per_reply: usize) -> TestResult {
    match violation_of(schedule, checked, ends_per_reply) {
        None => TestResult::passed(),
        Some(text) => TestResult::error(text),
    }
}

/// A number from the environment, or the default.
fn setting(name: &str, default: u64) -> u64 {
    let text = std::env::var(name).ok();
    text.and_then(|text| text.parse().ok()).unwrap_or(default)
}

fn check(holds: fn(Schedule) -> TestResult) {
    let size = usize::try_from(setting("SCHEDULE_STEPS", 16)).unwrap_or(16);
    let tests = setting("SCHEDULE_TESTS", 400);
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(size, setting("SCHEDULE_SEED", 2)))
        .tests(tests)
        .max_tests(tests)
        .quickcheck(holds);
}

/// Guards against a run that outlives its cancelled or failed job, and against endless orders for it.
#[test]
fn verify_no_run_outlives_its_cancelled_or_failed_job() {
    check(|schedule| result_of(&schedule, Checked::EndedJobs, ENDS_PER_REPLY));
}

/// Guards against a repeated run that goes on after its task or job is done.
#[test]
fn verify_no_run_outlives_its_done_task() {
    check(|schedule| result_of(&schedule, Checked::EndedJobsAndDoneTasks, ENDS_PER_REPLY));
}

/// Guards against a run that outlives its job or task because its worker lists one end in a reply.
#[test]
fn verify_no_run_outlives_its_job_or_task_while_ends_are_listed_one_at_a_time() {
    check(|schedule| result_of(&schedule, Checked::EndedJobsAndDoneTasks, 1));
}

/// A schedule without faults that cancels a job: the simulated area by itself must not fail.
#[test]
fn verify_a_cancelled_job_is_stopped_without_faults() {
    use simulated_area::schedule::JobKind;
    for kind in [
        JobKind::Long,
        JobKind::Many,
        JobKind::Gang,
        JobKind::Lasting,
    ] {
        let schedule = Schedule {
            workers: 2,
            steps: vec![Step::Submit(kind), Step::Wait(500), Step::Cancel(0)],
        };
        assert_eq!(
            violation_of(&schedule, Checked::EndedJobs, ENDS_PER_REPLY),
            None
        );
    }
}
