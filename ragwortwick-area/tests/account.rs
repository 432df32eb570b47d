//! What the record of a job's end tells of its time and of work that was lost.

mod rig;

use ragwortwick_area::{Action, EndKind, Event, JobAccounting, RunEndReason, StepSpec};
use ragwortwick_core::{DurationMs, JobId};
use rig::{Rig, ended, gang, step, worker};

/// Takes and confirms the batches that wait; gives the accounts of the jobs that ended in them.
fn accounts(rig: &mut Rig) -> Vec<(JobId, JobAccounting)> {
    let mut accounts = Vec::new();
    for (batch, records) in rig.batches() {
        let ended = records.into_iter();
        accounts.extend(ended.filter_map(|record| Some((record.job_id, record.accounting?))));
        rig.send(Event::BatchStored { batch });
    }
    accounts
}

fn whole_ms(account: &JobAccounting) -> u64 {
    [
        account.queued_ms,
        account.requeued_ms,
        account.starting_ms,
        account.running_ms,
    ]
    .iter()
    .map(|span_ms| span_ms.0)
    .sum()
}

const PATIENT: &str = "00000000000000a0";
const URGENT: &str = "00000000000000a1";

/// The account of a job that has run for so long, gives way to another for half a second, and is done later.
fn displaced(step: StepSpec, ran_ms: u64) -> JobAccounting {
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
    let mut accounts = accounts(&mut rig).into_iter();
    let of_job = accounts.find(|(job_id, _)| job_id.as_str() == PATIENT);
    of_job.expect("the end is told with its account").1
}

fn saving() -> StepSpec {
    StepSpec {
        saves_checkpoints: true,
        ..step(1, 8)
    }
}

/// Guards against a late job whose line names another cause than the stop that made it late.
#[test]
fn verify_a_displaced_job_tells_what_it_lost_and_for_whom() {
    let account = displaced(step(1, 8), 1_000);
    let lost = &account.lost_work[&RunEndReason::Displaced];
    assert_eq!((account.starts, lost.runs), (2, 1));
    assert!(
        lost.core_ms >= 1_000 * 64,
        "a second of 8 accelerators: {lost:?}"
    );
    assert_eq!(account.preempted_by, Some(JobId::new(URGENT)));
    assert!(account.requeued_ms >= DurationMs(500), "{account:?}");
    assert!(account.lost_ms >= DurationMs(1_000), "{account:?}");
    assert!(account.is_complete);
    let lived_ms = 20 + 1_000 + 200 + 20 + 500 + 20 + 300;
    assert_eq!(whole_ms(&account), lived_ms, "{account:?}");
}

/// Guards against work that is told as lost though its checkpoint keeps it.
#[test]
fn verify_a_stop_of_work_that_saves_loses_no_more_than_its_resuming() {
    let mut rig = Rig::new(&[worker("w1", "r1")]);
    let id = "00000000000000b0";
    rig.submit(id, "patient", saving());
    let start = rig.start_all();
    rig.advance(5_000);
    rig.send(Event::JobCancelled(JobId::new(id)));
    rig.poll_reply(
        "w1",
        Vec::new(),
        vec![ended(1, &start[0], EndKind::Stopped)],
    );
    let lost: Vec<u64> = rig.take(|action| match action {
        Action::LogRunEnd(over) if over.reason == RunEndReason::JobOver => Some(over.lost_core_ms),
        _ => None,
    });
    assert_eq!(lost.len(), 1);
    assert!(lost[0] < 5_000 * 64 / 2, "{lost:?}");
}

/// Guards against a job that saves and looks as if all its work had been in vain, so that it counts as late.
#[test]
fn verify_time_whose_work_was_saved_is_not_in_vain() {
    let account = displaced(saving(), 5_000);
    assert!(account.running_ms >= DurationMs(5_000), "{account:?}");
    assert!(account.lost_ms < DurationMs(500), "{account:?}");
}

/// Guards against an account that counts a job's end twice, or tells it before the end.
#[test]
fn verify_an_account_is_told_once_with_the_end() {
    let mut rig = Rig::new(&[worker("w1", "r1")]);
    let id = "00000000000000c0";
    rig.submit(id, "middle", step(1, 1));
    rig.advance(20);
    assert!(accounts(&mut rig).is_empty(), "it has only begun");
    for start in rig.starts() {
        rig.accept(&start);
    }
    rig.send(Event::JobCancelled(JobId::new(id)));
    rig.advance(20);
    let told = accounts(&mut rig);
    assert_eq!(told.len(), 1);
    assert!(!told[0].1.lost_work.contains_key(&RunEndReason::Done));
    rig.advance(500);
    assert!(accounts(&mut rig).is_empty());
}
