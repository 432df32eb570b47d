//! Checks of any sequence of events: one true verdict each, and the order of a naive scan.

use std::collections::{BTreeMap, BTreeSet};

use crate::rig::{Rig, answered, class, load, lost, runner, sends, table, urgent};
use quickcheck::{QuickCheck, TestResult};
use ragwortwick_border::ClassRow;
use ragwortwick_core::{DurationMs, HostName, TimeMs, Verdict};
use ragwortwick_policy::{
    Arrival, ClaimOutcome, RefusalSeen, RequestAction, RequestEvent, Ticket, TryOutcome,
};

const SLOTS: u32 = 4;

/// Plays the runners and the store, and holds what was promised for each request.
struct World {
    rig: Rig,
    on_runners: BTreeMap<Ticket, HostName>,
    claiming: BTreeSet<Ticket>,
    repeatable: BTreeMap<Ticket, bool>,
    lost: BTreeSet<Ticket>,
    finished: BTreeMap<Ticket, Verdict<()>>,
    transcript: Vec<RequestAction>,
}

impl World {
    fn new(seed: u64) -> Self {
        let runners = vec![runner("a", SLOTS), runner("b", SLOTS), runner("c", SLOTS)];
        let classes = vec![class("padana", "check"), urgent("padana", "plan")];
        let table = table(&[("padana", 1.0)], classes);
        Self {
            rig: Rig::seeded(runners, table, seed),
            on_runners: BTreeMap::new(),
            claiming: BTreeSet::new(),
            repeatable: BTreeMap::new(),
            lost: BTreeSet::new(),
            finished: BTreeMap::new(),
            transcript: Vec::new(),
        }
    }

    fn on(&mut self, event: RequestEvent) -> Result<(), String> {
        for action in self.rig.on(event) {
            self.take(&action)?;
            self.transcript.push(action);
        }
        Ok(())
    }

    fn take(&mut self, action: &RequestAction) -> Result<(), String> {
        match action {
            RequestAction::Send { ticket, runner, .. } => {
                let is_repeat = self.lost.contains(ticket) && !self.repeatable[ticket];
                if is_repeat {
                    return Err(format!("{ticket:?} was sent again after a lost answer"));
                }
                if self.finished.contains_key(ticket) {
                    return Err(format!("{ticket:?} was sent after its verdict"));
                }
                self.claiming.remove(ticket);
                self.on_runners.insert(*ticket, runner.clone());
                let held = self.on_runners.values().filter(|r| *r == runner).count();
                if held > SLOTS as usize {
                    return Err(format!("{runner} holds {held} requests"));
                }
            }
            RequestAction::Claim { ticket, .. } => {
                self.claiming.insert(*ticket);
            }
            RequestAction::Finish { ticket, verdict } => {
                let is_untrue =
                    matches!(verdict, Verdict::NotRun { .. }) && self.lost.contains(ticket);
                if is_untrue {
                    return Err(format!("{ticket:?} is called not run after a lost answer"));
                }
                if self.finished.insert(*ticket, verdict.clone()).is_some() {
                    return Err(format!("{ticket:?} has two verdicts"));
                }
            }
            _ => {}
        }
        Ok(())
    }

    fn arrive(&mut self, byte: u8) -> Result<(), String> {
        let name = if byte & 1 == 0 { "check" } else { "plan" };
        let arrival = Arrival {
            deadline_ms: Some(DurationMs(50 + u64::from(byte) * 20)),
            is_repeatable: byte & 2 == 0,
            needs_claim: byte & 6 == 6,
            ..self.rig.arrival("padana", name)
        };
        self.repeatable
            .insert(arrival.ticket, arrival.is_repeatable);
        self.on(RequestEvent::Arrived(arrival))
    }

    fn end_one(&mut self, byte: u8) -> Result<(), String> {
        let index = usize::from(byte) % self.on_runners.len().max(1);
        let Some(ticket) = self.on_runners.keys().nth(index).copied() else {
            return Ok(());
        };
        self.on_runners.remove(&ticket);
        let outcome = match byte % 6 {
            0 | 1 => answered(SLOTS, 1),
            2 => refused_by_small(RefusalSeen::Busy),
            3 => refused_by_small(RefusalSeen::Failing),
            4 => TryOutcome::Unreachable,
            _ => lost(),
        };
        if matches!(outcome, TryOutcome::NoAnswer { .. }) {
            self.lost.insert(ticket);
        }
        self.on(RequestEvent::TryEnded { ticket, outcome })
    }

    fn decide_claim(&mut self, byte: u8) -> Result<(), String> {
        let Some(ticket) = self.claiming.pop_first() else {
            return Ok(());
        };
        let outcome = match byte % 3 {
            0 => ClaimOutcome::Made,
            1 => ClaimOutcome::HeldElsewhere,
            _ => ClaimOutcome::StoreAway,
        };
        self.on(RequestEvent::ClaimDecided { ticket, outcome })
    }

    fn other(&mut self, byte: u8) -> Result<(), String> {
        let name = HostName::new(["a", "b", "c"][usize::from(byte) % 3]);
        match byte % 4 {
            0 => self.on(RequestEvent::ConnectionClosed(name)),
            1 => self.on(RequestEvent::LeavingSeenByPeer(name)),
            2 => self.on(RequestEvent::Probed {
                runner: name,
                load: Some(load(SLOTS, u32::from(byte) % SLOTS)),
            }),
            _ => self.on(RequestEvent::Probed {
                runner: name,
                load: None,
            }),
        }
    }

    fn play(&mut self, script: &[(u8, u8)]) -> Result<(), String> {
        for (kind, byte) in script {
            match kind % 6 {
                0 | 1 => self.arrive(*byte)?,
                2 => self.end_one(*byte)?,
                3 => self.decide_claim(*byte)?,
                4 => self.other(*byte)?,
                _ => {
                    self.rig.now = self.rig.now + DurationMs(u64::from(*byte));
                    self.on(RequestEvent::Tick)?;
                }
            }
        }
        while !(self.on_runners.is_empty() && self.claiming.is_empty()) {
            self.end_one(0)?;
            self.decide_claim(0)?;
        }
        self.rig.now = self.rig.now + DurationMs(60_000);
        self.on(RequestEvent::Tick)?;
        while !(self.on_runners.is_empty() && self.claiming.is_empty()) {
            self.end_one(0)?;
            self.decide_claim(0)?;
        }
        let open = self.repeatable.len() - self.finished.len();
        if open > 0 {
            return Err(format!("{open} requests have no verdict"));
        }
        Ok(())
    }
}

fn refused_by_small(reason: RefusalSeen) -> TryOutcome {
    TryOutcome::Refused {
        reason,
        load: load(SLOTS, 0),
    }
}

#[test]
fn verify_each_request_gets_one_true_verdict() {
    // Any caller sees exactly one verdict, whatever happens in whatever order; "not run" only if no
    // try of it has an unknown outcome, and no second run of what must not be repeated.
    #[expect(
        clippy::needless_pass_by_value,
        reason = "quickcheck hands over its values"
    )]
    fn property(seed: u64, script: Vec<(u8, u8)>) -> TestResult {
        let mut world = World::new(seed);
        match world.play(&script) {
            Ok(()) => TestResult::passed(),
            Err(problem) => TestResult::error(format!("seed {seed}: {problem}")),
        }
    }
    QuickCheck::new()
        .tests(600)
        .quickcheck(property as fn(u64, Vec<(u8, u8)>) -> TestResult);
}

#[test]
fn verify_same_events_give_same_actions() {
    #[expect(
        clippy::needless_pass_by_value,
        reason = "quickcheck hands over its values"
    )]
    fn property(seed: u64, script: Vec<(u8, u8)>) -> bool {
        let mut first = World::new(seed);
        let mut second = World::new(seed);
        let ends = (first.play(&script), second.play(&script));
        ends.0 == ends.1 && first.transcript == second.transcript
    }
    QuickCheck::new()
        .tests(100)
        .quickcheck(property as fn(u64, Vec<(u8, u8)>) -> bool);
}

/// One waiting request as the naive scan sees it.
#[derive(Clone, Copy, Debug)]
struct Waiting {
    class: usize,
    deadline: TimeMs,
    ticket: Ticket,
}

const CLASSES: [(&str, &str, bool, f64, f64); 5] = [
    ("padana", "plan", true, 1.0, 5.0),
    ("padana", "check", false, 2.0, 1.0),
    ("kormtap", "quote", false, 1.0, 9.0),
    ("kormtap", "ration", false, 1.0, 3.0),
    ("kormtap", "recheck", false, 1.0, 1.0),
];
const WEIGHTS: [(&str, f64); 2] = [("padana", 2.0), ("kormtap", 1.0)];
const PLACES: u32 = 3;

/// The rule as it reads in words, over every waiting request: no lines, no heads, no counts kept.
fn naive_next(waiting: &[Waiting], running: &[Waiting]) -> Option<Ticket> {
    let customer = |class: usize| CLASSES[class].0;
    let weight = |name: &str| WEIGHTS.iter().find(|w| w.0 == name).map_or(1.0, |w| w.1);
    let both = || waiting.iter().chain(running);
    let active: BTreeSet<&str> = both().map(|w| customer(w.class)).collect();
    let weights: f64 = active.iter().map(|name| weight(name)).sum();
    let count = |keep: &dyn Fn(usize) -> bool| {
        f64::from(u32::try_from(running.iter().filter(|w| keep(w.class)).count()).unwrap_or(0))
    };
    let rank = |w: &Waiting| {
        let (name, _, is_urgent, class_weight, worth) = CLASSES[w.class];
        let of_customer = count(&|class| customer(class) == name);
        let share = (f64::from(PLACES) * weight(name) / weights).max(1.0);
        let of_class = count(&|class| class == w.class);
        (
            !(is_urgent && of_customer < share),
            (of_customer + 1.0) / weight(name),
            !is_urgent,
            (of_class + 1.0) / class_weight,
            -worth,
            w.deadline,
            w.ticket,
        )
    };
    let least = waiting
        .iter()
        .min_by(|a, b| rank(a).partial_cmp(&rank(b)).expect("no rank is NaN"));
    least.map(|w| w.ticket)
}

#[test]
fn verify_order_is_that_of_a_naive_scan() {
    fn property(script: Vec<(u8, u8)>) -> TestResult {
        let rows = CLASSES.map(|(customer, name, urgent, weight, worth)| ClassRow {
            urgent,
            weight,
            worth,
            ..class(customer, name)
        });
        let mut rig = Rig::with_table(vec![runner("a", PLACES)], table(&WEIGHTS, rows.to_vec()));
        let mut waiting: Vec<Waiting> = Vec::new();
        let mut running: Vec<Waiting> = Vec::new();
        for (kind, byte) in script {
            let actions = if kind % 2 == 0 {
                let class = usize::from(byte) % CLASSES.len();
                let deadline_ms = DurationMs(5_000 + u64::from(byte));
                let arrival = Arrival {
                    deadline_ms: Some(deadline_ms),
                    ..rig.arrival(CLASSES[class].0, CLASSES[class].1)
                };
                waiting.push(Waiting {
                    class,
                    deadline: rig.now + deadline_ms,
                    ticket: arrival.ticket,
                });
                rig.on(RequestEvent::Arrived(arrival))
            } else if running.is_empty() {
                continue;
            } else {
                let ended = running.remove(usize::from(byte) % running.len());
                let busy = u32::try_from(running.len()).unwrap_or(PLACES);
                rig.ended(ended.ticket, answered(PLACES, busy))
            };
            for (ticket, _) in sends(&actions) {
                let expected = naive_next(&waiting, &running);
                if expected != Some(ticket) {
                    return TestResult::error(format!("sent {ticket:?}, not {expected:?}"));
                }
                let index = waiting.iter().position(|w| w.ticket == ticket);
                running.extend(index.map(|index| waiting.remove(index)));
            }
            let is_idle = running.len() < PLACES as usize && !waiting.is_empty();
            if is_idle {
                return TestResult::error("a slot is free and work waits");
            }
        }
        TestResult::passed()
    }
    QuickCheck::new()
        .tests(500)
        .quickcheck(property as fn(Vec<(u8, u8)>) -> TestResult);
}
