//! Parsing of state charts rejects invalid files, and transitions follow the rows of the file.

use ragwortwick_core::{ChartSymbol, StateChart, common};

#[common(key)]
enum State {
    Idle,
    Busy,
}

#[common(key)]
enum Event {
    Start,
    Stop,
}

#[common(key)]
enum Guard {
    Ready,
}

#[common(key)]
enum Action {
    Ring,
}

impl ChartSymbol for State {
    const ALL: &'static [(&'static str, Self)] = &[("idle", Self::Idle), ("busy", Self::Busy)];
}
impl ChartSymbol for Event {
    const ALL: &'static [(&'static str, Self)] = &[("start", Self::Start), ("stop", Self::Stop)];
}
impl ChartSymbol for Guard {
    const ALL: &'static [(&'static str, Self)] = &[("ready", Self::Ready)];
}
impl ChartSymbol for Action {
    const ALL: &'static [(&'static str, Self)] = &[("ring", Self::Ring)];
}

type TestChart = StateChart<State, Event, Guard, Action>;

fn chart_text(transitions: &str, finals: &str) -> String {
    format!(
        r#"{{"name":"t","doc":"d","initial":"idle","final":[{finals}],"transitions":[{transitions}]}}"#
    )
}

const START: &str = r#"{"from":"idle","on":"start","if":"ready","to":"busy","do":["ring"]}"#;
const STOP: &str = r#"{"from":"busy","on":"stop","to":"idle"}"#;

#[test]
fn verify_step_follows_guarded_row() {
    let chart = TestChart::parse(&chart_text(&format!("{START},{STOP}"), "")).expect("valid chart");
    let transition = chart
        .transition(State::Idle, Event::Start, |_| true)
        .expect("row applies");
    assert_eq!(
        (transition.next, transition.actions),
        (State::Busy, &[Action::Ring][..])
    );
    assert!(
        chart
            .transition(State::Idle, Event::Start, |_| false)
            .is_none()
    );
    assert!(
        chart
            .transition(State::Idle, Event::Stop, |_| true)
            .is_none()
    );
}

#[test]
fn verify_loader_refuses_unknown_names_unreachable_and_dead_end_states() {
    let unknown = chart_text(r#"{"from":"idle","on":"start","to":"gone"}"#, "");
    let unreachable = chart_text(r#"{"from":"idle","on":"start","to":"idle"}"#, "");
    let dead_end = chart_text(START, "");
    let rejection = |text: &str| {
        TestChart::parse(text)
            .expect_err("must be rejected")
            .to_string()
    };
    assert!(rejection(&unknown).contains("unknown state gone"));
    assert!(rejection(&unreachable).contains("state busy is unreachable"));
    assert!(rejection(&dead_end).contains("state busy has no outgoing transition"));
    TestChart::parse(&chart_text(START, "\"busy\""))
        .expect("a final state needs no outgoing transition");
}
