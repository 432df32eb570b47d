//! What the log of a run's end tells of how its end was concluded.

mod rig;

use ragwortwick_area::{Action, EndKind, OrderReply, RefusalCause, RunEndEvidence, RunEnded};
use rig::{Rig, ended, step, worker};

const ID: &str = "00000000000000e1";

fn run_ends(rig: &mut Rig) -> Vec<RunEnded> {
    rig.take(|action| match action {
        Action::LogRunEnd(ended) => Some(ended.clone()),
        _ => None,
    })
}

fn evidence(rig: &mut Rig) -> Vec<RunEndEvidence> {
    let ends = run_ends(rig).into_iter();
    ends.map(|ended| ended.evidence).collect()
}

/// Guards against ends of one cause that can't be told apart: listed by the worker, or concluded from its reply.
#[test]
fn verify_the_log_tells_a_listed_end_from_a_run_that_is_no_longer_reported() {
    for (kinds, expected) in [
        (
            vec![EndKind::LeaseExpired],
            RunEndEvidence::Listed(EndKind::LeaseExpired),
        ),
        (
            vec![EndKind::GangIncomplete],
            RunEndEvidence::Listed(EndKind::GangIncomplete),
        ),
        (vec![], RunEndEvidence::NotReported),
    ] {
        let mut rig = Rig::new(&[worker("w1", "r1")]);
        rig.submit(ID, "middle", step(1, 1));
        let runs = rig.start_all();
        rig.advance(100);
        let ends = kinds.iter().map(|kind| ended(1, &runs[0], *kind));
        rig.poll_reply("w1", vec![], ends.collect());
        rig.settle_stops();
        assert_eq!(evidence(&mut rig), [expected]);
    }
}

/// Guards against a run that ended as never started, with orders to start it on their way, and a log that doesn't show it.
#[test]
fn verify_the_log_tells_how_many_start_orders_had_no_reply() {
    let mut rig = Rig::new(&[worker("w1", "r1")]);
    rig.submit(ID, "middle", step(1, 1));
    rig.advance(20);
    rig.store_batches();
    let start = rig.starts().remove(0);
    rig.reply(&start, OrderReply::Unknown);
    rig.advance(400);
    assert_eq!(rig.starts().len(), 1);
    rig.reply(&start, OrderReply::Refused(RefusalCause::NoRoom));
    rig.advance(20);
    rig.settle_stops();
    let ends = run_ends(&mut rig);
    assert_eq!(ends.len(), 1);
    assert_eq!((ends[0].start_orders, ends[0].start_replies), (2, 1));
}
