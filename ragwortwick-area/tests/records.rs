//! Batches of records under a slow store, and the starts and acknowledgements that wait for them.

mod rig;

use std::collections::BTreeSet;

use ragwortwick_area::{Action, EndKind, Event, ProgressRecord};
use ragwortwick_core::{JobId, TimeMs};
use rig::{Rig, ended, step, worker};

type Batch = (u64, Vec<ProgressRecord>);

fn jobs_of(batches: &[Batch]) -> Vec<&JobId> {
    let records = batches.iter().flat_map(|(_, records)| records);
    records.map(|record| &record.job_id).collect()
}

/// Guards against starts that wait for a slow store to reply to one batch of fifteen jobs after the other.
#[test]
fn verify_a_slow_store_holds_up_no_record_of_other_jobs() {
    const JOBS: u64 = 60;
    let workers: Vec<_> = (0..8).map(|n| worker(&format!("w{n}"), "r1")).collect();
    let mut rig = Rig::new(&workers);
    for number in 0..JOBS {
        rig.submit(&format!("{number:016x}"), "middle", step(1, 1));
    }
    rig.advance(200);
    let batches = rig.batches();
    let jobs = jobs_of(&batches);
    let distinct: BTreeSet<_> = jobs.iter().collect();
    assert_eq!(distinct.len() as u64, JOBS);
    assert_eq!(jobs.len(), distinct.len(), "a job is in two batches");
    assert!(
        rig.starts().is_empty(),
        "a start was sent before its record was stored"
    );
    for (batch, _) in batches.iter().rev() {
        rig.send(Event::BatchStored { batch: *batch });
    }
    assert_eq!(rig.starts().len() as u64, JOBS);
}

/// Guards against an older record of a job that overwrites a newer one.
#[test]
fn verify_a_job_is_in_one_batch_at_a_time() {
    let mut rig = Rig::new(&[worker("w1", "r1")]);
    let id = "00000000000000aa";
    rig.submit(id, "middle", step(2, 1));
    rig.advance(20);
    let first = rig.batches();
    assert_eq!(jobs_of(&first), [&JobId::new(id)]);
    rig.send(Event::JobCancelled(JobId::new(id)));
    rig.advance(200);
    assert!(
        rig.batches().is_empty(),
        "the second record overtakes the first"
    );
    rig.send(Event::BatchStored { batch: first[0].0 });
    rig.advance(20);
    assert_eq!(jobs_of(&rig.batches()), [&JobId::new(id)]);
}

/// Guards against acknowledging a run end while an earlier batch, which may hold its effect, is in flight.
#[test]
fn verify_an_end_is_forgotten_only_after_all_earlier_batches() {
    let workers = [worker("w1", "r1"), worker("w2", "r1")];
    let mut rig = Rig::new(&workers);
    rig.submit("00000000000000a1", "middle", step(1, 8));
    rig.submit("00000000000000a2", "middle", step(1, 8));
    let starts = rig.start_all();
    assert_eq!(starts.len(), 2);
    let end = |start| ended(1, start, EndKind::Done);
    let mut in_flight = Vec::new();
    for start in &starts {
        rig.poll_reply(start.0.as_str(), Vec::new(), vec![end(start)]);
        rig.advance(30);
        in_flight.extend(rig.batches());
    }
    assert_eq!(in_flight.len(), 2);
    let acked_end = |rig: &mut Rig| -> u64 {
        rig.advance(1_500);
        let polls = rig.take(|action| match action {
            Action::Poll { acked_end, .. } => Some(*acked_end),
            _ => None,
        });
        polls.into_iter().max().unwrap_or(0)
    };
    rig.send(Event::BatchStored {
        batch: in_flight[1].0,
    });
    assert_eq!(acked_end(&mut rig), 0);
    rig.send(Event::BatchStored {
        batch: in_flight[0].0,
    });
    assert_eq!(acked_end(&mut rig), 1);
}

/// Guards against a job whose record is never stored while jobs with lower ids keep changing.
#[test]
fn verify_the_job_that_changed_first_is_stored_first() {
    // Eight batches; a record with a new phase takes three entries, so ten of them fit into one.
    const FULL: u64 = 8 * 10;
    let workers: Vec<_> = (0..64).map(|n| worker(&format!("w{n}"), "r1")).collect();
    let mut rig = Rig::new(&workers);
    for number in 0..FULL {
        rig.submit(&format!("00000000000a{number:04x}"), "middle", step(1, 1));
    }
    rig.advance(100);
    let first = rig.batches();
    assert_eq!((first.len(), jobs_of(&first).len() as u64), (8, FULL));
    let late = "ffffffffffffffff";
    rig.submit(late, "middle", step(1, 1));
    rig.advance(20);
    for number in 0..FULL {
        rig.submit(&format!("0000000000000{number:03x}"), "middle", step(1, 1));
    }
    rig.advance(20);
    assert!(rig.batches().is_empty(), "too many batches in flight");
    rig.send(Event::BatchStored { batch: first[0].0 });
    rig.advance(20);
    let next = rig.batches();
    assert!(jobs_of(&next).contains(&&JobId::new(late)), "{next:?}");
}

/// Guards against starts that are held back because the reply to an older renewal arrives last.
#[test]
fn verify_a_late_reply_to_an_older_renewal_does_not_shorten_the_lease() {
    let mut rig = Rig::new(&[worker("w1", "r1")]);
    let earlier = TimeMs(rig.now.0 + 50);
    rig.send(Event::LeaseExtended { until: earlier });
    rig.advance(100);
    rig.submit("00000000000000a0", "middle", step(1, 8));
    assert_eq!(rig.start_all().len(), 1);
}
