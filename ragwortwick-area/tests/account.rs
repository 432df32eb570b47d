//! The accounting in the record of an ended job: the time per stage and the lost work.

mod rig;

use ragwortwick_area::{Action, EndKind, Event, JobAccounting, RunEndReason, StepSpec, VictimKind};
use ragwortwick_core::{DurationMs, JobId};
use rig::{Rig, ended, gang, step, worker};

/// Takes and confirms the pending batches; returns the accounting of the jobs that ended in them.
fn ended_jobs(rig: &mut Rig) -> Vec<(JobId, JobAccounting)> {
    let mut ended_jobs = Vec::new();
    for (batch, records) in rig.batches() {
        let records = records.into_iter();
        ended_jobs.extend(records.filter_map(|record| Some((record.job_id, record.accounting?))));
        rig.send(Event::BatchStored { batch });
    }
    ended_jobs
}

fn total_ms(accounting: &JobAccounting) -> u64 {
    [
        accounting.queued_ms,
        accounting.requeued_ms,
        accounting.starting_ms,
        accounting.running_ms,
    ]
    .iter()
    .map(|stage_ms| stage_ms.0)
    .sum()
}

const PATIENT: &str = "00000000000000a0";
const URGENT: &str = "00000000000000a1";

/// The accounting of a job that runs for `ran_ms`, is preempted for half a second, and is then done.
fn preempted(step: StepSpec, ran_ms: u64) -> JobAccounting {
    let mut rig = Rig::new(&[worker("w1", "r1")]);
    rig.submit_as(PATIENT, "c", "patient", step);
    let first = rig.start_all();
    rig.advance(ran_ms);
    rig.submit_as(URGENT, "d", "urgent", gang(1, 8));
    rig.advance(200);
    assert_eq!(rig.stops().len(), 1);
    rig.poll_reply(
        "w1",
        Vec::new(),
        vec![ended(1, &first[0], EndKind::Stopped)],
    );
    let second = rig.start_all();
    rig.advance(500);
    rig.poll_reply("w1", Vec::new(), vec![ended(2, &second[0], EndKind::Done)]);
    let third = rig.start_all();
    rig.advance(300);
    rig.poll_reply("w1", Vec::new(), vec![ended(3, &third[0], EndKind::Done)]);
    rig.advance(20);
    let mut ended_jobs = ended_jobs(&mut rig).into_iter();
    let of_job = ended_jobs.find(|(job_id, _)| job_id.as_str() == PATIENT);
    of_job.expect("the end is stored with its accounting").1
}

fn checkpointed() -> StepSpec {
    StepSpec {
        saves_checkpoints: true,
        ..step(1, 8)
    }
}

/// Guards against a late job whose log line names another cause than the stop that delayed it.
#[test]
fn verify_a_displaced_job_tells_what_it_lost_and_for_whom() {
    let accounting = preempted(step(1, 8), 1_000);
    let lost = &accounting.lost_work[&RunEndReason::Displaced];
    assert_eq!((accounting.starts, lost.runs), (2, 1));
    assert!(
        lost.core_ms >= 1_000 * 64,
        "one second of 8 accelerators: {lost:?}"
    );
    assert_eq!(accounting.preempted_by, Some(JobId::new(URGENT)));
    assert!(accounting.requeued_ms >= DurationMs(500), "{accounting:?}");
    assert!(accounting.lost_ms >= DurationMs(1_000), "{accounting:?}");
    assert!(accounting.is_complete);
    let lifetime_ms = 20 + 1_000 + 200 + 20 + 500 + 20 + 300;
    assert_eq!(total_ms(&accounting), lifetime_ms, "{accounting:?}");
}

/// Guards against work that is reported as lost although its checkpoint keeps it.
#[test]
fn verify_a_stop_of_work_that_saves_loses_no_more_than_its_resuming() {
    let mut rig = Rig::new(&[worker("w1", "r1")]);
    let id = "00000000000000b0";
    rig.submit(id, "patient", checkpointed());
    let start = rig.start_all();
    rig.advance(5_000);
    rig.send(Event::JobCancelled(JobId::new(id)));
    rig.poll_reply(
        "w1",
        Vec::new(),
        vec![ended(1, &start[0], EndKind::Stopped)],
    );
    let lost: Vec<u64> = rig.take(|action| match action {
        Action::LogRunEnd(end) if end.reason == RunEndReason::JobOver => Some(end.lost_core_ms),
        _ => None,
    });
    assert_eq!(lost.len(), 1);
    assert!(lost[0] < 5_000 * 64 / 2, "{lost:?}");
}

/// Guards against a checkpointed job whose whole work counts as lost, so that the job counts as late.
#[test]
fn verify_time_whose_work_was_saved_is_not_in_vain() {
    let accounting = preempted(checkpointed(), 5_000);
    assert!(accounting.running_ms >= DurationMs(5_000), "{accounting:?}");
    assert!(accounting.lost_ms < DurationMs(500), "{accounting:?}");
}

/// Guards against accounting that is reported twice for a job, or before the job has ended.
#[test]
fn verify_an_account_is_told_once_with_the_end() {
    let mut rig = Rig::new(&[worker("w1", "r1")]);
    let id = "00000000000000c0";
    rig.submit(id, "middle", step(1, 1));
    rig.advance(20);
    assert!(ended_jobs(&mut rig).is_empty(), "it has only started");
    for start in rig.starts() {
        rig.accept(&start);
    }
    rig.send(Event::JobCancelled(JobId::new(id)));
    rig.advance(20);
    let ended_once = ended_jobs(&mut rig);
    assert_eq!(ended_once.len(), 1);
    assert!(!ended_once[0].1.lost_work.contains_key(&RunEndReason::Done));
    rig.advance(500);
    assert!(ended_jobs(&mut rig).is_empty());
}

/// Guards against a preemption whose log line does not tell what entitled the other step to it.
#[test]
fn verify_a_preemption_tells_what_allows_it() {
    let mut rig = Rig::new(&[worker("w1", "r1"), worker("w2", "r1"), worker("w3", "r1")]);
    let logged = |rig: &mut Rig| {
        let preemptions = rig.preemptions().into_iter();
        let stopped = preemptions.map(|logged| (logged.kind, logged.accelerators));
        stopped.collect::<Vec<_>>()
    };
    rig.submit_as("00000000000000b0", "c", "patient", gang(3, 8));
    rig.start_all();
    rig.advance(200);
    rig.submit_as("00000000000000b1", "c", "urgent", gang(2, 8));
    rig.advance(20);
    assert_eq!(logged(&mut rig), vec![(VictimKind::LowerPriority, 24)]);
    rig.settle_stops();
    assert_eq!(rig.start_all().len(), 2);
    rig.submit_as("00000000000000b2", "c", "urgent", gang(1, 8));
    assert_eq!(rig.start_all().len(), 1, "beyond the share of 16");
    rig.submit_as("00000000000000b3", "d", "urgent", gang(1, 8));
    rig.advance(20);
    assert_eq!(logged(&mut rig), vec![(VictimKind::Borrower, 8)]);
}
