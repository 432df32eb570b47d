//! The reports of workers that are lost with runs.

mod rig;

use ragwortwick_area::{
    ContactLossKind, Event, LostRun, PollFailure, WorkerEntry, WorkerLossCause, WorkerLossReport,
};
use ragwortwick_core::{DurationMs, WorkerName};
use rig::{Rig, running, step, worker};

/// Guards against a log that reports a crash, a network partition and a planned leave alike.
#[test]
fn verify_a_crash_is_told_from_a_cut_and_from_a_leave() {
    let workers = [worker("w1", "r1"), worker("w2", "r1"), worker("w3", "r1")];
    let mut rig = Rig::new(&workers);
    for id in ["00000000000000c1", "00000000000000c2", "00000000000000c3"] {
        rig.submit(id, "middle", step(1, 8));
    }
    let starts = rig.start_all();
    assert_eq!(starts.len(), 3);
    let [crashed, partitioned, leaving] = [&starts[0].0, &starts[1].0, &starts[2].0];
    rig.advance(300);
    for start in &starts {
        rig.poll_reply(start.0.as_str(), vec![running(start)], vec![]);
    }
    let entry = workers.iter().find(|entry| entry.name == *leaving);
    rig.send(Event::WorkerUpdated(WorkerEntry {
        is_draining: true,
        remaining_ms: Some(DurationMs(30_000)),
        ..entry.expect("one of the three workers").clone()
    }));
    rig.poll_fails_with(crashed, PollFailure::Closed);
    rig.poll_fails_with(leaving, PollFailure::Closed);
    rig.advance(2_000);
    rig.poll_fails_with(crashed, PollFailure::WrongLife);
    rig.poll_fails_with(leaving, PollFailure::WrongLife);
    for _ in 0..20 {
        rig.poll_fails(partitioned);
        rig.advance(1_000);
    }
    let losses = rig.losses();
    let loss_of = |name: &WorkerName| losses.iter().find(|lost| lost.worker == *name);
    let crash = loss_of(crashed).expect("the crash is reported");
    assert_eq!(crash.cause, WorkerLossCause::Crashed);
    let kind_of = |lost: &WorkerLossReport| lost.contact_loss.map(|contact_loss| contact_loss.kind);
    assert_eq!(kind_of(crash), Some(ContactLossKind::Closed));
    assert_eq!(
        crash.runs,
        vec![LostRun {
            task: starts[0].1.clone(),
            run: starts[0].2,
            age_ms: Some(DurationMs(300)),
        }]
    );
    assert_eq!(crash.lost_together, 1, "the leaving worker");
    assert_eq!(
        loss_of(leaving).map(|lost| lost.cause),
        Some(WorkerLossCause::Left)
    );
    let unreachable = loss_of(partitioned).expect("the partition is reported");
    assert_eq!(unreachable.cause, WorkerLossCause::OutOfReach);
    assert_eq!(kind_of(unreachable), Some(ContactLossKind::Unanswered));
}
