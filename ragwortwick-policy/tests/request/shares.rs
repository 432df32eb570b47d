//! Proves that no customer's burst takes another's share and that urgent work finds a slot.

use std::collections::BTreeMap;

use crate::rig::{Rig, answered, class, finishes, load, runner, sends, table, urgent};
use ragwortwick_border::ClassRow;
use ragwortwick_core::{NotRunReason, Verdict};
use ragwortwick_policy::{RequestEvent, Ticket};

#[test]
fn verify_burst_of_one_customer_leaves_the_others_share() {
    // Customer `small` sees its answers soon. `large` has filled all slots and queued hundreds of
    // requests of three classes before; with equal weights `small` gets half of the slots.
    let names = ["check", "refine", "plan"];
    let mut classes: Vec<_> = names.map(|name| class("large", name)).to_vec();
    classes.push(class("small", "check"));
    let customers = [("large", 1.0), ("small", 1.0)];
    let mut rig = Rig::with_table(vec![runner("a", 10)], table(&customers, classes));
    let mut running: Vec<(Ticket, &str)> = Vec::new();
    let mut owner = BTreeMap::new();
    for number in 0..300 {
        let (ticket, actions) = rig.arrive("large", names[number % 3]);
        owner.insert(ticket, "large");
        running.extend(sends(&actions).iter().map(|(ticket, _)| (*ticket, "large")));
    }
    for _ in 0..20 {
        let (ticket, actions) = rig.arrive("small", "check");
        owner.insert(ticket, "small");
        assert!(sends(&actions).is_empty());
    }
    let mut ended_of_large = 0;
    let mut ended_of_small = 0;
    while ended_of_small < 20 {
        let (ticket, who) = running.remove(0);
        if who == "large" {
            ended_of_large += 1;
        } else {
            ended_of_small += 1;
        }
        for (ticket, _) in sends(&rig.ended(ticket, answered(10, 8))) {
            running.push((ticket, owner[&ticket]));
        }
    }
    assert!(ended_of_large <= 20 + 10, "{ended_of_large} ended before");
}

#[test]
fn verify_weights_share_the_slots() {
    // The customers see slots by weight: with weights 3 and 1 and both always waiting, three
    // quarters of the slots are held by the first.
    let classes = vec![class("three", "check"), class("one", "check")];
    let customers = [("three", 3.0), ("one", 1.0)];
    let mut rig = Rig::with_table(vec![runner("a", 9)], table(&customers, classes));
    let mut owner = BTreeMap::new();
    let mut running = Vec::new();
    for _ in 0..100 {
        for customer in ["three", "one"] {
            let (ticket, actions) = rig.arrive(customer, "check");
            owner.insert(ticket, customer);
            running.extend(sends(&actions));
        }
    }
    for _ in 0..40 {
        let (ticket, _) = running.remove(0);
        running.extend(sends(&rig.ended(ticket, answered(9, 7))));
    }
    let held = running.iter().filter(|(t, _)| owner[t] == "three").count();
    assert_eq!((held, running.len()), (6, 8));
}

#[test]
fn verify_urgent_work_finds_a_slot_beside_any_routine_burst() {
    // The planner sees its answer at once. Routine work holds all it can get on both runners; one
    // slot in ten is kept back from it, since what is sent can't be called back.
    let mut rig = Rig::new(vec![runner("a", 10), runner("b", 10)]);
    let mut running = 0;
    for _ in 0..100 {
        let (_, actions) = rig.arrive("padana", "check");
        running += sends(&actions).len();
    }
    assert_eq!(running, 18);
    for _ in 0..2 {
        let (ticket, actions) = rig.arrive("padana", "plan");
        assert_eq!(sends(&actions)[0].0, ticket);
    }
}

#[test]
fn verify_urgent_work_finds_a_slot_beside_another_hosts_burst() {
    // The planner sees its answer at once. The runner reports that routine work of other entry
    // hosts holds nine of ten slots: too many for routine work of this host, not for urgent work.
    let mut rig = Rig::new(vec![runner("a", 10)]);
    rig.on(RequestEvent::EntryHostsKnown(8));
    rig.on(RequestEvent::Probed {
        runner: "a".into(),
        load: Some(load(10, 9)),
    });
    let (_, actions) = rig.arrive("padana", "check");
    assert!(sends(&actions).is_empty());
    let (ticket, actions) = rig.arrive("padana", "plan");
    assert_eq!(sends(&actions)[0].0, ticket);
}

#[test]
fn verify_hosts_without_fresh_reports_stay_within_their_share() {
    // Urgent callers of other hosts find slots. This host has heard nothing of the runner for a
    // while, so it can't know what seven others sent there, and holds no more than its own part.
    let mut rig = Rig::new(vec![runner("a", 16)]);
    rig.on(RequestEvent::EntryHostsKnown(7));
    let mut running = 0;
    for _ in 0..20 {
        let (_, actions) = rig.arrive("padana", "check");
        running += sends(&actions).len();
    }
    assert_eq!(running, 2);
}

#[test]
fn verify_full_line_sheds_the_least_worth_first() {
    // The caller of a quote sees its answer; the caller of a re-check is told "not run". The host's
    // queue is full of re-checks, which are worth least, when the quote comes.
    let quote = ClassRow {
        worth: 10.0,
        ..class("farm", "quote")
    };
    let recheck = ClassRow {
        worth: 1.0,
        max_queued: 100_000,
        ..class("farm", "recheck")
    };
    let customers = [("farm", 1.0)];
    let mut rig = Rig::with_table(
        vec![runner("a", 1)],
        table(&customers, vec![quote, recheck]),
    );
    let mut refused = 0;
    while refused == 0 {
        refused = finishes(&rig.arrive("farm", "recheck").1).len();
    }
    let (quote, actions) = rig.arrive("farm", "quote");
    let ended = finishes(&actions);
    assert_eq!(ended.len(), 1);
    assert_ne!(ended[0].0, quote);
    assert!(matches!(
        ended[0].1,
        Verdict::NotRun {
            reason: NotRunReason::Shed,
            ..
        }
    ));
}

#[test]
fn verify_limits_of_a_new_table_hold_at_once() {
    // The callers see the operators' new limits on the running host: two at once instead of eight,
    // then one request a second.
    let limited = |max_in_flight, rate_per_s| {
        let row = ClassRow {
            max_in_flight,
            rate_per_s,
            ..class("padana", "check")
        };
        table(&[("padana", 1.0)], vec![row])
    };
    let mut rig = Rig::with_table(vec![runner("a", 10)], limited(2, 1_000.0));
    let mut running = Vec::new();
    for _ in 0..9 {
        running.extend(sends(&rig.arrive("padana", "check").1));
    }
    assert_eq!(running.len(), 2);
    running.extend(sends(&rig.on(limited(8, 1_000.0))));
    assert_eq!(running.len(), 8);
    rig.on(limited(8, 1.0));
    let first = finishes(&rig.arrive("padana", "check").1);
    let second = finishes(&rig.arrive("padana", "check").1);
    assert!(first.is_empty());
    assert!(matches!(
        second[0].1,
        Verdict::NotRun {
            reason: NotRunReason::RateLimited,
            ..
        }
    ));
}

#[test]
fn verify_urgent_class_goes_first_within_a_customer() {
    // The planner sees its answer before the routine checks that its own customer queued earlier.
    let classes = vec![class("padana", "check"), urgent("padana", "plan")];
    let mut rig = Rig::with_table(vec![runner("a", 1)], table(&[("padana", 1.0)], classes));
    let (first, _) = rig.arrive("padana", "check");
    for _ in 0..5 {
        rig.arrive("padana", "check");
    }
    let (plan, _) = rig.arrive("padana", "plan");
    let next = sends(&rig.ended(first, answered(1, 0)));
    assert_eq!(next[0].0, plan);
}
