//! Settings are checked whole: each mistake is named by its path, in one run.

use ragwortwick_daemon::{SETTINGS_FIELDS, Settings, SettingsProblem};

const GOOD: &str = r#"{
    "host": "e1", "zone": "north",
    "listen": "127.0.0.1:0", "peer_listen": "127.0.0.1:0",
    "store_address": "127.0.0.1:7001", "hosts_address": "127.0.0.1:7002"
}"#;

fn problems(text: &str) -> Vec<SettingsProblem> {
    Settings::parse(text).expect_err("expected mistakes")
}

fn paths(text: &str) -> Vec<String> {
    problems(text).into_iter().map(|p| p.path).collect()
}

#[test]
fn verify_defaults_fill_what_is_left_out() {
    let settings = Settings::parse(GOOD).expect("good settings");
    assert_eq!(settings.host.as_str(), "e1");
    assert_eq!(settings.max_body_bytes, 1 << 20);
}

#[test]
fn verify_field_list_matches_the_type() {
    let settings = Settings::parse(GOOD).expect("good settings");
    let value = serde_json::to_value(&settings).expect("settings as JSON");
    let mut in_type: Vec<&str> = value
        .as_object()
        .expect("an object")
        .keys()
        .map(String::as_str)
        .collect();
    let mut listed: Vec<&str> = SETTINGS_FIELDS.iter().map(|field| field.name).collect();
    in_type.sort_unstable();
    listed.sort_unstable();
    assert_eq!(in_type, listed);
}

#[test]
fn verify_every_mistake_is_named_at_once() {
    let text = r#"{
        "host": 7, "zone": "", "listen": "localhost:80", "peer_listen": "127.0.0.1",
        "store_address": "127.0.0.1:0",
        "max_body_bytes": "big", "max_connections": 0, "ring_length": -1,
        "owner_lease_ms": 600000, "drain_notice_ms": 1.5, "colour": "red"
    }"#;
    let expected = [
        "host",
        "zone",
        "listen",
        "peer_listen",
        "store_address",
        "hosts_address",
        "max_body_bytes",
        "max_connections",
        "ring_length",
        "drain_notice_ms",
        "owner_lease_ms",
        "colour",
    ];
    assert_eq!(paths(text), expected);
}

#[test]
fn verify_a_problem_says_what_was_expected() {
    let text = GOOD.replace("\"e1\"", "null");
    let problem = &problems(&text)[0];
    assert_eq!(
        problem.to_string(),
        "host: expected a text of 1 to 64 letters, digits, '.', '_' or '-', found null"
    );
}

#[test]
fn verify_a_field_that_stands_twice_is_a_mistake() {
    let text = GOOD.replace("\"host\"", "\"host\": \"e2\", \"host\"");
    assert_eq!(paths(&text), ["host"]);
}

#[test]
fn verify_text_that_is_no_object_is_named_with_its_place() {
    for text in ["", "[]", "7", "{\"host\": }", "{} {}"] {
        let problem = &problems(text)[0];
        assert_eq!(problem.path, "settings", "for {text:?}");
    }
    assert!(
        problems("{\"host\": }")[0]
            .problem
            .contains("line 1 column")
    );
}
