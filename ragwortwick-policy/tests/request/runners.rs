//! Proves which runner gets new work: leaving, failing, returning and borrowed ones.

use crate::rig::{Rig, answered, finishes, load, lost, probes, refused, runner, sends};
use ragwortwick_core::{DurationMs, Verdict};
use ragwortwick_policy::{RefusalSeen, RequestAction, RequestEvent, RunnerInfo, TryOutcome};

#[test]
fn verify_each_sign_of_leaving_stops_new_work() {
    // The caller sees its answer from another runner. Runner `a` shows that it is leaving by one of
    // four signs; whichever comes first, no request goes to `a` after it.
    let signs: [fn(&mut Rig); 4] = [
        |rig| {
            let leaving = RunnerInfo {
                is_leaving: true,
                ..runner("a", 4)
            };
            rig.on(RequestEvent::RunnersListed(vec![leaving, runner("b", 4)]));
        },
        |rig| {
            while rig.dispatcher.leaving_runners().is_empty() {
                let (ticket, actions) = rig.arrive("padana", "check");
                let is_a = sends(&actions)[0].1.as_str() == "a";
                let outcome = if is_a {
                    refused(RefusalSeen::Leaving)
                } else {
                    answered(4, 0)
                };
                let mut actions = rig.ended(ticket, outcome);
                while let Some((ticket, _)) = sends(&actions).pop() {
                    actions = rig.ended(ticket, answered(4, 0));
                }
            }
        },
        |rig| {
            let actions = rig.on(RequestEvent::ConnectionClosed("a".into()));
            assert_eq!(probes(&actions).len(), 1);
        },
        |rig| {
            rig.on(RequestEvent::LeavingSeenByPeer("a".into()));
        },
    ];
    for sign in signs {
        let mut rig = Rig::new(vec![runner("a", 4), runner("b", 4)]);
        sign(&mut rig);
        for _ in 0..20 {
            let (ticket, actions) = rig.arrive("padana", "plan");
            let sent = sends(&actions);
            assert_eq!(sent[0].1.as_str(), "b");
            rig.ended(ticket, answered(4, 0));
        }
    }
}

#[test]
fn verify_lagging_list_does_not_bring_a_leaving_runner_back() {
    // The caller sees no refusal. Runner `a` said itself that it is leaving; the platform's list
    // lags and still shows it as live, again and again.
    let mut rig = Rig::new(vec![runner("a", 4), runner("b", 4)]);
    rig.on(RequestEvent::LeavingSeenByPeer("a".into()));
    rig.on(RequestEvent::RunnersListed(vec![
        runner("a", 4),
        runner("b", 4),
    ]));
    let (_, actions) = rig.arrive("padana", "check");
    assert_eq!(sends(&actions)[0].1.as_str(), "b");
}

#[test]
fn verify_failing_fleet_sees_at_most_a_tenth_more_load() {
    // Most callers see refusals. Two of three starts fail on every runner, too seldom in a row to
    // leave one out; a thousand requests may cause at most a hundred retries, since more would keep
    // the fleet from recovering.
    let runners = (0..50).map(|i| runner(&format!("r{i:02}"), 10)).collect();
    let mut rig = Rig::new(runners);
    let mut tries = 0;
    for _ in 0..1_000 {
        let (ticket, mut actions) = rig.arrive("padana", "check");
        while !sends(&actions).is_empty() {
            tries += 1;
            let outcome = if tries % 3 == 0 {
                answered(10, 0)
            } else {
                refused(RefusalSeen::Failing)
            };
            actions = rig.ended(ticket, outcome);
        }
    }
    assert!(tries <= 1_100, "{tries} tries for 1000 requests");
    assert!(tries >= 1_000, "each request was tried: {tries}");
}

#[test]
fn verify_runner_that_fails_everything_is_left_out_and_tried_again() {
    // The callers see answers of `b` only. Runner `a` loses three answers in a row, gets nothing
    // more, is asked over a fresh connection after a while, and gets work again once it answers.
    let mut rig = Rig::new(vec![runner("a", 10), runner("b", 10)]);
    let mut failures = 0;
    while failures < 3 {
        let (ticket, mut actions) = rig.arrive("padana", "check");
        while let Some((_, name)) = sends(&actions).pop() {
            let is_a = name.as_str() == "a";
            failures += u32::from(is_a);
            let outcome = if is_a { lost() } else { answered(10, 0) };
            actions = rig.ended(ticket, outcome);
        }
    }
    for _ in 0..30 {
        let (ticket, actions) = rig.arrive("padana", "check");
        assert_eq!(sends(&actions)[0].1.as_str(), "b");
        rig.ended(ticket, answered(10, 0));
    }
    let asked = probes(&rig.pass(1_000));
    assert_eq!(asked.len(), 1);
    rig.on(RequestEvent::Probed {
        runner: "a".into(),
        load: Some(load(10, 0)),
    });
    let mut names = Vec::new();
    for _ in 0..30 {
        let (ticket, actions) = rig.arrive("padana", "check");
        names.push(sends(&actions)[0].1.to_string());
        rig.ended(ticket, answered(10, 0));
    }
    assert!(names.iter().any(|name| name == "a"));
}

#[test]
fn verify_healed_runners_are_not_stampeded() {
    // The callers wait while the only two runners are out of reach. When they answer again, each
    // gets one request first and one more after each answer, not all that waited.
    let mut rig = Rig::new(vec![runner("a", 40), runner("b", 40)]);
    for _ in 0..6 {
        let (ticket, mut actions) = rig.arrive("padana", "check");
        while !sends(&actions).is_empty() {
            actions = rig.ended(ticket, TryOutcome::Unreachable);
        }
    }
    assert!(
        rig.dispatcher
            .runners(rig.now)
            .iter()
            .all(|r| r.state == "left_out")
    );
    for _ in 0..60 {
        let (_, actions) = rig.arrive("padana", "check");
        assert!(sends(&actions).is_empty());
    }
    let mut in_flight = Vec::new();
    let asked = probes(&rig.pass(1_000));
    assert_eq!(asked.len(), 2);
    for name in asked {
        let load = Some(load(40, 0));
        in_flight.extend(sends(&rig.on(RequestEvent::Probed { runner: name, load })));
    }
    assert_eq!(in_flight.len(), 2, "one request each: {in_flight:?}");
    let mut widest = in_flight.len();
    while let Some((ticket, _)) = in_flight.pop() {
        rig.now = rig.now + DurationMs(5);
        let more = sends(&rig.ended(ticket, answered(40, 0)));
        assert!(more.len() <= 2, "{more:?}");
        in_flight.extend(more);
        widest = widest.max(in_flight.len());
    }
    assert!(widest > 4, "the load does come back");
}

#[test]
fn verify_tries_avoid_the_runner_that_refused() {
    // The caller sees its answer after one refusal: the next try goes to another runner.
    let mut rig = Rig::new(vec![runner("a", 4), runner("b", 4)]);
    for _ in 0..10 {
        rig.now = rig.now + DurationMs(5_000);
        let (ticket, actions) = rig.arrive("padana", "check");
        let first = sends(&actions)[0].1.clone();
        let second = sends(&rig.ended(ticket, refused(RefusalSeen::Busy)))[0]
            .1
            .clone();
        assert_ne!(first, second);
        let done = finishes(&rig.ended(ticket, answered(4, 0)));
        assert_eq!(done[0].1, Verdict::Done(()));
    }
}

#[test]
fn verify_closed_idle_connection_asks_the_runner() {
    // The caller sees its answer. The only runner closed an idle connection, which may be its
    // leaving or mere tidiness; it is asked, says that it stays, and gets the waiting request.
    let mut rig = Rig::new(vec![runner("a", 4)]);
    let actions = rig.on(RequestEvent::ConnectionClosed("a".into()));
    assert_eq!(actions, vec![RequestAction::Probe("a".into())]);
    let (ticket, actions) = rig.arrive("padana", "check");
    assert!(sends(&actions).is_empty() && finishes(&actions).is_empty());
    let actions = rig.on(RequestEvent::Probed {
        runner: "a".into(),
        load: Some(load(4, 0)),
    });
    assert_eq!(sends(&actions)[0].0, ticket);
}
