//! Workers that are unreachable for longer than their leases, with or without a return.

mod rig;

use ragwortwick_area::{Action, EndKind, Event};
use ragwortwick_core::{JobId, WorkerName};
use rig::{Rig, ended, step, worker};

/// The coordinator is partitioned from all workers for longer than their leases and abandons their runs. If
/// workers without runs were not polled, they would count as unresponsive forever, and jobs would wait
/// although every worker is idle and reachable again.
#[test]
fn verify_silent_worker_without_runs_is_tried_again() {
    let mut rig = Rig::new(&[worker("w1", "r1")]);
    rig.submit("00000000000000d2", "patient", step(1, 1));
    rig.advance(20);
    rig.store_batches();
    let start = rig.starts().remove(0);
    rig.accept(&start);
    for _ in 0..60 {
        rig.advance(300);
        rig.store_batches();
        rig.actions.clear();
        rig.poll_fails(&WorkerName::new("w1"));
    }
    rig.advance(2_000);
    let is_poll = |action: &Action| matches!(action, Action::Poll { .. });
    assert!(
        rig.actions.iter().any(is_poll),
        "the worker is polled again"
    );
    rig.poll_reply("w1", Vec::new(), Vec::new());
    rig.advance(20);
    rig.store_batches();
    assert_eq!(rig.starts().len(), 1, "the job starts again");
}

/// A task that makes a booking runs on an unreachable worker whose lease ends, and whose entry may be removed
/// as well. The coordinator must wait a grace period for a reply of the worker before it starts the task
/// elsewhere, or the booking would be made twice. If the worker stays unresponsive, the task then starts
/// elsewhere.
#[test]
fn verify_silent_worker_is_heard_before_its_work_starts_again() {
    let workers = [worker("w1", "r1"), worker("w2", "r1")];
    for (is_back, is_listed) in [(true, true), (true, false), (false, true), (false, false)] {
        let mut rig = Rig::new(&workers);
        rig.submit("00000000000000d3", "middle", step(1, 8));
        rig.advance(20);
        rig.store_batches();
        let start = rig.starts().remove(0);
        rig.accept(&start);
        if !is_listed {
            rig.send(Event::WorkerRemoved(start.0.clone()));
        }
        let miss_poll = |rig: &mut Rig| {
            rig.poll_fails(&start.0);
            rig.advance(1_000);
            rig.store_batches();
        };
        for _ in 0..12 {
            miss_poll(&mut rig);
        }
        assert_eq!(
            rig.starts(),
            vec![],
            "the lease of 10 s has ended, and the grace period has not"
        );
        if is_back {
            rig.poll_reply(
                start.0.as_str(),
                Vec::new(),
                vec![ended(1, &start, EndKind::Done)],
            );
            rig.advance(20);
            rig.store_batches();
            let phase = rig.coordinator.phase(&JobId::new("00000000000000d3"));
            assert_eq!(phase, Some(ragwortwick_area::JobPhase::Completed));
        } else {
            for _ in 0..6 {
                miss_poll(&mut rig);
            }
            assert_eq!(rig.starts().len(), 1, "the task starts elsewhere");
        }
    }
}
