//! Proves that verdicts are true and that a given-up request is answered at once.

use crate::rig::{
    Rig, answered, finishes, is_may_have_run, is_not_run, lost, refused, runner, sends,
};
use ragwortwick_core::{DurationMs, NotRunReason, Verdict};
use ragwortwick_policy::{ClaimOutcome, RefusalSeen, RequestAction, RequestEvent, TryOutcome};

#[test]
fn verify_refusal_after_a_lost_try_is_not_called_not_run() {
    // The caller sees "may have run". Its request goes to one runner, whose answer is lost, then to
    // a second one, which refuses it until the tries are used up. The refusals are certain, but the
    // first try may have run, so "not run" would invite the caller to run it twice.
    let mut rig = Rig::new(vec![runner("a", 1), runner("b", 1)]);
    let (ticket, actions) = rig.arrive("padana", "check");
    assert_eq!(sends(&actions).len(), 1);
    let mut actions = rig.ended(ticket, lost());
    while finishes(&actions).is_empty() {
        actions = if sends(&actions).is_empty() {
            rig.pass(1_100)
        } else {
            rig.ended(ticket, refused(RefusalSeen::Busy))
        };
    }
    let (_, verdict) = &finishes(&actions)[0];
    assert!(is_may_have_run(verdict), "{verdict:?}");
}

#[test]
fn verify_request_that_must_not_repeat_is_sent_once_when_its_answer_is_lost() {
    // The caller sees "may have run" at once. Its request was sent and the answer never came; a
    // second runner is free, but the first one may have run it.
    let mut rig = Rig::new(vec![runner("a", 1), runner("b", 1)]);
    let mut arrival = rig.arrival("padana", "check");
    arrival.is_repeatable = false;
    let ticket = arrival.ticket;
    assert_eq!(sends(&rig.on(RequestEvent::Arrived(arrival))).len(), 1);
    let actions = rig.ended(ticket, lost());
    assert!(sends(&actions).is_empty());
    assert!(is_may_have_run(&finishes(&actions)[0].1));
}

#[test]
fn verify_request_that_must_not_repeat_goes_on_after_a_refusal() {
    // The caller sees its answer. The first runner said that it did not start the request, so the
    // second one may have it.
    let mut rig = Rig::new(vec![runner("a", 1), runner("b", 1)]);
    let mut arrival = rig.arrival("padana", "check");
    arrival.is_repeatable = false;
    let ticket = arrival.ticket;
    let first = sends(&rig.on(RequestEvent::Arrived(arrival)));
    let second = sends(&rig.ended(ticket, refused(RefusalSeen::Busy)));
    assert_ne!(first[0].1, second[0].1);
    let done = finishes(&rig.ended(ticket, answered(1, 0)));
    assert_eq!(done, vec![(ticket, Verdict::Done(()))]);
}

#[test]
fn verify_request_without_any_runner_is_answered_in_the_same_event() {
    // The caller sees "not run" and a time to come back, at once: no runner is listed, so waiting
    // for the deadline could only keep it from asking elsewhere.
    let mut rig = Rig::new(Vec::new());
    let (ticket, actions) = rig.arrive("padana", "check");
    let (finished, verdict) = &finishes(&actions)[0];
    assert_eq!(*finished, ticket);
    let Verdict::NotRun { retry_after_ms, .. } = verdict else {
        panic!("expected not run, got {verdict:?}");
    };
    assert!(*retry_after_ms > DurationMs(0));
}

#[test]
fn verify_waiting_request_is_answered_when_its_last_runner_leaves() {
    // The caller sees "not run" in the moment in which the only runner says that it is leaving,
    // not at the deadline ten seconds later.
    let mut rig = Rig::new(vec![runner("a", 1)]);
    let (first, _) = rig.arrive("padana", "check");
    let (second, actions) = rig.arrive("padana", "check");
    assert!(finishes(&actions).is_empty());
    let actions = rig.ended(first, refused(RefusalSeen::Leaving));
    let ended = finishes(&actions);
    assert_eq!(ended.len(), 2, "{actions:?}");
    assert!(ended.iter().all(|(_, verdict)| is_not_run(verdict)));
    assert!(ended.iter().any(|(ticket, _)| *ticket == second));
}

#[test]
fn verify_work_that_can_not_finish_in_time_is_refused_and_not_sent() {
    // The caller sees "not run" at once. Requests of its class take 400 ms, and it asks for an
    // answer within 100 ms; running it would only keep a slot from work that can still matter.
    let mut rig = Rig::new(vec![runner("a", 2)]);
    let (first, _) = rig.arrive("padana", "check");
    rig.pass(400);
    rig.ended(first, answered(2, 0));
    let mut arrival = rig.arrival("padana", "check");
    arrival.deadline_ms = Some(DurationMs(100));
    let actions = rig.on(RequestEvent::Arrived(arrival));
    assert!(sends(&actions).is_empty());
    assert!(matches!(
        finishes(&actions)[0].1,
        Verdict::NotRun {
            reason: NotRunReason::DeadlineUnmeetable,
            ..
        }
    ));
}

#[test]
fn verify_waiting_work_is_refused_once_it_can_not_finish_in_time() {
    // The caller sees "not run" while its deadline is still ahead: the only slot stays taken, and
    // from then on its request, which takes 400 ms and sometimes 700, would not surely end in time.
    let mut rig = Rig::new(vec![runner("a", 1)]);
    let (first, _) = rig.arrive("padana", "check");
    rig.pass(400);
    rig.ended(first, answered(1, 0));
    let (_, actions) = rig.arrive("padana", "check");
    assert_eq!(sends(&actions).len(), 1);
    let mut late = rig.arrival("padana", "check");
    late.deadline_ms = Some(DurationMs(1_000));
    assert!(finishes(&rig.on(RequestEvent::Arrived(late))).is_empty());
    assert!(finishes(&rig.pass(299)).is_empty());
    let ended = finishes(&rig.pass(1));
    assert_eq!(ended.len(), 1);
    assert!(is_not_run(&ended[0].1));
}

#[test]
fn verify_arrival_behind_a_line_that_moves_too_slowly_is_refused_at_once() {
    // The caller sees "not run" in the moment in which it asks. Forty requests wait for the only
    // slot, which serves one in 100 ms; its own deadline of 2 s can't be met, and waiting for it
    // would only keep the caller from asking elsewhere.
    let mut rig = Rig::new(vec![runner("a", 1)]);
    let mut running = Vec::new();
    for _ in 0..60 {
        running.extend(sends(&rig.arrive("padana", "check").1));
    }
    for _ in 0..20 {
        rig.pass(100);
        let (ticket, _) = running.remove(0);
        running.extend(sends(&rig.ended(ticket, answered(1, 0))));
    }
    let mut arrival = rig.arrival("padana", "check");
    arrival.deadline_ms = Some(DurationMs(2_000));
    let ticket = arrival.ticket;
    let ended = finishes(&rig.on(RequestEvent::Arrived(arrival)));
    assert_eq!(ended.len(), 1);
    assert_eq!(ended[0].0, ticket);
    assert!(is_not_run(&ended[0].1));
}

#[test]
fn verify_claim_comes_before_the_first_byte() {
    // The caller sees its answer. Its own id is claimed in the store first; nothing is sent before
    // the claim is made, and nothing at all if another host holds it or the store is away.
    for outcome in [
        ClaimOutcome::Made,
        ClaimOutcome::HeldElsewhere,
        ClaimOutcome::StoreAway,
    ] {
        let mut rig = Rig::new(vec![runner("a", 1)]);
        let mut arrival = rig.arrival("padana", "check");
        arrival.is_repeatable = false;
        arrival.needs_claim = true;
        let ticket = arrival.ticket;
        let actions = rig.on(RequestEvent::Arrived(arrival));
        assert!(sends(&actions).is_empty());
        assert!(matches!(actions[0], RequestAction::Claim { .. }));
        let actions = rig.on(RequestEvent::ClaimDecided { ticket, outcome });
        let is_sent = !sends(&actions).is_empty();
        assert_eq!(is_sent, outcome == ClaimOutcome::Made);
        let verdict = finishes(&actions).pop().map(|(_, verdict)| verdict);
        match outcome {
            ClaimOutcome::Made => assert_eq!(verdict, None),
            ClaimOutcome::HeldElsewhere => assert!(is_may_have_run(&verdict.expect("final"))),
            ClaimOutcome::StoreAway => assert!(is_not_run(&verdict.expect("final"))),
        }
    }
}

#[test]
fn verify_claim_is_released_when_the_request_was_not_run() {
    // The caller sees "not run" and may come back with the same id to any host, so the claim that
    // this host made must not stand in its way.
    let mut rig = Rig::new(vec![runner("a", 1)]);
    let mut arrival = rig.arrival("padana", "check");
    arrival.is_repeatable = false;
    arrival.needs_claim = true;
    let ticket = arrival.ticket;
    rig.on(RequestEvent::Arrived(arrival));
    rig.on(RequestEvent::ClaimDecided {
        ticket,
        outcome: ClaimOutcome::Made,
    });
    let actions = rig.ended(ticket, TryOutcome::TooLate);
    assert!(is_not_run(&finishes(&actions)[0].1));
    assert!(actions.contains(&RequestAction::ReleaseClaim(ticket)));
}
