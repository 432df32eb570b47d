//! What jobs of unusual sizes take, and which are refused.

use ragwortwick_core::{DurationMs, JobId, TimeMs};

use crate::{JobRecord, QueuePolicy, Resources, Schedule, StepSpec};

fn job(step: StepSpec, schedule: Option<Schedule>) -> JobRecord {
    JobRecord {
        job_id: JobId::new("00000000000000aa"),
        queue: "q".into(),
        policy: QueuePolicy {
            pool: "p".into(),
            priority: 0,
            attempts: 1,
            stretch: 1.0,
            target_latency_ms: DurationMs(100),
            advice: None,
        },
        customer: "c".into(),
        payload: "".into(),
        steps: vec![step],
        schedule,
        accepted_unix_ms: TimeMs(1),
    }
}

fn step(count: u32) -> StepSpec {
    StepSpec {
        count,
        ..StepSpec::default()
    }
}

fn schedule(interval_ms: u64, occurrences: u32) -> Schedule {
    Schedule {
        first_unix_ms: TimeMs(1),
        interval_ms: DurationMs(interval_ms),
        occurrences,
    }
}

/// Guards against sums over tasks that overflow in the coordinator because a client names absurd amounts.
#[test]
fn verify_amounts_that_no_worker_has_are_refused() {
    let amounts = [
        Resources {
            cpu_millis: u64::MAX,
            ..Resources::default()
        },
        Resources {
            memory_mb: u64::MAX,
            ..Resources::default()
        },
        Resources {
            accelerators: u64::MAX,
            ..Resources::default()
        },
    ];
    for need in amounts {
        let error = job(StepSpec { need, ..step(1) }, None).validate();
        assert_eq!(
            error.expect_err("an absurd amount").field(),
            "steps[0].need"
        );
    }
    let estimate = StepSpec {
        estimate_ms: DurationMs(u64::MAX),
        ..step(1)
    };
    let error = job(estimate, None)
        .validate()
        .expect_err("an absurd estimate");
    assert_eq!(error.field(), "steps[0].estimate_ms");
    let error = job(step(1), Some(schedule(u64::MAX, 2))).validate();
    assert_eq!(error.expect_err("an absurd interval").field(), "schedule");
    let largest = StepSpec {
        need: Resources::MAX,
        ..step(20_000)
    };
    assert_eq!(job(largest, None).validate(), Ok(()));
}

/// Guards against an estimate that leaves out the state that a coordinator keeps for each task.
#[test]
fn verify_the_memory_of_a_job_grows_with_its_tasks_and_occurrences() {
    let one = job(step(1), None).memory_bytes();
    let many = job(step(10_000), None).memory_bytes();
    let often = job(step(1), Some(schedule(1_000, 10_000))).memory_bytes();
    assert!(many > one + 10_000 * 64, "{many} bytes for 10,000 tasks");
    assert!(often >= many, "{often} bytes for 10,000 occurrences");
}
