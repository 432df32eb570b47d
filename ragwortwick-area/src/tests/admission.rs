//! Which jobs are refused when a queue is short of capacity, and what their callers get of it.

use std::collections::{BTreeMap, VecDeque};

use ragwortwick_core::{ClassName, DurationMs, TimeMs};

use crate::admission::{Admission, Backlogs, LoadPicture};
use crate::job::{JobRecord, QueuePolicy, Resources, StepSpec};

const QUEUE: &str = "rebuild";

/// Work of one job.
const WORK_MS: DurationMs = DurationMs(2_000);

fn record(priority: u32, accelerators: u64) -> JobRecord {
    let step = StepSpec {
        count: 2,
        is_gang: true,
        need: Resources {
            accelerators,
            ..Resources::default()
        },
        estimate_ms: WORK_MS,
        ..StepSpec::default()
    };
    JobRecord {
        job_id: "00000000000000e1".into(),
        queue: QUEUE.into(),
        policy: QueuePolicy {
            pool: "p".into(),
            priority,
            attempts: 3,
            stretch: 1.5,
            advice: None,
            target_latency_ms: DurationMs(250),
        },
        customer: "c".into(),
        payload: "".into(),
        steps: vec![step],
        schedule: None,
        accepted_unix_ms: TimeMs(1_000),
    }
}

/// A queue that starts one job every `start_every_ms`, while one is handed in every `arrive_every_ms`.
struct Shortage {
    backlogs: Backlogs,
    waiting: VecDeque<u64>,
    picture: LoadPicture,
    /// Time from hand-in to start of the jobs that were started.
    waits_ms: Vec<u64>,
    refused: usize,
}

impl Shortage {
    fn play(arrive_every_ms: u64, start_every_ms: u64, for_ms: u64, sheds: bool) -> Self {
        let mut shortage = Self {
            backlogs: Backlogs::default(),
            waiting: VecDeque::new(),
            picture: LoadPicture::default(),
            waits_ms: Vec::new(),
            refused: 0,
        };
        for now_ms in (0..for_ms).step_by(50) {
            let now = TimeMs(now_ms);
            if now_ms % arrive_every_ms == 0 {
                let admission = shortage.picture.admit(DurationMs(0), &record(1, 1), 0, 0.5);
                if sheds && admission != Admission::Accepted {
                    shortage.refused += 1;
                } else {
                    shortage.waiting.push_back(now_ms);
                }
            }
            if now_ms % start_every_ms == 0
                && let Some(arrived_ms) = shortage.waiting.pop_front()
            {
                shortage.backlogs.record_start(now, &QUEUE.into());
                shortage.waits_ms.push(now_ms - arrived_ms);
            }
            if now_ms % 250 == 0 {
                let waiting = (ClassName::new(QUEUE), shortage.waiting.len());
                shortage.backlogs.update(now, &BTreeMap::from([waiting]));
                shortage.picture = shortage.backlogs.picture(now);
            }
        }
        shortage
    }

    /// Jobs that ended while their result was of use: three times an objective of 3.25 s.
    fn useful(&self) -> usize {
        let ends_ms = self.waits_ms.iter().map(|wait_ms| wait_ms + WORK_MS.0);
        ends_ms.filter(|ends_ms| *ends_ms <= 9_750).count()
    }
}

/// Load: twice as many jobs as can be started, for two minutes. Each that is accepted beyond what is of use takes
/// the place of one that would be.
#[test]
fn verify_more_callers_are_served_in_a_long_shortage() {
    let without = Shortage::play(500, 1_000, 120_000, false);
    let with = Shortage::play(500, 1_000, 120_000, true);
    assert!(with.refused > 0);
    assert!(with.useful() > 2 * without.useful());
}

/// Guards against refusals in a shortage of seconds, in which waiting is better than coming back.
#[test]
fn verify_nothing_is_refused_in_a_short_shortage() {
    let played = Shortage::play(500, 1_000, 6_000, true);
    assert_eq!(played.refused, 0);
}

/// Guards against refusals while capacity is free: jobs are started as they come.
#[test]
fn verify_nothing_is_refused_while_jobs_are_started_as_they_come() {
    let played = Shortage::play(500, 500, 60_000, true);
    assert_eq!(played.refused, 0);
}

fn short_queue() -> LoadPicture {
    let mut backlogs = Backlogs::default();
    let waiting = BTreeMap::from([(ClassName::new(QUEUE), 50)]);
    for now_ms in (0..10_000).step_by(1_000) {
        backlogs.record_start(TimeMs(now_ms), &QUEUE.into());
        backlogs.update(TimeMs(now_ms), &waiting);
    }
    backlogs.picture(TimeMs(10_000))
}

/// Guards against a refusal of a job that its customer's guarantee covers.
#[test]
fn verify_a_job_that_the_guarantee_may_cover_is_accepted() {
    let picture = short_queue();
    let admit = |priority, guaranteed| {
        let record = record(priority, 8);
        picture.admit(DurationMs(0), &record, guaranteed, 0.5)
    };
    assert_eq!(admit(0, 16), Admission::Accepted);
    assert!(matches!(admit(0, 15), Admission::Refused { .. }));
    assert!(matches!(admit(1, 16), Admission::Refused { .. }));
}

/// Guards against refusals by a picture that is old, as on a host that is cut off from the store.
#[test]
fn verify_an_old_picture_refuses_nothing() {
    let picture = short_queue();
    let admit = |age_ms| picture.admit(DurationMs(age_ms), &record(1, 8), 0, 0.5);
    assert!(matches!(admit(1_000), Admission::Refused { .. }));
    assert_eq!(admit(5_000), Admission::Accepted);
}

/// Guards against callers who all come back at one time.
#[test]
fn verify_times_to_come_back_are_spread() {
    let picture = short_queue();
    let retry_after = |spread| match picture.admit(DurationMs(0), &record(1, 8), 0, spread) {
        Admission::Refused { retry_after_ms } => retry_after_ms,
        Admission::Accepted => DurationMs(0),
    };
    assert!(retry_after(0.0) > DurationMs(0));
    assert!(retry_after(1.0).0 > retry_after(0.0).0 + 5_000);
    assert!(retry_after(1.0) <= DurationMs(45_000));
}

/// Guards against callers who are sent away for minutes because a new coordinator has not started their jobs yet.
#[test]
fn verify_a_queue_without_starts_for_seconds_is_not_taken_for_hopeless() {
    let mut backlogs = Backlogs::default();
    for now_ms in (0..4_000).step_by(250) {
        let waiting = (ClassName::new(QUEUE), 3);
        backlogs.update(TimeMs(now_ms), &BTreeMap::from([waiting]));
    }
    let picture = backlogs.picture(TimeMs(4_000));
    let wait_ms = picture.queues[&ClassName::new(QUEUE)].wait_ms;
    assert!(wait_ms <= DurationMs(12_000), "{wait_ms:?}");
}
